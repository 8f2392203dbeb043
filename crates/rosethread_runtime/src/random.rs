//! The node's source of random numbers, seeded from outside so that a run can be repeated.

use std::sync::Mutex;

use rand::{Rng, RngExt, SeedableRng};
use rand_pcg::Pcg64;
use rosethread_types::AttemptId;

/// A shared random source.
pub struct RandomSource(Mutex<Pcg64>);

impl RandomSource {
    /// Returns a source that is fully determined by `seed`.
    pub fn seeded(seed: u64) -> RandomSource {
        RandomSource(Mutex::new(Pcg64::seed_from_u64(seed)))
    }

    /// Returns a source that nobody can predict.
    pub fn from_system() -> RandomSource {
        RandomSource::seeded(rand::random())
    }

    fn draw<T>(&self, draw: impl FnOnce(&mut Pcg64) -> T) -> T {
        draw(&mut self.0.lock().expect("no holder of the random source panics"))
    }

    /// Returns 64 random bits.
    pub fn next_u64(&self) -> u64 {
        self.draw(|it| it.next_u64())
    }

    /// Returns 128 random bits.
    pub fn next_u128(&self) -> u128 {
        self.draw(|it| it.random())
    }

    /// Returns a number of at least 0 and below 1.
    pub fn next_f64(&self) -> f64 {
        self.draw(|it| it.random())
    }

    /// Returns a fresh identifier of an attempt.
    pub fn next_attempt_id(&self) -> AttemptId {
        AttemptId(self.next_u128())
    }
}
