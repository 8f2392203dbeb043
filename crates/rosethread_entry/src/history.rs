//! Conversation history: stores finished turns in the log, and loads them for turns that continue
//! them.
//!
//! A turn is written before its caller sees the end of the answer. The host that is responsible for
//! a shard caches the turns of the shard's programs. It reads missing turns from the log, so any
//! host can take over at any time.

mod refresh;

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use bytes::Bytes;
use futures::future::join_all;
use rosethread_membership::NodeState;
use rosethread_platform::{Partition, SharedLogError};
use rosethread_types::{NodeName, Reason, Refusal, RequestId, StreamName};
use slog::{info, warn};
use tokio::{
    sync::{mpsc, oneshot},
    time::{Instant, sleep},
};

use crate::{
    entry::Entry,
    pace::WritePacer,
    peers::{PeerError, PeerReply, PeerRequest},
    shards::responsible_for,
    turns::{FinishedTurn, ShardTurnCache, TurnLookup, TurnTimes, turn_records},
};

pub(crate) use refresh::refresh_chains;

/// The bytes requested by one read of a partition.
const READ_BYTES: usize = 1 << 20;

/// The size in bytes from which a batch takes no further turns.
const BATCH_BYTES: usize = 512 << 10;

/// How long a call waits for its earlier turns before it is refused.
const LOAD_TIMEOUT: Duration = Duration::from_millis(1_200);

/// The delay before the earlier turns are requested again, or a write is retried.
const RETRY_DELAY: Duration = Duration::from_millis(60);

/// The minimum time between a failed read of a shard's turns and the next read.
///
/// Without it, every call that waits for turns of the shard would put its own read on the log.
const READ_BACKOFF: Duration = Duration::from_millis(100);

/// The delay that callers are told to wait after their earlier turns could not be loaded.
const RETRY_AFTER: Duration = Duration::from_millis(300);

type SharedCache = Arc<Mutex<ShardTurnCache>>;

/// The state of reading one shard's turns; its lock allows one reader at a time.
#[derive(Default)]
struct ReadState {
    /// When the last read failed, and why; empty after a successful read.
    last_failure: Option<(Instant, SharedLogError)>,
}

impl ReadState {
    /// Returns the failure that a call which arrived at `arrived` shares instead of reading: that
    /// of a read which failed after its arrival, or less than [`READ_BACKOFF`] before it.
    fn recent_failure(&self, arrived: Instant) -> Option<SharedLogError> {
        let (at, error) = self.last_failure.as_ref()?;
        (arrived < *at + READ_BACKOFF).then(|| error.clone())
    }
}

/// The turns cached by this node, with the readers and writers of their shards.
#[derive(Default)]
pub(crate) struct TurnCache {
    shards: Mutex<BTreeMap<u32, SharedCache>>,
    reads: Mutex<BTreeMap<u32, Arc<tokio::sync::Mutex<ReadState>>>>,
    writers: Mutex<BTreeMap<u32, mpsc::UnboundedSender<PendingTurn>>>,
}

impl TurnCache {
    fn shard(&self, index: u32) -> SharedCache {
        let mut shards = self.shards.lock().expect("the lock is not poisoned");
        shards.entry(index).or_default().clone()
    }

    fn read_lock(&self, index: u32) -> Arc<tokio::sync::Mutex<ReadState>> {
        let mut reads = self.reads.lock().expect("the lock is not poisoned");
        reads.entry(index).or_default().clone()
    }

    /// Returns the queue of the task that appends a shard's turns; starts the task if needed.
    fn writer(&self, entry: &Arc<Entry>, index: u32) -> mpsc::UnboundedSender<PendingTurn> {
        let mut writers = self.writers.lock().expect("the lock is not poisoned");
        let start = || {
            let (sender, receiver) = mpsc::unbounded_channel();
            entry.tasks.spawn(append_batches(entry.clone(), index, receiver));
            sender
        };
        writers.entry(index).or_insert_with(start).clone()
    }

