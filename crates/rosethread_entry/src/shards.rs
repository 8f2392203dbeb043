//! Ownership of shards: one ledger at a time may append to a shard's partition of the log.
//!
//! A shard is claimed when its first turn arrives at the host that is responsible for it. The
//! claim takes a higher epoch, after which the log refuses the former owner, and then reads all
//! that was recorded. The host that the log names is asked first: it keeps the shard if it owns it,
//! and hands its accounts over if it cannot do its work. See `docs/design/platform.md`.

mod claim;
mod writer;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex, MutexGuard, atomic::AtomicBool, atomic::Ordering},
    time::Duration,
};

use bytes::Bytes;
use rosethread_membership::{NodeState, rank_nodes, responsible_node};
use rosethread_platform::{Partition, StoreError};
use rosethread_types::{Digest, NodeName, ProgramLabel, StreamName};
use serde::{Deserialize, Serialize};
use slog::info;
use tokio::{
    sync::{OwnedMutexGuard, oneshot},
    time::{Instant, timeout},
};

use crate::{
    ended::EndedGrants,
    entry::{Entry, Phase},
    ledger::{Ledger, LedgerRecord},
    peers::{PeerReply, PeerRequest},
};

use writer::Writer;

/// The pause after a claim that failed: the calls of all turns that wait for it would press the store.
const CLAIM_PAUSE: Duration = Duration::from_millis(100);

/// The longest wait for an owner's last records.
const RELEASE_TIME: Duration = Duration::from_millis(400);

/// A shard that this node owns.
pub(crate) struct Shard {
    /// The epoch of the claim from which the accounts come.
    epoch: u64,
    ledger: Mutex<Ledger>,
    /// The way of records to the log; absent for a shard that was handed on without the log, which
    /// grants no more than its ceilings until it is claimed.
    writer: Option<Writer>,
    is_lost: Arc<AtomicBool>,
}

impl Shard {
    pub(crate) fn ledger(&self) -> MutexGuard<'_, Ledger> {
        self.ledger.lock().expect("no holder of a ledger panics")
    }

    /// Returns the epoch of the claim from which the accounts come.
    pub(crate) fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Queues a record; the receiver tells whether it has reached the log.
    pub(crate) fn record(&self, record: LedgerRecord) -> oneshot::Receiver<bool> {
        match &self.writer {
            Some(writer) => writer.submit(record),
            // The dropped sender tells that nothing was recorded.
            None => oneshot::channel().1,
        }
    }

    fn is_lost(&self) -> bool {
        self.is_lost.load(Ordering::Relaxed)
    }
}

/// The claims of one shard, of which one at a time is under way.
#[derive(Default)]
struct Claims {
    /// When the last one failed, and why.
    failed: Option<(Instant, NotOwned)>,
}

impl Claims {
    /// Returns why no claim is made now.
    fn pause(&self) -> Option<NotOwned> {
        let (at, error) = self.failed.as_ref()?;
        (at.elapsed() < CLAIM_PAUSE).then(|| error.clone())
    }
}

/// The shards of one node.
#[derive(Default)]
pub(crate) struct Shards {
    owned: Mutex<BTreeMap<u32, Arc<Shard>>>,
    claims: Mutex<BTreeMap<u32, Arc<tokio::sync::Mutex<Claims>>>>,
    /// The accounts of shards that this node has given up, until it owns them again. Whoever asked for
    /// them may not have heard them, or may have failed to claim the shard.
    yielded: Mutex<BTreeMap<u32, YieldedAccounts>>,
    /// The shards that this node is claiming.
    claiming: Mutex<BTreeSet<u32>>,
    /// The nodes that decided last, to be asked first.
    owners: Mutex<BTreeMap<u32, NodeName>>,
    /// Turns that have ended, of shards that this node owns and of others.
    ended: Mutex<BTreeMap<u32, EndedGrants>>,
}

