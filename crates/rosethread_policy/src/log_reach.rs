//! Whether the responsible host of a shard has to be one that reaches the log: the load of a log that comes
//! back after an outage to hosts that notice it one after the other.
//!
//! If some hosts don't reach the log while most do, their shards move to hosts that do. In an outage for
//! most hosts nobody can claim a shard, and moving it to one of the few that still reach the log, or to the
//! first that do again, makes each of these hosts read whole shards at the moment when all hosts wait for
//! the log. So responsibilities stay where they are until the hosts have had time to notice its return.

use std::time::Duration;

/// The time in which all hosts have noticed that the log is back: two reads of the registry.
const RETURN_TIME: Duration = Duration::from_millis(1_500);

/// Tells an outage of the log for most hosts from one for a few. Times are durations since the start of the
/// process.
#[derive(Clone, Debug, Default)]
pub struct LogReach {
    /// When fewer than half of the hosts last reached the log.
    outage: Option<Duration>,
}

impl LogReach {
    /// Returns whether responsible hosts have to reach the log, of `hosts` of which `reaching` do.
    pub fn is_required(&mut self, reaching: usize, hosts: usize, now: Duration) -> bool {
        if reaching * 2 < hosts {
            self.outage = Some(now);
        }
        self.outage.is_none_or(|it| it.saturating_add(RETURN_TIME) <= now)
    }
}
