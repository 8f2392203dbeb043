//! What happens to a program's cache while a tool runs.
//!
//! Holding memory delays others, and dropping it costs a new prefill. The choice follows from the
//! expected length of the pause, the pressure on the memory and the cost to rebuild.

use std::time::Duration;

/// What to do with a program's cache during a pause.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheRetention {
    /// Keep it against eviction for this long.
    Hold(Duration),
    /// Leave it to the engine's own eviction.
    Release,
}

/// What is known when a pause begins.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PauseForecast {
    /// The expected length of the pause, in seconds.
    pub expected_s: f64,
    /// Tokens in the program's cache.
    pub cached_tokens: u64,
    /// The share of the engine's memory that is in use, from 0 to 1.
    pub pressure: f64,
    /// The engine's cache memory, in tokens.
    pub memory_tokens: u64,
    /// Prompt tokens that the engine computes in a second.
    pub prefill_rate: f64,
}

/// The pressure below which the engine evicts nothing that it will need.
const LOW_PRESSURE: f64 = 0.7;

/// How much longer than expected a pause may take before the hold ends.
const PATIENCE: f64 = 2.0;

/// The longest hold.
const MAX_HOLD: Duration = Duration::from_secs(60);

/// Chooses what to do with a program's cache.
///
/// The cost of holding is the memory's share times the time; the cost of losing it is the time to
/// compute it again.
pub fn choose_retention(cost: PauseForecast) -> CacheRetention {
    let rebuild_s = cost.cached_tokens as f64 / cost.prefill_rate.max(1.0);
    let share = cost.cached_tokens as f64 / cost.memory_tokens.max(1) as f64;
    let crowding = ((cost.pressure - LOW_PRESSURE) / (1.0 - LOW_PRESSURE)).clamp(0.0, 1.0);
    let hold_s = cost.expected_s * share * crowding;
    if rebuild_s <= hold_s {
        return CacheRetention::Release;
    }
    let patience_s = (cost.expected_s * PATIENCE).max(0.1);
    let patience = Duration::try_from_secs_f64(patience_s).unwrap_or(MAX_HOLD);
    CacheRetention::Hold(patience.min(MAX_HOLD))
}
