//! Ownership of shards: one ledger at a time may append to a shard's partition of the log.
//!
//! A shard is claimed when its first turn arrives at the host that is responsible for it. The
//! claim takes a higher epoch, after which the log refuses the former owner, and then reads all
//! that was recorded. A former owner that still runs is asked to settle first, so that the
//! successor's accounts are exact. See `docs/design/platform.md`.

mod writer;

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, atomic::AtomicBool, atomic::Ordering},
    time::Duration,
};

use bytes::Bytes;
use rosethread_membership::{NodeState, Status, rank, responsible};
use rosethread_platform::{Fence, Partition, StoreError};
use rosethread_types::{Digest, Incarnation, NodeName, ProgramLabel, StreamName};
use serde::{Deserialize, Serialize};
use slog::{info, warn};
use tokio::{sync::oneshot, time::timeout};

use crate::{
    entry::{Entry, Phase},
    ledger::{Ledger, LedgerRecord},
    peers::{PeerReply, PeerRequest},
};

use writer::Writer;

/// Bytes asked for by one read of a partition.
const READ_BYTES: usize = 1 << 20;

/// Epochs in a millisecond, so that hosts which claim at the same time take different ones.
const EPOCHS_PER_MS: u64 = 1_000;

/// How much higher the next epoch is after one was refused: clocks of hosts differ by less.
const EPOCH_STEP: u64 = 10_000 * EPOCHS_PER_MS;

/// How often a claim takes a higher epoch before it gives up.
const MAX_EPOCHS: u32 = 5;

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

/// The shards of one node.
#[derive(Default)]
pub(crate) struct Shards {
    owned: Mutex<BTreeMap<u32, Arc<Shard>>>,
    claims: Mutex<BTreeMap<u32, Arc<tokio::sync::Mutex<()>>>>,
    /// The nodes that decided last, to be asked first.
    owners: Mutex<BTreeMap<u32, NodeName>>,
}

impl Shards {
    fn owned(&self) -> MutexGuard<'_, BTreeMap<u32, Arc<Shard>>> {
        self.owned.lock().expect("no holder of the shards panics")
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

