//! Finds the node that owns a program, and forwards calls and other requests to it.

use std::{sync::Arc, time::Duration};

use rosethread_membership::{Contact, Status, responsible_node};
use rosethread_program::Continuation;
use rosethread_types::{NodeName, Outcome, ProgramId, Reason, Refusal};
use tokio::{
    sync::mpsc,
    time::{Instant, sleep},
};

use crate::{
    call::{Call, CallEvent, Close, ProgramStatus},
    core::Core,
    feed::{CallStream, TextAssembler},
    owner::{self, OwnedProgram, ServeOutcome},
    peers::{PeerError, PeerReply, PeerRequest},
};

/// The most times that a call is forwarded from node to node.
const MAX_HOPS: u8 = 2;

/// The delay before a call is routed again.
const REROUTE_DELAY: Duration = Duration::from_millis(100);

/// The most events buffered for the caller of a relayed call.
const RELAY_BUFFER: usize = 64;

/// The node that should serve a program.
enum Route {
    /// This node owns it.
    Local(Arc<OwnedProgram>),
    /// Another node owns it or is responsible for taking it over.
    Remote(Contact),
    /// No running node owns it; this node is responsible for taking it over.
    TakeOver,
}

/// Serves a call, here or at the program's owner.
///
/// The returned stream ends with the complete answer or with a refusal.
pub(crate) async fn call(core: &Arc<Core>, call: Call) -> CallStream {
    let (sender, receiver) = mpsc::channel(RELAY_BUFFER);
    match serve_locally(core, &call).await {
        Some(stream) => return stream,
        None => core.tasks.spawn(relay(core.clone(), call, sender)),
    }
    CallStream::Channel(receiver)
}

/// Serves the call without a relay if this node owns the program, which is the usual case.
async fn serve_locally(core: &Arc<Core>, call: &Call) -> Option<CallStream> {
    let owned = core.owned(&call.program)?;
    match owner::serve(core, &owned, call.clone()).await {
        ServeOutcome::Stream(stream) => Some(stream),
        ServeOutcome::OwnershipLost => None,
    }
}

/// Relays a call's events to the caller, and routes the call again if its owner fails.
///
/// The text of a new attempt is compared with what the caller has received, and only new text is
/// sent. A forwarded call is not routed again here: that is left to the first node.
async fn relay(core: Arc<Core>, mut call: Call, sender: mpsc::Sender<CallEvent>) {
    let _guard = core.count_call();
    let deadline = Instant::now() + time_left(&core, &call);
    let mut assembler = TextAssembler::default();
    loop {
        let end = match open_stream(&core, &call).await {
            Ok(stream) => forward_events(stream, &mut assembler, &sender).await,
            Err(refusal) => RelayEnd::Refused(refusal),
        };
        let refusal = match end {
            RelayEnd::Done | RelayEnd::CallerLeft => return,
            RelayEnd::Refused(refusal) => refusal,
        };
        let is_routable = matches!(refusal.reason, Reason::NotOwner | Reason::JournalUnavailable);
        let may_wait = Instant::now() + REROUTE_DELAY < deadline && call.hops == 0;
        if !is_routable || !may_wait || is_final(&call, &refusal) {
            let _ = sender.send(CallEvent::Refused(refusal)).await;
            return;
        }
        if refusal.outcome != Outcome::NotRun {
            // The next owner must know that an earlier attempt may have run.
            call.retry = true;
        }
        sleep(REROUTE_DELAY).await;
        assembler.restart();
    }
}

/// Returns whether routing the call again could run it twice, or would not help.
fn is_final(call: &Call, refusal: &Refusal) -> bool {
    let is_unknown = refusal.outcome != Outcome::NotRun && refusal.reason != Reason::NotOwner;
    is_unknown || (!call.repeatable && refusal.reason == Reason::JournalUnavailable)
}

fn time_left(core: &Core, call: &Call) -> Duration {
    Duration::from_millis(call.deadline_ms.saturating_sub(core.clock.now_ms()))
}

