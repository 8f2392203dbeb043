//! Recognises a call that comes again, in another attempt or at another host.

use std::fmt;

use hmac::{Hmac, KeyInit, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;

use crate::call::Call;

/// Separates fingerprints from everything else that hosts authenticate with the same key.
const DOMAIN: &[u8] = b"rosethread call fingerprint";

/// A keyed digest of what a call asks for: method, host, path, previous turn and body.
///
/// Attempts of one call have the same fingerprint at all hosts. Because of the key, nobody else can
/// guess a body from a log, or make a body with another call's fingerprint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// Returns the fingerprint of a call under the hosts' shared key.
    pub fn of(call: &Call, key: &[u8]) -> Fingerprint {
        let mut hmac = Hmac::<Sha256>::new_from_slice(key).expect("any key length is accepted");
        let previous = call.previous.as_ref().map_or("", |it| it.as_str());
        let parts: [&[u8]; 6] = [
            DOMAIN,
            call.method.as_str().as_bytes(),
            call.host.as_bytes(),
            call.path.as_bytes(),
            previous.as_bytes(),
            &call.body,
        ];
        for part in parts {
            hmac.update(&(part.len() as u64).to_le_bytes());
            hmac.update(part);
        }
        let digest: [u8; 32] = hmac.finalize().into_bytes().into();
        let mut first = [0; 8];
        first.copy_from_slice(&digest[..8]);
        Fingerprint(u64::from_le_bytes(first))
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
