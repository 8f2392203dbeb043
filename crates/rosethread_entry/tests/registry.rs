//! Tests which targets stay in the registry while registrations change, expire and come back.

use std::time::Duration;

use rosethread_entry::{REREGISTRATION_GRACE, Target, TargetRegistry, TargetStatus};
use rosethread_types::{Incarnation, TargetName};

fn target(start: u64, version: u64) -> Target {
    Target {
        name: "t".parse().unwrap(),
        service: "s".parse().unwrap(),
        address: "127.0.0.1:80".parse().unwrap(),
        zone: "z".parse().unwrap(),
        slots: 4,
        status: TargetStatus::Ready,
        start: Incarnation(start),
        version,
        software: None,
        cold: Duration::ZERO,
    }
}

fn name() -> TargetName {
    "t".parse().unwrap()
}

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

enum Step {
    Report(Target),
    Missing(u64),
    Unreachable(u64),
    Reachable(u64),
    Expire(u64),
    /// A peer's listing lacks the target.
    PeerListing,
    /// The store responds to a peer.
    PeerResponse(u64),
}

use Step::{Expire, Missing, PeerListing, PeerResponse, Reachable, Report, Unreachable};

/// The period of a target's reports.
const REPORT_PERIOD: Duration = Duration::from_millis(500);

/// Applies the steps and compares the target's start and version, if it is still registered.
fn check(steps: Vec<Step>, expected: Option<(u64, u64)>) {
    let mut registry = TargetRegistry::new(REPORT_PERIOD);
    for step in steps {
        match step {
            Report(target) => drop(registry.upsert(target)),
            Missing(ms) => drop(registry.handle_missing(&name(), at(ms))),
            Unreachable(ms) => registry.set_unreachable(true, at(ms)),
            Reachable(ms) => registry.set_unreachable(false, at(ms)),
            Expire(ms) => drop(registry.remove_missing(at(ms))),
            PeerResponse(ms) => registry.record_peer_response(at(ms)),
            PeerListing => drop(registry.apply_peer_listing([].iter())),
        }
    }
    let found = registry.targets().get(&name()).map(|it| (it.start.0, it.version));
    assert_eq!(found, expected);
}

/// Returns the end of the grace period, in milliseconds, for a store that recovers at 1,000 ms.
fn grace_end() -> u64 {
    1_000 + REREGISTRATION_GRACE.as_millis() as u64
}

rosethread_cases::cases!(check {
    a_newer_report_replaces_an_older_one:
        (vec![Report(target(1, 1)), Report(target(1, 2))], Some((1, 2)));
    an_older_report_is_ignored:
        (vec![Report(target(1, 2)), Report(target(1, 1))], Some((1, 2)));
    a_restart_replaces_a_higher_version_of_the_earlier_run:
        (vec![Report(target(1, 9)), Report(target(2, 1))], Some((2, 1)));
    a_report_of_an_earlier_run_is_ignored:
        (vec![Report(target(2, 1)), Report(target(1, 9))], Some((2, 1)));
    a_missing_registration_removes_the_target: (vec![Report(target(1, 1)), Missing(10)], None);
    a_registration_missing_during_an_outage_keeps_the_target:
        (vec![Report(target(1, 1)), Unreachable(0), Missing(10), Expire(9_000)], Some((1, 1)));
    a_registration_missing_in_the_grace_period_keeps_the_target: (
        vec![
            Report(target(1, 1)), Unreachable(0), Reachable(1_000), Missing(1_100), Expire(2_000),
        ],
        Some((1, 1)),
    );
    a_registration_still_missing_after_the_grace_period_removes_the_target: (
        vec![
            Report(target(1, 1)), Unreachable(0), Reachable(1_000), Missing(1_100),
            Expire(grace_end()),
        ],
        None,
    );
    a_registration_renewed_in_the_grace_period_keeps_the_target: (
        vec![
            Report(target(1, 1)), Unreachable(0), Reachable(1_000), Missing(1_100),
            Report(target(1, 2)), Expire(grace_end()),
        ],
        Some((1, 2)),
    );
    an_outage_shorter_than_two_reports_has_no_grace_period: (
        vec![Reachable(0), Report(target(1, 1)), Unreachable(700), Reachable(900), Missing(1_100)],
        None,
    );
    an_outage_of_this_host_only_has_no_grace_period: (
        vec![
            Reachable(0), Report(target(1, 1)), Unreachable(700), PeerResponse(6_500),
            Reachable(7_000), Missing(7_300),
        ],
        None,
    );
    a_target_missing_from_a_peers_listing_is_removed:
        (vec![Reachable(0), Report(target(1, 1)), Unreachable(700), PeerListing], None);
    a_registration_missing_after_the_grace_period_removes_the_target:
        (vec![Report(target(1, 1)), Unreachable(0), Reachable(1_000), Missing(grace_end())], None);
});

