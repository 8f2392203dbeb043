//! Prometheus metrics of an entry, the process that accepts calls on a host; they are served at its
//! metrics address.

use std::{sync::atomic::Ordering, time::Duration};

use prometheus::{
    Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
};
use rosethread_runtime::DroppedDatagrams;

/// Upper bounds of the latency histogram buckets, in seconds.
const LATENCY_BUCKETS: [f64; 14] =
    [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0];

/// The metrics of one entry.
pub struct Metrics {
    registry: Registry,
    /// Number of calls that have ended, by outcome: `answered`, `interrupted` (a stream broke off),
    /// `caller-left`, or for a refused call `not-run`, `failed` or `unknown`.
    pub calls: IntCounterVec,
    /// Number of attempts to send a call to a target, by result: `answered`, `failed` (a server
    /// error that may be retried), or the kind of [`SendError`](crate::ports::SendError).
    pub sends: IntCounterVec,
    /// Number of decisions on this host's grant requests, by [`Verdict`](crate::Verdict).
    pub verdicts: IntCounterVec,
    /// Time from the arrival of a call to its end, by kind: `stream` or `whole`, by the route of a
    /// call that a target answered; `refused`; or `left` if the caller left before the answer
    /// began.
    pub call_seconds: HistogramVec,
    /// Time from the arrival of a call to the first event of its stream.
    pub first_event_seconds: Histogram,
    /// Time from a grant request to the verdict, including retries. Requests without a verdict are
    /// not counted.
    pub grant_seconds: Histogram,
    /// Number of calls whose credential was checked, by result: `known`, `missing`, `malformed` or
    /// `unknown`.
    pub credentials: IntCounterVec,
    /// Number of calls weighed against their organisation's limit, by result: `granted` (the owner was
    /// asked), `leased`, `local` (the owner did not decide), `refused-new` or `refused`.
    pub quota: IntCounterVec,
    /// Number of questions to other hosts about the limits of organisations.
    pub quota_asks: IntCounter,
    /// Number of appends of turns and ledger records to the shared log, including retries.
    pub appends: IntCounter,
    /// Number of turns that this host copied since they outlive their records in the log.
    pub copied_turns: IntCounter,
    /// Number of copies that this host dropped since nobody may ask for them any more.
    pub dropped_turns: IntCounter,
    /// Number of successful shard claims by this host.
    pub claims: IntCounter,
    /// Number of calls to the log that were not sent, since it failed just before.
    pub log_calls_held: IntCounter,
    /// Number of turns, in progress as another host released their shard, that ended before this host
    /// claimed it.
    pub early_settlements: IntCounter,
    /// Number of turns granted by earlier owners of a shard that this host settled after their loss.
    pub inherited_settlements: IntCounter,
    /// Number of ended turns of this host whose settlement the log does not have yet.
    pub held_settlements: IntGauge,
    /// Number of shards that this host owns.
    pub shards: IntGauge,
    /// Number of programs in the ledgers of the owned shards.
    pub programs: IntGauge,
    /// Size of the turns held in memory, in bytes.
    pub turn_bytes: IntGauge,
    /// Revision of the active routes.
    pub revision: IntGauge,
    /// Time since the store last told this host the newest routes, in milliseconds.
    pub routes_age_ms: IntGauge,
    /// Number of known targets, with those that are kept although their registration is missing.
    pub targets: IntGauge,
    /// Number of targets that said in a response that they are leaving.
    pub leaving_targets: IntCounter,
    /// Number of targets that named this host a limit on their requests.
    pub limited_targets: IntGauge,
    /// Number of new programs refused under load, by cause: `organisation`, `priority` or `load`.
    pub shed: IntCounterVec,
    /// Number of streams refused because no target may go on with them.
    pub lost_streams: IntCounter,
    /// Number of calls of this host that were starting at a target as it crashed.
    pub crashes: IntCounter,
    /// Number of calls refused because targets crash under them.
    pub deadly_calls: IntCounter,
    /// Number of paths to targets that this host opened by way of other hosts.
    pub relayed_paths: IntCounter,
    /// Number of paths that this host opened for other hosts.
    pub granted_paths: IntCounter,
    /// Number of targets to which the direct path is lost.
    pub lost_paths: IntGauge,
    /// Number of callers that met a limit of this host, by cause: `announced` (a body over the size
    /// limit, refused from its head), `no-memory`, `stalled` (a body that gave up its memory),
    /// `idle-closed` (a connection) or `turned-away` (a new connection).
    pub caller_limits: IntCounterVec,
    /// Size of the memory that the bodies of requests hold, in bytes.
    pub body_bytes: IntGauge,
    /// Number of nodes that the membership protocol considers alive, with this one.
    pub nodes: IntGauge,
    /// Number of datagrams that were dropped on purpose, by cause: `unsent` (longer than the receivers
    /// accept) or `rejected` (not accepted from another host).
    pub dropped_datagrams: IntCounterVec,
}

