//! Periodic work: the summary that this host sends to its peers, and the expiry of unused state.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use kameo::actor::ActorRef;
use rosethread_membership::{NodeSummary, TargetLimit};
use rosethread_runtime::{Announce, MembershipActor, SetSummary, Tick};
use slog::{info, warn};

use crate::{entry::Entry, fingerprint::Fingerprint};

/// The period at which the summary for the peers is updated.
const SUMMARY_PERIOD: Duration = Duration::from_millis(100);

/// The period at which unused state is expired.
const EXPIRY_PERIOD: Duration = Duration::from_secs(2);

/// The time for which a granted turn may be under way at least.
const MIN_TURN_TIME: Duration = Duration::from_secs(10);

/// The minimum time for which unused turns and program accounts stay in memory.
const MIN_RETENTION: Duration = Duration::from_secs(120);

/// Passes the load and state of this host to membership, which sends them to the peers.
pub(super) async fn update_summary(entry: Arc<Entry>, members: ActorRef<MembershipActor>) {
    let mut ticks = entry.timer.every(SUMMARY_PERIOD);
    while let Some(Tick) = ticks.recv().await {
        let summary = NodeSummary {
            revision: entry.routes().revision,
            calls: entry.active_calls.load(Ordering::Relaxed),
            programs: 0,
            has_log: entry.is_log_reachable(),
            power: processor_percent(&entry),
            targets: entry.loads.summary(),
            limits: report_limits(&entry),
            is_partial: false,
        };
        let pending = entry.suspects.take_pending();
        if !pending.is_empty() && members.tell(Announce(pending)).await.is_err() {
            return;
        }
        update_suspects(&entry);
        entry.metrics.limited_targets.set(entry.limits.named_count() as i64);
        entry.metrics.lost_paths.set(entry.paths.lost_count() as i64);
        entry.metrics.nodes.set(entry.view().live().count() as i64);
        entry.metrics.routes_age_ms.set(entry.routes_age().as_millis() as i64);
        entry.metrics.count_dropped(&entry.dropped_datagrams);
        if members.tell(SetSummary(summary)).await.is_err() {
            return;
        }
    }
}

/// Applies what the hosts have told each other of calls that crash targets.
fn update_suspects(entry: &Entry) {
    let (refused, cleared) = entry.suspects.update(&entry.view());
    for (call, crashes) in refused {
        warn!(entry.logger, "suspects: refusing a call that crashes targets";
            "fingerprint" => %Fingerprint(call), "crashes" => crashes);
    }
    for (call, crashes) in cleared {
        info!(entry.logger, "suspects: a call is refused no longer";
            "fingerprint" => %Fingerprint(call), "crashes" => crashes);
    }
}

/// Returns the limits that targets named to this host.
///
/// The other hosts' reports, which decide who sends to these targets, are read only if there are any:
/// that takes time in proportion to the number of hosts.
fn report_limits(entry: &Entry) -> Vec<TargetLimit> {
    if entry.limits.is_empty() {
        return Vec::new();
    }
    let remote = entry.remote_reports();
    entry.limits.report(entry.sharers(&remote), entry.now())
}

/// Returns the host's share of a processor, in percent; at least 1, as 0 means "unknown".
fn processor_percent(entry: &Entry) -> u16 {
    (entry.reloadable().processor * 100.0).clamp(1.0, f64::from(u16::MAX)) as u16
}

/// Removes turns and program accounts that have not been used for the [`program_retention`] time.
pub(super) async fn expire_unused(entry: Arc<Entry>) {
    let mut ticks = entry.timer.every(EXPIRY_PERIOD);
    while let Some(Tick) = ticks.recv().await {
        let retention = program_retention(&entry);
        let now = entry.now();
        let bytes = entry.turns.expire(now, retention);
        entry.metrics.turn_bytes.set(bytes as i64);
        entry.metrics.body_bytes.set(entry.request_memory().used_bytes() as i64);
        entry.origins.expire(now);
        entry.paths.forget_unknown(&entry.targets());
        let mut programs = 0;
        let shards = entry.shards.all();
        for (index, shard) in &shards {
            let mut ledger = shard.ledger();
            ledger.expire(now, retention);
            let lost = ledger.expire_grants(now, longest_turn(&entry));
            if lost != 0 {
                info!(entry.logger, "grants: turns that nobody has settled count as spent";
                    "shard" => index, "turns" => lost);
            }
            programs += ledger.len();
        }
        entry.metrics.programs.set(programs as i64);
        entry.metrics.shards.set(shards.len() as i64);
    }
}

/// Returns the time after which a granted turn has ended, and its end has been reported: twice the
/// longest timeout of any route, as that may have been longer a short time ago.
pub(crate) fn longest_turn(entry: &Entry) -> Duration {
    MIN_TURN_TIME.max(2 * entry.routes().longest_timeout())
}

/// Returns how long unused state of programs stays in memory: twice the longest history time of any
/// route, and at least [`MIN_RETENTION`].
pub(crate) fn program_retention(entry: &Entry) -> Duration {
    MIN_RETENTION.max(2 * entry.routes().longest_history())
}
