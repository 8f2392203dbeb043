//! The estimate of prefill times from the times to the first event.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use rosethread_policy::PrefillEstimator;

/// Feeds an estimator `count` prompts of 100 to 6,000 tokens, and returns its estimate divided by
/// the true time per token.
///
/// The emulated engine prefills `rate` tokens per second; each first event takes `fixed_s` more,
/// and up to `noise_s` at random.
fn relative_estimate(rate: f64, fixed_s: f64, noise_s: f64, count: usize) -> f64 {
    let mut random = Pcg64::seed_from_u64(5);
    let mut estimator = PrefillEstimator::default();
    for _ in 0..count {
        let tokens = random.random_range(100..6_000_u64);
        let noise_s = noise_s * random.random::<f64>();
        let time = tokens as f64 / rate + fixed_s + noise_s;
        estimator.observe(tokens, Duration::from_secs_f64(time));
    }
    estimator.per_token_s() * rate
}

/// Checks that the relative error of the estimate is at most `tolerance`.
fn check_estimate(rate: f64, fixed_s: f64, noise_s: f64, count: usize, tolerance: f64) {
    let relative = relative_estimate(rate, fixed_s, noise_s, count);
    assert!((relative - 1.0).abs() <= tolerance, "{relative} of the true time");
}

rosethread_cases::cases!(check_estimate {
    slow_prefill: (8_000.0, 0.03, 0.02, 300, 0.1);
    fast_prefill: (170_000.0, 0.03, 0.01, 300, 0.3);
    fixed_delay_is_not_prefill: (70_000.0, 0.3, 0.01, 300, 0.3);
    prior_is_forgotten: (2_000.0, 0.0, 0.0, 30, 0.1);
});

/// With few samples all of the time counts as prefill, so programs rather stay with their caches.
#[test]
fn few_samples_err_towards_slow_prefill() {
    assert!(1.0 < relative_estimate(70_000.0, 0.1, 0.0, 5));
}

#[test]
fn equal_prompts_give_the_slope_through_the_origin() {
    let mut estimator = PrefillEstimator::default();
    for _ in 0..2_000 {
        estimator.observe(1_000, Duration::from_millis(50));
    }
    let per_token_s = estimator.per_token_s();
    assert!((per_token_s - 5e-5).abs() < 1e-5, "{per_token_s}");
}

#[test]
fn empty_prompts_give_a_finite_positive_time() {
    let mut estimator = PrefillEstimator::default();
    for _ in 0..5_000 {
        estimator.observe(0, Duration::from_millis(30));
    }
    assert!(estimator.per_token_s().is_finite());
    assert!(0.0 < estimator.per_token_s());
}
