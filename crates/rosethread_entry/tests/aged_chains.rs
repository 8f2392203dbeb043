//! Conversations that are older than the records of the log: a model of one shard, whose responsible
//! host may be replaced at any time.

use std::{collections::BTreeMap, time::Duration};

use bytes::Bytes;
use rosethread_entry::{
    FinishedTurn, Lifetimes, Now, ShardTurnCache, TurnLookup, TurnTimes, turn_records,
};
use rosethread_platform::KeyedValue;
use rosethread_types::RequestId;

/// The wall-clock time at which the model starts.
const START: Duration = Duration::from_secs(1_000_000);

const RECORD_BYTES: usize = 1_024;

/// The longest time between the write of a turn and the check of what has to be copied.
const CHECK_PERIOD: Duration = Duration::from_secs(1);

const fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn turn(number: u64, input: &str) -> FinishedTurn {
    let id = |number: u64| format!("turn-{number}").parse().unwrap();
    FinishedTurn {
        id: id(number),
        previous: number.checked_sub(1).map(id),
        input: input.into(),
        output: format!("answer {number}\n").into(),
    }
}

/// The transcript up to and including turn `last`.
fn transcript(last: u64, input: &str) -> Bytes {
    (0..=last).map(|it| format!("{input}answer {it}\n")).collect::<String>().into()
}

/// The store, and the host that looks after the shard.
struct Shard {
    lifetimes: Lifetimes,
    /// Whether turns carry times, which those of earlier releases do not.
    has_times: bool,
    records: BTreeMap<u64, (Duration, Bytes)>,
    end: u64,
    copies: BTreeMap<String, Bytes>,
    host: ShardTurnCache,
    now: Duration,
    /// The bytes of turns written to the log.
    turn_bytes: usize,
    /// The bytes of copies and of their deletions.
    copy_bytes: usize,
}

impl Shard {
    fn new(record: Duration, turn: Duration) -> Shard {
        Shard {
            lifetimes: Lifetimes { record, turn },
            has_times: true,
            records: BTreeMap::new(),
            end: 0,
            copies: BTreeMap::new(),
            host: ShardTurnCache::default(),
            now: Duration::ZERO,
            turn_bytes: 0,
            copy_bytes: 0,
        }
    }

    fn at(&self) -> Now {
        Now { process: self.now, wall: START + self.now }
    }

    /// Lets time pass, in which the store drops records and the host looks after the chains.
    fn pass(&mut self, time: Duration) {
        self.now += time;
        let now = self.now;
        self.records.retain(|_, (written, _)| now < *written + self.lifetimes.record);
        self.refresh();
    }

    fn refresh(&mut self) {
        let plan = self.host.plan_chains(self.lifetimes, self.at());
        for id in &plan.copy {
            self.write(self.change(id, true));
            self.host.set_copied(id, true);
        }
        for id in &plan.drop {
            self.write(self.change(id, false));
            self.host.set_copied(id, false);
        }
    }

    /// Returns the values that copy a turn, or drop its copy.
    fn change(&self, id: &RequestId, is_copy: bool) -> Vec<KeyedValue> {
        let ids = std::slice::from_ref(id);
        self.host.chain_batch(ids, is_copy, RECORD_BYTES, 0).1
    }

    fn write(&mut self, values: Vec<KeyedValue>) {
        for KeyedValue { key, value } in values {
            self.copy_bytes += key.len() + value.len();
            assert!(key.len() + value.len() < RECORD_BYTES, "a value that the store refuses");
            match value.is_empty() {
                true => assert!(self.copies.remove(&key).is_some(), "{key} is dropped twice"),
                false => assert!(self.copies.insert(key, value).is_none(), "copied twice"),
            }
        }
    }

    /// Continues the conversation through the host, which has to know it.
    fn add_turn(&mut self, number: u64, input: &str) {
        if let Some(last) = number.checked_sub(1) {
            self.check_transcript(last, input);
        }
        let turn = turn(number, input);
        let times = TurnTimes {
            written_ms: (START + self.now).as_millis() as u64,
            keep_ms: self.lifetimes.turn.as_millis() as u64,
        };
        let times = Some(times).filter(|_| self.has_times);
        for record in turn_records(&turn, times, RECORD_BYTES) {
            self.turn_bytes += record.len();
            self.records.insert(self.end, (self.now, record));
            self.end += 1;
        }
        self.host.insert(turn, times, self.now);
    }

    /// Replaces the host by one that knows only what the store has.
    fn replace_host(&mut self) {
        self.host = ShardTurnCache::default();
        for (offset, (_, data)) in &self.records {
            self.host.apply_record(*offset, data, self.now).unwrap();
        }
        let values = self.copies.iter();
        let values: Vec<KeyedValue> = values
            .map(|(key, value)| KeyedValue { key: key.clone(), value: value.clone() })
            .collect();
        assert_eq!(self.host.apply_values(&values, self.now), 0, "a value can't be decoded");
    }

