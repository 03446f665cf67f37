//! Sends committed orders to agents and commits their results.
//!
//! An order is settled when its result is committed. Rules for an order whose agent has not
//! answered `done` or `failed`:
//!
//! - The answer is lost, or the agent does not know the outcome: the order is sent again with the
//!   same fencing number, also by the next leader. Every order sets a state, so executing it twice
//!   has the same result.
//! - The agent restarted: the order is sent with the same fencing number to its new address. During
//!   its startup wait, an agent refuses orders because an earlier one may still be in flight.
//! - The agent refuses the order and reports a fencing floor above the number of the order: the
//!   order will never be executed and is settled.
//! - The engine refuses the order (a refusal without a reason): the order is settled as refused.
//! - The agent refuses the order for another reason: it is sent again until the same incarnation
//!   has refused it for [`OrderSettings::refusal_window`], which exceeds the startup wait, and is
//!   then settled.
//! - The upstream departed: the order is settled as failed when the lifetime of an order has passed
//!   since both the departure and the last attempt.
//!
//! A refusal by the agent settles an order as refused only if no attempt may have reached the
//! engine, otherwise as failed.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use indexmap::IndexMap;
use oriolecrank_consensus::Term;
use oriolecrank_net::{ClusterSecret, peer_request};
use oriolecrank_schema::TimePoint;
use oriolecrank_schema::codec;
use oriolecrank_schema::control::{
    Command, CommandOutcome, EngineOrder, FencingNumber, OrderAnswer, OrderResult,
};
use oriolecrank_schema::data_path::RunVerdict;
use oriolecrank_schema::document::UpstreamId;
use oriolecrank_schema::event::LogEvent;
use tokio::task::JoinSet;
use tokio::time::{MissedTickBehavior, interval};

use crate::action_authority::{LeaderPermit, TermGuard, TimeSource, WritePermit};
use crate::command_replica::CommandReplica;
use crate::control_metrics::ControlMetrics;
use crate::guarded_client::{VerdictError as _, send_guarded};
use crate::shared_state::SharedState;

/// Interval at which the replicated state is checked for orders to send.
const DISPATCH_INTERVAL: Duration = Duration::from_millis(50);

/// Timeouts and limits of an [`OrderExecutor`].
#[derive(Debug, Clone)]
pub struct OrderSettings {
    /// Wait before the first retry; it doubles with each further one.
    pub initial_backoff: Duration,
    /// Longest wait before a retry.
    pub max_backoff: Duration,
    /// Longest wait for the agent's answer. It exceeds the lifetime of an order, because the agent
    /// answers within that lifetime.
    pub answer_timeout: Duration,
    /// Time after receipt during which an agent may execute an order.
    pub order_lifetime: Duration,
    /// Time after which repeated refusals by one agent are final. It exceeds the 3 s that an agent
    /// needs after a restart: a startup wait of 2 s and 1 s until it has announced itself.
    pub refusal_window: Duration,
    /// Largest number of orders that wait for an answer at the same time.
    pub max_parallel: usize,
}

impl Default for OrderSettings {
    fn default() -> Self {
        Self {
            initial_backoff: Duration::from_millis(100),
            max_backoff: Duration::from_secs(2),
            answer_timeout: Duration::from_millis(2_500),
            order_lifetime: Duration::from_secs(2),
            refusal_window: Duration::from_secs(6),
            max_parallel: 64,
        }
    }
}

/// Attempts to execute one order.
#[derive(Debug)]
struct OrderProgress {
    fence: FencingNumber,
    /// Whether an attempt waits for its answer.
    awaits_answer: bool,
    attempts: u32,
    next_at: TimePoint,
    /// Time at which the last attempt began or ended.
    last_sent: TimePoint,
    /// Whether an attempt may have reached the engine.
    may_have_run: bool,
    /// Incarnation of the agent that last refused the order, and the time of its first refusal.
    refused: Option<(u64, TimePoint)>,
    /// When this leader first found that the upstream is no member.
    departed_since: Option<TimePoint>,
}

