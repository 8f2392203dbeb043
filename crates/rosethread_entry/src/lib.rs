//! The entry of the platform: accepts HTTP calls from callers, routes them to targets, and streams
//! the responses back.
//!
//! Every host runs the same process, and any of them accepts any call. The host that accepts a call
//! forwards its request and response. The owner of the shard to which the call's program belongs,
//! which may be another host, decides whether a turn may run, and knows which target caches the
//! program's prompt.
//!
//! The platform's store holds the operator's routes, the registrations of targets, and the shared
//! log, to which token budgets and the turns of programs are written.
//!
//! The modules that hold the logic ([`Routes`], [`TargetRegistry`], [`Ledger`], [`TurnTree`],
//! [`EventBuffer`]) do no I/O and read no clock. Access to the platform goes through the traits in
//! [`ports`]. See `docs/design/platform.md`.

mod admission;
mod call;
mod chains;
mod choose;
mod connections;
mod control;
mod directory;
mod ended_grants;
mod entry;
mod events;
mod fingerprint;
mod gated_log;
mod grants;
mod history;
mod ledger;
mod life;
mod limits;
mod load;
mod memory;
mod metrics;
mod organisations;
mod origins;
mod pace;
mod paths;
mod peers;
pub mod ports;
mod quota;
mod registry;
mod routes;
mod sequence;
mod settings;
mod settlements;
mod shards;
mod software;
mod stream;
mod suspects;
mod turns;

pub use call::{Call, CallResponse, ProgramContext, PromptSize, ResponseBody};
pub use chains::{ChainPlan, Lifetimes, Now};
pub use connections::{CallerConnection, ExchangeStage};
pub use directory::{DirectoryResponse, list_hosts};
pub use ended_grants::{EarlySettlement, EndedGrants};
pub use entry::{Entry, EntryDependencies, Phase};
pub use events::{Event, EventBuffer, EventTooLarge, NoEvent};
pub use fingerprint::Fingerprint;
pub use ledger::{
    Balance, GrantId, GrantRequest, HeldGrant, HeldState, Ledger, LedgerRecord, QueuedCeiling,
    Settlement, Verdict,
};
pub use life::{Draining, EntryNode, Serving, Stopped};
pub use memory::{BodyMemory, BodyReservation, MemoryPool, Reservation};
pub use metrics::Metrics;
pub use organisations::{
    Credential, Identity, KeyDigest, NoOrganisation, Organisation, Organisations, RateLimit,
};
pub use paths::{LateReader, NoPath, PathRequest, PathStream, Probe, limit_silence};
pub use peers::{PeerClient, PeerReply, PeerRequest, TcpPeerClient, serve_peers};
pub use quota::{AskProgram, QuotaAsk, QuotaReply};
pub use registry::{REREGISTRATION_GRACE, Target, TargetRegistry, TargetStatus};
pub use routes::{ClientLimits, EngineProfile, Route, RouteKind, Routes, Service, WeightedService};
pub use sequence::{EventOrder, EventSequence};
pub use settings::{
    AdmissionSettings, EntryAddresses, EntrySettings, PlatformSettings, QuotaSettings,
    ReloadableSettings, TimeLimits,
};
pub use shards::YieldedAccounts;
pub use stream::{EventReceiver, StreamInterrupted};
pub use turns::{FinishedTurn, ShardTurnCache, TurnLookup, TurnTimes, TurnTree, turn_records};
