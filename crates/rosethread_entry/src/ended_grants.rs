//! Recently ended grants. A turn's settlement goes to all hosts that were asked for the turn's
//! tokens, and it may overtake a request that is still waiting at one of them. That host must not
//! grant the tokens any more, as nobody would settle them.

use std::{
    collections::{BTreeSet, VecDeque},
    time::Duration,
};

use crate::ledger::{GrantId, HeldGrant, Settlement};

/// How long an ended grant is remembered: longer than a request can wait while its shard is claimed
/// and the records of the shard are read.
const ENDED_TTL: Duration = Duration::from_secs(60);

/// The most ended grants that are remembered for one shard; beyond it the oldest are forgotten.
const MAX_ENDED: usize = 4_096;

/// How long the settlement of a turn is kept for a shard that this host does not own: the next owner of a
/// released shard claims it when a turn of it arrives.
const EARLY_TTL: Duration = Duration::from_secs(10);

/// The most such settlements that are kept for one shard.
const MAX_EARLY: usize = 256;

/// The ended grants of one shard, whichever host granted them.
///
/// Times are durations since the start of the process.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EndedGrants {
    /// The grants with the times of their ends.
    oldest_first: VecDeque<(Duration, GrantId)>,
    grants: BTreeSet<GrantId>,
    /// Settlements that came before this host owned the shard, with the times of their arrival.
    early: VecDeque<(Duration, EarlySettlement)>,
}

/// A settlement that came before this host owned the shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EarlySettlement {
    /// The settlement.
    pub settlement: Settlement,
    /// The grant, if its carrier held it until it ended.
    pub held: Option<HeldGrant>,
}

impl EndedGrants {
    /// Records that a grant has ended, and returns whether that was new.
    ///
    /// Drops ends that are too old, and the oldest ones if there are too many.
    pub fn insert(&mut self, grant: GrantId, now: Duration) -> bool {
        let is_new = self.grants.insert(grant);
        if is_new {
            self.oldest_first.push_back((now, grant));
        }
        while let Some((time, oldest)) = self.oldest_first.front().copied()
            && (time + ENDED_TTL <= now || MAX_ENDED < self.oldest_first.len())
        {
            self.oldest_first.pop_front();
            self.grants.remove(&oldest);
        }
        is_new
    }

    /// Keeps a settlement for the case that this host becomes the shard's owner while the turn has an open
    /// grant.
    pub fn keep_early(&mut self, settlement: Settlement, held: Option<HeldGrant>, now: Duration) {
        self.early.push_back((now, EarlySettlement { settlement, held }));
        while self.early.front().is_some_and(|(time, _)| *time + EARLY_TTL <= now)
            || MAX_EARLY < self.early.len()
        {
            self.early.pop_front();
        }
    }

    /// Removes the settlements that came before this host owned the shard and count now: those of the open
    /// grants, and of grants that their carriers hold.
    pub fn take_early(&mut self, open: &BTreeSet<GrantId>) -> Vec<EarlySettlement> {
        let counts =
            |it: &EarlySettlement| it.held.is_some() || open.contains(&it.settlement.grant);
        let (taken, left): (VecDeque<_>, VecDeque<_>) =
            std::mem::take(&mut self.early).into_iter().partition(|(_, it)| counts(it));
        self.early = left;
        taken.into_iter().map(|(_, it)| it).collect()
    }

    /// Returns whether the grant is known to have ended.
    pub fn contains(&self, grant: GrantId) -> bool {
        self.grants.contains(&grant)
    }
}
