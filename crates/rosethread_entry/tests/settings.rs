//! Tests that an invalid setting is reported with the name of its field, and that changes which need
//! a restart are told apart from reloadable ones.

use std::time::Duration;

use rosethread_entry::EntrySettings;

const VALID: &str = r#"
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

/// Replaces a part of the valid settings and expects an error that contains `expected`.
fn check_error(part: &str, replacement: &str, expected: &str) {
    assert!(VALID.contains(part), "{part}");
    let error = EntrySettings::parse(&VALID.replace(part, replacement)).unwrap_err().to_string();
    assert!(error.contains(expected), "{error}");
}

rosethread_cases::cases!(check_error {
    a_port_of_zero: ("10.1.0.1:8001", "10.1.0.1:0", "addresses.caller = 10.1.0.1:0: the port");
    no_partitions: ("partitions = 12", "partitions = 0", "platform.partitions = 0: must be from 1");
    no_writes: ("writes_per_s = 800", "writes_per_s = 0", "platform.writes_per_s = 0: must be 1");
    a_negative_number_of_copies:
        ("processor = 0.25", "processor = 0.25\npart_copies = -1", "part_copies = -1: must be from 0");
    a_text_for_the_number_of_copies:
        ("processor = 0.25", "processor = 0.25\npart_copies = \"x\"", "part_copies");
    no_processor: ("processor = 0.25", "processor = 0", "processor = 0: must be above 0");
    too_little_memory:
        ("processor = 0.25", "processor = 0.25\nmemory_mb = 16", "memory_mb = 16: must be from 32");
    too_few_descriptors: (
        "processor = 0.25",
        "processor = 0.25\nmax_descriptors = 8",
        "max_descriptors = 8: must be from 64"
    );
    no_retention: ("retention_s = 300", "retention_s = 0", "platform.retention_s = 0: must not be 0");
    tiny_records: ("record_bytes = 262144", "record_bytes = 9", "platform.record_bytes = 9");
    no_reports: ("report_ms = 1200", "report_ms = 0", "platform.report_ms = 0: must be from 1");
    a_grace_period_that_is_too_short: ("grace_s = 8.0", "grace_s = 0.5", "bounds.grace_s = 0.5: must be from 1");
    a_window_of_zero: ("[bounds]", "[quota]\nwindow_s = 0\noverage = 0.1\nslack = 20\n[bounds]", "quota.window_s = 0: must be from 1");
    a_negative_overage: ("[bounds]", "[quota]\nwindow_s = 5\noverage = -0.1\nslack = 20\n[bounds]", "quota.overage = -0.1: must be from 0");
    a_slack_that_is_no_number: ("[bounds]", "[quota]\nwindow_s = 5\noverage = 0.1\nslack = nan\n[bounds]", "quota.slack = NaN: must be from 0");
    a_rule_without_its_slack: ("[bounds]", "[quota]\nwindow_s = 5\noverage = 0.1\n[bounds]", "slack");
    a_negative_cache_time: ("keep_s = 5", "keep_s = -1", "bounds.keep_s = -1");
    a_negative_contact_time:
        ("keep_s = 5", "keep_s = 5\ncontact_ms = -1", "bounds.contact_ms = -1: must be from 0");
    a_negative_change_time:
        ("keep_s = 5", "keep_s = 5\nchange_ms = -1", "bounds.change_ms = -1: must be from 0");
    a_malformed_key: ("00112233445566778899aabbccddeeff", "xyz", "keys.shared = (hidden)");
    an_unknown_rule_of_admission: ("[bounds]", "[admission]\nsurprise = true\n[bounds]", "surprise");
    an_unknown_field: ("[bounds]", "[bounds]\nsurprise = 1", "surprise");
    a_missing_field: ("node = \"front-a-1\"", "", "node");
    a_name_with_a_space: ("zone = \"a\"", "zone = \"a b\"", "zone");
});

#[test]
fn valid_settings_are_accepted() {
    let settings = EntrySettings::parse(VALID).unwrap();
    assert_eq!((settings.platform.partitions, settings.quota), (12, None));
}

/// Replaces a part of the valid settings and compares the names of the changes that need a restart.
fn check_restart(part: &str, replacement: &str, expected: &[&str]) {
    let old = EntrySettings::parse(VALID).unwrap();
    let new = EntrySettings::parse(&VALID.replace(part, replacement)).unwrap();
    assert_eq!(old.changes_needing_restart(&new), expected);
    let is_reloadable = old.reloadable() != new.reloadable();
    assert_eq!(is_reloadable, expected.is_empty() && part != replacement);
}

rosethread_cases::cases!(check_restart {
    unchanged_settings_need_nothing: ("zone = \"a\"", "zone = \"a\"", &[]);
    a_new_processor_share_is_reloadable: ("processor = 0.25", "processor = 0.5", &[]);
    a_new_number_of_copies_is_reloadable:
        ("processor = 0.25", "processor = 0.25\npart_copies = 2", &[]);
    a_new_write_rate_is_reloadable: ("writes_per_s = 800", "writes_per_s = 80", &[]);
    new_rules_of_admission_are_reloadable:
        ("[bounds]", "[admission]\nby_priority = true\n[bounds]", &[]);
    a_new_zone_needs_a_restart: ("zone = \"a\"", "zone = \"b\"", &["zone"]);
    a_new_port_needs_a_restart: ("10.1.0.1:8001", "10.1.0.1:8009", &["addresses"]);
    a_new_partition_count_needs_a_restart: ("partitions = 12", "partitions = 9", &["platform.partitions"]);
});

/// Checks how long a read may wait for a change of the routes under the limits `limits`.
fn check_longest_read(limits: &str, expected_ms: u64) {
    let settings = VALID.replace("keep_s = 5", &format!("keep_s = 5\n{limits}"));
    let settings = EntrySettings::parse(&settings).unwrap();
    assert_eq!(settings.bounds.longest_read(), Duration::from_millis(expected_ms));
}

rosethread_cases::cases!(check_longest_read {
    // Guards against routes that are late: a read that times out and the next one took longer than a change may.
    two_reads_are_over_when_a_change_is_due: ("contact_ms = 4000\nchange_ms = 1000", 2_000);
    a_read_waits_by_default: ("", 2_000);
    a_read_waits_a_little_under_short_limits: ("contact_ms = 0\nchange_ms = 500", 200);
    a_read_ends_under_long_limits: ("contact_ms = 60000", 8_000);
});
