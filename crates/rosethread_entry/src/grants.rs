//! Asks a program's owner whether a turn may run, and tells it how the turn ended.

use std::{
    collections::{BTreeSet, VecDeque},
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use futures::future::join_all;
use rosethread_types::{NodeName, Reason, Refusal};
use slog::{debug, info, warn};
use tokio::time::{Instant, sleep, timeout};

use crate::{
    entry::Entry,
    ledger::{GrantRequest, Settlement, Verdict},
    peers::{PeerError, PeerReply, PeerRequest},
    shards::{self, NotOwned, Shard, candidates_for, responsible_for},
};

/// The longest wait for an owner's decision before the turn is refused.
const GRANT_TIME: Duration = Duration::from_millis(1_200);

/// The pause before an owner is asked again.
const ASK_AGAIN: Duration = Duration::from_millis(60);

/// The longest wait for a record that a turn needs.
const RECORD_TIME: Duration = Duration::from_millis(500);

/// What a caller is told to wait when no owner could decide.
const RETRY_AFTER: Duration = Duration::from_millis(300);

/// How often the end of a turn is told to a host.
const SETTLE_TRIES: u32 = 4;

/// The hosts that were asked for one turn's tokens, each of which may grant them yet.
#[derive(Debug, Default)]
pub(crate) struct AskedHosts(Mutex<BTreeSet<NodeName>>);

impl AskedHosts {
    fn lock(&self) -> MutexGuard<'_, BTreeSet<NodeName>> {
        self.0.lock().expect("no holder of the asked hosts panics")
    }
}

/// Asks for tokens, here or at the owner, until `deadline`.
pub(crate) async fn request_grant(
    entry: &Arc<Entry>,
    shard: u32,
    ask: &GrantRequest,
    asked: &AskedHosts,
    deadline: Instant,
) -> Result<Verdict, Refusal> {
    let started = Instant::now();
    let until = deadline.min(started + GRANT_TIME);
    loop {
        let reason = match ask_once(entry, shard, ask, asked).await {
            Ok(verdict) => {
                entry.metrics.grant_seconds.observe(started.elapsed().as_secs_f64());
                entry.metrics.verdicts.with_label_values(&[label(&verdict)]).inc();
                return Ok(verdict);
            }
            Err(reason) => reason,
        };
        if until < Instant::now() + ASK_AGAIN {
            let detail = format!("no owner of shard {shard} could decide: {reason}");
            return Err(Refusal::not_run(Reason::NotOwner, detail).retry_after(RETRY_AFTER));
        }
        sleep(ASK_AGAIN).await;
    }
}

fn label(verdict: &Verdict) -> &'static str {
    match verdict {
        Verdict::Granted { .. } => "granted",
        Verdict::Record(_) => "record",
        Verdict::Spent => "spent",
        Verdict::Uncertain => "uncertain",
        Verdict::Closed => "closed",
    }
}

/// Asks the node that decided last, then those that may be responsible, and whom they name.
async fn ask_once(
    entry: &Arc<Entry>,
    shard: u32,
    ask: &GrantRequest,
    asked: &AskedHosts,
) -> Result<Verdict, String> {
    let last = entry.shards.last_owner(shard).filter(|it| entry.view().is_running(it));
    let mut nodes: VecDeque<NodeName> = last.into_iter().collect();
    let mut has_candidates = false;
    let mut tried = BTreeSet::new();
    let mut reasons = Vec::new();
    loop {
        // They are worked out from all hosts, so only when the last owner does not decide.
        if nodes.is_empty() && !std::mem::replace(&mut has_candidates, true) {
            nodes.extend(candidates_for(entry, shard));
        }
        let Some(owner) = nodes.pop_front() else {
            break;
        };
        if !tried.insert(owner.clone()) {
            continue;
        }
        asked.lock().insert(owner.clone());
        match ask_owner(entry, shard, &owner, ask).await {
            Ok(verdict) => {
                entry.shards.set_owner(shard, Some(owner));
                return Ok(verdict);
            }
            Err(error) => {
                nodes.extend(error.owner);
                reasons.push(format!("{owner}: {}", error.detail));
            }
        }
    }
    entry.shards.set_owner(shard, None);
    Err(reasons.join("; "))
}

