//! Scheduling decisions as pure functions over plain values.
//!
//! No function here does I/O, reads a clock or keeps hidden state: the node hands in what it knows
//! and carries out what comes back, so every decision can be tested and measured alone. Each rule
//! has a module of its own with its reason; [`choose_target`] and [`select_next_call`] also offer
//! the baselines that measurements compare with. See `docs/design/decisions.md`.

mod admission;
mod breaker;
mod health;
mod moves;
mod order;
mod pause;
mod place;
mod prefill;
mod rate;
mod retry;
mod spread;

pub use admission::{AdmissionRequest, Forecast, admit, should_shed};
pub use breaker::{BreakerConfig, CircuitBreaker};
pub use health::TargetHealth;
pub use moves::{DrainCandidate, ProgramMove, plan_drain};
pub use order::{FairShares, QueuedCall, select_next_call};
pub use pause::{CacheRetention, PauseForecast, choose_retention};
pub use place::{Candidate, Placement, PlacementRequest, Weights, choose_target};
pub use prefill::PrefillEstimator;
pub use rate::{TokenBucket, local_share};
pub use retry::{RetryBudget, backoff};
pub use spread::{HostLoad, order_hosts};

/// Which rules are in force; all but the first are baselines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Strategy {
    /// Least expected cost; least attained service within weighted fair shares.
    #[default]
    Adaptive,
    /// Targets in turn, first come first served.
    RoundRobin,
    /// The target with the fewest calls, first come first served.
    LeastLoaded,
    /// The program's first target for ever, first come first served.
    Sticky,
}
