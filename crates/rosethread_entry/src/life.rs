//! The lifecycle of an entry as type states: serving, draining, stopped.

use std::{marker::PhantomData, sync::Arc, sync::atomic::Ordering, time::Duration};

use futures::future::join_all;
use kameo::actor::ActorRef;
use rosethread_runtime::{Leave, MembershipActor};
use slog::{info, warn};
use tokio::time::{Instant, sleep};

use crate::{
    control,
    entry::{Entry, EntryDependencies, Phase},
    shards,
};

/// The fraction of the grace period during which new calls are still answered.
const ANSWERING_FRACTION: f64 = 0.6;

/// The end of the grace period that is left for the process to end in: to send its last answers and
/// reports, and to close its connections. A slow host takes a part of it.
const EXIT_TIME: Duration = Duration::from_millis(800);

/// The last part of [`EXIT_TIME`], in which the process ends whatever its callers still wait for.
const CLOSE_TIME: Duration = Duration::from_millis(250);

/// The period of the polls for open connections and calls in progress.
const POLL_PERIOD: Duration = Duration::from_millis(20);

/// Limit on the log lines for exchanges that are cut off at a stop.
const MAX_LOGGED_EXCHANGES: usize = 200;

/// State of an [`EntryNode`] that accepts calls.
#[derive(Clone, Copy, Debug)]
pub struct Serving;

/// State of an [`EntryNode`] that directs callers to other hosts while it completes its calls.
#[derive(Clone, Copy, Debug)]
pub struct Draining;

/// State of an [`EntryNode`] that has completed or cut off its calls.
#[derive(Clone, Copy, Debug)]
pub struct Stopped;

/// A running entry; `State` is [`Serving`], [`Draining`] or [`Stopped`].
pub struct EntryNode<State> {
    entry: Arc<Entry>,
    members: ActorRef<MembershipActor>,
    /// When the drain began, from which the grace period counts; the start time while serving.
    drain_start: Instant,
    state: PhantomData<State>,
}

impl EntryNode<Serving> {
    /// Starts an entry and its background tasks.
    pub fn start(dependencies: EntryDependencies) -> EntryNode<Serving> {
        let entry = Entry::new(dependencies);
        let members = control::start(&entry);
        let settings = &entry.settings;
        info!(entry.logger, "entry: started"; "node" => %settings.node, "zone" => %settings.zone,
            "incarnation" => entry.incarnation.0, "policy" => ?settings.policy,
            "retention_s" => settings.platform.retention_s, "partitions" => settings.platform.partitions,
            "grace_s" => settings.bounds.grace_s);
        EntryNode { entry, members, drain_start: Instant::now(), state: PhantomData }
    }

    /// Announces the shutdown to callers and peers, and releases or hands over all owned shards.
    pub async fn drain(self) -> EntryNode<Draining> {
        let entry = &self.entry;
        let drain_start = Instant::now();
        entry.begin_drain(drain_start + cutoff_time(entry));
        let calls = entry.active_calls.load(Ordering::Relaxed);
        info!(entry.logger, "entry: draining"; "calls" => calls);
        if self.members.tell(Leave).await.is_err() {
            warn!(entry.logger, "entry: membership stopped before the drain");
        }
        // All at once, as each may wait for the store or a peer, and the grace period does not.
        let shards = entry.shards.all().into_iter().map(|(index, _)| hand_over(entry, index));
        join_all(shards).await;
        EntryNode { entry: self.entry, members: self.members, drain_start, state: PhantomData }
    }
}

impl EntryNode<Draining> {
    /// Keeps answering calls for part of the grace period, then waits for the last answers to be sent.
    pub async fn finish(self) -> EntryNode<Stopped> {
        let entry = &self.entry;
        tokio::time::sleep_until(self.drain_start + grace(entry).mul_f64(ANSWERING_FRACTION)).await;
        entry.phase.send_replace(Phase::Closing);
        let connections = entry.connections.count();
        let unanswered = entry.connections.unanswered().count();
        info!(entry.logger, "entry: closing"; "connections" => connections,
            "unanswered" => unanswered, "calls" => entry.active_calls.load(Ordering::Relaxed));
        let cutoff = entry.cutoff().unwrap_or(self.drain_start);
        while is_busy(entry) && Instant::now() < cutoff {
            sleep(POLL_PERIOD).await;
        }
        entry.phase.send_replace(Phase::Stopped);
        let end = self.drain_start + grace(entry).saturating_sub(CLOSE_TIME);
        while entry.connections.unanswered().next().is_some() && Instant::now() < end {
            sleep(POLL_PERIOD).await;
        }
        log_stop(entry, self.drain_start);
        EntryNode {
            entry: self.entry,
            members: self.members,
            drain_start: self.drain_start,
            state: PhantomData,
        }
    }
}

impl<State> EntryNode<State> {
    /// Returns the shared state, for the servers that answer calls and peers.
    pub fn entry(&self) -> Arc<Entry> {
        self.entry.clone()
    }
}

/// Releases a shard, or transfers it to another host if the log cannot say that it is free.
async fn hand_over(entry: &Arc<Entry>, index: u32) {
    if entry.is_log_reachable() {
        shards::release(entry, index).await;
    } else {
        shards::transfer_without_log(entry, index).await;
    }
}

/// Returns whether callers or other hosts still wait for something. Idle connections close with
/// [`Phase::Closing`], so that a connection that is still open then has an exchange on it.
fn is_busy(entry: &Entry) -> bool {
    entry.connections.count() != 0 || entry.active_calls.load(Ordering::Relaxed) != 0
}

/// Returns the time from the signal to stop within which the process has to end.
fn grace(entry: &Entry) -> Duration {
    Duration::from_secs_f64(entry.reloadable().bounds.grace_s)
}

/// Returns the time from the signal to stop after which the calls still in progress are ended.
fn cutoff_time(entry: &Entry) -> Duration {
    let grace = grace(entry);
    grace.saturating_sub(EXIT_TIME).max(grace / 2)
}

/// Logs what the host ends: each exchange that has begun and not ended, and their number.
fn log_stop(entry: &Entry, drain_start: Instant) {
    let unanswered: Vec<_> = entry.connections.unanswered().collect();
    for it in unanswered.iter().take(MAX_LOGGED_EXCHANGES) {
        let id = it.request.as_ref().map_or("", |it| it.as_str());
        warn!(entry.logger, "entry: an exchange is cut off"; "id" => id, "stage" => ?it.stage,
            "stage_ms" => it.age.as_millis() as u64);
    }
    info!(entry.logger, "entry: stopped"; "exchanges_cut" => unanswered.len(),
        "calls_cut" => entry.active_calls.load(Ordering::Relaxed),
        "connections" => entry.connections.count(),
        "drain_ms" => drain_start.elapsed().as_millis() as u64);
}
