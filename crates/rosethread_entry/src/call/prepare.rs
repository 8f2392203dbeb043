//! Admission of a call before dispatch: its route, deadline, history and token grant.

use std::sync::{
    Arc, Mutex, MutexGuard,
    atomic::{AtomicBool, AtomicU64, Ordering},
};

use bytes::{Bytes, BytesMut};
use rosethread_types::{Reason, Refusal, ServiceName, TargetName, Tokens};
use slog::info;
use std::time::Duration;
use tokio::time::Instant;

use crate::{
    admission,
    call::{Attempts, Call, ProgramContext, leaving_refusal},
    entry::Entry,
    grants::{self, AskedHosts},
    history,
    ledger::{GrantId, GrantRequest, Settlement, Verdict},
    origins::{self, AllowedSoftware},
    quota::{self, QuotaToken},
    registry::Target,
    routes::{Route, Routes},
    settlements,
    shards::shard_of,
};

/// Retry delay sent to callers while a host that has just started has no routes.
const ROUTES_RETRY: Duration = Duration::from_millis(500);

/// Retry delay sent to callers while unfinished turns may use the rest of a budget.
const UNCERTAIN_RETRY: Duration = Duration::from_millis(500);

/// Retry delay sent to callers when another host can probably serve them at once.
pub(super) const OTHER_HOST_RETRY: Duration = Duration::from_millis(20);

/// The time after the deadline of a call within which its answer has been sent.
const ANSWER_TIME: Duration = Duration::from_millis(100);

/// Lower bound on the retry delay sent to callers during an outage of the log.
const MIN_OUTAGE_RETRY: Duration = Duration::from_millis(500);

/// Upper bound on the retry delay sent to callers during an outage of the log.
const MAX_OUTAGE_RETRY: Duration = Duration::from_millis(2_000);

/// Timeout of a call without a deadline of its own, unless its route's timeout is shorter.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(600);

/// The rank that engines serve last; rank 0 is served first.
const LOWEST_RANK: u8 = 9;

/// An admitted call with everything that its dispatch needs.
pub(crate) struct PreparedCall {
    pub(crate) entry: Arc<Entry>,
    pub(crate) call: Call,
    pub(crate) route: Arc<Route>,
    /// The routes that were in force when the call was admitted.
    pub(crate) routes: Arc<Routes>,
    /// The service picked from those of the route.
    pub(crate) service: ServiceName,
    pub(crate) deadline: Instant,
    /// The body for the target: the stored history, if any, followed by the call's own body.
    pub(crate) body: Bytes,
    /// Whether the turn is stored as the first of a chain, because it has no previous turn or the
    /// previous turn is stored in another shard.
    pub(crate) starts_chain: bool,
    /// The shard of the call's program; zero for a call without a program.
    pub(crate) shard: u32,
    /// The versions of the software that may run the call.
    pub(crate) allowed: AllowedSoftware,
    /// The target that most likely caches the session's prompt, according to the program's owner.
    pub(crate) home: Option<TargetName>,
    /// The rank among the engine's requests; a lower number is served earlier.
    pub(crate) rank: u8,
    /// The granted tokens, for a turn of a program with a budget.
    grant: Option<Grant>,
    /// The token of its organisation's limit, if it has one.
    token: Option<QuotaToken>,
}

