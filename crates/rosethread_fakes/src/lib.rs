//! Small stand-ins for everything outside rosethread, with fault knobs, for tests and examples.
//!
//! Each stand-in is an in-memory object that implements a trait of `rosethread_platform`, so that
//! several nodes can run against it on one paused clock; [`serve`] puts the same object behind
//! HTTP for tests over sockets and for the examples. This crate is never published, and nothing
//! that ships depends on it.

mod cache;
mod engine;
mod hosts;
mod log;
mod oracle;
pub mod serve;
mod service;
mod targets;
mod weights;

pub use cache::{CacheStats, PrefixCache};
pub use engine::{EngineConfig, EngineFaults, FakeEngine, GenerationRecord};
pub use hosts::FakeHosts;
pub use log::{FakeLog, LogFaults};
pub use oracle::{count_tokens, expected_completion, prompt_for_output};
pub use service::{FakeService, ServiceExecution, ServiceFaults};
pub use targets::FakeTargets;
pub use weights::{WeightStore, WeightStoreError};
