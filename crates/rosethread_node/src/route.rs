//! Finds the node that owns a program, and sends calls there.

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
    feed::{CallStream, Splice},
    owner::{self, Owned, Served},
    peers::{PeerError, PeerReply, PeerRequest},
};

/// How often a call may be forwarded from node to node.
const MAX_HOPS: u8 = 2;

/// The pause before a call is routed again.
const REROUTE: Duration = Duration::from_millis(100);

/// Events buffered between a node that forwards a call and its caller.
const RELAY_BUFFER: usize = 64;

/// Where a program is.
enum Route {
    /// Here.
    Here(Arc<Owned>),
    /// At another node.
    There(Contact),
    /// Nowhere; this node is responsible for taking it over.
    TakeOver,
}

/// Serves a call, here or at the program's owner.
///
/// The returned stream ends with the whole answer or with a refusal.
pub(crate) async fn call(core: &Arc<Core>, call: Call) -> CallStream {
    let (sender, receiver) = mpsc::channel(RELAY_BUFFER);
    match local_stream(core, &call).await {
        Some(stream) => return stream,
        None => core.tasks.spawn(relay(core.clone(), call, sender)),
    }
    CallStream::Channel(receiver)
}

/// Returns the stream at once if this node owns the program, which is the usual case.
async fn local_stream(core: &Arc<Core>, call: &Call) -> Option<CallStream> {
    let owned = core.owned(&call.program)?;
    match owner::serve(core, &owned, call.clone()).await {
        Served::Stream(stream) => Some(stream),
        Served::Lost => None,
    }
}

/// Carries a call's events to the caller, routing again when an owner is lost.
async fn relay(core: Arc<Core>, mut call: Call, sender: mpsc::Sender<CallEvent>) {
    let _guard = core.count_call();
    let deadline = Instant::now() + owner_time_left(&core, &call);
    let mut splice = Splice::default();
    loop {
        let end = match open(&core, &call).await {
            Ok(stream) => pass_on(stream, &mut splice, &sender).await,
            Err(refusal) => End::Refused(refusal),
        };
        let refusal = match end {
            End::Done | End::Gone => return,
            End::Refused(refusal) => refusal,
        };
        let is_routable = matches!(refusal.reason, Reason::NotOwner | Reason::JournalUnavailable);
        let may_wait = Instant::now() + REROUTE < deadline && call.hops == 0;
        if !is_routable || !may_wait || is_final(&call, &refusal) {
            let _ = sender.send(CallEvent::Refused(refusal)).await;
            return;
        }
        if refusal.outcome != Outcome::NotRun {
            // The next owner must know that this is not the first sending.
            call.retry = true;
        }
        sleep(REROUTE).await;
        splice.restart();
    }
}

/// Tells whether routing the call again could run it twice or would not help.
fn is_final(call: &Call, refusal: &Refusal) -> bool {
    let is_unknown = refusal.outcome != Outcome::NotRun && refusal.reason != Reason::NotOwner;
    is_unknown || (!call.repeatable && refusal.reason == Reason::JournalUnavailable)
}

fn owner_time_left(core: &Core, call: &Call) -> Duration {
    Duration::from_millis(call.deadline_ms.saturating_sub(core.clock.now_ms()))
}

enum End {
    Done,
    /// The caller has gone.
    Gone,
    Refused(Refusal),
}

/// Passes a stream's events on until it ends.
async fn pass_on(
    mut stream: CallStream,
    splice: &mut Splice,
    sender: &mpsc::Sender<CallEvent>,
) -> End {
    while let Some(event) = stream.next().await {
        let event = match event {
            CallEvent::Text(part) => match splice.push(&part) {
                Ok(fresh) if fresh.is_empty() => continue,
                Ok(fresh) => CallEvent::Text(fresh),
                Err(it) => {
                    let detail = it.to_string();
                    return End::Refused(Refusal::failed(Reason::TargetFailed, detail));
                }
            },
            CallEvent::Done(answer) => {
                if answer.text != splice.text() {
                    let detail = "the answer differs from its stream";
                    return End::Refused(Refusal::failed(Reason::TargetFailed, detail));
                }
                let _ = sender.send(CallEvent::Done(answer)).await;
                return End::Done;
            }
            CallEvent::Refused(refusal) => return End::Refused(refusal),
        };
        if sender.send(event).await.is_err() {
            return End::Gone;
        }
    }
    let detail = "the program's owner was lost during the call";
    End::Refused(Refusal::unknown(Reason::NotOwner, detail))
}

