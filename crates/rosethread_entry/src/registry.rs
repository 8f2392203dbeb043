//! The registry of running targets, built from their registrations in the platform's store.
//!
//! Registrations arrive as full listings or as changes, or as the listing of another host (a peer)
//! while this host does not reach the store.
//!
//! Targets renew their registration with periodic reports, and a registration that is not renewed
//! expires. That happens when a target stops, but also when the store is unreachable and the target
//! cannot report. So a target whose registration is missing just after the store has recovered is
//! kept for a grace period.
//!
//! The grace period does not apply after an outage that was too short for a target to miss its
//! reports, nor when the store was unreachable for this host only. A registration that is missing
//! then belongs to a target that has left, and keeping it would send work to a target that stops.
//!
//! A target may also say in a response that it is leaving. This host then sends it no new work until
//! the target has restarted, whatever its registration says; see `docs/design/platform.md`.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use rosethread_types::{Incarnation, ServiceName, SoftwareVersion, TargetName, ZoneName};
use serde::{Deserialize, Serialize};

/// The grace period for targets to register again after the store has recovered.
pub const REREGISTRATION_GRACE: Duration = Duration::from_millis(2_200);

/// Whether a target accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TargetStatus {
    /// The target accepts new requests.
    Ready,
    /// The target is draining: it completes its requests and accepts no new ones.
    Leaving,
}

/// A target with the properties from its registration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// The name of the target.
    pub name: TargetName,
    /// The service to which the target belongs.
    pub service: ServiceName,
    /// The address for requests.
    pub address: SocketAddr,
    /// The availability zone in which the target runs.
    pub zone: ZoneName,
    /// The number of requests that the target processes concurrently.
    pub slots: u32,
    /// Whether the target accepts new requests.
    pub status: TargetStatus,
    /// The start time of the target's process, which distinguishes successive runs under one name.
    pub start: Incarnation,
    /// The version of the registration within the run; a larger one is newer.
    pub version: u64,
    /// The version of the target's software; `None` if the registration names none. Reports between
    /// nodes leave it out.
    #[serde(skip)]
    pub software: Option<SoftwareVersion>,
    /// The remaining warm-up time when the registration was written; until then the target is
    /// slower than usual.
    pub cold: Duration,
}

impl Target {
    /// Returns whether a target can listen on the address: it names one host and a port.
    pub fn has_usable_address(&self) -> bool {
        let ip = self.address.ip().to_canonical();
        let is_broadcast = matches!(ip, IpAddr::V4(it) if it.is_broadcast());
        self.address.port() != 0 && !ip.is_unspecified() && !ip.is_multicast() && !is_broadcast
    }

    /// Returns whether this registration is as new as `other` or newer. One that is just as new
    /// also counts, since it shows that the target is still registered.
    fn supersedes(&self, other: &Target) -> bool {
        (other.start, other.version) <= (self.start, self.version)
    }

    fn service_software(&self) -> (ServiceName, Option<SoftwareVersion>) {
        (self.service.clone(), self.software.clone())
    }
}

/// A registered target and the state of its registration.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Registration {
    target: Target,
    /// When the registration was first found missing; `None` while it is present.
    missing_since: Option<Duration>,
}

/// The minimum number of reports that a target misses during an outage before its registration
/// expires.
///
/// It expires three report periods after the last report, which may have been up to one period
/// before the outage began.
const MISSED_REPORTS: u32 = 2;

/// How long a target's statement that it is leaving is kept after its registration has gone. Until
/// then, a registration that comes back does not make the target usable.
const NOTICE_RETENTION: Duration = Duration::from_secs(3_600);

/// How long a version of the software counts after its last target has gone: longer than callers
/// wait for the end of a stream that it began.
pub(crate) const SOFTWARE_RETENTION: Duration = Duration::from_secs(60);

/// A target's statement that it is leaving.
#[derive(Clone, Debug, PartialEq, Eq)]
struct LeavingNotice {
    /// The run of the target that made the statement.
    start: Incarnation,
    /// When this host received it.
    received: Duration,
}

