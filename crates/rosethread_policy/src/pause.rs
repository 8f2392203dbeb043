//! Whether an engine keeps a program's cache while a tool runs.
//!
//! Keeping the cache takes memory from other programs; dropping it costs another prefill. The
//! choice depends on the expected length of the pause, the memory pressure and the cost of the
//! prefill.

use std::time::Duration;

/// What happens to a program's cache during a pause between its calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheRetention {
    /// The engine protects the cache from eviction for this long.
    Hold(Duration),
    /// The engine may evict the cache by its own rules.
    Release,
}

/// What is known or expected when a pause begins.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PauseForecast {
    /// The expected length of the pause, in seconds.
    pub expected_s: f64,
    /// The number of tokens in the program's cache.
    pub cached_tokens: u64,
    /// The fraction of the engine's cache memory in use, from 0 to 1.
    pub pressure: f64,
    /// The size of the engine's cache memory, in tokens.
    pub memory_tokens: u64,
    /// The engine's prefill rate, in prompt tokens per second.
    pub prefill_rate: f64,
}

/// The memory pressure below which the engine evicts no cache that is still needed.
const LOW_PRESSURE: f64 = 0.7;

/// The length of a hold, as a multiple of the expected pause.
const HOLD_FACTOR: f64 = 2.0;

/// The upper limit of a hold.
const MAX_HOLD: Duration = Duration::from_secs(60);

/// Chooses whether to hold a program's cache through a pause.
///
/// The cost of holding is the expected time, weighted with the cache's fraction of the memory and
/// with the pressure; the cost of losing the cache is the time of another prefill.
pub fn choose_retention(pause: PauseForecast) -> CacheRetention {
    let prefill_s = pause.cached_tokens as f64 / pause.prefill_rate.max(1.0);
    let share = pause.cached_tokens as f64 / pause.memory_tokens.max(1) as f64;
    let contention = ((pause.pressure - LOW_PRESSURE) / (1.0 - LOW_PRESSURE)).clamp(0.0, 1.0);
    let hold_cost_s = pause.expected_s * share * contention;
    if prefill_s <= hold_cost_s {
        return CacheRetention::Release;
    }
    let hold_s = (pause.expected_s * HOLD_FACTOR).max(0.1);
    let hold = Duration::try_from_secs_f64(hold_s).unwrap_or(MAX_HOLD);
    CacheRetention::Hold(hold.min(MAX_HOLD))
}
