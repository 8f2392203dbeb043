//! The settings file of one entry process.

use std::{net::SocketAddr, time::Duration};

use rosethread_config::{KeySettings, PolicyName, Problems};
use rosethread_types::{NodeName, ZoneName};
use serde::{Deserialize, Serialize};

use crate::ports::STORE_RESPONSE_TIMEOUT;

/// Default of [`TimeLimits::contact_ms`].
const DEFAULT_CONTACT_MS: f64 = 3_000.0;

/// Default of [`TimeLimits::change_ms`].
const DEFAULT_CHANGE_MS: f64 = 2_000.0;

/// The bounds of how long a read of the store waits for a change of the routes.
const MIN_READ_WAIT: Duration = Duration::from_millis(200);
const MAX_READ_WAIT: Duration = Duration::from_secs(8);

/// Default of [`EntrySettings::part_copies`].
const DEFAULT_PART_COPIES: f64 = 3.0;

/// Default of [`EntrySettings::memory_mb`].
const DEFAULT_MEMORY_MB: u64 = 512;

/// Default of [`EntrySettings::max_descriptors`].
const DEFAULT_MAX_DESCRIPTORS: usize = 8_192;

fn default_contact_ms() -> f64 {
    DEFAULT_CONTACT_MS
}

fn default_change_ms() -> f64 {
    DEFAULT_CHANGE_MS
}

fn default_memory_mb() -> u64 {
    DEFAULT_MEMORY_MB
}

fn default_max_descriptors() -> usize {
    DEFAULT_MAX_DESCRIPTORS
}

fn default_part_copies() -> f64 {
    DEFAULT_PART_COPIES
}

/// The contents of the settings file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// The node's name, unique in the deployment.
    pub node: NodeName,
    /// The availability zone of the host.
    pub zone: ZoneName,
    /// The host's share of a processor, such as 0.25 or 4.
    ///
    /// The directory weighs the load of a host against it. A host with less than half of the
    /// largest share owns no shards while a larger host reaches the shared log.
    pub processor: f64,
    /// The memory that the process may use, in units of 2^20 bytes. From it follows what callers' requests
    /// and answers may hold together.
    #[serde(default = "default_memory_mb")]
    pub memory_mb: u64,
    /// The number of files and sockets that the process may have open. From it follows how many connections
    /// of callers it keeps.
    #[serde(default = "default_max_descriptors")]
    pub max_descriptors: usize,
    /// The policy for choosing a target.
    #[serde(default)]
    pub policy: PolicyName,
    /// How many targets hold a prompt part that programs share, as a multiple of the part's share of
    /// all calls. At 1, the holders of all parts together are as many as the targets. At 0, hosts
    /// don't agree on holders, and go by what they have sent themselves.
    #[serde(default = "default_part_copies")]
    pub part_copies: f64,
    /// Whether calls go to targets in proportion to their speed, as the pauses in their streams show
    /// it.
    #[serde(default)]
    pub target_speeds: bool,
    /// Addresses of hosts to contact first. Only the IP addresses count: all hosts receive
    /// heartbeats on the same port.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// The addresses that this node listens on.
    pub addresses: EntryAddresses,
    /// The secret keys with which nodes authenticate each other's messages.
    pub keys: KeySettings,
    /// The connection to the platform's store.
    pub platform: PlatformSettings,
    /// The time limits that the platform's operators have agreed on with their users.
    pub bounds: TimeLimits,
    /// What the calls of organisations with a limit are counted against. Without it, hosts keep to the
    /// limits themselves.
    #[serde(default)]
    pub quota: Option<QuotaSettings>,
    /// Which new programs are refused under load.
    #[serde(default)]
    pub admission: AdmissionSettings,
}

/// What the limits of organisations mean: in any window, all hosts together send at most `(rate * window_s +
/// burst) * (1 + overage) + slack` calls of one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QuotaSettings {
    /// The window, in seconds.
    pub window_s: f64,
    /// The part of a limit that may be passed, such as 0.1.
    pub overage: f64,
    /// The calls in addition to that.
    pub slack: f64,
}

/// Which new programs are refused under load, and when their callers should come back. By default, all
/// are refused alike, and callers are told to come back after a second. See
/// `docs/design/contention.md`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct AdmissionSettings {
    /// Refuses less urgent programs before more urgent ones.
    pub by_priority: bool,
    /// Refuses what organisations send far beyond their shares before anything else.
    pub by_organisation: bool,
    /// Tells callers to come back when there is expected to be room.
    pub forecast: bool,
}

