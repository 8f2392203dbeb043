//! A stand-in for a model engine with continuous batching and a prefix cache.

mod step;

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use rosethread_platform::{
    CacheAction, EngineCommand, EngineEvent, EngineLoad, EngineRequest, EngineStream, EngineUsage,
    TargetError,
};
use rosethread_types::{AttemptId, Epoch, ProgramId, Tokens};
use tokio::{
    sync::{Notify, mpsc},
    time::Instant,
};

use crate::{PrefixCache, oracle};

/// Events buffered between the engine and its client.
const STREAM_BUFFER: usize = 1_024;

/// The performance of a stand-in engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineConfig {
    /// Sequences in one batch.
    pub slots: usize,
    /// Requests that wait in the engine before it refuses more.
    pub queue_limit: usize,
    /// Cache memory, in tokens.
    pub cache_tokens: Tokens,
    /// The time of one step without any work in it.
    pub base_step: Duration,
    /// The time that each sequence adds to a step.
    pub per_sequence: Duration,
    /// Prompt tokens computed in a second.
    pub prefill_rate: u32,
    /// The most prompt tokens computed in one step.
    pub prefill_chunk: Tokens,
    /// How old a load report is.
    pub report_lag: Duration,
    /// Whether orders under an old fencing number are refused.
    pub fencing: bool,
}

impl Default for EngineConfig {
    fn default() -> EngineConfig {
        EngineConfig {
            slots: 8,
            queue_limit: 64,
            cache_tokens: 100_000,
            base_step: Duration::from_millis(20),
            per_sequence: Duration::from_micros(500),
            prefill_rate: 8_000,
            prefill_chunk: 2_048,
            report_lag: Duration::from_millis(500),
            fencing: true,
        }
    }
}

/// How an engine misbehaves at present.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineFaults {
    /// Whether it cannot be reached.
    pub down: bool,
    /// Whether it takes requests and never answers.
    pub hang: bool,
    /// After how many tokens it breaks streams off; zero means never.
    pub truncate_after: Tokens,
    /// Whether it sends each event to another of its streams.
    pub misroute_events: bool,
    /// Tokens that it generates beyond the requested limit.
    pub excess_tokens: Tokens,
    /// By how much its steps are stretched; zero means not at all.
    pub slow_factor: u32,
}

/// One generation that an engine took on, for checks after a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GenerationRecord {
    /// The attempt.
    pub attempt: AttemptId,
    /// The program.
    pub program: ProgramId,
    /// The fencing number.
    pub epoch: Epoch,
    /// The digest of the prompt.
    pub prompt_digest: rosethread_types::Digest,
    /// When the request arrived.
    pub arrived: Instant,
    /// The most tokens that the request allowed.
    pub max_tokens: Tokens,
    /// Tokens generated so far.
    pub generated: Tokens,
    /// When the generation ended, for whatever reason.
    pub ended: Option<Instant>,
}

pub(crate) struct Sequence {
    request: EngineRequest,
    record: usize,
    digest: rosethread_types::Digest,
    to_prefill: Tokens,
    prompt: Tokens,
    cached: Tokens,
    generated: Tokens,
    limit: Tokens,
    text: String,
    sender: mpsc::Sender<Result<EngineEvent, TargetError>>,
}

pub(crate) struct State {
    faults: EngineFaults,
    running: Vec<Sequence>,
    waiting: BTreeMap<(i32, u64), Sequence>,
    arrivals: u64,
    cache: PrefixCache,
    records: Vec<GenerationRecord>,
    report: (Instant, EngineLoad),
    fence: Epoch,
    /// The newest fencing number of each program.
    fences: BTreeMap<ProgramId, Epoch>,
    orders: Vec<(Epoch, EngineCommand)>,
    exported: BTreeMap<ProgramId, Vec<u8>>,
}

/// A model engine in memory, whose steps run in a task of their own.
pub struct FakeEngine {
    config: EngineConfig,
    state: Mutex<State>,
    work: Notify,
}

impl FakeEngine {
    /// Returns an idle engine and starts the task that runs its steps.
    pub fn start(config: EngineConfig) -> Arc<FakeEngine> {
        let engine = Arc::new(FakeEngine {
            config,
            state: Mutex::new(State {
                faults: EngineFaults::default(),
                running: Vec::new(),
                waiting: BTreeMap::new(),
                arrivals: 0,
                cache: PrefixCache::new(config.cache_tokens),
                records: Vec::new(),
                report: (Instant::now(), EngineLoad::default()),
                fence: Epoch::UNCLAIMED,
                fences: BTreeMap::new(),
                orders: Vec::new(),
                exported: BTreeMap::new(),
            }),
            work: Notify::new(),
        });
        tokio::spawn(step::run(engine.clone()));
        engine
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the engine panics")
    }

    /// Changes how the engine misbehaves.
    pub fn set_faults(&self, faults: EngineFaults) {
        self.state().faults = faults;
    }

    /// Returns how the engine misbehaves.
    pub fn faults(&self) -> EngineFaults {
        self.state().faults
    }

    /// Returns how often a prompt with this digest was taken on.
    pub fn execution_count(&self, prompt: rosethread_types::Digest) -> usize {
        self.state().records.iter().filter(|it| it.prompt_digest == prompt).count()
    }

    /// Returns all generations taken on so far.
    pub fn records(&self) -> Vec<GenerationRecord> {
        self.state().records.clone()
    }

    /// Returns the programs that hold cache memory or have a generation here.
    pub fn resident_programs(&self) -> Vec<ProgramId> {
        let state = self.state();
        let mut holders = state.cache.holders();
        holders.extend(state.running.iter().map(|it| it.request.program.clone()));
        holders.extend(state.waiting.values().map(|it| it.request.program.clone()));
        holders.into_iter().collect()
    }

