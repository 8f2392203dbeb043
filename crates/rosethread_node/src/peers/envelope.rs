//! Authentication of messages between nodes with a shared key (HMAC-SHA-256).

use std::{collections::BTreeMap, sync::Mutex};

use displaydoc::Display;
use hmac::{Hmac, KeyInit, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;

/// The maximum difference between an envelope's time and the receiver's clock, in milliseconds.
const MAX_SKEW_MS: u64 = 10_000;

/// The reason why an envelope is rejected.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(crate) enum EnvelopeError {
    /// the envelope's code is not valid hexadecimal
    Malformed,
    /// the envelope's code does not match its content
    BadCode,
    /// the envelope's time differs too much from this node's clock
    Stale,
    /// the envelope has been received before
    Replayed,
}

impl std::error::Error for EnvelopeError {}

/// A message between nodes, with its time, a nonce and an authentication code over all three.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Envelope {
    sent_ms: u64,
    nonce: u64,
    body: String,
    code: String,
}

/// The shared keys: the first signs envelopes, any of them verifies one, so keys can be rotated.
pub(crate) struct EnvelopeKeys {
    keys: Vec<Vec<u8>>,
    /// The nonces of recent envelopes, each with the time of its envelope in milliseconds.
    seen_nonces: Mutex<BTreeMap<u64, u64>>,
}

impl EnvelopeKeys {
    /// Returns keys of which the first signs.
    ///
    /// # Panics
    ///
    /// Panics if `keys` is empty.
    pub(crate) fn new(keys: Vec<Vec<u8>>) -> EnvelopeKeys {
        assert!(!keys.is_empty(), "at least one shared key is required");
        EnvelopeKeys { keys, seen_nonces: Mutex::default() }
    }

    /// Signs `body` at `now_ms`; `nonce` must be random, since a receiver accepts it only once.
    pub(crate) fn sign(&self, body: String, now_ms: u64, nonce: u64) -> Envelope {
        let code = compute_mac(&self.keys[0], now_ms, nonce, &body).finalize().into_bytes();
        Envelope { sent_ms: now_ms, nonce, body, code: hex::encode(code) }
    }

    /// Verifies an envelope received at `now_ms` and returns its body.
    pub(crate) fn open(&self, envelope: Envelope, now_ms: u64) -> Result<String, EnvelopeError> {
        let code = hex::decode(&envelope.code).map_err(|_| EnvelopeError::Malformed)?;
        let is_genuine = self.keys.iter().any(|key| {
            let expected = compute_mac(key, envelope.sent_ms, envelope.nonce, &envelope.body);
            expected.verify_slice(&code).is_ok()
        });
        if !is_genuine {
            return Err(EnvelopeError::BadCode);
        }
        if MAX_SKEW_MS < envelope.sent_ms.abs_diff(now_ms) {
            return Err(EnvelopeError::Stale);
        }
        let mut seen = self.seen_nonces.lock().expect("no holder of the nonces lock panics");
        if seen.insert(envelope.nonce, envelope.sent_ms).is_some() {
            return Err(EnvelopeError::Replayed);
        }
        if seen.len().is_multiple_of(1_024) {
            seen.retain(|_, sent_ms| now_ms <= *sent_ms + 2 * MAX_SKEW_MS);
        }
        Ok(envelope.body)
    }
}

fn compute_mac(key: &[u8], sent_ms: u64, nonce: u64, body: &str) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(key).expect("any key length is accepted");
    mac.update(&sent_ms.to_le_bytes());
    mac.update(&nonce.to_le_bytes());
    mac.update(body.as_bytes());
    mac
}
