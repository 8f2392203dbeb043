//! A fake model engine with continuous batching and a prefix cache.

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

/// Events buffered for each stream; a client that lags further behind loses its stream.
const STREAM_BUFFER: usize = 1_024;

/// The capacity and the speed of a fake engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineConfig {
    /// The most sequences in a batch.
    pub slots: usize,
    /// The most requests in the queue; further ones are refused.
    pub queue_limit: usize,
    /// The size of the prefix cache, in tokens.
    pub cache_tokens: Tokens,
    /// The duration of a step without any sequence in the batch.
    pub base_step: Duration,
    /// What each sequence in the batch adds to the duration of a step.
    pub per_sequence: Duration,
    /// Prompt tokens computed in a second.
    pub prefill_rate: u32,
    /// The most prompt tokens computed in one step.
    pub prefill_chunk: Tokens,
    /// The age at which a load report is replaced; until then readers get the old one.
    pub report_lag: Duration,
    /// Whether requests and commands with a stale fencing token are refused.
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

/// The faults that are active on an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineFaults {
    /// Whether it cannot be reached.
    pub down: bool,
    /// Whether it accepts requests but generates nothing.
    pub hang: bool,
    /// The number of tokens after which streams end with an error; zero means never.
    pub truncate_after: Tokens,
    /// Whether it sends events to the streams of other requests in the batch.
    pub misroute_events: bool,
    /// How many tokens it may generate beyond the limit of a request.
    pub excess_tokens: Tokens,
    /// The factor by which steps take longer; zero means one.
    pub slow_factor: u32,
}

/// A generation that an engine accepted, for checks after a test run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GenerationRecord {
    /// The identifier of the attempt.
    pub attempt: AttemptId,
    /// The program on whose behalf it was requested.
    pub program: ProgramId,
    /// The epoch of the program's owner, which serves as fencing token.
    pub epoch: Epoch,
    /// The digest that determines the completion.
    pub prompt_digest: rosethread_types::Digest,
    /// When the request arrived.
    pub arrived: Instant,
    /// The most tokens that the request allowed.
    pub max_tokens: Tokens,
    /// Tokens generated so far.
    pub generated: Tokens,
    /// When the generation finished, failed or was cancelled; `None` while it runs or waits.
    pub ended: Option<Instant>,
}

/// A request that waits or runs, with its progress.
pub(crate) struct Sequence {
    request: EngineRequest,
    /// The index of its generation record.
    record: usize,
    digest: rosethread_types::Digest,
    /// Prompt tokens still to be computed.
    to_prefill: Tokens,
    prompt_tokens: Tokens,
    cached_tokens: Tokens,
    generated: Tokens,
    /// The number of tokens at which it finishes.
    limit: Tokens,
    text: String,
    sender: mpsc::Sender<Result<EngineEvent, TargetError>>,
}

pub(crate) struct State {
    faults: EngineFaults,
    running: Vec<Sequence>,
    /// The queue by priority, then by order of arrival.
    waiting: BTreeMap<(i32, u64), Sequence>,
    /// The number of requests accepted so far.
    arrivals: u64,
    cache: PrefixCache,
    records: Vec<GenerationRecord>,
    /// The last load report, and when it was made.
    report: (Instant, EngineLoad),
    /// The highest fencing token of any command.
    command_fence: Epoch,
    /// The highest fencing token of each program's requests.
    program_fences: BTreeMap<ProgramId, Epoch>,
    commands: Vec<(Epoch, EngineCommand)>,
    /// The prompt of each program's last generation, unless that was cancelled or the engine went
    /// down.
    exportable: BTreeMap<ProgramId, Vec<u8>>,
}

