//! An estimate of an engine's prefill time per prompt token, learned from times to the first event.
//!
//! A scheduler that assumes a faster prefill than its engines have moves programs away from their
//! caches too easily. The extra prefill then loads the engines, which moves more programs away. So
//! the rate is measured, and the only assumption is a weak prior.

use std::time::Duration;

/// The prompt tokens of the artificial first sample that serves as the prior.
const PRIOR_TOKENS: f64 = 1_000.0;

/// The time to the first event of the prior sample, in seconds.
const PRIOR_S: f64 = 0.02;

/// The decay constant in samples: after this many newer samples, one counts for 1/e.
const DECAY_SAMPLES: f64 = 200.0;

/// A lower bound for the slope, as a share of the slope through the origin, against noisy samples.
const MIN_SLOPE_SHARE: f64 = 0.2;

/// The least variance of prompt lengths, relative to their mean square, for which a slope is
/// fitted.
const MIN_VARIANCE_SHARE: f64 = 0.01;

/// The total sample weight needed before the line may have an intercept: time that does not
/// depend on the prompt.
const MIN_REGRESSION_WEIGHT: f64 = 10.0;

/// An estimate of the prefill time per prompt token at the engines of one service.
///
/// It is the slope of a linear regression of the time to the first event on the number of uncached
/// tokens, with exponentially decaying weights. Until there are enough samples, all of the time
/// counts as prefill, which errs towards keeping programs at their caches.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PrefillEstimator {
    // Decaying sums over all samples: of 1, tokens, seconds, tokens squared and tokens x seconds.
    weight: f64,
    tokens_sum: f64,
    time_sum: f64,
    squares_sum: f64,
    products_sum: f64,
}

impl Default for PrefillEstimator {
    fn default() -> PrefillEstimator {
        PrefillEstimator {
            weight: 1.0,
            tokens_sum: PRIOR_TOKENS,
            time_sum: PRIOR_S,
            squares_sum: PRIOR_TOKENS * PRIOR_TOKENS,
            products_sum: PRIOR_TOKENS * PRIOR_S,
        }
    }
}

impl PrefillEstimator {
    /// Records that the first event came `first_event` after sending a prompt with `uncached`
    /// tokens.
    pub fn observe(&mut self, uncached: u64, first_event: Duration) {
        let (tokens, time) = (uncached as f64, first_event.as_secs_f64());
        let decay = 1.0 - 1.0 / DECAY_SAMPLES;
        self.weight = self.weight * decay + 1.0;
        self.tokens_sum = self.tokens_sum * decay + tokens;
        self.time_sum = self.time_sum * decay + time;
        self.squares_sum = self.squares_sum * decay + tokens * tokens;
        self.products_sum = self.products_sum * decay + tokens * time;
    }

    /// Returns the estimated prefill time of one prompt token, in seconds.
    pub fn per_token_s(&self) -> f64 {
        // All of the time counts as prefill: the slope of a line through the origin.
        let origin_slope = self.products_sum / self.squares_sum.max(1.0);
        if self.weight < MIN_REGRESSION_WEIGHT {
            return origin_slope;
        }
        let variance = self.weight * self.squares_sum - self.tokens_sum * self.tokens_sum;
        let covariance = self.weight * self.products_sum - self.tokens_sum * self.time_sum;
        if variance <= MIN_VARIANCE_SHARE * self.weight * self.squares_sum {
            return origin_slope;
        }
        (covariance / variance).clamp(origin_slope * MIN_SLOPE_SHARE, origin_slope)
    }
}
