//! Ownership of shards: only one node at a time may append to a shard's partition of the log.
//!
//! A shard is claimed when its first turn arrives at the host that is responsible for it. The
//! claim fences the partition with a higher epoch, after which the log rejects appends of the
//! former owner, and then reads all records. The owner that the log names is asked first: it keeps
//! the shard if it can serve it, and hands its accounts over if not. See `docs/design/platform.md`.

mod claim;
mod repeat;
mod writer;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use rosethread_membership::{ClusterView, NodeState, rank_nodes, responsible_node};
use rosethread_platform::{Partition, SharedLogError};
use rosethread_policy::LogReach;
use rosethread_types::{Digest, NodeName, ProgramLabel, StreamName};
use serde::{Deserialize, Serialize};
use slog::info;
use tokio::{
    sync::{Notify, OwnedMutexGuard, oneshot},
    time::{Instant, timeout},
};

use crate::{
    ended_grants::{EarlySettlement, EndedGrants},
    entry::{Entry, Phase},
    ledger::{HeldState, Ledger, LedgerRecord, QueuedCeiling},
    peers::{PeerReply, PeerRequest},
    settlements,
};

use writer::Writer;

pub(crate) use repeat::repeat_claims;
pub(crate) use writer::Urgency;

/// The time after a failed claim in which no other claim of the shard starts; without it the claims
/// of all turns that wait for the shard would overload the log.
const CLAIM_BACKOFF: Duration = Duration::from_millis(100);

/// The maximum time to wait for the last records of a shard that is released.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(400);

/// A shard that this node owns.
pub(crate) struct Shard {
    /// The epoch of the claim from which the accounts come.
    epoch: u64,
    ledger: Mutex<Ledger>,
    /// Appends records to the log; absent for a shard that was transferred without the log, which
    /// grants no more than its ceilings until it is claimed.
    writer: Option<Writer>,
    /// Set when the log has fenced the shard or its accounts were handed over; shared with the
    /// writer.
    is_lost: Arc<AtomicBool>,
    /// When the log last took the claim, in milliseconds since the start of the process.
    claimed_ms: AtomicU64,
    /// Whether a repetition of the claim is under way.
    is_repeating: AtomicBool,
    /// Wakes those that wait for a turn of the shard to be settled, or for the log to have that.
    pub(crate) settled: Notify,
}

impl Shard {
    /// Creates a shard whose claim, or whose ledger's transfer, began at `claimed`.
    fn new(
        epoch: u64,
        ledger: Ledger,
        writer: Option<Writer>,
        is_lost: Arc<AtomicBool>,
        claimed: Duration,
    ) -> Arc<Shard> {
        Arc::new(Shard {
            epoch,
            ledger: Mutex::new(ledger),
            writer,
            is_lost,
            claimed_ms: AtomicU64::new(claimed.as_millis() as u64),
            is_repeating: AtomicBool::new(false),
            settled: Notify::new(),
        })
    }

    pub(crate) fn ledger(&self) -> MutexGuard<'_, Ledger> {
        self.ledger.lock().expect("no code panics while it holds a ledger")
    }

    /// Returns the epoch of the claim from which the accounts come.
    pub(crate) fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns whether the shard is in the log, rather than transferred without it.
    pub(crate) fn has_writer(&self) -> bool {
        self.writer.is_some()
    }

    /// Records that a ceiling has reached the log.
    pub(crate) fn confirm_ceiling(&self, queued: &QueuedCeiling) {
        self.ledger().confirm_ceiling(queued);
        self.settled.notify_waiters();
    }

    /// Queues records, of which consecutive ones of a program are appended together; the receiver yields
    /// whether the last one has reached the log, and so all of them, or an error if no writer runs.
    pub(crate) fn record_all(
        &self,
        records: &[LedgerRecord],
        urgency: Urgency,
    ) -> oneshot::Receiver<bool> {
        let is_same = |it: &LedgerRecord, next: &LedgerRecord| {
            it.program().is_some() && it.program() == next.program()
        };
        let groups = records.chunk_by(is_same).zip(self.writer.iter().cycle());
        let receiver = groups.map(|(group, writer)| writer.submit(group, urgency)).last();
        // The receiver of a dropped sender fails, so the caller knows that nothing is recorded.
        receiver.unwrap_or_else(|| oneshot::channel().1)
    }

    /// Queues the records of a ceiling for which a turn waits, in the order in which ceilings are queued in the ledger.
    pub(crate) fn queue(
        &self,
        queue: impl FnOnce(&mut Ledger) -> (QueuedCeiling, Vec<LedgerRecord>),
    ) -> (QueuedCeiling, oneshot::Receiver<bool>) {
        let mut ledger = self.ledger();
        let (queued, records) = queue(&mut ledger);
        (queued, self.record_all(&records, Urgency::Now))
    }

    /// Queues the records of a ceiling as [`queue`](Shard::queue) does, if there is one.
    pub(crate) fn queue_some(
        &self,
        urgency: Urgency,
        queue: impl FnOnce(&mut Ledger) -> Option<(QueuedCeiling, Vec<LedgerRecord>)>,
    ) -> Option<(QueuedCeiling, oneshot::Receiver<bool>)> {
        let mut ledger = self.ledger();
        let (queued, records) = queue(&mut ledger)?;
        Some((queued, self.record_all(&records, urgency)))
    }

    pub(crate) fn is_lost(&self) -> bool {
        self.is_lost.load(Ordering::Relaxed)
    }
}

