//! A model of engines with queues, and of teams that send them requests: no network, no delays of
//! messages, one scheduler.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap, VecDeque},
    ops::Range,
};

use acaciabank_core::{fair_share, load_shed, prompt_backlog};
use rand::{Rng, RngExt, SeedableRng, rngs::StdRng};

/// Target latency of all requests, in milliseconds.
const TARGET_LATENCY_MS: u64 = 600;
/// Time from a request's first attempt to its deadline, in milliseconds.
const PATIENCE_MS: u64 = 2_500;
/// Time from a refusal to the next attempt of a caller that repeats at once, in milliseconds.
const REPEAT_MS: u64 = 20;
/// Time at the start that is not measured, in milliseconds: the sums and the queues fill.
const WARM_UP_MS: u64 = 5_000;
/// Tokens in the model's backlogs for one millisecond of work, so that fractions are kept.
const TOKENS_PER_MS: f64 = 100.0;

/// What a caller does with a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReaction {
    /// It tries once more after the time in the refusal.
    RetryOnce,
    /// It repeats the request at once until its deadline.
    RepeatAtOnce,
}

/// Load of one team.
#[derive(Clone, Debug)]
pub struct TeamLoad {
    /// Requests per second, with random intervals.
    pub per_second: f64,
    /// Priority of its requests.
    pub priority: u8,
    /// Engine time of a request, in milliseconds.
    pub work_ms: Range<f64>,
    /// What its callers do with a refusal.
    pub reaction: RefusalReaction,
    /// Period in which it sends, in milliseconds.
    pub active: Range<u64>,
}

impl TeamLoad {
    /// A team that always sends, at priority 1.
    pub fn steady(per_second: f64, reaction: RefusalReaction) -> Self {
        Self {
            per_second,
            priority: 1,
            work_ms: 20.0..60.0,
            reaction,
            active: 0..u64::MAX,
        }
    }

    fn mean_work_ms(&self) -> f64 {
        (self.work_ms.start + self.work_ms.end) / 2.0
    }
}

/// Who decides on the requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IntakePolicy {
    /// [`load_shed::decide`] alone.
    LoadShed,
    /// [`fair_share::ShareTable::decide`].
    FairShare,
}

/// Requests of one team in the measured time; repeats are no requests of their own.
#[derive(Clone, Copy, Debug, Default)]
pub struct TeamOutcome {
    /// Requests sent.
    pub asked: u32,
    /// Requests accepted, in any attempt.
    pub served: u32,
}

impl TeamOutcome {
    /// Returns the served share.
    pub fn share(&self) -> f64 {
        f64::from(self.served) / f64::from(self.asked.max(1))
    }
}

/// What the model measured.
#[derive(Clone, Debug)]
pub struct ModelOutcome {
    /// Outcome of each team, in the order of their loads.
    pub teams: Vec<TeamOutcome>,
    /// Time for which engines processed prompts, in milliseconds.
    pub busy_ms: f64,
    /// Every decision: whether the request was accepted.
    pub decisions: Vec<bool>,
    /// Decisions with a factor other than 1.
    pub changed_factors: usize,
    /// Mean time from placement to the end of processing by priority, in milliseconds.
    pub mean_time_ms: HashMap<u8, f64>,
}

impl ModelOutcome {
    /// Returns the served share of all requests.
    pub fn total_share(&self) -> f64 {
        let sum = |count: fn(&TeamOutcome) -> u32| self.teams.iter().map(count).sum();
        let total = TeamOutcome {
            asked: sum(|team| team.asked),
            served: sum(|team| team.served),
        };
        total.share()
    }

    /// Returns the lowest served share of a team, relative to that of all requests.
    pub fn lowest_ratio(&self) -> f64 {
        let total = self.total_share();
        let measured = self.teams.iter().filter(|team| team.asked > 0);
        let ratios = measured.map(|team| team.share() / total);
        ratios.fold(f64::INFINITY, f64::min)
    }
}

/// Returns the work that the teams ask for, relative to what the engines can process, if all of
/// them send.
pub fn load_factor(teams: &[TeamLoad], engines: usize) -> f64 {
    let work = teams
        .iter()
        .map(|team| team.per_second * team.mean_work_ms());
    work.sum::<f64>() / 1_000.0 / engines as f64
}

/// Scales the teams' rates so that together they ask for `load` times what the engines can process.
pub fn scale_to(teams: &mut [TeamLoad], engines: usize, load: f64) {
    let factor = load / load_factor(teams, engines);
    for team in teams {
        team.per_second *= factor;
    }
}

