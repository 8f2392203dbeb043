//! Handlers that create, describe and end programs, and that return the active document's revision.

use axum::{
    Json,
    extract::{
        Path, State,
        rejection::{JsonRejection, PathRejection},
    },
    http::{HeaderMap, StatusCode},
};
use rosethread_types::{ClassName, ModelName, ProgramId, Reason, Refusal, Tokens};
use serde::{Deserialize, Serialize};

use crate::{
    api::{Problem, auth},
    call::{Close, Create, Created, ProgramStatus},
    node::NodeHandle,
};

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct CreateBody {
    class: ClassName,
    model: ModelName,
    parent: Option<ProgramId>,
    tokens: Option<Tokens>,
    calls: Option<u32>,
    wall_ms: Option<u64>,
}

pub(super) async fn create(
    State(node): State<NodeHandle>,
    headers: HeaderMap,
    body: Result<Json<CreateBody>, JsonRejection>,
) -> Result<(StatusCode, Json<Created>), Problem> {
    let member = auth::member(&node, &headers)?;
    let Json(body) = body.map_err(|it| Refusal::not_run(Reason::BadRequest, it.body_text()))?;
    let create = Create {
        member,
        class: body.class,
        model: body.model,
        parent: body.parent,
        tokens: body.tokens,
        calls: body.calls,
        wall_ms: body.wall_ms,
        is_forwarded: false,
    };
    let created = node.create(create).await?;
    Ok((StatusCode::CREATED, Json(created)))
}

pub(super) async fn status(
    State(node): State<NodeHandle>,
    headers: HeaderMap,
    path: Result<Path<ProgramId>, PathRejection>,
) -> Result<Json<ProgramStatus>, Problem> {
    let program = own_program(&node, &headers, path)?;
    let member = program.member.clone();
    Ok(Json(node.status(program, member).await?))
}

pub(super) async fn close(
    State(node): State<NodeHandle>,
    headers: HeaderMap,
    path: Result<Path<ProgramId>, PathRejection>,
) -> Result<StatusCode, Problem> {
    let program = own_program(&node, &headers, path)?;
    let continuation = headers.get("x-rosethread-continuation").and_then(|it| it.to_str().ok());
    let continuation = continuation.map(str::to_owned);
    node.close(Close { program, continuation, hops: 0 }).await?;
    Ok(StatusCode::NO_CONTENT)
}

/// Returns the program in the path if it belongs to the calling member.
fn own_program(
    node: &NodeHandle,
    headers: &HeaderMap,
    path: Result<Path<ProgramId>, PathRejection>,
) -> Result<ProgramId, Problem> {
    let member = auth::member(node, headers)?;
    let Path(program) = path.map_err(|it| Refusal::not_run(Reason::BadRequest, it.body_text()))?;
    if program.member != member {
        let detail = "program: belongs to another member";
        return Err(Refusal::not_run(Reason::Forbidden, detail).into());
    }
    Ok(program)
}

/// The revision and author of the active document.
#[derive(Serialize)]
pub(super) struct DocumentStatus {
    revision: u64,
    author: String,
}

pub(super) async fn document(State(node): State<NodeHandle>) -> Json<DocumentStatus> {
    let active = node.document();
    Json(DocumentStatus { revision: active.revision.0, author: active.author.clone() })
}
