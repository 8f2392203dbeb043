//! The tasks of one node, which can be paused and ended together.
//!
//! All of a node's futures are spawned here. In production nothing is ever paused; tests stop a
//! node the way a frozen or killed process stops: between two polls, without a word.

use std::{
    collections::BTreeMap,
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard},
    task::{Context, Poll, Waker},
};

use tokio::runtime::Handle;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Running,
    Paused,
    Killed,
}

struct Gate {
    state: Mutex<GateState>,
}

struct GateState {
    phase: Phase,
    next_id: u64,
    /// The wakers of all tasks, since a killed node must not wait for its tasks' own events.
    wakers: BTreeMap<u64, Waker>,
}

/// A spawner whose tasks share one gate; clones share it too.
///
/// Control state lives on one thread and traffic on others, so there are two runtimes to spawn on.
#[derive(Clone)]
pub struct TaskSpawner {
    gate: Arc<Gate>,
    control: Handle,
    traffic: Handle,
}

impl TaskSpawner {
    /// Returns a spawner on two runtimes, which may be the same.
    pub fn new(control: Handle, traffic: Handle) -> TaskSpawner {
        let state = GateState { phase: Phase::Running, next_id: 0, wakers: BTreeMap::new() };
        TaskSpawner { gate: Arc::new(Gate { state: Mutex::new(state) }), control, traffic }
    }

    /// Returns a spawner on the current runtime.
    pub fn current() -> TaskSpawner {
        TaskSpawner::new(Handle::current(), Handle::current())
    }

    /// Spawns a future that carries traffic.
    pub fn spawn<F>(&self, future: F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        self.spawn_on(&self.traffic, future);
    }

    /// Spawns a future that keeps control state.
    pub fn spawn_control<F>(&self, future: F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        self.spawn_on(&self.control, future);
    }

    fn spawn_on<F>(&self, handle: &Handle, future: F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let id = {
            let mut state = self.gate.lock();
            state.next_id += 1;
            state.next_id
        };
        let gated = Gated { id, future: Some(Box::pin(future)), gate: self.gate.clone() };
        handle.spawn(gated);
    }

    /// Stops polling all tasks until [`TaskSpawner::resume`].
    pub fn pause(&self) {
        self.set(Phase::Paused);
    }

    /// Goes on with paused tasks.
    pub fn resume(&self) {
        self.set(Phase::Running);
    }

    /// Drops all tasks at their current point.
    pub fn kill(&self) {
        self.set(Phase::Killed);
    }

    /// Tells whether the tasks have been killed.
    pub fn is_killed(&self) -> bool {
        self.gate.lock().phase == Phase::Killed
    }

    fn set(&self, phase: Phase) {
        let wakers: Vec<Waker> = {
            let mut state = self.gate.lock();
            if state.phase == Phase::Killed {
                return;
            }
            state.phase = phase;
            state.wakers.values().cloned().collect()
        };
        for waker in wakers {
            waker.wake();
        }
    }
}

impl Gate {
    fn lock(&self) -> MutexGuard<'_, GateState> {
        self.state.lock().expect("no holder of the gate panics")
    }
}

struct Gated {
    id: u64,
    future: Option<Pin<Box<dyn Future<Output = ()> + Send>>>,
    gate: Arc<Gate>,
}

impl Future for Gated {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        let id = self.id;
        let phase = {
            let mut state = self.gate.lock();
            match state.wakers.get_mut(&id) {
                Some(waker) => waker.clone_from(cx.waker()),
                None => {
                    state.wakers.insert(id, cx.waker().clone());
                }
            }
            state.phase
        };
        match phase {
            Phase::Running => match &mut self.future {
                Some(future) => future.as_mut().poll(cx),
                None => Poll::Ready(()),
            },
            Phase::Paused => Poll::Pending,
            Phase::Killed => {
                self.future = None;
                Poll::Ready(())
            }
        }
    }
}

impl Drop for Gated {
    fn drop(&mut self) {
        self.gate.lock().wakers.remove(&self.id);
    }
}
