//! Takes over a program whose owner has failed or restarted.

use std::{collections::BTreeSet, sync::Arc};

use rosethread_journal::{JournalError, Verdict};
use rosethread_program::{Continuation, Event, Grant, Program, Recovery};
use rosethread_types::{Epoch, ProgramId, Reason, Refusal, TargetName};
use slog::info;
use tokio::time::Instant;

use crate::{
    core::Core,
    owner::{
        OwnedProgram, Ownership, journalling,
        place::{Capability, eligible},
        send,
    },
};

/// Retry delay sent to callers while the log is unavailable.
const LOG_RETRY_AFTER: std::time::Duration = std::time::Duration::from_secs(1);

/// Claims `program`, rebuilds it from the journal, and cancels the streams of its last owner.
///
/// Concurrent calls of the same program share one takeover. Fails if another node's claim comes
/// first in the log.
pub(crate) async fn take_over(
    core: &Arc<Core>,
    program: &ProgramId,
    continuation: Option<&Continuation>,
) -> Result<Arc<OwnedProgram>, Refusal> {
    let lock = core.takeover_lock(program);
    let _guard = lock.lock().await;
    if let Some(owned) = core.owned(program) {
        return Ok(owned);
    }
    if !core.journal.is_log_reachable() || !core.journal.is_caught_up() {
        return Err(log_unavailable());
    }
    let started = Instant::now();
    let (replaced, grant) = find_claim(core, program, continuation).await?;
    check_not_expired(core, &grant)?;
    let event = Event::Claimed(grant);
    let verdict = journalling::claim(core, program, replaced, event).await;
    let epoch = match verdict {
        Ok(Verdict::Accepted(epoch)) => epoch,
        Ok(Verdict::Fenced { owner, .. }) => {
            let detail = format!("{owner} claimed the program first");
            return Err(Refusal::not_run(Reason::NotOwner, detail));
        }
        Err(_) => return Err(log_unavailable()),
    };
    let recovery = core.journal.recover(program).await.map_err(refuse_journal_error)?;
    let state = rebuild(recovery, continuation)?;
    let engines = cancel_streams(core, &state).await;
    let stranded = state.account.stranded;
    let owned = OwnedProgram::new(program.clone(), state, Ownership::Confirmed(epoch));
    restore_cache_state(&owned, continuation, engines);
    core.insert_owned(owned.clone());
    core.metrics.observe_takeover(started.elapsed(), stranded);
    info!(core.logger, "owner: took over program {} at epoch {}", program, epoch.0);
    Ok(owned)
}

fn log_unavailable() -> Refusal {
    let detail = "the program has no running owner and the log is unavailable";
    Refusal::not_run(Reason::JournalUnavailable, detail).retry_after(LOG_RETRY_AFTER)
}

fn refuse_journal_error(_error: JournalError) -> Refusal {
    log_unavailable()
}

/// Returns the epoch that the claim replaces, and the program's grant.
///
/// The grant comes from the continuation if the caller sent one, and from the journal otherwise.
async fn find_claim(
    core: &Core,
    program: &ProgramId,
    continuation: Option<&Continuation>,
) -> Result<(Epoch, Grant), Refusal> {
    let epoch = core.journal.index().program(program).map(|it| it.epoch);
    if let Some(continuation) = continuation {
        return Ok((epoch.unwrap_or(Epoch::UNCLAIMED), continuation.grant.clone()));
    }
    let unknown = || Refusal::unknown(Reason::UnknownProgram, format!("no program {program}"));
    let epoch = epoch.ok_or_else(unknown)?;
    let recovery = core.journal.recover(program).await.map_err(refuse_journal_error)?;
    let grant = recovery.build().map(|it| it.grant).ok_or_else(unknown)?;
    Ok((epoch, grant))
}

/// Refuses programs whose wall time is over: the records of what they spent may have expired.
fn check_not_expired(core: &Core, grant: &Grant) -> Result<(), Refusal> {
    if Program::new(grant.clone()).is_expired(core.clock.now_ms()) {
        let detail = "the program's wall time is over";
        return Err(Refusal::unknown(Reason::ProgramEnded, detail));
    }
    Ok(())
}

/// Rebuilds a program from its records, or from the continuation if all of them have expired.
fn rebuild(recovery: Recovery, continuation: Option<&Continuation>) -> Result<Program, Refusal> {
    let program = recovery.build();
    let program =
        program.or_else(|| continuation.and_then(|it| Recovery::from_continuation(it).build()));
    let mut program = program.ok_or_else(|| {
        Refusal::unknown(Reason::UnknownProgram, "the program's records have expired")
    })?;
    program.mark_taken_over();
    if let Some(continuation) = continuation {
        let spent = program.account.spent.max(continuation.spent);
        program.account.spent = spent;
    }
    Ok(program)
}

/// Cancels the streams that the last owner may have left at any engine of the program's model.
///
/// Returns the names of these engines, any of which may cache the program's history.
async fn cancel_streams(core: &Core, program: &Program) -> BTreeSet<TargetName> {
    let active_document = core.document.borrow().clone();
    let grant = &program.grant;
    let member = &grant.program.member;
    let engines: Vec<_> =
        eligible(&active_document.document, Capability::Model(&grant.model), member).collect();
    let cancels = engines.iter().map(|it| {
        let address = send::address(it);
        // Errors are ignored: output of an unreachable engine cannot reach the caller either.
        async move { core.targets.cancel(&address, &grant.program).await.is_ok() }
    });
    futures::future::join_all(cancels).await;
    engines.into_iter().map(|it| it.name.clone()).collect()
}

/// Takes the cache state of a program from the continuation, and the engines to release later.
fn restore_cache_state(
    owned: &OwnedProgram,
    continuation: Option<&Continuation>,
    engines: BTreeSet<TargetName>,
) {
    let target = continuation.and_then(|it| it.target.clone());
    let mut state = owned.lock();
    let tokens = state.program.history.context_tokens();
    state.cached = target.map(|it| (it, tokens));
    state.used_engines = engines;
}
