//! All fake targets, behind the trait through which nodes reach targets.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard},
};

use async_trait::async_trait;
use rosethread_platform::{
    CacheAction, EngineCommand, EngineLoad, EngineRequest, EngineStream, ServiceReply,
    ServiceRequest, TargetAddress, TargetClient, TargetError,
};
use rosethread_types::{Epoch, ProgramId, TargetName};

use crate::{FakeEngine, FakeService};

/// Fake targets by name; they are reached in memory, whatever their address.
#[derive(Default)]
pub struct FakeTargets {
    engines: Mutex<BTreeMap<TargetName, Arc<FakeEngine>>>,
    services: Mutex<BTreeMap<TargetName, Arc<FakeService>>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no thread panics while it holds the targets")
}

impl FakeTargets {
    /// Adds an engine.
    pub fn add_engine(&self, name: TargetName, engine: Arc<FakeEngine>) {
        lock(&self.engines).insert(name, engine);
    }

    /// Adds a service.
    pub fn add_service(&self, name: TargetName, service: Arc<FakeService>) {
        lock(&self.services).insert(name, service);
    }

    /// Returns all engines.
    pub fn engines(&self) -> Vec<Arc<FakeEngine>> {
        lock(&self.engines).values().cloned().collect()
    }

    /// Returns all services.
    pub fn services(&self) -> Vec<Arc<FakeService>> {
        lock(&self.services).values().cloned().collect()
    }

    fn engine(&self, target: &TargetAddress) -> Result<Arc<FakeEngine>, TargetError> {
        let unreachable = || TargetError::Unreachable(format!("no engine {}", target.name));
        lock(&self.engines).get(&target.name).cloned().ok_or_else(unreachable)
    }

    fn service(&self, target: &TargetAddress) -> Result<Arc<FakeService>, TargetError> {
        let unreachable = || TargetError::Unreachable(format!("no service {}", target.name));
        lock(&self.services).get(&target.name).cloned().ok_or_else(unreachable)
    }
}

#[async_trait]
impl TargetClient for FakeTargets {
    async fn generate(
        &self,
        target: &TargetAddress,
        request: EngineRequest,
    ) -> Result<EngineStream, TargetError> {
        self.engine(target)?.generate(request)
    }

    async fn cancel(&self, target: &TargetAddress, program: &ProgramId) -> Result<(), TargetError> {
        self.engine(target)?.cancel(program)
    }

    async fn apply_cache_action(
        &self,
        target: &TargetAddress,
        program: &ProgramId,
        action: CacheAction,
    ) -> Result<(), TargetError> {
        self.engine(target)?.apply_cache_action(program, action)
    }

    async fn load(&self, target: &TargetAddress) -> Result<EngineLoad, TargetError> {
        self.engine(target)?.load()
    }

    async fn send_command(
        &self,
        target: &TargetAddress,
        fence: Epoch,
        command: EngineCommand,
    ) -> Result<(), TargetError> {
        self.engine(target)?.execute_command(fence, command)
    }

    async fn call(
        &self,
        target: &TargetAddress,
        request: ServiceRequest,
    ) -> Result<ServiceReply, TargetError> {
        self.service(target)?.call(request).await
    }
}
