//! Closes programs and releases their engine memory and budget.

use std::sync::Arc;

use rosethread_config::ObjectiveKind;
use rosethread_platform::CacheAction;
use rosethread_program::Event;
use rosethread_types::{MemberName, ProgramId, Reason, Refusal};

use crate::{
    call::ProgramStatus,
    core::Core,
    owner::{OwnedProgram, journalling, send},
    slo::EventLabels,
};

/// Closes a program that this node owns, and its sub-agents.
///
/// In the background its call is cancelled and its memory released at all engines.
pub(crate) fn close(core: &Arc<Core>, owned: &Arc<OwnedProgram>) {
    let (event, parent, spent, children) = {
        let mut state = owned.lock();
        if state.program.has_ended() {
            return;
        }
        let event = state.program.close();
        let parent = state.program.grant.parent.clone();
        let children: Vec<ProgramId> = state.children.keys().cloned().collect();
        (event, parent, state.program.account.spent, children)
    };
    observe_latency(core, owned);
    journalling::record_detached(core, owned, event);
    let (releasing, program) = (core.clone(), owned.clone());
    core.tasks.spawn(async move { release_all(&releasing, &program).await });
    for child in children {
        if let Some(child) = core.owned(&child) {
            close(core, &child);
        }
    }
    if let Some(parent) = parent {
        settle_child(core, &parent, &owned.id, spent);
    }
    core.metrics.programs_closed.inc();
    owned.notify();
}

/// Records the time from the program's first call to its last answer.
fn observe_latency(core: &Core, owned: &OwnedProgram) {
    let (class, latency) = {
        let state = owned.lock();
        let latency = state.first_call.zip(state.last_answer).map(|(first, last)| last - first);
        (state.program.grant.class.clone(), latency)
    };
    let Some(latency) = latency else {
        return;
    };
    let subject = EventLabels { class: &class, member: &owned.id.member, target: None };
    let active_document = core.document.borrow().clone();
    let kind = ObjectiveKind::ProgramLatency;
    core.objectives.observe_time(&active_document.document, core.now(), kind, subject, latency);
}

/// Returns the unused part of a sub-agent's budget to its parent's account.
fn settle_child(core: &Core, parent: &ProgramId, child: &ProgramId, spent: u64) {
    let Some(parent) = core.owned(parent) else {
        return;
    };
    let mut state = parent.lock();
    if let Some(held) = state.children.remove(child) {
        state.program.account.settle(held, spent.min(held));
    }
}

/// Drops the cache and streams of an ended program at every engine that it used.
///
/// An engine that cannot be reached is tried again by the next sweep. Once all engines have
/// released the program this is journalled, so that a later owner does not ask them again.
pub(super) async fn release_all(core: &Arc<Core>, owned: &Arc<OwnedProgram>) {
    let active_document = core.document.borrow().clone();
    let engines = owned.lock().used_engines.clone();
    for name in engines {
        let is_released = match active_document.document.target(&name) {
            Some(target) => {
                let address = send::address(target);
                core.targets
                    .apply_cache_action(&address, &owned.id, CacheAction::Drop)
                    .await
                    .is_ok()
            }
            // A target that was removed from the document is no longer managed by the nodes.
            None => true,
        };
        if is_released {
            owned.lock().used_engines.remove(&name);
        }
    }
    let is_done = {
        let mut state = owned.lock();
        let is_done = state.used_engines.is_empty()
            && !state.program.has_running_call()
            && !state.is_released;
        state.is_released |= is_done;
        is_done
    };
    if is_done {
        journalling::record_detached(core, owned, Event::Released);
    }
}

/// Returns the status of a program that this node owns.
pub(crate) fn status(owned: &OwnedProgram, member: &MemberName) -> Result<ProgramStatus, Refusal> {
    if owned.id.member != *member {
        return Err(Refusal::not_run(Reason::Forbidden, "the program belongs to another member"));
    }
    Ok(owned.lock().status())
}
