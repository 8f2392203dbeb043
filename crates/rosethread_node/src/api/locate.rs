//! Returns the hosts that a caller should use.

use std::net::SocketAddr;

use axum::{
    Json,
    extract::{Query, State},
    http::HeaderMap,
};
use rosethread_types::{ModelName, NodeName, ProgramId, Reason, Refusal, ZoneName};
use serde::{Deserialize, Serialize};

use crate::{
    api::{Problem, auth},
    node::NodeHandle,
};

/// The query parameters: what the caller is about to call, and its own zone.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct LocateQuery {
    model: Option<ModelName>,
    program: Option<ProgramId>,
    zone: Option<ZoneName>,
}

/// The hosts to try, in order, and how long the caller may cache them.
#[derive(Serialize)]
pub(super) struct LocateReply {
    hosts: Vec<Host>,
    keep_ms: u64,
}

#[derive(Serialize)]
struct Host {
    node: NodeName,
    address: SocketAddr,
}

pub(super) async fn locate(
    State(node): State<NodeHandle>,
    headers: HeaderMap,
    query: Result<Query<LocateQuery>, axum::extract::rejection::QueryRejection>,
) -> Result<Json<LocateReply>, Problem> {
    let member = auth::member(&node, &headers)?;
    let Query(query) = query.map_err(|it| Refusal::not_run(Reason::BadRequest, it.body_text()))?;
    if let Some(model) = &query.model
        && !node.serves_model(model, &member)
    {
        let detail = format!("model: no target serves {model} to {member}");
        return Err(Refusal::not_run(Reason::NoTarget, detail).into());
    }
    let program = query.program.as_ref().filter(|it| it.member == member);
    let (hosts, keep) = node.locate(program, query.zone.as_ref());
    let hosts = hosts.into_iter().map(|it| Host { node: it.node, address: it.address }).collect();
    Ok(Json(LocateReply { hosts, keep_ms: keep.as_millis() as u64 }))
}
