//! The control thread: membership, configuration and periodic work.
//!
//! Each part is an actor that owns its state; traffic reads the snapshots that it publishes.

pub(crate) mod config;
mod hosts;
mod members;
mod periodic;

use std::sync::Arc;

use crate::core::Core;

pub(crate) use members::{Leave, Members};

/// References to the control actors, for messages to them.
#[derive(Clone)]
pub(crate) struct Control {
    pub(crate) members: kameo::actor::ActorRef<Members>,
}

/// Starts all control actors and their timers.
pub(crate) fn start(core: &Arc<Core>) -> Control {
    let members = members::start(core);
    hosts::start(core, members.clone());
    config::start(core);
    periodic::start(core, members.clone());
    Control { members }
}
