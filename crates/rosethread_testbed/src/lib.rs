//! Complete deployments for tests, examples and measurements.
//!
//! [`Deployment`] runs real nodes on loopback sockets against the fake log, host list, engines and
//! services of `rosethread_fakes`; [`Caller`] is an HTTP client that behaves like a customer's
//! agent program. [`Cluster`] runs nodes in memory on a simulated clock, for the fuzz test and for
//! [`workload`] simulations. This crate is never published.

mod arguments;
mod caller;
mod deployment;
mod document;
pub mod memory;

mod scenario;
mod stats;
pub mod workload;

pub use arguments::parse_arguments;
pub use caller::{CallError, CallResult, Caller, CallerProgram};
pub use deployment::{Deployment, DeploymentSpec, discarding_logger, terminal_logger};
pub use document::{DocumentBuilder, member_key};

pub use memory::{Cluster, ClusterSpec};
pub use scenario::{
    ConfiguredDeployment, Scale, start_consortium, start_consortium_at, start_trailerwerk,
};
pub use stats::{LatencyHistogram, LatencySummary};
