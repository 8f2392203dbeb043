//! Interfaces to the external services, and adapters that implement them over HTTP.
//!
//! The rest of the workspace accesses the log service, the targets and the host list only through
//! the traits of this crate, so that support for another platform changes nothing else.
//! `rosethread_fakes` implements the same traits in memory.

mod clock;
mod error;
mod hosts;
mod http;
mod log;
mod shared_log;
mod target;

pub use clock::Clock;
pub use error::{LogError, TargetError};
pub use hosts::{HostEntry, HostList, HostState};
pub use http::{HttpHosts, HttpLog, HttpTargetClient, SseBuffer};
pub use log::{LogEntry, LogRead, LogService};
pub use shared_log::{
    FencingToken, KeyedValue, Partition, PartitionRead, SharedLog, SharedLogError,
};
pub use target::{
    CacheAction, EngineCommand, EngineEvent, EngineLoad, EngineRequest, EngineStream, EngineUsage,
    ExecutionStatus, ServiceReply, ServiceRequest, TargetAddress, TargetClient,
};
