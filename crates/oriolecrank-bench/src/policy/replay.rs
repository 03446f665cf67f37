//! Replay of a scenario in virtual time.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

use oriolecrank_capacity::{CallShape, DemandKey, DemandReport, ReporterId};
use oriolecrank_schema::TimePoint;
use oriolecrank_schema::control::{UpstreamPhase, UpstreamRole};
use oriolecrank_schema::data_path::UpstreamLoad;
use oriolecrank_schema::document::PriorityClass;
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use super::capacity_control::{
    CapacityControl, DECISION_INTERVAL, EngineStatus, FleetAction, service_id,
};
use super::engine_model::EngineModel;
use super::request_path::{Attempt, EngineInfo, LoadReport, OfferResult, RequestPath};
use super::scenario::{Scenario, Variant};
use super::score::{AnswerProgress, ReplayScore};
use super::traffic::{Call, disturbance_period};

/// One second in microseconds.
const SECOND_US: u64 = 1_000_000;

/// Duration of a role change after the drain, in microseconds.
const ROLE_CHANGE_US: u64 = 6 * SECOND_US;

/// Longest time for which running calls delay a role change or a stop, in microseconds; then they
/// move to other engines.
const MAX_DRAIN_US: u64 = 5 * SECOND_US;

/// Duration of a cold start, in microseconds.
const COLD_START_US: u64 = 150 * SECOND_US;

/// Duration of a restart after a crash, in microseconds.
const RESTART_US: u64 = 45 * SECOND_US;

/// Time after which the caller of a failed crashing request sends it again, in microseconds.
const RESEND_DELAY_US: u64 = SECOND_US;

/// Largest number of times that a caller sends a crashing request.
const MAX_CRASHING_SENDS: u32 = 10;

/// Largest number of attempts of a call that does not crash engines.
const MAX_ATTEMPTS: u32 = 3;

/// Lag of reports, in microseconds, and the share of them that is lost.
const REPORT_LAG_AND_LOSS: (u64, f64) = (500_000, 0.0);

/// The same in [`Variant::LateReports`].
const LATE_REPORT_LAG_AND_LOSS: (u64, f64) = (5 * SECOND_US, 0.2);

/// Round-trip latency between callers and entries, in microseconds.
const CALLER_LATENCY_US: u64 = 6_000;

/// Round-trip latency between failure domains of one region, in microseconds.
const DOMAIN_LATENCY_US: u64 = 2_000;

/// Round-trip latency between regions, in microseconds.
const REGION_LATENCY_US: u64 = 40_000;

/// Start of the replay on the clock of the decisions, in milliseconds. It is so large that the
/// initial roles have lasted longer than any minimum time between role changes.
const CLOCK_ORIGIN_MS: u64 = 3_600_000;

/// Classes and shapes of the calls, in the order of the demand reports.
const DEMAND_KINDS: [(PriorityClass, CallShape); 4] = [
    (PriorityClass::Urgent, CallShape::PromptHeavy),
    (PriorityClass::Urgent, CallShape::OutputHeavy),
    (PriorityClass::Standard, CallShape::PromptHeavy),
    (PriorityClass::Standard, CallShape::OutputHeavy),
];

/// Converts microseconds of the replay to the clock of the decisions.
pub fn time_point(us: u64) -> TimePoint {
    TimePoint::from_millis(CLOCK_ORIGIN_MS + us / 1_000)
}

/// Converts a time on the clock of the decisions to seconds of the replay.
pub fn replay_second(now: TimePoint) -> f64 {
    now.since(TimePoint::from_millis(CLOCK_ORIGIN_MS))
        .as_secs_f64()
}

/// Lifecycle state of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum EngineState {
    Starting,
    Ready,
    /// Finishes running calls, then changes to the role, or stops if there is none.
    Draining(Option<UpstreamRole>),
    Changing(UpstreamRole),
    Crashed,
    /// Its failure domain is lost.
    Lost,
    Stopped,
}