    fn check_transcript(&mut self, last: u64, input: &str) {
        let found = self.host.lookup(&turn(last, "").id, self.now);
        let expected = TurnLookup::Transcript(transcript(last, input));
        assert!(found == expected, "turn {last} at {:?}: {found:?}", self.now);
    }
}

/// Sends `count` turns, one every `pause`, to a shard whose host is replaced before each
/// `replace_every`th of them, just before the turn before is owed no longer.
fn check_conversation(
    (record_s, turn_s): (u64, u64),
    pause_s: u64,
    count: u64,
    replace_every: u64,
    has_times: bool,
) {
    let mut shard = Shard { has_times, ..Shard::new(secs(record_s), secs(turn_s)) };
    for number in 0..count {
        shard.add_turn(number, "input ");
        shard.pass(CHECK_PERIOD);
        let is_replaced = number % replace_every == 0;
        if is_replaced {
            shard.replace_host();
            shard.check_transcript(number, "input ");
        }
        shard.pass(secs(pause_s) - CHECK_PERIOD);
        if is_replaced {
            shard.replace_host();
        }
    }
}

rosethread_cases::cases!(check_conversation {
    // Guards against loss: a conversation could not go on once the log had dropped its first turn and
    // the host that remembered it was replaced.
    a_conversation_outlives_the_records: ((60, 60), 14, 12, 1, true);
    // Guards against loss where each turn is continued at the last moment.
    slow_conversations_outlive_the_records: ((60, 60), 59, 8, 1, true);
    // Guards against loss where records live longer than turns are owed.
    a_conversation_outlives_long_records: ((300, 60), 20, 40, 1, true);
    // Guards against loss of conversations that an earlier release began.
    a_conversation_without_times_outlives_the_records: ((60, 60), 14, 12, 1, false);
    // Guards against loss, and against cost that grows with the square of the length.
    a_day_outlives_short_records: ((60, 60), 50, 1_728, 288, true);
});

/// Returns the bytes written for a conversation, as a multiple of those of its turns.
fn write_volume(record_s: u64, turn_s: u64, pause_s: u64, count: u64) -> f64 {
    let mut shard = Shard::new(secs(record_s), secs(turn_s));
    let input = "x".repeat(600);
    for number in 0..count {
        shard.add_turn(number, &input);
        shard.pass(CHECK_PERIOD);
        shard.pass(secs(pause_s) - CHECK_PERIOD);
    }
    (shard.turn_bytes + shard.copy_bytes) as f64 / shard.turn_bytes as f64
}

// Guards against writing turns again that nobody needs for longer than their records live.
#[test]
fn a_conversation_shorter_than_the_records_is_written_once() {
    assert_eq!(write_volume(300, 60, 10, 22), 1.0);
}

// Guards against writing a turn more than twice, however long its conversation is.
#[test]
fn no_turn_is_copied_more_than_once() {
    for (record_s, count) in [(300, 100), (60, 100), (60, 500)] {
        let volume = write_volume(record_s, 60, 10, count);
        assert!(volume <= 2.1, "{volume} times the turns at {record_s} s, {count} turns");
    }
}

// Guards against a store that fills up with conversations that are over.
#[test]
fn copies_are_dropped_once_nobody_may_ask_for_them() {
    let mut shard = Shard::new(secs(60), secs(60));
    for number in 0..10 {
        shard.add_turn(number, "input ");
        shard.pass(secs(14));
    }
    for _ in 0..59 {
        shard.pass(CHECK_PERIOD);
    }
    assert_eq!(shard.copies.len(), 10, "the last turn is still owed");
    shard.replace_host();
    // Up to the margin for clocks, and until the new host knows that nobody has used them.
    for _ in 0..60 {
        shard.pass(CHECK_PERIOD);
    }
    assert!(shard.copies.is_empty(), "{} copies", shard.copies.len());
    shard.replace_host();
    assert_eq!(shard.host.lookup(&turn(9, "").id, shard.now), TurnLookup::NotFound);
}

// Guards against dropping a chain that another conversation branched off and goes on with.
#[test]
fn a_chain_is_kept_for_its_youngest_branch() {
    let mut shard = Shard::new(secs(60), secs(60));
    for number in 0..3 {
        shard.add_turn(number, "input ");
        shard.pass(secs(14));
    }
    for number in 10..30 {
        // Each branch continues the first turn.
        shard.check_transcript(0, "input ");
        let previous = Some(turn(0, "").id);
        let branch = FinishedTurn { previous, ..turn(number, "branch ") };
        let times =
            TurnTimes { written_ms: (START + shard.now).as_millis() as u64, keep_ms: 60_000 };
        shard.host.insert(branch, Some(times), shard.now);
        for _ in 0..50 {
            shard.pass(CHECK_PERIOD);
        }
        shard.check_transcript(0, "input ");
    }
    let is_copied = |number: u64| shard.copies.contains_key(&format!("turn-{number}/00000"));
    assert!(is_copied(0) && is_copied(29), "a turn that is owed");
    assert!(!is_copied(1) && !is_copied(2), "turns that nobody may ask for");
}

