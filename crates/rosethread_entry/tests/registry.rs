//! Which targets are used while entries change, lapse and come back.

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
    Put(Target),
    Remove(u64),
    Away(u64),
    Back(u64),
    Expire(u64),
    /// A listing of another host that lacks the target.
    Peer,
    /// The store answers another host.
    Elsewhere(u64),
}

use Step::{Away, Back, Elsewhere, Expire, Peer, Put, Remove};

/// The time between two reports of a target.
const BEAT: Duration = Duration::from_millis(500);

/// Applies the steps and compares the target's start and version, if it is still used.
fn check(steps: Vec<Step>, expected: Option<(u64, u64)>) {
    let mut registry = TargetRegistry::new(BEAT);
    for step in steps {
        match step {
            Put(target) => drop(registry.put(target)),
            Remove(ms) => drop(registry.remove(&name(), at(ms))),
            Away(ms) => registry.set_away(true, at(ms)),
            Back(ms) => registry.set_away(false, at(ms)),
            Expire(ms) => drop(registry.expire(at(ms))),
            Elsewhere(ms) => registry.see_elsewhere(at(ms)),
            Peer => drop(registry.retain_peers([].iter())),
        }
    }
    let found = registry.targets().get(&name()).map(|it| (it.start.0, it.version));
    assert_eq!(found, expected);
}

/// When the time to come back is over, for a store that is back at 1,000 ms.
fn over() -> u64 {
    1_000 + REREGISTRATION_GRACE.as_millis() as u64
}

rosethread_cases::cases!(check {
    a_newer_report_replaces: (vec![Put(target(1, 1)), Put(target(1, 2))], Some((1, 2)));
    an_older_report_changes_nothing: (vec![Put(target(1, 2)), Put(target(1, 1))], Some((1, 2)));
    a_restart_counts_anew: (vec![Put(target(1, 9)), Put(target(2, 1))], Some((2, 1)));
    a_report_of_an_earlier_run_changes_nothing:
        (vec![Put(target(2, 1)), Put(target(1, 9))], Some((2, 1)));
    a_removed_entry_is_gone: (vec![Put(target(1, 1)), Remove(10)], None);
    an_entry_that_lapses_while_the_store_is_away_stays:
        (vec![Put(target(1, 1)), Away(0), Remove(10), Expire(9_000)], Some((1, 1)));
    an_entry_that_lapses_at_the_return_stays_for_a_while:
        (vec![Put(target(1, 1)), Away(0), Back(1_000), Remove(1_100), Expire(2_000)], Some((1, 1)));
    a_lapsed_entry_that_does_not_come_back_is_gone:
        (vec![Put(target(1, 1)), Away(0), Back(1_000), Remove(1_100), Expire(over())], None);
    a_lapsed_entry_that_comes_back_stays: (
        vec![
            Put(target(1, 1)), Away(0), Back(1_000), Remove(1_100), Put(target(1, 2)), Expire(over()),
        ],
        Some((1, 2)),
    );
    a_removal_after_a_silence_of_less_than_two_reports_counts_at_once:
        (vec![Back(0), Put(target(1, 1)), Away(700), Back(900), Remove(1_100)], None);
    a_removal_after_the_store_turned_only_this_host_away_counts_at_once: (
        vec![
            Back(0), Put(target(1, 1)), Away(700), Elsewhere(6_500), Back(7_000), Remove(7_300),
        ],
        None,
    );
    a_target_that_a_peer_of_a_reachable_store_does_not_list_is_gone:
        (vec![Back(0), Put(target(1, 1)), Away(700), Peer], None);
    a_removal_long_after_the_return_counts_at_once:
        (vec![Put(target(1, 1)), Away(0), Back(1_000), Remove(over())], None);
});

/// A host that starts while the store is away knows no targets, and must not tell others so.
#[test]
fn a_listing_has_an_age_only_after_the_store_has_answered() {
    let mut registry = TargetRegistry::new(BEAT);
    assert_eq!(registry.age(at(900)), None);
    registry.set_away(true, at(1_000));
    assert_eq!(registry.age(at(1_100)), None);
    registry.see_elsewhere(at(1_200));
    assert_eq!(registry.age(at(1_500)), Some(at(300)));
    registry.set_away(false, at(2_000));
    assert_eq!(registry.age(at(2_100)), Some(at(100)));
}

#[test]
fn a_listing_marks_what_it_lacks() {
    let mut registry = TargetRegistry::default();
    registry.put(target(1, 1));
    assert_eq!(registry.retain([].iter(), at(0)), [name()]);
    assert!(registry.targets().is_empty());
}