#[derive(Debug)]
struct Engine {
    domain: u8,
    model: EngineModel,
    state: EngineState,
    /// Increased to cancel the scheduled events of the engine; events of an older generation are
    /// ignored.
    generation: u32,
    /// Whether an iteration runs.
    busy: bool,
    role_since_us: u64,
    /// Start of the time that is not yet included in [`ReplayScore::upstream_us`].
    provisioned_since_us: u64,
    attempts: Vec<Attempt>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    IterationEnd { engine: usize, generation: u32 },
    StateEnd { engine: usize, generation: u32 },
    Tick,
    Resend { call: u32 },
    DomainLost,
    DomainRestored,
}

/// A report that is not delivered yet.
#[derive(Debug)]
enum Report {
    Load(UpstreamRole, LoadReport),
    Demand(DemandReport),
}

/// A replay under one policy, which consists of the request path `P` and the capacity control `C`.
#[derive(Debug)]
pub struct Replay<'a, P, C> {
    scenario: &'a Scenario,
    variant: Variant,
    calls: &'a [Call],
    path: P,
    control: C,
    engines: Vec<Engine>,
    infos: Vec<EngineInfo>,
    progress: Vec<AnswerProgress>,
    /// Scheduled events with their time in microseconds and their number, earliest first.
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    /// Number of scheduled events; events at the same time happen in the order of their numbers.
    event_number: u64,
    now_us: u64,
    /// Reports with the time of their delivery, in microseconds.
    reports: VecDeque<(u64, Report)>,
    report_sequence: u64,
    /// Prompt and output tokens offered since the last report, by region of the caller and pool,
    /// then by class and shape in the order of [`DEMAND_KINDS`].
    offered: Vec<[[u64; 2]; 4]>,
    /// Share of prompt tokens that is not cached, by pool.
    computed_share: Vec<f64>,
    /// Whether a failure domain is lost, by index.
    lost: Vec<bool>,
    score: ReplayScore,
    rng: ChaCha8Rng,
}

impl<'a, P: RequestPath, C: CapacityControl> Replay<'a, P, C> {
    /// A replay of `calls`, which are in the order of their arrival. The seed determines which
    /// reports are lost.
    pub fn new(
        scenario: &'a Scenario,
        variant: Variant,
        calls: &'a [Call],
        (path, control): (P, C),
        seed: u64,
    ) -> Self {
        let pools = scenario.pools.len();
        let mut replay = Self {
            scenario,
            variant,
            calls,
            path,
            control,
            engines: Vec::new(),
            infos: Vec::new(),
            progress: vec![AnswerProgress::default(); calls.len()],
            events: BinaryHeap::new(),
            event_number: 0,
            now_us: 0,
            reports: VecDeque::new(),
            report_sequence: 0,
            offered: vec![[[0; 2]; DEMAND_KINDS.len()]; scenario.regions * pools],
            computed_share: vec![0.6; pools],
            lost: vec![false; scenario.domains],
            score: ReplayScore::new(scenario, variant == Variant::Flood),
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        for (pool, engines) in scenario.pools.iter().enumerate() {
            for (index, role) in engines.roles.iter().enumerate() {
                let domain = (index + pool) % scenario.domains;
                replay.add_engine(pool, domain, *role, EngineState::Ready);
            }
        }
        for index in 0..scenario.plain {
            let domain = index % scenario.domains;
            replay.add_engine(pools, domain, UpstreamRole::Plain, EngineState::Ready);
        }
        replay
    }

    /// Runs until the length of the scenario is reached.
    pub fn run(mut self) -> ReplayScore {
        let end_us = self.scenario.length_s * SECOND_US;
        self.schedule(SECOND_US, Event::Tick);
        if self.variant == Variant::DomainLost {
            let (from, until) = disturbance_period(self.scenario);
            self.schedule((from * 1e6) as u64, Event::DomainLost);
            self.schedule((until * 1e6) as u64, Event::DomainRestored);
        }
        let calls = self.calls;
        let mut next = 0;
        loop {
            let event_us = self.events.peek().map(|Reverse((at, ..))| *at);
            let call = calls
                .get(next)
                .filter(|call| event_us.is_none_or(|at| call.arrival_us <= at));
            if let Some(call) = call {
                self.now_us = call.arrival_us;
                self.arrive(next as u32);
                next += 1;
                continue;
            }
            let Some(Reverse((at, _, event))) = self.events.pop() else {
                break;
            };
            if at > end_us {
                break;
            }
            self.now_us = at;
            self.handle(event);
        }
        self.now_us = end_us;
        for engine in 0..self.engines.len() {
            self.record_upstream_time(engine);
        }
        self.score
    }

    fn schedule(&mut self, at_us: u64, event: Event) {
        self.event_number += 1;
        self.events.push(Reverse((at_us, self.event_number, event)));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::IterationEnd { engine, generation } => {
                if self.engines[engine].generation == generation {
                    self.end_iteration(engine);
                }
            }
            Event::StateEnd { engine, generation } => {
                if self.engines[engine].generation == generation {
                    self.end_state(engine);
                }
            }
            Event::Tick => self.tick(),
            Event::Resend { call } => self.resend(call),
            Event::DomainLost => self.lose_domain(),
            Event::DomainRestored => self.restore_domain(),
        }
    }

