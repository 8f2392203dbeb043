//! Periodic care for owned programs, and for those whose owner is gone.

use std::{sync::Arc, time::Duration};

use rosethread_membership::{ClusterView, responsible_node};
use rosethread_types::{NodeName, ProgramId};
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
    for owned in core.owned_programs() {
        sweep_program(core, &owned, now_ms).await;
    }
    sweep_leases(core);
    core.journal.index().remove_expired(now_ms);
    adopt_orphans(core, now_ms).await;
}

async fn sweep_program(core: &Arc<Core>, owned: &Arc<Owned>, now_ms: u64) {
    if !journalling::is_owner(core, owned) {
        owned.lose(core);
        return;
    }
    let (is_running, is_over, idle, ended) = {
        let state = owned.lock();
        let program = &state.program;
        let idle = Instant::now() - state.last_used;
        (program.has_running_call(), program.is_expired(now_ms), idle, program.has_ended())
    };
    let idle_limit = Duration::from_secs(core.settings.limits.idle_s);
    if !is_running && !ended && (is_over || idle_limit <= idle) {
        close(core, owned);
    }
    if ended && !is_running {
        // Streams that were running when the program was closed have ended by now.
        close::release_all(core, owned).await;
    }
    rewrite_if_old(core, owned, now_ms);
    if ended && is_over && CLOSED_TIME <= idle {
        owned.lose(core);
    }
}

/// Writes a checkpoint before retention takes the records that it replaces.
fn rewrite_if_old(core: &Arc<Core>, owned: &Arc<Owned>, now_ms: u64) {
    let limit_ms = core.settings.log.retention_s * 1_000 / REWRITE_SHARE;
    let oldest_ms = core.journal.index().program(&owned.id).map(|it| it.oldest_ms);
    let is_old = oldest_ms.is_some_and(|it| it + limit_ms <= now_ms);
    if is_old && matches!(owned.lock().tenure, Tenure::Confirmed(_)) {
        let checkpoint = owned.lock().program.checkpoint();
        journalling::record_detached(core, owned, checkpoint);
    }
}

/// Takes over programs of dead nodes for which this node is responsible.
///
/// Calls take programs over on demand; this is for programs whose callers have gone too, which
/// would hold engine memory for ever, and for records that nobody else would rewrite. Programs
/// that ended, or whose callers have been silent for the idle time, are ended at once.
async fn adopt_orphans(core: &Arc<Core>, now_ms: u64) {
    for orphan in find_orphans(core, now_ms) {
        let Ok(owned) = take_over(core, &orphan.program, None).await else {
            continue;
        };
        if orphan.is_over {
            close(core, &owned);
        }
    }
}

/// A program without an owner.
struct Orphan {
    program: ProgramId,
    /// Whether it has ended, or its caller has been silent for the idle time.
    is_over: bool,
}

fn find_orphans(core: &Core, now_ms: u64) -> Vec<Orphan> {
    let view = core.view();
    let grace_ms = core.settings.limits.idle_s * 1_000;
    let rewrite_ms = core.settings.log.retention_s * 1_000 / REWRITE_SHARE;
    let fold = core.journal.index();
    let orphans = fold.programs().filter(|(program, entry)| {
        let is_over = entry.closed || entry.newest_ms + grace_ms <= now_ms;
        let holds_memory = is_over && !entry.released;
        let is_old = entry.oldest_ms + rewrite_ms <= now_ms;
        (holds_memory || is_old)
            && is_orphan(core, &view, program, &entry.owner)
            && is_responsible(core, &view, program, &entry.owner)
    });
    let orphans = orphans.map(|(program, entry)| Orphan {
        program: program.clone(),
        is_over: entry.closed || entry.newest_ms + grace_ms <= now_ms,
    });
    orphans.take(TAKEOVERS).collect()
}

/// Tells whether the claimed owner of a program is gone, or has restarted without it.
fn is_orphan(core: &Core, view: &ClusterView, program: &ProgramId, owner: &NodeName) -> bool {
    if owner == core.node_name() { core.owned(program).is_none() } else { !view.is_running(owner) }
}

/// Tells whether this node should adopt an orphan: it was the owner, or the hash chooses it.
fn is_responsible(core: &Core, view: &ClusterView, program: &ProgramId, owner: &NodeName) -> bool {
    owner == core.node_name()
        || responsible_node(view, &program.to_string()).as_ref() == Some(core.node_name())
}