/// Opens the call's stream at the program's owner.
async fn open(core: &Arc<Core>, call: &Call) -> Result<CallStream, Refusal> {
    let continuation = open_continuation(core, call.continuation.as_deref(), &call.program)?;
    let route = find(core, &call.program, continuation.as_ref(), call.hops);
    let route = route.map_err(|it| elsewhere(call, it))?;
    let owned = match route {
        Route::Here(owned) => owned,
        Route::TakeOver => owner::take_over(core, &call.program, continuation.as_ref())
            .await
            .map_err(|it| elsewhere(call, it))?,
        Route::There(contact) => return forward(core, call, &contact).await,
    };
    match owner::serve(core, &owned, call.clone()).await {
        Served::Stream(stream) => Ok(stream),
        Served::Lost => {
            let refusal = Refusal::not_run(Reason::NotOwner, "another node owns the program");
            Err(elsewhere(call, refusal))
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
            Err(elsewhere(call, Refusal::not_run(Reason::NotOwner, detail)))
        }
        Err(PeerError::Broken(detail)) => Err(Refusal::unknown(Reason::NotOwner, detail)),
    }
}

/// Returns a refusal by a node that does not own the program with a true outcome.
///
/// Only the owner knows whether an earlier sending of the call ran.
fn elsewhere(call: &Call, refusal: Refusal) -> Refusal {
    if call.retry && refusal.outcome == Outcome::NotRun {
        return Refusal { outcome: Outcome::Unknown, ..refusal };
    }
    refusal
}

/// Opens a continuation and checks that it belongs to `program`.
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

/// Finds where a program is: here, with its last known owner, or with whoever is responsible now.
fn find(
    core: &Arc<Core>,
    program: &ProgramId,
    continuation: Option<&Continuation>,
    hops: u8,
) -> Result<Route, Refusal> {
    if let Some(owned) = core.owned(program) {
        return Ok(Route::Here(owned));
    }
    let claimed = core.journal.index().program(program).map(|it| it.owner.clone());
    let known = claimed.or_else(|| continuation.map(|it| it.owner.clone()));
    let Some(known) = known else {
        return Err(Refusal::not_run(Reason::UnknownProgram, format!("no program {program}")));
    };
    // A node that restarted is still the one that all others ask for its former programs.
    if known == *core.node_name() {
        return Ok(Route::TakeOver);
    }
    let view = core.view();
    let node = if view.is_running(&known) {
        Some(known)
    } else {
        responsible_node(&view, &program.to_string())
    };
    match node {
        Some(node) if node != *core.node_name() => there(&view, &node, hops),
        _ => Ok(Route::TakeOver),
    }
}

fn there(
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
    Ok(Route::There(state.contact.clone()))
}

/// Ends a program, here or at its owner.
pub(crate) async fn close(core: &Arc<Core>, request: Close) -> Result<(), Refusal> {
    let continuation = open_continuation(core, request.continuation.as_deref(), &request.program)?;
    match find(core, &request.program, continuation.as_ref(), request.hops)? {
        Route::Here(owned) => {
            owner::close(core, &owned);
            Ok(())
        }
        Route::TakeOver => {
            let owned = owner::take_over(core, &request.program, continuation.as_ref()).await?;
            owner::close(core, &owned);
            Ok(())
        }
        Route::There(contact) => {
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

/// Returns a program's status, from here or from its owner.
pub(crate) async fn status(
    core: &Arc<Core>,
    program: ProgramId,
    member: rosethread_types::MemberName,
) -> Result<ProgramStatus, Refusal> {
    match find(core, &program, None, 0)? {
        Route::Here(owned) => owner::status(&owned, &member),
        Route::TakeOver => {
            let owned = owner::take_over(core, &program, None).await?;
            owner::status(&owned, &member)
        }
        Route::There(contact) => {
            let request = PeerRequest::Status { program, member };
            match core.peers.request(&contact, request).await {
                Ok(PeerReply::Status(status)) => Ok(status),
                Ok(PeerReply::Refused(refusal)) => Err(refusal),
                Ok(_) => Err(Refusal::not_run(Reason::NotOwner, "the owner gave no status")),
                Err(it) => Err(unreachable_owner(&it)),
            }
        }
    }
}

fn unreachable_owner(error: &PeerError) -> Refusal {
    Refusal::unknown(Reason::NotOwner, error.to_string()).retry_after(Duration::from_secs(1))
}
