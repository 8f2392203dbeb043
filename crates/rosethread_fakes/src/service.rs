//! A stand-in for a plain service, tool services included.

use std::{
    sync::{Mutex, MutexGuard},
    time::Duration,
};

use rosethread_platform::{ServiceReply, ServiceRequest, TargetError};
use rosethread_types::{AttemptId, Digest};
use tokio::time::{sleep, timeout};

/// How a service misbehaves at present.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServiceFaults {
    /// Whether it cannot be reached.
    pub down: bool,
    /// Whether it takes requests, executes them, and never answers.
    pub hang: bool,
    /// Of how many requests one is executed without an answer; zero means none.
    pub lost_response_every: u64,
}

/// One request that a service executed, for checks after a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceExecution {
    /// The attempt.
    pub attempt: AttemptId,
    /// The body.
    pub body: String,
}

#[derive(Default)]
struct State {
    faults: ServiceFaults,
    executions: Vec<ServiceExecution>,
}

/// A plain service in memory that remembers what it executed.
pub struct FakeService {
    time: Duration,
    state: Mutex<State>,
}

impl FakeService {
    /// Returns a service that works on each request for `time`.
    pub fn new(time: Duration) -> FakeService {
        FakeService { time, state: Mutex::default() }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the service panics")
    }

    /// Changes how the service misbehaves.
    pub fn set_faults(&self, faults: ServiceFaults) {
        self.state().faults = faults;
    }

    /// Returns how the service misbehaves.
    pub fn faults(&self) -> ServiceFaults {
        self.state().faults
    }

    /// Returns how often a request with this body was executed.
    pub fn execution_count(&self, body: &str) -> usize {
        self.state().executions.iter().filter(|it| it.body == body).count()
    }

    /// Returns everything executed so far.
    pub fn executions(&self) -> Vec<ServiceExecution> {
        self.state().executions.clone()
    }

    /// Returns the answer to `body`.
    pub fn response_body(body: &str) -> String {
        let digest = Digest::default().chain(&[b"service", body.as_bytes()]);
        format!("{{\"result\":\"{digest}\"}}")
    }

    /// Executes a request.
    pub async fn call(&self, request: ServiceRequest) -> Result<ServiceReply, TargetError> {
        if self.state().faults.down {
            return Err(TargetError::Unreachable("the service is down".to_owned()));
        }
        let faults = {
            let mut state = self.state();
            let run = ServiceExecution { attempt: request.attempt, body: request.body.clone() };
            state.executions.push(run);
            let every = state.faults.lost_response_every;
            let is_lost = every != 0 && (state.executions.len() as u64).is_multiple_of(every);
            (state.faults.hang, is_lost)
        };
        let (hangs, is_lost) = faults;
        if hangs {
            return timeout(request.timeout, std::future::pending())
                .await
                .unwrap_or(Err(TargetError::TimedOut));
        }
        if request.timeout < self.time {
            sleep(request.timeout).await;
            return Err(TargetError::TimedOut);
        }
        sleep(self.time).await;
        if is_lost {
            return Err(TargetError::ResponseFailed("the answer was lost".to_owned()));
        }
        Ok(ServiceReply { status: 200, body: FakeService::response_body(&request.body) })
    }
}
