//! Periodic work: what this host tells the others, and what it forgets.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use kameo::actor::ActorRef;
use rosethread_membership::NodeSummary;
use rosethread_runtime::{MembershipActor, SetSummary, Tick};

use crate::entry::Entry;

/// The time between two updates of what this host tells the others.
const SUMMARY_PERIOD: Duration = Duration::from_millis(100);

/// The time between two rounds of tidying.
const TIDY_PERIOD: Duration = Duration::from_secs(2);

/// How long kept turns and accounts are remembered without use, where no route keeps longer.
const LEAST_AGE: Duration = Duration::from_secs(120);

/// Tells membership what this host has under way.
pub(super) async fn update_summary(entry: Arc<Entry>, members: ActorRef<MembershipActor>) {
    let mut ticks = entry.timer.every(SUMMARY_PERIOD);
    while let Some(Tick) = ticks.recv().await {
        let summary = NodeSummary {
            revision: entry.routes().revision,
            calls: entry.active_calls.load(Ordering::Relaxed),
            programs: 0,
            has_log: entry.is_log_reachable(),
            power: power(&entry),
            targets: entry.loads.summary(),
        };
        entry.metrics.nodes.set(entry.view().live().count() as i64);
        if members.tell(SetSummary(summary)).await.is_err() {
            return;
        }
    }
}

/// Returns the host's share of a processor, in hundredths.
fn power(entry: &Entry) -> u16 {
    (entry.reloadable().processor * 100.0).clamp(1.0, f64::from(u16::MAX)) as u16
}

/// Forgets what has not been used for long.
pub(super) async fn tidy(entry: Arc<Entry>) {
    let mut ticks = entry.timer.every(TIDY_PERIOD);
    while let Some(Tick) = ticks.recv().await {
        let age = age(&entry);
        let now = entry.now();
        let bytes = entry.turns.expire(now, age);
        entry.metrics.turn_bytes.set(bytes as i64);
        let mut programs = 0;
        let shards = entry.shards.all();
        for (_, shard) in &shards {
            let mut ledger = shard.ledger();
            ledger.expire(now, age);
            programs += ledger.len();
        }
        entry.metrics.programs.set(programs as i64);
        entry.metrics.shards.set(shards.len() as i64);
    }
}

/// Returns for how long programs may come back: twice the longest time that a route keeps turns.
fn age(entry: &Entry) -> Duration {
    let routes = entry.routes();
    let kept = routes.hosts.values().flat_map(|it| it.values()).filter_map(|it| it.history);
    kept.max().map_or(LEAST_AGE, |it| LEAST_AGE.max(2 * it))
}
