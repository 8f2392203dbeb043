//! Polls the platform's host list and passes it to membership.

use std::{sync::Arc, time::Duration};

use kameo::actor::ActorRef;
use rosethread_membership::Contact;
use rosethread_platform::{HostEntry, HostState};
use rosethread_runtime::{MembershipActor, NodeList, Tick};

use crate::core::Core;

/// The time between two reads of the host list.
const READ_PERIOD: Duration = Duration::from_secs(2);

/// Starts the task that reads the list, at once and then periodically.
pub(super) fn start(core: &Arc<Core>, membership: ActorRef<MembershipActor>) {
    let core = core.clone();
    core.tasks.clone().spawn_control(async move {
        let mut ticks = core.timer.every(READ_PERIOD);
        loop {
            if let Some(hosts) = core.hosts.hosts().await
                && membership.tell(to_node_list(hosts)).await.is_err()
            {
                return;
            }
            if ticks.recv().await != Some(Tick) {
                return;
            }
        }
    });
}

fn to_node_list(hosts: Vec<HostEntry>) -> NodeList {
    let mut listed = NodeList::default();
    for host in hosts {
        if host.state == HostState::Leaving {
            listed.leaving.push(host.node.clone());
        }
        let contact = Contact {
            zone: host.zone,
            caller: host.caller,
            peer: host.peer,
            heartbeat: host.heartbeat,
        };
        listed.contacts.push((host.node, contact));
    }
    listed
}
