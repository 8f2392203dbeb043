//! Latencies and counts for tables.

use std::time::Duration;

use hdrhistogram::Histogram;

/// A histogram of latencies with microsecond resolution.
#[derive(Clone, Debug)]
pub struct LatencyHistogram {
    histogram: Histogram<u64>,
}

impl Default for LatencyHistogram {
    fn default() -> LatencyHistogram {
        let histogram = Histogram::new(3).expect("three digits are a valid precision");
        LatencyHistogram { histogram }
    }
}

/// The figures that tables show.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Serialize)]
pub struct LatencySummary {
    /// The number of values.
    pub count: u64,
    /// The median, in milliseconds.
    pub p50_ms: f64,
    /// The 95th percentile, in milliseconds.
    pub p95_ms: f64,
    /// The 99th percentile, in milliseconds.
    pub p99_ms: f64,
}

impl LatencyHistogram {
    /// Adds a value.
    pub fn record(&mut self, value: Duration) {
        let micros = value.as_micros() as u64;
        self.histogram.record(micros).expect("the histogram grows with its values");
    }

    /// Adds all values of `other`.
    pub fn merge(&mut self, other: &LatencyHistogram) {
        self.histogram.add(&other.histogram).expect("both have the same resolution");
    }

    /// Returns the figures.
    pub fn summary(&self) -> LatencySummary {
        let ms = |quantile: f64| self.histogram.value_at_quantile(quantile) as f64 / 1_000.0;
        LatencySummary {
            count: self.histogram.len(),
            p50_ms: ms(0.5),
            p95_ms: ms(0.95),
            p99_ms: ms(0.99),
        }
    }
}
