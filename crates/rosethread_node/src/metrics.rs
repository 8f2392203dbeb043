//! The Prometheus metrics that a node exports at `/metrics`.

use std::time::Duration;

use prometheus::{
    Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
};
use rosethread_types::{ClassName, Refusal, Tokens};

use crate::call::Answer;

/// The bucket bounds of latency histograms, in seconds: half a millisecond to five minutes.
const LATENCY_BUCKETS: [f64; 18] = [
    0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.6, 1.0, 2.0, 5.0, 10.0, 30.0, 60.0,
    120.0, 300.0,
];

/// The metrics of one node.
pub struct Metrics {
    registry: Registry,
    /// The number of programs created.
    pub programs_created: IntCounter,
    /// The number of programs ended.
    pub programs_closed: IntCounter,
    /// The number of programs that this node owns.
    pub programs_owned: IntGauge,
    /// The number of calls forwarded to another node.
    pub forwards: IntCounter,
    /// The number of programs taken over.
    pub takeovers: IntCounter,
    /// The number of budget tokens that takeovers have made unusable.
    pub stranded_tokens: IntCounter,
    /// The number of journal bytes that are not yet written to the log.
    pub journal_queued_bytes: IntGauge,
    /// The number of appends to the log, including retries.
    pub journal_appends: IntGauge,
    /// The number of records written to the log.
    pub journal_records: IntGauge,
    /// The number of bytes written to the log.
    pub journal_bytes: IntGauge,
    /// The revision of the active document.
    pub document_revision: IntGauge,
    /// The number of nodes that this node considers alive.
    pub nodes_alive: IntGauge,
    /// The number of suspicions that this node has raised.
    pub suspicions: IntGauge,
    calls: IntCounterVec,
    call_seconds: HistogramVec,
    first_token_seconds: Histogram,
    takeover_seconds: Histogram,
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
        let histogram = |name: &str, help: &str| {
            let options = HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS.to_vec());
            register(&registry, Histogram::with_opts(options).expect("the name is valid"))
        };
        let calls = Opts::new("rosethread_calls_total", "Calls ended, by class and outcome.");
        let calls = IntCounterVec::new(calls, &["class", "outcome"]).expect("the name is valid");
        let call_seconds = HistogramOpts::new(
            "rosethread_call_seconds",
            "Time from admission to the whole answer.",
        )
        .buckets(LATENCY_BUCKETS.to_vec());
        let call_seconds = HistogramVec::new(call_seconds, &["class"]).expect("the name is valid");
        Metrics {
            programs_created: counter("rosethread_programs_created_total", "Programs created."),
            programs_closed: counter("rosethread_programs_closed_total", "Programs ended."),
            programs_owned: gauge("rosethread_programs_owned", "Programs owned at present."),
            forwards: counter("rosethread_forwards_total", "Calls sent on to another node."),
            takeovers: counter("rosethread_takeovers_total", "Programs taken over."),
            stranded_tokens: counter(
                "rosethread_stranded_tokens_total",
                "Tokens lost by takeovers.",
            ),
            journal_queued_bytes: gauge(
                "rosethread_journal_queued_bytes",
                "Bytes waiting for the log.",
            ),
            journal_appends: gauge("rosethread_journal_appends", "Appends since the start."),
            journal_records: gauge("rosethread_journal_records", "Records since the start."),
            journal_bytes: gauge("rosethread_journal_bytes", "Bytes since the start."),
            document_revision: gauge(
                "rosethread_document_revision",
                "The document's revision in force.",
            ),
            nodes_alive: gauge("rosethread_nodes_alive", "Nodes believed to be alive."),
            suspicions: gauge("rosethread_suspicions", "Suspicions raised since the start."),
            first_token_seconds: histogram(
                "rosethread_first_token_seconds",
                "Time from a call's arrival to its first token.",
            ),
            takeover_seconds: histogram("rosethread_takeover_seconds", "Time of a takeover."),
            calls: register(&registry, calls),
            call_seconds: register(&registry, call_seconds),
            registry,
        }
    }

    /// Counts a call that ended after `time` by its class and outcome.
    ///
    /// The latency histogram includes answered calls only.
    pub fn observe_call(
        &self,
        class: &ClassName,
        time: Duration,
        result: &Result<Answer, Refusal>,
    ) {
        let outcome = match result {
            Ok(_) => "done".to_owned(),
            Err(refusal) => refusal.outcome.to_string(),
        };
        self.calls.with_label_values(&[class.as_str(), outcome.as_str()]).inc();
        if result.is_ok() {
            self.call_seconds.with_label_values(&[class.as_str()]).observe(time.as_secs_f64());
        }
    }

    /// Records the time from a call's arrival to its first token.
    pub fn observe_first_token(&self, time: Duration) {
        self.first_token_seconds.observe(time.as_secs_f64());
    }

    /// Counts a takeover that took `time` and made `tokens` of the budget unusable.
    pub fn observe_takeover(&self, time: Duration, tokens: Tokens) {
        self.takeovers.inc();
        self.stranded_tokens.inc_by(tokens);
        self.takeover_seconds.observe(time.as_secs_f64());
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        TextEncoder::new().encode_to_string(&self.registry.gather()).unwrap_or_default()
    }
}

fn register<C>(registry: &Registry, collector: C) -> C
where
    C: prometheus::core::Collector + Clone + 'static,
{
    registry.register(Box::new(collector.clone())).expect("each name is registered once");
    collector
}
