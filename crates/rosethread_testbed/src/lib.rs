//! Whole deployments for tests, examples and measurements.
//!
//! [`Deployment`] runs real nodes over loopback sockets against the stand-ins of
//! `rosethread_fakes`, and [`Caller`] talks to them as a customer's program would. This crate is
//! never published.

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