/// A model engine in memory; a background task runs its steps.
pub struct FakeEngine {
    config: EngineConfig,
    state: Mutex<State>,
    /// Wakes the background task when a request arrives.
    work_arrived: Notify,
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
                command_fence: Epoch::UNCLAIMED,
                program_fences: BTreeMap::new(),
                commands: Vec::new(),
                exportable: BTreeMap::new(),
            }),
            work_arrived: Notify::new(),
        });
        tokio::spawn(step::run(engine.clone()));
        engine
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics while it holds the engine")
    }

    /// Replaces the active faults.
    pub fn set_faults(&self, faults: EngineFaults) {
        self.state().faults = faults;
    }

    /// Returns the active faults.
    pub fn faults(&self) -> EngineFaults {
        self.state().faults
    }

    /// Returns how many generations of a prompt with this digest were accepted.
    pub fn execution_count(&self, prompt: rosethread_types::Digest) -> usize {
        self.state().records.iter().filter(|it| it.prompt_digest == prompt).count()
    }

    /// Returns the records of all generations accepted so far.
    pub fn records(&self) -> Vec<GenerationRecord> {
        self.state().records.clone()
    }

    /// Returns the programs that have cached blocks or a waiting or running generation.
    pub fn resident_programs(&self) -> Vec<ProgramId> {
        let state = self.state();
        let mut programs = state.cache.programs();
        programs.extend(state.running.iter().map(|it| it.request.program.clone()));
        programs.extend(state.waiting.values().map(|it| it.request.program.clone()));
        programs.into_iter().collect()
    }

    /// Returns the commands executed so far, each with its fencing token.
    pub fn commands(&self) -> Vec<(Epoch, EngineCommand)> {
        self.state().commands.clone()
    }

    /// Accepts a generation and returns the stream of its events.
    ///
    /// # Errors
    ///
    /// Fails if the engine is down, if it checks fencing tokens and the request's is stale, or if
    /// its queue is full.
    pub fn generate(&self, request: EngineRequest) -> Result<EngineStream, TargetError> {
        let mut state = self.state();
        if state.faults.down {
            return Err(TargetError::Unreachable("the engine is down".to_owned()));
        }
        let fence = state.program_fences.entry(request.program.clone()).or_default();
        if self.config.fencing && request.epoch < *fence {
            return Err(TargetError::Refused("the fencing number is old".to_owned()));
        }
        *fence = request.epoch.max(*fence);
        if self.config.queue_limit <= state.waiting.len() {
            return Err(TargetError::Refused("the engine's queue is full".to_owned()));
        }
        let (sender, receiver) = mpsc::channel(STREAM_BUFFER);
        let sequence = new_sequence(&mut state, request, sender);
        state.arrivals += 1;
        let key = (sequence.request.priority, state.arrivals);
        state.waiting.insert(key, sequence);
        drop(state);
        self.work_arrived.notify_one();
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

    /// Applies an action to a program's cached blocks; [`CacheAction::Drop`] also cancels its
    /// generations.
    pub fn apply_cache_action(
        &self,
        program: &ProgramId,
        action: CacheAction,
    ) -> Result<(), TargetError> {
        let mut state = self.state();
        if state.faults.down {
            return Err(TargetError::Unreachable("the engine is down".to_owned()));
        }
        match action {
            CacheAction::Keep(time) => state.cache.pin(program, Instant::now() + time),
            CacheAction::Release => state.cache.unpin(program),
            CacheAction::Drop => {
                state.cancel(program);
                state.cache.remove_program(program);
            }
        }
        Ok(())
    }

    /// Returns the last load report, which may be up to [`EngineConfig::report_lag`] old.
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

    /// Returns the present load, without the lag of reports.
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

    /// Executes a command, unless the engine checks fencing tokens and this one is stale.
    pub fn execute_command(&self, fence: Epoch, command: EngineCommand) -> Result<(), TargetError> {
        let mut state = self.state();
        if state.faults.down {
            return Err(TargetError::Unreachable("the engine is down".to_owned()));
        }
        if self.config.fencing && fence < state.command_fence {
            return Err(TargetError::Refused("the fencing number is old".to_owned()));
        }
        state.command_fence = state.command_fence.max(fence);
        state.commands.push((fence, command));
        Ok(())
    }

    /// Returns the prompt of a program's last generation, for import into another engine.
    ///
    /// A generation that was cancelled, or failed because the engine went down, does not count.
    pub fn export(&self, program: &ProgramId) -> Option<Vec<u8>> {
        self.state().exportable.get(program).cloned()
    }

    /// Inserts an exported prompt into the cache.
    pub fn import(&self, program: &ProgramId, prompt: &[u8]) {
        self.state().cache.insert(prompt, program);
    }
}

/// Records the generation, looks its prompt up in the cache, and returns the sequence to run.
fn new_sequence(
    state: &mut State,
    request: EngineRequest,
    sender: mpsc::Sender<Result<EngineEvent, TargetError>>,
) -> Sequence {
    let prompt_tokens = oracle::count_tokens(&request.messages);
    let cached_tokens = state.cache.lookup(request.messages.as_bytes());
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
    let requested = oracle::requested_tokens(&request.messages);
    let limit = requested.min(request.max_tokens + state.faults.excess_tokens);
    Sequence {
        record,
        digest,
        to_prefill: prompt_tokens - cached_tokens,
        prompt_tokens,
        cached_tokens,
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

    /// Ends the waiting and running generations for which `keep` returns false.
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
        EngineUsage {
            prompt: self.prompt_tokens,
            cached: self.cached_tokens,
            completion: self.generated,
        }
    }
}
