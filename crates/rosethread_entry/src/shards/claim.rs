//! Claims of shards: a higher epoch, after which the log refuses the former owner, then all that was
//! recorded, and the accounts of a former owner that still runs.

use std::{
    sync::{Arc, Mutex, atomic::AtomicBool},
    time::Duration,
};

use bytes::Bytes;
use rosethread_membership::{NodeState, Status};
use rosethread_platform::{Fence, StoreError};
use rosethread_types::{Incarnation, NodeName};
use slog::{info, warn};

use crate::{
    entry::Entry,
    ledger::{Ledger, LedgerRecord},
    peers::{PeerReply, PeerRequest},
    shards::{NotOwned, Shard, encode, give_up, partition, writer::Writer},
};

/// Bytes asked for by one read of a partition.
const READ_BYTES: usize = 1 << 20;

/// Epochs in a millisecond, so that hosts which claim at the same time take different ones.
const EPOCHS_PER_MS: u64 = 1_000;

/// How much higher the next epoch is after one was refused: clocks of hosts differ by less.
const EPOCH_STEP: u64 = 10_000 * EPOCHS_PER_MS;

/// How often a claim takes a higher epoch before it gives up.
const MAX_EPOCHS: u32 = 5;

/// Claims a shard, unless its owner can do its work.
pub(super) async fn claim(entry: &Arc<Entry>, index: u32) -> Result<Arc<Shard>, NotOwned> {
    let mut seen = Seen::default();
    read_on(entry, index, &mut seen).await?;
    let before = seen.epoch;
    let holds = entry.shards.get(index).is_some_and(|it| it.epoch == seen.epoch);
    let handed_over = match seen.owner.clone().filter(|_| !seen.is_released && !holds) {
        Some((owner, run)) => ask_to_yield(entry, index, &owner, run, seen.epoch).await?,
        None => Vec::new(),
    };
    let own = give_up(entry, index).filter(|it| it.epoch == seen.epoch);
    let handed_over = own.map_or(handed_over, |it| it.records);
    let epoch = fence(entry, index, seen.epoch).await?;
    read_on(entry, index, &mut seen).await?;
    // What a former owner hands over is out of date once another has claimed the shard.
    let handed_over = if seen.epoch == before { handed_over } else { Vec::new() };
    for record in &handed_over {
        seen.ledger.replay(record);
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
    seen.ledger.reset_last_used(entry.now());
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
    match entry.shared_log.append(&partition, records, Some(fence)).await {
        Err(StoreError::Unanswered(_)) => {
            entry.metrics.appends.inc();
            entry.shared_log.append(&partition, records, Some(fence)).await
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
    let read = entry.shared_log.read(&partition(index), offset, READ_BYTES, Duration::ZERO).await?;
    let found = read.entries.first().filter(|it| it.offset == offset);
    let found = found.and_then(|it| postcard::from_bytes(&it.data).ok());
    if found.as_ref() == Some(claim) { Ok(()) } else { Err(StoreError::Fenced) }
}

/// Takes an epoch above all that the log has seen.
async fn fence(entry: &Entry, index: u32, last: u64) -> Result<u64, StoreError> {
    let own = entry.random.next_u64() % EPOCHS_PER_MS;
    let mut epoch = (entry.clock.now_ms() * EPOCHS_PER_MS + own).max(last + 1 + own);
    for _ in 0..MAX_EPOCHS {
        match entry.shared_log.fence(&partition(index), epoch).await {
            Err(StoreError::Fenced) => epoch += EPOCH_STEP,
            result => return result.map(|()| epoch),
        }
    }
    Err(StoreError::Fenced)
}

/// Asks the owner that the log names, if it still runs, for its accounts; it keeps the shard if it
/// can do its work.
///
/// The log says who claimed last, not who owns: that claim may not have ended, or may have been
/// fenced since by one that did not end. An owner stays for as long as it works, since a change of
/// hands costs more than an even spread is worth.
async fn ask_to_yield(
    entry: &Arc<Entry>,
    index: u32,
    owner: &NodeName,
    run: Incarnation,
    epoch: u64,
) -> Result<Vec<LedgerRecord>, NotOwned> {
    let is_running = |it: &&NodeState| {
        it.status <= Status::Suspect && it.incarnation == run && it.node != entry.settings.node
    };
    let contact = entry.view().get(owner).filter(is_running).map(|it| it.contact.peer);
    let Some(contact) = contact else {
        return Ok(Vec::new());
    };
    let refusal = |detail: String| NotOwned { owner: Some(owner.clone()), detail };
    match entry.peers.request(contact, PeerRequest::Yield { shard: index }).await {
        // Accounts of another claim than the last one say nothing of what followed it.
        Ok(PeerReply::Yielded(Some(yielded))) if yielded.epoch == epoch => Ok(yielded.records),
        Ok(PeerReply::Yielded(yielded)) => {
            info!(entry.logger, "shards: the owner in the log has no accounts"; "shard" => index,
                "epoch" => epoch, "owner" => %owner,
                "of_epoch" => yielded.map_or(0, |it| it.epoch));
            Ok(Vec::new())
        }
        Ok(PeerReply::OwnedBy(_)) => Err(refusal(format!("{owner} owns it since epoch {epoch}"))),
        reply => {
            // What is believed of it may have changed while it was asked.
            let view = entry.view();
            let running = view.get(owner).filter(is_running);
            let is_working =
                running.is_some_and(|it| it.status != Status::Leaving && it.summary.has_log);
            warn!(entry.logger, "shards: the former owner did not yield"; "shard" => index,
                "owner" => %owner, "reply" => ?reply, "is_working" => is_working);
            if is_working {
                Err(refusal(format!("{owner} does not reply")))
            } else {
                Ok(Vec::new())
            }
        }
    }
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
        let read = entry.shared_log.read(&partition, seen.next, READ_BYTES, Duration::ZERO).await;
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
        self.ledger.replay(&record);
    }
}
