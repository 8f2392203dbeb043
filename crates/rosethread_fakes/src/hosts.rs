//! A fake of the platform's host list.

use std::{
    collections::VecDeque,
    sync::{Mutex, MutexGuard},
    time::Duration,
};

use async_trait::async_trait;
use rosethread_platform::{HostEntry, HostList};
use tokio::time::Instant;

struct State {
    is_down: bool,
    /// How long a change takes to become visible.
    lag: Duration,
    /// The visible version of the list and all newer ones, each with the time of its change.
    versions: VecDeque<(Instant, Vec<HostEntry>)>,
}

/// A host list whose changes become visible after a lag.
pub struct FakeHosts {
    state: Mutex<State>,
}

impl FakeHosts {
    /// Returns a list that shows `hosts` now and later changes after `lag`.
    pub fn new(lag: Duration, hosts: Vec<HostEntry>) -> FakeHosts {
        let versions = VecDeque::from([(Instant::now(), hosts)]);
        FakeHosts { state: Mutex::new(State { is_down: false, lag, versions }) }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics while it holds the host list")
    }

    /// Replaces the list; readers see the change after the lag.
    pub fn set_hosts(&self, hosts: Vec<HostEntry>) {
        self.state().versions.push_back((Instant::now(), hosts));
    }

    /// Makes the list unavailable, or available again.
    pub fn set_down(&self, is_down: bool) {
        self.state().is_down = is_down;
    }
}

#[async_trait]
impl HostList for FakeHosts {
    async fn hosts(&self) -> Option<Vec<HostEntry>> {
        let mut state = self.state();
        if state.is_down {
            return None;
        }
        let cutoff = Instant::now().checked_sub(state.lag);
        while state.versions.get(1).is_some_and(|(at, _)| cutoff.is_some_and(|it| *at <= it)) {
            state.versions.pop_front();
        }
        state.versions.front().map(|(_, hosts)| hosts.clone())
    }
}