/// How the relay of one attempt ended.
enum RelayEnd {
    Done,
    /// The caller disconnected.
    CallerLeft,
    Refused(Refusal),
}

/// Forwards a stream's events to the caller until the stream ends.
async fn forward_events(
    mut stream: CallStream,
    assembler: &mut TextAssembler,
    sender: &mpsc::Sender<CallEvent>,
) -> RelayEnd {
    while let Some(event) = stream.next().await {
        let event = match event {
            CallEvent::Text(part) => match assembler.push(&part) {
                Ok(new_text) if new_text.is_empty() => continue,
                Ok(new_text) => CallEvent::Text(new_text),
                Err(it) => {
                    let detail = it.to_string();
                    return RelayEnd::Refused(Refusal::failed(Reason::TargetFailed, detail));
                }
            },
            CallEvent::Done(answer) => {
                if answer.text != assembler.text() {
                    let detail = "the final answer differs from the streamed text";
                    return RelayEnd::Refused(Refusal::failed(Reason::TargetFailed, detail));
                }
                let _ = sender.send(CallEvent::Done(answer)).await;
                return RelayEnd::Done;
            }
            CallEvent::Refused(refusal) => return RelayEnd::Refused(refusal),
        };
        if sender.send(event).await.is_err() {
            return RelayEnd::CallerLeft;
        }
    }
    let detail = "the stream from the program's owner ended before the answer was complete";
    RelayEnd::Refused(Refusal::unknown(Reason::NotOwner, detail))
}

/// Opens the call's stream at the program's owner, taking the program over if necessary.
async fn open_stream(core: &Arc<Core>, call: &Call) -> Result<CallStream, Refusal> {
    let continuation = open_continuation(core, call.continuation.as_deref(), &call.program)?;
    let route = find_route(core, &call.program, continuation.as_ref(), call.hops);
    let route = route.map_err(|it| correct_outcome(call, it))?;
    let owned = match route {
        Route::Local(owned) => owned,
        Route::TakeOver => owner::take_over(core, &call.program, continuation.as_ref())
            .await
            .map_err(|it| correct_outcome(call, it))?,
        Route::Remote(contact) => return forward(core, call, &contact).await,
    };
    match owner::serve(core, &owned, call.clone()).await {
        ServeOutcome::Stream(stream) => Ok(stream),
        ServeOutcome::OwnershipLost => {
            let refusal = Refusal::not_run(Reason::NotOwner, "another node owns the program");
            Err(correct_outcome(call, refusal))
        }
    }
}

async fn forward(core: &Arc<Core>, call: &Call, contact: &Contact) -> Result<CallStream, Refusal> {
    let mut forwarded = call.clone();
    forwarded.hops += 1;
    core.metrics.forwards.inc();
    match core.peers.call(contact, forwarded).await {
        Ok(stream) => Ok(stream),
        Err(PeerError::Unreachable(detail)) => {
            Err(correct_outcome(call, Refusal::not_run(Reason::NotOwner, detail)))
        }
        Err(PeerError::Broken(detail)) => Err(Refusal::unknown(Reason::NotOwner, detail)),
    }
}

/// Corrects the outcome of a refusal by a node that does not own the program.
///
/// Only the owner knows whether an earlier attempt at the call ran, so "not run" becomes "unknown"
/// for a retry.
fn correct_outcome(call: &Call, refusal: Refusal) -> Refusal {
    if call.retry && refusal.outcome == Outcome::NotRun {
        return Refusal { outcome: Outcome::Unknown, ..refusal };
    }
    refusal
}

/// Verifies a sealed continuation and checks that it belongs to `program`.
fn open_continuation(
    core: &Core,
    text: Option<&str>,
    program: &ProgramId,
) -> Result<Option<Continuation>, Refusal> {
    let Some(text) = text else {
        return Ok(None);
    };
    let refuse = |detail: String| Refusal::not_run(Reason::BadContinuation, detail);
    let continuation = core.seal_keys.open(text).map_err(|it| refuse(it.to_string()))?;
    if continuation.grant.program != *program {
        return Err(refuse("the continuation belongs to another program".to_owned()));
    }
    Ok(Some(continuation))
}

