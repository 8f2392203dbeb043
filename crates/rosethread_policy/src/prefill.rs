//! How long an engine takes to read prompt tokens, learned from the first events of streams.
//!
//! Answers the pattern *a rate that fits other engines*: a scheduler that assumes faster reading
//! than its engines have sends programs away from their caches too easily. The reading that follows
//! fills engines, which sends more programs away. So nothing is assumed beyond a weak first guess.

use std::time::Duration;

/// Prompt tokens of the observation that stands for the first guess.
const GUESS_TOKENS: f64 = 1_000.0;

/// The time of the observation that stands for the first guess, in seconds.
const GUESS_S: f64 = 0.02;

/// Observations after which an old one counts for about a third.
const MEMORY: f64 = 200.0;

/// The smallest part of the time per token that is taken for reading, however the observations
/// scatter.
const MIN_PART: f64 = 0.2;

/// The least variance of the prompts' tokens, as a part of their mean square, that tells a slope.
const MIN_SPREAD: f64 = 0.01;

/// Observations needed before the time that does not depend on the prompt is told apart.
const MIN_SAMPLES: f64 = 10.0;

/// The time that engines of one service need for a prompt token, as one node observes it.
///
/// It is the slope of a line through the times to the first event against the tokens to be read.
/// Old observations fade. Until there are enough, all of the time counts as reading, which errs
/// towards keeping programs with their caches.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PrefillEstimator {
    weight: f64,
    tokens: f64,
    time: f64,
    tokens_squared: f64,
    tokens_time: f64,
}

impl Default for PrefillEstimator {
    fn default() -> PrefillEstimator {
        PrefillEstimator {
            weight: 1.0,
            tokens: GUESS_TOKENS,
            time: GUESS_S,
            tokens_squared: GUESS_TOKENS * GUESS_TOKENS,
            tokens_time: GUESS_TOKENS * GUESS_S,
        }
    }
}

impl PrefillEstimator {
    /// Takes note that the first event came `first` after a prompt with `uncached` tokens to read.
    pub fn observe(&mut self, uncached: u64, first: Duration) {
        let (tokens, time) = (uncached as f64, first.as_secs_f64());
        let keep = 1.0 - 1.0 / MEMORY;
        self.weight = self.weight * keep + 1.0;
        self.tokens = self.tokens * keep + tokens;
        self.time = self.time * keep + time;
        self.tokens_squared = self.tokens_squared * keep + tokens * tokens;
        self.tokens_time = self.tokens_time * keep + tokens * time;
    }

    /// Returns the seconds that one prompt token takes.
    pub fn per_token_s(&self) -> f64 {
        // All of the time counts as reading: a line through the origin.
        let most = self.tokens_time / self.tokens_squared.max(1.0);
        if self.weight < MIN_SAMPLES {
            return most;
        }
        let spread = self.weight * self.tokens_squared - self.tokens * self.tokens;
        let common = self.weight * self.tokens_time - self.tokens * self.time;
        if spread <= MIN_SPREAD * self.weight * self.tokens_squared {
            return most;
        }
        (common / spread).clamp(most * MIN_PART, most)
    }
}
