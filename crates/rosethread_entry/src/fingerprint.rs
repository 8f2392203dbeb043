//! Recognises a call that comes again, in another attempt or at another host, and calls like it.

use std::fmt;

use hmac::{Hmac, KeyInit, Mac};
use http::header;
use rosethread_types::{RequestId, ServiceName};
use serde::{Deserialize, Serialize};
use sha2::Sha256;

use crate::{call::Call, organisations::Identity};

/// Separates fingerprints from everything else that hosts authenticate with the same key.
const DOMAIN: &[u8] = b"rosethread call fingerprint";

/// A keyed digest of what a call asks for, which is the same at all hosts.
///
/// Because of the key, nobody else can guess a body from a log, or make a call with the fingerprint of
/// another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// Returns the fingerprint that all attempts of a call share: of its caller, method, host, path,
    /// previous turn and body.
    pub fn of_call(call: &Call, key: &[u8]) -> Fingerprint {
        let previous = call.previous.as_ref().map_or("", |it| it.as_str());
        digest(call, key, &[b"call", previous.as_bytes(), &call.body])
    }

    /// Returns the fingerprint of one attempt.
    pub(crate) fn of_attempt(id: &RequestId, key: &[u8]) -> Fingerprint {
        keyed_digest(key, [DOMAIN, b"attempt", id.as_str().as_bytes()].into_iter())
    }

    /// Returns the fingerprint of a service's name.
    pub(crate) fn of_service(service: &ServiceName, key: &[u8]) -> Fingerprint {
        keyed_digest(key, [DOMAIN, b"service", service.as_str().as_bytes()].into_iter())
    }

    /// Returns the fingerprint that all calls of a caller for one path share.
    pub fn of_path(call: &Call, key: &[u8]) -> Fingerprint {
        digest(call, key, &[b"path"])
    }
}

/// Returns a digest of `parts`, and of the caller, the method, the host and the path of a call.
fn digest(call: &Call, key: &[u8], parts: &[&[u8]]) -> Fingerprint {
    let caller = match &call.identity {
        Identity::Unchecked => {
            call.headers.get(header::AUTHORIZATION).map_or(&[][..], |it| it.as_bytes())
        }
        identity => identity.name().as_bytes(),
    };
    let common: [&[u8]; 5] = [
        DOMAIN,
        caller,
        call.method.as_str().as_bytes(),
        call.host.as_bytes(),
        call.path.as_bytes(),
    ];
    keyed_digest(key, common.iter().chain(parts).copied())
}

fn keyed_digest<'a, P>(key: &[u8], parts: P) -> Fingerprint
where
    P: Iterator<Item = &'a [u8]>,
{
    let mut hmac = Hmac::<Sha256>::new_from_slice(key).expect("any key length is accepted");
    for part in parts {
        // The length keeps bytes from moving between parts unnoticed.
        hmac.update(&(part.len() as u64).to_le_bytes());
        hmac.update(part);
    }
    let digest: [u8; 32] = hmac.finalize().into_bytes().into();
    let mut first = [0; 8];
    first.copy_from_slice(&digest[..8]);
    Fingerprint(u64::from_le_bytes(first))
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
