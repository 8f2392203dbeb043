//! Sealed continuations: authenticated program state that callers carry from turn to turn.

use displaydoc::Display;
use hmac::{Hmac, KeyInit, Mac};
use rosethread_types::{Digest, Epoch, NodeName, Revision, TargetName, Tokens, Turn};
use serde::{Deserialize, Serialize};
use sha2::Sha256;

use crate::Grant;

/// The length of the seal, an HMAC-SHA-256 tag, in bytes.
const SEAL_BYTES: usize = 32;

/// The longest accepted continuation, in bytes of its hexadecimal text.
const MAX_TEXT_BYTES: usize = 4096;

/// The state from which a node can resume a program that it has no record of.
///
/// Callers treat it as opaque. It proves that the program was created and which turns have
/// finished, so a program survives the loss of its owner even while the log is unavailable.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Continuation {
    /// The program's identity and limits, fixed at creation.
    pub grant: Grant,
    /// The node that owned the program when the continuation was sealed.
    pub owner: NodeName,
    /// The epoch of that owner's claim.
    pub epoch: Epoch,
    /// The number of the next turn.
    pub turn: Turn,
    /// Tokens spent so far.
    pub spent: Tokens,
    /// The digest of all turns before `turn`.
    pub digest: Digest,
    /// The revision of the document under which the last turn ran.
    pub revision: Revision,
    /// The target that most likely still has the history in its cache.
    pub target: Option<TargetName>,
}

/// Why a continuation was rejected.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum SealError {
    /// the continuation is malformed
    Malformed,
    /// the continuation's seal does not verify
    BadSeal,
}

impl std::error::Error for SealError {}

/// A secret key for the seal of continuations.
#[derive(Clone)]
pub struct SealKey(pub Vec<u8>);

/// The keys in use: the current one seals, and all of them verify.
///
/// Keys can thus be rotated without rejecting continuations that callers already hold.
#[derive(Clone)]
pub struct SealKeys {
    current: SealKey,
    previous: Vec<SealKey>,
}

impl SealKeys {
    /// Creates a key set that seals with `current` and still accepts seals by `previous`.
    pub fn new(current: SealKey, previous: Vec<SealKey>) -> SealKeys {
        SealKeys { current, previous }
    }

    /// Encodes and seals a continuation as hexadecimal text.
    pub fn seal(&self, continuation: &Continuation) -> String {
        let body = postcard::to_stdvec(continuation).expect("a continuation serialises");
        let mut bytes = compute_mac(&self.current, &body).finalize().into_bytes().to_vec();
        bytes.extend_from_slice(&body);
        hex::encode(bytes)
    }

    /// Verifies and decodes a sealed continuation; nothing is decoded before the seal verifies.
    pub fn open(&self, text: &str) -> Result<Continuation, SealError> {
        if MAX_TEXT_BYTES < text.len() {
            return Err(SealError::Malformed);
        }
        let bytes = hex::decode(text).map_err(|_| SealError::Malformed)?;
        let (seal, body) = bytes.split_at_checked(SEAL_BYTES).ok_or(SealError::Malformed)?;
        let mut keys = std::iter::once(&self.current).chain(&self.previous);
        if !keys.any(|key| compute_mac(key, body).verify_slice(seal).is_ok()) {
            return Err(SealError::BadSeal);
        }
        postcard::from_bytes(body).map_err(|_| SealError::Malformed)
    }
}

fn compute_mac(key: &SealKey, body: &[u8]) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(&key.0).expect("any key length is accepted");
    mac.update(body);
    mac
}