    fn add_engine(&mut self, pool: usize, domain: usize, role: UpstreamRole, state: EngineState) {
        let info = EngineInfo {
            pool: pool as u8,
            domain: domain as u8,
            region: (domain % self.scenario.regions) as u8,
            role,
            ready: state == EngineState::Ready,
        };
        self.engines.push(Engine {
            domain: domain as u8,
            model: EngineModel::new(role),
            state,
            generation: 0,
            busy: false,
            role_since_us: 0,
            provisioned_since_us: self.now_us,
            attempts: Vec::new(),
        });
        self.infos.push(info);
        self.path.add_engine(info);
    }

    /// Changes the state and updates the readiness at the entries. Events of the former state
    /// remain scheduled until [`Self::invalidate_events`].
    fn set_state(&mut self, engine: usize, state: EngineState) {
        self.engines[engine].state = state;
        self.infos[engine].ready = state == EngineState::Ready;
        self.path.update_engine(engine, self.infos[engine]);
    }

    /// Cancels all scheduled events of an engine and returns its new generation.
    fn invalidate_events(&mut self, engine: usize) -> u32 {
        let engine = &mut self.engines[engine];
        engine.generation += 1;
        engine.busy = false;
        engine.generation
    }

    /// Adds the time for which the engine has been starting or running to the score.
    fn record_upstream_time(&mut self, engine: usize) {
        let engine = &self.engines[engine];
        if !matches!(engine.state, EngineState::Stopped | EngineState::Lost) {
            self.score.upstream_us += self.now_us - engine.provisioned_since_us;
        }
    }

    fn arrive(&mut self, id: u32) {
        let call = &self.calls[id as usize];
        self.score.record_offered(call);
        self.count_offered(call);
        self.dispatch(self.attempt(id));
    }

    /// Adds the tokens of a call to the next demand report; the plain service has none.
    fn count_offered(&mut self, call: &Call) {
        let pool = usize::from(call.pool);
        if pool < self.computed_share.len() {
            let index = usize::from(call.region) * self.computed_share.len() + pool;
            let shape = CallShape::from_tokens(u64::from(call.prompt), u64::from(call.output));
            let class = if call.deadline_us.is_some() {
                PriorityClass::Urgent
            } else {
                PriorityClass::Standard
            };
            let kind = DEMAND_KINDS.iter().position(|kind| *kind == (class, shape));
            let kind = kind.expect("every class and shape is listed");
            let tokens = &mut self.offered[index][kind];
            tokens[0] += u64::from(call.prompt);
            tokens[1] += u64::from(call.output);
        }
    }