    /// Returns the orders carried out so far.
    pub fn orders(&self) -> Vec<(Epoch, EngineCommand)> {
        self.state().orders.clone()
    }

    /// Takes a generation on.
    pub fn generate(&self, request: EngineRequest) -> Result<EngineStream, TargetError> {
        let mut state = self.state();
        if state.faults.down {
            return Err(TargetError::Unreachable("the engine is down".to_owned()));
        }
        let fence = state.fences.entry(request.program.clone()).or_default();
        if self.config.fencing && request.epoch < *fence {
            return Err(TargetError::Refused("the fencing number is old".to_owned()));
        }
        *fence = request.epoch.max(*fence);
        if self.config.queue_limit <= state.waiting.len() {
            return Err(TargetError::Refused("the engine's queue is full".to_owned()));
        }
        let (sender, receiver) = mpsc::channel(STREAM_BUFFER);
        let sequence = sequence(&mut state, request, sender);
        state.arrivals += 1;
        let key = (sequence.request.priority, state.arrivals);
        state.waiting.insert(key, sequence);
        drop(state);
        self.work.notify_one();
        Ok(receiver)
    }

    /// Cancels the generations of a program.
    pub fn cancel(&self, program: &ProgramId) -> Result<(), TargetError> {
        let mut state = self.state();
        if state.faults.down {
            return Err(TargetError::Unreachable("the engine is down".to_owned()));
        }
        state.cancel(program);
        Ok(())
    }

    /// Changes the hold on a program's cache; dropping it cancels its generations too.
    pub fn release(&self, program: &ProgramId, hold: CacheAction) -> Result<(), TargetError> {
        let mut state = self.state();
        if state.faults.down {
            return Err(TargetError::Unreachable("the engine is down".to_owned()));
        }
        match hold {
            CacheAction::Keep(time) => state.cache.pin(program, Instant::now() + time),
            CacheAction::Release => state.cache.unpin(program),
            CacheAction::Drop => {
                state.cancel(program);
                state.cache.drop_program(program);
            }
        }
        Ok(())
    }

    /// Returns the last load report, which may be old.
    pub fn load(&self) -> Result<EngineLoad, TargetError> {
        let mut state = self.state();
        if state.faults.down {
            return Err(TargetError::Unreachable("the engine is down".to_owned()));
        }
        let now = Instant::now();
        if state.report.0 + self.config.report_lag <= now {
            state.report = (now, self.current_load(&state));
        }
        Ok(state.report.1)
    }

    /// Returns the load as it is, for measurements.
    pub fn true_load(&self) -> EngineLoad {
        self.current_load(&self.state())
    }

    fn current_load(&self, state: &State) -> EngineLoad {
        let stats = state.cache.stats();
        EngineLoad {
            running: state.running.len() as u32,
            waiting: state.waiting.len() as u32,
            used: state.cache.used(),
            memory: self.config.cache_tokens,
            wasted: stats.wasted,
            hits: stats.hits,
            misses: stats.misses,
        }
    }

    /// Carries an order out, unless its fencing number is old and the engine checks it.
    pub fn order(&self, fence: Epoch, order: EngineCommand) -> Result<(), TargetError> {
        let mut state = self.state();
        if state.faults.down {
            return Err(TargetError::Unreachable("the engine is down".to_owned()));
        }
        if self.config.fencing && fence < state.fence {
            return Err(TargetError::Refused("the fencing number is old".to_owned()));
        }
        state.fence = state.fence.max(fence);
        state.orders.push((fence, order));
        Ok(())
    }

    /// Returns a copy of a program's cached prompt, to be imported elsewhere.
    pub fn export(&self, program: &ProgramId) -> Option<Vec<u8>> {
        self.state().exported.get(program).cloned()
    }

    /// Fills the cache with an exported prompt.
    pub fn import(&self, program: &ProgramId, prompt: &[u8]) {
        self.state().cache.insert(prompt, program);
    }
}

/// Looks the prompt up in the cache and returns the sequence to run.
fn sequence(
    state: &mut State,
    request: EngineRequest,
    sender: mpsc::Sender<Result<EngineEvent, TargetError>>,
) -> Sequence {
    let prompt = oracle::count_tokens(&request.messages);
    let cached = state.cache.lookup(request.messages.as_bytes());
    let digest = oracle::prompt_digest(&request.messages);
    let record = state.records.len();
    state.records.push(GenerationRecord {
        attempt: request.attempt,
        program: request.program.clone(),
        epoch: request.epoch,
        prompt_digest: digest,
        arrived: Instant::now(),
        max_tokens: request.max_tokens,
        generated: 0,
        ended: None,
    });
    let wanted = oracle::wanted_tokens(&request.messages);
    let limit = wanted.min(request.max_tokens + state.faults.excess_tokens);
    Sequence {
        record,
        digest,
        to_prefill: prompt - cached,
        prompt,
        cached,
        generated: 0,
        limit,
        text: String::new(),
        sender,
        request,
    }
}

impl State {
    fn cancel(&mut self, program: &ProgramId) {
        self.retain(|it| it.request.program != *program);
    }

    /// Ends the generations that `keep` does not keep.
    fn retain(&mut self, keep: impl Fn(&Sequence) -> bool) {
        let records = &mut self.records;
        let mut is_kept = |it: &Sequence| {
            let is_kept = keep(it);
            if !is_kept {
                records[it.record].ended = Some(Instant::now());
            }
            is_kept
        };
        self.running.retain(&mut is_kept);
        self.waiting.retain(|_, it| is_kept(it));
    }
}

impl Sequence {
    fn usage(&self) -> EngineUsage {
        EngineUsage { prompt: self.prompt, cached: self.cached, completion: self.generated }
    }
}
