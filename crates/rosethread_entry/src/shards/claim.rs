//! Claiming a shard: asks a former owner that still runs for its accounts, fences the partition
//! with a higher epoch, replays all records, and appends the claim.

use std::{
    sync::{Arc, atomic::AtomicBool},
    time::Duration,
};

use bytes::Bytes;
use futures::future::join_all;
use rosethread_membership::{NodeState, Status};
use rosethread_platform::{FencingToken, SharedLogError};
use rosethread_types::{Incarnation, NodeName};
use slog::{info, warn};
use tokio::time::timeout;

use crate::{
    control::longest_turn,
    entry::Entry,
    ledger::{Ledger, LedgerRecord},
    peers::{PeerError, PeerReply, PeerRequest},
    shards::{
        ClaimGuard, NotOwned, Shard, YieldedAccounts, encode_record, partition, writer::Writer,
        yield_shard,
    },
};

/// The maximum number of bytes per read of a partition.
const READ_BYTES: usize = 1 << 20;

/// The number of epochs per millisecond of clock time; hosts that claim in the same millisecond
/// choose among them at random, so that their epochs differ.
const EPOCHS_PER_MS: u64 = 1_000;

/// How much higher the next epoch is after one was refused: 10 s of clock time, more than the
/// clocks of hosts differ.
const EPOCH_RETRY_STEP: u64 = 10_000 * EPOCHS_PER_MS;

/// How long a claimant waits for the accounts of an owner that it holds for dead. One that runs all the
/// same, and whose heartbeats are lost, replies at once.
const DEAD_REPLY_TIMEOUT: Duration = Duration::from_millis(150);

/// The maximum number of epochs that a claim tries.
const MAX_EPOCH_ATTEMPTS: u32 = 5;

/// Claims a shard, unless its owner can still serve it. Other hosts are told of the claim from when
/// `guard` is set.
pub(super) async fn claim_shard<'a>(
    entry: &'a Arc<Entry>,
    index: u32,
    guard: &mut Option<ClaimGuard<'a>>,
) -> Result<Arc<Shard>, NotOwned> {
    let mut state = PartitionState::default();
    read_to_end(entry, index, &mut state).await?;
    let epoch_before = state.epoch;
    let is_current = entry.shards.get(index).is_some_and(|it| it.epoch == state.epoch);
    let has_lost_claims = state.owner.is_none() && state.has_expired;
    let yielded = if has_lost_claims { ask_all_to_yield(entry, index).await? } else { None };
    // Two hosts that find no claim and ask each other must not take each other for the owner, so the
    // claim begins after that.
    *guard = Some(ClaimGuard::start(entry, index));
    let handed_over = match state.owner.clone().filter(|_| !state.is_released && !is_current) {
        Some((owner, run)) => ask_to_yield(entry, index, &owner, run, state.epoch).await?,
        None => Vec::new(),
    };
    let own = yield_shard(entry, index);
    let handed_over = if has_lost_claims {
        state.ledger.add_unknown_owner(state.records != 0);
        let newest = own.into_iter().chain(yielded).max_by_key(|it| it.epoch);
        newest.map_or(handed_over, |it| it.records)
    } else {
        own.filter(|it| it.epoch == state.epoch).map_or(handed_over, |it| it.records)
    };
    let epoch = take_epoch(entry, index, state.epoch).await?;
    read_to_end(entry, index, &mut state).await?;
    // The accounts handed over are out of date if another host has claimed the shard since.
    let handed_over = if state.epoch == epoch_before { handed_over } else { Vec::new() };
    for record in &handed_over {
        state.ledger.replay(record);
    }
    let owner = entry.settings.node.clone();
    let claim = LedgerRecord::Claim { epoch, owner, run: entry.incarnation };
    let bound = LedgerRecord::Bounded { epoch };
    let records: Vec<Bytes> =
        handed_over.iter().chain([&claim, &bound]).map(encode_record).collect();
    let claimed = entry.now();
    let offset = append_claim(entry, index, &records, FencingToken { epoch, sequence: 0 }).await?;
    verify_claim(entry, index, offset + handed_over.len() as u64, &claim).await?;
    info!(entry.logger, "shards: claimed"; "shard" => index, "epoch" => epoch,
        "after_epoch" => state.epoch, "former_owner" => state.owner.as_ref().map_or("none", |(it, _)| it.as_str()),
        "released" => state.is_released, "expired" => has_lost_claims, "handed_over" => handed_over.len(), "records" => state.records, "programs" => state.ledger.len(),
        "open" => state.ledger.open_grants().len());
    let is_lost = Arc::new(AtomicBool::new(false));
    let writer = Writer::start(entry, index, partition(index), epoch, is_lost.clone());
    state.ledger.reset_last_used(entry.now());
    state.ledger.set_settled_by(entry.now() + longest_turn(entry));
    state.ledger.set_epoch(epoch);
    Ok(Shard::new(epoch, state.ledger, Some(writer), is_lost, claimed))
}

