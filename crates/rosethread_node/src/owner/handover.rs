//! Hands programs over to other nodes when this one leaves.

use std::{sync::Arc, time::Duration};

use rosethread_journal::Verdict;
use rosethread_membership::rank_nodes;
use rosethread_program::{Event, Recovery};
use rosethread_types::{Reason, Refusal};
use slog::info;
use tokio::time::sleep;

use crate::{
    core::Core,
    owner::{Owned, Tenure, journalling},
    peers::{Handover, PeerReply, PeerRequest},
};

/// The pause between two rounds of handing over.
const ROUND: Duration = Duration::from_millis(100);

/// Hands all programs over, each between two of its calls; returns when none is left.
pub(crate) async fn hand_over_all(core: &Arc<Core>) {
    loop {
        let all = core.owned_programs();
        if all.is_empty() {
            return;
        }
        let offers = all.iter().map(|it| hand_over(core, it));
        futures::future::join_all(offers).await;
        sleep(ROUND).await;
    }
}

/// Offers a program to its successor; does nothing while a call is running.
async fn hand_over(core: &Arc<Core>, owned: &Arc<Owned>) {
    let Some(handover) = freeze(owned) else {
        return;
    };
    let is_taken = match offer(core, owned, handover).await {
        Some(is_taken) => is_taken,
        // Without a reply the log tells whether the successor has claimed the program.
        None => {
            sleep(ROUND).await;
            !journalling::is_owner(core, owned)
        }
    };
    if is_taken {
        info!(core.logger, "owner: handed program {} over", owned.id);
        owned.lose(core);
    } else {
        owned.lock().frozen = false;
        owned.notify();
    }
}

/// Stops the program's calls and returns its state, unless one is running.
fn freeze(owned: &Owned) -> Option<Handover> {
    let mut state = owned.lock();
    let Tenure::Confirmed(epoch) = state.tenure else {
        return None;
    };
    if state.program.has_running_call() || state.frozen {
        return None;
    }
    state.frozen = true;
    let target = state.cached.as_ref().map(|(target, _)| target.clone());
    let touched = state.touched.iter().cloned().collect();
    Some(Handover { epoch, checkpoint: state.program.checkpoint(), target, touched })
}

/// Returns whether the successor took the program, or nothing if it did not say.
async fn offer(core: &Arc<Core>, owned: &Owned, handover: Handover) -> Option<bool> {
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

/// Takes a program over from its owner, with its account as the owner left it.
///
/// The claim replaces the owner's epoch, so of an owner that changes its mind and a successor only
/// one wins.
pub(crate) async fn adopt(core: &Arc<Core>, handover: Handover) -> Result<(), Refusal> {
    let refuse = |detail: &str| Refusal::not_run(Reason::NotOwner, detail);
    let Event::Checkpoint { grant, spent, limit, .. } = &handover.checkpoint else {
        return Err(refuse("a handover carries a checkpoint"));
    };
    let (grant, spent, limit) = (grant.clone(), *spent, *limit);
    let id = grant.program.clone();
    let lock = core.takeover_lock(&id);
    let _guard = lock.lock().await;
    let event = Event::Claimed(grant);
    let verdict = journalling::claim(core, &id, handover.epoch, event).await;
    let Ok(Verdict::Accepted(epoch)) = verdict else {
        return Err(refuse("the claim did not count"));
    };
    let mut recovery = Recovery::default();
    recovery.apply(handover.checkpoint.clone());
    let Some(mut program) = recovery.build() else {
        return Err(refuse("the checkpoint is incomplete"));
    };
    // The owner stopped before it sent the account, so nothing beyond it can have been spent.
    program.account.spent = spent;
    program.account.stranded = 0;
    program.account.confirm_limit(limit);
    let owned = Owned::new(id, program, Tenure::Confirmed(epoch));
    {
        let mut state = owned.lock();
        let tokens = state.program.history.context_tokens();
        state.cached = handover.target.map(|it| (it, tokens));
        state.touched = handover.touched.into_iter().collect();
    }
    core.insert_owned(owned.clone());
    journalling::record_detached(core, &owned, handover.checkpoint);
    Ok(())
}