/// The state of one shard's claims; its lock is held during a claim, so only one runs at a time.
#[derive(Default)]
struct ClaimState {
    /// When the last claim failed, and why.
    last_failure: Option<(Instant, NotOwned)>,
}

impl ClaimState {
    /// Returns the error of the last claim while no new one may start.
    fn backoff_error(&self) -> Option<NotOwned> {
        let (at, error) = self.last_failure.as_ref()?;
        (at.elapsed() < CLAIM_BACKOFF).then(|| error.clone())
    }
}

/// The shards of one node.
#[derive(Default)]
pub(crate) struct Shards {
    owned: Mutex<BTreeMap<u32, Arc<Shard>>>,
    claim_states: Mutex<BTreeMap<u32, Arc<tokio::sync::Mutex<ClaimState>>>>,
    /// The accounts of shards that this node has yielded, until it owns them again. They are kept
    /// because the claimant may not have received them, or may have failed to claim the shard.
    yielded: Mutex<BTreeMap<u32, YieldedAccounts>>,
    /// The shards that this node is claiming.
    claiming: Mutex<BTreeSet<u32>>,
    /// The last known owner of each shard, to be asked first.
    owners: Mutex<BTreeMap<u32, NodeName>>,
    /// Whether the nodes that are responsible for shards have to reach the log.
    log_reach: Mutex<LogReach>,
    /// Turns that have ended, by shard, whether or not this node owns it.
    ended: Mutex<BTreeMap<u32, EndedGrants>>,
}

impl Shards {
    fn owned(&self) -> MutexGuard<'_, BTreeMap<u32, Arc<Shard>>> {
        self.owned.lock().expect("no code panics while it holds the shards")
    }

    /// Adds a shard that this node now owns.
    fn insert(&self, index: u32, shard: Arc<Shard>) {
        self.owned().insert(index, shard);
        self.yielded().remove(&index);
    }

    /// Adds a shard that this node now owns, and settles the turns whose settlements came before.
    ///
    /// Returns the number of these turns.
    fn adopt(&self, index: u32, shard: Arc<Shard>, now: Duration) -> u32 {
        // Held until the shard is found by those who settle, so that no settlement falls in between.
        let mut ended = self.ended();
        let mut settled = 0;
        if let Some(ended) = ended.get_mut(&index) {
            let mut ledger = shard.ledger();
            let open = ledger.open_grants().into_iter().collect();
            for EarlySettlement { settlement, held } in ended.take_early(&open) {
                let is_settled = match held {
                    Some(held) => ledger.settle_held(&settlement, held, now) != HeldState::NotHere,
                    None => ledger.settle(&settlement, now),
                };
                settled += u32::from(is_settled);
            }
        }
        self.insert(index, shard);
        settled
    }

    fn yielded(&self) -> MutexGuard<'_, BTreeMap<u32, YieldedAccounts>> {
        self.yielded.lock().expect("no code panics while it holds the yielded accounts")
    }

    /// Returns the shard if this node owns it.
    pub(crate) fn get(&self, index: u32) -> Option<Arc<Shard>> {
        self.owned().get(&index).filter(|it| !it.is_lost()).cloned()
    }

    /// Returns all shards that this node owns.
    pub(crate) fn all(&self) -> Vec<(u32, Arc<Shard>)> {
        let owned = self.owned();
        owned.iter().filter(|(_, it)| !it.is_lost()).map(|(i, it)| (*i, it.clone())).collect()
    }

    /// Returns the last known owner of a shard.
    pub(crate) fn last_owner(&self, index: u32) -> Option<NodeName> {
        self.owners.lock().expect("no code panics while it holds the owners").get(&index).cloned()
    }

    /// Sets the last known owner of a shard, or clears it.
    pub(crate) fn set_owner(&self, index: u32, owner: Option<NodeName>) {
        let mut owners = self.owners.lock().expect("no code panics while it holds the owners");
        match owner {
            Some(owner) => owners.insert(index, owner),
            None => owners.remove(&index),
        };
    }

    /// Returns whether this node is claiming a shard.
    fn is_claiming(&self, index: u32) -> bool {
        self.claiming().contains(&index)
    }

    fn claiming(&self) -> MutexGuard<'_, BTreeSet<u32>> {
        self.claiming.lock().expect("no code panics while it holds the set of claims")
    }

    /// Locks the turns that have ended, by shard.
    ///
    /// The lock is held while a turn is granted or settled, so that no grant is made after its turn
    /// has ended. Lock order: this lock before that of a ledger.
    pub(crate) fn ended(&self) -> MutexGuard<'_, BTreeMap<u32, EndedGrants>> {
        self.ended.lock().expect("no code panics while it holds the ended turns")
    }

    fn claim_lock(&self, index: u32) -> Arc<tokio::sync::Mutex<ClaimState>> {
        let mut states =
            self.claim_states.lock().expect("no code panics while it holds the claim states");
        states.entry(index).or_default().clone()
    }
}