impl Shards {
    fn owned(&self) -> MutexGuard<'_, BTreeMap<u32, Arc<Shard>>> {
        self.owned.lock().expect("no holder of the shards panics")
    }

    /// Takes note that this node owns a shard.
    fn insert(&self, index: u32, shard: Arc<Shard>) {
        self.owned().insert(index, shard);
        self.yielded().remove(&index);
    }

    fn yielded(&self) -> MutexGuard<'_, BTreeMap<u32, YieldedAccounts>> {
        self.yielded.lock().expect("no holder of the yielded accounts panics")
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

    /// Returns the node that decided last for a shard.
    pub(crate) fn last_owner(&self, index: u32) -> Option<NodeName> {
        self.owners.lock().expect("no holder of the owners panics").get(&index).cloned()
    }

    /// Takes note of the node that decides for a shard, or that the last one does no longer.
    pub(crate) fn set_owner(&self, index: u32, owner: Option<NodeName>) {
        let mut owners = self.owners.lock().expect("no holder of the owners panics");
        match owner {
            Some(owner) => owners.insert(index, owner),
            None => owners.remove(&index),
        };
    }

    /// Tells whether this node is claiming a shard.
    fn is_claiming(&self, index: u32) -> bool {
        self.claiming().contains(&index)
    }

    fn claiming(&self) -> MutexGuard<'_, BTreeSet<u32>> {
        self.claiming.lock().expect("no holder of the claimed shards panics")
    }

    /// Returns the turns that have ended, by shard.
    ///
    /// Whoever grants or settles holds it meanwhile, so that no grant follows its turn's end; it is
    /// locked before a ledger is.
    pub(crate) fn ended(&self) -> MutexGuard<'_, BTreeMap<u32, EndedGrants>> {
        self.ended.lock().expect("no holder of the ended turns panics")
    }

    fn claim_lock(&self, index: u32) -> Arc<tokio::sync::Mutex<Claims>> {
        let mut claims = self.claims.lock().expect("no holder of the claims panics");
        claims.entry(index).or_default().clone()
    }
}

/// Marks a shard as being claimed here until it is dropped.
struct Claiming<'a> {
    shards: &'a Shards,
    index: u32,
}

impl Claiming<'_> {
    fn start(entry: &Entry, index: u32) -> Claiming<'_> {
        entry.shards.claiming().insert(index);
        Claiming { shards: &entry.shards, index }
    }
}

impl Drop for Claiming<'_> {
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

/// Returns the nodes that may be responsible for a shard by this node's view, the likeliest first.
///
/// A node that does not reach the log can claim nothing, so others come before it. While the log is
/// away for all, nothing has to be claimed, and the first by hash still owns the shard. A shard's
/// turns are much work for one host, so hosts with little of a processor own none.
pub(crate) fn candidates_for(entry: &Entry, index: u32) -> Vec<NodeName> {
    let view = entry.view();
    let key = format!("shard-{index}");
    let most = view.live().map(|it| it.summary.power).max().unwrap_or(0);
    let is_able =
        |it: &&NodeState| it.summary.has_log && most <= it.summary.power.saturating_mul(2);
    let with_log = view.live().filter(is_able).map(|it| &it.node);
    let first = rank_nodes(&key, with_log).into_iter().next();
    let by_hash = responsible_node(&view, &key).filter(|it| Some(it) != first.as_ref());
    first.into_iter().chain(by_hash).collect()
}

/// Returns the node that is responsible for a shard, by this node's view.
pub(crate) fn responsible_for(entry: &Entry, index: u32) -> Option<NodeName> {
    candidates_for(entry, index).into_iter().next()
}

fn partition(index: u32) -> Partition {
    let topic: StreamName = "rosethread-ledger".parse().expect("the name is valid");
    Partition { topic, index }
}

/// Returns the shard, claiming it first if this node is responsible for it.
///
/// A claim goes on if the caller stops waiting.
pub(crate) async fn own(entry: &Arc<Entry>, index: u32) -> Result<Arc<Shard>, NotOwned> {
    let usable =
        || entry.shards.get(index).filter(|it| it.writer.is_some() || !entry.is_log_reachable());
    if let Some(shard) = usable() {
        return Ok(shard);
    }
    let lock = entry.shards.claim_lock(index);
    let claims = lock.lock_owned().await;
    if let Some(shard) = usable() {
        return Ok(shard);
    }
    if Phase::Serving < entry.phase() {
        let owner = entry.shards.last_owner(index);
        return Err(NotOwned { owner, detail: "this node is stopping".to_owned() });
    }
    let candidates = candidates_for(entry, index);
    if !candidates.contains(&entry.settings.node) {
        // Views differ for a while after many hosts have started, so the asker may not know it.
        let owner = candidates.into_iter().next();
        let detail = format!("this node is not responsible for shard {index}");
        return Err(NotOwned { owner, detail });
    }
    if let Some(error) = claims.pause() {
        return Err(error);
    }
    let (sender, receiver) = oneshot::channel();
    let claim = claim_now(entry.clone(), index, claims);
    entry.tasks.spawn(async move {
        // Whoever waited may have gone, and the shard is owned all the same.
        let _ = sender.send(claim.await);
    });
    receiver.await.unwrap_or_else(|_| {
        let detail = "this node ended during the claim".to_owned();
        Err(NotOwned { owner: None, detail })
    })
}

