//! The turn cache: the transcript that a target receives for a turn which continues others.

use std::time::Duration;

use rosethread_entry::{FinishedTurn, ShardTurnCache, TurnLookup, TurnTree, turn_records};

fn turn(id: &str, previous: Option<&str>, input: &str, output: &str) -> FinishedTurn {
    FinishedTurn {
        id: id.parse().unwrap(),
        previous: previous.map(|it| it.parse().unwrap()),
        input: input.into(),
        output: output.into(),
    }
}

fn tree() -> TurnTree {
    let mut tree = TurnTree::default();
    tree.insert(turn("a", None, "A", "a\n"), None, Duration::ZERO);
    tree.insert(turn("b", Some("a"), "B", "b\n"), None, Duration::ZERO);
    tree.insert(turn("c", Some("a"), "C", "c\n"), None, Duration::ZERO);
    tree.insert(turn("lost", Some("never-kept"), "L", "l\n"), None, Duration::ZERO);
    tree
}

fn check_transcript(id: &str, expected: Option<&str>) {
    let text = tree().transcript(&id.parse().unwrap(), Duration::ZERO);
    assert_eq!(text.as_deref(), expected.map(str::as_bytes));
}

rosethread_cases::cases!(check_transcript {
    the_first_turn: ("a", Some("Aa\n"));
    a_second_turn: ("b", Some("Aa\nBb\n"));
    another_branch: ("c", Some("Aa\nCc\n"));
    an_unknown_turn: ("z", None);
    a_turn_with_a_missing_ancestor: ("lost", None);
});

#[test]
fn using_a_turn_keeps_its_ancestors_from_expiring() {
    let mut tree = tree();
    let ttl = Duration::from_secs(10);
    let used_at = Duration::from_secs(6);
    assert!(tree.transcript(&"b".parse().unwrap(), used_at).is_some());
    tree.expire(Duration::from_secs(11), ttl);
    assert_eq!(tree.size().0, 2, "a and b were used, c was not");
    assert!(tree.transcript(&"b".parse().unwrap(), used_at).is_some());
    tree.expire(Duration::from_secs(30), ttl);
    assert_eq!(tree.size(), (0, 0));
}

/// The time after which unused turns expire.
const TTL: Duration = Duration::from_secs(120);

/// Returns the log records of a conversation whose turns were written 50 s apart, with their times.
fn records() -> Vec<(Duration, bytes::Bytes)> {
    let chain = [("a", None), ("b", Some("a")), ("c", Some("b")), ("d", Some("c"))];
    let times = (0..).step_by(50).map(Duration::from_secs);
    let written = chain.into_iter().zip(times);
    let encoded = written.flat_map(|((id, previous), time)| {
        let turn = turn(id, previous, id, "\n");
        turn_records(&turn, None, 135).into_iter().map(move |it| (time, it))
    });
    encoded.collect()
}

/// Reads the records that are in the log at `now` and have not been read yet.
fn read_new_records(turns: &mut ShardTurnCache, now: Duration) {
    let written = records().into_iter().enumerate().filter(|(_, (time, _))| *time <= now);
    for (offset, (_, data)) in written.skip(turns.next_offset() as usize) {
        turns.apply_record(offset as u64, &data, now).unwrap();
    }
}

/// Looks up a turn on a host that read the log at the given times and expired turns at the last of
/// them; scans the log again as long as the cache asks for it.
fn check_lookup(read_at_s: &[u64], id: &str, expected: Option<&str>) {
    let mut turns = ShardTurnCache::default();
    let mut now = Duration::ZERO;
    for time in read_at_s {
        now = Duration::from_secs(*time);
        read_new_records(&mut turns, now);
    }
    turns.expire(now, TTL);
    let id = id.parse().unwrap();
    let mut found = turns.lookup(&id, now);
    let mut restarts = 0;
    while !matches!(found, TurnLookup::Transcript(_)) && turns.restart_scan() {
        restarts += 1;
        assert!(restarts < 2, "the partition is read over and over");
        read_new_records(&mut turns, now);
        found = turns.lookup(&id, now);
    }
    let text = expected.map(|it| TurnLookup::Transcript(it.to_owned().into()));
    assert_eq!(found, text.unwrap_or(TurnLookup::NotFound));
}

rosethread_cases::cases!(check_lookup {
    // Guards against loss: a host expired turns that were still continued on other hosts, and then
    // reported a turn that had just been answered as unknown.
    a_turn_with_expired_ancestors_is_found: (&[0, 160], "d", Some("a\nb\nc\nd\n"));
    // Guards against loss: a host reported a turn that it had expired as one that never existed.
    an_expired_turn_is_found: (&[0, 160], "a", Some("a\n"));
    // Guards against reading the partition over and over for a turn that never existed.
    a_turn_that_never_existed_is_not_found: (&[0, 160], "never", None);
});

/// The log has dropped the first turn, so a later one is present but can't be continued.
#[test]
fn a_turn_with_a_missing_ancestor_is_incomplete() {
    let mut turns = ShardTurnCache::default();
    turns.insert(turn("b", Some("a"), "B", "b\n"), None, Duration::ZERO);
    assert_eq!(turns.lookup(&"b".parse().unwrap(), Duration::ZERO), TurnLookup::Incomplete);
    assert_eq!(turns.lookup(&"a".parse().unwrap(), Duration::ZERO), TurnLookup::NotFound);
}

// Guards against a lookup without end, which takes all memory, where a turn continues itself (LOST).
#[test]
fn a_turn_that_is_its_own_ancestor_has_no_transcript() {
    for previous in ["a", "c"] {
        let mut tree = tree();
        tree.insert(turn("a", Some(previous), "A", "a\n"), None, Duration::ZERO);
        assert_eq!(tree.transcript(&"c".parse().unwrap(), Duration::ZERO), None);
        assert_eq!(tree.transcript(&"a".parse().unwrap(), Duration::ZERO), None);
    }
}

/// Applies a record with a fragment of a turn as any process may write it, and then a regular turn.
fn check_odd_fragment(index: u32, count: u32, bytes: &[u8], is_valid: bool) {
    let mut cache = ShardTurnCache::default();
    let odd = postcard::to_stdvec(&("odd", index, count, bytes)).unwrap();
    assert_eq!(cache.apply_record(0, &odd, Duration::ZERO).is_ok(), is_valid);
    let records = turn_records(&turn("a", None, "A", "a\n"), None, 4_096);
    for (offset, record) in (1..).zip(&records) {
        cache.apply_record(offset, record, Duration::ZERO).unwrap();
    }
    let found = cache.lookup(&"a".parse().unwrap(), Duration::ZERO);
    assert_eq!(found, TurnLookup::Transcript("Aa\n".into()));
}

// Guards against a reader of the log that ends because of one odd record (LOST).
rosethread_cases::cases!(check_odd_fragment {
    the_largest_index: (u32::MAX, 1, b"x", true);
    the_largest_index_and_count: (u32::MAX, u32::MAX, b"x", true);
    the_largest_count: (0, u32::MAX, b"x", true);
    no_fragments: (0, 0, b"x", false);
    no_bytes: (0, 1, b"", false);
});
