//! Datagrams: no input makes decoding panic, no forged or outdated datagram is accepted, and nodes of
//! the last release and of later ones understand each other.

use std::{net::SocketAddr, time::Duration};

use proptest::prelude::*;
use rosethread_membership::{
    AgedNotice, AuthKeys, Contact, DatagramError, MAX_DATAGRAM, Message, MessageKind, NodeState,
    NodeSummary, Notice, Status, TargetLimit, TargetLoad,
};
use rosethread_types::{Incarnation, Revision};
use serde::Deserialize;

fn keys(first: u8) -> AuthKeys {
    AuthKeys::new(vec![vec![first; 16], vec![first + 1; 16]])
}

fn message() -> Message {
    Message { kind: MessageKind::Ping, number: 7, states: Vec::new(), notices: Vec::new() }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(15),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn arbitrary_bytes_are_rejected(bytes in proptest::collection::vec(any::<u8>(), 0..2_000)) {
        prop_assert!(keys(1).decode(&bytes, 0).is_err());
    }

    #[test]
    fn a_flipped_bit_is_detected(index in any::<prop::sample::Index>(), bit in 0_u8..8) {
        let mut bytes = keys(1).encode(&message(), 1_000);
        let index = index.index(bytes.len());
        bytes[index] ^= 1 << bit;
        prop_assert_eq!(keys(1).decode(&bytes, 1_000), Err(DatagramError::BadMac));
    }
}

fn check_decode(sender: u8, sent_ms: u64, now_ms: u64, expected: Result<(), DatagramError>) {
    let bytes = keys(sender).encode(&message(), sent_ms);
    assert!(bytes.len() <= MAX_DATAGRAM);
    assert_eq!(keys(1).decode(&bytes, now_ms).map(|_| ()), expected);
}

rosethread_cases::cases!(check_decode {
    genuine: (1, 1_000, 2_000, Ok(()));
    rotated_key: (2, 1_000, 2_000, Ok(()));
    foreign_key: (9, 1_000, 2_000, Err(DatagramError::BadMac));
    old: (1, 1_000, 60_000, Err(DatagramError::Stale));
    from_the_future: (1, 60_000, 1_000, Err(DatagramError::Stale));
});

/// The datagram with [`report`] as the release before notices sent it, without its MAC.
const LAST_RELEASE: &str = concat!(
    "369d4e49bee65330c60ed73f3d3b8e17e8070007010966726f6e742d612d31d89bd497d1330c00066861",
    "6c6c2d61000a010026d53f000a010026d037000a010026d13704090001320103742d3103000103742d32",
    "e807c413",
);

/// The body of a datagram as the release before notices reads it.
#[derive(Deserialize)]
struct LastReleaseDatagram {
    sent_ms: u64,
    message: LastReleaseMessage,
}

#[derive(Deserialize)]
struct LastReleaseMessage {
    kind: MessageKind,
    number: u64,
    states: Vec<NodeState>,
}

/// The length of the MAC before the body.
const MAC_BYTES: usize = 16;

fn report() -> NodeState {
    let address = |port: u16| SocketAddr::from(([10, 1, 0, 38], port));
    NodeState {
        node: "front-a-1".parse().unwrap(),
        incarnation: Incarnation(1_774_139_543_000),
        version: 12,
        status: Status::Alive,
        contact: Contact {
            zone: "hall-a".parse().unwrap(),
            caller: address(8_149),
            peer: address(7_120),
            heartbeat: address(7_121),
        },
        summary: NodeSummary {
            revision: Revision(4),
            calls: 9,
            programs: 0,
            has_log: true,
            power: 50,
            targets: vec![TargetLoad { target: "t-1".parse().unwrap(), running: 3, waiting: 0 }],
            limits: vec![TargetLimit {
                target: "t-2".parse().unwrap(),
                start: Incarnation(1_000),
                milli_per_s: 2_500,
            }],
            is_partial: false,
        },
    }
}

fn notices() -> Vec<AgedNotice> {
    let aged = |notice, age| AgedNotice { notice, age: Duration::from_millis(age) };
    vec![
        aged(Notice::Crash { call: u64::MAX, run: 7 }, 200),
        aged(Notice::Completed { call: 3 }, 0),
    ]
}

fn message_with(notices: Vec<AgedNotice>) -> Message {
    Message { kind: MessageKind::Ping, number: 7, states: vec![report()], notices }
}

