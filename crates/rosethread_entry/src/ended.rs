//! Turns whose end a host has been told, so that a request for their tokens that comes later holds
//! nothing.

use std::{
    collections::{BTreeSet, VecDeque},
    time::Duration,
};

use crate::ledger::GrantId;

/// How long an end is remembered: longer than a request can wait for a claim and its records.
const ENDED_AGE: Duration = Duration::from_secs(60);

/// The most ends that are remembered for one shard.
const MAX_ENDED: usize = 4_096;

/// The ends of one shard's turns, whoever granted them; time is the duration since the process's
/// start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EndedGrants {
    /// The oldest comes first.
    order: VecDeque<(Duration, GrantId)>,
    grants: BTreeSet<GrantId>,
}

impl EndedGrants {
    /// Takes note of an end, and forgets the oldest ones. Returns whether it was not known.
    pub fn insert(&mut self, grant: GrantId, now: Duration) -> bool {
        let is_new = self.grants.insert(grant);
        if is_new {
            self.order.push_back((now, grant));
        }
        while let Some((time, oldest)) = self.order.front().copied()
            && (time + ENDED_AGE <= now || MAX_ENDED < self.order.len())
        {
            self.order.pop_front();
            self.grants.remove(&oldest);
        }
        is_new
    }

    /// Tells whether the end is known.
    pub fn contains(&self, grant: GrantId) -> bool {
        self.grants.contains(&grant)
    }
}