/// The addresses that a node listens on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntryAddresses {
    /// The address for calls.
    pub caller: SocketAddr,
    /// The address of the readiness check.
    pub ready: SocketAddr,
    /// The address of the directory, which tells callers which hosts to use.
    pub directory: SocketAddr,
    /// The address for requests from other nodes.
    pub peer: SocketAddr,
    /// The UDP address for heartbeats.
    pub heartbeat: SocketAddr,
    /// The address at which metrics are served.
    pub metrics: SocketAddr,
}

impl EntryAddresses {
    /// Returns whether `address` is one at which the node accepts connections.
    pub fn accepts_at(&self, address: SocketAddr) -> bool {
        let EntryAddresses { caller, ready, directory, peer, metrics, .. } = self;
        [caller, ready, directory, peer, metrics].contains(&&address)
    }
}

/// The platform's store: its address and limits.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// The address of the store.
    pub address: SocketAddr,
    /// The number of partitions of each topic, and so the number of shards.
    pub partitions: u32,
    /// The maximum rate of write requests from all hosts together, per second.
    pub writes_per_s: f64,
    /// How long the store keeps records, in seconds.
    pub retention_s: u64,
    /// The maximum size of a record, in bytes.
    pub record_bytes: usize,
    /// The period of the targets' reports to the registry, in milliseconds.
    pub report_ms: u64,
}

/// The time limits that the platform's operators have agreed on with their users.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TimeLimits {
    /// The maximum time from the stop signal to the end of the process, in seconds.
    pub grace_s: f64,
    /// The maximum time for which callers may cache a response of the directory, in seconds.
    pub keep_s: f64,
    /// The time after a disruption of its connections within which a host works as before, in milliseconds.
    #[serde(default = "default_contact_ms")]
    pub contact_ms: f64,
    /// The time within which published routes are in force, in milliseconds.
    #[serde(default = "default_change_ms")]
    pub change_ms: f64,
}

impl TimeLimits {
    /// Returns how long a read of the store may wait for a change of the routes.
    ///
    /// A connection that has gone silent shows only when the read on it has timed out. The next read, on a
    /// new connection, has to be over when changes are due in time again: `contact_ms` and `change_ms` after the
    /// silence began.
    pub fn longest_read(&self) -> Duration {
        let limit = Duration::from_secs_f64((self.contact_ms + self.change_ms) / 1_000.0);
        limit.saturating_sub(2 * STORE_RESPONSE_TIMEOUT).clamp(MIN_READ_WAIT, MAX_READ_WAIT)
    }
}

/// The settings that can change while the process runs.
#[derive(Clone, Debug, PartialEq)]
pub struct ReloadableSettings {
    /// See [`EntrySettings::processor`].
    pub processor: f64,
    /// See [`EntrySettings::policy`].
    pub policy: PolicyName,
    /// See [`EntrySettings::part_copies`].
    pub part_copies: f64,
    /// See [`EntrySettings::target_speeds`].
    pub target_speeds: bool,
    /// See [`PlatformSettings::writes_per_s`].
    pub writes_per_s: f64,
    /// See [`EntrySettings::bounds`].
    pub bounds: TimeLimits,
    /// See [`EntrySettings::quota`].
    pub quota: Option<QuotaSettings>,
    /// See [`EntrySettings::admission`].
    pub admission: AdmissionSettings,
}

impl EntrySettings {
    /// Returns the settings that can change while the process runs.
    pub fn reloadable(&self) -> ReloadableSettings {
        ReloadableSettings {
            processor: self.processor,
            policy: self.policy,
            part_copies: self.part_copies,
            target_speeds: self.target_speeds,
            writes_per_s: self.platform.writes_per_s,
            bounds: self.bounds.clone(),
            quota: self.quota.clone(),
            admission: self.admission,
        }
    }

