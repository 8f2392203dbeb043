//! Whether a call is worth accepting at all.
//!
//! A call that cannot meet its deadline is refused at once, while that costs nothing. When there
//! is more work than capacity, calls of programs under way go before new programs, since only
//! finished programs count.

use std::time::Duration;

/// The part of a deadline that a new program may use for waiting; the rest is for the work itself.
const NEW_PROGRAM_SHARE: f64 = 0.5;

/// The shortest wait that callers are told before they ask again.
const MIN_RETRY: Duration = Duration::from_millis(200);

/// The longest wait that callers are told before they ask again.
const MAX_RETRY: Duration = Duration::from_secs(30);

/// What a call asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// The time left until its deadline.
    pub deadline: Duration,
    /// Whether its program has finished calls already.
    pub is_underway: bool,
}

/// What is expected of the best target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Forecast {
    /// The time until the call starts, in seconds.
    pub wait_s: f64,
    /// The time that the call itself takes, in seconds.
    pub service_s: f64,
}

/// Accepts the call, or returns when its caller should ask again.
pub fn admit(demand: AdmissionRequest, forecast: Forecast) -> Result<(), Duration> {
    let deadline_s = demand.deadline.as_secs_f64();
    let allowed_s = if demand.is_underway { deadline_s } else { deadline_s * NEW_PROGRAM_SHARE };
    if forecast.wait_s + forecast.service_s <= allowed_s {
        return Ok(());
    }
    let excess_s = (forecast.wait_s + forecast.service_s - allowed_s).max(0.0);
    let excess = Duration::try_from_secs_f64(excess_s).unwrap_or(MAX_RETRY);
    Err(excess.clamp(MIN_RETRY, MAX_RETRY))
}

/// The share of a service's slots in use from which some new programs are told to come later.
const CROWDED_FROM: f64 = 0.85;

/// The share from which all are: the slots are taken by programs under way.
const CROWDED_TO: f64 = 1.05;

/// Tells whether a new program should come later, where `running` calls use a service's `slots`.
///
/// A program that is begun in a crowd finishes late, and delays all that are under way; refused at
/// once it may come when they have ended. The share of new programs that is refused rises with the
/// load, since the loads that nodes know of each other are old; `draw` is a random number of at
/// least 0 and below 1.
pub fn should_shed(running: u32, slots: u32, draw: f64) -> bool {
    let load = f64::from(running) / f64::from(slots.max(1));
    draw < (load - CROWDED_FROM) / (CROWDED_TO - CROWDED_FROM)
}
