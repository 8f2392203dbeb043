//! Sends a call to targets until one answers, or until it may not be sent again.

use std::time::Duration;

use rosethread_types::{Reason, Refusal, TargetName};
use slog::info;
use tokio::time::{sleep, timeout_at};

use crate::{
    call::{Job, may_have_run},
    choose::{Estimate, choose_target},
    load::InFlightRequest,
    ports::{SendError, TargetRequest, TargetResponse},
    registry::Target,
};

/// The most sends that targets may turn down before the call is refused.
const MAX_REFUSED: u32 = 4;

/// What callers are told to wait when all targets are full.
const FULL_RETRY: Duration = Duration::from_millis(400);

/// The pause before a full service is asked again.
const FULL_PAUSE: Duration = Duration::from_millis(20);

/// The sends of one call so far.
#[derive(Clone, Debug, Default)]
pub(crate) struct Tries {
    /// Targets that turned the call down or failed it.
    pub(crate) tried: Vec<TargetName>,
    /// All sends.
    pub(crate) sends: u32,
    /// Sends after which the call may have run.
    pub(crate) ran: u32,
    /// Sends that certainly did not run.
    refused: u32,
    /// What the newest choice of a target went by.
    pub(crate) estimate: Estimate,
}

impl Tries {
    /// Takes note of a failure after which the call may have run, and refuses it if it must not be
    /// sent again.
    pub(crate) fn may_retry(
        &mut self,
        job: &Job,
        target: TargetName,
        detail: &str,
    ) -> Result<(), Refusal> {
        self.ran += 1;
        self.tried.push(target.clone());
        let is_repeatable = job.route.is_repeatable();
        let is_late = job.time_left().is_zero();
        if !is_late {
            job.set_failed(&target);
        }
        let may_retry = is_repeatable && !is_late && self.ran < job.route.attempts;
        info!(job.entry.logger, "call: a target failed"; "id" => %job.call.id, "target" => %target,
            "detail" => detail, "may_run_again" => may_retry, "ran" => self.ran);
        if may_retry {
            return Ok(());
        }
        let reason = if is_late { Reason::DeadlineExceeded } else { Reason::TargetFailed };
        Err(may_have_run(is_repeatable, reason, format!("{target}: {detail}")))
    }

    /// Returns the refusal of a call for which no target is left.
    fn give_up(&self, job: &Job, reason: Reason, detail: String) -> Refusal {
        if self.ran != 0 {
            return may_have_run(job.route.is_repeatable(), reason, detail);
        }
        Refusal::not_run(reason, detail).retry_after(FULL_RETRY)
    }
}

/// The head of an answer, and what goes with it.
pub(crate) struct Sent {
    pub(crate) reply: TargetResponse,
    pub(crate) in_flight: InFlightRequest,
    pub(crate) target: Target,
}

/// Sends the call to one target after the other until one answers.
pub(crate) async fn dispatch(
    job: &Job,
    tries: &mut Tries,
    resume_after: Option<u64>,
) -> Result<Sent, Refusal> {
    let entry = &job.entry;
    loop {
        let time = job.time_left();
        if time.is_zero() {
            let detail = "the deadline passed before a target answered".to_owned();
            return Err(tries.give_up(job, Reason::DeadlineExceeded, detail));
        }
        let home = job.home.as_ref();
        let Some(choice) = choose_target(entry, &job.call, &job.service, home, &tries.tried) else {
            let detail = format!("no target of {} is left after {}", job.service, tries.sends);
            return Err(tries.give_up(job, Reason::Overloaded, detail));
        };
        tries.sends += 1;
        let prompt = job.call.prompt.as_ref().map_or(&[][..], |it| &it.parts);
        let mut in_flight = entry.loads.start_request(&choice, prompt, entry.now());
        tries.estimate = choice.estimate;
        let target = choice.target;
        let outbound = TargetRequest {
            call: &job.call,
            body: job.body.clone(),
            timeout: time,
            resume_after,
            is_repeatable: job.route.is_repeatable(),
            rank: job.rank,
            max_connections: choice.max_connections,
        };
        let sending = timeout_at(job.deadline, entry.upstream.send(&target, outbound)).await;
        let error = match sending {
            Ok(Ok(reply)) if is_worth_repeating(job, tries, &reply) => {
                in_flight.record_failure(entry.now());
                entry.metrics.sends.with_label_values(&["failed"]).inc();
                tries.may_retry(job, target.name, "the target failed the request")?;
                continue;
            }
            Ok(Ok(reply)) => {
                entry.metrics.sends.with_label_values(&["answered"]).inc();
                job.set_target(&target.name);
                return Ok(Sent { reply, in_flight, target });
            }
            Ok(Err(error)) => error,
            Err(_) => SendError::MaybeRan("no answer came before the deadline".to_owned()),
        };
        entry.metrics.sends.with_label_values(&[label(&error)]).inc();
        match &error {
            SendError::MaybeRan(detail) => {
                in_flight.record_failure(entry.now());
                tries.may_retry(job, target.name, detail)?;
                continue;
            }
            SendError::NotSent(_) => in_flight.record_failure(entry.now()),
            SendError::Replaced => entry.forget_target(&target.name),
            SendError::Full | SendError::NotRun(_) => (),
        }
        drop(in_flight);
        info!(entry.logger, "call: turned down"; "id" => %job.call.id, "target" => %target.name,
            "error" => %error, "running" => choice.estimate.running, "slots" => target.slots);
        tries.refused += 1;
        tries.tried.push(target.name);
        if MAX_REFUSED <= tries.refused {
            let detail = format!("{} targets of {} turned it down", tries.refused, job.service);
            return Err(tries.give_up(job, Reason::Overloaded, detail));
        }
        sleep(FULL_PAUSE.min(job.time_left())).await;
    }
}

/// Tells whether a failure that the target admits may be tried elsewhere.
fn is_worth_repeating(job: &Job, tries: &Tries, reply: &TargetResponse) -> bool {
    let may_repeat = job.route.is_repeatable() && tries.ran + 1 < job.route.attempts;
    500 <= reply.status && may_repeat
}

fn label(error: &SendError) -> &'static str {
    match error {
        SendError::NotSent(_) => "not-sent",
        SendError::Full => "full",
        SendError::NotRun(_) => "not-run",
        SendError::Replaced => "replaced",
        SendError::MaybeRan(_) => "maybe-ran",
    }
}
