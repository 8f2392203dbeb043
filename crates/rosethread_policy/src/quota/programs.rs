//! What the programs that an organisation has begun are expected to call still.

use std::{collections::BTreeMap, time::Duration};

/// The most programs that are remembered for an organisation.
const MAX_PROGRAMS: usize = 4_096;

/// The time over which the calls per program are averaged.
const MEMORY: Duration = Duration::from_secs(30);

/// A program without a call for this many of the usual pauses is expected to be done.
const DONE_PAUSES: f64 = 4.0;

/// Bounds on that time.
const MIN_IDLE: Duration = Duration::from_secs(1);
const MAX_IDLE: Duration = Duration::from_secs(15);

/// The weight of a new pause in their mean.
const PAUSE_WEIGHT: f64 = 0.05;

/// How long the expected calls are not computed again.
const TOTAL_TTL: Duration = Duration::from_millis(50);

#[derive(Clone, Debug)]
struct Program {
    /// Calls after the first.
    further: u32,
    last: Duration,
}

/// The programs under way of one organisation.
#[derive(Clone, Debug, Default)]
pub(super) struct Programs {
    known: BTreeMap<u64, Program>,
    /// Programs begun, and calls after their first ones, both fading with [`MEMORY`].
    begun: f64,
    further: f64,
    faded: Duration,
    /// The mean pause between the calls of a program, in seconds.
    pause_s: f64,
    expected: f64,
    computed: Option<Duration>,
}

impl Programs {
    /// Returns whether the program has made a call that is remembered.
    pub(super) fn contains(&self, program: u64) -> bool {
        self.known.contains_key(&program)
    }

    /// Records a call of a program.
    pub(super) fn record(&mut self, program: u64, is_underway: bool, now: Duration) {
        self.fade(now);
        if let Some(known) = self.known.get_mut(&program) {
            let pause_s = now.saturating_sub(known.last).as_secs_f64();
            self.pause_s += (pause_s - self.pause_s) * PAUSE_WEIGHT;
            known.further += 1;
            known.last = now;
            self.further += 1.0;
            return;
        }
        if is_underway {
            // It began at an earlier owner.
            self.further += 1.0;
        } else {
            self.begun += 1.0;
        }
        if self.known.len() < MAX_PROGRAMS {
            self.known.insert(program, Program { further: u32::from(is_underway), last: now });
        }
    }

    /// Returns the calls after the first that a program makes on average.
    pub(super) fn mean_further(&self) -> f64 {
        self.further / self.begun.max(1.0)
    }

    /// Returns the calls that the programs under way are expected to make still.
    pub(super) fn expected_calls(&mut self, now: Duration) -> f64 {
        if self.computed.is_some_and(|it| now < it + TOTAL_TTL) {
            return self.expected;
        }
        self.fade(now);
        let idle = Duration::from_secs_f64((self.pause_s * DONE_PAUSES).min(60.0));
        let idle = idle.clamp(MIN_IDLE, MAX_IDLE);
        self.known.retain(|_, it| now < it.last + idle);
        let mean = self.mean_further();
        self.expected = self.known.values().map(|it| (mean - f64::from(it.further)).max(0.0)).sum();
        self.computed = Some(now);
        self.expected
    }

    fn fade(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.faded).as_secs_f64();
        self.faded = now;
        let factor = (-elapsed / MEMORY.as_secs_f64()).exp();
        self.begun *= factor;
        self.further *= factor;
    }
}
