//! Requests tokens for a turn from the owner of its program's shard.

use std::{
    collections::{BTreeSet, VecDeque},
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use rosethread_types::{Incarnation, NodeName, ProgramLabel, Reason, Refusal, Tokens};
use slog::info;
use tokio::time::{Instant, sleep, timeout, timeout_at};

use crate::{
    entry::Entry,
    ledger::{GrantRequest, Ledger, Verdict},
    peers::{PeerReply, PeerRequest},
    shards::{self, NotOwned, Shard, Urgency, candidates_for},
};

/// The maximum time to wait for an owner's decision before the turn is refused.
const GRANT_TIMEOUT: Duration = Duration::from_millis(1_200);

/// The delay before a request is sent again.
const RETRY_DELAY: Duration = Duration::from_millis(60);

/// The maximum time that a turn waits for the record of a higher ceiling.
pub(crate) const RECORD_TIMEOUT: Duration = Duration::from_millis(500);

/// The maximum time that a turn waits for the settlement of others in progress before it is refused.
///
/// A refused caller comes back after 500 ms, so a wait that is shorter serves it sooner, or costs it less than
/// that. What is left of the time-out of a request between hosts is for a record of the ceiling.
const SETTLEMENT_TIMEOUT: Duration = Duration::from_millis(400);

/// The retry delay returned to the caller when no owner could decide.
const RETRY_AFTER: Duration = Duration::from_millis(300);

/// The hosts that were asked for one turn's tokens. Each may still grant them, even if its reply
/// was lost, so each has to receive the settlement.
#[derive(Debug, Default)]
pub(crate) struct AskedHosts(Mutex<Asked>);

/// The hosts that were asked so far, and the one that granted the tokens.
#[derive(Clone, Debug, Default)]
pub(crate) struct Asked {
    pub(crate) hosts: BTreeSet<NodeName>,
    /// What a later owner needs to know to settle a stored turn.
    pub(crate) granted: Option<Granted>,
}

/// The tokens that an owner has reserved for one grant alone.
#[derive(Clone, Debug)]
pub(crate) struct Granted {
    pub(crate) owner: NodeName,
    /// The owner's process, if it was known.
    pub(crate) run: Option<Incarnation>,
    pub(crate) tokens: Tokens,
    /// The epoch of the owner's claim.
    pub(crate) epoch: u64,
}

impl AskedHosts {
    fn lock(&self) -> MutexGuard<'_, Asked> {
        self.0.lock().expect("no code panics while it holds the asked hosts")
    }

    pub(crate) fn get(&self) -> Asked {
        self.lock().clone()
    }

    /// Records the verdict of the host `owner`.
    fn record_verdict(
        &self,
        entry: &Entry,
        owner: &NodeName,
        ask: &GrantRequest,
        verdict: &Verdict,
    ) {
        if let Verdict::Granted { reserved: Some(epoch), .. } = verdict
            && ask.is_stored
        {
            let run = entry.view().get(owner).map(|it| it.incarnation);
            let granted = Granted { owner: owner.clone(), run, tokens: ask.tokens, epoch: *epoch };
            self.lock().granted = Some(granted);
        }
    }
}

/// Requests a grant from the shard's owner, which may be this node, and retries until `deadline`.
pub(crate) async fn request_grant(
    entry: &Arc<Entry>,
    shard: u32,
    ask: &GrantRequest,
    asked: &AskedHosts,
    deadline: Instant,
) -> Result<Verdict, Refusal> {
    let started = Instant::now();
    let give_up_at = deadline.min(started + GRANT_TIMEOUT);
    loop {
        let reason = match ask_candidates(entry, shard, ask, asked).await {
            Ok(verdict) => {
                entry.metrics.grant_seconds.observe(started.elapsed().as_secs_f64());
                entry.metrics.verdicts.with_label_values(&[verdict_label(&verdict)]).inc();
                return Ok(verdict);
            }
            Err(reason) => reason,
        };
        if give_up_at < Instant::now() + RETRY_DELAY {
            let detail = format!("no owner of shard {shard} could decide: {reason}");
            return Err(Refusal::not_run(Reason::NotOwner, detail).retry_after(RETRY_AFTER));
        }
        sleep(RETRY_DELAY).await;
    }
}

/// Returns the value of the `verdict` label in metrics and logs.
fn verdict_label(verdict: &Verdict) -> &'static str {
    match verdict {
        Verdict::Granted { .. } => "granted",
        Verdict::Record(_) => "record",
        Verdict::Spent => "spent",
        Verdict::Uncertain => "uncertain",
        Verdict::Closed => "closed",
    }
}