// Guards against a change of the encoding that hosts of the last release don't understand, or whose
// datagrams aren't understood, while hosts are replaced in turn.
#[test]
fn datagrams_of_the_last_release_are_understood() {
    let bytes = hex::decode(LAST_RELEASE).unwrap();
    assert_eq!(keys(1).decode(&bytes, 1_000), Ok(message_with(Vec::new())));
    assert_eq!(keys(1).encode(&message_with(Vec::new()), 1_000), bytes);
}

#[test]
fn the_last_release_understands_datagrams_with_notices() {
    let bytes = keys(1).encode(&message_with(notices()), 1_000);
    let datagram: LastReleaseDatagram = postcard::from_bytes(&bytes[MAC_BYTES..]).unwrap();
    assert_eq!(datagram.sent_ms, 1_000);
    assert_eq!((datagram.message.kind, datagram.message.number), (MessageKind::Ping, 7));
    assert_eq!(datagram.message.states, [report()]);
}

#[test]
fn notices_arrive_as_they_were_sent() {
    let bytes = keys(1).encode(&message_with(notices()), 1_000);
    assert_eq!(keys(1).decode(&bytes, 1_000), Ok(message_with(notices())));
}

/// A report of 80 busy targets, and whether others are left out of it.
fn busy_report(is_partial: bool) -> NodeState {
    let load = |it: usize| TargetLoad {
        target: format!("t-{it}").parse().unwrap(),
        running: 1,
        waiting: 0,
    };
    let summary =
        NodeSummary { targets: (0..80).map(load).collect(), is_partial, ..report().summary };
    NodeState { summary, ..report() }
}

/// Hosts of the last release read a report of many busy targets, partial or not, as a complete one, and this
/// one reads theirs.
fn check_busy_report(notices: Vec<AgedNotice>, is_partial: bool) {
    let states = vec![report(), busy_report(is_partial)];
    let sent = Message { states, ..message_with(notices.clone()) };
    let bytes = keys(1).encode(&sent, 1_000);
    assert!(bytes.len() <= MAX_DATAGRAM);
    assert_eq!(keys(1).decode(&bytes, 1_000), Ok(sent));
    let (datagram, rest): (LastReleaseDatagram, &[u8]) =
        postcard::take_from_bytes(&bytes[MAC_BYTES..]).unwrap();
    assert_eq!(datagram.message.states, [report(), busy_report(false)]);
    if !rest.is_empty() {
        // The kind, the age and the body of each notice; what follows is not read.
        type EncodedNotices = Vec<(u8, u16, Vec<u8>)>;
        let (read, _): (EncodedNotices, &[u8]) = postcard::take_from_bytes(rest).unwrap();
        assert_eq!(read.len(), notices.len());
    }
}

rosethread_cases::cases!(check_busy_report {
    a_report_of_many_targets_is_read_by_both_releases: (Vec::new(), false);
    a_partial_report_is_read_by_both_releases: (Vec::new(), true);
    a_partial_report_with_notices_is_read_by_both_releases: (notices(), true);
});

/// Signs a body that a later release may send, with what `tail` adds to a message without notices.
fn later_datagram(tail: &[u8]) -> Vec<u8> {
    use hmac::{Hmac, KeyInit, Mac};
    let mut body = keys(1).encode(&message_with(Vec::new()), 1_000).split_off(MAC_BYTES);
    body.extend_from_slice(tail);
    let mut mac = Hmac::<sha2::Sha256>::new_from_slice(&[1; 16]).unwrap();
    mac.update(&body);
    let mac: [u8; 32] = mac.finalize().into_bytes().into();
    [&mac[..MAC_BYTES], &body].concat()
}

fn check_later(tail: &[u8], expected: Vec<AgedNotice>) {
    assert_eq!(keys(1).decode(&later_datagram(tail), 1_000), Ok(message_with(expected)));
}

rosethread_cases::cases!(check_later {
    notices_of_an_unknown_kind_are_skipped: (&[2, 99, 0, 2, 1, 2, 2, 0, 8, 3, 0, 0, 0, 0, 0, 0, 0],
        vec![AgedNotice { notice: Notice::Completed { call: 3 }, age: Duration::ZERO }]);
    a_notice_may_have_more_bytes: (&[1, 2, 0, 9, 3, 0, 0, 0, 0, 0, 0, 0, 77],
        vec![AgedNotice { notice: Notice::Completed { call: 3 }, age: Duration::ZERO }]);
    a_notice_with_too_few_bytes_is_skipped: (&[1, 2, 0, 2, 3, 0], Vec::new());
    what_follows_the_notices_is_skipped: (&[0, 1, 2, 3, 4], Vec::new());
    what_follows_the_partial_reports_is_skipped: (&[0, 0, 1, 2, 3], Vec::new());
});
