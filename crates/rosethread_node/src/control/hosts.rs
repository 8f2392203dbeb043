//! Reads the platform's host list.

use std::{sync::Arc, time::Duration};

use kameo::actor::ActorRef;

use crate::{
    control::members::{Listed, Members},
    core::Core,
    timer::Tick,
};

/// The time between two reads of the host list.
const PERIOD: Duration = Duration::from_secs(2);

/// Starts the task that reads the list, now and periodically.
pub(super) fn start(core: &Arc<Core>, members: ActorRef<Members>) {
    let core = core.clone();
    core.tasks.clone().spawn_control(async move {
        let mut ticks = core.timer.every(PERIOD);
        loop {
            if let Some(hosts) = core.hosts.hosts().await
                && members.tell(Listed(hosts)).await.is_err()
            {
                return;
            }
            if ticks.recv().await != Some(Tick) {
                return;
            }
        }
    });
}
