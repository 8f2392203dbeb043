//! What is learned of engines' reading from the first events of streams.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use rosethread_policy::PrefillEstimator;

/// Observes prompts of 100 to 6,000 tokens at engines that read `rate` tokens a second, where each
/// answer takes `fixed_s` more, and up to `noise_s` by chance.
fn learn(rate: f64, fixed_s: f64, noise_s: f64, count: usize) -> f64 {
    let mut random = Pcg64::seed_from_u64(5);
    let mut reading = PrefillEstimator::default();
    for _ in 0..count {
        let tokens = random.random_range(100..6_000_u64);
        let noise_s = noise_s * random.random::<f64>();
        let time = tokens as f64 / rate + fixed_s + noise_s;
        reading.observe(tokens, Duration::from_secs_f64(time));
    }
    reading.per_token_s() * rate
}

/// Compares the learned time per token with the true one.
fn check(rate: f64, fixed_s: f64, noise_s: f64, count: usize, within: f64) {
    let relative = learn(rate, fixed_s, noise_s, count);
    assert!((relative - 1.0).abs() <= within, "{relative} of the true time");
}

rosethread_cases::cases!(check {
    slow_readers: (8_000.0, 0.03, 0.02, 300, 0.1);
    fast_readers: (170_000.0, 0.03, 0.01, 300, 0.3);
    a_long_way_is_not_reading: (70_000.0, 0.3, 0.01, 300, 0.3);
    the_guess_is_forgotten: (2_000.0, 0.0, 0.0, 30, 0.1);
});

/// With few observations all time counts as reading, so programs rather stay with their caches.
#[test]
fn few_observations_err_towards_slow_reading() {
    assert!(1.0 < learn(70_000.0, 0.1, 0.0, 5));
}

#[test]
fn equal_prompts_tell_no_slope_but_a_time() {
    let mut reading = PrefillEstimator::default();
    for _ in 0..2_000 {
        reading.observe(1_000, Duration::from_millis(50));
    }
    let per_token_s = reading.per_token_s();
    assert!((per_token_s - 5e-5).abs() < 1e-5, "{per_token_s}");
}

#[test]
fn prompts_without_tokens_do_no_harm() {
    let mut reading = PrefillEstimator::default();
    for _ in 0..5_000 {
        reading.observe(0, Duration::from_millis(30));
    }
    assert!(reading.per_token_s().is_finite());
    assert!(0.0 < reading.per_token_s());
}
