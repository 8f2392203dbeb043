//! The stand-ins behind HTTP, as `docs/PLATFORM.md` describes the platform.

mod engine;
mod hosts;
mod log;
mod service;

pub use engine::serve_engine;
pub use hosts::serve_hosts;
pub use log::serve_log;
pub use service::serve_service;
