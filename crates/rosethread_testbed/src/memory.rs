//! A simulated cluster: several nodes in one process, on Tokio's paused clock and an in-memory
//! network, against the fakes of `rosethread_fakes`.
//!
//! A run is a pure function of its seed: all nodes share one single-threaded runtime, all random
//! sources are seeded, and every fault comes from the run's own fault plan.

mod cluster;
mod fuzz;
mod network;
mod oracle;
mod plan;
mod program;

pub use cluster::{Cluster, ClusterNode, ClusterSpec, NodeLog};
pub use fuzz::{FuzzOptions, RunReport, run_seed};
pub use network::{Network, NodeTransport};
pub use oracle::Violation;
pub use plan::Fault;
