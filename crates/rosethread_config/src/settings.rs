//! The settings of one node process.

use std::net::SocketAddr;

use rosethread_types::{NodeName, StreamName, ZoneName};
use serde::{Deserialize, Serialize};

use crate::{Problem, Problems};

/// The least length of a secret key, in bytes.
const MIN_KEY_BYTES: usize = 16;

/// Everything that a node process learns from its own settings file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The node's name, unique in the deployment.
    pub node: NodeName,
    /// The host's availability zone.
    pub zone: ZoneName,
    /// The node's own addresses.
    pub addresses: Addresses,
    /// Secret keys.
    pub keys: KeySettings,
    /// The platform's log service.
    pub log: LogSettings,
    /// The address of the platform's host list.
    pub hosts: SocketAddr,
    /// How the journal is written.
    #[serde(default)]
    pub journal: JournalSettings,
    /// How other nodes are watched.
    #[serde(default)]
    pub membership: MembershipSettings,
    /// Limits that protect the process.
    #[serde(default)]
    pub limits: Limits,
}

/// The addresses that a node listens on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Addresses {
    /// For callers, over HTTP.
    pub caller: SocketAddr,
    /// For other nodes and the console, over HTTP.
    pub peer: SocketAddr,
    /// For heartbeats, over UDP.
    pub heartbeat: SocketAddr,
}

/// Secret keys in hexadecimal; the first of each list is used, all are accepted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeySettings {
    /// Keys that authenticate nodes to each other.
    pub shared: Vec<String>,
    /// Keys that seal continuations.
    pub seal: Vec<String>,
}

/// The platform's log service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LogSettings {
    /// Its address.
    pub address: SocketAddr,
    /// The stream on which operators publish.
    #[serde(default = "default_config_stream")]
    pub config: StreamName,
    /// The stream that holds the journal.
    #[serde(default = "default_journal_stream")]
    pub journal: StreamName,
    /// How long the service keeps records, in seconds.
    #[serde(default = "default_retention_s")]
    pub retention_s: u64,
}

fn default_config_stream() -> StreamName {
    "rosethread-config".parse().expect("the name is valid")
}

fn default_journal_stream() -> StreamName {
    "rosethread-journal".parse().expect("the name is valid")
}

fn default_retention_s() -> u64 {
    86_400
}

/// How the journal is written.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct JournalSettings {
    /// The least time between two appends, in milliseconds.
    pub window_ms: u64,
    /// The most bytes that wait for the log.
    pub queue_bytes: usize,
}

impl Default for JournalSettings {
    fn default() -> JournalSettings {
        JournalSettings { window_ms: 25, queue_bytes: 16 << 20 }
    }
}

/// How other nodes are watched.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct MembershipSettings {
    /// The time between two probes, in milliseconds.
    pub period_ms: u64,
    /// The time from a suspicion to the verdict, in milliseconds.
    pub suspicion_ms: u64,
}

impl Default for MembershipSettings {
    fn default() -> MembershipSettings {
        MembershipSettings { period_ms: 400, suspicion_ms: 1_600 }
    }
}

/// Limits that protect the process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// The largest request body, in bytes.
    pub body_bytes: usize,
    /// The largest history of a program, in bytes.
    pub history_bytes: usize,
    /// The most programs that the node owns.
    pub programs: usize,
    /// The longest time that a client may take to send its request, in milliseconds.
    pub request_ms: u64,
    /// The longest time that an early turn waits for its predecessor, in milliseconds.
    pub early_ms: u64,
    /// The time after which a program without calls is ended, in seconds.
    pub idle_s: u64,
    /// The longest time that a graceful shutdown waits, in seconds.
    pub drain_s: u64,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            body_bytes: 4 << 20,
            history_bytes: 8 << 20,
            programs: 100_000,
            request_ms: 10_000,
            early_ms: 2_000,
            idle_s: 3_600,
            drain_s: 600,
        }
    }
}

