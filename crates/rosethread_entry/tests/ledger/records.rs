//! Records of the last release and of this one in one log.

use std::time::Duration;

use rosethread_entry::{
    GrantId, GrantRequest, HeldGrant, HeldState, Ledger, LedgerRecord, Settlement, Verdict,
};
use rosethread_types::{Incarnation, ProgramLabel};

/// A record as the last release wrote it, in hexadecimal digits, is read as it was, and written alike.
fn check_last_release(digits: &str, record: &LedgerRecord) {
    let bytes = hex::decode(digits).unwrap();
    assert_eq!(postcard::from_bytes::<LedgerRecord>(&bytes).as_ref(), Ok(record));
    assert_eq!(postcard::to_stdvec(record).unwrap(), bytes);
}

rosethread_cases::cases!(check_last_release {
    a_claim_of_the_last_release_is_read: ("0001016e02", &LedgerRecord::Claim {
        epoch: 1,
        owner: "n".parse().unwrap(),
        run: Incarnation(2),
    });
    a_ceiling_of_the_last_release_is_read: ("010170ac020064", &LedgerRecord::Ceiling {
        program: "p".parse().unwrap(),
        budget: 300,
        spent: 0,
        tokens: 100,
    });
    a_balance_of_the_last_release_is_read: ("020170ac0264", &LedgerRecord::Settled {
        program: "p".parse().unwrap(),
        budget: 300,
        tokens: 100,
        ended: Vec::new(),
    });
    a_release_of_the_last_release_is_read: ("0301", &LedgerRecord::Released { epoch: 1 });
});

// Hosts of the last release read the record of settled turns as their own, without the grants.
#[test]
fn the_last_release_reads_the_record_of_settled_turns() {
    let record = |ended| LedgerRecord::Settled {
        program: "p".parse().unwrap(),
        budget: 300,
        tokens: 100,
        ended,
    };
    let settled = record(vec![GrantId(7), GrantId(u64::MAX)]);
    let bytes = settled.encode().unwrap();
    assert_eq!(postcard::from_bytes::<LedgerRecord>(&bytes), Ok(record(Vec::new())));
    assert_eq!(LedgerRecord::decode(&bytes), Ok(settled));
    assert_eq!(record(Vec::new()).encode(), postcard::to_stdvec(&record(Vec::new())));
}

// Guards against an exceeded budget: a carrier that got no reply reports the end of a turn to the next owner,
// which finds it in the log.
#[test]
fn a_settlement_in_the_log_counts_once() {
    let (ask, _) = released_with_turn();
    let program = ask.program.clone();
    let mut next = replayed(&[
        LedgerRecord::Settled {
            program: program.clone(),
            budget: 200,
            tokens: 30,
            ended: vec![ask.grant],
        },
        LedgerRecord::Ceiling { program, budget: 200, spent: 30, tokens: 130 },
    ]);
    next.set_epoch(2);
    let held = HeldGrant { tokens: 100, epoch: 1, is_kept: true };
    let state = next.settle_held(&settlement(&ask, 30), held, Duration::ZERO);
    assert_eq!(state, HeldState::Recorded);
    let balance = next.balance(&ask.program);
    assert_eq!((balance.spent, balance.uncertain, balance.open), (30, 100, 0));
}

// Guards against an exceeded budget: ledgers that were transferred without the log don't know which turns are
// settled there.
#[test]
fn a_transferred_ledger_settles_no_turns_of_earlier_owners() {
    let (ask, _) = released_with_turn();
    let program = ask.program.clone();
    let ceiling = LedgerRecord::Ceiling { program, budget: 200, spent: 0, tokens: 100 };
    let bytes = postcard::to_stdvec(&replayed(&[ceiling])).unwrap();
    let mut copy: Ledger = postcard::from_bytes(&bytes).unwrap();
    let held = HeldGrant { tokens: 100, epoch: 1, is_kept: true };
    let state = copy.settle_held(&settlement(&ask, 30), held, Duration::ZERO);
    assert_eq!((state, copy.balance(&ask.program).uncertain), (HeldState::NotHere, 100));
}

