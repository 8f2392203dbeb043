//! What an entry tells about itself at its metrics address.

use std::time::Duration;

use prometheus::{
    Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
};

/// Bucket bounds of latencies, in seconds: from a millisecond to half a minute.
const LATENCY_BOUNDS: [f64; 14] =
    [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0];

/// The metrics of one entry.
pub struct Metrics {
    registry: Registry,
    /// Calls ended, by outcome.
    pub calls: IntCounterVec,
    /// Sends to targets, by result.
    pub sends: IntCounterVec,
    /// Decisions about budgets, by verdict.
    pub verdicts: IntCounterVec,
    /// Time from a call's arrival to its end, by whether it is a stream.
    pub call_seconds: HistogramVec,
    /// Time from a call's arrival to its first event.
    pub first_seconds: Histogram,
    /// Time from the question to a grant.
    pub grant_seconds: Histogram,
    /// Appends to the shared log, repeated ones included.
    pub appends: IntCounter,
    /// Shards claimed.
    pub claims: IntCounter,
    /// Shards owned at present.
    pub shards: IntGauge,
    /// Programs known at present.
    pub programs: IntGauge,
    /// Bytes of kept turns.
    pub turn_bytes: IntGauge,
    /// The revision of the routes in force.
    pub revision: IntGauge,
    /// Targets known.
    pub targets: IntGauge,
    /// Nodes believed to be alive.
    pub nodes: IntGauge,
}

impl Default for Metrics {
    fn default() -> Metrics {
        Metrics::new()
    }
}

impl Metrics {
    /// Returns metrics that are all zero.
    pub fn new() -> Metrics {
        let registry = Registry::new();
        let counter = |name: &str, help: &str| {
            register(&registry, IntCounter::new(name, help).expect("the name is valid"))
        };
        let gauge = |name: &str, help: &str| {
            register(&registry, IntGauge::new(name, help).expect("the name is valid"))
        };
        let by = |name: &str, help: &str, label: &str| {
            let counter = IntCounterVec::new(Opts::new(name, help), &[label]);
            register(&registry, counter.expect("the name is valid"))
        };
        let histogram = |name: &str, help: &str| {
            let options = HistogramOpts::new(name, help).buckets(LATENCY_BOUNDS.to_vec());
            register(&registry, Histogram::with_opts(options).expect("the name is valid"))
        };
        let call_seconds = HistogramOpts::new(
            "rosethread_entry_call_seconds",
            "Time from a call's arrival to its end.",
        )
        .buckets(LATENCY_BOUNDS.to_vec());
        let call_seconds = HistogramVec::new(call_seconds, &["kind"]).expect("the name is valid");
        Metrics {
            calls: by("rosethread_entry_calls_total", "Calls ended, by outcome.", "outcome"),
            sends: by("rosethread_entry_sends_total", "Sends to targets, by result.", "result"),
            verdicts: by(
                "rosethread_entry_verdicts_total",
                "Decisions about budgets, by verdict.",
                "verdict",
            ),
            call_seconds: register(&registry, call_seconds),
            first_seconds: histogram(
                "rosethread_entry_first_event_seconds",
                "Time from a call's arrival to its first event.",
            ),
            grant_seconds: histogram(
                "rosethread_entry_grant_seconds",
                "Time from the question to a grant.",
            ),
            appends: counter("rosethread_entry_appends_total", "Appends to the shared log."),
            claims: counter("rosethread_entry_claims_total", "Shards claimed."),
            shards: gauge("rosethread_entry_shards", "Shards owned at present."),
            programs: gauge("rosethread_entry_programs", "Programs known at present."),
            turn_bytes: gauge("rosethread_entry_turn_bytes", "Bytes of kept turns."),
            revision: gauge("rosethread_entry_revision", "The routes' revision in force."),
            targets: gauge("rosethread_entry_targets", "Targets known."),
            nodes: gauge("rosethread_entry_nodes", "Nodes believed to be alive."),
            registry,
        }
    }

    /// Counts a call of `kind` that ended with `outcome` after `time`.
    pub fn observe_call(&self, kind: &str, outcome: &str, time: Duration) {
        self.calls.with_label_values(&[outcome]).inc();
        self.call_seconds.with_label_values(&[kind]).observe(time.as_secs_f64());
    }

    /// Returns all metrics in the text format.
    pub fn render(&self) -> Result<String, prometheus::Error> {
        TextEncoder::new().encode_to_string(&self.registry.gather())
    }
}

fn register<C>(registry: &Registry, collector: C) -> C
where
    C: prometheus::core::Collector + Clone + 'static,
{
    registry.register(Box::new(collector.clone())).expect("each name is registered once");
    collector
}
