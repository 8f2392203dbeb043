//! A spawner for the tasks of one node, which can be paused and killed together.
//!
//! All futures of a node are spawned here. Production code never pauses them; tests use it to
//! emulate a frozen or killed process, which stops between two polls without any shutdown work.

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

struct TaskGate {
    state: Mutex<TaskGateState>,
}

struct TaskGateState {
    phase: Phase,
    next_id: u64,
    /// The wakers of all tasks: a killed task must be polled again at once to be dropped, and not
    /// only at its own next event.
    wakers: BTreeMap<u64, Waker>,
}

/// A spawner of tasks that can be paused and killed together; clones control the same tasks.
///
/// Control tasks run on a single thread and traffic on others, so there are two runtimes.
#[derive(Clone)]
pub struct TaskSpawner {
    gate: Arc<TaskGate>,
    control: Handle,
    traffic: Handle,
}

impl TaskSpawner {
    /// Creates a spawner on two runtimes, which may be the same.
    pub fn new(control: Handle, traffic: Handle) -> TaskSpawner {
        let state = TaskGateState { phase: Phase::Running, next_id: 0, wakers: BTreeMap::new() };
        TaskSpawner { gate: Arc::new(TaskGate { state: Mutex::new(state) }), control, traffic }
    }

    /// Creates a spawner on the current Tokio runtime.
    pub fn current() -> TaskSpawner {
        TaskSpawner::new(Handle::current(), Handle::current())
    }

    /// Spawns a future on the runtime for traffic.
    pub fn spawn<F>(&self, future: F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        self.spawn_on(&self.traffic, future);
    }

    /// Spawns a future on the runtime for control state.
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
        let task = GatedTask { id, future: Some(Box::pin(future)), gate: self.gate.clone() };
        handle.spawn(task);
    }

    /// Stops polling all tasks until [`TaskSpawner::resume`].
    pub fn pause(&self) {
        self.set_phase(Phase::Paused);
    }

    /// Continues paused tasks.
    pub fn resume(&self) {
        self.set_phase(Phase::Running);
    }

    /// Drops all tasks where they are; a killed spawner cannot be resumed.
    pub fn kill(&self) {
        self.set_phase(Phase::Killed);
    }

    /// Returns whether the tasks have been killed.
    pub fn is_killed(&self) -> bool {
        self.gate.lock().phase == Phase::Killed
    }

    fn set_phase(&self, phase: Phase) {
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

impl TaskGate {
    fn lock(&self) -> MutexGuard<'_, TaskGateState> {
        self.state.lock().expect("no holder of the gate panics")
    }
}

struct GatedTask {
    id: u64,
    future: Option<Pin<Box<dyn Future<Output = ()> + Send>>>,
    gate: Arc<TaskGate>,
}

impl Future for GatedTask {
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

impl Drop for GatedTask {
    fn drop(&mut self) {
        self.gate.lock().wakers.remove(&self.id);
    }
}