/// Runs the model for `duration_ms` and returns what it measured after the warm-up.
pub fn run(
    teams: &[TeamLoad],
    engines: usize,
    policy: IntakePolicy,
    duration_ms: u64,
    seed: u64,
) -> ModelOutcome {
    let mut model = Model::new(teams, engines, policy, duration_ms, seed);
    model.run();
    let times = model.times.iter().map(|(priority, (sum_ms, count))| {
        let mean_ms = sum_ms / f64::from(*count);
        (*priority, mean_ms)
    });
    ModelOutcome {
        mean_time_ms: times.collect(),
        teams: model.outcomes,
        busy_ms: model.busy_ms,
        decisions: model.decisions,
        changed_factors: model.changed_factors,
    }
}

#[derive(Clone, Copy, Debug)]
struct ModelRequest {
    team: usize,
    key: u64,
    work_ms: f64,
    deadline_us: u64,
    attempts: u32,
    is_measured: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ModelEvent {
    /// A new request of a team.
    Arrival(usize),
    /// An attempt of the request with this number.
    Attempt(usize),
    /// The engine has processed its prompt.
    Processed(usize),
}

#[derive(Debug)]
struct Prompt {
    priority: u8,
    work_ms: f64,
    placed_us: u64,
}

#[derive(Debug, Default)]
struct ModelEngine {
    backlog: prompt_backlog::PromptBacklog,
    queues: [VecDeque<Prompt>; 10],
    current: Option<Prompt>,
}

struct Model<'a> {
    loads: &'a [TeamLoad],
    policy: IntakePolicy,
    duration_us: u64,
    rng: StdRng,
    events: BinaryHeap<Reverse<(u64, u64, ModelEvent)>>,
    event_count: u64,
    requests: Vec<ModelRequest>,
    engines: Vec<ModelEngine>,
    table: fair_share::ShareTable,
    outcomes: Vec<TeamOutcome>,
    busy_ms: f64,
    decisions: Vec<bool>,
    changed_factors: usize,
    times: HashMap<u8, (f64, u32)>,
}

impl<'a> Model<'a> {
    fn new(
        loads: &'a [TeamLoad],
        engines: usize,
        policy: IntakePolicy,
        duration_ms: u64,
        seed: u64,
    ) -> Self {
        Self {
            loads,
            policy,
            duration_us: duration_ms * 1_000,
            rng: StdRng::seed_from_u64(seed),
            events: BinaryHeap::new(),
            event_count: 0,
            requests: Vec::new(),
            engines: (0..engines).map(|_| ModelEngine::default()).collect(),
            table: fair_share::ShareTable::default(),
            outcomes: vec![TeamOutcome::default(); loads.len()],
            busy_ms: 0.0,
            decisions: Vec::new(),
            changed_factors: 0,
            times: HashMap::new(),
        }
    }

    fn push(&mut self, at_us: u64, event: ModelEvent) {
        self.event_count += 1;
        self.events.push(Reverse((at_us, self.event_count, event)));
    }

    fn run(&mut self) {
        for team in 0..self.loads.len() {
            let at_us = self.loads[team].active.start.saturating_mul(1_000);
            let at_us = at_us + self.interval_us(team);
            self.push(at_us, ModelEvent::Arrival(team));
        }
        while let Some(Reverse((now_us, _, event))) = self.events.pop() {
            if now_us >= self.duration_us {
                return;
            }
            match event {
                ModelEvent::Arrival(team) => self.arrive(team, now_us),
                ModelEvent::Attempt(number) => self.attempt(number, now_us),
                ModelEvent::Processed(engine) => self.end_prompt(engine, now_us),
            }
        }
    }

    /// Returns an exponentially distributed interval between two requests of a team.
    fn interval_us(&mut self, team: usize) -> u64 {
        let uniform: f64 = self.rng.random_range(f64::EPSILON..1.0);
        (-uniform.ln() / self.loads[team].per_second * 1e6) as u64
    }

    fn arrive(&mut self, team: usize, now_us: u64) {
        let load = &self.loads[team];
        if now_us / 1_000 >= load.active.end {
            return;
        }
        let is_measured =
            now_us >= WARM_UP_MS * 1_000 && now_us + PATIENCE_MS * 1_000 < self.duration_us;
        let work_ms = self.rng.random_range(load.work_ms.clone());
        let request = ModelRequest {
            team,
            key: self.rng.next_u64(),
            work_ms,
            deadline_us: now_us + PATIENCE_MS * 1_000,
            attempts: 0,
            is_measured,
        };
        self.outcomes[team].asked += u32::from(is_measured);
        self.requests.push(request);
        self.attempt(self.requests.len() - 1, now_us);
        let next_us = now_us + self.interval_us(team);
        self.push(next_us, ModelEvent::Arrival(team));
    }