async fn ask_owner(
    entry: &Arc<Entry>,
    shard: u32,
    owner: &NodeName,
    ask: &GrantRequest,
) -> Result<Verdict, NotOwned> {
    if *owner == entry.settings.node {
        return decide(entry, shard, ask).await;
    }
    let unable = |detail: String| NotOwned { owner: None, detail };
    let view = entry.view();
    let state = view.get(owner).ok_or_else(|| unable("it is not known".to_owned()))?;
    let request = PeerRequest::Ask { shard, ask: ask.clone() };
    match entry.peers.request(state.contact.peer, request).await {
        Ok(PeerReply::Verdict(verdict)) => Ok(verdict),
        Ok(PeerReply::OwnedBy(other)) => {
            Err(NotOwned { detail: format!("{other} is the owner"), owner: Some(other) })
        }
        Ok(PeerReply::Unable(reason)) => Err(unable(reason)),
        Ok(_) => Err(unable("another kind of reply".to_owned())),
        Err(error) => Err(unable(error.to_string())),
    }
}

/// Decides as the owner; the reason of an error is for logs.
pub(crate) async fn decide(
    entry: &Arc<Entry>,
    index: u32,
    ask: &GrantRequest,
) -> Result<Verdict, NotOwned> {
    let shard = shards::ensure_owned(entry, index).await?;
    let unable = |detail: String| NotOwned { owner: None, detail };
    loop {
        let verdict = {
            let ended = entry.shards.ended();
            if ended.get(&index).is_some_and(|it| it.contains(ask.grant)) {
                return Err(unable("the turn has ended".to_owned()));
            }
            shard.ledger().request_grant(ask, entry.now())
        };
        match verdict {
            Verdict::Record(ceiling) => record(&shard, ask, ceiling).await.map_err(unable)?,
            Verdict::Granted { .. } => {
                record_ahead(entry, &shard, ask);
                return Ok(verdict);
            }
            Verdict::Closed => return Err(unable("the shard was handed over".to_owned())),
            Verdict::Spent | Verdict::Uncertain => {
                if let Some(record) = shard.ledger().spent_record(&ask.program) {
                    // Nobody waits for it: without it a successor is only less certain.
                    drop(shard.record(record));
                }
                log_verdict(entry, index, &shard, ask, &verdict);
                return Ok(verdict);
            }
        }
    }
}

/// Logs why a turn got no tokens.
fn log_verdict(entry: &Entry, index: u32, shard: &Shard, ask: &GrantRequest, verdict: &Verdict) {
    let balance = shard.ledger().balance(&ask.program);
    info!(entry.logger, "grants: no tokens"; "verdict" => label(verdict), "shard" => index,
        "epoch" => shard.epoch(), "program" => %ask.program, "id" => %ask.request,
        "session" => %ask.session, "budget" => ask.budget, "tokens" => ask.tokens,
        "spent" => balance.spent, "uncertain" => balance.uncertain, "open" => balance.open,
        "turns" => balance.turns, "ceiling" => balance.ceiling);
}

/// Records a higher ceiling and waits for it.
async fn record(shard: &Shard, ask: &GrantRequest, tokens: u64) -> Result<(), String> {
    let ceiling = shard.ledger().ceiling_record(&ask.program, tokens);
    let receiver = shard.record(ceiling);
    match timeout(RECORD_TIME, receiver).await {
        Ok(Ok(true)) => {
            shard.ledger().confirm_ceiling(&ask.program, tokens);
            Ok(())
        }
        Ok(Ok(false)) => Err("the shard has another owner".to_owned()),
        Ok(Err(_)) => Err("the accounts were handed on without the log, or are lost".to_owned()),
        Err(_) => Err("the log does not take records".to_owned()),
    }
}

