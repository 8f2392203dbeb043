//! Sealed continuations and caller-supplied history: altered or forged ones are rejected.

use std::time::Duration;

use proptest::prelude::*;
use rosethread_program::{
    Budget, Continuation, Exchange, Grant, History, HistoryError, Program, SealError, SealKey,
    SealKeys, Usage,
};
use rosethread_types::{Digest, Epoch, Reason, Revision};

fn grant(random: u128) -> Grant {
    Grant {
        program: format!("lyra.0.{random:032x}").parse().unwrap(),
        class: "long".parse().unwrap(),
        model: "m".parse().unwrap(),
        budget: Budget { tokens: 900, calls: 9, wall: Duration::from_secs(60), block: 90 },
        parent: None,
        created_ms: 0,
    }
}

fn continuation(random: u128, turn: u32, digest: Digest) -> Continuation {
    Continuation {
        grant: grant(random),
        owner: "node-1".parse().unwrap(),
        epoch: Epoch(3),
        turn,
        spent: 70,
        digest,
        revision: Revision(1),
        target: None,
    }
}

fn keys(current: u8, previous: &[u8]) -> SealKeys {
    let key = |it: u8| SealKey(vec![it; 16]);
    SealKeys::new(key(current), previous.iter().copied().map(key).collect())
}

fn exchange(number: usize) -> Exchange {
    Exchange {
        request: format!("r{number}").parse().unwrap(),
        input: format!("[\"{number}\"]"),
        answer: format!("answer {number}"),
        prompted: true,
        usage: Usage::default(),
    }
}

fn history(turns: usize) -> History {
    let mut history = History::default();
    for turn in 0..turns {
        history.push(exchange(turn));
    }
    history
}

fn check_open(sealed_by: u8, opened_by: SealKeys, expected: Result<(), SealError>) {
    let text = keys(sealed_by, &[]).seal(&continuation(7, 2, Digest::default()));
    assert_eq!(opened_by.open(&text).map(|_| ()), expected);
}

rosethread_cases::cases!(check_open {
    same_key: (1, keys(1, &[]), Ok(()));
    rotated_key: (1, keys(2, &[1]), Ok(()));
    retired_key: (1, keys(2, &[3]), Err(SealError::BadSeal));
});

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(12),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn a_changed_digit_is_detected(index in any::<prop::sample::Index>()) {
        let mut text = keys(1, &[]).seal(&continuation(7, 2, Digest::default())).into_bytes();
        let index = index.index(text.len());
        text[index] = if text[index] == b'0' { b'1' } else { b'0' };
        let text = String::from_utf8(text).unwrap();
        prop_assert_eq!(keys(1, &[]).open(&text), Err(SealError::BadSeal));
    }

    #[test]
    fn arbitrary_text_is_rejected(text in ".{0,300}") {
        prop_assert!(keys(1, &[]).open(&text).is_err());
    }

    /// A change of any field of any supplied turn is detected, and the history stays unchanged.
    #[test]
    fn tampered_history_is_rejected(
        known in 0_usize..4,
        total in 4_usize..8,
        changed in any::<prop::sample::Index>(),
        field in 0_u8..4,
    ) {
        let digest = history(total).digest();
        let mut supplied: Vec<Exchange> = (known..total).map(exchange).collect();
        let changed = changed.index(supplied.len());
        match field {
            0 => supplied[changed].answer.push('x'),
            1 => supplied[changed].input.push('x'),
            2 => supplied[changed].request = "other".parse().unwrap(),
            _ => supplied[changed].prompted = false,
        }
        let mut history = history(known);
        let result = history.extend_verified(&supplied, total as u32, digest);
        prop_assert_eq!(result, Err(HistoryError::DigestMismatch));
        prop_assert_eq!(history.next_turn() as usize, known);
    }

    /// Unaltered turns are accepted from any starting turn, as long as none is missing.
    #[test]
    fn valid_history_is_accepted(known in 0_usize..4, total in 4_usize..8, start in 0_usize..5) {
        let supplied: Vec<Exchange> = (start..total).map(exchange).collect();
        let mut history = history(known);
        let result = history.extend_verified(&supplied, total as u32, self::history(total).digest());
        if known < start {
            prop_assert_eq!(result, Err(HistoryError::Gap));
        } else {
            prop_assert_eq!(result, Ok(()));
            prop_assert_eq!(history, self::history(total));
        }
    }
}

fn check_program(continuation: &Continuation, expected: Result<(), Reason>) {
    let mut program = Program::new(grant(7));
    program.history = history(3);
    assert_eq!(program.check_continuation(continuation).map_err(|it| it.reason), expected);
}

rosethread_cases::cases!(check_program {
    current: (&continuation(7, 3, history(3).digest()), Ok(()));
    missed_an_answer: (&continuation(7, 2, history(2).digest()), Ok(()));
    ahead: (&continuation(7, 4, history(4).digest()), Err(Reason::HistoryNeeded));
    another_digest: (&continuation(7, 3, history(2).digest()), Err(Reason::HistoryMismatch));
    another_program: (&continuation(8, 3, history(3).digest()), Err(Reason::BadContinuation));
});