    fn attempt(&mut self, number: usize, now_us: u64) {
        self.requests[number].attempts += 1;
        let request = self.requests[number];
        let load = &self.loads[request.team];
        let intake = load_shed::IntakeRequest {
            target_latency_ms: TARGET_LATENCY_MS,
            priority: load.priority,
            remaining_ms: (request.deadline_us - now_us) / 1_000,
            is_retry: false,
        };
        let waits = self.engines.iter().map(|engine| {
            let ahead = engine.backlog.ahead_of(load.priority);
            ahead.tokens / TOKENS_PER_MS
        });
        let shortest = waits
            .enumerate()
            .min_by(|(_, left), (_, right)| left.total_cmp(right));
        let (engine, wait_ms) = shortest.expect("an engine");
        let first_token_ms = wait_ms + request.work_ms;
        let decision = self.decide(&request, &intake, wait_ms, first_token_ms, now_us / 1_000);
        self.decisions
            .push(decision == load_shed::IntakeDecision::Accept);
        match decision {
            load_shed::IntakeDecision::Accept => {
                self.outcomes[request.team].served += u32::from(request.is_measured);
                self.place(engine, request.team, request.work_ms, now_us);
            }
            load_shed::IntakeDecision::Refuse { retry_after_ms } => {
                let retry_ms = match load.reaction {
                    RefusalReaction::RetryOnce if request.attempts > 1 => return,
                    RefusalReaction::RetryOnce => retry_after_ms + self.rng.random_range(0..200),
                    RefusalReaction::RepeatAtOnce => REPEAT_MS,
                };
                let retry_us = now_us + retry_ms * 1_000;
                if retry_us < request.deadline_us {
                    self.push(retry_us, ModelEvent::Attempt(number));
                }
            }
        }
    }

    fn decide(
        &mut self,
        request: &ModelRequest,
        intake: &load_shed::IntakeRequest,
        wait_ms: f64,
        first_token_ms: f64,
        now_ms: u64,
    ) -> load_shed::IntakeDecision {
        if self.policy == IntakePolicy::LoadShed {
            return load_shed::decide(intake, wait_ms, first_token_ms, 0.0);
        }
        let shared = fair_share::SharedRequest {
            team: Some(request.team as u64),
            prompt_key: Some(request.key),
            work_ms: request.work_ms,
        };
        let table = &mut self.table;
        let decided = table.decide(&shared, intake, wait_ms, first_token_ms, now_ms);
        self.changed_factors += usize::from(decided.wait_factor != 1.0);
        decided.decision
    }

    fn place(&mut self, engine: usize, team: usize, work_ms: f64, now_us: u64) {
        let priority = self.loads[team].priority;
        let tokens = (work_ms * TOKENS_PER_MS) as u64;
        let prompt = Prompt {
            priority,
            work_ms,
            placed_us: now_us,
        };
        let state = &mut self.engines[engine];
        state.backlog.add(priority, tokens);
        state.queues[usize::from(priority)].push_back(prompt);
        if state.current.is_none() {
            self.start_prompt(engine, now_us);
        }
    }

    fn start_prompt(&mut self, engine: usize, now_us: u64) {
        let state = &mut self.engines[engine];
        let next = state.queues.iter_mut().find_map(VecDeque::pop_front);
        let Some(prompt) = next else {
            return;
        };
        let done_us = now_us + (prompt.work_ms * 1_000.0) as u64;
        state.current = Some(prompt);
        self.push(done_us, ModelEvent::Processed(engine));
    }

    fn end_prompt(&mut self, engine: usize, now_us: u64) {
        let state = &mut self.engines[engine];
        let prompt = state.current.take().expect("a prompt");
        let tokens = (prompt.work_ms * TOKENS_PER_MS) as u64;
        state.backlog.remove(prompt.priority, tokens);
        if now_us >= WARM_UP_MS * 1_000 {
            self.busy_ms += prompt.work_ms;
            let (sum_ms, count) = self.times.entry(prompt.priority).or_default();
            *sum_ms += (now_us - prompt.placed_us) as f64 / 1_000.0;
            *count += 1;
        }
        self.start_prompt(engine, now_us);
    }
}