    /// The next attempt of a call.
    fn attempt(&self, id: u32) -> Attempt {
        let progress = &self.progress[id as usize];
        Attempt {
            id,
            number: progress.attempts + 1,
            call: self.calls[id as usize],
            sent: progress.sent,
        }
    }

    /// Admits an attempt and queues it at an engine; if one of these fails, the call ends.
    fn dispatch(&mut self, attempt: Attempt) {
        if !self.path.admit(&attempt, self.now_us) {
            self.end_call(attempt.id, false);
            return;
        }
        let chosen = self.path.choose(&attempt, &self.infos, self.now_us);
        let Some(engine) = chosen else {
            self.end_call(attempt.id, false);
            return;
        };
        self.progress[attempt.id as usize].attempts += 1;
        match self.path.offer(engine, &attempt, self.now_us) {
            OfferResult::Queued { displaced } => {
                if let Some(displaced) = displaced {
                    self.end_call(displaced.id, false);
                }
                self.advance_engine(engine);
            }
            OfferResult::Refused => self.end_call(attempt.id, false),
        }
    }

    fn end_call(&mut self, id: u32, good: bool) {
        let progress = &mut self.progress[id as usize];
        if progress.ended {
            return;
        }
        progress.ended = true;
        let attempt = self.attempt(id);
        self.path.record_call_end(&attempt, good, self.now_us);
        if good {
            self.score.record_good_answer(&attempt.call);
        }
    }

    /// Starts waiting attempts and, if the engine is idle, its next iteration. Ends the drain of an
    /// engine without calls.
    fn advance_engine(&mut self, engine: usize) {
        let state = self.engines[engine].state;
        if state == EngineState::Ready {
            while let Some(attempt) = self.path.start_next(engine, self.now_us) {
                self.engines[engine].model.add(attempt.sequence());
                self.engines[engine].attempts.push(attempt);
            }
            for attempt in self.path.take_expired(engine, self.now_us) {
                self.end_call(attempt.id, false);
            }
        } else if !matches!(state, EngineState::Draining(_)) {
            return;
        }
        let current = &mut self.engines[engine];
        if current.busy {
            return;
        }
        if let Some(length) = current.model.begin_iteration() {
            current.busy = true;
            let generation = current.generation;
            self.schedule(
                self.now_us + length,
                Event::IterationEnd { engine, generation },
            );
        } else if matches!(state, EngineState::Draining(_)) {
            self.end_state(engine);
        }
    }

    fn end_iteration(&mut self, engine: usize) {
        self.engines[engine].busy = false;
        let result = self.engines[engine].model.end_iteration();
        for id in &result.tokens {
            self.progress[*id as usize].record_token(self.now_us);
            if self.calls[*id as usize].crashes {
                self.crash(engine, EngineState::Crashed);
                return;
            }
        }
        for id in result.finished {
            let call = &self.calls[id as usize];
            let served = call.prompt + call.output;
            self.path.finish(engine, id, served, self.now_us);
            self.engines[engine]
                .attempts
                .retain(|attempt| attempt.id != id);
            let latency = self.latency(call, engine);
            let good = self.progress[id as usize].on_time(call, latency);
            self.end_call(id, good);
        }
        self.advance_engine(engine);
    }

    /// Round-trip latency between a caller and an engine, in microseconds.
    fn latency(&self, call: &Call, engine: usize) -> u64 {
        let is_near = self.infos[engine].region == call.region;
        CALLER_LATENCY_US
            + if is_near {
                DOMAIN_LATENCY_US
            } else {
                REGION_LATENCY_US
            }
    }

