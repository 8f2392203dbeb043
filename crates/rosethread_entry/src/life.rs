//! The life of an entry as types: it serves, then drains, then has stopped.

use std::{marker::PhantomData, sync::Arc, sync::atomic::Ordering, time::Duration};

use kameo::actor::ActorRef;
use rosethread_runtime::{Leave, MembershipActor};
use slog::{info, warn};
use tokio::time::{Instant, sleep};

use crate::{
    control,
    entry::{Entry, EntryParts, Phase},
    shards,
};

/// The part of the grace period in which calls that still come are answered as usual.
const ANSWERING_SHARE: f64 = 0.6;

/// The part of the grace period after which the process ends, whatever is under way.
const LAST_SHARE: f64 = 0.93;

/// Looks in a row that have to find no call: one may be read from its socket just now.
const QUIET_POLLS: u32 = 8;

/// The time between two looks at whether all calls have ended.
const POLL: Duration = Duration::from_millis(20);

/// The entry takes calls.
#[derive(Clone, Copy, Debug)]
pub struct Serving;

/// The entry sends callers elsewhere.
#[derive(Clone, Copy, Debug)]
pub struct Draining;

/// The entry has ended its calls.
#[derive(Clone, Copy, Debug)]
pub struct Stopped;

/// A node that serves calls through routes; `State` says how far it is in its life.
pub struct EntryNode<State> {
    entry: Arc<Entry>,
    members: ActorRef<MembershipActor>,
    since: Instant,
    state: PhantomData<State>,
}

impl EntryNode<Serving> {
    /// Starts an entry from its parts.
    pub fn start(parts: EntryParts) -> EntryNode<Serving> {
        let entry = Entry::new(parts);
        let members = control::start(&entry);
        let settings = &entry.settings;
        info!(entry.logger, "entry: started"; "node" => %settings.node, "zone" => %settings.zone,
            "incarnation" => entry.incarnation.0, "policy" => ?settings.policy,
            "retention_s" => settings.platform.retention_s, "partitions" => settings.platform.partitions,
            "grace_s" => settings.bounds.grace_s);
        EntryNode { entry, members, since: Instant::now(), state: PhantomData }
    }

    /// Tells callers and other nodes to go elsewhere, and hands the shards over.
    pub async fn drain(self) -> EntryNode<Draining> {
        let entry = &self.entry;
        let since = Instant::now();
        entry.phase.send_replace(Phase::Draining);
        let calls = entry.active_calls.load(Ordering::Relaxed);
        info!(entry.logger, "entry: drains"; "calls" => calls);
        if self.members.tell(Leave).await.is_err() {
            warn!(entry.logger, "entry: membership has ended before the drain");
        }
        for (index, _) in entry.shards.all() {
            if entry.is_log_reachable() {
                shards::release(entry, index).await;
            } else {
                shards::transfer_without_log(entry, index).await;
            }
        }
        EntryNode { entry: self.entry, members: self.members, since, state: PhantomData }
    }
}

impl EntryNode<Draining> {
    /// Goes on answering while callers may still come, then waits for the last calls.
    pub async fn finish(self) -> EntryNode<Stopped> {
        let entry = &self.entry;
        let grace = Duration::from_secs_f64(entry.reloadable().bounds.grace_s);
        tokio::time::sleep_until(self.since + grace.mul_f64(ANSWERING_SHARE)).await;
        entry.phase.send_replace(Phase::Closing);
        let last = self.since + grace.mul_f64(LAST_SHARE);
        let mut quiet = 0;
        while quiet < QUIET_POLLS && Instant::now() < last {
            sleep(POLL).await;
            quiet = if entry.active_calls.load(Ordering::Relaxed) == 0 { quiet + 1 } else { 0 };
        }
        entry.phase.send_replace(Phase::Stopped);
        let calls = entry.active_calls.load(Ordering::Relaxed);
        info!(entry.logger, "entry: stopped"; "calls_cut" => calls);
        EntryNode {
            entry: self.entry,
            members: self.members,
            since: self.since,
            state: PhantomData,
        }
    }
}

impl<State> EntryNode<State> {
    /// Returns the shared state, for servers.
    pub fn entry(&self) -> Arc<Entry> {
        self.entry.clone()
    }
}
