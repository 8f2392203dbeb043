//! Sends a call to one target after another until one responds or no further send is allowed.

use std::time::Duration;

use rosethread_types::{Reason, Refusal, TargetName};
use slog::info;
use tokio::time::{sleep, timeout_at};

use crate::{
    call::{PreparedCall, prepare::refuse_beyond_end, uncertain_refusal},
    choose::{Estimate, select_target},
    control::exclude_leaving,
    entry::Entry,
    limits::LimitChange,
    load::InFlightRequest,
    origins::AllowedSoftware,
    paths::PathConnector,
    ports::{SendError, SendReply, TargetRequest, TargetResponse},
    registry::Target,
    suspects,
};

/// Number of rejected sends after which the call is refused.
const MAX_REJECTED_SENDS: u32 = 4;

/// Retry delay sent to callers when no target can take the call.
const NO_TARGET_RETRY: Duration = Duration::from_millis(400);

/// Delay before the next send after a rejected one.
const RESEND_DELAY: Duration = Duration::from_millis(20);

/// The sends of one call so far, and their failures.
#[derive(Clone, Debug, Default)]
pub(crate) struct Attempts {
    /// Targets that rejected or failed the call, which are not chosen again.
    pub(crate) excluded: Vec<TargetName>,
    /// Number of sends, whatever their outcome.
    pub(crate) sends: u32,
    /// Number of failed sends after which the call may have run.
    pub(crate) possible_runs: u32,
    /// Number of sends after which the call certainly did not run.
    rejected: u32,
    /// Whether the last send used a connection that an earlier request had used. Such a connection
    /// may have gone silent since.
    is_reused: bool,
    /// Estimates behind the most recent choice of a target.
    pub(crate) estimate: Estimate,
}

impl Attempts {
    /// Records a failure after which the call may have run.
    ///
    /// Returns a refusal if the call must not be sent again: it is not repeatable, its deadline has
    /// passed, or it has used up the route's attempts. `output_time` is for how long the target had
    /// been sending output.
    pub(crate) fn retry_or_refuse(
        &mut self,
        prepared: &PreparedCall,
        target: TargetName,
        output_time: Duration,
        detail: &str,
    ) -> Result<(), Refusal> {
        self.possible_runs += 1;
        self.excluded.push(target.clone());
        let is_repeatable = prepared.route.is_repeatable();
        let is_expired = prepared.time_left().is_zero();
        if !is_expired {
            prepared.record_failed_target(&target);
        }
        let may_retry =
            is_repeatable && !is_expired && self.possible_runs < prepared.route.attempts;
        info!(prepared.entry.logger, "call: a target failed"; "id" => %prepared.call.id,
            "target" => %target, "detail" => detail, "may_run_again" => may_retry,
            "ran" => self.possible_runs, "output_ms" => output_time.as_millis() as u64,
            "reused" => self.is_reused,
            "running" => self.estimate.running,
            "fingerprint" => %prepared.entry.fingerprint(&prepared.call),
            "path_fingerprint" => %prepared.entry.path_fingerprint(&prepared.call));
        if !is_expired {
            suspects::inspect_failure(prepared, &target, output_time);
        }
        if may_retry {
            return Ok(());
        }
        let reason = if is_expired { Reason::DeadlineExceeded } else { Reason::TargetFailed };
        Err(uncertain_refusal(is_repeatable, reason, format!("{target}: {detail}")))
    }

    /// Builds the refusal of a call that is not sent again.
    fn refuse(&self, prepared: &PreparedCall, reason: Reason, detail: String) -> Refusal {
        if self.possible_runs != 0 {
            return uncertain_refusal(prepared.route.is_repeatable(), reason, detail);
        }
        Refusal::not_run(reason, detail).retry_after(NO_TARGET_RETRY)
    }
}

/// A target's response, whose body has not been read yet.
pub(crate) struct Dispatched {
    /// The response.
    pub(crate) response: TargetResponse,
    /// Counts the request at the target until it is dropped.
    pub(crate) in_flight: InFlightRequest,
    /// The target that responded.
    pub(crate) target: Target,
}

