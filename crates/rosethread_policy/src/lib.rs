//! Scheduling decisions as pure functions over plain values.
//!
//! Nothing here does I/O, reads a clock or draws random numbers: the node passes in what it knows
//! and carries out the result, so every decision can be tested and measured in isolation. Each rule
//! has its own module, which gives the reason for it. [`choose_target`] and [`select_next_call`]
//! also implement the baselines that measurements compare with. See `docs/design/decisions.md`.

mod admission;
mod breaker;
mod contention;
mod copies;
mod demand;
mod fairness;
mod gate;
mod health;
mod limits;
mod log_reach;
mod moves;
mod order;
mod pause;
mod place;
mod precedence;
mod prefill;
mod quota;
mod rate;
mod reach;
mod read_window;
mod replicas;
mod retry;
mod returns;
mod speed;
mod spread;
mod suspects;

pub use admission::{AdmissionRequest, Forecast, admit, excess_calls, shed_share, should_shed};
pub use breaker::{BreakerConfig, CircuitBreaker};
pub use contention::{Cause, Contention, Shedding};
pub use copies::{Holders, PartDemand, copy_count, rank_holders};
pub use demand::{Arrivals, Demand};
pub use fairness::{FairCut, FairShare, cut_excess};
pub use gate::CallGate;
pub use health::TargetHealth;
pub use limits::{RateShare, rate_share};
pub use log_reach::LogReach;
pub use moves::{DrainCandidate, ProgramMove, plan_drain};
pub use order::{FairShares, QueuedCall, select_next_call};
pub use pause::{CacheRetention, PauseForecast, choose_retention};
pub use place::{Candidate, Placement, PlacementRequest, Weights, choose_target};
pub use precedence::refuse_by_priority;
pub use prefill::PrefillEstimator;
pub use quota::{
    Holder, LEASE_LIFE, LocalShare, Pool, PoolAsk, PoolReply, QuotaLimit, QuotaRule, Returned,
};
pub use rate::{TokenBucket, local_share};
pub use reach::{DirectPath, PathLoss, Reach};
pub use read_window::ReadWindow;
pub use replicas::select_replicas;
pub use retry::{RetryBudget, backoff};
pub use returns::{Backlog, return_delay};
pub use speed::TargetSpeeds;
pub use spread::{HostLoad, order_hosts};
pub use suspects::{MAX_CRASHES, Suspects, Suspicion, was_starting};

/// How targets and queued calls are chosen; all but [`Strategy::Adaptive`] are baselines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Strategy {
    /// The target with the least expected cost; the longest wait first within weighted fair shares.
    #[default]
    Adaptive,
    /// The target at the request's random number modulo their count, first come first served.
    RoundRobin,
    /// The target with the fewest calls, first come first served.
    LeastLoaded,
    /// The program's previous target while it is available, first come first served.
    Sticky,
}
