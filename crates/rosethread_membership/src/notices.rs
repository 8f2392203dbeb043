//! Small facts that one node learns and that all nodes act on within a second or so.
//!
//! Notices travel behind the reports of a datagram, where nodes of an older release do not look, and
//! a node skips those of a kind that it does not know. A notice never changes, so that nodes may hear
//! of it in any order and any number of times. See `docs/design/membership.md`.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};

/// How long a notice is kept after it was made.
pub const NOTICE_LIFETIME: Duration = Duration::from_secs(60);

/// The most notices that a node keeps; beyond them the oldest are dropped.
const MAX_NOTICES: usize = 512;

/// The most bytes that notices take in one datagram.
pub(crate) const MAX_NOTICE_BYTES: usize = 200;

/// The most bytes of one encoded notice: its kind, its age, the length of its body, and the body.
pub(crate) const MAX_ENCODED_BYTES: usize = 1 + 3 + 1 + 12;

/// The unit in which a datagram states the age of a notice.
const AGE_UNIT_MS: u64 = 100;

/// A fact that one node has learned.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Notice {
    /// A target crashed while it was starting to run a call.
    Crash {
        /// The digest that all attempts of the call share.
        call: u64,
        /// A hash of the target and its run.
        run: u32,
    },
    /// A target ran a call to its end, or well past its start.
    Completed {
        /// The digest that all attempts of the call share.
        call: u64,
    },
}

const CRASH_KIND: u8 = 1;
const COMPLETED_KIND: u8 = 2;

/// A notice as a datagram carries it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct EncodedNotice {
    kind: u8,
    /// The time since the notice was made, in units of [`AGE_UNIT_MS`].
    age: u16,
    body: Vec<u8>,
}

/// A notice with the time since it was made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AgedNotice {
    /// The notice.
    pub notice: Notice,
    /// The time since it was made.
    pub age: Duration,
}

impl AgedNotice {
    pub(crate) fn encode(&self) -> EncodedNotice {
        let (kind, mut body) = match self.notice {
            Notice::Crash { call, .. } => (CRASH_KIND, call.to_le_bytes().to_vec()),
            Notice::Completed { call } => (COMPLETED_KIND, call.to_le_bytes().to_vec()),
        };
        if let Notice::Crash { run, .. } = self.notice {
            body.extend_from_slice(&run.to_le_bytes());
        }
        // Rounded up, so that no notice gets younger on its way and outlives its time.
        let age = (self.age.as_millis() as u64).div_ceil(AGE_UNIT_MS);
        EncodedNotice { kind, age: u16::try_from(age).unwrap_or(u16::MAX), body }
    }

    /// Decodes a notice; `None` if its kind is unknown. Further bytes of a body are skipped: a later
    /// release may add them.
    pub(crate) fn decode(encoded: &EncodedNotice) -> Option<AgedNotice> {
        let (call, rest) = encoded.body.split_first_chunk().map(|(it, rest)| (*it, rest))?;
        let call = u64::from_le_bytes(call);
        let notice = match encoded.kind {
            CRASH_KIND => Notice::Crash { call, run: u32::from_le_bytes(*rest.first_chunk()?) },
            COMPLETED_KIND => Notice::Completed { call },
            _ => return None,
        };
        let age = Duration::from_millis(u64::from(encoded.age) * AGE_UNIT_MS);
        Some(AgedNotice { notice, age })
    }
}

#[derive(Clone, Copy, Debug)]
struct KnownNotice {
    expires: Duration,
    transmissions: u32,
}

/// The notices that a node knows. Times are durations since the start of its detector.
#[derive(Clone, Debug, Default)]
pub(crate) struct NoticeBoard {
    known: BTreeMap<Notice, KnownNotice>,
}

impl NoticeBoard {
    /// Adds a notice, unless it is known or has expired; returns whether it is new.
    pub(crate) fn add(&mut self, now: Duration, aged: AgedNotice) -> bool {
        if NOTICE_LIFETIME <= aged.age || self.known.contains_key(&aged.notice) {
            return false;
        }
        let expires = now + NOTICE_LIFETIME - aged.age;
        self.known.insert(aged.notice, KnownNotice { expires, transmissions: 0 });
        if MAX_NOTICES < self.known.len() {
            let oldest = self.known.iter().min_by_key(|(_, it)| it.expires).map(|(it, _)| *it);
            oldest.inspect(|it| {
                self.known.remove(it);
            });
        }
        true
    }

    pub(crate) fn expire(&mut self, now: Duration) {
        self.known.retain(|_, it| now < it.expires);
    }

    /// Returns all notices in order.
    pub(crate) fn list(&self) -> Vec<Notice> {
        self.known.keys().copied().collect()
    }

    /// Takes the notices for a datagram with `room` bytes left: those sent least often, and of these
    /// the newest.
    pub(crate) fn pick(&mut self, now: Duration, room: usize) -> Vec<AgedNotice> {
        let count = room.min(MAX_NOTICE_BYTES) / MAX_ENCODED_BYTES;
        let mut order: Vec<_> = self.known.iter_mut().collect();
        order.sort_by_key(|(_, it)| (it.transmissions, std::cmp::Reverse(it.expires)));
        let picked = order.into_iter().take(count).map(|(notice, it)| {
            it.transmissions = it.transmissions.saturating_add(1);
            AgedNotice {
                notice: *notice,
                age: NOTICE_LIFETIME.saturating_sub(it.expires.saturating_sub(now)),
            }
        });
        picked.collect()
    }
}
