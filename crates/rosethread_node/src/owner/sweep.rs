//! Periodic maintenance of owned programs, and of programs whose owner has failed.

use std::{sync::Arc, time::Duration};

use rosethread_membership::{ClusterView, responsible_node};
use rosethread_types::{NodeName, ProgramId};
use tokio::time::Instant;

use crate::{
    core::Core,
    dispatch::sweep_leases,
    owner::{OwnedProgram, Ownership, close, journalling, take_over},
};

/// Records are rewritten at the age of the log's retention time divided by this number.
const REWRITE_DIVISOR: u64 = 2;

/// How long a closed program is kept in memory, so that its caller can still get the last answer.
const CLOSED_RETENTION: Duration = Duration::from_secs(60);

/// The most programs taken over in one sweep, which bounds the load on the log.
const MAX_TAKEOVERS: usize = 100;

/// Closes idle and expired programs, rewrites old records, releases expired leases and takes over
/// programs without an owner.
pub(crate) async fn sweep(core: &Arc<Core>) {
    let now_ms = core.clock.now_ms();
    for owned in core.owned_programs() {
        sweep_program(core, &owned, now_ms).await;
    }
    sweep_leases(core);
    core.journal.index().remove_expired(now_ms);
    take_over_orphans(core, now_ms).await;
}

async fn sweep_program(core: &Arc<Core>, owned: &Arc<OwnedProgram>, now_ms: u64) {
    if !journalling::is_owner(core, owned) {
        owned.mark_lost(core);
        return;
    }
    let (is_running, is_expired, idle, ended) = {
        let state = owned.lock();
        let program = &state.program;
        let idle = Instant::now() - state.last_used;
        (program.has_running_call(), program.is_expired(now_ms), idle, program.has_ended())
    };
    let idle_limit = Duration::from_secs(core.settings.limits.idle_s);
    if !is_running && !ended && (is_expired || idle_limit <= idle) {
        close(core, owned);
    }
    if ended && !is_running {
        // Calls that were running when the program was closed have ended by now.
        close::release_all(core, owned).await;
    }
    rewrite_if_old(core, owned, now_ms);
    if ended && is_expired && CLOSED_RETENTION <= idle {
        owned.mark_lost(core);
    }
}

/// Writes a checkpoint before the records that it replaces expire from the log.
fn rewrite_if_old(core: &Arc<Core>, owned: &Arc<OwnedProgram>, now_ms: u64) {
    let limit_ms = core.settings.log.retention_s * 1_000 / REWRITE_DIVISOR;
    let oldest_ms = core.journal.index().program(&owned.id).map(|it| it.oldest_ms);
    let is_old = oldest_ms.is_some_and(|it| it + limit_ms <= now_ms);
    if is_old && matches!(owned.lock().ownership, Ownership::Confirmed(_)) {
        let checkpoint = owned.lock().program.checkpoint();
        journalling::record_detached(core, owned, checkpoint);
    }
}

/// Takes over the orphaned programs that this node is responsible for.
///
/// A call takes over its program on demand. The sweep handles programs that get no more calls:
/// they would hold engine memory forever, or their records would expire. Programs that have ended,
/// or that had no record for the idle time, are closed at once.
async fn take_over_orphans(core: &Arc<Core>, now_ms: u64) {
    for orphan in find_orphans(core, now_ms) {
        let Ok(owned) = take_over(core, &orphan.program, None).await else {
            continue;
        };
        if orphan.should_close {
            close(core, &owned);
        }
    }
}

/// A program whose owner has failed, or has restarted and lost it.
struct Orphan {
    program: ProgramId,
    /// Whether it has ended, or has had no record for the idle time.
    should_close: bool,
}

fn find_orphans(core: &Core, now_ms: u64) -> Vec<Orphan> {
    let view = core.view();
    let idle_ms = core.settings.limits.idle_s * 1_000;
    let rewrite_ms = core.settings.log.retention_s * 1_000 / REWRITE_DIVISOR;
    let index = core.journal.index();
    let orphans = index.programs().filter(|(program, entry)| {
        let should_close = entry.closed || entry.newest_ms + idle_ms <= now_ms;
        let holds_memory = should_close && !entry.released;
        let is_old = entry.oldest_ms + rewrite_ms <= now_ms;
        (holds_memory || is_old)
            && is_orphan(core, &view, program, &entry.owner)
            && is_responsible(core, &view, program, &entry.owner)
    });
    let orphans = orphans.map(|(program, entry)| Orphan {
        program: program.clone(),
        should_close: entry.closed || entry.newest_ms + idle_ms <= now_ms,
    });
    orphans.take(MAX_TAKEOVERS).collect()
}

/// Returns whether the last owner of a program is not running, or is this node after a restart.
fn is_orphan(core: &Core, view: &ClusterView, program: &ProgramId, owner: &NodeName) -> bool {
    if owner == core.node_name() { core.owned(program).is_none() } else { !view.is_running(owner) }
}

/// Returns whether this node should take over an orphan: it was the owner, or rendezvous hashing
/// selects it.
fn is_responsible(core: &Core, view: &ClusterView, program: &ProgramId, owner: &NodeName) -> bool {
    owner == core.node_name()
        || responsible_node(view, &program.to_string()).as_ref() == Some(core.node_name())
}
