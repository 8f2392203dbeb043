//! The sealed continuation: what a caller carries from one turn to the next.

use displaydoc::Display;
use hmac::{Hmac, KeyInit, Mac};
use rosethread_types::{Digest, Epoch, NodeName, Revision, TargetName, Tokens, Turn};
use serde::{Deserialize, Serialize};
use sha2::Sha256;

use crate::Grant;

/// The length of the seal, in bytes.
const SEAL_BYTES: usize = 32;

/// The largest accepted continuation, in bytes of its text form.
const MAX_TEXT_BYTES: usize = 4096;

/// Everything a node needs to go on with a program it does not know.
///
/// Callers treat it as opaque. It proves that the program was created and how far it came, so that
/// it survives the loss of its owner even while the log is unavailable.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Continuation {
    /// What the program was given at its creation.
    pub grant: Grant,
    /// The node that owned the program when the continuation was sealed.
    pub owner: NodeName,
    /// The epoch of that ownership.
    pub epoch: Epoch,
    /// The number of the next turn.
    pub turn: Turn,
    /// Tokens spent so far.
    pub spent: Tokens,
    /// The digest of the history before `turn`.
    pub digest: Digest,
    /// The revision of the document under which the last turn ran.
    pub revision: Revision,
    /// The target that most likely still caches the history.
    pub target: Option<TargetName>,
}

/// Why a continuation is not accepted.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum SealError {
    /// the continuation is not in the form that this system issues
    Malformed,
    /// the continuation's seal is not genuine
    BadSeal,
}

impl std::error::Error for SealError {}

/// A secret key that seals continuations.
#[derive(Clone)]
pub struct SealKey(pub Vec<u8>);

/// The keys in use: the first seals, all verify, so that keys can be rotated without a break.
#[derive(Clone)]
pub struct SealKeys {
    current: SealKey,
    previous: Vec<SealKey>,
}

impl SealKeys {
    /// Returns keys of which `current` seals and `previous` are still accepted.
    pub fn new(current: SealKey, previous: Vec<SealKey>) -> SealKeys {
        SealKeys { current, previous }
    }

    /// Seals a continuation into the text that callers carry.
    pub fn seal(&self, continuation: &Continuation) -> String {
        let body = postcard::to_stdvec(continuation).expect("a continuation serialises");
        let mut bytes = authenticator(&self.current, &body).finalize().into_bytes().to_vec();
        bytes.extend_from_slice(&body);
        hex::encode(bytes)
    }

    /// Opens a sealed continuation; nothing of its content is looked at before the seal is checked.
    pub fn open(&self, text: &str) -> Result<Continuation, SealError> {
        if MAX_TEXT_BYTES < text.len() {
            return Err(SealError::Malformed);
        }
        let bytes = hex::decode(text).map_err(|_| SealError::Malformed)?;
        let (seal, body) = bytes.split_at_checked(SEAL_BYTES).ok_or(SealError::Malformed)?;
        let mut keys = std::iter::once(&self.current).chain(&self.previous);
        if !keys.any(|key| authenticator(key, body).verify_slice(seal).is_ok()) {
            return Err(SealError::BadSeal);
        }
        postcard::from_bytes(body).map_err(|_| SealError::Malformed)
    }
}

fn authenticator(key: &SealKey, body: &[u8]) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(&key.0).expect("any key length is accepted");
    mac.update(body);
    mac
}