// Guards against an exceeded budget: the records of ceilings aged while their owner lived, and a new
// owner knew neither of them nor of a turn that no record contains.
#[test]
fn ceilings_are_recorded_again_before_they_age() {
    let age = Duration::from_secs(10);
    let idle = Duration::from_secs(60);
    let mut ledger = Ledger::default();
    let (program, budget) = ("p".parse::<ProgramLabel>().unwrap(), 300);
    let records = [
        LedgerRecord::Unrecorded { program: program.clone(), budget },
        LedgerRecord::Ceiling { program, budget, spent: 50, tokens: 200 },
    ];
    records.iter().for_each(|it| ledger.replay(it));
    let claimed = Duration::from_secs(100);
    ledger.reset_last_used(claimed);
    assert_eq!(ledger.aging_records(claimed, age, idle), records);
    let soon = claimed + age / 2;
    assert_eq!(ledger.aging_records(soon, age, idle), []);
    assert_eq!(ledger.aging_records(claimed + age, age, idle), records);
    assert_eq!(ledger.aging_records(claimed + 2 * idle, age, idle), [], "of an unused program");
}

/// Returns a ledger that has read `records`.
fn replayed(records: &[LedgerRecord]) -> Ledger {
    let mut ledger = Ledger::default();
    records.iter().for_each(|it| ledger.replay(it));
    ledger
}

/// Returns the records of an owner that claimed a shard, granted a turn of 100 tokens and released it.
fn released_with_turn() -> (GrantRequest, Vec<LedgerRecord>) {
    let ask = GrantRequest {
        program: "p".parse().unwrap(),
        session: "s".parse().unwrap(),
        request: "r".parse().unwrap(),
        budget: 200,
        tokens: 100,
        grant: GrantId(1),
        is_stored: false,
    };
    let claim = LedgerRecord::Claim { epoch: 1, owner: "n".parse().unwrap(), run: Incarnation(2) };
    let mut ledger = Ledger::default();
    let verdict = ledger.request_grant(&ask, Duration::ZERO);
    assert!(matches!(verdict, Verdict::Granted { .. }));
    let released = ledger.release(1);
    (ask, [claim].into_iter().chain(released).collect())
}

fn settlement(ask: &GrantRequest, used: u64) -> Settlement {
    let GrantRequest { program, session, request, grant, .. } = ask.clone();
    Settlement { program, session, request, used, target: None, failed: None, grant }
}

// Guards against `budget-not-journalled` after planned stops: the tokens of turns that were in progress as
// their owner stopped counted as spent for good.
#[test]
fn the_next_owner_settles_turns_in_progress() {
    let (ask, records) = released_with_turn();
    let mut next = replayed(&records);
    assert_eq!(next.open_grants(), [ask.grant]);
    assert!(next.settle(&settlement(&ask, 30), Duration::ZERO));
    let balance = next.balance(&ask.program);
    assert_eq!((balance.spent, balance.uncertain, balance.open), (30, 0, 0));
}

// The owner in between may have settled the turn, and granted its tokens again.
#[test]
fn a_lost_owner_leaves_no_turn_in_progress() {
    let (ask, mut records) = released_with_turn();
    let owner = "m".parse().unwrap();
    records.push(LedgerRecord::Claim { epoch: 2, owner, run: Incarnation(3) });
    let mut next = replayed(&records);
    assert!(!next.settle(&settlement(&ask, 30), Duration::ZERO));
    let balance = next.balance(&ask.program);
    assert_eq!((balance.spent, balance.uncertain, balance.open), (0, 100, 0));
}

// Hosts of the last release can't decode the record of a turn in progress, and skip it.
#[test]
fn the_last_release_counts_turns_in_progress_as_spent() {
    let (ask, mut records) = released_with_turn();
    let is_known = |it: &LedgerRecord| postcard::to_stdvec(it).unwrap()[0] <= 5;
    assert!(!records.iter().all(is_known));
    records.retain(is_known);
    assert_eq!(replayed(&records).balance(&ask.program).uncertain, 100);
}