/// Appends the claim's records, and repeats the append once if the first one got no reply.
async fn append_claim(
    entry: &Entry,
    index: u32,
    records: &[Bytes],
    fence: FencingToken,
) -> Result<u64, SharedLogError> {
    let partition = partition(index);
    entry.metrics.appends.inc();
    match entry.shared_log.append(&partition, records, Some(fence)).await {
        Err(SharedLogError::NoResponse(_)) => {
            entry.metrics.appends.inc();
            entry.shared_log.append(&partition, records, Some(fence)).await
        }
        result => result,
    }
}

/// Reads a claim back to verify that it was written.
///
/// If two hosts use the same epoch, the log treats the second append as a repetition of the first,
/// and writes nothing.
async fn verify_claim(
    entry: &Entry,
    index: u32,
    offset: u64,
    claim: &LedgerRecord,
) -> Result<(), SharedLogError> {
    let read = entry.shared_log.read(&partition(index), offset, READ_BYTES, Duration::ZERO).await?;
    let found = read.entries.first().filter(|it| it.offset == offset);
    let found = found.and_then(|it| LedgerRecord::decode(&it.data).ok());
    if found.as_ref() == Some(claim) { Ok(()) } else { Err(SharedLogError::Fenced) }
}

/// Fences the partition with an epoch above all that the log has seen, and returns the epoch.
async fn take_epoch(entry: &Entry, index: u32, last: u64) -> Result<u64, SharedLogError> {
    let jitter = entry.random.next_u64() % EPOCHS_PER_MS;
    let mut epoch = (entry.clock.now_ms() * EPOCHS_PER_MS + jitter).max(last + 1 + jitter);
    for _ in 0..MAX_EPOCH_ATTEMPTS {
        match entry.shared_log.fence(&partition(index), epoch).await {
            Err(SharedLogError::Fenced) => epoch += EPOCH_RETRY_STEP,
            result => return result.map(|()| epoch),
        }
    }
    Err(SharedLogError::Fenced)
}

/// Asks the owner that the log names for its accounts, unless another run of its process is known.
///
/// An owner that the view holds for dead is asked too, for a short time: that heartbeats are missing
/// doesn't show that it has ended, and two hosts that hold each other for dead would take each other's
/// shards in turn.
///
/// Returns an error if that owner keeps the shard because it can serve it. The log names the node
/// that claimed last, which may not own the shard: its claim may not be complete, or may have been
/// fenced since by a claim that was never completed. A working owner stays, since a change of owner
/// costs more than evenly distributed shards are worth.
async fn ask_to_yield(
    entry: &Arc<Entry>,
    index: u32,
    owner: &NodeName,
    run: Incarnation,
    epoch: u64,
) -> Result<Vec<LedgerRecord>, NotOwned> {
    let is_same_run = |it: &&NodeState| it.incarnation == run && it.node != entry.settings.node;
    let is_running = |it: &&NodeState| it.status <= Status::Suspect && is_same_run(it);
    let view = entry.view();
    let Some(state) = view.last_state(owner).filter(is_same_run) else {
        return Ok(Vec::new());
    };
    let request = entry.peers.request(state.contact.peer, PeerRequest::Yield { shard: index });
    let reply = if view.is_running(owner) {
        request.await
    } else {
        timeout(DEAD_REPLY_TIMEOUT, request).await.unwrap_or(Err(PeerError::TimedOut))
    };
    let not_owned = |detail: String| NotOwned { owner: Some(owner.clone()), detail };
    match reply {
        // Accounts from any other claim than the last one miss what was granted after it.
        Ok(PeerReply::Yielded(Some(yielded))) if yielded.epoch == epoch => Ok(yielded.records),
        Ok(PeerReply::Yielded(yielded)) => {
            info!(entry.logger, "shards: the owner in the log has no accounts"; "shard" => index,
                "epoch" => epoch, "owner" => %owner,
                "of_epoch" => yielded.map_or(0, |it| it.epoch));
            Ok(Vec::new())
        }
        Ok(PeerReply::OwnedBy(_)) => Err(not_owned(format!("{owner} owns it since epoch {epoch}"))),
        reply => {
            // The view of the owner may have changed during the request.
            let view = entry.view();
            let running = view.get(owner).filter(is_running);
            let is_working =
                running.is_some_and(|it| it.status != Status::Leaving && it.summary.has_log);
            warn!(entry.logger, "shards: the former owner did not yield"; "shard" => index,
                "owner" => %owner, "reply" => ?reply, "is_working" => is_working);
            if is_working {
                Err(not_owned(format!("{owner} does not reply")))
            } else {
                Ok(Vec::new())
            }
        }
    }
}

