//! Tests of settings: valid ones are accepted, and errors name the field and the rule.

use rosethread_config::Settings;

const VALID: &str = r#"
node = "host-7"
zone = "linz-a"
hosts = "10.0.0.2:8080"

[addresses]
caller = "10.0.1.7:7100"
peer = "10.0.1.7:7101"
heartbeat = "10.0.1.7:7102"

[keys]
shared = ["00112233445566778899aabbccddeeff"]
seal = ["ffeeddccbbaa99887766554433221100"]

[log]
address = "10.0.0.1:8080"
"#;

#[test]
fn valid_settings() {
    let settings = Settings::parse(VALID).unwrap();
    assert_eq!(settings.journal.window_ms, 25);
}

fn check_invalid(old: &str, new: &str, expected: &[&str]) {
    assert!(VALID.contains(old), "{old}");
    let error = Settings::parse(&VALID.replace(old, new)).unwrap_err().to_string();
    for text in expected {
        assert!(error.contains(text), "{text} is not in {error}");
    }
}

rosethread_cases::cases!(check_invalid {
    unknown_field: ("[log]", "[log]\nport = 1", &["port", "unknown field"]);
    missing_field: ("zone = \"linz-a\"", "", &["zone", "missing field"]);
    malformed_name: ("host-7", "Host 7", &["node", "lower-case letters"]);
    long_name: ("host-7", &"h".repeat(65), &["node", "at most 64 bytes"]);
    malformed_address: ("10.0.0.2:8080", "example", &["hosts", "socket address"]);
    zero_port: ("10.0.1.7:7100", "10.0.1.7:0", &["addresses.caller", "10.0.1.7:0", "port"]);
    same_address: ("10.0.1.7:7101", "10.0.1.7:7100", &["addresses.peer", "must differ"]);
    short_key: ("00112233445566778899aabbccddeeff", "0011", &["keys.shared[0]", "16 bytes"]);
    no_key: ("[\"ffeeddccbbaa99887766554433221100\"]", "[]", &["keys.seal", "must not be empty"]);
    same_stream: (
        "[log]", "[log]\njournal = \"rosethread-config\"", &["log.journal", "must differ"]
    );
    short_retention: ("[log]", "[log]\nretention_s = 5", &["log.retention_s", "5", "from 60"]);
    long_window: ("[log]", "[journal]\nwindow_ms = 5000\n[log]", &["journal.window_ms", "5000"]);
    secret_stays_hidden: ("00112233445566778899aabbccddeeff", "0012", &["(hidden)"]);
});
