//! Decides at an entry whether a request may be sent to an engine.

use std::time::Duration;

use indexmap::IndexMap;
use oriolecrank_schema::TimePoint;

use super::engine_backlog::EngineBacklog;
use super::fair_share_settings::FairShareSettings;
use super::return_schedule::ReturnSchedule;
use super::work_flow::{FlowDemand, FlowShare, WorkDemand, WorkFlow};
use super::work_split::split_capacity;
use crate::recent_count::RecentCount;

/// Window over which the demand of a flow is metered. Shorter ones would hold no request of most
/// flows.
const DEMAND_WINDOW: Duration = Duration::from_secs(1);

/// Time after which shares of the leader no longer count. The leader answers twice a second.
const SHARES_LIFETIME: Duration = Duration::from_secs(2);

/// Time for which the entry goes on to report its demand after it has seen an overload, so that
/// the shares do not come and go with the backlog.
const OVERLOAD_MEMORY: Duration = Duration::from_secs(2);

/// Shortest time between two divisions by the entry alone, which limits the cost.
const LOCAL_SPLIT_INTERVAL: Duration = Duration::from_millis(50);

/// Time without a request after which a flow is forgotten.
const FLOW_LIFETIME: Duration = Duration::from_secs(10);

/// Share of the earlier observations that is kept with each new one in the share of prompts that
/// engines read. Their weight halves within about 70 prompts.
const KEPT_READ_SHARE: f64 = 0.99;

/// Returning callers of a flow that may be admitted ahead of its share. They have waited already, and
/// the flow's first attempts make up for it.
const RETURN_ADVANCE: f64 = 2.0;

/// Shortest time over which a demand is metered after the start of the entry.
const MIN_METERED_TIME: Duration = Duration::from_millis(100);

/// A request that asks for an engine.
#[derive(Debug, Clone, Copy)]
pub struct FairRequest<'a> {
    /// Organisation and kind of the request.
    pub flow: &'a WorkFlow,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Length of the prompt, in tokens.
    pub input_tokens: u64,
    /// Time in which requests of this kind are to be answered.
    pub target: Duration,
    /// Time left until the deadline.
    pub time_left: Duration,
    /// Whether the caller was refused before and comes back.
    pub returning: bool,
    /// Number of entries of the site.
    pub entries: u32,
}

/// The request is not sent, because its flow exceeds its share of overloaded engines.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FairRefusal {
    /// Time after which the caller may come back.
    pub return_after: Duration,
    /// Share of the flow's work that is admitted at present.
    pub fraction: f64,
}

/// One flow at this entry.
#[derive(Debug)]
struct FlowState {
    /// Tokens asked for within [`DEMAND_WINDOW`].
    demand: RecentCount,
    priority: u8,
    target: Duration,
    asked_at: TimePoint,
    /// Share of the work that is admitted; 1 unless the flow exceeds its share.
    fraction: f64,
    /// Requests that the flow may send. Counting requests rather than tokens admits the same share of
    /// large prompts as of small ones.
    credit: f64,
}

/// Admits requests for the engines of one service at one entry.
#[derive(Debug)]
pub struct FairGate {
    settings: FairShareSettings,
    flows: IndexMap<WorkFlow, FlowState>,
    /// When the leader told the shares in force.
    told_at: Option<TimePoint>,
    /// When the entry last divided its own part of the capacity, without shares of the leader.
    divided_at: Option<TimePoint>,
    overloaded_at: Option<TimePoint>,
    /// Time of the first request.
    metered_since: Option<TimePoint>,
    returns: ReturnSchedule,
    /// Prompt tokens of chosen requests, and those of them that engines had to read; older ones
    /// count less.
    input_tokens: f64,
    read_tokens: f64,
}

impl FairGate {
    /// A gate that has seen no request.
    pub fn new(settings: FairShareSettings) -> Self {
        Self {
            settings,
            flows: IndexMap::new(),
            told_at: None,
            divided_at: None,
            overloaded_at: None,
            metered_since: None,
            returns: ReturnSchedule::default(),
            input_tokens: 0.0,
            read_tokens: 0.0,
        }
    }

    /// Admits a request, or refuses it if the engines are overloaded and its flow exceeds its share.
    ///
    /// # Errors
    ///
    /// Fails with the time after which the caller may come back.
    pub fn ask(
        &mut self,
        request: &FairRequest<'_>,
        backlog: &EngineBacklog,
        now: TimePoint,
    ) -> Result<(), FairRefusal> {
        let work = self.work(request.input_tokens);
        self.meter(request, work, now);
        self.metered_since.get_or_insert(now);
        if !backlog.exceeds(self.wait_limit_ms(request.target)) {
            return Ok(());
        }
        self.overloaded_at = Some(now);
        if !self.has_told_shares(now) {
            self.divide_alone(request.entries, backlog, now);
        }
        let Some(state) = self.flows.get_mut(request.flow) else {
            return Ok(());
        };
        if state.fraction >= 1.0 {
            return Ok(());
        }
        state.credit += state.fraction;
        let advance = if request.returning {
            RETURN_ADVANCE
        } else {
            0.0
        };
        if state.credit + advance > 0.0 {
            state.credit -= 1.0;
            return Ok(());
        }
        let fraction = state.fraction;
        let return_after = self.return_after(request, backlog, now);
        Err(FairRefusal {
            return_after,
            fraction,
        })
    }

