//! Acquires a slot of a target, from this node or by a lease from the target's owner.

use std::{sync::Arc, time::Duration};

use rosethread_config::Target;
use rosethread_membership::{Contact, target_owner};
use rosethread_types::{NodeName, Reason, Refusal, TargetName};
use tokio::time::Instant;

use crate::{
    core::Core,
    dispatch::{LeaseId, Permit, SlotRequest},
    peers::{PeerReply, PeerRequest},
};

/// The time after which a lease that was not released expires.
const LEASE_TTL: Duration = Duration::from_secs(600);

/// A slot that another node uses under a lease.
pub(super) struct LeasedSlot {
    holder: NodeName,
    expires: Instant,
    _permit: Permit,
}

/// A slot in use; dropping it frees the slot.
pub(crate) enum AcquiredSlot {
    /// Granted by this node.
    Local { _permit: Permit },
    /// Leased from the target's owner.
    Remote { _slot: RemoteSlot },
}

/// A lease on another node's slot; dropping it releases the lease in the background.
pub(crate) struct RemoteSlot {
    core: Arc<Core>,
    owner: Contact,
    lease: LeaseId,
}

impl Drop for RemoteSlot {
    fn drop(&mut self) {
        let (core, owner, lease) = (self.core.clone(), self.owner.clone(), self.lease);
        self.core.tasks.spawn(async move {
            // If the message is lost, the lease ends when it expires or this node stops running.
            let _ = core.peers.request(&owner, PeerRequest::Release { lease }).await;
        });
    }
}

/// Waits for a slot of `target`.
pub(crate) async fn acquire(
    core: &Arc<Core>,
    target: &Target,
    slot_request: SlotRequest,
) -> AcquiredSlot {
    let view = core.view();
    let owner = target_owner(&view, target.name.as_str(), &target.zone);
    let remote = owner.filter(|it| it != core.node_name()).and_then(|it| view.get(&it).cloned());
    if let Some(owner) = remote
        && let Some(slot) = request_lease(core, &owner.contact, &target.name, &slot_request).await
    {
        return AcquiredSlot::Remote { _slot: slot };
    }
    // The target's owner is this node, or gave no lease. In the second case two nodes grant slots
    // of the target at once, and the engine queues the excess calls.
    configure_slots(core, target);
    let permit = core.dispatch.slots(&target.name).acquire(slot_request).await;
    AcquiredSlot::Local { _permit: permit }
}

/// Requests a lease from the target's owner; returns `None` if it was not granted.
async fn request_lease(
    core: &Arc<Core>,
    owner: &Contact,
    target: &TargetName,
    slot_request: &SlotRequest,
) -> Option<RemoteSlot> {
    let holder = core.node_name().clone();
    let request =
        PeerRequest::Acquire { target: target.clone(), holder, ticket: slot_request.clone() };
    match core.peers.request(owner, request).await {
        Ok(PeerReply::Granted(lease)) => {
            Some(RemoteSlot { core: core.clone(), owner: owner.clone(), lease })
        }
        _ => None,
    }
}

/// Grants a lease to another node.
///
/// The target is checked again, since the other node may have an older document.
pub(crate) async fn grant_lease(
    core: &Arc<Core>,
    target: &TargetName,
    holder: NodeName,
    slot_request: SlotRequest,
) -> Result<LeaseId, Refusal> {
    let active_document = core.document()?;
    let Some(target) = active_document.document.target(target) else {
        return Err(Refusal::not_run(Reason::NoTarget, format!("no target {target}")));
    };
    if !target.serves(&slot_request.member) {
        let detail = format!("target {} may not serve {}", target.name, slot_request.member);
        return Err(Refusal::not_run(Reason::NoTarget, detail));
    }
    configure_slots(core, target);
    let permit = core.dispatch.slots(&target.name).acquire(slot_request).await;
    let lease = LeaseId(core.random.next_u64());
    let leased = LeasedSlot { holder, expires: Instant::now() + LEASE_TTL, _permit: permit };
    core.dispatch.leases().insert(lease, leased);
    Ok(lease)
}

/// Ends a lease and frees its slot.
pub(crate) fn release_lease(core: &Core, lease: LeaseId) {
    // The permit is dropped outside the lock, since that grants the slot to the next call.
    let leased = core.dispatch.leases().remove(&lease);
    drop(leased);
}

/// Ends the leases of nodes that are not running, and those that have expired.
pub(crate) fn sweep_leases(core: &Core) {
    let view = core.view();
    let now = Instant::now();
    let mut expired = Vec::new();
    {
        let mut leases = core.dispatch.leases();
        let is_expired = |it: &LeasedSlot| it.expires <= now || !view.is_running(&it.holder);
        let ended: Vec<LeaseId> =
            leases.iter().filter(|(_, it)| is_expired(it)).map(|(lease, _)| *lease).collect();
        expired.extend(ended.iter().filter_map(|it| leases.remove(it)));
    }
    drop(expired);
}

/// Sets the slots and the strategy of a target to those of the document.
fn configure_slots(core: &Core, target: &Target) {
    let strategy = crate::owner::strategy(&core.document.borrow().document);
    core.dispatch.slots(&target.name).configure(target.slots(), strategy);
}
