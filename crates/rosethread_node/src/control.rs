//! The background tasks of a node: membership, configuration and periodic work.
//!
//! Membership and configuration run on the control thread. Each task owns its state, and traffic
//! threads read the snapshots that it publishes.

pub(crate) mod config;
mod hosts;
mod periodic;

use std::{sync::Arc, time::Duration};

use rosethread_config::KeySettings;
use rosethread_membership::{AuthKeys, DetectorConfig};
use rosethread_runtime::{DroppedDatagrams, MembershipParts, NoLifeSigns, start_membership};

use crate::core::Core;

pub(crate) use rosethread_runtime::{Leave, MembershipActor};

/// The references to control actors to which the node sends messages.
#[derive(Clone)]
pub(crate) struct Control {
    pub(crate) membership: kameo::actor::ActorRef<MembershipActor>,
}

/// Starts the membership actor and the other background tasks.
pub(crate) fn start(core: &Arc<Core>) -> Control {
    let membership = start_membership(membership_parts(core), &core.random);
    hosts::start(core, membership.clone());
    config::start(core);
    periodic::start(core, membership.clone());
    Control { membership }
}

fn membership_parts(core: &Arc<Core>) -> MembershipParts {
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
        life_signs: Arc::new(NoLifeSigns),
        view: core.view.clone(),
        suspicions: core.suspicions.clone(),
        dropped: DroppedDatagrams::default(),
        logger: core.logger.clone(),
    }
}