/// Finds the node that should serve a program: this one, the last known owner while it is running,
/// or the node that is responsible for taking the program over.
fn find_route(
    core: &Arc<Core>,
    program: &ProgramId,
    continuation: Option<&Continuation>,
    hops: u8,
) -> Result<Route, Refusal> {
    if let Some(owned) = core.owned(program) {
        return Ok(Route::Local(owned));
    }
    let claimed = core.journal.index().program(program).map(|it| it.owner.clone());
    let last_owner = claimed.or_else(|| continuation.map(|it| it.owner.clone()));
    let Some(last_owner) = last_owner else {
        return Err(Refusal::not_run(Reason::UnknownProgram, format!("no program {program}")));
    };
    // After a restart the other nodes still forward calls of this node's former programs to it.
    if last_owner == *core.node_name() {
        return Ok(Route::TakeOver);
    }
    let view = core.view();
    let node = if view.is_running(&last_owner) {
        Some(last_owner)
    } else {
        responsible_node(&view, &program.to_string())
    };
    match node {
        Some(node) if node != *core.node_name() => remote_route(&view, &node, hops),
        _ => Ok(Route::TakeOver),
    }
}

/// Returns the route to another node, unless the forwarding limit is reached or the node is dead.
fn remote_route(
    view: &rosethread_membership::ClusterView,
    node: &NodeName,
    hops: u8,
) -> Result<Route, Refusal> {
    let not_owner = |detail: String| Refusal::not_run(Reason::NotOwner, detail);
    if MAX_HOPS <= hops {
        return Err(not_owner(format!("{node} should own the program")));
    }
    let state = view.get(node).ok_or_else(|| not_owner(format!("{node} is not known")))?;
    if state.status == Status::Dead {
        return Err(not_owner(format!("{node} is dead")));
    }
    Ok(Route::Remote(state.contact.clone()))
}

/// Closes a program, here or at its owner.
pub(crate) async fn close(core: &Arc<Core>, request: Close) -> Result<(), Refusal> {
    let continuation = open_continuation(core, request.continuation.as_deref(), &request.program)?;
    match find_route(core, &request.program, continuation.as_ref(), request.hops)? {
        Route::Local(owned) => {
            owner::close(core, &owned);
            Ok(())
        }
        Route::TakeOver => {
            let owned = owner::take_over(core, &request.program, continuation.as_ref()).await?;
            owner::close(core, &owned);
            Ok(())
        }
        Route::Remote(contact) => {
            let mut forwarded = request;
            forwarded.hops += 1;
            match core.peers.request(&contact, PeerRequest::Close(forwarded)).await {
                Ok(PeerReply::Refused(refusal)) => Err(refusal),
                Ok(_) => Ok(()),
                Err(it) => Err(unreachable_owner(&it)),
            }
        }
    }
}

/// Returns a program's status, from this node or from the owner.
pub(crate) async fn status(
    core: &Arc<Core>,
    program: ProgramId,
    member: rosethread_types::MemberName,
) -> Result<ProgramStatus, Refusal> {
    match find_route(core, &program, None, 0)? {
        Route::Local(owned) => owner::status(&owned, &member),
        Route::TakeOver => {
            let owned = owner::take_over(core, &program, None).await?;
            owner::status(&owned, &member)
        }
        Route::Remote(contact) => {
            let request = PeerRequest::Status { program, member };
            match core.peers.request(&contact, request).await {
                Ok(PeerReply::Status(status)) => Ok(status),
                Ok(PeerReply::Refused(refusal)) => Err(refusal),
                Ok(_) => {
                    Err(Refusal::not_run(Reason::NotOwner, "the owner sent an unexpected reply"))
                }
                Err(it) => Err(unreachable_owner(&it)),
            }
        }
    }
}

fn unreachable_owner(error: &PeerError) -> Refusal {
    Refusal::unknown(Reason::NotOwner, error.to_string()).retry_after(Duration::from_secs(1))
}