    /// Evicts turns that have not been used for `ttl`, and returns the bytes that remain cached.
    pub(crate) fn expire(&self, now: Duration, ttl: Duration) -> usize {
        let shards = self.shards.lock().expect("the lock is not poisoned");
        let mut bytes = 0;
        for turns in shards.values() {
            let mut turns = lock(turns);
            turns.expire(now, ttl);
            bytes += turns.size().1;
        }
        bytes
    }
}

fn lock(turns: &SharedCache) -> MutexGuard<'_, ShardTurnCache> {
    turns.lock().expect("the lock is not poisoned")
}

fn partition(index: u32) -> Partition {
    let topic: StreamName = "rosethread-turns".parse().expect("the name is valid");
    Partition { topic, index }
}

/// All inputs and outputs of a conversation up to a turn.
pub(crate) struct Transcript {
    pub(crate) text: Bytes,
    /// Whether a turn that continues it has to start a chain of its own, since this one lies in another
    /// shard than that of its program.
    pub(crate) starts_chain: bool,
}

/// Returns the transcript up to and including `turn`, for a program whose shard is `shard`.
///
/// A program usually continues a turn of its own, which lies in its own shard. All other shards are
/// searched only if that shard does not hold the turn.
pub(crate) async fn load_transcript(
    entry: &Arc<Entry>,
    shard: u32,
    turn: &RequestId,
    deadline: Instant,
) -> Result<Transcript, Refusal> {
    let until = deadline.min(Instant::now() + LOAD_TIMEOUT);
    loop {
        let reply = match request_transcript(entry, shard, turn).await {
            PeerReply::Chain(text) => return Ok(Transcript { text, starts_chain: false }),
            PeerReply::NoTurn => search_other_shards(entry, shard, turn).await,
            reply => reply,
        };
        let reason = match reply {
            PeerReply::Chain(text) => return Ok(Transcript { text, starts_chain: true }),
            PeerReply::NoTurn => {
                let detail = format!("no turn {turn} is kept");
                return Err(Refusal::not_run(Reason::UnknownTurn, detail));
            }
            PeerReply::Unable(reason) => reason,
            _ => "unexpected kind of reply".to_owned(),
        };
        if until < Instant::now() + RETRY_DELAY {
            let detail = format!("turn {turn} could not be loaded: {reason}");
            let refusal = Refusal::not_run(Reason::JournalUnavailable, detail);
            return Err(refusal.retry_after(RETRY_AFTER));
        }
        sleep(RETRY_DELAY).await;
    }
}

/// Requests a turn from all shards except `excluded`.
async fn search_other_shards(entry: &Arc<Entry>, excluded: u32, turn: &RequestId) -> PeerReply {
    let others = (0..entry.settings.platform.partitions).filter(|it| *it != excluded);
    let replies = join_all(others.map(|it| request_transcript(entry, it, turn))).await;
    let mut result = PeerReply::NoTurn;
    for reply in replies {
        match reply {
            PeerReply::Chain(text) => return PeerReply::Chain(text),
            PeerReply::NoTurn => (),
            // If any shard gives no answer, the turn is not known to be absent.
            reply => result = reply,
        }
    }
    result
}

async fn request_transcript(entry: &Arc<Entry>, shard: u32, turn: &RequestId) -> PeerReply {
    let responsible = responsible_for(entry, shard).filter(|it| *it != entry.settings.node);
    let contact = responsible.and_then(|it| entry.view().get(&it).map(|it| it.contact.peer));
    let Some(contact) = contact else {
        return local_transcript(entry, shard, turn).await;
    };
    let request = PeerRequest::Chain { shard, turn: turn.clone() };
    match entry.peers.request(contact, request).await {
        Ok(reply) => reply,
        // The log holds every turn that the unreachable host could know.
        Err(PeerError::Unreachable(_)) => local_transcript(entry, shard, turn).await,
        // The slow host may be reading the log; a second reader would slow it down further.
        Err(error @ PeerError::TimedOut) => PeerReply::Unable(error.to_string()),
    }
}

