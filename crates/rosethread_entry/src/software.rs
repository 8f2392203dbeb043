//! How sure this host is that it knows the versions of a service's software.
//!
//! That a service runs one version only lets a stream go on at any of its targets, which is a promise to
//! the caller. What a host has read is no proof of it: a target of another version may have registered
//! since, and streams may have begun there through other hosts. So the promise takes a read of the
//! registry that began after the call arrived, by this host or by another one, however short the time
//! since the last read seems to be. See `docs/design/versions.md`.

use std::{
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use rosethread_types::ServiceName;
use tokio::{
    sync::{Notify, watch},
    time::timeout,
};

use crate::{entry::Entry, peers::PeerReply, registry::SOFTWARE_RETENTION};

/// How long a call waits for a read of the registry.
const READ_TIMEOUT: Duration = Duration::from_millis(150);

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

/// The numbers of the reads of the registry, in the order in which they begin.
#[derive(Clone, Copy, Debug, Default)]
struct ReadProgress {
    /// The last one that began.
    begun: u64,
    /// The last one that succeeded.
    succeeded: u64,
    /// The last one that failed.
    failed: u64,
}

/// The reads of the registry, so that a call can wait for one that begins after it arrived.
///
/// Calls that wait at the same time share a read.
#[derive(Default)]
pub(crate) struct RegistryReads {
    wanted: Notify,
    progress: watch::Sender<ReadProgress>,
}

impl RegistryReads {
    /// Returns the number of a read that is about to begin.
    pub(crate) fn begin(&self) -> u64 {
        self.progress.send_modify(|it| it.begun += 1);
        self.progress.borrow().begun
    }

    /// Records the end of a read, after what it found has been published.
    pub(crate) fn end(&self, number: u64, is_read: bool) {
        self.progress.send_modify(|it| {
            if is_read {
                it.succeeded = number;
            } else {
                it.failed = number;
            }
        });
    }

    /// Waits until a call needs a read.
    pub(crate) async fn wait_until_wanted(&self) {
        self.wanted.notified().await;
    }

    /// Waits for a read that begins after this call, and returns whether it succeeded in time. Does not
    /// wait where the last one failed.
    async fn confirm(&self) -> bool {
        let mut progress = self.progress.subscribe();
        let before = *progress.borrow();
        if before.succeeded < before.failed {
            return false;
        }
        self.wanted.notify_one();
        let is_over = |it: &ReadProgress| before.begun < it.succeeded.max(it.failed);
        match timeout(READ_TIMEOUT, progress.wait_for(is_over)).await {
            Ok(Ok(it)) => before.begun < it.succeeded,
            _ => false,
        }
    }
}

/// What this host has found out about the versions of its services.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Confirmation {
    /// Whether it has read the registry since it was asked.
    pub(crate) is_fresh: bool,
    /// How much it knows of what it did not see.
    pub(crate) certainty: Certainty,
}

impl Confirmation {
    /// Returns whether no stream has begun at a version that this host does not count.
    pub(crate) fn is_certain(self) -> bool {
        self.is_fresh && self.certainty == Certainty::Certain
    }
}

/// Reads the registry again.
pub(crate) async fn confirm(entry: &Entry) -> Confirmation {
    let is_fresh = entry.registry_reads.confirm().await;
    Confirmation { is_fresh, certainty: entry.software_history.certainty(entry.now()) }
}

/// Returns the reply to a peer that does not know at which version a stream began, or whether a service
/// has more than one.
pub(crate) async fn software_reply(
    entry: &Arc<Entry>,
    service: &ServiceName,
    key: Option<u64>,
) -> PeerReply {
    let is_certain = confirm(entry).await.is_certain();
    PeerReply::Software {
        origin: key.and_then(|it| entry.origins.find(it)),
        software: entry.software(service).into_iter().collect(),
        is_certain,
    }
}
