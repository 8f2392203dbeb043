//! Adapters that implement the interfaces over HTTP with `reqwest`.

mod hosts;
mod log;
mod sse;
mod targets;

pub use hosts::HttpHosts;
pub use log::HttpLog;
pub use sse::SseBuffer;
pub use targets::HttpTargetClient;
