//! Kept turns: written to the log before a caller sees the end of the answer, found again later.
//!
//! The host that is responsible for a program's shard holds its turns in memory. It reads what it
//! lacks from the log, so any host can take its place at any time.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use bytes::Bytes;
use futures::future::join_all;
use rosethread_membership::NodeState;
use rosethread_platform::{Partition, StoreError};
use rosethread_types::{NodeName, Reason, Refusal, RequestId, StreamName};
use slog::{info, warn};
use tokio::{
    sync::{mpsc, oneshot},
    time::{Instant, sleep},
};

use crate::{
    chains::{ShardTurnCache, Turn, TurnLookup, turn_records},
    entry::Entry,
    pace::WritePacer,
    peers::{PeerError, PeerReply, PeerRequest},
    shards::responsible_for,
};

/// Bytes asked for by one read of a partition.
const READ_BYTES: usize = 1 << 20;

/// Bytes from which an append takes no further turns.
const BATCH_BYTES: usize = 512 << 10;

/// The longest wait for the turns before a call until it is refused.
const CHAIN_TIME: Duration = Duration::from_millis(1_200);

/// The pause before the turns are asked for again, or an append is repeated.
const AGAIN: Duration = Duration::from_millis(60);

/// The pause after a read that failed: all calls that wait for its turns would press the store.
const READ_PAUSE: Duration = Duration::from_millis(100);

/// What a caller is told to wait when the earlier turns could not be found out.
const RETRY_AFTER: Duration = Duration::from_millis(300);

type SharedTurns = Arc<Mutex<ShardTurnCache>>;

/// The reads of one shard's turns, of which one at a time is under way.
#[derive(Default)]
struct Reads {
    /// When the last one failed, and why.
    failed: Option<(Instant, StoreError)>,
}

impl Reads {
    /// Returns why nothing is read for a call that came at `came`: a read has failed since, or just
    /// before.
    fn failure(&self, came: Instant) -> Option<StoreError> {
        let (at, error) = self.failed.as_ref()?;
        (came < *at + READ_PAUSE).then(|| error.clone())
    }
}

/// The turns that a node holds, by shard.
#[derive(Default)]
pub(crate) struct TurnCache {
    shards: Mutex<BTreeMap<u32, SharedTurns>>,
    reads: Mutex<BTreeMap<u32, Arc<tokio::sync::Mutex<Reads>>>>,
    writers: Mutex<BTreeMap<u32, mpsc::UnboundedSender<Pending>>>,
}

impl TurnCache {
    fn shard(&self, index: u32) -> SharedTurns {
        let mut shards = self.shards.lock().expect("no holder of the turns panics");
        shards.entry(index).or_default().clone()
    }

    fn read_lock(&self, index: u32) -> Arc<tokio::sync::Mutex<Reads>> {
        let mut reads = self.reads.lock().expect("no holder of the reads panics");
        reads.entry(index).or_default().clone()
    }

    /// Returns the way to the task that appends a shard's turns, which is started when needed.
    fn writer(&self, entry: &Arc<Entry>, index: u32) -> mpsc::UnboundedSender<Pending> {
        let mut writers = self.writers.lock().expect("no holder of the writers panics");
        let start = || {
            let (sender, receiver) = mpsc::unbounded_channel();
            entry.tasks.spawn(append_all(entry.clone(), index, receiver));
            sender
        };
        writers.entry(index).or_insert_with(start).clone()
    }

    /// Forgets turns that have not been used for `age`, and returns the bytes that are left.
    pub(crate) fn expire(&self, now: Duration, age: Duration) -> usize {
        let shards = self.shards.lock().expect("no holder of the turns panics");
        let mut bytes = 0;
        for turns in shards.values() {
            let mut turns = lock(turns);
            turns.expire(now, age);
            bytes += turns.size().1;
        }
        bytes
    }
}

fn lock(turns: &SharedTurns) -> MutexGuard<'_, ShardTurnCache> {
    turns.lock().expect("no holder of a shard's turns panics")
}

fn partition(index: u32) -> Partition {
    let topic: StreamName = "rosethread-turns".parse().expect("the name is valid");
    Partition { topic, index }
}

/// Everything that was said up to a turn.
pub(crate) struct Transcript {
    pub(crate) text: Bytes,
    /// Whether it is kept in another shard than that of the program which goes on from it.
    pub(crate) cross_shard: bool,
}