/// Guards against a host that starts during an outage of the store and passes its empty target list
/// to peers as a recent one.
#[test]
fn a_listing_has_an_age_only_after_the_store_has_responded() {
    let mut registry = TargetRegistry::new(REPORT_PERIOD);
    assert_eq!(registry.listing_age(at(900)), None);
    registry.set_unreachable(true, at(1_000));
    assert_eq!(registry.listing_age(at(1_100)), None);
    registry.record_peer_response(at(1_200));
    assert_eq!(registry.listing_age(at(1_500)), Some(at(300)));
    registry.set_unreachable(false, at(2_000));
    assert_eq!(registry.listing_age(at(2_100)), Some(at(100)));
}

/// A step of [`check_leaving`].
enum Notice {
    /// The run with this start time says that it is leaving.
    Leaving(u64),
    /// The run with this start time registers as ready, with this version.
    Ready(u64, u64),
    /// The registration is removed.
    Removed,
}

/// Applies the steps and compares the target's status and its registration, if it has one.
fn check_leaving(steps: &[Notice], expected: Option<TargetStatus>) {
    let mut registry = TargetRegistry::new(REPORT_PERIOD);
    for (index, step) in steps.iter().enumerate() {
        let now = at(index as u64);
        match step {
            Notice::Leaving(start) => {
                registry.record_leaving(&name(), Incarnation(*start), now);
            }
            Notice::Ready(start, version) => drop(registry.upsert(target(*start, *version))),
            Notice::Removed => drop(registry.handle_missing(&name(), now)),
        }
    }
    assert_eq!(registry.targets().get(&name()).map(|it| it.status), expected);
    // Peers get the registrations only.
    let registered = registry.registered().get(&name()).map(|it| it.status);
    assert_eq!(registered, expected.map(|_| TargetStatus::Ready));
}

rosethread_cases::cases!(check_leaving {
    a_target_that_says_it_leaves_is_leaving:
        (&[Notice::Ready(1, 1), Notice::Leaving(1)], Some(TargetStatus::Leaving));
    a_newer_registration_does_not_revoke_it: (
        &[Notice::Ready(1, 1), Notice::Leaving(1), Notice::Ready(1, 2)],
        Some(TargetStatus::Leaving),
    );
    a_registration_that_comes_back_does_not_revoke_it: (
        &[Notice::Ready(1, 1), Notice::Leaving(1), Notice::Removed, Notice::Ready(1, 3)],
        Some(TargetStatus::Leaving),
    );
    a_notice_before_the_registration_counts:
        (&[Notice::Leaving(1), Notice::Ready(1, 1)], Some(TargetStatus::Leaving));
    a_new_run_is_ready:
        (&[Notice::Ready(1, 1), Notice::Leaving(1), Notice::Ready(2, 1)], Some(TargetStatus::Ready));
    a_late_notice_of_an_earlier_run_is_ignored:
        (&[Notice::Ready(2, 1), Notice::Leaving(1)], Some(TargetStatus::Ready));
    a_late_notice_of_an_earlier_run_keeps_a_newer_one: (
        &[Notice::Ready(2, 1), Notice::Leaving(2), Notice::Leaving(1)],
        Some(TargetStatus::Leaving),
    );
    a_target_that_left_is_gone:
        (&[Notice::Ready(1, 1), Notice::Leaving(1), Notice::Removed], None);
});

#[test]
fn a_repeated_leaving_notice_is_not_new() {
    let mut registry = TargetRegistry::new(REPORT_PERIOD);
    registry.upsert(target(1, 1));
    assert!(registry.record_leaving(&name(), Incarnation(1), at(0)));
    assert!(!registry.record_leaving(&name(), Incarnation(1), at(9)));
    assert!(registry.record_leaving(&name(), Incarnation(2), at(10)));
}