/// Asks all hosts that run for the accounts of a shard whose claims the log has dropped, and returns the
/// newest. Returns an error if one owns the shard, or may own it and does not reply.
async fn ask_all_to_yield(
    entry: &Arc<Entry>,
    index: u32,
) -> Result<Option<YieldedAccounts>, NotOwned> {
    let view = entry.view();
    let others = view.nodes.values().filter(|it| it.status < Status::Dead);
    let others = others.filter(|it| it.node != entry.settings.node);
    let replies = join_all(others.map(async |it| {
        let request = PeerRequest::Yield { shard: index };
        (&it.node, entry.peers.request(it.contact.peer, request).await)
    }));
    let mut newest: Option<YieldedAccounts> = None;
    for (node, reply) in replies.await {
        match reply {
            Ok(PeerReply::Yielded(yielded)) => {
                newest = newest.into_iter().chain(yielded).max_by_key(|it| it.epoch);
            }
            Ok(PeerReply::OwnedBy(owner)) => {
                let detail = format!("{owner} owns it, though the log has no claim");
                return Err(NotOwned { owner: Some(owner), detail });
            }
            reply => {
                let is_running = entry.view().is_running(node);
                warn!(entry.logger, "shards: a host that may be the owner did not yield";
                    "shard" => index, "host" => %node, "reply" => ?reply,
                    "is_running" => is_running);
                if is_running {
                    let detail = format!("{node} may own it and does not reply");
                    return Err(NotOwned { owner: None, detail });
                }
            }
        }
    }
    Ok(newest)
}

/// The state of a shard as replayed from its partition.
#[derive(Default)]
struct PartitionState {
    /// The offset of the next record to read.
    next: u64,
    /// The epoch of the last claim; zero without one.
    epoch: u64,
    /// The last owner and the incarnation of its process.
    owner: Option<(NodeName, Incarnation)>,
    /// Whether the last owner has released the shard.
    is_released: bool,
    /// Whether the log has dropped records of the partition.
    has_expired: bool,
    /// The number of records replayed.
    records: usize,
    ledger: Ledger,
}

/// Reads a partition from `state.next` to its end, and replays its records.
async fn read_to_end(
    entry: &Entry,
    index: u32,
    state: &mut PartitionState,
) -> Result<(), SharedLogError> {
    let partition = partition(index);
    loop {
        let read = entry.shared_log.read(&partition, state.next, READ_BYTES, Duration::ZERO).await;
        let read = match read {
            Err(SharedLogError::Expired { first }) => {
                state.next = first;
                state.has_expired = true;
                continue;
            }
            read => read?,
        };
        for it in &read.entries {
            state.next = it.offset + 1;
            state.apply(entry, index, &it.data);
        }
        if read.end <= state.next || read.entries.is_empty() {
            return Ok(());
        }
    }
}

impl PartitionState {
    /// Replays one record; one that cannot be decoded is logged and skipped.
    fn apply(&mut self, entry: &Entry, index: u32, data: &[u8]) {
        let record = match LedgerRecord::decode(data) {
            Ok(record) => record,
            Err(error) => {
                warn!(entry.logger, "shards: skipped a record that cannot be decoded";
                    "shard" => index, "error" => %error);
                return;
            }
        };
        self.records += 1;
        match &record {
            LedgerRecord::Claim { epoch, owner, run } => {
                self.epoch = *epoch;
                self.owner = Some((owner.clone(), *run));
                self.is_released = false;
            }
            LedgerRecord::Released { .. } => self.is_released = true,
            LedgerRecord::Ceiling { .. }
            | LedgerRecord::Settled { .. }
            | LedgerRecord::Bounded { .. }
            | LedgerRecord::Unrecorded { .. }
            | LedgerRecord::Open { .. } => (),
        }
        self.ledger.replay(&record);
    }
}
