//! How sure this host is that it knows the versions of a service's software. See
//! `docs/design/versions.md`.

use std::{
    sync::{Mutex, MutexGuard},
    time::Duration,
};

use tokio::sync::Notify;

use crate::registry::SOFTWARE_RETENTION;

/// The time after which other hosts have added to the record what they had seen: a read period, the
/// delays of two writers that come after a lost one, and a write.
pub(crate) const RECORD_LAG: Duration = Duration::from_secs(3);

/// How much of what can be known of services' versions a host knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Certainty {
    /// Versions may have come and gone unseen.
    Unknown,
    /// It has read the record of those, to which other hosts may not have added all yet.
    Likely,
    /// It knows all versions that were registered before its last read.
    Certain,
}

#[derive(Default)]
struct Followed {
    /// Since when this host has seen every change of the registry.
    since: Duration,
    /// When the last read of the record began.
    record_read: Option<Duration>,
}

/// For how long this host has followed the registry, and whether it has read what it missed before.
///
/// All times are durations since the start of this process.
#[derive(Default)]
pub(crate) struct SoftwareHistory {
    followed: Mutex<Followed>,
    /// Wakes the task that reads the record.
    pub(crate) gap_found: Notify,
}

impl SoftwareHistory {
    fn lock(&self) -> MutexGuard<'_, Followed> {
        self.followed.lock().expect("no holder of the history lock panics")
    }

    /// Records that this host has read a list of the targets at `now`, which lacks those that had left
    /// since its last read.
    pub(crate) fn record_gap(&self, now: Duration) {
        self.lock().since = now;
        self.gap_found.notify_one();
    }

    /// Records that a read of the record that began at `began` is reflected in what this host counts.
    pub(crate) fn record_read(&self, began: Duration) {
        let mut followed = self.lock();
        followed.record_read = followed.record_read.max(Some(began));
    }

    /// Returns how much this host knows at `now`.
    pub(crate) fn certainty(&self, now: Duration) -> Certainty {
        let followed = self.lock();
        let is_read_after = |time: Duration| followed.record_read.is_some_and(|it| time <= it);
        if followed.since + SOFTWARE_RETENTION < now || is_read_after(followed.since + RECORD_LAG) {
            Certainty::Certain
        } else if is_read_after(followed.since) {
            Certainty::Likely
        } else {
            Certainty::Unknown
        }
    }
}
