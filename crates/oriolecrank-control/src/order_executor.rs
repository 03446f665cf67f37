//! Sends committed orders to their agents and settles them.
//!
//! Rules for an order whose agent has not answered `done` or `failed`:
//!
//! - A lost or unknown answer: the same number is repeated, also by a successor. Every order sets a
//!   state, so a repetition that is carried out again has the same result.
//! - A restarted agent: the same number is repeated at its new address. The agent refuses it during
//!   its startup wait.
//! - Refused with a higher floor, or by the engine itself (no reason stated): it will never be
//!   carried out, and it is settled.
//! - Refused for another reason: it is repeated until the same incarnation has refused for
//!   [`OrderSettings::refusal_window`], which exceeds the startup wait of an agent, and then settled.
//! - Departed upstream: it is settled as failed when the lifetime of an order has passed since both
//!   the departure and the last attempt.
//!
//! An order is settled as refused only if no attempt may have reached the engine, otherwise as
//! failed.

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

/// Interval at which the state is searched for orders.
const DISPATCH_INTERVAL: Duration = Duration::from_millis(50);

/// Times and bounds of an [`OrderExecutor`].
#[derive(Debug, Clone)]
pub struct OrderSettings {
    /// Wait before the first repetition; it doubles with each further one.
    pub first_retry: Duration,
    /// Longest wait between repetitions.
    pub longest_retry: Duration,
    /// Longest wait for an answer. It exceeds the lifetime of an order, within which the agent
    /// answers.
    pub answer_timeout: Duration,
    /// Lifetime of an order.
    pub order_lifetime: Duration,
    /// Time after which a repeated refusal is final. The startup wait of an agent takes 2 s, and
    /// another second passes until it has announced itself.
    pub refusal_window: Duration,
    /// Largest number of orders that are sent at the same time.
    pub max_parallel: usize,
}

impl Default for OrderSettings {
    fn default() -> Self {
        Self {
            first_retry: Duration::from_millis(100),
            longest_retry: Duration::from_secs(2),
            answer_timeout: Duration::from_millis(2_500),
            order_lifetime: Duration::from_secs(2),
            refusal_window: Duration::from_secs(6),
            max_parallel: 64,
        }
    }
}

/// Attempts to carry out one order.
#[derive(Debug)]
struct OrderProgress {
    fence: FencingNumber,
    /// An attempt waits for its answer.
    busy: bool,
    attempts: u32,
    next_at: TimePoint,
    last_sent: TimePoint,
    /// An attempt may have reached the engine.
    may_have_run: bool,
    /// Incarnation that refuses the order, and since when.
    refused: Option<(u64, TimePoint)>,
    departed_since: Option<TimePoint>,
}

/// Agent of an upstream at present.
#[derive(Debug, Clone, Copy)]
struct AgentPlace {
    address: SocketAddr,
    incarnation: u64,
}

/// Result of one attempt.
#[derive(Debug)]
struct SentOrder {
    order: EngineOrder,
    incarnation: u64,
    outcome: AttemptOutcome,
}

#[derive(Debug)]
enum AttemptOutcome {
    Answered(OrderAnswer),
    /// Nothing reached the agent.
    NotRun(String),
    MayHaveRun(String),
}

/// A settled order.
#[derive(Debug, Clone, PartialEq)]
pub struct OrderOutcome {
    /// Upstream that got the order.
    pub upstream: UpstreamId,
    /// Number of the order.
    pub fence: FencingNumber,
    /// Result.
    pub result: OrderResult,
}

/// Settled orders on their way to the capacity executor; clones share them.
#[derive(Debug, Clone, Default)]
pub struct OrderOutcomes(Arc<Mutex<Vec<OrderOutcome>>>);

impl OrderOutcomes {
    /// Largest number of outcomes that nobody has taken.
    const MAX_KEPT: usize = 1_024;

    fn push(&self, outcome: OrderOutcome) {
        let mut outcomes = self.0.lock().expect("no holder of the outcome lock panics");
        if outcomes.len() < Self::MAX_KEPT {
            outcomes.push(outcome);
        }
    }