/// The known targets. All times are durations since the start of this process.
#[derive(Clone, Debug, Default)]
pub struct TargetRegistry {
    registrations: BTreeMap<TargetName, Registration>,
    /// The targets that said that they are leaving.
    leaving: BTreeMap<TargetName, LeavingNotice>,
    /// When each version of the software of a service was last registered.
    software_seen: BTreeMap<(ServiceName, Option<SoftwareVersion>), Duration>,
    /// The versions of targets that left since `software_seen` was last updated, which may be long ago.
    left_software: BTreeSet<(ServiceName, Option<SoftwareVersion>)>,
    /// The shortest store outage that can let registrations expire.
    min_outage: Duration,
    /// When the store last responded, to this host or to a peer.
    last_response: Option<Duration>,
    /// When the store recovered from the last outage of at least `min_outage`.
    recovered_at: Option<Duration>,
    /// Whether this host's last request to the store failed.
    is_unreachable: bool,
}

impl TargetRegistry {
    /// Returns an empty registry for targets that report once every `report_period`.
    pub fn new(report_period: Duration) -> TargetRegistry {
        TargetRegistry { min_outage: report_period * MISSED_REPORTS, ..TargetRegistry::default() }
    }

    /// Adds or updates a target as a peer lists it, unless a newer registration is known.
    ///
    /// Returns whether anything but the version changed; a target that had been missing has
    /// changed.
    pub fn upsert(&mut self, target: Target) -> bool {
        let known = self.registrations.get(&target.name);
        if known.is_some_and(|it| !target.supersedes(&it.target)) {
            return false;
        }
        self.replace(target)
    }

    /// Adds or updates a target as the store lists it, whatever its version: the store's order decides.
    /// By their versions, no registration would replace one that another process wrote with the largest.
    ///
    /// Returns whether anything but the version changed, as [`Self::upsert`] does.
    pub fn replace(&mut self, target: Target) -> bool {
        match self.registrations.get_mut(&target.name) {
            Some(registration) => {
                let mut target = target;
                // A peer of an earlier release leaves out the version of the software.
                if target.software.is_none() && target.start == registration.target.start {
                    target.software.clone_from(&registration.target.software);
                }
                let same_version =
                    Target { version: registration.target.version, ..target.clone() };
                let is_changed =
                    same_version != registration.target || registration.missing_since.is_some();
                if target.software != registration.target.software {
                    self.left_software.insert(registration.target.service_software());
                }
                *registration = Registration { target, missing_since: None };
                is_changed
            }
            None => {
                self.registrations
                    .insert(target.name.clone(), Registration { target, missing_since: None });
                true
            }
        }
    }

    /// Records that the run `start` of a target said at `now` that it is leaving; returns whether
    /// that is new.
    pub fn record_leaving(&mut self, name: &TargetName, start: Incarnation, now: Duration) -> bool {
        let registrations = &self.registrations;
        self.leaving.retain(|name, it| {
            registrations.contains_key(name) || now < it.received + NOTICE_RETENTION
        });
        if self.has_left(name, start) {
            return false;
        }
        self.leaving.insert(name.clone(), LeavingNotice { start, received: now });
        true
    }

    /// Returns whether the run `start` of a target, or a later one, said that it is leaving.
    fn has_left(&self, name: &TargetName, start: Incarnation) -> bool {
        self.leaving.get(name).is_some_and(|it| start <= it.start)
    }

    /// Handles a registration that is missing from the store.
    ///
    /// Returns whether the target was removed. During an outage of the store and the
    /// [`REREGISTRATION_GRACE`] after it, the target is only marked as missing.
    pub fn handle_missing(&mut self, name: &TargetName, now: Duration) -> bool {
        let is_in_grace = self.is_unreachable
            || self.recovered_at.is_some_and(|it| now < it + REREGISTRATION_GRACE);
        if !is_in_grace {
            return self.remove(name);
        }
        if let Some(registration) = self.registrations.get_mut(name) {
            registration.missing_since.get_or_insert(now);
        }
        false
    }

    /// Records whether the store responded to this host's last request.
    ///
    /// The grace period begins with the first response after an outage of at least `min_outage`.
    pub fn set_unreachable(&mut self, is_unreachable: bool, now: Duration) {
        let is_recovery = self.is_unreachable && !is_unreachable;
        let was_long = self.last_response.is_none_or(|it| it + self.min_outage <= now);
        if is_recovery && was_long {
            self.recovered_at = Some(now);
        }
        self.is_unreachable = is_unreachable;
        if !is_unreachable {
            self.last_response = Some(now);
        }
    }

    /// Records that the store responded to a peer at `time`. A recent response to any host means
    /// that targets could report, and so shortens the outage.
    pub fn record_peer_response(&mut self, time: Duration) {
        self.last_response = self.last_response.max(Some(time));
    }

