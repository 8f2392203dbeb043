//! What every kind of node runs on: tasks, one timer, randomness, and membership over datagrams.
//!
//! Nothing here knows calls, programs or targets. `rosethread_node` and `rosethread_entry` build on
//! it, so both are paused, killed and seeded in tests in the same way.

mod membership;
mod random;
mod tasks;
mod thread;
mod timer;
mod transport;

pub use membership::{
    Leave, MembershipActor, MembershipParts, NodeList, PingAddresses, SetSummary, start_membership,
};
pub use random::RandomSource;
pub use tasks::TaskSpawner;
pub use thread::start_control_thread;
pub use timer::{Tick, Timer};
pub use transport::{DatagramTransport, UdpTransport};