    /// Handles the loss of an engine by a crash or with its failure domain: retries its running
    /// attempts if the policy does so, and moves the waiting ones to other engines.
    fn crash(&mut self, engine: usize, state: EngineState) {
        self.engines[engine].model.clear();
        let running = std::mem::take(&mut self.engines[engine].attempts);
        let generation = self.invalidate_events(engine);
        self.set_state(engine, state);
        let waiting = self.path.withdraw(engine, true);
        if state == EngineState::Crashed {
            self.path.record_crash(&running, self.now_us);
            self.schedule(
                self.now_us + RESTART_US,
                Event::StateEnd { engine, generation },
            );
        }
        for attempt in running {
            self.retry_interrupted(attempt);
        }
        self.reroute(waiting);
    }

    /// Retries an interrupted attempt if the policy does so. A crashing request is sent again by
    /// its caller instead.
    fn retry_interrupted(&mut self, attempt: Attempt) {
        let id = attempt.id;
        if attempt.call.crashes {
            self.progress[id as usize].sent = 0;
            if attempt.number < MAX_CRASHING_SENDS {
                self.schedule(self.now_us + RESEND_DELAY_US, Event::Resend { call: id });
            }
        } else if P::RETRIES && attempt.number < MAX_ATTEMPTS {
            let again = self.attempt(id);
            self.dispatch(again);
        } else {
            self.end_call(id, false);
        }
    }

    fn resend(&mut self, id: u32) {
        self.progress[id as usize].ended = false;
        let attempt = self.attempt(id);
        self.dispatch(attempt);
    }

    /// Dispatches attempts that never ran to other engines; they do not count as attempts.
    fn reroute(&mut self, waiting: Vec<Attempt>) {
        for attempt in waiting {
            self.progress[attempt.id as usize].attempts -= 1;
            let again = self.attempt(attempt.id);
            self.dispatch(again);
        }
    }

    fn begin_drain(&mut self, engine: usize, role: Option<UpstreamRole>) {
        if self.engines[engine].state != EngineState::Ready {
            return;
        }
        self.set_state(engine, EngineState::Draining(role));
        let generation = self.engines[engine].generation;
        self.schedule(
            self.now_us + MAX_DRAIN_US,
            Event::StateEnd { engine, generation },
        );
        let waiting = self.path.withdraw(engine, false);
        self.reroute(waiting);
        self.advance_engine(engine);
    }

    /// Ends a state of limited duration.
    fn end_state(&mut self, engine: usize) {
        match self.engines[engine].state {
            EngineState::Draining(role) => self.end_drain(engine, role),
            EngineState::Changing(role) => {
                self.engines[engine].model.set_role(role);
                self.engines[engine].role_since_us = self.now_us;
                self.infos[engine].role = role;
                self.become_ready(engine);
            }
            EngineState::Starting | EngineState::Crashed => self.become_ready(engine),
            EngineState::Ready | EngineState::Lost | EngineState::Stopped => {}
        }
    }

    fn become_ready(&mut self, engine: usize) {
        self.invalidate_events(engine);
        self.set_state(engine, EngineState::Ready);
        self.advance_engine(engine);
    }

    /// Begins the role change or stops the engine, and moves the calls that are still running to
    /// other engines; their attempts do not count.
    fn end_drain(&mut self, engine: usize, role: Option<UpstreamRole>) {
        let generation = self.invalidate_events(engine);
        self.engines[engine].model.clear();
        let running = std::mem::take(&mut self.engines[engine].attempts);
        if let Some(role) = role {
            self.set_state(engine, EngineState::Changing(role));
            self.schedule(
                self.now_us + ROLE_CHANGE_US,
                Event::StateEnd { engine, generation },
            );
        } else {
            self.record_upstream_time(engine);
            self.set_state(engine, EngineState::Stopped);
        }
        self.path.withdraw(engine, true);
        for attempt in running {
            self.progress[attempt.id as usize].attempts -= 1;
            let again = self.attempt(attempt.id);
            self.dispatch(again);
        }
    }

    fn start_engine(&mut self, pool: usize, domain: usize) {
        let role = UpstreamRole::Mixed;
        self.add_engine(pool, domain, role, EngineState::Starting);
        let engine = self.engines.len() - 1;
        self.schedule(
            self.now_us + COLD_START_US,
            Event::StateEnd {
                engine,
                generation: 0,
            },
        );
    }

