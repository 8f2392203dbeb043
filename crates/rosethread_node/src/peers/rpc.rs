//! The JSON-RPC method that handles requests of other nodes.

use std::sync::Arc;

use jsonrpsee::{RpcModule, types::ErrorObjectOwned};

use crate::{
    node::NodeHandle,
    peers::{
        PeerRequest,
        envelope::{Envelope, EnvelopeKeys},
    },
};

/// The name of the only method; its parameter is an [`Envelope`] with a [`PeerRequest`] as JSON.
pub(super) const METHOD: &str = "ask";

/// The JSON-RPC error code of requests whose envelope is rejected.
const NOT_AUTHENTIC: i32 = -32_001;

/// The context of the method.
pub(super) struct RpcContext {
    pub(super) node: NodeHandle,
    pub(super) keys: Arc<EnvelopeKeys>,
}

/// Returns the module that contains the method.
pub(super) fn module(context: RpcContext) -> RpcModule<RpcContext> {
    let mut module = RpcModule::new(context);
    module
        .register_async_method(METHOD, |params, context, _| async move {
            let envelope: Envelope = params.one()?;
            let now_ms = context.node.now_ms();
            let body = context.keys.open(envelope, now_ms).map_err(not_authentic_error)?;
            let request: PeerRequest = serde_json::from_str(&body).map_err(invalid_params_error)?;
            let reply = context.node.handle_peer_request(request).await;
            serde_json::to_value(&reply).map_err(invalid_params_error)
        })
        .expect("the method is registered once");
    module
}

fn not_authentic_error(error: super::envelope::EnvelopeError) -> ErrorObjectOwned {
    ErrorObjectOwned::owned(NOT_AUTHENTIC, error.to_string(), None::<()>)
}

fn invalid_params_error(error: serde_json::Error) -> ErrorObjectOwned {
    ErrorObjectOwned::owned(
        jsonrpsee::types::error::INVALID_PARAMS_CODE,
        error.to_string(),
        None::<()>,
    )
}
