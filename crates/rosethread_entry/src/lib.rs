//! Serves calls that come through routes: the path from callers to targets on the users' platform.
//!
//! Every host runs the same process. The host at which a call enters carries its bytes; the owner of
//! the call's program, which may be another host, decides whether a turn may run and knows where
//! the program's prompt is cached. Budgets and kept turns go through the platform's shared log.
//!
//! Pure parts come first ([`Routes`], [`Registry`], [`Ledger`], [`TurnTree`], [`EventBuffer`]); they
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

pub use call::{Answer, AnswerBody, Call, ProgramTag, PromptShape};
pub use chains::{ShardTurnCache, Turn, TurnLookup, TurnTree, turn_records};
pub use directory::{Directions, directions};
pub use ended::EndedGrants;
pub use entry::{Entry, Parts, Phase};
pub use events::{Event, EventBuffer, TooLarge};
pub use ledger::{Ask, GrantId, Ledger, LedgerRecord, Settlement, Verdict};
pub use life::{Draining, EntryNode, Serving, Stopped};
pub use metrics::Metrics;
pub use peers::{PeerClient, PeerReply, PeerRequest, TcpPeerClient, serve_peers};
pub use registry::{RETURN_GRACE, Registry, Target, TargetStatus};
pub use routes::{ClientLimits, Engine, Route, RouteKind, Routes, Service, Share};
pub use settings::{Bounds, EntryAddresses, EntrySettings, PlatformSettings, Tuning};
pub use shards::Yielded;
pub use stream::Interrupted;
