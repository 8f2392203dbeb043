//! The fakes over HTTP, with the protocols that `docs/PLATFORM.md` describes.

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

/// Returns a listener that sets `TCP_NODELAY` on its connections.
fn no_delay(listener: TcpListener) -> impl Listener<Addr = SocketAddr> {
    listener.tap_io(|connection| {
        // Without the option a connection works, but small messages are delayed.
        let _ = connection.set_nodelay(true);
    })
}
