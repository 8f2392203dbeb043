//! Hands programs over to other nodes when this one shuts down, and accepts them from others.

use std::{sync::Arc, time::Duration};

use rosethread_journal::Verdict;
use rosethread_membership::rank_nodes;
use rosethread_program::{Event, Recovery};
use rosethread_types::{Reason, Refusal};
use slog::info;
use tokio::time::sleep;

use crate::{
    core::Core,
    owner::{OwnedProgram, Ownership, journalling},
    peers::{Handover, PeerReply, PeerRequest},
};

/// The pause between two rounds of offers, and before the log is checked after a lost reply.
const ROUND_INTERVAL: Duration = Duration::from_millis(100);

/// Hands over all programs, each while it has no running call, and returns once none is left.
pub(crate) async fn hand_over_all(core: &Arc<Core>) {
    loop {
        let all = core.owned_programs();
        if all.is_empty() {
            return;
        }
        let offers = all.iter().map(|it| hand_over(core, it));
        futures::future::join_all(offers).await;
        sleep(ROUND_INTERVAL).await;
    }
}

/// Offers a program to its next owner; does nothing while a call is running.
async fn hand_over(core: &Arc<Core>, owned: &Arc<OwnedProgram>) {
    let Some(handover) = begin_handover(owned) else {
        return;
    };
    let is_accepted = match offer(core, owned, handover).await {
        Some(is_accepted) => is_accepted,
        // The reply was lost: the log shows whether the other node has claimed the program.
        None => {
            sleep(ROUND_INTERVAL).await;
            !journalling::is_owner(core, owned)
        }
    };
    if is_accepted {
        info!(core.logger, "owner: handed over program {}", owned.id);
        owned.mark_lost(core);
    } else {
        owned.lock().handing_over = false;
        owned.notify();
    }
}

/// Stops the admission of calls and returns the state to hand over.
///
/// Returns `None` if the claim is not confirmed, a call is running or a handover is in progress.
fn begin_handover(owned: &OwnedProgram) -> Option<Handover> {
    let mut state = owned.lock();
    let Ownership::Confirmed(epoch) = state.ownership else {
        return None;
    };
    if state.program.has_running_call() || state.handing_over {
        return None;
    }
    state.handing_over = true;
    let target = state.cached.as_ref().map(|(target, _)| target.clone());
    let touched = state.used_engines.iter().cloned().collect();
    Some(Handover { epoch, checkpoint: state.program.checkpoint(), target, touched })
}

/// Offers the program to the live node that ranks first for it by rendezvous hashing.
///
/// Returns whether that node accepted, or `None` if its reply was lost.
async fn offer(core: &Arc<Core>, owned: &OwnedProgram, handover: Handover) -> Option<bool> {
    let view = core.view();
    let others = view.live().map(|it| &it.node).filter(|it| *it != core.node_name());
    let successor = rank_nodes(&owned.id.to_string(), others).into_iter().next();
    let Some(contact) = successor.and_then(|it| view.get(&it).map(|it| it.contact.clone())) else {
        return Some(false);
    };
    let request = PeerRequest::Adopt { handover: Box::new(handover) };
    match core.peers.request(&contact, request).await {
        Ok(PeerReply::Done) => Some(true),
        Ok(_) => Some(false),
        Err(_) => None,
    }
}

/// Accepts a program from its owner, together with the state of its account.
///
/// The claim replaces the owner's epoch. If the owner resumes the program because the reply was
/// lost, the epoch decides which of the two nodes owns it.
pub(crate) async fn accept_handover(core: &Arc<Core>, handover: Handover) -> Result<(), Refusal> {
    let refuse = |detail: &str| Refusal::not_run(Reason::NotOwner, detail);
    let Event::Checkpoint { grant, spent, limit, .. } = &handover.checkpoint else {
        return Err(refuse("the handover contains no checkpoint"));
    };
    let (grant, spent, limit) = (grant.clone(), *spent, *limit);
    let id = grant.program.clone();
    let lock = core.takeover_lock(&id);
    let _guard = lock.lock().await;
    let event = Event::Claimed(grant);
    let verdict = journalling::claim(core, &id, handover.epoch, event).await;
    let Ok(Verdict::Accepted(epoch)) = verdict else {
        return Err(refuse("the claim was fenced or could not be journalled"));
    };
    let mut recovery = Recovery::default();
    recovery.apply(handover.checkpoint.clone());
    let Some(mut program) = recovery.build() else {
        return Err(refuse("the checkpoint is incomplete"));
    };
    // The owner admitted no call after it read the account, so the spent tokens are exact and none
    // of the journalled limit is stranded.
    program.account.spent = spent;
    program.account.stranded = 0;
    program.account.confirm_limit(limit);
    let owned = OwnedProgram::new(id, program, Ownership::Confirmed(epoch));
    {
        let mut state = owned.lock();
        let tokens = state.program.history.context_tokens();
        state.cached = handover.target.map(|it| (it, tokens));
        state.used_engines = handover.touched.into_iter().collect();
    }
    core.insert_owned(owned.clone());
    journalling::record_detached(core, &owned, handover.checkpoint);
    Ok(())
}