    /// Returns the names of the settings that differ in `other` and need a restart.
    pub fn changes_needing_restart(&self, other: &EntrySettings) -> Vec<&'static str> {
        let (platform, new) = (&self.platform, &other.platform);
        let changes = [
            ("node", self.node != other.node),
            ("zone", self.zone != other.zone),
            ("seeds", self.seeds != other.seeds),
            ("memory_mb", self.memory_mb != other.memory_mb),
            ("max_descriptors", self.max_descriptors != other.max_descriptors),
            ("addresses", self.addresses != other.addresses),
            ("keys", self.keys != other.keys),
            ("platform.address", platform.address != new.address),
            ("platform.partitions", platform.partitions != new.partitions),
            ("platform.retention_s", platform.retention_s != new.retention_s),
            ("platform.record_bytes", platform.record_bytes != new.record_bytes),
            ("platform.report_ms", platform.report_ms != new.report_ms),
        ];
        changes.into_iter().filter(|it| it.1).map(|it| it.0).collect()
    }

    /// Parses and validates the contents of a settings file.
    pub fn parse(text: &str) -> Result<EntrySettings, Problems> {
        let settings: EntrySettings =
            toml::from_str(text).map_err(|it| Problems::from_syntax_error(&it))?;
        settings.validate()?;
        Ok(settings)
    }

    /// Checks the rules that the types do not express, and reports all violations together.
    pub fn validate(&self) -> Result<(), Problems> {
        let mut problems = Problems::default();
        let processor = self.processor;
        let rule = "must be above 0 and at most 1000";
        problems.require(0.0 < processor && processor <= 1_000.0, "processor", processor, rule);
        let copies = self.part_copies;
        let rule = "must be from 0 to 1000";
        problems.require((0.0..=1_000.0).contains(&copies), "part_copies", copies, rule);
        let (memory, descriptors) = (self.memory_mb, self.max_descriptors);
        let rule = "must be from 32 to 1000000";
        problems.require((32..=1_000_000).contains(&memory), "memory_mb", memory, rule);
        let rule = "must be from 64 to 10000000";
        let is_valid = (64..=10_000_000).contains(&descriptors);
        problems.require(is_valid, "max_descriptors", descriptors, rule);
        let addresses = &self.addresses;
        let endpoints = [
            ("addresses.caller", addresses.caller),
            ("addresses.ready", addresses.ready),
            ("addresses.directory", addresses.directory),
            ("addresses.peer", addresses.peer),
            ("addresses.heartbeat", addresses.heartbeat),
            ("addresses.metrics", addresses.metrics),
            ("platform.address", self.platform.address),
        ];
        for (field, address) in endpoints {
            problems.require(address.port() != 0, field, address, "the port must not be 0");
        }
        let partitions = self.platform.partitions;
        let rule = "must be from 1 to 1000";
        problems.require(
            (1..=1_000).contains(&partitions),
            "platform.partitions",
            partitions,
            rule,
        );
        let writes = self.platform.writes_per_s;
        let rule = "must be 1 or more";
        problems.require(1.0 <= writes, "platform.writes_per_s", writes, rule);
        let retention = self.platform.retention_s;
        problems.require(0 < retention, "platform.retention_s", retention, "must not be 0");
        let record = self.platform.record_bytes;
        problems.require(1_024 <= record, "platform.record_bytes", record, "must be 1024 or more");
        let report = self.platform.report_ms;
        let rule = "must be from 1 to 60000";
        problems.require((1..=60_000).contains(&report), "platform.report_ms", report, rule);
        let grace = self.bounds.grace_s;
        let rule = "must be from 1 to 3600";
        problems.require((1.0..=3_600.0).contains(&grace), "bounds.grace_s", grace, rule);
        let keep = self.bounds.keep_s;
        let rule = "must be from 0 to 3600";
        problems.require((0.0..=3_600.0).contains(&keep), "bounds.keep_s", keep, rule);
        let rule = "must be from 0 to 3600000";
        for (name, limit) in [
            ("bounds.contact_ms", self.bounds.contact_ms),
            ("bounds.change_ms", self.bounds.change_ms),
        ] {
            problems.require((0.0..=3_600_000.0).contains(&limit), name, limit, rule);
        }
        self.require_quota(&mut problems);
        let keys = KeySettings::decode(&self.keys.shared);
        let has_valid_keys = !keys.is_empty() && keys.len() == self.keys.shared.len();
        problems.require(has_valid_keys, "keys.shared", "(hidden)", "must be hexadecimal keys");
        problems.into_result(())
    }

    fn require_quota(&self, problems: &mut Problems) {
        let Some(QuotaSettings { window_s, overage, slack }) = self.quota else {
            return;
        };
        let rule = "must be from 1 to 3600";
        problems.require((1.0..=3_600.0).contains(&window_s), "quota.window_s", window_s, rule);
        let rule = "must be from 0 to 10";
        problems.require((0.0..=10.0).contains(&overage), "quota.overage", overage, rule);
        let rule = "must be from 0 to 1000000";
        problems.require((0.0..=1e6).contains(&slack), "quota.slack", slack, rule);
    }

    /// Returns the bytes that the bodies of all requests may hold together.
    ///
    /// The other three quarters are for answers, the buffers of connections, stored turns and the
    /// process itself.
    pub fn request_bytes(&self) -> usize {
        usize::try_from(self.memory_mb << 20).unwrap_or(usize::MAX) / 4
    }

    /// Returns the number of callers' connections that are kept. The other half of the descriptors is
    /// for targets, other nodes and the store.
    pub fn max_connections(&self) -> usize {
        self.max_descriptors / 2
    }

    /// Returns the period of the targets' reports to the registry.
    pub fn report_period(&self) -> Duration {
        Duration::from_millis(self.platform.report_ms)
    }

    /// Returns how long the store keeps records.
    pub fn retention(&self) -> Duration {
        Duration::from_secs(self.platform.retention_s)
    }
}