/// Returns everything that was said up to `turn`.
///
/// A program usually goes on from a turn of its own, which lies in its shard. Where it does not,
/// all shards are asked.
pub(crate) async fn load_transcript(
    entry: &Arc<Entry>,
    shard: u32,
    turn: &RequestId,
    deadline: Instant,
) -> Result<Transcript, Refusal> {
    let until = deadline.min(Instant::now() + CHAIN_TIME);
    loop {
        let reply = match chain_once(entry, shard, turn).await {
            PeerReply::Chain(text) => return Ok(Transcript { text, cross_shard: false }),
            PeerReply::NoTurn => search(entry, shard, turn).await,
            reply => reply,
        };
        let reason = match reply {
            PeerReply::Chain(text) => return Ok(Transcript { text, cross_shard: true }),
            PeerReply::NoTurn => {
                let detail = format!("no turn {turn} is kept");
                return Err(Refusal::not_run(Reason::UnknownTurn, detail));
            }
            PeerReply::Unable(reason) => reason,
            _ => "another kind of reply".to_owned(),
        };
        if until < Instant::now() + AGAIN {
            let detail = format!("turn {turn} could not be found out: {reason}");
            let refusal = Refusal::not_run(Reason::JournalUnavailable, detail);
            return Err(refusal.retry_after(RETRY_AFTER));
        }
        sleep(AGAIN).await;
    }
}

/// Looks for a turn in all shards but one.
async fn search(entry: &Arc<Entry>, except: u32, turn: &RequestId) -> PeerReply {
    let others = (0..entry.settings.platform.partitions).filter(|it| *it != except);
    let replies = join_all(others.map(|it| chain_once(entry, it, turn))).await;
    let mut result = PeerReply::NoTurn;
    for reply in replies {
        match reply {
            PeerReply::Chain(text) => return PeerReply::Chain(text),
            PeerReply::NoTurn => (),
            // One shard that cannot tell leaves it open whether there is such a turn.
            reply => result = reply,
        }
    }
    result
}

async fn chain_once(entry: &Arc<Entry>, shard: u32, turn: &RequestId) -> PeerReply {
    let keeper = responsible_for(entry, shard).filter(|it| *it != entry.settings.node);
    let contact = keeper.and_then(|it| entry.view().get(&it).map(|it| it.contact.peer));
    let Some(contact) = contact else {
        return chain_here(entry, shard, turn).await;
    };
    let request = PeerRequest::Chain { shard, turn: turn.clone() };
    match entry.peers.request(contact, request).await {
        Ok(reply) => reply,
        // The log knows as much as the host that cannot be reached.
        Err(PeerError::Unreachable(_)) => chain_here(entry, shard, turn).await,
        // A host that is slow may be reading the log just now; another reader would slow it more.
        Err(error @ PeerError::TimedOut) => PeerReply::Unable(error.to_string()),
    }
}

/// Returns everything that was said up to `turn`, from memory or from the log.
pub(crate) async fn chain_here(entry: &Entry, shard: u32, turn: &RequestId) -> PeerReply {
    let turns = entry.turns.shard(shard);
    if let TurnLookup::Transcript(text) = lock(&turns).find(turn, entry.now()) {
        return PeerReply::Chain(text);
    }
    let came = Instant::now();
    let read_lock = entry.turns.read_lock(shard);
    let mut reads = read_lock.lock().await;
    if let TurnLookup::Transcript(text) = lock(&turns).find(turn, entry.now()) {
        return PeerReply::Chain(text);
    }
    if let Some(error) = reads.failure(came) {
        return PeerReply::Unable(error.to_string());
    }
    loop {
        if let Err(error) = read_on(entry, shard, &turns).await {
            info!(entry.logger, "history: the log was not read"; "shard" => shard, "why" => %error);
            reads.failed = Some((Instant::now(), error.clone()));
            return PeerReply::Unable(error.to_string());
        }
        reads.failed = None;
        let mut turns = lock(&turns);
        match turns.find(turn, entry.now()) {
            TurnLookup::Transcript(text) => return PeerReply::Chain(text),
            TurnLookup::Incomplete | TurnLookup::NotFound if turns.restart() => (),
            TurnLookup::Incomplete => {
                return PeerReply::Unable("an earlier turn is missing".to_owned());
            }
            TurnLookup::NotFound => return PeerReply::NoTurn,
        }
    }
}

/// Reads a partition to its end.
async fn read_on(entry: &Entry, shard: u32, turns: &SharedTurns) -> Result<(), StoreError> {
    let partition = partition(shard);
    let first = lock(turns).next();
    loop {
        let next = lock(turns).next();
        let read = match entry.shared_log.read(&partition, next, READ_BYTES, Duration::ZERO).await {
            Err(StoreError::Expired { first }) => {
                lock(turns).skip(first);
                continue;
            }
            read => read?,
        };
        let mut turns = lock(turns);
        for it in &read.entries {
            if let Err(error) = turns.take(it.offset, &it.data, entry.now()) {
                warn!(entry.logger, "history: a record is not in the expected form";
                    "shard" => shard, "offset" => it.offset, "error" => %error);
            }
        }
        if read.end <= turns.next() || read.entries.is_empty() {
            let count = turns.size().0;
            info!(entry.logger, "history: read the log"; "shard" => shard, "from" => first,
                "to" => turns.next(), "turns" => count);
            return Ok(());
        }
    }
}