/// Marks a shard as being claimed by this node until the guard is dropped.
struct ClaimGuard<'a> {
    shards: &'a Shards,
    index: u32,
}

impl ClaimGuard<'_> {
    fn start(entry: &Entry, index: u32) -> ClaimGuard<'_> {
        entry.shards.claiming().insert(index);
        ClaimGuard { shards: &entry.shards, index }
    }
}

impl Drop for ClaimGuard<'_> {
    fn drop(&mut self) {
        self.shards.claiming().remove(&self.index);
    }
}

/// Returns the shard of a program.
pub(crate) fn shard_of(entry: &Entry, program: &ProgramLabel) -> u32 {
    let digest = Digest::default().chain(&[program.as_str().as_bytes()]);
    let mut bytes = [0; 4];
    bytes.copy_from_slice(&digest.0[..4]);
    u32::from_le_bytes(bytes) % entry.settings.platform.partitions
}

/// Returns the nodes that may be responsible for a shard in this node's view, the likeliest first.
///
/// The first is the node with the highest rendezvous rank among those that reach the log and have
/// at least half the processing power of the strongest node: others cannot claim, or are too weak
/// for the work of a shard's turns. While most nodes don't reach the log, and shortly after, it need not
/// reach it either (see [`LogReach`]). The second, if it differs, ranks highest
/// among all live nodes.
pub(crate) fn candidates_for(entry: &Entry, index: u32) -> Vec<NodeName> {
    let view = entry.view();
    let needs_log = needs_log(entry, &view);
    rank_candidates(&view, index, needs_log)
}

/// Returns the live nodes that are strong enough for the work of a shard's turns.
fn strong_nodes(view: &ClusterView) -> impl Iterator<Item = &NodeState> {
    let max_power = view.live().map(|it| it.summary.power).max().unwrap_or(0);
    view.live().filter(move |it| max_power <= it.summary.power.saturating_mul(2))
}

/// Returns whether only nodes that reach the log may be responsible.
fn needs_log(entry: &Entry, view: &ClusterView) -> bool {
    let hosts = strong_nodes(view).count();
    let reaching = strong_nodes(view).filter(|it| it.summary.has_log).count();
    let mut reach = entry.shards.log_reach.lock().expect("no code panics while it holds the reach");
    reach.is_required(reaching, hosts, entry.now())
}

fn rank_candidates(view: &ClusterView, index: u32, needs_log: bool) -> Vec<NodeName> {
    let key = format!("shard-{index}");
    let may_own = |it: &&NodeState| it.summary.has_log || !needs_log;
    let eligible = strong_nodes(view).filter(may_own).map(|it| &it.node);
    let first = rank_nodes(&key, eligible).into_iter().next();
    let by_rank = responsible_node(view, &key).filter(|it| Some(it) != first.as_ref());
    first.into_iter().chain(by_rank).collect()
}

/// Returns the node that is responsible for a shard in this node's view.
pub(crate) fn responsible_for(entry: &Entry, index: u32) -> Option<NodeName> {
    candidates_for(entry, index).into_iter().next()
}

/// Returns the node that is responsible for a shard once this one has left.
pub(crate) fn next_owner(entry: &Entry, index: u32) -> Option<NodeName> {
    let mut view = (*entry.view()).clone();
    view.nodes.remove(&entry.settings.node);
    let needs_log = needs_log(entry, &view);
    rank_candidates(&view, index, needs_log).into_iter().next()
}

