//! A fake of a plain service, such as a tool service.

use std::{
    sync::{Mutex, MutexGuard},
    time::Duration,
};

use rosethread_platform::{ServiceReply, ServiceRequest, TargetError};
use rosethread_types::{AttemptId, Digest};
use tokio::time::{sleep, timeout};

/// The faults that are active on a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServiceFaults {
    /// Whether it cannot be reached.
    pub down: bool,
    /// Whether it executes requests but never responds.
    pub hang: bool,
    /// Every n-th request is executed, but its response is lost; zero means none.
    pub lost_response_every: u64,
}

/// A request that a service executed, for checks after a test run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceExecution {
    /// The identifier of the attempt.
    pub attempt: AttemptId,
    /// The request body.
    pub body: String,
}

#[derive(Default)]
struct State {
    faults: ServiceFaults,
    executions: Vec<ServiceExecution>,
}

/// A plain service in memory, which records what it executed.
pub struct FakeService {
    service_time: Duration,
    state: Mutex<State>,
}

impl FakeService {
    /// Returns a service that takes `service_time` for each request.
    pub fn new(service_time: Duration) -> FakeService {
        FakeService { service_time, state: Mutex::default() }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics while it holds the service")
    }

    /// Replaces the active faults.
    pub fn set_faults(&self, faults: ServiceFaults) {
        self.state().faults = faults;
    }

    /// Returns the active faults.
    pub fn faults(&self) -> ServiceFaults {
        self.state().faults
    }

    /// Returns how often a request with this body was executed.
    pub fn execution_count(&self, body: &str) -> usize {
        self.state().executions.iter().filter(|it| it.body == body).count()
    }

    /// Returns all requests executed so far.
    pub fn executions(&self) -> Vec<ServiceExecution> {
        self.state().executions.clone()
    }

    /// Returns the response body for a request with this body.
    pub fn response_body(body: &str) -> String {
        let digest = Digest::default().chain(&[b"service", body.as_bytes()]);
        format!("{{\"result\":\"{digest}\"}}")
    }

    /// Executes a request and returns its response.
    ///
    /// The execution is recorded even if a fault or the timeout prevents the response.
    pub async fn call(&self, request: ServiceRequest) -> Result<ServiceReply, TargetError> {
        if self.state().faults.down {
            return Err(TargetError::Unreachable("the service is down".to_owned()));
        }
        let faults = {
            let mut state = self.state();
            let execution =
                ServiceExecution { attempt: request.attempt, body: request.body.clone() };
            state.executions.push(execution);
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
        if request.timeout < self.service_time {
            sleep(request.timeout).await;
            return Err(TargetError::TimedOut);
        }
        sleep(self.service_time).await;
        if is_lost {
            return Err(TargetError::ResponseFailed("the answer was lost".to_owned()));
        }
        Ok(ServiceReply { status: 200, body: FakeService::response_body(&request.body) })
    }
}