/// Address and incarnation with which an agent last announced itself.
#[derive(Debug, Clone, Copy)]
struct AgentEndpoint {
    address: SocketAddr,
    incarnation: u64,
}

/// An order after one attempt to send it.
#[derive(Debug)]
struct FinishedAttempt {
    order: EngineOrder,
    incarnation: u64,
    outcome: AttemptOutcome,
}

#[derive(Debug)]
enum AttemptOutcome {
    Answered(OrderAnswer),
    /// Nothing was sent to the agent; the text states the reason.
    NotRun(String),
    /// The order was sent at least in part, and no usable answer came; the text states the
    /// reason.
    MayHaveRun(String),
}

/// A settled order.
#[derive(Debug, Clone, PartialEq)]
pub struct OrderOutcome {
    /// Upstream that the order was for.
    pub upstream: UpstreamId,
    /// Fencing number of the order.
    pub fence: FencingNumber,
    /// Committed result; never [`OrderResult::Unknown`].
    pub result: OrderResult,
}

/// Queue of settled orders that the capacity executor takes; clones share it.
#[derive(Debug, Clone, Default)]
pub struct OrderOutcomes(Arc<Mutex<Vec<OrderOutcome>>>);

impl OrderOutcomes {
    /// Largest number of queued outcomes; further ones are dropped.
    const MAX_KEPT: usize = 1_024;

    fn push(&self, outcome: OrderOutcome) {
        let mut outcomes = self.0.lock().expect("no holder of the outcome lock panics");
        if outcomes.len() < Self::MAX_KEPT {
            outcomes.push(outcome);
        }
    }

    /// Removes and returns the outcomes since the last call.
    pub fn take(&self) -> Vec<OrderOutcome> {
        let mut outcomes = self.0.lock().expect("no holder of the outcome lock panics");
        std::mem::take(&mut *outcomes)
    }
}

/// Sends the committed orders that are not settled yet, while this instance leads.
#[derive(Debug)]
pub struct OrderExecutor<R, T> {
    guard: TermGuard<R, T>,
    replica: Arc<R>,
    state: Arc<SharedState>,
    time: T,
    secret: ClusterSecret,
    metrics: ControlMetrics,
    outcomes: OrderOutcomes,
    settings: OrderSettings,
    /// Term that the progress belongs to.
    term: Option<Term>,
    progress: IndexMap<UpstreamId, OrderProgress>,
    sending: JoinSet<FinishedAttempt>,
}

impl<R: CommandReplica, T: TimeSource> OrderExecutor<R, T> {
    /// Creates an executor without any attempts.
    pub fn new(
        replica: Arc<R>,
        state: Arc<SharedState>,
        time: T,
        secret: ClusterSecret,
        metrics: ControlMetrics,
        settings: OrderSettings,
    ) -> Self {
        Self {
            guard: TermGuard::new(Arc::clone(&replica), time.clone()),
            replica,
            state,
            time,
            secret,
            metrics,
            outcomes: OrderOutcomes::default(),
            settings,
            term: None,
            progress: IndexMap::new(),
            sending: JoinSet::new(),
        }
    }

    /// The queue of settled orders, for the capacity executor.
    pub fn outcomes(&self) -> OrderOutcomes {
        self.outcomes.clone()
    }