fn partition(index: u32) -> Partition {
    let topic: StreamName = "rosethread-ledger".parse().expect("the topic name is valid");
    Partition { topic, index }
}

/// Returns a shard that this node owns, claiming it first if necessary.
///
/// Fails if this node is not responsible for the shard, is stopping, or could not claim it. A claim
/// continues in the background if the caller stops waiting.
pub(crate) async fn ensure_owned(entry: &Arc<Entry>, index: u32) -> Result<Arc<Shard>, NotOwned> {
    let usable =
        || entry.shards.get(index).filter(|it| it.writer.is_some() || !entry.is_log_reachable());
    if let Some(shard) = usable() {
        return Ok(shard);
    }
    let lock = entry.shards.claim_lock(index);
    let state = lock.lock_owned().await;
    if let Some(shard) = usable() {
        return Ok(shard);
    }
    if Phase::Serving < entry.phase() {
        let owner = entry.shards.last_owner(index);
        return Err(NotOwned { owner, detail: "this node is stopping".to_owned() });
    }
    let candidates = candidates_for(entry, index);
    if !candidates.contains(&entry.settings.node) {
        // Views differ for a while after many hosts have started, so the requester may not know the
        // responsible node.
        let owner = candidates.into_iter().next();
        let detail = format!("this node is not responsible for shard {index}");
        return Err(NotOwned { owner, detail });
    }
    if let Some(error) = state.backoff_error() {
        return Err(error);
    }
    let (sender, receiver) = oneshot::channel();
    let claim = run_claim(entry.clone(), index, state);
    entry.tasks.spawn(async move {
        // Fails if the caller has stopped waiting; the shard is owned all the same.
        let _ = sender.send(claim.await);
    });
    receiver.await.unwrap_or_else(|_| {
        let detail = "this node stopped during the claim".to_owned();
        Err(NotOwned { owner: None, detail })
    })
}

/// Claims a shard and stores it, or stores the error that delays the next claim.
///
/// Runs in a task of its own, so that a caller that stops waiting does not cancel the claim.
async fn run_claim(
    entry: Arc<Entry>,
    index: u32,
    mut state: OwnedMutexGuard<ClaimState>,
) -> Result<Arc<Shard>, NotOwned> {
    // Dropped after the shard is in `owned`, so that `answer_claimant` always sees one of the two.
    let mut guard = None;
    match claim::claim_shard(&entry, index, &mut guard).await {
        Ok(shard) => {
            let settled = entry.shards.adopt(index, shard.clone(), entry.now());
            entry.metrics.early_settlements.inc_by(settled.into());
            settlements::record_ends(&entry, &shard);
            entry.metrics.claims.inc();
            if Phase::Serving < entry.phase() {
                // The drain only released the shards that were owned when it started.
                release(&entry, index).await;
            }
            Ok(shard)
        }
        Err(error) => {
            info!(entry.logger, "shards: not claimed"; "shard" => index, "why" => &error.detail);
            state.last_failure = Some((Instant::now(), error.clone()));
            Err(error)
        }
    }
}

/// Why a node does not own a shard or cannot decide for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct NotOwned {
    /// The node that owns it, if known.
    pub(crate) owner: Option<NodeName>,
    /// The reason, for logs.
    pub(crate) detail: String,
}

impl From<SharedLogError> for NotOwned {
    fn from(error: SharedLogError) -> NotOwned {
        NotOwned { owner: None, detail: error.to_string() }
    }
}

/// Answers another host that wants to claim a shard.
///
/// This node keeps the shard if it is serving, reaches the log, and owns the shard by a claim that the log
/// still has, or is claiming it; a claim in progress may already be in the log. Otherwise it yields the
/// shard.
pub(crate) fn answer_claimant(entry: &Entry, index: u32) -> PeerReply {
    let can_serve = entry.phase() == Phase::Serving && entry.is_log_reachable();
    // The claim guard is dropped after the shard is in `owned`, so `is_claiming` has to be checked
    // first.
    let is_owner = entry.shards.is_claiming(index)
        || entry.shards.get(index).is_some_and(|it| it.writer.is_some() && it.is_confirmed(entry));
    if can_serve && is_owner {
        return PeerReply::OwnedBy(entry.settings.node.clone());
    }
    let mut yielded = yield_shard(entry, index);
    if let Some(it) = &mut yielded {
        // A claimant of the last release could not decode the reply.
        it.records.retain(|it| !matches!(it, LedgerRecord::Open { .. }));
    }
    PeerReply::Yielded(yielded)
}