    /// Removes the targets that are still missing after the grace period, and returns their names.
    pub fn remove_missing(&mut self, now: Duration) -> Vec<TargetName> {
        if self.is_unreachable
            || self.recovered_at.is_some_and(|it| now < it + REREGISTRATION_GRACE)
        {
            return Vec::new();
        }
        let missing = self.registrations.iter().filter(|(_, it)| it.missing_since.is_some());
        let gone: Vec<TargetName> = missing.map(|(name, _)| name.clone()).collect();
        for name in &gone {
            self.remove(name);
        }
        gone
    }

    /// Handles all targets that a full listing lacks, and returns those that were removed at once;
    /// others are marked as missing. Does not add the listed targets.
    pub fn apply_listing<'a, I>(&mut self, listed: I, now: Duration) -> Vec<TargetName>
    where
        I: Iterator<Item = &'a TargetName>,
    {
        let listed: BTreeSet<&TargetName> = listed.collect();
        let missing: Vec<TargetName> =
            self.registrations.keys().filter(|it| !listed.contains(it)).cloned().collect();
        missing.into_iter().filter(|it| self.handle_missing(it, now)).collect()
    }

    /// Removes all targets that a peer's listing lacks, and returns their names. Does not add the
    /// listed targets.
    ///
    /// The store responds to that peer, so a target that it does not list has left; there is no
    /// outage that could explain the missing registration.
    pub fn apply_peer_listing<'a, I>(&mut self, listed: I) -> Vec<TargetName>
    where
        I: Iterator<Item = &'a TargetName>,
    {
        let listed: BTreeSet<&TargetName> = listed.collect();
        let gone: Vec<TargetName> =
            self.registrations.keys().filter(|it| !listed.contains(it)).cloned().collect();
        for name in &gone {
            self.remove(name);
        }
        gone
    }

    /// Removes a registration; returns whether there was one.
    fn remove(&mut self, name: &TargetName) -> bool {
        let removed = self.registrations.remove(name);
        self.left_software.extend(removed.iter().map(|it| it.target.service_software()));
        removed.is_some()
    }

    /// Returns the time since the store's last response to this host or a peer, which is the age of
    /// the listing, or `None` if it has never responded.
    ///
    /// A host that has just started knows no targets, and its empty list must not pass for a recent
    /// one.
    pub fn listing_age(&self, now: Duration) -> Option<Duration> {
        self.last_response.map(|it| now.saturating_sub(it))
    }

    /// Adds versions whose targets may have left just before `now`.
    pub fn add_software(
        &mut self,
        versions: &BTreeSet<(ServiceName, Option<SoftwareVersion>)>,
        now: Duration,
    ) {
        self.software_seen.extend(versions.iter().map(|it| (it.clone(), now)));
    }

    /// Returns the versions of the software that each service's targets run, or ran up to
    /// a minute ago.
    pub fn software(
        &mut self,
        now: Duration,
    ) -> BTreeMap<ServiceName, BTreeSet<Option<SoftwareVersion>>> {
        for Registration { target, .. } in self.registrations.values() {
            self.software_seen.insert(target.service_software(), now);
        }
        let left = std::mem::take(&mut self.left_software);
        self.software_seen.extend(left.into_iter().map(|it| (it, now)));
        self.software_seen.retain(|_, seen| now < *seen + SOFTWARE_RETENTION);
        let mut software: BTreeMap<_, BTreeSet<_>> = BTreeMap::new();
        for (service, version) in self.software_seen.keys() {
            software.entry(service.clone()).or_default().insert(version.clone());
        }
        software
    }

    /// Returns the targets by name, with those that are marked as missing. A target that said that
    /// it is leaving has that status.
    pub fn targets(&self) -> BTreeMap<TargetName, Target> {
        let mut targets = self.registered();
        for (name, target) in &mut targets {
            if self.has_left(name, target.start) {
                target.status = TargetStatus::Leaving;
            }
        }
        targets
    }

    /// Returns the targets by name as they are registered, for a peer.
    ///
    /// What targets said to this host is left out: a peer would take it for a registration. It
    /// finds out with its own first response from the target, which still completes its requests.
    pub fn registered(&self) -> BTreeMap<TargetName, Target> {
        self.registrations.iter().map(|(name, it)| (name.clone(), it.target.clone())).collect()
    }
}
