//! A stand-in for the platform's host list.

use std::{
    collections::VecDeque,
    sync::{Mutex, MutexGuard},
    time::Duration,
};

use async_trait::async_trait;
use rosethread_platform::{HostEntry, HostList};
use tokio::time::Instant;

struct State {
    down: bool,
    lag: Duration,
    /// The versions of the list, the newest last.
    versions: VecDeque<(Instant, Vec<HostEntry>)>,
}

/// A list of hosts that shows each change only after a lag.
pub struct FakeHosts {
    state: Mutex<State>,
}

impl FakeHosts {
    /// Returns a list whose changes show after `lag`.
    pub fn new(lag: Duration, hosts: Vec<HostEntry>) -> FakeHosts {
        let versions = VecDeque::from([(Instant::now(), hosts)]);
        FakeHosts { state: Mutex::new(State { down: false, lag, versions }) }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the host list panics")
    }

    /// Replaces the list; readers see it after the lag.
    pub fn set_hosts(&self, hosts: Vec<HostEntry>) {
        self.state().versions.push_back((Instant::now(), hosts));
    }

    /// Makes the list unavailable or available again.
    pub fn set_down(&self, down: bool) {
        self.state().down = down;
    }
}

#[async_trait]
impl HostList for FakeHosts {
    async fn hosts(&self) -> Option<Vec<HostEntry>> {
        let mut state = self.state();
        if state.down {
            return None;
        }
        let visible = Instant::now().checked_sub(state.lag);
        while state.versions.get(1).is_some_and(|(at, _)| visible.is_some_and(|it| *at <= it)) {
            state.versions.pop_front();
        }
        state.versions.front().map(|(_, hosts)| hosts.clone())
    }
}
