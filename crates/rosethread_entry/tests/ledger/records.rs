//! Records of the last release and of this one in one log.

use rosethread_entry::LedgerRecord;
use rosethread_types::Incarnation;

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
