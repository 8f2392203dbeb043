//! Fakes of the services that rosethread depends on, with fault injection, for tests and examples.
//!
//! Most fakes implement a trait of `rosethread_platform` in memory, so that several nodes can run
//! against them on one paused clock. [`serve`] exposes the same objects over HTTP, for tests over
//! sockets and for the examples. This crate is never published, and no shipped crate depends on it.

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
