//! How fast each target of a service is, learned from the pauses between the events of its streams.
//!
//! The load that this answers: a part of a service's engines runs at half the speed of the others for
//! good, and each engine for half a second now and then. Where all engines get the same number of
//! calls, the programs on the slow ones miss their objective while the fast ones have room.
//!
//! The pause between events depends little on a call's length, so that a few calls tell a target's
//! speed. Slowness is persistent or not: an observation counts for the next few calls of the target and
//! for some seconds, after which the target counts as one of the mean speed again and gets calls that
//! show how fast it is. Small differences are ignored, since they come from the load and not from the
//! target. See `docs/design/uneven.md`.

use std::{collections::BTreeMap, time::Duration};

use rosethread_types::TargetName;

/// The factor by which an observation counts less with each newer one of the same target.
const SAMPLE_DECAY: f64 = 0.85;

/// The time constant with which observations of a target lose weight, in seconds.
const TARGET_DECAY_S: f64 = 12.0;

/// The factor by which an observation counts less with each newer one of the service.
const SERVICE_DECAY: f64 = 0.995;

/// The weight of the assumption that a target has the mean speed, in observations.
const PRIOR_WEIGHT: f64 = 1.5;

/// The observations of a service from which its mean is known.
const MIN_SERVICE_WEIGHT: f64 = 20.0;

/// The least relative difference from the mean that counts.
const MIN_DIFFERENCE: f64 = 0.25;

/// The largest slowness that is assumed: work in proportion to speed still reaches such a target.
const MAX_SLOWNESS: f64 = 4.0;

/// A decaying mean.
#[derive(Clone, Copy, Debug, Default)]
struct Mean {
    weight: f64,
    sum: f64,
}

impl Mean {
    fn add(&mut self, value: f64, decay: f64) {
        self.weight = self.weight * decay + 1.0;
        self.sum = self.sum * decay + value;
    }

    fn value(&self) -> f64 {
        self.sum / self.weight.max(f64::MIN_POSITIVE)
    }
}

#[derive(Clone, Copy, Debug)]
struct TargetPace {
    pauses: Mean,
    updated: Duration,
}

impl TargetPace {
    /// Returns the factor that remains of the weight of the observations.
    fn decay_at(&self, now: Duration) -> f64 {
        (-now.saturating_sub(self.updated).as_secs_f64() / TARGET_DECAY_S).exp()
    }
}

/// The speeds of the targets of one service, as one host observes them. Times are durations since the
/// start of the process.
#[derive(Clone, Debug, Default)]
pub struct TargetSpeeds {
    service: Mean,
    targets: BTreeMap<TargetName, TargetPace>,
}

impl TargetSpeeds {
    /// Records the mean pause between the events of a stream that `target` has completed.
    pub fn observe(&mut self, target: &TargetName, pause: Duration, now: Duration) {
        let pause_s = pause.as_secs_f64();
        self.service.add(pause_s, SERVICE_DECAY);
        let idle = TargetPace { pauses: Mean::default(), updated: now };
        let pace = self.targets.entry(target.clone()).or_insert(idle);
        let decay = SAMPLE_DECAY * pace.decay_at(now);
        pace.pauses.add(pause_s, decay);
        pace.updated = now;
    }

    /// Returns how much longer a call takes at `target` than at one of the mean speed, as a fraction: 1
    /// for a target of half the speed, and less than 0 for a fast one.
    pub fn slowness(&self, target: &TargetName, now: Duration) -> f64 {
        let mean = self.service.value();
        let Some(pace) = self.targets.get(target) else {
            return 0.0;
        };
        if self.service.weight < MIN_SERVICE_WEIGHT || mean <= 0.0 {
            return 0.0;
        }
        let weight = pace.pauses.weight * pace.decay_at(now);
        let expected =
            (weight * pace.pauses.value() + PRIOR_WEIGHT * mean) / (weight + PRIOR_WEIGHT);
        let slowness = expected / mean - 1.0;
        if slowness.abs() < MIN_DIFFERENCE { 0.0 } else { slowness.min(MAX_SLOWNESS) }
    }

    /// Forgets a target that left or started again.
    pub fn forget(&mut self, target: &TargetName) {
        self.targets.remove(target);
    }
}