/// The record of the turn `b`, which continues `a`, as the last release wrote it.
const LAST_RELEASE_RECORD: &str = "016200010a0162010161014202620a";

fn branch() -> FinishedTurn {
    FinishedTurn {
        id: "b".parse().unwrap(),
        previous: Some("a".parse().unwrap()),
        input: "B".into(),
        output: "b\n".into(),
    }
}

// Guards against turns of the last release that are lost while hosts are replaced in turn.
#[test]
fn a_record_of_the_last_release_is_read() {
    let bytes = hex::decode(LAST_RELEASE_RECORD).unwrap();
    assert_eq!(turn_records(&branch(), None, RECORD_BYTES), [Bytes::from(bytes.clone())]);
    let mut turns = ShardTurnCache::default();
    turns.insert(
        FinishedTurn { id: "a".parse().unwrap(), previous: None, ..branch() },
        None,
        Duration::ZERO,
    );
    turns.apply_record(7, &bytes, Duration::ZERO).unwrap();
    assert_eq!(turns.next_offset(), 8);
    let found = turns.lookup(&branch().id, Duration::ZERO);
    assert_eq!(found, TurnLookup::Transcript("Bb\nBb\n".into()));
}

/// A log record as the last release declares it: the turn, the number of the part, the number of
/// parts, and the bytes.
type LastReleaseRecord = (String, u32, u32, Vec<u8>);

// Guards against turns that hosts of the last release can't read while hosts are replaced in turn.
#[test]
fn the_last_release_reads_a_turn_with_times() {
    let times = TurnTimes { written_ms: 1_700_000_000_000, keep_ms: 60_000 };
    let records = turn_records(&branch(), Some(times), 131);
    assert!(1 < records.len(), "the times are in a part of their own");
    let mut joined = Vec::new();
    for (record, number) in records.iter().zip(0..) {
        let (id, index, count, bytes): LastReleaseRecord = postcard::from_bytes(record).unwrap();
        assert_eq!((id.as_str(), index, count), ("b", number, records.len() as u32));
        joined.extend(bytes);
    }
    assert_eq!(postcard::from_bytes(&joined), Ok(branch()));
}

// Guards against a turn that is put together from parts of others where the log begins within one.
#[test]
fn parts_without_a_beginning_are_skipped() {
    let records = turn_records(&turn(0, &"x".repeat(3_000)), None, RECORD_BYTES);
    let mut turns = ShardTurnCache::default();
    let whole = turn_records(&turn(1, "input "), None, RECORD_BYTES);
    for (record, offset) in records[1..].iter().chain(&whole).zip(1..) {
        turns.apply_record(offset, record, Duration::ZERO).unwrap();
    }
    assert_eq!(turns.size().0, 1);
    assert_eq!(turns.lookup(&turn(1, "").id, Duration::ZERO), TurnLookup::Incomplete);
}

// Guards against chains that are lost since a large turn made the write of all others too large.
#[test]
fn a_batch_ends_before_a_turn_that_does_not_fit() {
    let mut shard = Shard::new(secs(60), secs(60));
    for number in [0, 1] {
        shard.host.insert(turn(number, "small"), None, shard.now);
    }
    shard.host.insert(turn(2, &"x".repeat(5_000)), None, shard.now);
    let ids: Vec<RequestId> = [0, 1, 2, 1].map(|it| turn(it, "").id).into();
    let mut counts = Vec::new();
    let mut rest = &ids[..];
    while !rest.is_empty() {
        let (count, values) = shard.host.chain_batch(rest, true, RECORD_BYTES, 2_000);
        assert!(!values.is_empty());
        counts.push(count);
        rest = &rest[count..];
    }
    assert_eq!(counts, [2, 1, 1]);
}

// Guards against reading all copies for each turn that is not found, which kept hosts from replying in
// time after the loss of all hosts.
#[test]
fn copies_are_read_again_only_after_records_were_missed() {
    let mut turns = ShardTurnCache::default();
    assert!(!turns.has_copies(), "nothing was read yet");
    turns.apply_values(&[], Duration::ZERO);
    assert!(turns.has_copies());
    turns.skip_to(7);
    assert!(!turns.has_copies(), "the records before 7 were missed");
    turns.apply_values(&[], Duration::ZERO);
    turns.insert(turn(0, "input "), None, Duration::ZERO);
    turns.expire(secs(60), secs(60));
    assert!(turns.has_copies() && turns.restart_scan());
    assert!(!turns.has_copies(), "a turn was evicted");
}
