//! Kept turns: what a target is to receive for a turn that continues others.

use std::time::Duration;

use rosethread_entry::{ShardTurnCache, Turn, TurnLookup, TurnTree, turn_records};

fn turn(id: &str, previous: Option<&str>, input: &str, output: &str) -> Turn {
    Turn {
        id: id.parse().unwrap(),
        previous: previous.map(|it| it.parse().unwrap()),
        input: input.into(),
        output: output.into(),
    }
}

fn tree() -> TurnTree {
    let mut chains = TurnTree::default();
    chains.keep(turn("a", None, "A", "a\n"), Duration::ZERO);
    chains.keep(turn("b", Some("a"), "B", "b\n"), Duration::ZERO);
    chains.keep(turn("c", Some("a"), "C", "c\n"), Duration::ZERO);
    chains.keep(turn("lost", Some("never-kept"), "L", "l\n"), Duration::ZERO);
    chains
}

fn check_text(id: &str, expected: Option<&str>) {
    let text = tree().text(&id.parse().unwrap(), Duration::ZERO);
    assert_eq!(text.as_deref(), expected.map(str::as_bytes));
}

rosethread_cases::cases!(check_text {
    the_first_turn: ("a", Some("Aa\n"));
    a_second_turn: ("b", Some("Aa\nBb\n"));
    another_branch: ("c", Some("Aa\nCc\n"));
    an_unknown_turn: ("z", None);
    a_turn_whose_chain_has_a_gap: ("lost", None);
});

#[test]
fn a_turn_that_is_used_stays_with_its_whole_chain() {
    let mut chains = tree();
    let age = Duration::from_secs(10);
    let later = Duration::from_secs(6);
    assert!(chains.text(&"b".parse().unwrap(), later).is_some());
    chains.expire(Duration::from_secs(11), age);
    assert_eq!(chains.size().0, 2, "a and b were used, c was not");
    assert!(chains.text(&"b".parse().unwrap(), later).is_some());
    chains.expire(Duration::from_secs(30), age);
    assert_eq!(chains.size(), (0, 0));
}

/// The age from which turns without use are forgotten.
const AGE: Duration = Duration::from_secs(120);

/// The records of a chain of which each turn was written 50 s after the one before.
fn records() -> Vec<(Duration, bytes::Bytes)> {
    let chain = [("a", None), ("b", Some("a")), ("c", Some("b")), ("d", Some("c"))];
    let times = (0..).step_by(50).map(Duration::from_secs);
    let written = chain.into_iter().zip(times);
    let pieces = written.flat_map(|((id, previous), time)| {
        let turn = turn(id, previous, id, "\n");
        turn_records(&turn, 135).into_iter().map(move |it| (time, it))
    });
    pieces.collect()
}

/// Reads what is in the log at `now` and has not been read.
fn read_on(turns: &mut ShardTurnCache, now: Duration) {
    let written = records().into_iter().enumerate().filter(|(_, (time, _))| *time <= now);
    for (offset, (_, data)) in written.skip(turns.next() as usize) {
        turns.take(offset as u64, &data, now).unwrap();
    }
}

/// Looks for a turn at a host that has read the log at these times, tidied up at the last of them,
/// and reads the log again if that may help.
fn check_find(read_at_s: &[u64], id: &str, expected: Option<&str>) {
    let mut turns = ShardTurnCache::default();
    let mut now = Duration::ZERO;
    for time in read_at_s {
        now = Duration::from_secs(*time);
        read_on(&mut turns, now);
    }
    turns.expire(now, AGE);
    let id = id.parse().unwrap();
    let mut found = turns.find(&id, now);
    let mut restarts = 0;
    while !matches!(found, TurnLookup::Transcript(_)) && turns.restart() {
        restarts += 1;
        assert!(restarts < 2, "the partition is read without end");
        read_on(&mut turns, now);
        found = turns.find(&id, now);
    }
    let text = expected.map(|it| TurnLookup::Transcript(it.to_owned().into()));
    assert_eq!(found, text.unwrap_or(TurnLookup::NotFound));
}

rosethread_cases::cases!(check_find {
    // Guards against LOST: a host forgot turns that others went on from, and said that there was
    // no turn that was answered a moment ago.
    a_turn_whose_ancestors_were_forgotten_is_found: (&[0, 160], "d", Some("a\nb\nc\nd\n"));
    // Guards against LOST: a host said of a turn that it had forgotten that it never was.
    a_forgotten_turn_is_found: (&[0, 160], "a", Some("a\n"));
    // Guards against reading a partition without end for a turn that never was.
    a_turn_that_never_was_is_not_found: (&[0, 160], "never", None);
});

/// A chain whose begin the log has dropped.
#[test]
fn a_turn_without_its_ancestors_is_not_said_to_be_unknown() {
    let mut turns = ShardTurnCache::default();
    turns.keep(turn("b", Some("a"), "B", "b\n"), Duration::ZERO);
    assert_eq!(turns.find(&"b".parse().unwrap(), Duration::ZERO), TurnLookup::Incomplete);
    assert_eq!(turns.find(&"a".parse().unwrap(), Duration::ZERO), TurnLookup::NotFound);
}
