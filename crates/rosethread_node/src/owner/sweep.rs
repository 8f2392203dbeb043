//! Periodic care for owned programs, and for those whose owner is gone.

use std::{sync::Arc, time::Duration};

use rosethread_membership::responsible;
use rosethread_types::ProgramId;
use tokio::time::Instant;

use crate::{
    core::Core,
    dispatch::sweep_leases,
    owner::{Owned, Tenure, close, journalling, take_over},
};

/// The share of the retention time after which records are written again.
const REWRITE_SHARE: u64 = 2;

/// How long a closed program stays, so that its caller can still fetch its last answer.
const CLOSED_TIME: Duration = Duration::from_secs(60);

/// The most programs of dead nodes taken over in one sweep, which bounds the load on the log.
const TAKEOVERS: usize = 100;

/// Ends idle and expired programs, rewrites old records and adopts orphans.
pub(crate) async fn sweep(core: &Arc<Core>) {
    let now_ms = core.clock.now_ms();
    for owned in core.all_owned() {
        sweep_program(core, &owned, now_ms);
    }
    sweep_leases(core);
    core.journal.fold().forget_expired(now_ms);
    adopt_orphans(core, now_ms).await;
}

fn sweep_program(core: &Arc<Core>, owned: &Arc<Owned>, now_ms: u64) {
    if !journalling::is_owner(core, owned) {
        owned.lose(core);
        return;
    }
    let (is_running, is_over, idle, ended) = {
        let state = owned.lock();
        let program = &state.program;
        let idle = Instant::now() - state.last_used;
        (program.is_running(), program.is_expired(now_ms), idle, program.has_ended())
    };
    let idle_limit = Duration::from_secs(core.settings.limits.idle_s);
    if !is_running && !ended && (is_over || idle_limit <= idle) {
        close(core, owned);
    }
    if ended && !is_running {
        // Streams that were running when the program was closed have ended by now.
        close::release_all(core, owned);
    }
    rewrite_if_old(core, owned, now_ms);
    if ended && is_over && CLOSED_TIME <= idle {
        owned.lose(core);
    }
}

/// Writes a checkpoint before retention takes the records that it replaces.
fn rewrite_if_old(core: &Arc<Core>, owned: &Arc<Owned>, now_ms: u64) {
    let limit_ms = core.settings.log.retention_s * 1_000 / REWRITE_SHARE;
    let oldest_ms = core.journal.fold().program(&owned.id).map(|it| it.oldest_ms);
    let is_old = oldest_ms.is_some_and(|it| it + limit_ms <= now_ms);
    if is_old && matches!(owned.lock().tenure, Tenure::Confirmed(_)) {
        let checkpoint = owned.lock().program.checkpoint();
        journalling::record_detached(core, owned, checkpoint);
    }
}

/// Takes over programs of dead nodes for which this node is responsible.
///
/// Calls take programs over on demand; this is for programs whose callers have gone too, which
/// would hold engine memory for ever, and for records that nobody else would rewrite.
async fn adopt_orphans(core: &Arc<Core>, now_ms: u64) {
    let view = core.view();
    let grace_ms = core.settings.limits.idle_s * 1_000;
    let rewrite_ms = core.settings.log.retention_s * 1_000 / REWRITE_SHARE;
    let orphans: Vec<ProgramId> = core
        .journal
        .fold()
        .programs()
        .filter(|(_, it)| !view.is_running(&it.owner))
        .filter(|(_, it)| {
            let age_ms = now_ms.saturating_sub(it.oldest_ms);
            let is_abandoned = !it.closed && grace_ms <= age_ms;
            is_abandoned || rewrite_ms <= age_ms
        })
        .map(|(program, _)| program.clone())
        .filter(|it| responsible(&view, &it.to_string()).as_ref() == Some(core.me()))
        .take(TAKEOVERS)
        .collect();
    for program in orphans {
        if take_over(core, &program, None).await.is_err() {
            return;
        }
    }
}
