//! Records of the last release and of this one in one log.

use std::time::Duration;

use rosethread_entry::{Ledger, LedgerRecord};
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
    });
    a_release_of_the_last_release_is_read: ("0301", &LedgerRecord::Released { epoch: 1 });
});

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
