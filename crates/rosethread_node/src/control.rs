//! The control thread: membership, configuration and periodic work.
//!
//! Each part is an actor that owns its state; traffic reads the snapshots that it publishes.

pub(crate) mod config;
mod hosts;
mod periodic;

use std::{sync::Arc, time::Duration};

use rosethread_config::KeySettings;
use rosethread_membership::{AuthKeys, DetectorConfig};
use rosethread_runtime::{MembershipParts, start_membership};

use crate::core::Core;

pub(crate) use rosethread_runtime::{Leave, MembershipActor};

/// References to the control actors, for messages to them.
#[derive(Clone)]
pub(crate) struct Control {
    pub(crate) members: kameo::actor::ActorRef<MembershipActor>,
}

/// Starts all control actors and their timers.
pub(crate) fn start(core: &Arc<Core>) -> Control {
    let members = start_membership(members_parts(core), &core.random);
    hosts::start(core, members.clone());
    config::start(core);
    periodic::start(core, members.clone());
    Control { members }
}

fn members_parts(core: &Arc<Core>) -> MembershipParts {
    let settings = &core.settings;
    MembershipParts {
        node: core.node_name().clone(),
        incarnation: core.incarnation,
        contact: core.contact(),
        config: DetectorConfig {
            period: Duration::from_millis(settings.membership.period_ms),
            suspicion_timeout: Duration::from_millis(settings.membership.suspicion_ms),
        },
        keys: AuthKeys::new(KeySettings::decode(&settings.keys.shared)),
        clock: core.clock,
        tasks: core.tasks.clone(),
        timer: core.timer.clone(),
        datagrams: core.datagrams.clone(),
        view: core.view.clone(),
        suspicions: core.suspicions.clone(),
        logger: core.logger.clone(),
    }
}