/// The accounts of a shard that a node has yielded to a claimant.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct YieldedAccounts {
    /// The epoch of the claim from which they come.
    pub epoch: u64,
    /// The records from which the next owner rebuilds the accounts.
    pub records: Vec<LedgerRecord>,
}

/// Stops granting for a shard, and returns its accounts, again on each call.
///
/// The accounts are exact until another host claims the shard; the claimant compares their epoch
/// with that of the last claim in the log.
pub(crate) fn yield_shard(entry: &Entry, index: u32) -> Option<YieldedAccounts> {
    if let Some(shard) = entry.shards.owned().remove(&index) {
        let is_lost = shard.is_lost.swap(true, Ordering::Relaxed);
        info!(entry.logger, "shards: given up"; "shard" => index, "was_lost" => is_lost);
        let records = shard.ledger().release(shard.epoch);
        entry.shards.yielded().insert(index, YieldedAccounts { epoch: shard.epoch, records });
    }
    entry.shards.yielded().get(&index).cloned()
}

fn encode_record(record: &LedgerRecord) -> Bytes {
    record.encode().expect("a record can be serialised").into()
}

/// Transfers a shard's ledger to the host that ranks next for it, while the log is unavailable and
/// no host could claim the shard.
///
/// Returns whether that host has accepted it.
pub(crate) async fn transfer_without_log(entry: &Arc<Entry>, index: u32) -> bool {
    let view = entry.view();
    let others = view.live().filter(|it| it.node != entry.settings.node).map(|it| &it.node);
    let Some(next) = rank_nodes(&format!("shard-{index}"), others).into_iter().next() else {
        return false;
    };
    let Some(shard) = entry.shards.owned().remove(&index) else {
        return false;
    };
    let ledger = shard.ledger().close_for_transfer(entry.now());
    shard.is_lost.store(true, Ordering::Relaxed);
    let Some(peer) = view.get(&next).map(|it| it.contact.peer) else {
        return false;
    };
    let epoch = shard.epoch;
    let request = PeerRequest::TakeOn { shard: index, epoch, ledger: Box::new(ledger) };
    let is_accepted = matches!(entry.peers.request(peer, request).await, Ok(PeerReply::Done));
    info!(entry.logger, "shards: transferred without the log"; "shard" => index, "to" => %next,
        "taken" => is_accepted);
    entry.shards.set_owner(index, Some(next));
    is_accepted
}

/// Takes over a shard whose owner has transferred its ledger without the log.
///
/// The ledger is dropped if this node owns the shard, or has lost it under a later claim, since the
/// transferred accounts may then be out of date.
pub(crate) fn accept_transfer(entry: &Entry, index: u32, epoch: u64, mut ledger: Ledger) {
    ledger.accept_transfer(entry.now());
    let current = entry.shards.owned().get(&index).cloned();
    let is_adopted = current.is_none_or(|it| it.is_lost() && it.epoch <= epoch);
    info!(entry.logger, "shards: received a transfer"; "shard" => index, "epoch" => epoch,
        "programs" => ledger.len(), "kept" => is_adopted);
    if is_adopted {
        // The claim got no older than half of its time at its owner, by a margin that outages do not use up.
        let claimed = entry.now().saturating_sub(entry.settings.retention() / 2);
        entry.shards.adopt(
            index,
            Shard::new(epoch, ledger, None, Arc::default(), claimed),
            entry.now(),
        );
    }
}

/// Stops granting for a shard and records its balances in the log, which gives the next owner exact
/// accounts.
pub(crate) async fn release(entry: &Arc<Entry>, index: u32) {
    let Some(shard) = entry.shards.owned().remove(&index) else {
        return;
    };
    let (records, open) = {
        let mut ledger = shard.ledger();
        (ledger.release(shard.epoch), ledger.open_grants().len())
    };
    // A claimant that does not find the release in the log asks this host.
    let yielded = YieldedAccounts { epoch: shard.epoch, records: records.clone() };
    entry.shards.yielded().insert(index, yielded);
    let next = next_owner(entry, index);
    entry.shards.set_owner(index, next.clone());
    let is_recorded = matches!(
        timeout(RELEASE_TIMEOUT, shard.record_all(&records, Urgency::Now)).await,
        Ok(Ok(true))
    );
    shard.is_lost.store(true, Ordering::Relaxed);
    info!(entry.logger, "shards: released"; "shard" => index, "recorded" => is_recorded,
        "open" => open, "next" => next.as_ref().map_or("none", |it| it.as_str()));
}
