//! Admission control and load shedding.
//!
//! A call that cannot meet its deadline is refused at once, before it has cost anything. Under
//! overload, calls of programs in progress have precedence over new programs, because only a
//! finished program is of use to its caller.

use std::time::Duration;

/// The share of its deadline within which the first call of a new program has to be finished.
///
/// The rest is left for the program's further work.
const NEW_PROGRAM_DEADLINE_SHARE: f64 = 0.5;

/// The lower limit of the delay that callers are told to wait before they retry.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(200);

/// The upper limit of the delay that callers are told to wait before they retry.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(30);

/// The properties of a call that decide on its admission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// The time left until the call's deadline.
    pub deadline: Duration,
    /// Whether the call's program has finished a call before.
    pub is_underway: bool,
}

/// What is expected of the target that the call would go to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Forecast {
    /// The expected wait until the call starts, in seconds.
    pub wait_s: f64,
    /// The expected time of the call itself, in seconds.
    pub service_s: f64,
}

/// Admits a call that is expected to finish in time.
///
/// # Errors
///
/// Returns the delay after which the caller should retry if the call would finish too late.
pub fn admit(request: AdmissionRequest, forecast: Forecast) -> Result<(), Duration> {
    let deadline_s = request.deadline.as_secs_f64();
    let allowed_s =
        if request.is_underway { deadline_s } else { deadline_s * NEW_PROGRAM_DEADLINE_SHARE };
    if forecast.wait_s + forecast.service_s <= allowed_s {
        return Ok(());
    }
    let excess_s = (forecast.wait_s + forecast.service_s - allowed_s).max(0.0);
    let excess = Duration::try_from_secs_f64(excess_s).unwrap_or(MAX_RETRY_DELAY);
    Err(excess.clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY))
}

/// The load, in calls per slot of a service, from which some new programs are refused.
const SHED_SOME_FROM: f64 = 0.85;

/// The load from which all new programs are refused: programs in progress take up the slots.
const SHED_ALL_FROM: f64 = 1.05;

/// Returns which share of the new programs to refuse at a service with `running` calls and `slots`.
///
/// Below the band it is negative, and above the band it exceeds 1.
pub fn shed_share(running: u32, slots: u32) -> f64 {
    let load = f64::from(running) / f64::from(slots.max(1));
    (load - SHED_SOME_FROM) / (SHED_ALL_FROM - SHED_SOME_FROM)
}

/// Returns how many calls are running beyond those from which some new programs are refused.
pub fn excess_calls(running: u32, slots: u32) -> f64 {
    (f64::from(running) - SHED_SOME_FROM * f64::from(slots)).max(0.0)
}

/// Returns whether to refuse a new program at a service with `running` calls and `slots`.
///
/// A program that begins under overload finishes late and delays all programs in progress; refused
/// at once, it can return when those have ended. The refused share of new programs rises linearly
/// with the load instead of at one threshold, because nodes know each other's loads only with a
/// delay. `random` is a random number of at least 0 and below 1.
pub fn should_shed(running: u32, slots: u32, random: f64) -> bool {
    random < shed_share(running, slots)
}
