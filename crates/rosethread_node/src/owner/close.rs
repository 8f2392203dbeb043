//! Ends programs and releases what they hold.

use std::sync::Arc;

use rosethread_config::Document;
use rosethread_platform::CacheHold;
use rosethread_types::{MemberName, ProgramId, Reason, Refusal};

use crate::{
    call::ProgramStatus,
    core::Core,
    owner::{Owned, journalling, send},
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
    journalling::record_detached(core, owned, event);
    release_all(core, owned);
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

/// Drops the program's cache and streams at every engine it touched.
pub(super) fn release_all(core: &Arc<Core>, owned: &Owned) {
    let in_force = core.document.borrow().clone();
    let touched = std::mem::take(&mut owned.lock().touched);
    for name in touched {
        if let Some(target) = Document::target(&in_force.document, &name) {
            send::release_detached(core, &owned.id, target, CacheHold::Drop);
        }
    }
}

/// Returns the status of a program that this node owns.
pub(crate) fn status(owned: &Owned, member: &MemberName) -> Result<ProgramStatus, Refusal> {
    if owned.id.member != *member {
        return Err(Refusal::not_run(Reason::Forbidden, "the program belongs to another member"));
    }
    Ok(owned.lock().status())
}