/// Claims a shard, and takes note of it or of why it was not claimed.
///
/// Runs in a task of its own, so that a caller that leaves does not end the claim half-way.
async fn claim_now(
    entry: Arc<Entry>,
    index: u32,
    mut claims: OwnedMutexGuard<Claims>,
) -> Result<Arc<Shard>, NotOwned> {
    // Dropped after the shard is in `owned`, so `answer_claimant` always sees one of the two.
    let _claiming = Claiming::start(&entry, index);
    match claim::claim(&entry, index).await {
        Ok(shard) => {
            entry.shards.insert(index, shard.clone());
            entry.metrics.claims.inc();
            if Phase::Serving < entry.phase() {
                // The drain has handed over the shards that were owned before.
                release(&entry, index).await;
            }
            Ok(shard)
        }
        Err(error) => {
            info!(entry.logger, "shards: not claimed"; "shard" => index, "why" => &error.detail);
            claims.failed = Some((Instant::now(), error.clone()));
            Err(error)
        }
    }
}

/// Why a node does not own a shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct NotOwned {
    /// The node that does, if it is known.
    pub(crate) owner: Option<NodeName>,
    /// The reason, for logs.
    pub(crate) detail: String,
}

impl From<StoreError> for NotOwned {
    fn from(error: StoreError) -> NotOwned {
        NotOwned { owner: None, detail: error.to_string() }
    }
}

/// Answers another host that wants to claim a shard: an owner that can do its work stays, and so
/// does one whose claim is under way, since its claim may just have been written.
pub(crate) fn answer_claimant(entry: &Entry, index: u32) -> PeerReply {
    let is_working = entry.phase() == Phase::Serving && entry.is_log_reachable();
    // A claim's mark is dropped after its shard is in `owned`, so it has to be looked at first.
    let owns = entry.shards.is_claiming(index)
        || entry.shards.get(index).is_some_and(|it| it.writer.is_some());
    if is_working && owns {
        return PeerReply::OwnedBy(entry.settings.node.clone());
    }
    PeerReply::Yielded(give_up(entry, index))
}

/// The accounts of a shard that a node has given up.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct YieldedAccounts {
    /// The epoch of the claim from which they come.
    pub epoch: u64,
    /// What a successor has to know.
    pub records: Vec<LedgerRecord>,
}

/// Stops granting for a shard, and returns what its successor has to know, each time it is asked.
///
/// The accounts are exact for as long as no other host has claimed the shard, which the claimant
/// knows by their epoch.
pub(crate) fn give_up(entry: &Entry, index: u32) -> Option<YieldedAccounts> {
    if let Some(shard) = entry.shards.owned().remove(&index) {
        let is_lost = shard.is_lost.swap(true, Ordering::Relaxed);
        info!(entry.logger, "shards: given up"; "shard" => index, "was_lost" => is_lost);
        let records = shard.ledger().release(shard.epoch);
        entry.shards.yielded().insert(index, YieldedAccounts { epoch: shard.epoch, records });
    }
    entry.shards.yielded().get(&index).cloned()
}

fn encode(record: &LedgerRecord) -> Bytes {
    postcard::to_stdvec(record).expect("a record serialises").into()
}

/// Hands a shard on to the host that is next for it, where the log is away: nobody could claim it.
///
/// Returns whether that host has taken it on.
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
    let is_taken = matches!(entry.peers.request(peer, request).await, Ok(PeerReply::Done));
    info!(entry.logger, "shards: handed on"; "shard" => index, "to" => %next, "taken" => is_taken);
    entry.shards.set_owner(index, Some(next));
    is_taken
}

/// Goes on with a shard in the stead of its owner, which has closed its ledger.
///
/// Accounts from an earlier claim than this node's own are dropped: they are out of date here.
pub(crate) fn accept_transfer(entry: &Entry, index: u32, epoch: u64, mut ledger: Ledger) {
    ledger.accept_transfer(entry.now());
    let old = entry.shards.owned().get(&index).cloned();
    let is_newer = old.is_none_or(|it| it.is_lost() && it.epoch <= epoch);
    info!(entry.logger, "shards: taken on"; "shard" => index, "epoch" => epoch,
        "programs" => ledger.len(), "kept" => is_newer);
    if is_newer {
        let ledger = Mutex::new(ledger);
        let shard = Shard { epoch, ledger, writer: None, is_lost: Arc::default() };
        entry.shards.insert(index, Arc::new(shard));
    }
}

/// Stops granting for a shard and records its accounts, so that a successor knows them exactly.
pub(crate) async fn release(entry: &Arc<Entry>, index: u32) {
    let Some(shard) = entry.shards.owned().remove(&index) else {
        return;
    };
    let records = shard.ledger().release(shard.epoch);
    let mut last = None;
    for record in records {
        last = Some(shard.record(record));
    }
    let is_recorded = match last {
        Some(last) => matches!(timeout(RELEASE_TIME, last).await, Ok(Ok(true))),
        None => true,
    };
    shard.is_lost.store(true, Ordering::Relaxed);
    info!(entry.logger, "shards: released"; "shard" => index, "recorded" => is_recorded);
}
