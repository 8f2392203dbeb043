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

pub use arguments::arguments;
pub use caller::{CallError, CallResult, Caller, CallerProgram};
pub use deployment::{Deployment, DeploymentSpec, quiet_logger, terminal_logger};
pub use document::{DocumentBuilder, key_of};

pub use memory::{Cluster, ClusterSpec};
pub use scenario::{Deploy, Scale, consortium, consortium_at, trailerwerk};
pub use stats::{Latency, Summary};