/// Holds a turn that has been written to the log.
fn keep_here(entry: &Entry, shard: u32, turn: Turn) {
    let turns = entry.turns.shard(shard);
    lock(&turns).keep(turn, entry.now());
}

/// Writes a finished turn to the log; the caller may see its end when this returns without error.
///
/// The keeper of the shard writes, since it collects the turns of all hosts into few appends. Where
/// it cannot, this host does, and where that fails, another host that reaches the log.
pub(crate) async fn persist_turn(
    entry: &Arc<Entry>,
    shard: u32,
    turn: Turn,
    deadline: Instant,
) -> Result<(), StoreError> {
    loop {
        let keeper = responsible_for(entry, shard);
        if let Some(keeper) = keeper.filter(|it| *it != entry.settings.node)
            && write_by(entry, &keeper, shard, &turn).await
        {
            return Ok(());
        }
        let error = match write_here(entry, shard, turn.clone()).await {
            Ok(()) => return Ok(()),
            Err(error) => error,
        };
        if let Some(able) = any_with_log(entry)
            && write_by(entry, &able, shard, &turn).await
        {
            return Ok(());
        }
        if !error.is_away() || deadline < Instant::now() + AGAIN {
            return Err(error);
        }
        sleep(AGAIN).await;
    }
}

/// Lets another host write a turn; returns whether it did.
async fn write_by(entry: &Arc<Entry>, node: &NodeName, shard: u32, turn: &Turn) -> bool {
    let Some(peer) = entry.view().get(node).map(|it| it.contact.peer) else {
        return false;
    };
    let request = PeerRequest::Write { shard, turn: turn.clone() };
    matches!(entry.peers.request(peer, request).await, Ok(PeerReply::Done))
}

/// Returns some other host that reaches the log.
fn any_with_log(entry: &Entry) -> Option<NodeName> {
    let view = entry.view();
    let is_able = |it: &&NodeState| it.summary.has_log && it.node != entry.settings.node;
    let able: Vec<_> = view.live().filter(is_able).collect();
    let index = entry.random.next_u64() as usize % able.len().max(1);
    able.get(index).map(|it| it.node.clone())
}

/// Writes a turn with others of its shard, and holds it in memory.
pub(crate) async fn write_here(
    entry: &Arc<Entry>,
    shard: u32,
    turn: Turn,
) -> Result<(), StoreError> {
    let (done, receiver) = oneshot::channel();
    let pending = Pending { turn: turn.clone(), done };
    if entry.turns.writer(entry, shard).send(pending).is_err() {
        return Err(StoreError::Refused("the writer has ended".to_owned()));
    }
    let ended = || Err(StoreError::Refused("the writer has ended".to_owned()));
    receiver.await.unwrap_or_else(|_| ended())?;
    keep_here(entry, shard, turn);
    Ok(())
}

/// A turn and who waits for it to be in the log.
struct Pending {
    turn: Turn,
    done: oneshot::Sender<Result<(), StoreError>>,
}

/// Appends the turns of one shard, those that came meanwhile together.
async fn append_all(entry: Arc<Entry>, shard: u32, mut receiver: mpsc::UnboundedReceiver<Pending>) {
    let mut pace = WritePacer::new(&entry);
    while let Some(first) = receiver.recv().await {
        pace.wait(&entry).await;
        let mut waiting = vec![first.done];
        let mut records = turn_records(&first.turn, entry.settings.platform.record_bytes);
        let mut bytes: usize = records.iter().map(Bytes::len).sum();
        while bytes < BATCH_BYTES
            && let Ok(next) = receiver.try_recv()
        {
            let more = turn_records(&next.turn, entry.settings.platform.record_bytes);
            bytes += more.iter().map(Bytes::len).sum::<usize>();
            records.extend(more);
            waiting.push(next.done);
        }
        entry.metrics.appends.inc();
        // A second copy of a turn does no harm, so no fence is needed.
        let result = entry.shared_log.append(&partition(shard), &records, None).await.map(drop);
        for done in waiting {
            // Whoever waited may have gone; the turn is in the log all the same.
            let _ = done.send(result.clone());
        }
    }
}