/// Asks the last known owner, then the nodes that may be responsible, then the owners that these
/// name, until one decides. The error joins the reasons of all of them.
async fn ask_candidates(
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
        // Ranking all hosts takes time, so candidates are computed only if the last owner does not
        // decide.
        if nodes.is_empty() && !std::mem::replace(&mut has_candidates, true) {
            nodes.extend(candidates_for(entry, shard));
        }
        let Some(owner) = nodes.pop_front() else {
            break;
        };
        if !tried.insert(owner.clone()) {
            continue;
        }
        asked.lock().hosts.insert(owner.clone());
        match ask_owner(entry, shard, &owner, ask).await {
            Ok(verdict) => {
                asked.record_verdict(entry, &owner, ask, &verdict);
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

/// Asks one node for its decision; the error names the owner if the node knows another one.
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
    let state =
        view.last_state(owner).ok_or_else(|| unable("the node is not known here".to_owned()))?;
    let request = PeerRequest::Ask { shard, ask: ask.clone() };
    match entry.peers.request(state.contact.peer, request).await {
        Ok(PeerReply::Verdict(verdict)) => Ok(verdict),
        Ok(PeerReply::OwnedBy(other)) => {
            Err(NotOwned { detail: format!("{other} is the owner"), owner: Some(other) })
        }
        Ok(PeerReply::Unable(reason)) => Err(unable(reason)),
        Ok(_) => Err(unable("unexpected kind of reply".to_owned())),
        Err(error) => Err(unable(error.to_string())),
    }
}

/// Decides as the owner, after claiming the shard and recording a higher ceiling where necessary.
pub(crate) async fn decide(
    entry: &Arc<Entry>,
    index: u32,
    ask: &GrantRequest,
) -> Result<Verdict, NotOwned> {
    let shard = shards::ensure_owned(entry, index).await?;
    let unable = |detail: String| NotOwned { owner: None, detail };
    let give_up_at = Instant::now() + SETTLEMENT_TIMEOUT;
    loop {
        let settled = shard.settled.notified();
        if !shard.is_confirmed(entry) {
            shard.confirm(entry, index).await?;
            continue;
        }
        let verdict = {
            let ended = entry.shards.ended();
            if ended.get(&index).is_some_and(|it| it.contains(ask.grant)) {
                return Err(unable("the turn has ended".to_owned()));
            }
            shard.ledger().request_grant(ask, entry.now())
        };
        if verdict == Verdict::Uncertain
            && shard.ledger().balance(&ask.program).may_fit(ask.budget, ask.tokens)
            && timeout_at(give_up_at, settled).await.is_ok()
        {
            continue;
        }
        match verdict {
            Verdict::Record(tokens) => raise_ceiling(&shard, ask, tokens).await.map_err(unable)?,
            Verdict::Granted { .. } => {
                record_ceiling(entry, &shard, &ask.program, Urgency::Now, |it| {
                    it.plan_ceiling(&ask.program, ask.tokens)
                });
                return Ok(verdict);
            }
            Verdict::Closed => return Err(unable("the shard was handed over".to_owned())),
            Verdict::Spent | Verdict::Uncertain => {
                if let Some(record) = shard.ledger().spent_record(&ask.program) {
                    // Not awaited: without the record a new owner only answers `Uncertain`.
                    drop(shard.record_all(&[record], Urgency::Soon));
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
    info!(entry.logger, "grants: no tokens"; "verdict" => verdict_label(verdict), "shard" => index,
        "epoch" => shard.epoch(), "program" => %ask.program, "id" => %ask.request,
        "session" => %ask.session, "budget" => ask.budget, "tokens" => ask.tokens,
        "spent" => balance.spent, "uncertain" => balance.uncertain, "open" => balance.open,
        "turns" => balance.turns, "ceiling" => balance.ceiling);
}

/// Records a higher ceiling, and waits until it is in the log.
async fn raise_ceiling(shard: &Shard, ask: &GrantRequest, tokens: u64) -> Result<(), String> {
    let (queued, receiver) = shard.queue(|it| it.raise_ceiling(&ask.program, tokens));
    match timeout(RECORD_TIMEOUT, receiver).await {
        Ok(Ok(true)) => {
            shard.confirm_ceiling(&queued);
            Ok(())
        }
        Ok(Ok(false)) => Err("the shard has another owner".to_owned()),
        Ok(Err(_)) => Err("the shard is lost, or was transferred without the log".to_owned()),
        Err(_) => Err("the log does not take records".to_owned()),
    }
}

/// Records in the background the ceiling that `plan` returns, if it returns one.
pub(crate) fn record_ceiling(
    entry: &Entry,
    shard: &Arc<Shard>,
    program: &ProgramLabel,
    urgency: Urgency,
    plan: impl FnOnce(&Ledger) -> Option<Tokens>,
) {
    let planned = |ledger: &mut Ledger| Some(ledger.queue_ceiling(program, plan(ledger)?));
    let Some((queued, receiver)) = shard.queue_some(urgency, planned) else {
        return;
    };
    let shard = shard.clone();
    entry.tasks.spawn(async move {
        match receiver.await {
            Ok(true) => shard.confirm_ceiling(&queued),
            Ok(false) | Err(_) => shard.ledger().cancel_ceiling(&queued),
        }
    });
}