    /// Sends and settles orders; never returns.
    pub async fn run(&mut self) {
        let mut ticks = interval(DISPATCH_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = ticks.tick() => self.dispatch().await,
                Some(attempt) = self.sending.join_next() => {
                    if let Ok(attempt) = attempt {
                        self.finish_attempt(attempt).await;
                    }
                }
            }
        }
    }

    /// Makes one attempt for each order that is due, waits for the answers and settles the orders
    /// whose result is known.
    pub async fn round(&mut self) {
        self.dispatch().await;
        while let Some(attempt) = self.sending.join_next().await {
            if let Ok(attempt) = attempt {
                self.finish_attempt(attempt).await;
            }
        }
    }

    async fn dispatch(&mut self) {
        let Some(permit) = self.guard.permit().await else {
            return;
        };
        // Orders that are in flight in the first round of a term may already have been sent by an
        // earlier leader, or by this instance in an earlier term.
        let is_first_round = self.term != Some(permit.term());
        if is_first_round {
            self.term = Some(permit.term());
            self.progress.clear();
        }
        let orders = self.orders_in_flight();
        self.progress.retain(|upstream, progress| {
            orders
                .iter()
                .any(|(order, _)| order.upstream == *upstream && order.fence == progress.fence)
        });
        for (order, agent) in orders {
            let now = self.time.now();
            self.progress
                .entry(order.upstream.clone())
                .or_insert_with(|| OrderProgress::new(order.fence.clone(), is_first_round, now));
            self.attempt(order, agent, &permit).await;
        }
    }

    fn orders_in_flight(&self) -> Vec<(EngineOrder, Option<AgentEndpoint>)> {
        self.state.read(|state| {
            let agent = |order: &EngineOrder| {
                let record = state.member(&order.upstream)?;
                Some(AgentEndpoint {
                    address: record.address.parse().ok()?,
                    incarnation: record.incarnation,
                })
            };
            let orders = state.orders_in_flight();
            orders.map(|order| (order.clone(), agent(order))).collect()
        })
    }

    async fn attempt(
        &mut self,
        order: EngineOrder,
        agent: Option<AgentEndpoint>,
        permit: &LeaderPermit<R, T>,
    ) {
        let now = self.time.now();
        let lifetime = self.settings.order_lifetime;
        let below_limit = self.sending.len() < self.settings.max_parallel;
        let Some(progress) = self.progress.get_mut(&order.upstream) else {
            return;
        };
        if progress.awaits_answer || now < progress.next_at {
            return;
        }
        let Some(agent) = agent else {
            let since = *progress.departed_since.get_or_insert(now);
            let elapsed = now.since(since.max(progress.last_sent));
            if elapsed >= lifetime {
                self.settle(&order, OrderResult::Failed, "the upstream departed")
                    .await;
            }
            return;
        };
        if !below_limit {
            return;
        }
        progress.departed_since = None;
        progress.awaits_answer = true;
        progress.last_sent = now;
        let body = Bytes::from(codec::encode(&order));
        let request = peer_request(&self.secret, "/v1/order", body);
        let (permit, time_limit) = (permit.clone(), self.settings.answer_timeout);
        self.sending.spawn(async move {
            let outcome = send_order(agent.address, request, &permit, time_limit).await;
            FinishedAttempt {
                order,
                incarnation: agent.incarnation,
                outcome,
            }
        });
    }

    async fn finish_attempt(&mut self, attempt: FinishedAttempt) {
        let now = self.time.now();
        let order = &attempt.order;
        let progress = self.progress.get_mut(&order.upstream);
        let progress = progress.filter(|progress| progress.fence == order.fence);
        let Some(progress) = progress else {
            // The order was settled during the attempt, or a new term has begun since.
            return;
        };
        progress.awaits_answer = false;
        progress.last_sent = now;
        let window = self.settings.refusal_window;
        match evaluate(progress, &attempt, window, now) {
            Ok((result, rule)) => self.settle(&attempt.order, result, rule).await,
            Err(reason) => {
                progress.schedule_retry(&self.settings, now);
                tracing::debug!(
                    event = LogEvent::OrderUnanswered.number(),
                    upstream = %*order.upstream,
                    sequence = order.fence.sequence,
                    reason,
                    "order is not settled; it is sent again with the same number"
                );
            }
        }
    }

    /// Commits the result. If that fails, the order stays in flight, and a later round handles it
    /// again.
    async fn settle(&mut self, order: &EngineOrder, result: OrderResult, rule: &str) {
        let command = Command::SettleOrder {
            fence: order.fence.clone(),
            result,
            upstream: order.upstream.clone(),
        };
        let outcome = self.replica.propose(command).await;
        if outcome != CommandOutcome::Accepted {
            return;
        }
        self.progress.shift_remove(&order.upstream);
        self.metrics.count_order(result);
        self.outcomes.push(OrderOutcome {
            upstream: order.upstream.clone(),
            fence: order.fence.clone(),
            result,
        });
        tracing::info!(
            event = LogEvent::OrderSettled.number(),
            upstream = %*order.upstream,
            sequence = order.fence.sequence,
            result = %result,
            rule,
            "order settled"
        );
    }
}

