//! A signal that something has changed, which wakes its listeners in the order they came.
//!
//! `tokio::sync::watch` spreads its listeners over shards at random, so a run would not be a pure
//! function of its seed.

use std::pin::Pin;

use tokio::sync::{Notify, futures::Notified};

/// Wakes everyone who listens.
#[derive(Debug, Default)]
pub(crate) struct Signal {
    notify: Notify,
}

impl Signal {
    /// Wakes all current listeners.
    pub(crate) fn raise(&self) {
        self.notify.notify_waiters();
    }

    /// Starts to listen; raises from now on are not missed.
    pub(crate) fn listen(&self) -> Pin<Box<Notified<'_>>> {
        let mut notified = Box::pin(self.notify.notified());
        notified.as_mut().enable();
        notified
    }
}
