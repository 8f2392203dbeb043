//! Datagrams: no input makes decoding panic, and no forged or outdated datagram is accepted.

use proptest::prelude::*;
use rosethread_membership::{AuthKeys, DatagramError, MAX_DATAGRAM, Message, MessageKind};

fn keys(first: u8) -> AuthKeys {
    AuthKeys::new(vec![vec![first; 16], vec![first + 1; 16]])
}

fn message() -> Message {
    Message { kind: MessageKind::Ping, number: 7, states: Vec::new() }
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