/// Returns the transcript up to and including `turn` from this host's cache, or else from the log.
pub(crate) async fn local_transcript(entry: &Entry, shard: u32, turn: &RequestId) -> PeerReply {
    let turns = entry.turns.shard(shard);
    if let TurnLookup::Transcript(text) = lock(&turns).lookup(turn, entry.now()) {
        return PeerReply::Chain(text);
    }
    let arrived = Instant::now();
    let read_lock = entry.turns.read_lock(shard);
    let mut reads = read_lock.lock().await;
    if let TurnLookup::Transcript(text) = lock(&turns).lookup(turn, entry.now()) {
        return PeerReply::Chain(text);
    }
    if let Some(error) = reads.recent_failure(arrived) {
        return PeerReply::Unable(error.to_string());
    }
    match read_transcript(entry, shard, &turns, turn).await {
        Ok(reply) => {
            reads.last_failure = None;
            reply
        }
        Err(error) => {
            info!(entry.logger, "history: log read failed"; "shard" => shard, "why" => %error);
            reads.last_failure = Some((Instant::now(), error.clone()));
            PeerReply::Unable(error.to_string())
        }
    }
}

/// Reads a turn that is not cached, with its chain, from the log and, if the log may have dropped
/// some of that, from the copies.
async fn read_transcript(
    entry: &Entry,
    shard: u32,
    turns: &SharedCache,
    turn: &RequestId,
) -> Result<PeerReply, SharedLogError> {
    loop {
        read_to_end(entry, shard, turns).await?;
        let (found, has_copies) = {
            let mut turns = lock(turns);
            match turns.lookup(turn, entry.now()) {
                TurnLookup::Transcript(text) => return Ok(PeerReply::Chain(text)),
                _ if turns.restart_scan() => continue,
                found => (found, turns.has_copies()),
            }
        };
        let is_expirable = found == TurnLookup::Incomplete || refresh::lifetimes(entry).are_close();
        if is_expirable && !has_copies {
            refresh::read_copies(entry, shard, turns).await?;
            continue;
        }
        return Ok(match found {
            TurnLookup::Incomplete => PeerReply::Unable("missing ancestor".to_owned()),
            _ => PeerReply::NoTurn,
        });
    }
}

/// Reads the records after the current position of `turns` until the end of the partition.
async fn read_to_end(entry: &Entry, shard: u32, turns: &SharedCache) -> Result<(), SharedLogError> {
    let partition = partition(shard);
    let first = lock(turns).next_offset();
    loop {
        let next = lock(turns).next_offset();
        let read = match entry.shared_log.read(&partition, next, READ_BYTES, Duration::ZERO).await {
            Err(SharedLogError::Expired { first }) => {
                lock(turns).skip_to(first);
                continue;
            }
            read => read?,
        };
        let mut turns = lock(turns);
        for it in &read.entries {
            if let Err(error) = turns.apply_record(it.offset, &it.data, entry.now()) {
                warn!(entry.logger, "history: could not decode a record";
                    "shard" => shard, "offset" => it.offset, "error" => %error);
            }
        }
        if read.end <= turns.next_offset() || read.entries.is_empty() {
            let count = turns.size().0;
            info!(entry.logger, "history: read the log"; "shard" => shard, "from" => first,
                "to" => turns.next_offset(), "turns" => count);
            return Ok(());
        }
    }
}

/// Writes a finished turn to the log. The end of the answer may be sent once this returns `Ok`.
///
/// The host that is responsible for the shard writes if possible, because it batches the turns of
/// all hosts into few appends. Otherwise this host writes, and if that fails, another host that
/// reaches the log. Errors that mean an unavailable log are retried until the deadline.
pub(crate) async fn persist_turn(
    entry: &Arc<Entry>,
    shard: u32,
    turn: FinishedTurn,
    deadline: Instant,
) -> Result<(), SharedLogError> {
    loop {
        let responsible = responsible_for(entry, shard);
        if let Some(responsible) = responsible.filter(|it| *it != entry.settings.node)
            && write_via_peer(entry, &responsible, shard, &turn).await
        {
            return Ok(());
        }
        let error = match write_turn(entry, shard, turn.clone()).await {
            Ok(()) => return Ok(()),
            Err(error) => error,
        };
        if let Some(peer) = any_peer_with_log(entry)
            && write_via_peer(entry, &peer, shard, &turn).await
        {
            return Ok(());
        }
        if !error.is_unavailable() || deadline < Instant::now() + RETRY_DELAY {
            return Err(error);
        }
        sleep(RETRY_DELAY).await;
    }
}

