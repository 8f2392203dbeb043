//! Ends programs and releases what they hold.

use std::sync::Arc;

use rosethread_config::ObjectiveKind;
use rosethread_platform::CacheAction;
use rosethread_program::Event;
use rosethread_types::{MemberName, ProgramId, Reason, Refusal};

use crate::{
    call::ProgramStatus,
    core::Core,
    owner::{Owned, journalling, send},
    slo::EventLabels,
};

/// Ends a program that this node owns: cancels its call and releases its memory everywhere.
pub(crate) fn close(core: &Arc<Core>, owned: &Arc<Owned>) {
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
    let (releasing, of) = (core.clone(), owned.clone());
    core.tasks.spawn(async move { release_all(&releasing, &of).await });
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

/// Counts the time from the program's first call to its last answer.
fn observe_latency(core: &Core, owned: &Owned) {
    let (class, latency) = {
        let state = owned.lock();
        let latency = state.first_call.zip(state.last_answer).map(|(first, last)| last - first);
        (state.program.grant.class.clone(), latency)
    };
    let Some(latency) = latency else {
        return;
    };
    let subject = EventLabels { class: &class, member: &owned.id.member, target: None };
    let in_force = core.document.borrow().clone();
    let kind = ObjectiveKind::ProgramLatency;
    core.objectives.observe_time(&in_force.document, core.now(), kind, subject, latency);
}

/// Returns the unused part of a sub-agent's budget to its parent.
fn settle_child(core: &Core, parent: &ProgramId, child: &ProgramId, spent: u64) {
    let Some(parent) = core.owned(parent) else {
        return;
    };
    let mut state = parent.lock();
    if let Some(held) = state.children.remove(child) {
        state.program.account.settle(held, spent.min(held));
    }
}

/// Drops the ended program's cache and streams at every engine it touched.
///
/// An engine that cannot be reached stays on the list for the next sweep. Once the list is empty
/// the journal says so, so that a successor does not have to ask every engine again.
pub(super) async fn release_all(core: &Arc<Core>, owned: &Arc<Owned>) {
    let in_force = core.document.borrow().clone();
    let touched = owned.lock().touched.clone();
    for name in touched {
        let is_released = match in_force.document.target(&name) {
            Some(target) => {
                let address = send::address(target);
                core.targets
                    .apply_cache_action(&address, &owned.id, CacheAction::Drop)
                    .await
                    .is_ok()
            }
            // A target that the document no longer has is not ours to care for.
            None => true,
        };
        if is_released {
            owned.lock().touched.remove(&name);
        }
    }
    let is_done = {
        let mut state = owned.lock();
        let is_done =
            state.touched.is_empty() && !state.program.has_running_call() && !state.is_released;
        state.is_released |= is_done;
        is_done
    };
    if is_done {
        journalling::record_detached(core, owned, Event::Released);
    }
}

/// Returns the status of a program that this node owns.
pub(crate) fn status(owned: &Owned, member: &MemberName) -> Result<ProgramStatus, Refusal> {
    if owned.id.member != *member {
        return Err(Refusal::not_run(Reason::Forbidden, "the program belongs to another member"));
    }
    Ok(owned.lock().status())
}
