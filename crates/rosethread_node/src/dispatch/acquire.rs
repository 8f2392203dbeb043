//! Takes a slot of a target, from this node or by a lease from the target's owner.

use std::{sync::Arc, time::Duration};

use rosethread_config::Target;
use rosethread_membership::{Contact, target_owner};
use rosethread_types::{NodeName, Reason, Refusal, TargetName};
use tokio::time::Instant;

use crate::{
    core::Core,
    dispatch::{Lease, Permit, Ticket},
    peers::{PeerReply, PeerRequest},
};

/// How long a lease lasts without being released.
const LEASE_TIME: Duration = Duration::from_secs(600);

/// A slot lent to another node.
pub(super) struct Lent {
    holder: NodeName,
    expires: Instant,
    _permit: Permit,
}

/// A slot in use, from wherever it came.
pub(crate) enum Held {
    /// From this node.
    Local { _permit: Permit },
    /// From the target's owner.
    Remote { _slot: RemoteSlot },
}

/// A lease on another node's slot; dropping it gives the slot back.
pub(crate) struct RemoteSlot {
    core: Arc<Core>,
    owner: Contact,
    lease: Lease,
}

impl Drop for RemoteSlot {
    fn drop(&mut self) {
        let (core, owner, lease) = (self.core.clone(), self.owner.clone(), self.lease);
        self.core.tasks.spawn(async move {
            // If this is lost, the lease expires or its holder's death frees it.
            let _ = core.peers.request(&owner, PeerRequest::Release { lease }).await;
        });
    }
}

/// Waits for a slot of `target`.
pub(crate) async fn acquire(core: &Arc<Core>, target: &Target, ticket: Ticket) -> Held {
    let view = core.view();
    let owner = target_owner(&view, target.name.as_str(), &target.zone);
    let remote = owner.filter(|it| it != core.node_name()).and_then(|it| view.get(&it).cloned());
    if let Some(owner) = remote
        && let Some(slot) = take_lease(core, &owner.contact, &target.name, &ticket).await
    {
        return Held::Remote { _slot: slot };
    }
    // The target's owner is this node, or cannot be reached: this node's own slots have to do,
    // and the engine's queue takes up what two nodes grant at once.
    configure(core, target);
    let permit = core.dispatch.slots(&target.name).acquire(ticket).await;
    Held::Local { _permit: permit }
}

async fn take_lease(
    core: &Arc<Core>,
    owner: &Contact,
    target: &TargetName,
    ticket: &Ticket,
) -> Option<RemoteSlot> {
    let holder = core.node_name().clone();
    let request = PeerRequest::Acquire { target: target.clone(), holder, ticket: ticket.clone() };
    match core.peers.request(owner, request).await {
        Ok(PeerReply::Granted(lease)) => {
            Some(RemoteSlot { core: core.clone(), owner: owner.clone(), lease })
        }
        _ => None,
    }
}

/// Grants a lease to another node, which may have an older document than this one.
pub(crate) async fn grant_lease(
    core: &Arc<Core>,
    target: &TargetName,
    holder: NodeName,
    ticket: Ticket,
) -> Result<Lease, Refusal> {
    let in_force = core.document()?;
    let Some(target) = in_force.document.target(target) else {
        return Err(Refusal::not_run(Reason::NoTarget, format!("no target {target}")));
    };
    if !target.serves(&ticket.member) {
        let detail = format!("target {} may not serve {}", target.name, ticket.member);
        return Err(Refusal::not_run(Reason::NoTarget, detail));
    }
    configure(core, target);
    let permit = core.dispatch.slots(&target.name).acquire(ticket).await;
    let lease = Lease(core.random.next_u64());
    let lent = Lent { holder, expires: Instant::now() + LEASE_TIME, _permit: permit };
    core.dispatch.leases().insert(lease, lent);
    Ok(lease)
}

/// Takes a lease back.
pub(crate) fn release_lease(core: &Core, lease: Lease) {
    // The permit is dropped outside the lock, since that grants the slot on.
    let lent = core.dispatch.leases().remove(&lease);
    drop(lent);
}

/// Takes back the leases of nodes that are gone, and those that were never released.
pub(crate) fn sweep_leases(core: &Core) {
    let view = core.view();
    let now = Instant::now();
    let mut over = Vec::new();
    {
        let mut leases = core.dispatch.leases();
        let is_over = |it: &Lent| it.expires <= now || !view.is_running(&it.holder);
        let ended: Vec<Lease> =
            leases.iter().filter(|(_, it)| is_over(it)).map(|(lease, _)| *lease).collect();
        over.extend(ended.iter().filter_map(|it| leases.remove(it)));
    }
    drop(over);
}

/// Brings the slots of a target up to date with the document.
fn configure(core: &Core, target: &Target) {
    let strategy = crate::owner::strategy(&core.document.borrow().document);
    core.dispatch.slots(&target.name).configure(target.slots(), strategy);
}
