//! The runtime of all kinds of nodes: tasks, a timer, random numbers, and membership over
//! datagrams.
//!
//! Nothing here depends on calls, programs or targets. `rosethread_node` and `rosethread_entry` are
//! built on it, so tests pause, kill and seed both in the same way.

mod end_guard;
mod membership;
mod random;
mod tasks;
mod thread;
mod timer;
mod transport;

pub use end_guard::EndGuard;
pub use membership::{
    Announce, DroppedDatagrams, Leave, LifeSigns, MembershipActor, MembershipParts, NoLifeSigns,
    NodeList, PingAddresses, SetSummary, start_membership,
};
pub use random::RandomSource;
pub use tasks::TaskSpawner;
pub use thread::start_control_thread;
pub use timer::{Tick, Timer};
pub use transport::{DatagramTransport, UdpTransport};