#[test]
fn a_target_missing_from_a_full_listing_is_removed() {
    let mut registry = TargetRegistry::default();
    registry.upsert(target(1, 1));
    assert_eq!(registry.apply_listing([].iter(), at(0)), [name()]);
    assert!(registry.targets().is_empty());
}

fn with_software(target: Target, software: &str) -> Target {
    Target { software: Some(software.parse().unwrap()), ..target }
}

fn versions(registry: &mut TargetRegistry, now: Duration) -> Vec<String> {
    let software = registry.software(now);
    software.values().flatten().flatten().map(ToString::to_string).collect()
}

// Guards against a stream that goes on at another version because its own has just left.
#[test]
fn a_version_of_the_software_counts_for_a_while_after_its_last_target() {
    let mut registry = TargetRegistry::new(at(1_000));
    registry.upsert(with_software(target(1, 1), "v1"));
    assert_eq!(versions(&mut registry, at(1_000)), ["v1"]);
    registry.upsert(with_software(target(2, 1), "v2"));
    assert_eq!(versions(&mut registry, at(50_000)), ["v1", "v2"]);
    assert_eq!(versions(&mut registry, at(109_000)), ["v1", "v2"]);
    assert_eq!(versions(&mut registry, at(111_000)), ["v2"]);
}

/// Reads that the target of `v1` has left, longer after the last read than a version counts.
fn check_late_read<F>(read_removal: F)
where
    F: Fn(&mut TargetRegistry, Duration),
{
    let mut registry = TargetRegistry::new(at(1_000));
    registry.upsert(with_software(target(1, 1), "v1"));
    assert_eq!(versions(&mut registry, at(1_000)), ["v1"]);
    read_removal(&mut registry, at(100_000));
    registry.upsert(Target { name: "u".parse().unwrap(), ..with_software(target(1, 1), "v2") });
    assert_eq!(versions(&mut registry, at(100_000)), ["v1", "v2"]);
    assert_eq!(versions(&mut registry, at(161_000)), ["v2"]);
}

rosethread_cases::cases!(check_late_read {
    // Guards against a version that drops out at once at a host that has read nothing for a while, though
    // the streams of its last target may still be taken up (issue 47, ORDER).
    a_version_counts_from_the_late_read_of_its_removal:
        (|registry: &mut TargetRegistry, now| { registry.handle_missing(&name(), now); });
    a_version_counts_from_a_late_list_without_its_target:
        (|registry: &mut TargetRegistry, now| { registry.apply_listing([].iter(), now); });
    a_version_counts_from_a_late_list_of_a_peer_without_its_target:
        (|registry: &mut TargetRegistry, _| { registry.apply_peer_listing([].iter()); });
    a_version_counts_from_the_late_read_of_the_next_version:
        (|registry: &mut TargetRegistry, _| {
            registry.upsert(Target { name: name(), ..with_software(target(2, 1), "v2") });
        });
});

// Guards against a peer of the last release, whose list of targets leaves the versions out.
#[test]
fn a_report_without_a_version_of_the_software_keeps_the_known_one() {
    let mut registry = TargetRegistry::new(at(1_000));
    registry.upsert(with_software(target(1, 1), "v1"));
    registry.upsert(target(1, 2));
    assert_eq!(versions(&mut registry, at(0)), ["v1"]);
    registry.upsert(target(2, 1));
    assert_eq!(registry.targets()[&name()].software, None);
}

/// Registers `first` and then `second` as the store lists them, and compares the start and the version.
fn check_store_order(first: Target, second: Target) {
    let mut registry = TargetRegistry::new(REPORT_PERIOD);
    registry.replace(first);
    let expected = second.clone();
    registry.replace(second);
    assert_eq!(registry.registered().get(&name()), Some(&expected));
}

// Guards against a registration with the largest numbers, after which none of that target counts (LOST).
rosethread_cases::cases!(check_store_order {
    the_store_replaces_the_largest_version: (target(1, u64::MAX), target(1, 2));
    the_store_replaces_the_latest_start: (target(u64::MAX, 1), target(1, 2));
    the_store_replaces_both: (target(u64::MAX, u64::MAX), target(1, 2));
    the_store_repeats_a_registration: (target(1, 2), target(1, 2));
});
