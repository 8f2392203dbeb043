//! The settings of one node process, which are read from a TOML file.

use std::net::SocketAddr;

use rosethread_types::{NodeName, StreamName, ZoneName};
use serde::{Deserialize, Serialize};

use crate::{Problem, Problems};

/// The minimum length of a secret key, in bytes.
const MIN_KEY_BYTES: usize = 16;

/// The settings of a node process that is started without `--platform`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The node's name, unique in the deployment.
    pub node: NodeName,
    /// The host's availability zone.
    pub zone: ZoneName,
    /// The addresses that the node listens on.
    pub addresses: Addresses,
    /// The secret keys.
    pub keys: KeySettings,
    /// The connection to the platform's log service.
    pub log: LogSettings,
    /// The address of the platform service that lists the hosts.
    pub hosts: SocketAddr,
    /// Parameters of the journal writer.
    #[serde(default)]
    pub journal: JournalSettings,
    /// Parameters of the failure detector.
    #[serde(default)]
    pub membership: MembershipSettings,
    /// Limits that protect the process from overload.
    #[serde(default)]
    pub limits: Limits,
}

/// The addresses that a node listens on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Addresses {
    /// The HTTP address for callers.
    pub caller: SocketAddr,
    /// The HTTP address for other nodes and the console.
    pub peer: SocketAddr,
    /// The UDP address for heartbeats between nodes.
    pub heartbeat: SocketAddr,
}

/// Secret keys in hexadecimal.
///
/// Of each list, the first key signs or encrypts, and all keys are accepted, which allows rotation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeySettings {
    /// The keys with which nodes authenticate to each other.
    pub shared: Vec<String>,
    /// The keys that seal the continuations which callers hold.
    pub seal: Vec<String>,
}

/// The connection to the platform's log service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LogSettings {
    /// The address of the service.
    pub address: SocketAddr,
    /// The stream on which operators publish documents.
    #[serde(default = "default_config_stream")]
    pub config: StreamName,
    /// The stream that holds the journal.
    #[serde(default = "default_journal_stream")]
    pub journal: StreamName,
    /// The retention period of the service, in seconds.
    #[serde(default = "default_retention_s")]
    pub retention_s: u64,
}

fn default_config_stream() -> StreamName {
    "rosethread-config".parse().expect("the default name is valid")
}

fn default_journal_stream() -> StreamName {
    "rosethread-journal".parse().expect("the default name is valid")
}

fn default_retention_s() -> u64 {
    86_400
}

/// Parameters of the journal writer, which commits records in groups.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct JournalSettings {
    /// The minimum time between two appends, in milliseconds.
    pub window_ms: u64,
    /// The maximum number of bytes that wait to be appended.
    pub queue_bytes: usize,
}

impl Default for JournalSettings {
    fn default() -> JournalSettings {
        JournalSettings { window_ms: 25, queue_bytes: 16 << 20 }
    }
}

/// Parameters of the failure detector.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct MembershipSettings {
    /// The period between two probes, in milliseconds.
    pub period_ms: u64,
    /// The time after which a suspected node is declared dead, in milliseconds.
    pub suspicion_ms: u64,
}

impl Default for MembershipSettings {
    fn default() -> MembershipSettings {
        MembershipSettings { period_ms: 400, suspicion_ms: 1_600 }
    }
}

/// Limits that protect the process from overload.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// The maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// The maximum size of a program's history, in bytes.
    pub history_bytes: usize,
    /// The maximum number of programs that the node owns.
    pub programs: usize,
    /// The timeout for reading a request from a client, in milliseconds.
    pub request_ms: u64,
    /// The maximum time that a turn waits for the preceding turn to arrive, in milliseconds.
    pub early_ms: u64,
    /// The time after which an idle program is ended, in seconds.
    pub idle_s: u64,
    /// The maximum duration of a graceful shutdown, in seconds.
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
    /// Decodes keys that have been validated; keys that are not hexadecimal are left out.
    pub fn decode(keys: &[String]) -> Vec<Vec<u8>> {
        keys.iter().filter_map(|it| hex::decode(it).ok()).collect()
    }
}

fn check_keys(problems: &mut Problems, field: &str, keys: &[String]) {
    problems.require(!keys.is_empty(), field, "[]", "must not be empty");
    for (index, key) in keys.iter().enumerate() {
        let is_key = hex::decode(key).is_ok_and(|it| MIN_KEY_BYTES <= it.len());
        // The key is not part of the message, which may be logged.
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
