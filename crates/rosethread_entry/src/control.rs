//! The background tasks of an entry: membership, routes, targets and periodic work.

mod hosts;
mod periodic;
mod routes;
mod software;
mod targets;

use std::{
    sync::{Arc, atomic::AtomicU64},
    time::Duration,
};

use kameo::actor::ActorRef;
use rosethread_config::KeySettings;
use rosethread_membership::{AuthKeys, DetectorConfig};
use rosethread_runtime::{MembershipActor, MembershipParts, start_membership};

use crate::{entry::Entry, history, peers::AnsweringPeers, quota, shards};

pub(crate) use periodic::{longest_turn, program_retention};
pub(crate) use targets::{exclude_leaving, targets_reply};

/// The period of the failure detector's probes.
const PROBE_PERIOD: Duration = Duration::from_millis(200);

/// The time after which a suspected node is declared dead.
const SUSPICION_TIMEOUT: Duration = Duration::from_millis(800);

/// Starts the background tasks; all but the expiry of unused state run on the control thread.
pub(crate) fn start(entry: &Arc<Entry>) -> ActorRef<MembershipActor> {
    let members = start_membership(members_parts(entry), &entry.random);
    let tasks = &entry.tasks;
    tasks.spawn_control(hosts::greet_seeds(entry.clone(), members.clone()));
    tasks.spawn_control(hosts::follow_hosts(entry.clone(), members.clone()));
    tasks.spawn_control(routes::follow_store(entry.clone()));
    tasks.spawn_control(routes::follow_peers(entry.clone()));
    tasks.spawn_control(targets::follow_store(entry.clone()));
    tasks.spawn_control(software::read_after_gaps(entry.clone()));
    tasks.spawn_control(software::follow_record(entry.clone()));
    tasks.spawn_control(periodic::update_summary(entry.clone(), members.clone()));
    tasks.spawn(periodic::expire_unused(entry.clone()));
    tasks.spawn(quota::update_pools(entry.clone()));
    tasks.spawn(shards::repeat_claims(entry.clone()));
    tasks.spawn(history::refresh_chains(entry.clone()));
    members
}

fn members_parts(entry: &Arc<Entry>) -> MembershipParts {
    let settings = &entry.settings;
    MembershipParts {
        node: settings.node.clone(),
        incarnation: entry.incarnation,
        contact: entry.contact(),
        config: DetectorConfig { period: PROBE_PERIOD, suspicion_timeout: SUSPICION_TIMEOUT },
        keys: AuthKeys::new(KeySettings::decode(&settings.keys.shared)),
        clock: entry.clock,
        tasks: entry.tasks.clone(),
        timer: entry.timer.clone(),
        datagrams: entry.datagrams.clone(),
        life_signs: Arc::new(AnsweringPeers(entry.peers.clone())),
        view: entry.view.clone(),
        suspicions: Arc::new(AtomicU64::new(0)),
        dropped: entry.dropped_datagrams.clone(),
        logger: entry.logger.clone(),
    }
}