impl PreparedCall {
    /// Finds the route, loads the history and gets the token grant of a call, or refuses the call.
    ///
    /// The routes are those by which the caller was identified.
    pub(crate) async fn prepare(
        entry: &Arc<Entry>,
        routes: Arc<Routes>,
        call: Call,
    ) -> Result<PreparedCall, Refusal> {
        if routes.revision.0 == 0 {
            let detail = "no routes have been loaded yet";
            return Err(Refusal::not_run(Reason::NoDocument, detail).retry_after(ROUTES_RETRY));
        }
        let path = call.path.split('?').next().unwrap_or_default();
        let Some(route) = routes.find(&call.host, path).cloned() else {
            let detail = format!("no route matches {} {path}", call.host);
            return Err(Refusal::not_run(Reason::UnknownRoute, detail));
        };
        let Some(service) = route.pick_service(entry.random.next_u64()).cloned() else {
            let detail = format!("route {} has no service", route.name);
            return Err(Refusal::not_run(Reason::NoTarget, detail));
        };
        let timeout = call.timeout.unwrap_or(DEFAULT_TIMEOUT).min(route.timeout);
        let deadline = call.arrived + timeout;
        refuse_beyond_end(entry, deadline)?;
        refuse_during_outage(entry, &call, &route, timeout)?;
        let allowed = origins::find_allowed(entry, &call, &service).await?;
        let shard = call.program.as_ref().map_or(0, |it| shard_of(entry, &it.program));
        let checks = async {
            let body = target_body(entry, &call, &route, shard, deadline).await?;
            Ok((body, admit(entry, &call, &route, shard, deadline).await?))
        };
        // A refusal of one drops the other, and what it was granted goes back.
        let token = quota::take_token(entry, &routes, &call);
        let (token, ((body, starts_chain), admission)) = tokio::try_join!(token, checks)?;
        let is_new = admission.grant.is_some() && !admission.underway && call.previous.is_none();
        if admission.grant.is_some() {
            admission::refuse_overload(entry, &call, &route, &service, deadline, is_new)?;
        }
        Ok(PreparedCall {
            entry: entry.clone(),
            rank: rank(call.priority(&route), admission.underway),
            allowed,
            home: admission.home,
            grant: admission.grant,
            call,
            route,
            routes,
            service,
            deadline,
            body,
            starts_chain,
            shard,
            token,
        })
    }

    /// Returns the time left until the deadline.
    pub(crate) fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Returns the tokens that one event of the service's streams stands for.
    pub(crate) fn event_tokens(&self) -> Tokens {
        let service = self.routes.services.get(&self.service);
        service.and_then(|it| it.engine).map_or(1, |it| it.event_tokens)
    }

    /// Charges tokens that are forwarded to the caller to the grant.
    pub(crate) fn count_tokens(&self, tokens: Tokens) {
        if let Some(grant) = &self.grant {
            grant.used.fetch_add(tokens, Ordering::Relaxed);
        }
    }

    /// Reports the tokens that the turn has used, before its end if all of them are known: the owner then
    /// records them while the turn is stored.
    pub(crate) fn settle_grant(&self) {
        if let Some(grant) = &self.grant {
            grant.report();
        }
    }

    /// Records whether a target may have run the call, which counts against its organisation's limit.
    pub(crate) fn set_spent(&self, is_spent: bool) {
        if let Some(token) = &self.token {
            token.set_spent(is_spent);
        }
    }

    /// Records the target that runs the call, for the program's owner.
    pub(crate) fn record_target(&self, target: &TargetName) {
        if let Some(grant) = &self.grant {
            grant.visited().ran = Some(target.clone());
        }
    }

    /// Records a target that failed the call, for the program's owner.
    pub(crate) fn record_failed_target(&self, target: &TargetName) {
        if let Some(grant) = &self.grant {
            grant.visited().failed = Some(target.clone());
        }
    }

    /// Logs and counts the end of a call to which a target responded.
    pub(crate) fn log_end(
        &self,
        outcome: &str,
        status: u16,
        target: &Target,
        attempts: &Attempts,
        first_event: Option<Duration>,
    ) {
        let (entry, call) = (&self.entry, &self.call);
        let kind = if self.route.is_stream() { "stream" } else { "whole" };
        let time = call.arrived.elapsed();
        entry.metrics.observe_call(kind, outcome, time);
        if let Some(first_event) = first_event {
            entry.metrics.first_event_seconds.observe(first_event.as_secs_f64());
        }
        let program = call.program.as_ref().map_or("", |it| it.program.as_str());
        let previous = call.previous.as_ref().map_or("", |it| it.as_str());
        let budget = call.program.as_ref().and_then(|it| it.budget).unwrap_or(0);
        info!(entry.logger, "call: ended"; "id" => %call.id, "program" => program,
            "previous" => previous, "budget" => budget, "route" => &*self.route.name,
            "organisation" => call.identity.name(), "routes" => self.routes.revision.0,
            "target" => %target.name,
            "software" => target.software.as_ref().map_or("", |it| it.as_str()),
            "resumes" => call.resumes.as_ref().map_or("", |it| it.as_str()), "home" => self.home.as_ref().map_or("", |it| it.as_str()),
            "outcome" => outcome, "status" => status, "sends" => attempts.sends,
            "rank" => self.rank,
            "tokens" => self.grant.as_ref().map_or(0, Grant::used),
            "granted" => self.grant.as_ref().map_or(0, |it| it.tokens),
            "running" => attempts.estimate.running, "to_read" => attempts.estimate.uncached_tokens,
            "token_us" => (attempts.estimate.per_token_s * 1e6) as u64,
            "slowness_percent" => (attempts.estimate.slowness * 100.0) as i64,
            "first_ms" => first_event.map_or(0, |it| it.as_millis() as u64),
            "ms" => time.as_millis() as u64,
            "targets_age_ms" => entry.targets_age_ms());
    }
}