    /// Takes the outcomes since the last call.
    pub fn take(&self) -> Vec<OrderOutcome> {
        let mut outcomes = self.0.lock().expect("no holder of the outcome lock panics");
        std::mem::take(&mut *outcomes)
    }
}

/// Carries out the orders in flight while this instance leads.
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
    term: Option<Term>,
    progress: IndexMap<UpstreamId, OrderProgress>,
    sending: JoinSet<SentOrder>,
}

impl<R: CommandReplica, T: TimeSource> OrderExecutor<R, T> {
    /// An executor without attempts.
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

    /// Results of settled orders, for the capacity executor.
    pub fn outcomes(&self) -> OrderOutcomes {
        self.outcomes.clone()
    }

    /// Carries out orders for ever.
    pub async fn run(&mut self) {
        let mut ticks = interval(DISPATCH_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = ticks.tick() => self.dispatch().await,
                Some(sent) = self.sending.join_next() => {
                    if let Ok(sent) = sent {
                        self.finish(sent).await;
                    }
                }
            }
        }
    }

    /// Makes one attempt for each order that is due and waits for the answers.
    pub async fn round(&mut self) {
        self.dispatch().await;
        while let Some(sent) = self.sending.join_next().await {
            if let Ok(sent) = sent {
                self.finish(sent).await;
            }
        }
    }

    async fn dispatch(&mut self) {
        let Some(permit) = self.guard.permit().await else {
            return;
        };
        // A predecessor, or this instance in an earlier term, may have sent what is in flight now.
        let inherited = self.term != Some(permit.term());
        if inherited {
            self.term = Some(permit.term());
            self.progress.clear();
        }
        let orders = self.orders_in_flight();
        self.progress.retain(|upstream, progress| {
            orders
                .iter()
                .any(|(order, _)| order.upstream == *upstream && order.fence == progress.fence)
        });
        for (order, place) in orders {
            let now = self.time.now();
            self.progress
                .entry(order.upstream.clone())
                .or_insert_with(|| OrderProgress::new(order.fence.clone(), inherited, now));
            self.attempt(order, place, &permit).await;
        }
    }

    fn orders_in_flight(&self) -> Vec<(EngineOrder, Option<AgentPlace>)> {
        self.state.read(|state| {
            let place = |order: &EngineOrder| {
                let record = state.member(&order.upstream)?;
                Some(AgentPlace {
                    address: record.address.parse().ok()?,
                    incarnation: record.incarnation,
                })
            };
            let orders = state.orders_in_flight();
            orders.map(|order| (order.clone(), place(order))).collect()
        })
    }

    async fn attempt(
        &mut self,
        order: EngineOrder,
        place: Option<AgentPlace>,
        permit: &LeaderPermit<R, T>,
    ) {
        let now = self.time.now();
        let lifetime = self.settings.order_lifetime;
        let has_room = self.sending.len() < self.settings.max_parallel;
        let Some(progress) = self.progress.get_mut(&order.upstream) else {
            return;
        };
        if progress.busy || now < progress.next_at {
            return;
        }
        let Some(place) = place else {
            let since = *progress.departed_since.get_or_insert(now);
            let quiet = now.since(since.max(progress.last_sent));
            if quiet >= lifetime {
                self.settle(&order, OrderResult::Failed, "the upstream departed")
                    .await;
            }
            return;
        };
        if !has_room {
            return;
        }
        progress.departed_since = None;
        progress.busy = true;
        progress.last_sent = now;
        let body = Bytes::from(codec::encode(&order));
        let request = peer_request(&self.secret, "/v1/order", body);
        let (permit, bound) = (permit.clone(), self.settings.answer_timeout);
        self.sending.spawn(async move {
            let outcome = send_order(place.address, request, &permit, bound).await;
            SentOrder {
                order,
                incarnation: place.incarnation,
                outcome,
            }
        });
    }

    async fn finish(&mut self, sent: SentOrder) {
        let now = self.time.now();
        let order = &sent.order;
        let progress = self.progress.get_mut(&order.upstream);
        let progress = progress.filter(|progress| progress.fence == order.fence);
        let Some(progress) = progress else {
            // The order was settled meanwhile, or this instance was not leader for a while.
            return;
        };
        progress.busy = false;
        progress.last_sent = now;
        let window = self.settings.refusal_window;
        match judge(progress, &sent, window, now) {
            Ok((result, rule)) => self.settle(&sent.order, result, rule).await,
            Err(reason) => {
                progress.delay(&self.settings, now);
                tracing::debug!(
                    event = LogEvent::OrderUnanswered.number(),
                    upstream = %*order.upstream,
                    sequence = order.fence.sequence,
                    reason,
                    "order is repeated"
                );
            }
        }
    }

    /// Commits the result. If that fails, the next round repeats the number.
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
            busy: false,
            attempts: 0,
            next_at: now,
            last_sent: now,
            may_have_run,
            refused: None,
            departed_since: None,
        }
    }

    fn delay(&mut self, settings: &OrderSettings, now: TimePoint) {
        let factor = 2_u32.saturating_pow(self.attempts.min(16));
        let wait = settings.first_retry.saturating_mul(factor);
        self.attempts += 1;
        self.next_at = now + wait.min(settings.longest_retry);
    }

    /// Result for an order that will not be carried out any more.
    const fn refused_result(&self) -> OrderResult {
        if self.may_have_run {
            OrderResult::Failed
        } else {
            OrderResult::Refused
        }
    }
}