    /// Time after which a caller may come back that is refused now, also for another reason than its
    /// share.
    pub fn return_after(
        &mut self,
        request: &FairRequest<'_>,
        backlog: &EngineBacklog,
        now: TimePoint,
    ) -> Duration {
        let limit_ms = self.tightest_limit_ms(now);
        let rate = own_capacity(backlog, request.entries, limit_ms) * self.settings.return_share;
        let work = self.work(request.input_tokens);
        let (wait, time_left) = (backlog.wait(), request.time_left);
        self.returns.reserve(work, rate, wait, time_left, now)
    }

    /// Records how much of a prompt the chosen engine has to read.
    pub fn record_chosen(&mut self, input_tokens: u64, read_tokens: u64) {
        self.input_tokens = self.input_tokens * KEPT_READ_SHARE + input_tokens as f64;
        self.read_tokens = self.read_tokens * KEPT_READ_SHARE + read_tokens as f64;
    }

    /// Whether the engines are overloaded, or were so lately.
    pub fn is_overloaded(&self, now: TimePoint) -> bool {
        let overloaded_at = self.overloaded_at;
        overloaded_at.is_some_and(|at| now.since(at) <= OVERLOAD_MEMORY)
    }

    /// Demand of this entry for the leader; `None` while the engines are not overloaded.
    pub fn demand(&mut self, backlog: &EngineBacklog, now: TimePoint) -> Option<WorkDemand> {
        self.flows
            .retain(|_, state| now.since(state.asked_at) <= FLOW_LIFETIME);
        if !self.is_overloaded(now) {
            return None;
        }
        let capacity = backlog.capacity(self.tightest_limit_ms(now));
        let flows = self.flow_demands(now);
        Some(WorkDemand { capacity, flows })
    }

    /// Applies the shares that the leader tells; flows that it does not name get all they want.
    pub fn set_shares(&mut self, shares: &[FlowShare], now: TimePoint) {
        self.told_at = Some(now);
        self.apply_shares(shares);
    }

    fn apply_shares(&mut self, shares: &[FlowShare]) {
        for state in self.flows.values_mut() {
            state.fraction = 1.0;
        }
        for share in shares {
            if let Some(state) = self.flows.get_mut(&share.flow) {
                state.fraction = share.fraction.clamp(0.0, 1.0);
            }
        }
        for state in self.flows.values_mut() {
            if state.fraction >= 1.0 {
                state.credit = 0.0;
            }
        }
    }

    fn has_told_shares(&self, now: TimePoint) -> bool {
        let told_at = self.told_at;
        told_at.is_some_and(|at| now.since(at) <= SHARES_LIFETIME)
    }

    /// Divides what this entry may send of the capacity among its own flows.
    fn divide_alone(&mut self, entries: u32, backlog: &EngineBacklog, now: TimePoint) {
        let divided_at = self.divided_at;
        if divided_at.is_some_and(|at| now.since(at) < LOCAL_SPLIT_INTERVAL) {
            return;
        }
        self.divided_at = Some(now);
        let capacity = own_capacity(backlog, entries, self.tightest_limit_ms(now));
        let demands = self.flow_demands(now);
        let shares = split_capacity(&demands, capacity, &self.settings);
        self.apply_shares(&shares);
    }

    fn meter(&mut self, request: &FairRequest<'_>, work: f64, now: TimePoint) {
        if !self.flows.contains_key(request.flow) {
            let state = FlowState {
                demand: RecentCount::new(DEMAND_WINDOW),
                priority: request.priority,
                target: request.target,
                asked_at: now,
                fraction: 1.0,
                credit: 0.0,
            };
            self.flows.insert(request.flow.clone(), state);
        }
        if let Some(state) = self.flows.get_mut(request.flow) {
            state.demand.add(work as u64, now);
            state.priority = request.priority;
            state.target = request.target;
            state.asked_at = now;
        }
    }

    fn flow_demands(&mut self, now: TimePoint) -> Vec<FlowDemand> {
        let metered = now.since(self.metered_since.unwrap_or(now));
        let metered_seconds = metered.clamp(MIN_METERED_TIME, DEMAND_WINDOW).as_secs_f64();
        let demands = self.flows.iter_mut().map(|(flow, state)| FlowDemand {
            flow: flow.clone(),
            priority: state.priority,
            tokens_per_second: state.demand.get(now) as f64 / metered_seconds,
        });
        demands
            .filter(|demand| demand.tokens_per_second > 0.0)
            .collect()
    }

    /// Tokens of a prompt that an engine probably has to read; the rest is in its cache.
    fn work(&self, input_tokens: u64) -> f64 {
        let read_share = if self.input_tokens > 0.0 {
            self.read_tokens / self.input_tokens
        } else {
            1.0
        };
        (input_tokens as f64 * read_share).max(1.0)
    }

    fn wait_limit_ms(&self, target: Duration) -> f64 {
        target.as_secs_f64() * 1_000.0 * self.settings.overload_share
    }

    /// Limit of the wait for the kind of request that must be answered soonest.
    fn tightest_limit_ms(&self, now: TimePoint) -> f64 {
        let flows = self.flows.values();
        let recent = flows.filter(|state| now.since(state.asked_at) <= OVERLOAD_MEMORY);
        let tightest = recent.map(|state| state.target).min();
        self.wait_limit_ms(tightest.unwrap_or_default())
    }
}

/// Part of the capacity that this entry may use if it knows nothing of the demand of the others: its
/// part of the backlog, and an equal part at least.
fn own_capacity(backlog: &EngineBacklog, entries: u32, limit_ms: f64) -> f64 {
    let equal_part = 1.0 / f64::from(entries.max(1));
    let own_part = backlog.own_tokens / backlog.pending_tokens.max(1.0);
    backlog.capacity(limit_ms) * own_part.clamp(equal_part, 1.0)
}