/// Refuses a call whose deadline lies beyond the end of this host, which is shutting down. It might be
/// cut off, and a caller whose call may not run twice would never know whether it did.
pub(super) fn refuse_beyond_end(entry: &Entry, deadline: Instant) -> Result<(), Refusal> {
    let Some(cutoff) = entry.cutoff().filter(|it| *it < deadline + ANSWER_TIME) else {
        return Ok(());
    };
    let now = Instant::now();
    let (left, needed) =
        (cutoff.saturating_duration_since(now), deadline.saturating_duration_since(now));
    let detail = format!(
        "this host stops in {} ms, and the call may take {} ms",
        left.as_millis(),
        needed.as_millis()
    );
    Err(leaving_refusal(detail))
}

/// Refuses a new program with stored turns if an outage of the log is expected to outlast it.
///
/// The end of a stored turn is held back until the turn is in the log. How long an outage will last
/// is not known; it is expected to last as long again as it has lasted so far. A program that has
/// to finish sooner is refused at once, with a delay after which to retry. Programs already running
/// are not refused, since their work would be lost.
fn refuse_during_outage(
    entry: &Entry,
    call: &Call,
    route: &Route,
    timeout: Duration,
) -> Result<(), Refusal> {
    let finish = call.program.as_ref().and_then(|it| it.finish_within).unwrap_or(timeout);
    let is_new = route.history.is_some() && call.previous.is_none();
    let outage = entry.log_outage().filter(|it| is_new && finish <= *it);
    let Some(outage) = outage else {
        return Ok(());
    };
    let detail = format!("no host has reached the log for {} ms", outage.as_millis());
    let refusal = Refusal::not_run(Reason::JournalUnavailable, detail);
    Err(refusal.retry_after(outage.clamp(MIN_OUTAGE_RETRY, MAX_OUTAGE_RETRY)))
}

/// Returns the body for the target with the stored history prepended, and whether the turn starts a
/// chain.
async fn target_body(
    entry: &Arc<Entry>,
    call: &Call,
    route: &Route,
    shard: u32,
    deadline: Instant,
) -> Result<(Bytes, bool), Refusal> {
    if route.history.is_none() {
        return Ok((call.body.clone(), true));
    }
    if call.resume_after.is_some() {
        let detail =
            "the events before the interruption are not stored, so the stream cannot be resumed";
        return Err(Refusal::not_run(Reason::HistoryNeeded, detail).retry_after(ROUTES_RETRY));
    }
    let Some(previous) = &call.previous else {
        return Ok((call.body.clone(), true));
    };
    let loaded = history::load_transcript(entry, shard, previous, deadline).await;
    let transcript = match (loaded, &call.previous_unscoped) {
        (Err(refusal), Some(unscoped)) if refusal.reason == Reason::UnknownTurn => {
            let loaded = history::load_transcript(entry, shard, unscoped, deadline).await;
            // The caller is told of the turn by the same name as if there were no earlier release.
            let loaded =
                loaded.map_err(|it| if it.reason == Reason::UnknownTurn { refusal } else { it })?;
            // The turn is not kept under the scoped name, so a new chain begins.
            history::Transcript { starts_chain: true, ..loaded }
        }
        (loaded, _) => loaded?,
    };
    let mut body = BytesMut::with_capacity(transcript.text.len() + call.body.len());
    body.extend_from_slice(&transcript.text);
    body.extend_from_slice(&call.body);
    Ok((body.freeze(), transcript.starts_chain))
}

/// What the owner of a call's program has decided; empty for a call that needs no grant.
#[derive(Default)]
struct Admission {
    grant: Option<Grant>,
    /// The target that most likely caches the session's prompt.
    home: Option<TargetName>,
    /// Whether an earlier turn of the program has already produced tokens.
    underway: bool,
}