/// Sends a call to one target after another until one responds.
///
/// For a stream that is resumed, `resume_after` is the identifier of the last event received, and
/// `allowed` the version of the software that began it.
pub(crate) async fn dispatch(
    prepared: &PreparedCall,
    attempts: &mut Attempts,
    resume_after: Option<u64>,
    allowed: &AllowedSoftware,
) -> Result<Dispatched, Refusal> {
    let entry = &prepared.entry;
    loop {
        if prepared.time_left().is_zero() {
            let detail = "the deadline passed before a target responded".to_owned();
            return Err(attempts.refuse(prepared, Reason::DeadlineExceeded, detail));
        }
        if attempts.possible_runs == 0 {
            // The host may have begun to shut down since the call arrived.
            refuse_beyond_end(entry, prepared.deadline)?;
        }
        if let Err(refusal) = suspects::refuse_deadly(entry, &prepared.call) {
            if attempts.possible_runs == 0 {
                return Err(refusal);
            }
            return Err(attempts.refuse(prepared, refusal.reason, refusal.detail));
        }
        let home = prepared.home.as_ref();
        let Some(choice) = select_target(
            entry,
            &prepared.call,
            &prepared.service,
            home,
            allowed,
            &attempts.excluded,
        ) else {
            let detail = format!(
                "no target of {} is available after {} sends",
                prepared.service, attempts.sends
            );
            return Err(attempts.refuse(prepared, Reason::Overloaded, detail));
        };
        attempts.sends += 1;
        let prompt = prepared.call.prompt.as_ref().map_or(&[][..], |it| &it.parts);
        let mut in_flight = entry.loads.start_request(&choice, prompt, entry.now());
        attempts.estimate = choice.estimate;
        let target = choice.target;
        let request = TargetRequest {
            call: &prepared.call,
            body: prepared.body.clone(),
            deadline: prepared.deadline,
            resume_after,
            is_repeatable: prepared.route.is_repeatable(),
            rank: prepared.rank,
            max_connections: choice.max_connections,
            doubt_since: entry.paths.doubt_since().map(|it| entry.started_at + it),
        };
        let connector = PathConnector(entry);
        prepared.set_spent(true);
        let sent_at = entry.now();
        let sent =
            timeout_at(prepared.deadline, entry.upstream.send(&target, request, &connector)).await;
        if sent.as_ref().is_ok_and(|it| it.is_leaving) {
            exclude_leaving(entry, &target);
        }
        if let Ok(reply) = &sent {
            attempts.is_reused = reply.is_reused;
            record_limit(entry, &target, sent_at, reply);
        }
        let error = match sent.map(|it| it.result) {
            Ok(Ok(response)) if should_retry(prepared, attempts, &response) => {
                in_flight.record_failure(entry.now());
                entry.metrics.sends.with_label_values(&["failed"]).inc();
                attempts.retry_or_refuse(
                    prepared,
                    target.name,
                    Duration::ZERO,
                    "the target returned a server error",
                )?;
                continue;
            }
            Ok(Ok(response)) => {
                entry.metrics.sends.with_label_values(&["answered"]).inc();
                prepared.record_target(&target.name);
                return Ok(Dispatched { response, in_flight, target });
            }
            Ok(Err(error)) => error,
            Err(_) => SendError::MaybeRan("no response before the deadline".to_owned()),
        };
        entry.metrics.sends.with_label_values(&[error_label(&error)]).inc();
        match &error {
            SendError::MaybeRan(detail) => {
                in_flight.record_failure(entry.now());
                attempts.retry_or_refuse(prepared, target.name, Duration::ZERO, detail)?;
                continue;
            }
            SendError::NotSent(_) => in_flight.record_failure(entry.now()),
            SendError::Replaced => entry.forget_target(&target.name),
            SendError::Full | SendError::NotRun(_) => (),
        }
        prepared.set_spent(attempts.possible_runs != 0);
        drop(in_flight);
        info!(entry.logger, "call: turned down"; "id" => %prepared.call.id,
            "target" => %target.name, "error" => %error, "running" => choice.estimate.running,
            "slots" => target.slots, "reused" => attempts.is_reused);
        attempts.rejected += 1;
        attempts.excluded.push(target.name);
        if MAX_REJECTED_SENDS <= attempts.rejected {
            let detail =
                format!("{} targets of {} rejected the call", attempts.rejected, prepared.service);
            return Err(attempts.refuse(prepared, Reason::Overloaded, detail));
        }
        sleep(RESEND_DELAY.min(prepared.time_left())).await;
    }
}

/// Returns whether a response is a server error that another target may still turn into a success.
///
/// If no further attempt is allowed, the response goes to the caller as it is.
fn should_retry(prepared: &PreparedCall, attempts: &Attempts, response: &TargetResponse) -> bool {
    let may_retry =
        prepared.route.is_repeatable() && attempts.possible_runs + 1 < prepared.route.attempts;
    500 <= response.status && may_retry
}

/// Records the limit that a target named in its reply, or that it named none. Only a response of the
/// target itself says that.
fn record_limit(entry: &Entry, target: &Target, sent_at: Duration, reply: &SendReply) {
    let per_s = match &reply.limit {
        Ok(None) if reply.result.is_err() => return,
        Ok(per_s) => *per_s,
        Err(error) => {
            info!(entry.logger, "targets: ignoring a malformed limit"; "target" => %target.name,
                "error" => error);
            return;
        }
    };
    match entry.limits.record_response(target, sent_at, per_s, entry.now()) {
        Some(LimitChange::Named(per_s)) => {
            info!(entry.logger, "targets: a target names a limit"; "target" => %target.name,
                "start" => target.start.0, "per_s" => per_s);
        }
        Some(LimitChange::Withdrawn) => {
            info!(entry.logger, "targets: a target withdrew its limit"; "target" => %target.name,
                "start" => target.start.0);
        }
        None => (),
    }
}

/// Returns the metric label of a failed send.
fn error_label(error: &SendError) -> &'static str {
    match error {
        SendError::NotSent(_) => "not-sent",
        SendError::Full => "full",
        SendError::NotRun(_) => "not-run",
        SendError::Replaced => "replaced",
        SendError::MaybeRan(_) => "maybe-ran",
    }
}
