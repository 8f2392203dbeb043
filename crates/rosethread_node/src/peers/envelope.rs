//! Authentication of calls between nodes by the shared key.

use std::{collections::BTreeMap, sync::Mutex};

use displaydoc::Display;
use hmac::{Hmac, KeyInit, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;

/// How far an envelope's time may differ from the receiver's, in milliseconds.
const MAX_SKEW_MS: u64 = 10_000;

/// Why an envelope is not accepted.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(crate) enum EnvelopeError {
    /// the envelope is not in the expected form
    Malformed,
    /// the envelope's code is not genuine
    BadCode,
    /// the envelope is too old or from the future
    Stale,
    /// the envelope has been received before
    Replayed,
}

impl std::error::Error for EnvelopeError {}

/// A signed message between nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Envelope {
    sent_ms: u64,
    nonce: u64,
    body: String,
    code: String,
}

/// The keys of envelopes: the first signs, all verify.
pub(crate) struct EnvelopeKeys {
    keys: Vec<Vec<u8>>,
    /// The nonces received lately, each with the time of its envelope.
    seen: Mutex<BTreeMap<u64, u64>>,
}

impl EnvelopeKeys {
    /// Returns keys of which the first signs; `keys` must not be empty.
    pub(crate) fn new(keys: Vec<Vec<u8>>) -> EnvelopeKeys {
        assert!(!keys.is_empty(), "at least one key is needed");
        EnvelopeKeys { keys, seen: Mutex::default() }
    }

    /// Signs `body` at `now_ms`; `nonce` is random.
    pub(crate) fn sign(&self, body: String, now_ms: u64, nonce: u64) -> Envelope {
        let code = authenticator(&self.keys[0], now_ms, nonce, &body).finalize().into_bytes();
        Envelope { sent_ms: now_ms, nonce, body, code: hex::encode(code) }
    }

    /// Verifies an envelope received at `now_ms` and returns its body.
    pub(crate) fn open(&self, envelope: Envelope, now_ms: u64) -> Result<String, EnvelopeError> {
        let code = hex::decode(&envelope.code).map_err(|_| EnvelopeError::Malformed)?;
        let is_genuine = self.keys.iter().any(|key| {
            let expected = authenticator(key, envelope.sent_ms, envelope.nonce, &envelope.body);
            expected.verify_slice(&code).is_ok()
        });
        if !is_genuine {
            return Err(EnvelopeError::BadCode);
        }
        if MAX_SKEW_MS < envelope.sent_ms.abs_diff(now_ms) {
            return Err(EnvelopeError::Stale);
        }
        let mut seen = self.seen.lock().expect("no holder of the nonces panics");
        if seen.insert(envelope.nonce, envelope.sent_ms).is_some() {
            return Err(EnvelopeError::Replayed);
        }
        if seen.len().is_multiple_of(1_024) {
            seen.retain(|_, sent_ms| now_ms <= *sent_ms + 2 * MAX_SKEW_MS);
        }
        Ok(envelope.body)
    }
}

fn authenticator(key: &[u8], sent_ms: u64, nonce: u64, body: &str) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(key).expect("any key length is accepted");
    mac.update(&sent_ms.to_le_bytes());
    mac.update(&nonce.to_le_bytes());
    mac.update(body.as_bytes());
    mac
}
