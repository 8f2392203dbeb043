//! Periodic tasks: this node's summary, sweeps over its programs, and load reports of its engines.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use kameo::actor::ActorRef;
use rosethread_config::{Document, Target};
use rosethread_membership::{ClusterView, NodeSummary, TargetLoad, target_owner};
use rosethread_platform::TargetAddress;

use rosethread_runtime::{MembershipActor, SetSummary, Tick};

use crate::{core::Core, owner};

/// The time between two updates of the summary that this node gossips.
const SUMMARY_PERIOD: Duration = Duration::from_millis(200);

/// The time between two sweeps, which end idle programs and take over those of failed nodes.
const SWEEP_PERIOD: Duration = Duration::from_secs(5);

/// The time between two reads of the load reports of the engines that this node owns.
const LOAD_PERIOD: Duration = Duration::from_secs(1);

/// Starts all periodic tasks.
pub(super) fn start(core: &Arc<Core>, membership: ActorRef<MembershipActor>) {
    let tasks = &core.tasks;
    tasks.spawn_control(update_summary(core.clone(), membership));
    tasks.spawn(sweep_programs(core.clone()));
    tasks.spawn(read_engine_loads(core.clone()));
}

async fn update_summary(core: Arc<Core>, membership: ActorRef<MembershipActor>) {
    let mut ticks = core.timer.every(SUMMARY_PERIOD);
    while let Some(Tick) = ticks.recv().await {
        let summary = build_summary(&core);
        update_gauges(&core);
        if membership.tell(SetSummary(summary)).await.is_err() {
            return;
        }
    }
}

fn build_summary(core: &Core) -> NodeSummary {
    NodeSummary {
        revision: core.document.borrow().revision,
        calls: core.active_calls.load(Ordering::Relaxed),
        programs: core.owned_count() as u32,
        has_log: core.journal.is_log_reachable(),
        power: 0,
        targets: target_loads(core),
        limits: Vec::new(),
        is_partial: false,
    }
}

/// Returns the targets that this node owns.
fn owned_targets<'a>(
    core: &'a Core,
    view: &'a ClusterView,
    document: &'a Document,
) -> impl Iterator<Item = &'a Target> {
    document.targets.iter().filter(move |it| {
        target_owner(view, it.name.as_str(), &it.zone).as_ref() == Some(core.node_name())
    })
}

/// Returns the loads of the targets that this node owns, without those that have no load.
fn target_loads(core: &Core) -> Vec<TargetLoad> {
    let active = core.document.borrow().clone();
    let view = core.view();
    let owned = owned_targets(core, &view, &active.document);
    let loads = owned.map(|it| {
        let (running, waiting) = core.dispatch.slots(&it.name).load();
        let limit = u32::from(u16::MAX);
        TargetLoad {
            target: it.name.clone(),
            running: running.min(limit) as u16,
            waiting: waiting.min(limit) as u16,
        }
    });
    loads.filter(|it| it.running != 0 || it.waiting != 0).collect()
}

fn update_gauges(core: &Core) {
    let stats = core.journal.stats();
    core.metrics.nodes_alive.set(core.view().live().count() as i64);
    core.metrics.suspicions.set(core.suspicions.load(Ordering::Relaxed) as i64);
    core.metrics.programs_owned.set(core.owned_count() as i64);
    core.metrics.journal_queued_bytes.set(core.journal.queued_bytes() as i64);
    core.metrics.journal_appends.set(stats.appends as i64);
    core.metrics.journal_records.set(stats.records as i64);
    core.metrics.journal_bytes.set(stats.bytes as i64);
    core.metrics.document_revision.set(core.document.borrow().revision.0 as i64);
}

async fn sweep_programs(core: Arc<Core>) {
    let mut ticks = core.timer.every(SWEEP_PERIOD);
    while let Some(Tick) = ticks.recv().await {
        owner::sweep(&core).await;
    }
}

/// Reads the load reports of the engines that this node owns.
///
/// Only the owner of an engine reads its report, so each engine gets one request per period,
/// independent of the number of nodes.
async fn read_engine_loads(core: Arc<Core>) {
    let mut ticks = core.timer.every(LOAD_PERIOD);
    while let Some(Tick) = ticks.recv().await {
        let active = core.document.borrow().clone();
        let view = core.view();
        let engines = owned_targets(&core, &view, &active.document);
        let engines = engines.filter(|it| it.engine().is_some());
        let reads = engines.map(|it| async {
            let address = TargetAddress { name: it.name.clone(), address: it.address };
            if let Ok(load) = core.targets.load(&address).await {
                core.dispatch.update_health(&it.name, |it| it.pressure = load.pressure());
            }
        });
        futures::future::join_all(reads).await;
    }
}