    fn claim_lock(&self, index: u32) -> Arc<tokio::sync::Mutex<()>> {
        let mut claims = self.claims.lock().expect("no holder of the claims panics");
        claims.entry(index).or_default().clone()
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
    let first = rank(&key, with_log).into_iter().next();
    let by_hash = responsible(&view, &key).filter(|it| Some(it) != first.as_ref());
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
pub(crate) async fn own(entry: &Arc<Entry>, index: u32) -> Result<Arc<Shard>, NotOwned> {
    let usable = || entry.shards.get(index).filter(|it| it.writer.is_some() || !entry.has_log());
    if let Some(shard) = usable() {
        return Ok(shard);
    }
    if Phase::Serving < entry.phase() {
        let owner = entry.shards.last_owner(index);
        return Err(NotOwned { owner, detail: "this node is stopping".to_owned() });
    }
    let lock = entry.shards.claim_lock(index);
    let _claiming = lock.lock().await;
    if let Some(shard) = usable() {
        return Ok(shard);
    }
    if !candidates_for(entry, index).contains(&entry.settings.node) {
        let detail = format!("this node is not responsible for shard {index}");
        return Err(NotOwned { owner: None, detail });
    }
    match claim(entry, index).await {
        Ok(shard) => {
            entry.shards.owned().insert(index, shard.clone());
            entry.metrics.claims.inc();
            Ok(shard)
        }
        Err(error) => {
            info!(entry.logger, "shards: not claimed"; "shard" => index, "why" => &error.detail);
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

/// Returns the owner that the log names, unless its shard may be claimed.
///
/// An owner stays for as long as it runs and reaches the log: a change of hands costs more than an
/// even spread is worth.
fn sitting_owner(entry: &Entry, seen: &Seen) -> Option<NodeName> {
    let (owner, run) = seen.owner.clone()?;
    let view = entry.view();
    let state = view.get(&owner)?;
    let is_sitting = !seen.is_released
        && owner != entry.settings.node
        && state.incarnation == run
        && state.status <= Status::Suspect
        && state.status != Status::Leaving
        && state.summary.has_log;
    is_sitting.then_some(owner)
}

async fn claim(entry: &Arc<Entry>, index: u32) -> Result<Arc<Shard>, NotOwned> {
    let mut seen = Seen::default();
    read_on(entry, index, &mut seen).await?;
    if let Some(owner) = sitting_owner(entry, &seen) {
        let detail = format!("{owner} owns it since epoch {}", seen.epoch);
        return Err(NotOwned { owner: Some(owner), detail });
    }
    let before = seen.epoch;
    let own = give_up(entry, index).filter(|it| it.epoch == seen.epoch);
    let handed_over = match seen.owner.clone().filter(|_| !seen.is_released) {
        _ if let Some(own) = own => own.records,
        Some((owner, run)) => ask_to_yield(entry, index, &owner, run, seen.epoch).await?,
        None => Vec::new(),
    };
    let epoch = fence(entry, index, seen.epoch).await?;
    read_on(entry, index, &mut seen).await?;
    // What a former owner hands over is out of date once another has claimed the shard.
    let handed_over = if seen.epoch == before { handed_over } else { Vec::new() };
    for record in &handed_over {
        seen.ledger.recover(record);
    }
    let owner = entry.settings.node.clone();
    let claim = LedgerRecord::Claim { epoch, owner, run: entry.incarnation };
    let records: Vec<Bytes> = handed_over.iter().chain([&claim]).map(encode).collect();
    let first = append_claim(entry, index, &records, Fence { epoch, number: 0 }).await?;
    check_claim(entry, index, first + handed_over.len() as u64, &claim).await?;
    info!(entry.logger, "shards: claimed"; "shard" => index, "epoch" => epoch,
        "after_epoch" => seen.epoch, "former_owner" => seen.owner.as_ref().map_or("none", |(it, _)| it.as_str()),
        "released" => seen.is_released, "handed_over" => handed_over.len(), "records" => seen.records, "programs" => seen.ledger.len());
    let is_lost = Arc::new(AtomicBool::new(false));
    let writer = Writer::start(entry, index, partition(index), epoch, is_lost.clone());
    Ok(Arc::new(Shard { epoch, ledger: Mutex::new(seen.ledger), writer: Some(writer), is_lost }))
}

/// Appends the claim's records, once more if the first answer was lost.
async fn append_claim(
    entry: &Entry,
    index: u32,
    records: &[Bytes],
    fence: Fence,
) -> Result<u64, StoreError> {
    let partition = partition(index);
    entry.metrics.appends.inc();
    match entry.store.append(&partition, records, Some(fence)).await {
        Err(StoreError::Unanswered(_)) => {
            entry.metrics.appends.inc();
            entry.store.append(&partition, records, Some(fence)).await
        }
        result => result,
    }
}

/// Reads a claim back: of two hosts that took the same epoch, the log takes the second for a
/// repetition of the first, and writes nothing.
async fn check_claim(
    entry: &Entry,
    index: u32,
    offset: u64,
    claim: &LedgerRecord,
) -> Result<(), StoreError> {
    let read = entry.store.read(&partition(index), offset, READ_BYTES, Duration::ZERO).await?;
    let found = read.entries.first().filter(|it| it.offset == offset);
    let found = found.and_then(|it| postcard::from_bytes(&it.data).ok());
    if found.as_ref() == Some(claim) { Ok(()) } else { Err(StoreError::Fenced) }
}

/// Takes an epoch above all that the log has seen.
async fn fence(entry: &Entry, index: u32, last: u64) -> Result<u64, StoreError> {
    let own = entry.random.bits() % EPOCHS_PER_MS;
    let mut epoch = (entry.clock.now_ms() * EPOCHS_PER_MS + own).max(last + 1 + own);
    for _ in 0..MAX_EPOCHS {
        match entry.store.fence(&partition(index), epoch).await {
            Err(StoreError::Fenced) => epoch += EPOCH_STEP,
            result => return result.map(|()| epoch),
        }
    }
    Err(StoreError::Fenced)
}

/// Asks a former owner that still runs for its accounts.
async fn ask_to_yield(
    entry: &Arc<Entry>,
    index: u32,
    owner: &NodeName,
    run: Incarnation,
    epoch: u64,
) -> Result<Vec<LedgerRecord>, NotOwned> {
    let view = entry.view();
    let is_asked = |it: &&NodeState| {
        it.status < Status::Suspect && it.incarnation == run && it.node != entry.settings.node
    };
    let Some(running) = view.get(owner).filter(is_asked) else {
        return Ok(Vec::new());
    };
    match entry.peers.ask(running.contact.peer, PeerRequest::Yield { shard: index }).await {
        // Accounts of another claim than the last one say nothing of what followed it.
        Ok(PeerReply::Yielded(Some(yielded))) if yielded.epoch == epoch => Ok(yielded.records),
        Ok(PeerReply::Yielded(_)) => Ok(Vec::new()),
        // What this host believed of the owner was out of date.
        Ok(PeerReply::OwnedBy(owner)) => {
            let detail = format!("{owner} reaches the log again");
            Err(NotOwned { owner: Some(owner), detail })
        }
        reply => {
            warn!(entry.logger, "shards: the former owner did not yield"; "shard" => index,
                "owner" => %owner, "reply" => ?reply);
            Ok(Vec::new())
        }
    }
}

/// Answers another host that wants to claim a shard: an owner that can do its work stays.
pub(crate) fn answer_claimant(entry: &Entry, index: u32) -> PeerReply {
    let shard = entry.shards.get(index);
    let is_working = entry.phase() == Phase::Serving && entry.has_log();
    if is_working && shard.is_some_and(|it| it.writer.is_some()) {
        return PeerReply::OwnedBy(entry.settings.node.clone());
    }
    PeerReply::Yielded(give_up(entry, index))
}

/// The accounts of a shard that a node has given up.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Yielded {
    /// The epoch of the claim from which they come.
    pub epoch: u64,
    /// What a successor has to know.
    pub records: Vec<LedgerRecord>,
}

/// Stops granting for a shard, and returns what its successor has to know.
pub(crate) fn give_up(entry: &Entry, index: u32) -> Option<Yielded> {
    let shard = entry.shards.owned().remove(&index)?;
    let is_lost = shard.is_lost.swap(true, Ordering::Relaxed);
    info!(entry.logger, "shards: given up"; "shard" => index, "was_lost" => is_lost);
    (!is_lost).then(|| Yielded { epoch: shard.epoch, records: shard.ledger().release(shard.epoch) })
}

/// What a partition has told so far.
#[derive(Default)]
struct Seen {
    next: u64,
    epoch: u64,
    /// The last owner and the run of its process.
    owner: Option<(NodeName, Incarnation)>,
    is_released: bool,
    records: usize,
    ledger: Ledger,
}

/// Reads a partition to its end.
async fn read_on(entry: &Entry, index: u32, seen: &mut Seen) -> Result<(), StoreError> {
    let partition = partition(index);
    loop {
        let read = entry.store.read(&partition, seen.next, READ_BYTES, Duration::ZERO).await;
        let read = match read {
            Err(StoreError::Expired { first }) => {
                seen.next = first;
                continue;
            }
            read => read?,
        };
        for it in &read.entries {
            seen.next = it.offset + 1;
            seen.take(entry, index, &it.data);
        }
        if read.end <= seen.next || read.entries.is_empty() {
            return Ok(());
        }
    }
}

impl Seen {
    fn take(&mut self, entry: &Entry, index: u32, data: &[u8]) {
        let record: LedgerRecord = match postcard::from_bytes(data) {
            Ok(record) => record,
            Err(error) => {
                warn!(entry.logger, "shards: a record is not in the expected form";
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
            LedgerRecord::Ceiling { .. } | LedgerRecord::Settled { .. } => (),
        }
        self.ledger.recover(&record);
    }
}

fn encode(record: &LedgerRecord) -> Bytes {
    postcard::to_stdvec(record).expect("a record serialises").into()
}

/// Hands a shard on to the host that is next for it, where the log is away: nobody could claim it.
///
/// Returns whether that host has taken it on.
pub(crate) async fn hand_on(entry: &Arc<Entry>, index: u32) -> bool {
    let view = entry.view();
    let others = view.live().filter(|it| it.node != entry.settings.node).map(|it| &it.node);
    let Some(next) = rank(&format!("shard-{index}"), others).into_iter().next() else {
        return false;
    };
    let Some(shard) = entry.shards.owned().remove(&index) else {
        return false;
    };
    let ledger = shard.ledger().hand_on(entry.now());
    shard.is_lost.store(true, Ordering::Relaxed);
    let Some(peer) = view.get(&next).map(|it| it.contact.peer) else {
        return false;
    };
    let epoch = shard.epoch;
    let request = PeerRequest::TakeOn { shard: index, epoch, ledger: Box::new(ledger) };
    let is_taken = matches!(entry.peers.ask(peer, request).await, Ok(PeerReply::Done));
    info!(entry.logger, "shards: handed on"; "shard" => index, "to" => %next, "taken" => is_taken);
    entry.shards.set_owner(index, Some(next));
    is_taken
}

/// Goes on with a shard in the stead of its owner, which has closed its ledger.
///
/// Accounts from an earlier claim than this node's own are dropped: they are out of date here.
pub(crate) fn take_on(entry: &Entry, index: u32, epoch: u64, mut ledger: Ledger) {
    ledger.take_on(entry.now());
    let mut owned = entry.shards.owned();
    let is_newer = owned.get(&index).is_none_or(|it| it.is_lost() && it.epoch <= epoch);
    info!(entry.logger, "shards: taken on"; "shard" => index, "epoch" => epoch,
        "programs" => ledger.len(), "kept" => is_newer);
    if is_newer {
        let ledger = Mutex::new(ledger);
        let shard = Shard { epoch, ledger, writer: None, is_lost: Arc::default() };
        owned.insert(index, Arc::new(shard));
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
