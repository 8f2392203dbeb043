//! Serves calls that come through routes: the path from callers to targets on the users' platform.
//!
//! Every host runs the same process. The host at which a call enters carries its bytes; the owner of
//! the call's program, which may be another host, decides whether a turn may run and knows where
//! the program's prompt is cached. Budgets and kept turns go through the platform's shared log.
//!
//! Pure parts come first ([`Routes`], [`TargetRegistry`], [`Ledger`], [`TurnTree`], [`EventBuffer`]); they
//! do no I/O and read no clock. What meets the outside is behind the traits of [`ports`].
//! See `docs/design/platform.md`.

mod call;
mod chains;
mod choose;
mod control;
mod directory;
mod ended;
mod entry;
mod events;
mod grants;
mod history;
mod ledger;
mod life;
mod load;
mod metrics;
mod pace;
mod peers;
pub mod ports;
mod registry;
mod routes;
mod settings;
mod shards;
mod stream;

pub use call::{Call, CallResponse, ProgramContext, PromptSize, ResponseBody};
pub use chains::{ShardTurnCache, Turn, TurnLookup, TurnTree, turn_records};
pub use directory::{HostList, list_hosts};
pub use ended::EndedGrants;
pub use entry::{Entry, EntryParts, Phase};
pub use events::{Event, EventBuffer, EventTooLarge};
pub use ledger::{GrantId, GrantRequest, Ledger, LedgerRecord, Settlement, Verdict};
pub use life::{Draining, EntryNode, Serving, Stopped};
pub use metrics::Metrics;
pub use peers::{PeerClient, PeerReply, PeerRequest, TcpPeerClient, serve_peers};
pub use registry::{REREGISTRATION_GRACE, Target, TargetRegistry, TargetStatus};
pub use routes::{ClientLimits, EngineProfile, Route, RouteKind, Routes, Service, WeightedService};
pub use settings::{
    EntryAddresses, EntrySettings, PlatformSettings, ReloadableSettings, TimeLimits,
};
pub use shards::YieldedAccounts;
pub use stream::StreamInterrupted;
