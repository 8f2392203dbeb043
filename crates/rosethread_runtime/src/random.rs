//! The random number generator of a node; a run can be repeated with the same seed.

use std::sync::Mutex;

use rand::{Rng, RngExt, SeedableRng};
use rand_pcg::Pcg64;
use rosethread_types::AttemptId;

/// A random number generator that tasks share.
pub struct RandomSource(Mutex<Pcg64>);

impl RandomSource {
    /// Creates a generator whose sequence is determined by `seed`.
    pub fn seeded(seed: u64) -> RandomSource {
        RandomSource(Mutex::new(Pcg64::seed_from_u64(seed)))
    }

    /// Creates a generator that is seeded from the operating system.
    ///
    /// It is not cryptographically secure: its state can be derived from its outputs.
    pub fn from_system() -> RandomSource {
        RandomSource::seeded(rand::random())
    }

    fn with_rng<T>(&self, sample: impl FnOnce(&mut Pcg64) -> T) -> T {
        sample(&mut self.0.lock().expect("no holder of the random source panics"))
    }

    /// Returns 64 random bits.
    pub fn next_u64(&self) -> u64 {
        self.with_rng(|it| it.next_u64())
    }

    /// Returns 128 random bits.
    pub fn next_u128(&self) -> u128 {
        self.with_rng(|it| it.random())
    }

    /// Returns a uniform random number of at least 0 and below 1.
    pub fn next_f64(&self) -> f64 {
        self.with_rng(|it| it.random())
    }

    /// Returns a new random identifier of an attempt.
    pub fn next_attempt_id(&self) -> AttemptId {
        AttemptId(self.next_u128())
    }
}
