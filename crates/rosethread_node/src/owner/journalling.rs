//! Writes the events of owned programs to the journal, and acts on the verdicts.

use std::sync::Arc;

use rosethread_journal::{JournalError, Receipt, Record, Verdict};
use rosethread_program::Event;
use rosethread_types::{Epoch, ProgramId};

use crate::{
    core::Core,
    owner::{Owned, OwnedState, Tenure},
};

/// Queues an event of the program; it waits for the claim if that is still on its way.
///
/// Returns nothing if the event has to wait or the ownership is lost.
pub(super) fn record(core: &Core, state: &mut OwnedState, event: Event) -> Option<Receipt> {
    match state.tenure {
        Tenure::Confirmed(epoch) => {
            let program = state.program.grant.program.clone();
            Some(core.journal.submit(Record::Program { program, epoch, event }))
        }
        Tenure::Pending => {
            state.unsent.push(event);
            None
        }
        Tenure::Lost => None,
    }
}

/// Queues an event whose verdict matters only if the ownership is lost.
pub(super) fn record_detached(core: &Arc<Core>, owned: &Arc<Owned>, event: Event) {
    let receipt = record(core, &mut owned.lock(), event);
    let Some(receipt) = receipt else {
        return;
    };
    let (core, owned) = (core.clone(), owned.clone());
    core.tasks.clone().spawn(async move {
        if let Ok(Verdict::Fenced { .. }) = receipt.verdict().await {
            owned.lose(&core);
        }
    });
}

/// Queues an event and waits until the log has decided that it counts.
///
/// Returns false if another node has claimed the program meanwhile.
pub(super) async fn record_and_wait(
    core: &Arc<Core>,
    owned: &Arc<Owned>,
    event: Event,
) -> Result<bool, JournalError> {
    wait_for_tenure(owned).await;
    let receipt = record(core, &mut owned.lock(), event);
    let Some(receipt) = receipt else {
        return Ok(false);
    };
    let verdict = receipt.verdict().await?;
    let counts = matches!(verdict, Verdict::Accepted(_));
    if !counts {
        owned.lose(core);
    }
    Ok(counts)
}

/// Waits until the first claim has been read back.
async fn wait_for_tenure(owned: &Owned) {
    loop {
        let changed = owned.changed.listen();
        if owned.lock().tenure != Tenure::Pending {
            return;
        }
        changed.await;
    }
}

/// Claims a new program in the background and sends its waiting events on.
pub(super) fn claim_detached(core: &Arc<Core>, owned: &Arc<Owned>) {
    let grant = owned.lock().program.grant.clone();
    let (core, owned) = (core.clone(), owned.clone());
    core.tasks.clone().spawn(async move {
        let event = Event::Claimed(grant);
        match claim(&core, &owned.id, Epoch::UNCLAIMED, event).await {
            Ok(Verdict::Accepted(epoch)) => confirm(&core, &owned, epoch),
            Ok(Verdict::Fenced { .. }) => owned.lose(&core),
            // Without a claim the program lives on in memory and in its continuation.
            Err(_) => (),
        }
    });
}

/// Submits a claim that replaces the epoch `replaced`.
pub(super) async fn claim(
    core: &Core,
    program: &ProgramId,
    replaced: Epoch,
    event: Event,
) -> Result<Verdict, JournalError> {
    let record = Record::Program { program: program.clone(), epoch: replaced, event };
    core.journal.submit(record).verdict().await
}

fn confirm(core: &Arc<Core>, owned: &Arc<Owned>, epoch: Epoch) {
    let unsent = {
        let mut state = owned.lock();
        if state.tenure != Tenure::Pending {
            return;
        }
        state.tenure = Tenure::Confirmed(epoch);
        std::mem::take(&mut state.unsent)
    };
    for event in unsent {
        record_detached(core, owned, event);
    }
    owned.notify();
}

/// Tells whether the log, as far as it has been read, still shows this node as the owner.
pub(super) fn is_owner(core: &Core, owned: &Owned) -> bool {
    let state = owned.lock();
    match state.tenure {
        Tenure::Lost => false,
        Tenure::Pending => {
            core.journal.index().program(&owned.id).is_none_or(|it| it.owner == *core.node_name())
        }
        Tenure::Confirmed(epoch) => {
            core.journal.index().program(&owned.id).is_none_or(|it| it.epoch == epoch)
        }
    }
}