/// Requests the tokens of a turn from the program's owner.
///
/// Only streamed turns of programs with a budget need a grant.
async fn admit(
    entry: &Arc<Entry>,
    call: &Call,
    route: &Route,
    shard: u32,
    deadline: Instant,
) -> Result<Admission, Refusal> {
    let (Some(context), Some(prompt), true) = (&call.program, &call.prompt, route.is_stream())
    else {
        return Ok(Admission::default());
    };
    let Some(budget) = context.budget else {
        return Ok(Admission::default());
    };
    if entry.is_isolated() {
        let detail = "this host can reach neither the store nor any other host";
        return Err(Refusal::not_run(Reason::NotOwner, detail).retry_after(OTHER_HOST_RETRY));
    }
    let request = GrantRequest {
        program: context.program.clone(),
        session: context.session.clone(),
        request: call.id.clone(),
        budget,
        tokens: prompt.max_output,
        grant: GrantId(entry.random.next_u64()),
        is_stored: route.history.is_some(),
    };
    // Created before the request, so that dropping it returns the tokens if the caller leaves while
    // the owner decides.
    let grant = Grant::new(entry, shard, context, &request);
    match grants::request_grant(entry, shard, &request, &grant.asked_hosts, deadline).await {
        Ok(Verdict::Granted { home, underway, .. }) => {
            Ok(Admission { grant: Some(grant), home, underway })
        }
        Ok(Verdict::Spent) => {
            let detail = format!("the budget of {budget} does not hold {} more", request.tokens);
            Err(Refusal::not_run(Reason::BudgetSpent, detail))
        }
        Ok(Verdict::Record(_) | Verdict::Uncertain | Verdict::Closed) => {
            let detail = "other turns may have used the rest of the budget";
            let refusal = Refusal::not_run(Reason::BudgetNotJournalled, detail);
            Err(refusal.retry_after(UNCERTAIN_RETRY))
        }
        Err(refusal) => Err(refusal),
    }
}

/// Returns the rank among an engine's requests: by priority, and within a priority programs that have
/// already produced tokens first.
fn rank(priority: u8, is_underway: bool) -> u8 {
    priority.saturating_mul(2).saturating_add(u8::from(!is_underway)).min(LOWEST_RANK)
}

/// The targets that a call was sent to, as reported to the owner of its program.
#[derive(Clone, Debug, Default)]
struct VisitedTargets {
    /// The last target that responded.
    ran: Option<TargetName>,
    /// The last target that failed the call.
    failed: Option<TargetName>,
}

/// Tokens granted by the program's owner.
///
/// Dropping it reports the tokens that were used, so that the owner can free the others.
struct Grant {
    entry: Arc<Entry>,
    shard: u32,
    request: GrantRequest,
    tokens: Tokens,
    /// The hosts that may have granted the tokens, which all get the report.
    asked_hosts: AskedHosts,
    used: AtomicU64,
    visited: Mutex<VisitedTargets>,
    is_reported: AtomicBool,
}

impl Grant {
    fn new(
        entry: &Arc<Entry>,
        shard: u32,
        context: &ProgramContext,
        request: &GrantRequest,
    ) -> Grant {
        debug_assert_eq!(context.program, request.program);
        Grant {
            entry: entry.clone(),
            shard,
            request: request.clone(),
            tokens: request.tokens,
            asked_hosts: AskedHosts::default(),
            used: AtomicU64::new(0),
            visited: Mutex::default(),
            is_reported: AtomicBool::new(false),
        }
    }

    /// Reports the used tokens to the owner, once.
    fn report(&self) {
        if self.is_reported.swap(true, Ordering::Relaxed) {
            return;
        }
        let VisitedTargets { ran, failed } = self.visited().clone();
        let settlement = Settlement {
            program: self.request.program.clone(),
            session: self.request.session.clone(),
            request: self.request.request.clone(),
            used: self.used(),
            target: ran,
            failed,
            grant: self.request.grant,
        };
        settlements::report(&self.entry, self.shard, self.asked_hosts.get(), settlement);
    }

    fn visited(&self) -> MutexGuard<'_, VisitedTargets> {
        self.visited.lock().expect("no holder of the visited targets lock panics")
    }

    fn used(&self) -> Tokens {
        self.used.load(Ordering::Relaxed)
    }
}

impl Drop for Grant {
    fn drop(&mut self) {
        self.report();
    }
}
