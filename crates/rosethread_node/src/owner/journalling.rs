//! Writes the events of owned programs to the journal, and gives up programs that are fenced.

use std::sync::Arc;

use rosethread_journal::{JournalError, Receipt, Record, Verdict};
use rosethread_program::Event;
use rosethread_types::{Epoch, ProgramId};

use crate::{
    core::Core,
    owner::{OwnedProgram, OwnedState, Ownership},
};

/// Submits an event of the program to the journal, or queues it until the claim is confirmed.
///
/// Returns `None` if the event was queued, or dropped because the ownership is lost.
pub(super) fn record(core: &Core, state: &mut OwnedState, event: Event) -> Option<Receipt> {
    match state.ownership {
        Ownership::Confirmed(epoch) => {
            let program = state.program.grant.program.clone();
            Some(core.journal.submit(Record::Program { program, epoch, event }))
        }
        Ownership::Pending => {
            state.queued_events.push(event);
            None
        }
        Ownership::Lost => None,
    }
}

/// Records an event without waiting for the verdict; gives the program up if the event is fenced.
pub(super) fn record_detached(core: &Arc<Core>, owned: &Arc<OwnedProgram>, event: Event) {
    let receipt = record(core, &mut owned.lock(), event);
    let Some(receipt) = receipt else {
        return;
    };
    let (core, owned) = (core.clone(), owned.clone());
    core.tasks.clone().spawn(async move {
        if let Ok(Verdict::Fenced { .. }) = receipt.verdict().await {
            owned.mark_lost(&core);
        }
    });
}

/// Records an event and waits for the verdict of the log.
///
/// Returns false if another node has claimed the program, so that the event has no effect.
pub(super) async fn record_and_wait(
    core: &Arc<Core>,
    owned: &Arc<OwnedProgram>,
    event: Event,
) -> Result<bool, JournalError> {
    wait_for_claim(owned).await;
    let receipt = record(core, &mut owned.lock(), event);
    let Some(receipt) = receipt else {
        return Ok(false);
    };
    let verdict = receipt.verdict().await?;
    let is_accepted = matches!(verdict, Verdict::Accepted(_));
    if !is_accepted {
        owned.mark_lost(core);
    }
    Ok(is_accepted)
}

/// Waits until the first claim has been confirmed or lost.
async fn wait_for_claim(owned: &OwnedProgram) {
    loop {
        let changed = owned.changed.listen();
        if owned.lock().ownership != Ownership::Pending {
            return;
        }
        changed.await;
    }
}

/// Claims a new program in the background, and then journals its queued events.
pub(super) fn claim_detached(core: &Arc<Core>, owned: &Arc<OwnedProgram>) {
    let grant = owned.lock().program.grant.clone();
    let (core, owned) = (core.clone(), owned.clone());
    core.tasks.clone().spawn(async move {
        let event = Event::Claimed(grant);
        match claim(&core, &owned.id, Epoch::UNCLAIMED, event).await {
            Ok(Verdict::Accepted(epoch)) => confirm_claim(&core, &owned, epoch),
            Ok(Verdict::Fenced { .. }) => owned.mark_lost(&core),
            // Without a claim the program still exists in memory and in its continuation.
            Err(_) => (),
        }
    });
}

/// Submits a claim and waits for the verdict.
///
/// The claim is accepted only if `replaced` is the epoch of the last one.
pub(super) async fn claim(
    core: &Core,
    program: &ProgramId,
    replaced: Epoch,
    event: Event,
) -> Result<Verdict, JournalError> {
    let record = Record::Program { program: program.clone(), epoch: replaced, event };
    core.journal.submit(record).verdict().await
}

fn confirm_claim(core: &Arc<Core>, owned: &Arc<OwnedProgram>, epoch: Epoch) {
    let queued_events = {
        let mut state = owned.lock();
        if state.ownership != Ownership::Pending {
            return;
        }
        state.ownership = Ownership::Confirmed(epoch);
        std::mem::take(&mut state.queued_events)
    };
    for event in queued_events {
        record_detached(core, owned, event);
    }
    owned.notify();
}

/// Returns whether this node is still the owner according to the log, as far as it has been read.
pub(super) fn is_owner(core: &Core, owned: &OwnedProgram) -> bool {
    let state = owned.lock();
    match state.ownership {
        Ownership::Lost => false,
        Ownership::Pending => {
            core.journal.index().program(&owned.id).is_none_or(|it| it.owner == *core.node_name())
        }
        Ownership::Confirmed(epoch) => {
            core.journal.index().program(&owned.id).is_none_or(|it| it.epoch == epoch)
        }
    }
}