/// Applies the rules to an attempt: the final result and its rule, or why the order is repeated.
fn judge(
    progress: &mut OrderProgress,
    sent: &SentOrder,
    refusal_window: Duration,
    now: TimePoint,
) -> Result<(OrderResult, &'static str), String> {
    let answer = match &sent.outcome {
        AttemptOutcome::Answered(answer) => answer,
        AttemptOutcome::NotRun(reason) => return Err(reason.clone()),
        AttemptOutcome::MayHaveRun(reason) => {
            progress.may_have_run = true;
            return Err(reason.clone());
        }
    };
    match answer.result {
        OrderResult::Done | OrderResult::Failed if answer.fence == sent.order.fence => {
            Ok((answer.result, "answered by the agent"))
        }
        OrderResult::Done | OrderResult::Failed => {
            progress.may_have_run = true;
            Err("the answer belongs to another order".to_owned())
        }
        OrderResult::Unknown => {
            progress.may_have_run = true;
            Err("the agent does not know the outcome".to_owned())
        }
        OrderResult::Refused if order_key(&answer.fence) > order_key(&sent.order.fence) => {
            Ok((progress.refused_result(), "below the floor of the agent"))
        }
        OrderResult::Refused if answer.reason.is_none() => {
            Ok((OrderResult::Refused, "refused by the engine"))
        }
        OrderResult::Refused => {
            let known = progress.refused;
            let known = known.filter(|(incarnation, _)| *incarnation == sent.incarnation);
            let (_, since) = *progress
                .refused
                .insert(known.unwrap_or((sent.incarnation, now)));
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
    bound: Duration,
) -> AttemptOutcome {
    match send_guarded(address, request, permit, bound).await {
        Ok(answer) if answer.status == StatusCode::OK => match codec::decode(&answer.body) {
            Ok(answer) => AttemptOutcome::Answered(answer),
            Err(error) => AttemptOutcome::MayHaveRun(error.to_string()),
        },
        Ok(answer) => AttemptOutcome::MayHaveRun(format!("status {}", answer.status)),
        Err(error) => match error.verdict() {
            RunVerdict::NotRun => AttemptOutcome::NotRun(error.to_string()),
            RunVerdict::MayHaveRun => AttemptOutcome::MayHaveRun(error.to_string()),
        },
    }
}

/// Order of fencing numbers.
const fn order_key(fence: &FencingNumber) -> (u64, u64) {
    (fence.term, fence.sequence)
}
