//! Latency statistics for reports.

use std::time::Duration;

use hdrhistogram::Histogram;

/// A latency histogram in microseconds, with three significant digits.
#[derive(Clone, Debug)]
pub struct LatencyHistogram {
    histogram: Histogram<u64>,
}

impl Default for LatencyHistogram {
    fn default() -> LatencyHistogram {
        let histogram = Histogram::new(3).expect("three significant digits are a valid precision");
        LatencyHistogram { histogram }
    }
}

/// The number of values and the percentiles of a [`LatencyHistogram`].
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Serialize)]
pub struct LatencySummary {
    /// The number of recorded values.
    pub count: u64,
    /// The median, in milliseconds.
    pub p50_ms: f64,
    /// The 95th percentile, in milliseconds.
    pub p95_ms: f64,
    /// The 99th percentile, in milliseconds.
    pub p99_ms: f64,
}

impl LatencyHistogram {
    /// Records one latency; fractions of a microsecond are dropped.
    pub fn record(&mut self, value: Duration) {
        let micros = value.as_micros() as u64;
        self.histogram.record(micros).expect("the histogram resizes automatically");
    }

    /// Adds all values of `other` to this histogram.
    pub fn merge(&mut self, other: &LatencyHistogram) {
        self.histogram
            .add(&other.histogram)
            .expect("both histograms resize and have the same precision");
    }

    /// Returns the count and the percentiles; percentiles of an empty histogram are 0.
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
