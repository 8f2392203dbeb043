//! Opens paths to targets for other hosts.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use futures::SinkExt;
use rosethread_membership::MAX_CLOCK_SKEW_MS;
use rosethread_policy::{DirectPath, PathLoss};
use slog::debug;
use tokio::{net::TcpStream, time::timeout};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::{
    entry::{Entry, Phase},
    paths::{NoPath, PathRequest, connect_directly, record_lost, relay, signed_bytes},
    peers::PeerReply,
    ports::ConnectError,
    registry::{Target, TargetStatus},
};

/// The time in which this host connects to the target.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// Opens a path for another host, and carries it to its end.
pub(crate) async fn serve_path(
    entry: &Arc<Entry>,
    mut framed: Framed<TcpStream, LengthDelimitedCodec>,
    id: u64,
    request: PathRequest,
) {
    // Held until the path ends.
    let permit = entry.paths.granted.try_acquire();
    // A shutdown waits for the paths, as for the calls in progress.
    let _guard = entry.count_call();
    let opened =
        if permit.is_ok() { connect_for(entry, &request).await } else { Err(NoPath::Busy) };
    let reply = match &opened {
        Ok(_) => PeerReply::Done,
        Err(reason) => {
            debug!(entry.logger, "paths: refusing a path"; "target" => %request.target,
                "reason" => %reason);
            PeerReply::NoPath(*reason)
        }
    };
    let Ok(frame) = reply.encode(id) else {
        return;
    };
    if framed.send(Bytes::from(frame)).await.is_err() {
        return;
    }
    if let Ok(socket) = opened {
        entry.metrics.granted_paths.inc();
        relay::carry(framed, socket).await;
    }
}

/// Returns the target that another host means, if that host may know what becomes of connections to it.
pub(super) fn find_target(entry: &Entry, request: &PathRequest) -> Result<Target, NoPath> {
    let PathRequest { target, start, sent_ms, mac } = request;
    let signed = signed_bytes(target, *start, *sent_ms, &entry.settings.node);
    let is_recent = entry.clock.now_ms().abs_diff(*sent_ms) <= MAX_CLOCK_SKEW_MS;
    if !is_recent || !entry.auth_keys.verify(&signed, mac) {
        return Err(NoPath::NotAuthentic);
    }
    match entry.targets().get(target) {
        Some(target) if target.start == *start => Ok(target.clone()),
        Some(target) if *start < target.start => Err(NoPath::Restarted),
        _ => Err(NoPath::Unknown),
    }
}

/// Connects to a target for another host.
async fn connect_for(entry: &Arc<Entry>, request: &PathRequest) -> Result<TcpStream, NoPath> {
    let target = find_target(entry, request)?;
    if entry.phase() != Phase::Serving {
        return Err(NoPath::Busy);
    }
    if target.status != TargetStatus::Ready {
        return Err(NoPath::Leaving);
    }
    let plan = entry.paths.reach().plan_direct(&target.name, entry.now(), entry.random.next_f64());
    if plan == DirectPath::Down {
        return Err(NoPath::CutOff);
    }
    let (loss, reason) = match timeout(CONNECT_TIMEOUT, connect_directly(entry, &target)).await {
        Ok(Ok(socket)) => return Ok(socket),
        Ok(Err(ConnectError::Full | ConnectError::Reset)) => return Err(NoPath::Full),
        Ok(Err(ConnectError::Failed(_))) => return Err(NoPath::Busy),
        Ok(Err(ConnectError::Refused)) => (PathLoss::Refused, NoPath::Refused),
        Ok(Err(ConnectError::TimedOut)) => (PathLoss::Silent, NoPath::Silent),
        Err(_) => {
            entry.paths.reach().record_failed(&target.name);
            (PathLoss::Silent, NoPath::Silent)
        }
    };
    if !entry.paths.reach().is_cut_off() {
        return Err(reason);
    }
    record_lost(entry, &target, loss);
    Err(NoPath::CutOff)
}
