//! The encoding and authentication of datagrams.

use displaydoc::Display;
use hmac::{Hmac, KeyInit, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;

use crate::{
    AgedNotice, Message, NodeState,
    notices::{EncodedNotice, MAX_ENCODED_BYTES, MAX_NOTICE_BYTES},
};

/// The largest datagram, in bytes.
///
/// A node sends about five datagrams a second and receives as many, so this keeps both directions
/// together within 10 KB/s. It also fits the MTU of any usual network without fragmentation; see
/// `docs/CAPACITY.md`.
pub const MAX_DATAGRAM: usize = 900;

/// The length of the truncated HMAC-SHA-256 that precedes the body, in bytes.
pub const MAC_BYTES: usize = 16;

/// The bytes reserved for everything but the MAC and the reports: time, kind and number.
const RESERVED_BYTES: usize = 128;

/// The most bytes that the reports of one datagram may take.
pub(crate) const MAX_STATES_BYTES: usize = MAX_DATAGRAM - MAC_BYTES - RESERVED_BYTES;

/// The size from which a report tells of some targets only: beside the sender's own report and the
/// notices, a datagram has room for one of another node.
const PARTIAL_REPORT_BYTES: usize = (MAX_STATES_BYTES - MAX_NOTICE_BYTES) / 2;

/// The bytes that a report has for loads and limits at least, however long its other parts are: enough
/// for the load and the limit of a target.
const MIN_LOAD_BYTES: usize = 160;

/// The most bytes of a report without loads and limits: two names and three addresses.
pub(crate) const MAX_STATUS_BYTES: usize = 240;

/// How far the sending time of a signed message may differ from the receiver's clock, in milliseconds.
pub const MAX_CLOCK_SKEW_MS: u64 = 10_000;

/// The most reports accepted in one datagram.
const MAX_STATES: usize = 256;

/// Why a datagram is rejected.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum DatagramError {
    /// the datagram is too long
    TooLong,
    /// the datagram is malformed
    Malformed,
    /// the datagram's authentication code does not match
    BadMac,
    /// the datagram's time differs too much from the local clock
    Stale,
}

impl std::error::Error for DatagramError {}

#[derive(Serialize, Deserialize)]
struct Datagram {
    sent_ms: u64,
    message: Message,
}

/// The shared keys that authenticate datagrams.
///
/// The first key signs and all keys verify, so that keys can be rotated while nodes run.
#[derive(Clone)]
pub struct AuthKeys(Vec<Vec<u8>>);

impl AuthKeys {
    /// Creates a set of keys of which the first signs.
    ///
    /// # Panics
    ///
    /// Panics if `keys` is empty.
    pub fn new(keys: Vec<Vec<u8>>) -> AuthKeys {
        assert!(!keys.is_empty(), "at least one key is needed");
        AuthKeys(keys)
    }

    /// Returns the authentication code of `bytes` under the first key.
    pub fn sign(&self, bytes: &[u8]) -> [u8; MAC_BYTES] {
        compute_mac(&self.0[0], bytes)
    }

    /// Returns whether `mac` is the authentication code of `bytes` under one of the keys.
    pub fn verify(&self, bytes: &[u8], mac: &[u8]) -> bool {
        use subtle::ConstantTimeEq;
        self.0.iter().any(|key| compute_mac(key, bytes).ct_eq(mac).into())
    }

    /// Encodes and signs a message; `now_ms` is the sender's wall-clock time in milliseconds.
    pub fn encode(&self, message: &Message, now_ms: u64) -> Vec<u8> {
        let datagram = Datagram { sent_ms: now_ms, message: message.clone() };
        let mut body = postcard::to_stdvec(&datagram).expect("a message serialises");
        // Nodes of releases without notices ignore what follows the message, and those without partial
        // reports what follows the notices.
        let is_partial = |(index, it): (u8, &NodeState)| it.summary.is_partial.then_some(index);
        let partial: Vec<u8> = (0..).zip(&message.states).filter_map(is_partial).collect();
        if !message.notices.is_empty() || !partial.is_empty() {
            let notices: Vec<_> = message.notices.iter().map(AgedNotice::encode).collect();
            body = postcard::to_extend(&notices, body).expect("notices serialise");
        }
        if !partial.is_empty() {
            body = postcard::to_extend(&partial, body).expect("positions serialise");
        }
        let mut bytes = self.sign(&body).to_vec();
        bytes.extend_from_slice(&body);
        bytes
    }

    /// Verifies and decodes a datagram; `now_ms` is the receiver's wall-clock time in milliseconds.
    ///
    /// A datagram replayed within the accepted clock skew has no effect, since reports are ordered
    /// by incarnation and version.
    pub fn decode(&self, bytes: &[u8], now_ms: u64) -> Result<Message, DatagramError> {
        if MAX_DATAGRAM < bytes.len() {
            return Err(DatagramError::TooLong);
        }
        let (mac, body) = bytes.split_at_checked(MAC_BYTES).ok_or(DatagramError::Malformed)?;
        if !self.verify(body, mac) {
            return Err(DatagramError::BadMac);
        }
        let (mut datagram, rest): (Datagram, &[u8]) =
            postcard::take_from_bytes(body).map_err(|_| DatagramError::Malformed)?;
        if MAX_CLOCK_SKEW_MS < datagram.sent_ms.abs_diff(now_ms) {
            return Err(DatagramError::Stale);
        }
        if MAX_STATES < datagram.message.states.len() {
            return Err(DatagramError::Malformed);
        }
        if !rest.is_empty() {
            let (notices, rest): (Vec<EncodedNotice>, &[u8]) =
                postcard::take_from_bytes(rest).map_err(|_| DatagramError::Malformed)?;
            datagram.message.notices = notices.iter().filter_map(AgedNotice::decode).collect();
            mark_partial(&mut datagram.message.states, rest)?;
        }
        Ok(datagram.message)
    }
}

/// Marks the partial ones among the reports, whose positions follow the notices.
fn mark_partial(states: &mut [NodeState], rest: &[u8]) -> Result<(), DatagramError> {
    if rest.is_empty() {
        return Ok(());
    }
    // What follows the positions belongs to a later release.
    let (partial, _): (Vec<u8>, &[u8]) =
        postcard::take_from_bytes(rest).map_err(|_| DatagramError::Malformed)?;
    for index in partial {
        if let Some(state) = states.get_mut(usize::from(index)) {
            state.summary.is_partial = true;
        }
    }
    Ok(())
}

fn compute_mac(key: &[u8], body: &[u8]) -> [u8; MAC_BYTES] {
    let mut hmac = Hmac::<Sha256>::new_from_slice(key).expect("any key length is accepted");
    hmac.update(body);
    let full = hmac.finalize().into_bytes();
    let mut mac = [0; MAC_BYTES];
    mac.copy_from_slice(&full[..MAC_BYTES]);
    mac
}

/// Returns the size of an encoded value in bytes.
pub(crate) fn encoded_bytes<T>(value: &T) -> usize
where
    T: Serialize,
{
    postcard::experimental::serialized_size(value).unwrap_or(usize::MAX)
}

/// Returns the bytes that loads and limits may take in the report `state`.
pub(crate) fn load_room(state: &NodeState) -> usize {
    let status = NodeState { summary: state.summary.without_loads(), ..state.clone() };
    PARTIAL_REPORT_BYTES.saturating_sub(encoded_bytes(&status)).max(MIN_LOAD_BYTES)
}

/// Returns an upper bound on the encoded size of notices in bytes.
pub(crate) fn notices_bytes(notices: &[AgedNotice]) -> usize {
    notices.len() * MAX_ENCODED_BYTES
}
