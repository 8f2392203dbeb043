//! The load that this answers: refused callers that come back all at once, into the same overload.
//!
//! Callers are told to come back while the calls beyond the band are expected to end: the urgent ones in
//! the first half of that time, the others in the second half, each at a time of its own. Hosts don't
//! agree on an order; each spreads its own refusals over the same time.

use std::time::Duration;

/// The lower limit of the delay.
const MIN_RETURN: Duration = Duration::from_millis(200);

/// The upper limit of the delay.
const MAX_RETURN: Duration = Duration::from_secs(30);

/// What has to end before new programs are admitted again.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Backlog {
    /// The calls that are running beyond those from which new programs are refused.
    pub excess: f64,
    /// The calls that are running.
    pub running: u32,
    /// The mean time of a call, in seconds.
    pub service_s: f64,
    /// The mean number of calls of a program.
    pub calls: f64,
    /// For how long new programs have been refused.
    pub lasted: Duration,
}

impl Backlog {
    /// Returns the time in which the excess is expected to end.
    ///
    /// The programs under way end at the rate at which their calls do, divided by the calls of each. An
    /// overload is expected to last as long again as it has lasted.
    pub fn time(&self) -> Duration {
        let program_s = self.service_s * self.calls;
        let drain_s = self.excess / f64::from(self.running.max(1)) * program_s;
        let drain = Duration::try_from_secs_f64(drain_s).unwrap_or(MAX_RETURN);
        drain.max(self.lasted).clamp(MIN_RETURN, MAX_RETURN)
    }
}

/// Returns the delay after which a refused caller should come back.
///
/// `rank` is 0 for the most urgent programs and 1 for the least urgent ones; `random` is a random number
/// of at least 0 and below 1. The delay is told as it is, also if it lies beyond the time that the
/// caller has: it then knows at once that it can't be served.
pub fn return_delay(backlog: Backlog, rank: f64, random: f64) -> Duration {
    let part = 0.5 + 0.5 * (rank.clamp(0.0, 1.0) + random);
    backlog.time().mul_f64(part).clamp(MIN_RETURN, MAX_RETURN)
}