    fn lose_domain(&mut self) {
        self.lost[0] = true;
        for engine in 0..self.engines.len() {
            if self.engines[engine].domain == 0
                && self.engines[engine].state != EngineState::Stopped
            {
                self.record_upstream_time(engine);
                self.crash(engine, EngineState::Lost);
            }
        }
    }

    /// Restarts the lost engines, up to the original number of each pool, as the platform would.
    fn restore_domain(&mut self) {
        self.lost[0] = false;
        for engine in 0..self.engines.len() {
            if self.engines[engine].state != EngineState::Lost {
                continue;
            }
            let pool = self.infos[engine].pool;
            let members = (0..self.engines.len()).filter(|other| {
                self.infos[*other].pool == pool
                    && !matches!(
                        self.engines[*other].state,
                        EngineState::Lost | EngineState::Stopped
                    )
            });
            let budget = self
                .scenario
                .pools
                .get(usize::from(pool))
                .map_or(self.scenario.plain, |pool| pool.roles.len());
            if members.count() >= budget {
                self.set_state(engine, EngineState::Stopped);
                continue;
            }
            self.engines[engine].provisioned_since_us = self.now_us;
            self.set_state(engine, EngineState::Starting);
            let generation = self.invalidate_events(engine);
            self.schedule(
                self.now_us + COLD_START_US,
                Event::StateEnd { engine, generation },
            );
        }
    }

    /// Sends and delivers reports and, after each [`DECISION_INTERVAL`], carries out the decisions
    /// of the capacity control. Runs once a second.
    fn tick(&mut self) {
        self.schedule(self.now_us + SECOND_US, Event::Tick);
        // `RequestQueue::start_next` must be called at least once a second.
        for engine in 0..self.engines.len() {
            self.advance_engine(engine);
        }
        self.send_reports();
        self.deliver_reports();
        if !self
            .now_us
            .is_multiple_of(DECISION_INTERVAL.as_micros() as u64)
        {
            return;
        }
        let statuses: Vec<EngineStatus> = (0..self.engines.len())
            .map(|engine| self.status(engine))
            .collect();
        let now = time_point(self.now_us);
        for action in self.control.decide(&statuses, &self.lost, now) {
            self.apply_action(action);
        }
    }

    fn status(&self, engine: usize) -> EngineStatus {
        let state = self.engines[engine].state;
        let phase = match state {
            EngineState::Ready => UpstreamPhase::Ready,
            EngineState::Starting => UpstreamPhase::Cold,
            EngineState::Draining(Some(_)) | EngineState::Changing(_) | EngineState::Crashed => {
                UpstreamPhase::Changing
            }
            EngineState::Draining(None) | EngineState::Lost | EngineState::Stopped => {
                UpstreamPhase::Leaving
            }
        };
        let mut info = self.infos[engine];
        if let EngineState::Draining(Some(role)) | EngineState::Changing(role) = state {
            info.role = role;
        }
        let role_since_us = self.engines[engine].role_since_us;
        EngineStatus {
            info,
            phase,
            role_since_ms: if role_since_us == 0 {
                0
            } else {
                time_point(role_since_us).as_millis()
            },
            exists: !matches!(state, EngineState::Lost | EngineState::Stopped),
        }
    }

    fn apply_action(&mut self, action: FleetAction) {
        match action {
            FleetAction::Change {
                engine,
                role,
                instant: true,
            } => {
                self.engines[engine].model.set_role(role);
                self.infos[engine].role = role;
                self.path.update_engine(engine, self.infos[engine]);
                self.score.role_changes += 1;
            }
            FleetAction::Change {
                engine,
                role,
                instant: false,
            } => {
                self.score.role_changes += 1;
                self.begin_drain(engine, Some(role));
            }
            FleetAction::Start { pool, domain } => self.start_engine(pool, domain),
            FleetAction::Stop { engine } => self.begin_drain(engine, None),
        }
    }

