//! Datagrams: their encoding and authentication.

use displaydoc::Display;
use hmac::{Hmac, KeyInit, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;

use crate::{Message, NodeState};

/// The largest datagram, in bytes.
///
/// A node sends and receives about five a second each, so this keeps both directions together
/// within 10 KB/s, and any usual network passes it unfragmented; see `docs/CAPACITY.md`.
pub const MAX_DATAGRAM: usize = 900;

/// The length of the authentication code, in bytes.
const CODE_BYTES: usize = 16;

/// The bytes of a datagram that are not reports: code, time, kind and number.
const FIXED_BYTES: usize = 128;

/// The room for reports in one datagram, in bytes.
pub(crate) const STATE_ROOM: usize = MAX_DATAGRAM - CODE_BYTES - FIXED_BYTES;

/// How far a datagram's time may differ from the receiver's, in milliseconds.
const MAX_SKEW_MS: u64 = 10_000;

/// The most reports accepted in one datagram.
const MAX_STATES: usize = 256;

/// Why a datagram is not accepted.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum WireError {
    /// the datagram is not in the expected form
    Malformed,
    /// the datagram's code is not genuine
    BadCode,
    /// the datagram is too old or from the future
    Stale,
}

impl std::error::Error for WireError {}

#[derive(Serialize, Deserialize)]
struct Datagram {
    sent_ms: u64,
    message: Message,
}

/// The keys that authenticate datagrams: the first signs, all verify.
#[derive(Clone)]
pub struct AuthKeys(Vec<Vec<u8>>);

impl AuthKeys {
    /// Returns keys of which the first signs; `keys` must not be empty.
    pub fn new(keys: Vec<Vec<u8>>) -> AuthKeys {
        assert!(!keys.is_empty(), "at least one key is needed");
        AuthKeys(keys)
    }

    /// Encodes and signs a message sent at `now_ms`.
    pub fn encode(&self, message: &Message, now_ms: u64) -> Vec<u8> {
        let datagram = Datagram { sent_ms: now_ms, message: message.clone() };
        let body = postcard::to_stdvec(&datagram).expect("a message serialises");
        let mut bytes = code(&self.0[0], &body).to_vec();
        bytes.extend_from_slice(&body);
        bytes
    }

    /// Verifies and decodes a datagram received at `now_ms`.
    ///
    /// A copy sent again within the accepted time changes nothing, since reports are ordered by
    /// incarnation and version.
    pub fn decode(&self, bytes: &[u8], now_ms: u64) -> Result<Message, WireError> {
        if MAX_DATAGRAM < bytes.len() {
            return Err(WireError::Malformed);
        }
        let (found, body) = bytes.split_at_checked(CODE_BYTES).ok_or(WireError::Malformed)?;
        let is_genuine = self.0.iter().any(|key| {
            use subtle::ConstantTimeEq;
            code(key, body).ct_eq(found).into()
        });
        if !is_genuine {
            return Err(WireError::BadCode);
        }
        let datagram: Datagram = postcard::from_bytes(body).map_err(|_| WireError::Malformed)?;
        if MAX_SKEW_MS < datagram.sent_ms.abs_diff(now_ms) {
            return Err(WireError::Stale);
        }
        if MAX_STATES < datagram.message.states.len() {
            return Err(WireError::Malformed);
        }
        Ok(datagram.message)
    }
}

fn code(key: &[u8], body: &[u8]) -> [u8; CODE_BYTES] {
    let mut mac = Hmac::<Sha256>::new_from_slice(key).expect("any key length is accepted");
    mac.update(body);
    let full = mac.finalize().into_bytes();
    let mut code = [0; CODE_BYTES];
    code.copy_from_slice(&full[..CODE_BYTES]);
    code
}

/// Returns the bytes that a report occupies in a datagram.
pub(crate) fn state_bytes(state: &NodeState) -> usize {
    postcard::experimental::serialized_size(state).unwrap_or(usize::MAX)
}