impl OrderProgress {
    const fn new(fence: FencingNumber, may_have_run: bool, now: TimePoint) -> Self {
        Self {
            fence,
            awaits_answer: false,
            attempts: 0,
            next_at: now,
            last_sent: now,
            may_have_run,
            refused: None,
            departed_since: None,
        }
    }

    fn schedule_retry(&mut self, settings: &OrderSettings, now: TimePoint) {
        let factor = 2_u32.saturating_pow(self.attempts.min(16));
        let wait = settings.initial_backoff.saturating_mul(factor);
        self.attempts += 1;
        self.next_at = now + wait.min(settings.max_backoff);
    }

    /// Result for an order that the agent refuses permanently.
    const fn refused_result(&self) -> OrderResult {
        if self.may_have_run {
            OrderResult::Failed
        } else {
            OrderResult::Refused
        }
    }
}

/// Returns the result of the order and the rule that gave it, or why the order must be sent again.
fn evaluate(
    progress: &mut OrderProgress,
    attempt: &FinishedAttempt,
    refusal_window: Duration,
    now: TimePoint,
) -> Result<(OrderResult, &'static str), String> {
    let answer = match &attempt.outcome {
        AttemptOutcome::Answered(answer) => answer,
        AttemptOutcome::NotRun(reason) => return Err(reason.clone()),
        AttemptOutcome::MayHaveRun(reason) => {
            progress.may_have_run = true;
            return Err(reason.clone());
        }
    };
    match answer.result {
        OrderResult::Done | OrderResult::Failed if answer.fence == attempt.order.fence => {
            Ok((answer.result, "answered by the agent"))
        }
        OrderResult::Done | OrderResult::Failed => {
            progress.may_have_run = true;
            Err("the agent answered with the number of another order".to_owned())
        }
        OrderResult::Unknown => {
            progress.may_have_run = true;
            Err("the agent does not know whether the order took effect".to_owned())
        }
        OrderResult::Refused if fence_key(&answer.fence) > fence_key(&attempt.order.fence) => {
            Ok((progress.refused_result(), "below the floor of the agent"))
        }
        OrderResult::Refused if answer.reason.is_none() => {
            Ok((OrderResult::Refused, "refused by the engine"))
        }
        OrderResult::Refused => {
            let known = progress.refused;
            let known = known.filter(|(incarnation, _)| *incarnation == attempt.incarnation);
            let (_, since) = *progress
                .refused
                .insert(known.unwrap_or((attempt.incarnation, now)));
            if now.since(since) >= refusal_window {
                return Ok((progress.refused_result(), "refused repeatedly"));
            }
            Err(answer.reason.clone().unwrap_or_default())
        }
    }
}

async fn send_order<P: WritePermit>(
    address: SocketAddr,
    request: http::Request<http_body_util::Full<Bytes>>,
    permit: &P,
    time_limit: Duration,
) -> AttemptOutcome {
    match send_guarded(address, request, permit, time_limit).await {
        Ok(answer) if answer.status == StatusCode::OK => match codec::decode(&answer.body) {
            Ok(answer) => AttemptOutcome::Answered(answer),
            Err(error) => AttemptOutcome::MayHaveRun(error.to_string()),
        },
        Ok(answer) => AttemptOutcome::MayHaveRun(format!(
            "the agent answered with status {} instead of 200 OK",
            answer.status
        )),
        Err(error) => match error.verdict() {
            RunVerdict::NotRun => AttemptOutcome::NotRun(error.to_string()),
            RunVerdict::MayHaveRun => AttemptOutcome::MayHaveRun(error.to_string()),
        },
    }
}

/// Key by which fencing numbers are compared.
const fn fence_key(fence: &FencingNumber) -> (u64, u64) {
    (fence.term, fence.sequence)
}