impl Settings {
    /// Parses and validates settings.
    pub fn parse(text: &str) -> Result<Settings, Problems> {
        let settings: Settings =
            toml::from_str(text).map_err(|it| Problems::from_syntax_error(&it))?;
        settings.validate()?;
        Ok(settings)
    }

    /// Checks all rules and returns every violation.
    pub fn validate(&self) -> Result<(), Problems> {
        let mut problems = Problems::default();
        self.check_addresses(&mut problems);
        check_keys(&mut problems, "keys.shared", &self.keys.shared);
        check_keys(&mut problems, "keys.seal", &self.keys.seal);
        let streams_differ = self.log.config != self.log.journal;
        let rule = "must differ from `log.config`";
        problems.require(streams_differ, "log.journal", &self.log.journal, rule);
        check_range(&mut problems, "log.retention_s", self.log.retention_s, 60, 31_536_000);
        check_range(&mut problems, "journal.window_ms", self.journal.window_ms, 1, 1_000);
        let queue = self.journal.queue_bytes as u64;
        check_range(&mut problems, "journal.queue_bytes", queue, 1 << 16, 1 << 32);
        let membership = &self.membership;
        check_range(&mut problems, "membership.period_ms", membership.period_ms, 50, 10_000);
        let suspicion = membership.suspicion_ms;
        check_range(&mut problems, "membership.suspicion_ms", suspicion, 100, 60_000);
        self.check_limits(&mut problems);
        problems.into_result(())
    }

    fn check_addresses(&self, problems: &mut Problems) {
        let addresses = &self.addresses;
        let ports = [
            ("addresses.caller", addresses.caller),
            ("addresses.peer", addresses.peer),
            ("addresses.heartbeat", addresses.heartbeat),
            ("log.address", self.log.address),
            ("hosts", self.hosts),
        ];
        for (field, address) in ports {
            problems.require(address.port() != 0, field, address, "the port must not be 0");
        }
        let differ = addresses.caller != addresses.peer;
        let rule = "must differ from `addresses.caller`";
        problems.require(differ, "addresses.peer", addresses.peer, rule);
    }

    fn check_limits(&self, problems: &mut Problems) {
        let limits = &self.limits;
        check_range(problems, "limits.body_bytes", limits.body_bytes as u64, 1 << 10, 1 << 30);
        let history = limits.history_bytes as u64;
        check_range(problems, "limits.history_bytes", history, 1 << 10, 1 << 30);
        check_range(problems, "limits.programs", limits.programs as u64, 1, 10_000_000);
        check_range(problems, "limits.request_ms", limits.request_ms, 100, 600_000);
        check_range(problems, "limits.early_ms", limits.early_ms, 0, 60_000);
        check_range(problems, "limits.idle_s", limits.idle_s, 1, 2_592_000);
        check_range(problems, "limits.drain_s", limits.drain_s, 1, 86_400);
    }
}

impl KeySettings {
    /// Returns the decoded bytes of validated keys.
    pub fn decode(keys: &[String]) -> Vec<Vec<u8>> {
        keys.iter().filter_map(|it| hex::decode(it).ok()).collect()
    }
}

fn check_keys(problems: &mut Problems, field: &str, keys: &[String]) {
    problems.require(!keys.is_empty(), field, "[]", "must not be empty");
    for (index, key) in keys.iter().enumerate() {
        let is_key = hex::decode(key).is_ok_and(|it| MIN_KEY_BYTES <= it.len());
        // The key itself stays out of the message, which may end up in a log.
        let rule = "must be at least 16 bytes in hexadecimal";
        problems.require(is_key, format!("{field}[{index}]"), "(hidden)", rule);
    }
}

fn check_range(problems: &mut Problems, field: &str, value: u64, low: u64, high: u64) {
    if value < low || high < value {
        let rule = format!("must be from {low} to {high}");
        problems.0.push(Problem { field: field.to_owned(), value: value.to_string(), rule });
    }
}
