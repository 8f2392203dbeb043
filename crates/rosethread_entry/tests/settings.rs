//! Settings are checked as a whole, and each error names its field.

use rosethread_entry::EntrySettings;

const GOOD: &str = r#"
node = "front-a-1"
zone = "a"
seeds = ["10.1.0.1:8000"]
processor = 0.25

[addresses]
caller = "10.1.0.1:8001"
ready = "10.1.0.1:8002"
directory = "10.1.0.1:8003"
peer = "10.1.0.1:7380"
heartbeat = "10.1.0.1:7380"
metrics = "10.1.0.1:9464"

[keys]
shared = ["00112233445566778899aabbccddeeff"]
seal = []

[platform]
address = "10.9.0.1:8142"
partitions = 12
writes_per_s = 800
retention_s = 300
record_bytes = 262144
report_ms = 1200

[bounds]
grace_s = 8.0
keep_s = 5
"#;

/// Replaces a part of the good settings and expects an error that contains `expected`.
fn check_error(part: &str, replacement: &str, expected: &str) {
    assert!(GOOD.contains(part), "{part}");
    let error = EntrySettings::parse(&GOOD.replace(part, replacement)).unwrap_err().to_string();
    assert!(error.contains(expected), "{error}");
}

rosethread_cases::cases!(check_error {
    a_port_of_zero: ("10.1.0.1:8001", "10.1.0.1:0", "addresses.caller = 10.1.0.1:0: the port");
    no_partitions: ("partitions = 12", "partitions = 0", "platform.partitions = 0: must be from 1");
    no_writes: ("writes_per_s = 800", "writes_per_s = 0", "platform.writes_per_s = 0: must be 1");
    no_processor: ("processor = 0.25", "processor = 0", "processor = 0: must be above 0");
    no_history: ("retention_s = 300", "retention_s = 0", "platform.retention_s = 0: must not be 0");
    tiny_records: ("record_bytes = 262144", "record_bytes = 9", "platform.record_bytes = 9");
    no_reports: ("report_ms = 1200", "report_ms = 0", "platform.report_ms = 0: must be from 1");
    a_short_grace: ("grace_s = 8.0", "grace_s = 0.5", "bounds.grace_s = 0.5: must be from 1");
    a_negative_time: ("keep_s = 5", "keep_s = -1", "bounds.keep_s = -1");
    a_key_that_is_none: ("00112233445566778899aabbccddeeff", "xyz", "keys.shared = (hidden)");
    an_unknown_field: ("[bounds]", "[bounds]\nsurprise = 1", "surprise");
    a_missing_field: ("node = \"front-a-1\"", "", "node");
    a_name_with_a_space: ("zone = \"a\"", "zone = \"a b\"", "zone");
});

#[test]
fn good_settings_are_accepted() {
    let settings = EntrySettings::parse(GOOD).unwrap();
    assert_eq!(settings.platform.partitions, 12);
}

fn check_fixed(part: &str, replacement: &str, expected: &[&str]) {
    let old = EntrySettings::parse(GOOD).unwrap();
    let new = EntrySettings::parse(&GOOD.replace(part, replacement)).unwrap();
    assert_eq!(old.changes_needing_restart(&new), expected);
    let is_tuned = old.reloadable() != new.reloadable();
    assert_eq!(is_tuned, expected.is_empty() && part != replacement);
}

rosethread_cases::cases!(check_fixed {
    the_same_settings_change_nothing: ("zone = \"a\"", "zone = \"a\"", &[]);
    a_share_is_taken_over: ("processor = 0.25", "processor = 0.5", &[]);
    a_rate_is_taken_over: ("writes_per_s = 800", "writes_per_s = 80", &[]);
    another_zone_needs_a_start: ("zone = \"a\"", "zone = \"b\"", &["zone"]);
    another_port_needs_a_start: ("10.1.0.1:8001", "10.1.0.1:8009", &["addresses"]);
    other_partitions_need_a_start: ("partitions = 12", "partitions = 9", &["platform.partitions"]);
});