    fn send_reports(&mut self) {
        let (lag_us, lost_share) = if self.variant == Variant::LateReports {
            LATE_REPORT_LAG_AND_LOSS
        } else {
            REPORT_LAG_AND_LOSS
        };
        let due_us = self.now_us + lag_us;
        for engine in 0..self.engines.len() {
            if self.rng.random_bool(lost_share) || !self.infos[engine].ready {
                continue;
            }
            let report = Report::Load(self.infos[engine].role, self.load_report(engine));
            self.reports.push_back((due_us, report));
        }
        self.update_computed_share();
        self.report_sequence += 1;
        let pools = self.computed_share.len();
        for entry in 0..self.scenario.regions {
            let lost = self.rng.random_bool(lost_share);
            let offered = &mut self.offered[entry * pools..(entry + 1) * pools];
            let report = demand_report(entry, self.report_sequence, offered, &self.computed_share);
            offered.fill([[0; 2]; DEMAND_KINDS.len()]);
            if !lost {
                self.reports.push_back((due_us, Report::Demand(report)));
            }
        }
    }

    fn load_report(&self, engine: usize) -> LoadReport {
        let model = &self.engines[engine].model;
        let counters = model.counters();
        let in_flight: u32 = self.engines[engine]
            .attempts
            .iter()
            .map(|attempt| attempt.call.prompt + attempt.call.output)
            .sum();
        LoadReport {
            engine,
            taken_us: self.now_us,
            load: UpstreamLoad {
                queued: self.path.waiting(engine) as u32,
                running: model.running() as u32,
                tokens_in_flight: u64::from(in_flight),
                prefill_tokens: counters.prefill,
                decode_tokens: counters.decode,
            },
        }
    }

    /// Updates the share of the prompt tokens that is computed and not read from the cache. Entries
    /// derive it from the token usage of the answers.
    fn update_computed_share(&mut self) {
        for (pool, share) in self.computed_share.iter_mut().enumerate() {
            let members = self.engines.iter().zip(&self.infos);
            let members = members.filter(|(_, info)| usize::from(info.pool) == pool);
            let (computed, cached) = members.fold((0, 0), |sum, (engine, _)| {
                let counters = engine.model.counters();
                (sum.0 + counters.prefill, sum.1 + counters.cached)
            });
            if computed + cached > 0 {
                *share = computed as f64 / (computed + cached) as f64;
            }
        }
    }

    fn deliver_reports(&mut self) {
        let now = time_point(self.now_us);
        while let Some((due_us, _)) = self.reports.front() {
            if *due_us > self.now_us {
                return;
            }
            match self.reports.pop_front() {
                Some((_, Report::Load(role, report))) => {
                    self.path.observe(&report, self.now_us);
                    self.control.observe_load(role, &report, now);
                }
                Some((_, Report::Demand(report))) => self.control.observe_demand(&report, now),
                None => return,
            }
        }
    }
}

fn demand_report(
    entry: usize,
    sequence: u64,
    offered: &[[[u64; 2]; 4]],
    computed_share: &[f64],
) -> DemandReport {
    let tokens = offered.iter().enumerate().flat_map(|(pool, by_kind)| {
        let kinds = DEMAND_KINDS.into_iter().zip(by_kind);
        kinds.map(move |((class, shape), tokens)| {
            let key = DemandKey {
                service: service_id(pool),
                class,
                shape,
            };
            // Only prompt-heavy calls have cached tokens.
            let share = match shape {
                CallShape::PromptHeavy => computed_share[pool],
                CallShape::OutputHeavy => 1.0,
            };
            (key, (tokens[0] as f64 * share) as u64, tokens[1])
        })
    });
    DemandReport {
        reporter: ReporterId(format!("entry-{entry}")),
        incarnation: 1,
        sequence,
        interval: Duration::from_secs(1),
        tokens: tokens.collect(),
    }
}
