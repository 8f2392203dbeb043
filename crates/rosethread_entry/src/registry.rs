//! Which targets run, as they register themselves in the platform's store.
//!
//! An entry lapses when its target falls silent, but also when the store is away and the target
//! cannot write. So an entry that lapses just after the store has come back is kept for a while. A
//! silence of the store too short for a target to miss its reports makes no entry lapse, nor does a
//! store that turns only this host away: what is missing then has left, and using it any longer
//! would send work to a target that stops.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use rosethread_types::{Incarnation, ServiceName, TargetName, ZoneName};
use serde::{Deserialize, Serialize};

/// How long after the store's return targets may take to register again.
pub const REREGISTRATION_GRACE: Duration = Duration::from_millis(2_200);

/// Whether a target takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TargetStatus {
    /// It takes new work.
    Ready,
    /// It finishes what it has.
    Leaving,
}

/// A target as it registered itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Its name.
    pub name: TargetName,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// Its address.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub status: TargetStatus,
    /// The start of its process, which tells one run from the next under the same name.
    pub start: Incarnation,
    /// How often it has changed within its run.
    pub version: u64,
    /// How much longer it is slow after its start.
    pub cold: Duration,
}

impl Target {
    fn supersedes(&self, other: &Target) -> bool {
        (other.start, other.version) <= (self.start, self.version)
    }
}

/// A target and what is known of its entry.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Entry {
    target: Target,
    /// When the entry was seen to be missing, if it is.
    lapsed: Option<Duration>,
}

/// Reports that a target misses, at the least, before its entry lapses: it may have made the last
/// one just before the store went away, and lapses after three times without any.
const MISSED_REPORTS: u32 = 2;

/// The targets that are known; time is the duration since the process's start.
#[derive(Clone, Debug, Default)]
pub struct TargetRegistry {
    entries: BTreeMap<TargetName, Entry>,
    /// The shortest silence of the store after which entries may be missing because of it.
    silence: Duration,
    /// When the store answered last, this host or another one.
    answered: Option<Duration>,
    /// When the store answered again after it had been away.
    returned: Option<Duration>,
    is_away: bool,
}

impl TargetRegistry {
    /// Returns an empty registry for targets that report once each `period`.
    pub fn new(period: Duration) -> TargetRegistry {
        TargetRegistry { silence: period * MISSED_REPORTS, ..TargetRegistry::default() }
    }

    /// Takes an entry in, unless a newer one is known. Returns whether anything changed but counts.
    pub fn put(&mut self, target: Target) -> bool {
        match self.entries.get_mut(&target.name) {
            Some(entry) if !target.supersedes(&entry.target) => false,
            Some(entry) => {
                let quiet = Target { version: entry.target.version, ..target.clone() };
                let is_changed = quiet != entry.target || entry.lapsed.is_some();
                *entry = Entry { target, lapsed: None };
                is_changed
            }
            None => {
                self.entries.insert(target.name.clone(), Entry { target, lapsed: None });
                true
            }
        }
    }

    /// Takes note that an entry is missing from the store. Returns whether the target is gone.
    ///
    /// While the store has been back for less than [`REREGISTRATION_GRACE`] the target is only marked.
    pub fn remove(&mut self, name: &TargetName, now: Duration) -> bool {
        let is_returning =
            self.is_away || self.returned.is_some_and(|it| now < it + REREGISTRATION_GRACE);
        if !is_returning {
            return self.entries.remove(name).is_some();
        }
        if let Some(entry) = self.entries.get_mut(name) {
            entry.lapsed.get_or_insert(now);
        }
        false
    }

    /// Takes note of whether the store answers.
    pub fn set_away(&mut self, is_away: bool, now: Duration) {
        let is_return = self.is_away && !is_away;
        let is_long = self.answered.is_none_or(|it| it + self.silence <= now);
        if is_return && is_long {
            self.returned = Some(now);
        }
        self.is_away = is_away;
        if !is_away {
            self.answered = Some(now);
        }
    }

    /// Takes note that the store answered another host at `time`.
    pub fn see_elsewhere(&mut self, time: Duration) {
        self.answered = self.answered.max(Some(time));
    }

    /// Removes the marked targets whose time to come back is over, and returns their names.
    pub fn expire(&mut self, now: Duration) -> Vec<TargetName> {
        if self.is_away || self.returned.is_some_and(|it| now < it + REREGISTRATION_GRACE) {
            return Vec::new();
        }
        let lapsed = self.entries.iter().filter(|(_, it)| it.lapsed.is_some());
        let gone: Vec<TargetName> = lapsed.map(|(name, _)| name.clone()).collect();
        for name in &gone {
            self.entries.remove(name);
        }
        gone
    }

    /// Marks all targets that a complete listing lacks, and returns those that are gone at once.
    pub fn retain<'a, I>(&mut self, listed: I, now: Duration) -> Vec<TargetName>
    where
        I: Iterator<Item = &'a TargetName>,
    {
        let listed: std::collections::BTreeSet<&TargetName> = listed.collect();
        let missing: Vec<TargetName> =
            self.entries.keys().filter(|it| !listed.contains(it)).cloned().collect();
        missing.into_iter().filter(|it| self.remove(it, now)).collect()
    }

    /// Removes all targets that another host's listing lacks, and returns their names.
    ///
    /// The store answers that host, so what it does not list is gone and has not lapsed.
    pub fn retain_peers<'a, I>(&mut self, listed: I) -> Vec<TargetName>
    where
        I: Iterator<Item = &'a TargetName>,
    {
        let listed: std::collections::BTreeSet<&TargetName> = listed.collect();
        let gone: Vec<TargetName> =
            self.entries.keys().filter(|it| !listed.contains(it)).cloned().collect();
        self.entries.retain(|name, _| !gone.contains(name));
        gone
    }

    /// Returns the time since the store's last answer, or nothing if it has never answered.
    ///
    /// A host that has just started knows no targets, which must not pass for a recent listing.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.answered.map(|it| now.saturating_sub(it))
    }

    /// Returns the targets by name.
    pub fn targets(&self) -> BTreeMap<TargetName, Target> {
        self.entries.iter().map(|(name, it)| (name.clone(), it.target.clone())).collect()
    }
}
