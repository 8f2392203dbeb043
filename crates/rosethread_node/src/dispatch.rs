//! Access of owned programs to targets: slots, leases and target health.
//!
//! Each target has one owner node, found by rendezvous hashing, which grants its slots. A program's
//! owner that is not the target's owner leases a slot from it, and then connects to the target
//! directly, so tokens never pass through a third node.

mod acquire;
mod slots;

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard},
};

use rosethread_policy::TargetHealth;
use rosethread_types::TargetName;

pub(crate) use acquire::{AcquiredSlot, acquire, grant_lease, release_lease, sweep_leases};
use serde::{Deserialize, Serialize};
pub use slots::SlotRequest;
pub(crate) use slots::{Permit, SlotPool};

/// The identifier of a lease, by which another node uses a slot of the target's owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LeaseId(pub u64);

/// The slots, leases and health of targets, as this node knows them.
#[derive(Default)]
pub(crate) struct Dispatch {
    slots: Mutex<BTreeMap<TargetName, Arc<SlotPool>>>,
    health: Mutex<BTreeMap<TargetName, TargetHealth>>,
    leases: Mutex<BTreeMap<LeaseId, acquire::LeasedSlot>>,
}

impl Dispatch {
    /// Returns the slots of a target that this node grants.
    pub(crate) fn slots(&self, target: &TargetName) -> Arc<SlotPool> {
        let mut slots = self.slots.lock().expect("no code panics while it holds the slots");
        slots.entry(target.clone()).or_default().clone()
    }

    /// Returns what this node knows about each target's health.
    pub(crate) fn health(&self) -> MutexGuard<'_, BTreeMap<TargetName, TargetHealth>> {
        self.health.lock().expect("no code panics while it holds the health")
    }

    /// Updates what this node knows about a target's health.
    pub(crate) fn update_health<R>(
        &self,
        target: &TargetName,
        update: impl FnOnce(&mut TargetHealth) -> R,
    ) -> R {
        update(self.health().entry(target.clone()).or_default())
    }

    fn leases(&self) -> MutexGuard<'_, BTreeMap<LeaseId, acquire::LeasedSlot>> {
        self.leases.lock().expect("no code panics while it holds the leases")
    }
}
