//! Requests with a single reply, as JSON-RPC.

use std::sync::Arc;

use jsonrpsee::{RpcModule, types::ErrorObjectOwned};

use crate::{
    node::NodeHandle,
    peers::{
        PeerRequest,
        envelope::{Envelope, EnvelopeKeys},
    },
};

/// The only method; its parameter is a signed [`PeerRequest`].
pub(super) const METHOD: &str = "ask";

/// The error code of requests that are not authentic.
const NOT_AUTHENTIC: i32 = -32_001;

/// What the method needs.
pub(super) struct RpcContext {
    pub(super) node: NodeHandle,
    pub(super) keys: Arc<EnvelopeKeys>,
}

/// Returns the module that answers other nodes.
pub(super) fn module(context: RpcContext) -> RpcModule<RpcContext> {
    let mut module = RpcModule::new(context);
    module
        .register_async_method(METHOD, |params, context, _| async move {
            let envelope: Envelope = params.one()?;
            let now_ms = context.node.now_ms();
            let body = context.keys.open(envelope, now_ms).map_err(not_authentic)?;
            let request: PeerRequest = serde_json::from_str(&body).map_err(invalid)?;
            let reply = context.node.handle_peer_request(request).await;
            serde_json::to_value(&reply).map_err(invalid)
        })
        .expect("the method is registered once");
    module
}

fn not_authentic(error: super::envelope::EnvelopeError) -> ErrorObjectOwned {
    ErrorObjectOwned::owned(NOT_AUTHENTIC, error.to_string(), None::<()>)
}

fn invalid(error: serde_json::Error) -> ErrorObjectOwned {
    ErrorObjectOwned::owned(
        jsonrpsee::types::error::INVALID_PARAMS_CODE,
        error.to_string(),
        None::<()>,
    )
}