/// Records the ceiling that the program's next turn will need, without waiting.
fn record_ahead(entry: &Arc<Entry>, shard: &Arc<Shard>, ask: &GrantRequest) {
    let (tokens, ceiling) = {
        let mut ledger = shard.ledger();
        let Some(tokens) = ledger.plan_ceiling(&ask.program, ask.tokens) else {
            return;
        };
        (tokens, ledger.ceiling_record(&ask.program, tokens))
    };
    let receiver = shard.record(ceiling);
    let (shard, program) = (shard.clone(), ask.program.clone());
    entry.tasks.spawn(async move {
        match receiver.await {
            Ok(true) => shard.ledger().confirm_ceiling(&program, tokens),
            Ok(false) | Err(_) => shard.ledger().cancel_ceiling(&program),
        }
    });
}

/// Takes note of a turn's end, as the owner or as a host that was asked for its tokens.
pub(crate) fn settle(entry: &Entry, index: u32, settlement: &Settlement) {
    let now = entry.now();
    let (is_new, is_held) = {
        let mut ended = entry.shards.ended();
        let is_new = ended.entry(index).or_default().insert(settlement.grant, now);
        // An end that is told again, since its answer was lost, counts once.
        let shard = entry.shards.get(index).filter(|_| is_new);
        (is_new, shard.is_some_and(|it| it.ledger().settle(settlement, now)))
    };
    // A turn that was refused holds nothing and has used nothing, which is no news.
    if is_new && !is_held && settlement.used != 0 {
        info!(entry.logger, "grants: a turn ended under another owner"; "shard" => index,
            "program" => %settlement.program, "id" => %settlement.request,
            "used" => settlement.used);
    }
}

/// Tells the owner and all hosts that were asked how a turn ended, without waiting for them.
///
/// An owner that never hears of it counts the grant in full.
pub(crate) fn report_settlement(
    entry: &Arc<Entry>,
    shard: u32,
    asked: &AskedHosts,
    settlement: Settlement,
) {
    let (entry, mut hosts) = (entry.clone(), asked.lock().clone());
    entry.tasks.clone().spawn(async move {
        let mut told = BTreeSet::new();
        for attempt in 0..SETTLE_TRIES {
            // The shard may have passed to another host since the last try.
            let last = entry.shards.last_owner(shard);
            hosts.extend(last.or_else(|| responsible_for(&entry, shard)));
            let untold: Vec<NodeName> = hosts.difference(&told).cloned().collect();
            let results = join_all(untold.iter().map(|it| tell(&entry, shard, it, &settlement)));
            let mut is_done = true;
            for (host, result) in untold.iter().zip(results.await) {
                match result {
                    Ok(()) => drop(told.insert(host.clone())),
                    Err(error) if attempt + 1 == SETTLE_TRIES => {
                        warn!(entry.logger, "grants: a host was not told of a turn's end";
                            "program" => %settlement.program, "id" => %settlement.request,
                            "host" => %host, "error" => %error);
                    }
                    Err(_) => is_done = false,
                }
            }
            if is_done {
                return;
            }
            sleep(ASK_AGAIN * (attempt + 1)).await;
        }
    });
}

/// Tells one host how a turn ended; one that is no longer known need not hear of it.
async fn tell(
    entry: &Entry,
    shard: u32,
    host: &NodeName,
    settlement: &Settlement,
) -> Result<(), PeerError> {
    if *host == entry.settings.node {
        settle(entry, shard, settlement);
        return Ok(());
    }
    let Some(contact) = entry.view().get(host).map(|it| it.contact.peer) else {
        debug!(entry.logger, "grants: a turn ended whose owner is not known any more";
            "host" => %host, "program" => %settlement.program, "id" => %settlement.request);
        return Ok(());
    };
    let request = PeerRequest::Settle { shard, settlement: settlement.clone() };
    entry.peers.request(contact, request).await.map(drop)
}
