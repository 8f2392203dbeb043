//! The stand-ins behind HTTP, as `docs/PLATFORM.md` describes the platform.

mod engine;
mod hosts;
mod log;
mod service;

use std::net::SocketAddr;

use axum::serve::{Listener, ListenerExt};
use tokio::net::TcpListener;

pub use engine::serve_engine;
pub use hosts::serve_hosts;
pub use log::serve_log;
pub use service::serve_service;

/// Returns a listener whose connections send small messages at once.
fn no_delay(listener: TcpListener) -> impl Listener<Addr = SocketAddr> {
    listener.tap_io(|connection| {
        // A connection without the option works, only slower.
        let _ = connection.set_nodelay(true);
    })
}
