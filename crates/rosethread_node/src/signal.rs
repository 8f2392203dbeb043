//! A notification that a state has changed, which wakes its listeners in the order of their arrival.
//!
//! `tokio::sync::watch` is not used here, since it distributes its listeners over shards at random:
//! the order in which they wake, and thereby a simulated run, would not depend on the seed alone.

use std::pin::Pin;

use tokio::sync::{Notify, futures::Notified};

/// Notifies tasks of a change; unrelated to the signals of the operating system.
#[derive(Debug, Default)]
pub(crate) struct Signal {
    notify: Notify,
}

impl Signal {
    /// Wakes all current listeners.
    pub(crate) fn raise(&self) {
        self.notify.notify_waiters();
    }

    /// Starts to listen; the returned future completes at the next [`Signal::raise`], also if that
    /// happens before the future is first polled.
    pub(crate) fn listen(&self) -> Pin<Box<Notified<'_>>> {
        let mut notified = Box::pin(self.notify.notified());
        notified.as_mut().enable();
        notified
    }
}