impl Default for Metrics {
    fn default() -> Metrics {
        Metrics::new()
    }
}

impl Metrics {
    /// Creates and registers all metrics, with zero values.
    pub fn new() -> Metrics {
        let registry = Registry::new();
        let counter = |name: &str, help: &str| {
            register(&registry, IntCounter::new(name, help).expect("the name is valid"))
        };
        let gauge = |name: &str, help: &str| {
            register(&registry, IntGauge::new(name, help).expect("the name is valid"))
        };
        let counter_vec = |name: &str, help: &str, label: &str| {
            let counter = IntCounterVec::new(Opts::new(name, help), &[label]);
            register(&registry, counter.expect("the name is valid"))
        };
        let histogram = |name: &str, help: &str| {
            let options = HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS.to_vec());
            register(&registry, Histogram::with_opts(options).expect("the name is valid"))
        };
        let call_seconds = HistogramOpts::new(
            "rosethread_entry_call_seconds",
            "Time from a call's arrival to its end.",
        )
        .buckets(LATENCY_BUCKETS.to_vec());
        let call_seconds = HistogramVec::new(call_seconds, &["kind"]).expect("the name is valid");
        Metrics {
            calls: counter_vec(
                "rosethread_entry_calls_total",
                "Calls ended, by outcome.",
                "outcome",
            ),
            credentials: counter_vec(
                "rosethread_entry_credentials_total",
                "Calls whose credential was checked, by result.",
                "result",
            ),
            quota: counter_vec(
                "rosethread_entry_quota_total",
                "Calls weighed against their organisation's limit, by result.",
                "result",
            ),
            quota_asks: counter(
                "rosethread_entry_quota_asks_total",
                "Questions to other hosts about the limits of organisations.",
            ),
            sends: counter_vec(
                "rosethread_entry_sends_total",
                "Sends to targets, by result.",
                "result",
            ),
            verdicts: counter_vec(
                "rosethread_entry_verdicts_total",
                "Decisions about budgets, by verdict.",
                "verdict",
            ),
            call_seconds: register(&registry, call_seconds),
            first_event_seconds: histogram(
                "rosethread_entry_first_event_seconds",
                "Time from a call's arrival to its first event.",
            ),
            grant_seconds: histogram(
                "rosethread_entry_grant_seconds",
                "Time from the question to a grant.",
            ),
            appends: counter("rosethread_entry_appends_total", "Appends to the shared log."),
            copied_turns: counter(
                "rosethread_entry_copied_turns_total",
                "Turns copied since they outlive their records in the log.",
            ),
            dropped_turns: counter(
                "rosethread_entry_dropped_turns_total",
                "Copies of turns dropped since nobody may ask for them any more.",
            ),
            claims: counter("rosethread_entry_claims_total", "Shards claimed."),
            log_calls_held: counter(
                "rosethread_entry_log_calls_held_total",
                "Calls to the log that were not sent, since it failed just before.",
            ),
            early_settlements: counter(
                "rosethread_entry_early_settlements_total",
                "Turns that ended between their shard's release and its claim by this host.",
            ),
            inherited_settlements: counter(
                "rosethread_entry_inherited_settlements_total",
                "Turns granted by an earlier owner that this host settled as the next one.",
            ),
            held_settlements: gauge(
                "rosethread_entry_held_settlements",
                "Ended turns of this host whose settlement the log does not have yet.",
            ),
            shards: gauge("rosethread_entry_shards", "Shards owned at present."),
            programs: gauge("rosethread_entry_programs", "Programs known at present."),
            turn_bytes: gauge("rosethread_entry_turn_bytes", "Bytes of kept turns."),
            revision: gauge("rosethread_entry_revision", "The routes' revision in force."),
            routes_age_ms: gauge(
                "rosethread_entry_routes_age_ms",
                "Milliseconds since the store last told the newest routes.",
            ),
            targets: gauge("rosethread_entry_targets", "Targets known."),
            leaving_targets: counter(
                "rosethread_entry_leaving_targets_total",
                "Targets that said in a response that they are leaving.",
            ),
            limited_targets: gauge(
                "rosethread_entry_limited_targets",
                "Targets that named this host a limit on their requests.",
            ),
            shed: counter_vec(
                "rosethread_entry_shed_total",
                "New programs refused under load, by cause.",
                "cause",
            ),
            lost_streams: counter(
                "rosethread_entry_lost_streams_total",
                "Streams refused because no target may go on with them.",
            ),
            crashes: counter(
                "rosethread_entry_crashes_total",
                "Calls that were starting at a target as it crashed.",
            ),
            deadly_calls: counter(
                "rosethread_entry_deadly_calls_total",
                "Calls refused because targets crash under them.",
            ),
            relayed_paths: counter(
                "rosethread_entry_relayed_paths_total",
                "Paths to targets opened by way of other hosts.",
            ),
            granted_paths: counter(
                "rosethread_entry_granted_paths_total",
                "Paths to targets opened for other hosts.",
            ),
            lost_paths: gauge(
                "rosethread_entry_lost_paths",
                "Targets that this host does not reach directly.",
            ),
            caller_limits: counter_vec(
                "rosethread_entry_caller_limits_total",
                "Callers that met a limit of this host, by cause.",
                "cause",
            ),
            body_bytes: gauge("rosethread_entry_body_bytes", "Bytes held by bodies of requests."),
            nodes: gauge("rosethread_entry_nodes", "Nodes believed to be alive."),
            dropped_datagrams: counter_vec(
                "rosethread_entry_dropped_datagrams_total",
                "Datagrams of the membership protocol dropped on purpose, by cause.",
                "cause",
            ),
            registry,
        }
    }

    /// Records a call of `kind` that ended with `outcome` after `time`.
    pub fn observe_call(&self, kind: &str, outcome: &str, time: Duration) {
        self.calls.with_label_values(&[outcome]).inc();
        self.call_seconds.with_label_values(&[kind]).observe(time.as_secs_f64());
    }

    /// Counts the datagrams that membership has dropped since the last call.
    pub(crate) fn count_dropped(&self, dropped: &DroppedDatagrams) {
        for (cause, total) in [("unsent", &dropped.unsent), ("rejected", &dropped.rejected)] {
            let counter = self.dropped_datagrams.with_label_values(&[cause]);
            counter.inc_by(total.load(Ordering::Relaxed).saturating_sub(counter.get()));
        }
    }

    /// Encodes all metrics in the Prometheus text format.
    pub fn render(&self) -> Result<String, prometheus::Error> {
        TextEncoder::new().encode_to_string(&self.registry.gather())
    }
}

/// Registers a metric and returns it; the clone in the registry shares its value.
fn register<C>(registry: &Registry, collector: C) -> C
where
    C: prometheus::core::Collector + Clone + 'static,
{
    registry.register(Box::new(collector.clone())).expect("each name is registered once");
    collector
}