/// Asks `node` to write a turn, and returns whether it confirmed the write.
async fn write_via_peer(
    entry: &Arc<Entry>,
    node: &NodeName,
    shard: u32,
    turn: &FinishedTurn,
) -> bool {
    let Some(peer) = entry.view().get(node).map(|it| it.contact.peer) else {
        return false;
    };
    let request = PeerRequest::Write { shard, turn: turn.clone() };
    matches!(entry.peers.request(peer, request).await, Ok(PeerReply::Done))
}

/// Returns a random live host, other than this one, that reaches the log.
fn any_peer_with_log(entry: &Entry) -> Option<NodeName> {
    let view = entry.view();
    let is_candidate = |it: &&NodeState| it.summary.has_log && it.node != entry.settings.node;
    let candidates: Vec<_> = view.live().filter(is_candidate).collect();
    let index = entry.random.next_u64() as usize % candidates.len().max(1);
    candidates.get(index).map(|it| it.node.clone())
}

/// Appends a turn in a batch with others of its shard, and caches it once it is in the log.
pub(crate) async fn write_turn(
    entry: &Arc<Entry>,
    shard: u32,
    turn: FinishedTurn,
) -> Result<(), SharedLogError> {
    let (done, receiver) = oneshot::channel();
    let pending = PendingTurn { turn, done };
    if entry.turns.writer(entry, shard).send(pending).is_err() {
        return Err(SharedLogError::NotExecuted("the writer has ended".to_owned()));
    }
    let ended = || Err(SharedLogError::NotExecuted("the writer has ended".to_owned()));
    receiver.await.unwrap_or_else(|_| ended())
}

/// A turn to be appended, and the channel for the result.
struct PendingTurn {
    turn: FinishedTurn,
    done: oneshot::Sender<Result<(), SharedLogError>>,
}

/// Appends the turns of one shard. Turns that arrive during an append form the next batch.
async fn append_batches(
    entry: Arc<Entry>,
    shard: u32,
    mut receiver: mpsc::UnboundedReceiver<PendingTurn>,
) {
    let record_bytes = entry.settings.platform.record_bytes;
    let mut pace = WritePacer::new(&entry);
    while let Some(first) = receiver.recv().await {
        pace.wait(&entry).await;
        let times = TurnTimes {
            written_ms: entry.clock.now_ms(),
            keep_ms: entry.routes().longest_history().as_millis() as u64,
        };
        let mut records = turn_records(&first.turn, Some(times), record_bytes);
        let mut bytes: usize = records.iter().map(Bytes::len).sum();
        let mut batch = vec![first];
        while bytes < BATCH_BYTES
            && let Ok(next) = receiver.try_recv()
        {
            let more = turn_records(&next.turn, Some(times), record_bytes);
            bytes += more.iter().map(Bytes::len).sum::<usize>();
            records.extend(more);
            batch.push(next);
        }
        entry.metrics.appends.inc();
        // Duplicates of a turn are harmless, so the append needs no fencing.
        let result = entry.shared_log.append(&partition(shard), &records, None).await;
        let turns = entry.turns.shard(shard);
        let mut turns = lock(&turns);
        let mut waiters = Vec::new();
        for PendingTurn { turn, done } in batch {
            if result.is_ok() {
                turns.insert(turn, Some(times), entry.now());
            }
            waiters.push(done);
        }
        if let Ok(offset) = result {
            turns.skip_written(offset, records.len() as u64);
        }
        drop(turns);
        for done in waiters {
            // The receiver may be gone; that does not undo the append.
            let _ = done.send(result.clone().map(drop));
        }
    }
}
