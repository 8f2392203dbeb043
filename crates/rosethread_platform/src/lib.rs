//! The interfaces to everything outside rosethread, and their adapters over HTTP.
//!
//! A platform that differs from the stand-ins must change this crate alone: the rest of the
//! workspace sees the log service, the targets and the host list only through the traits defined
//! here. `rosethread_fakes` implements the same traits in memory.

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
pub use shared_log::{FencingToken, Partition, PartitionRead, SharedLog, SharedLogError};
pub use target::{
    CacheAction, EngineCommand, EngineEvent, EngineLoad, EngineRequest, EngineStream, EngineUsage,
    Execution, ServiceReply, ServiceRequest, TargetAddress, TargetClient,
};
