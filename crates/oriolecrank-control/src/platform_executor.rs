//! Carries out committed starts and stops through the platform.
//!
//! An intent is a committed start or stop. A start stays pending until its upstream has announced
//! itself, is known to have crashed, or was refused by the platform; a stop until the upstream no
//! longer runs or the stop was refused. A new leader therefore treats every pending intent as
//! possibly sent and reads the list of running upstreams before it sends anything.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use indexmap::IndexMap;
use oriolecrank_capacity::{
    IntentId, PlatformInstance, PlatformIntent as ReconcilerIntent, PlatformReconciler,
    PlatformStep, ReconcilerSettings,
};
use oriolecrank_consensus::Term;
use oriolecrank_schema::TimePoint;
use oriolecrank_schema::control::{
    Command, CommandOutcome, IntentState, OrderResult, PlatformIntent,
};
use oriolecrank_schema::data_path::RunVerdict;
use oriolecrank_schema::document::{FailureDomainId, ServiceId, UpstreamId};
use oriolecrank_schema::event::LogEvent;
use oriolecrank_state::ClusterState;
use tokio::time::{MissedTickBehavior, interval};

use crate::action_authority::{
    AuthorityWait, LeaderPermit, TermGuard, TimeSource, WaitSettings, WaitState, WritePermit as _,
};
use crate::cluster_label::ClusterLabel;
use crate::command_replica::CommandReplica;
use crate::control_metrics::ControlMetrics;
use crate::guarded_client::VerdictError as _;
use crate::platform_client::{PlatformAnswer, PlatformClient, PlatformRequest, PlatformRequestId};
use crate::shared_state::SharedState;

/// Interval at which intents are compared with the running upstreams.
const ROUND_INTERVAL: Duration = Duration::from_secs(1);

/// Timing of a [`PlatformExecutor`].
#[derive(Debug, Clone)]
pub struct PlatformSettings {
    /// Wait of a new leader before it contacts the platform.
    pub wait: WaitSettings,
    /// Timing of the comparison of intents with the running upstreams.
    pub reconciler: ReconcilerSettings,
    /// Wait before a start or stop without effect is sent again for the first time; it doubles with
    /// each attempt.
    pub initial_backoff: Duration,
    /// Longest wait before a start or stop without effect is sent again.
    pub max_backoff: Duration,
    /// Shortest remaining authority with which anything is sent; with less, the answer would not
    /// arrive in time.
    pub min_remaining_authority: Duration,
}

impl Default for PlatformSettings {
    fn default() -> Self {
        Self {
            wait: WaitSettings::default(),
            reconciler: ReconcilerSettings::default(),
            initial_backoff: Duration::from_secs(2),
            max_backoff: Duration::from_mins(1),
            min_remaining_authority: Duration::from_millis(50),
        }
    }
}

/// Outcome of a start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartOutcome {
    /// Service of the upstream.
    pub service: ServiceId,
    /// Failure domain of the start.
    pub failure_domain: FailureDomainId,
    /// Whether the upstream announced itself; false if the start crashed or was refused.
    pub succeeded: bool,
}

/// Queue of outcomes of starts that the capacity executor takes; clones share it.
#[derive(Debug, Clone, Default)]
pub struct StartOutcomes(Arc<Mutex<Vec<StartOutcome>>>);

impl StartOutcomes {
    /// Largest number of queued outcomes; further ones are dropped. It limits the memory that is
    /// used while the capacity executor takes none.
    const MAX_KEPT: usize = 1_024;

    fn push(&self, outcome: StartOutcome) {
        let mut outcomes = self.0.lock().expect("no holder of the outcome lock panics");
        if outcomes.len() < Self::MAX_KEPT {
            outcomes.push(outcome);
        }
    }

    /// Removes and returns the outcomes since the last call.
    pub fn take(&self) -> Vec<StartOutcome> {
        let mut outcomes = self.0.lock().expect("no holder of the outcome lock panics");
        std::mem::take(&mut *outcomes)
    }
}

/// When an intent may be sent again.
#[derive(Debug, Clone, Copy)]
struct SendBackoff {
    attempts: u32,
    next_at: TimePoint,
}

/// Progress of the intents in one term.
#[derive(Debug)]
struct TermProgress {
    term: Term,
    reconciler: PlatformReconciler,
    /// Intents that the executor has taken from the state, until the state no longer lists them.
    tracked: IndexMap<IntentId, PlatformIntent>,
    /// Results that are not committed yet.
    results: IndexMap<IntentId, OrderResult>,
    backoffs: IndexMap<IntentId, SendBackoff>,
}

/// What the replicated state says about starts and stops.
#[derive(Debug)]
struct IntentView {
    intents: Vec<PlatformIntent>,
    /// Starts to which the state has attributed a member.
    joined: Vec<IntentId>,
    /// Upstreams that are members now.
    announced: Vec<UpstreamId>,
    /// Members, and running upstreams that were members before.
    known_upstreams: Vec<UpstreamId>,
}

/// Carries out starts and stops while this instance leads.
#[derive(Debug)]
pub struct PlatformExecutor<R, T, P> {
    guard: TermGuard<R, T>,
    replica: Arc<R>,
    state: Arc<SharedState>,
    time: T,
    client: P,
    cluster: ClusterLabel,
    metrics: ControlMetrics,
    outcomes: StartOutcomes,
    settings: PlatformSettings,
    wait: AuthorityWait,
    progress: Option<TermProgress>,
}

impl<R: CommandReplica, T: TimeSource, P: PlatformClient> PlatformExecutor<R, T, P> {
    /// Creates an executor that reaches the platform through `client`.
    pub fn new(
        replica: Arc<R>,
        state: Arc<SharedState>,
        time: T,
        client: P,
        cluster: ClusterLabel,
        metrics: ControlMetrics,
        settings: PlatformSettings,
    ) -> Self {
        Self {
            guard: TermGuard::new(Arc::clone(&replica), time.clone()),
            replica,
            state,
            time,
            client,
            cluster,
            metrics,
            outcomes: StartOutcomes::default(),
            wait: AuthorityWait::new(settings.wait.clone()),
            settings,
            progress: None,
        }
    }

    /// The queue of outcomes of starts, for the capacity executor.
    pub fn outcomes(&self) -> StartOutcomes {
        self.outcomes.clone()
    }

    /// Carries out starts and stops; never returns.
    pub async fn run(&mut self) {
        let mut ticks = interval(ROUND_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            self.round().await;
        }
    }

    /// Compares the intents with the running upstreams, commits the results and sends the starts
    /// and stops that have not taken effect.
    pub async fn round(&mut self) {
        let now = self.time.now();
        let WaitState::Open(term) = self.wait.observe(self.replica.authority(now), now) else {
            return;
        };
        let Some(permit) = self.guard.permit().await else {
            return;
        };
        if permit.term() != term {
            return;
        }
        if self
            .progress
            .as_ref()
            .is_some_and(|known| known.term != term)
        {
            self.progress = None;
        }
        let idle = self.state.read(|state| state.intents().next().is_none());
        if idle && self.progress.is_some() {
            self.clear_progress();
            return;
        }
        let read_started_at = self.time.now();
        let running = match self.client.running().await {
            Ok(running) => running,
            Err(error) => {
                let event = LogEvent::PlatformUnavailable.number();
                tracing::warn!(
                    event,
                    %error,
                    "cannot list the running upstreams; starts and stops wait"
                );
                return;
            }
        };
        let view = self.state.read(|state| intent_view(state, &running));
        self.track_intents(term, &view, read_started_at);
        let to_send = self.reconcile(&running, &view, read_started_at);
        self.commit_results().await;
        for id in to_send {
            if !self.send(id, &permit).await {
                return;
            }
        }
    }

    /// Drops the progress of all intents once none is open, but keeps the reconciler and the term.
    fn clear_progress(&mut self) {
        let Some(progress) = &mut self.progress else {
            return;
        };
        for (id, _) in progress.tracked.drain(..) {
            progress.reconciler.forget(id);
        }
        progress.results.clear();
        progress.backoffs.clear();
    }

    /// Adds new intents to the reconciler and drops those that are no longer open.
    fn track_intents(&mut self, term: Term, view: &IntentView, read_started_at: TimePoint) {
        let is_new_term = self.progress.is_none();
        let settings = &self.settings.reconciler;
        let progress = self.progress.get_or_insert_with(|| TermProgress {
            term,
            reconciler: PlatformReconciler::new(settings.clone()),
            tracked: IndexMap::new(),
            results: IndexMap::new(),
            backoffs: IndexMap::new(),
        });
        if is_new_term {
            progress
                .reconciler
                .set_known_upstreams(view.known_upstreams.iter().cloned());
        }
        let is_open = |id: IntentId| view.intents.iter().any(|intent| intent.intent_id == id.0);
        let closed = progress.tracked.keys().copied();
        let closed: Vec<IntentId> = closed.filter(|id| !is_open(*id)).collect();
        for id in closed {
            progress.tracked.shift_remove(&id);
            progress.backoffs.shift_remove(&id);
            progress.reconciler.forget(id);
        }
        progress.results.retain(|id, _| is_open(*id));
        for intent in &view.intents {
            let id = IntentId(intent.intent_id);
            if progress.tracked.contains_key(&id) {
                continue;
            }
            progress.tracked.insert(id, intent.clone());
            if view.joined.contains(&id) {
                progress.results.insert(id, OrderResult::Done);
            } else if is_new_term {
                let intent = reconciler_intent(intent);
                progress
                    .reconciler
                    .add_possibly_sent(id, intent, read_started_at);
            } else {
                progress.reconciler.add(id, reconciler_intent(intent));
            }
        }
    }

    /// Compares the intents with the list of running upstreams and returns those to send.
    fn reconcile(
        &mut self,
        running: &[PlatformInstance],
        view: &IntentView,
        read_started_at: TimePoint,
    ) -> Vec<IntentId> {
        let Some(progress) = &mut self.progress else {
            return Vec::new();
        };
        let steps = progress
            .reconciler
            .reconcile(running, &view.announced, read_started_at);
        let mut sends = Vec::new();
        for step in steps {
            let (id, result) = match step {
                PlatformStep::ReadBack(_) => continue,
                PlatformStep::Settled(id) => (id, OrderResult::Done),
                PlatformStep::Crashed(id) => (id, OrderResult::Failed),
                // The start took effect even if its upstream has left since.
                PlatformStep::Send(id) if view.joined.contains(&id) => {
                    progress.reconciler.forget(id);
                    (id, OrderResult::Done)
                }
                PlatformStep::Send(id) if was_accepted(progress, id) => {
                    progress.reconciler.forget(id);
                    (id, OrderResult::Failed)
                }
                PlatformStep::Send(id) => {
                    sends.push(id);
                    continue;
                }
            };
            progress.results.insert(id, result);
        }
        sends
    }

    /// Commits the results. One that cannot be committed is kept for the next round.
    async fn commit_results(&mut self) {
        let Some(progress) = &mut self.progress else {
            return;
        };
        let results: Vec<_> = progress
            .results
            .iter()
            .map(|(id, result)| (*id, *result))
            .collect();
        for (id, result) in results {
            let command = Command::SettlePlatform {
                intent_id: id.0,
                result,
            };
            let outcome = self.replica.propose(command).await;
            if !matches!(
                outcome,
                CommandOutcome::Accepted | CommandOutcome::Unchanged
            ) {
                continue;
            }
            // The intent stays tracked while the state lists it, so that it is not sent again.
            progress.results.shift_remove(&id);
            if outcome == CommandOutcome::Unchanged {
                continue;
            }
            self.metrics.count_intent(result);
            tracing::info!(
                event = LogEvent::PlatformOrderSettled.number(),
                intent = id.0,
                result = %result,
                "start or stop settled"
            );
            let intent = progress.tracked.get(&id);
            if let Some(start) = intent.filter(|intent| intent.upstream.is_none()) {
                self.outcomes.push(StartOutcome {
                    service: start.service.clone(),
                    failure_domain: start.failure_domain.clone(),
                    succeeded: result == OrderResult::Done,
                });
            }
        }
    }

    /// Sends one intent unless its backoff has not passed; `false` if too little authority remains.
    async fn send(&mut self, id: IntentId, permit: &LeaderPermit<R, T>) -> bool {
        let Some(progress) = &mut self.progress else {
            return false;
        };
        let now = self.time.now();
        let backoff = progress.backoffs.get(&id);
        if backoff.is_some_and(|backoff| now < backoff.next_at) {
            return true;
        }
        let Some(intent) = progress.tracked.get(&id) else {
            return true;
        };
        let request = platform_request(intent);
        let remaining = permit.remaining();
        if remaining.is_none_or(|left| left < self.settings.min_remaining_authority) {
            return false;
        }
        let attempts = backoff.map_or(0, |backoff| backoff.attempts);
        let factor = 2_u32.saturating_pow(attempts.min(16));
        let wait = self.settings.initial_backoff.saturating_mul(factor);
        let backoff = SendBackoff {
            attempts: attempts + 1,
            next_at: now + wait.min(self.settings.max_backoff),
        };
        progress.backoffs.insert(id, backoff);
        progress.reconciler.record_sent(id, now);
        let request_id = PlatformRequestId(format!("{}-intent-{}", self.cluster, id.0));
        let answer = self.client.send(&request_id, &request, permit).await;
        let answered_at = self.time.now();
        let event = LogEvent::PlatformOrderSent.number();
        match answer {
            Ok(PlatformAnswer::Started(upstream)) => {
                tracing::info!(
                    event,
                    intent = id.0,
                    upstream = %*upstream,
                    "the platform accepted the start"
                );
                progress.reconciler.record_answer(id, upstream, answered_at);
            }
            Ok(PlatformAnswer::Stopped) => {
                tracing::info!(event, intent = id.0, "the platform accepted the stop");
            }
            Ok(PlatformAnswer::Refused { reason }) => {
                let event = LogEvent::PlatformOrderFailed.number();
                tracing::warn!(
                    event,
                    intent = id.0,
                    reason,
                    "the platform refused the start or stop; it is settled as refused"
                );
                progress.reconciler.forget(id);
                progress.results.insert(id, OrderResult::Refused);
            }
            Err(error) => {
                let event = LogEvent::PlatformOrderFailed.number();
                tracing::warn!(
                    event,
                    intent = id.0,
                    %error,
                    "start or stop not confirmed; the list of running upstreams shows its effect"
                );
                // The request may have been written at any time until now.
                if error.verdict() == RunVerdict::MayHaveRun {
                    progress.reconciler.record_sent(id, answered_at);
                }
            }
        }
        true
    }
}

/// Whether an earlier leader has committed that the platform accepted this start.
fn was_accepted(progress: &TermProgress, id: IntentId) -> bool {
    let intent = progress.tracked.get(&id);
    intent.is_some_and(|intent| intent.state == IntentState::AwaitingAnnouncement)
}

fn intent_view(state: &ClusterState, running: &[PlatformInstance]) -> IntentView {
    let intents: Vec<PlatformIntent> = state.intents().cloned().collect();
    let joined = intents.iter().map(|intent| intent.intent_id);
    let joined = joined.filter(|id| state.start_has_joined(*id));
    let joined = joined.map(IntentId).collect();
    let announced: Vec<UpstreamId> = state
        .members()
        .map(|record| record.upstream.clone())
        .collect();
    let running = running.iter().map(|instance| &instance.upstream);
    let departed = running.filter(|upstream| state.fence(upstream).is_some());
    let known_upstreams = announced.iter().chain(departed).cloned().collect();
    IntentView {
        intents,
        joined,
        announced,
        known_upstreams,
    }
}

fn reconciler_intent(intent: &PlatformIntent) -> ReconcilerIntent {
    match &intent.upstream {
        Some(upstream) => ReconcilerIntent::Stop {
            upstream: upstream.clone(),
        },
        None => ReconcilerIntent::Start {
            service: intent.service.clone(),
            failure_domain: intent.failure_domain.clone(),
        },
    }
}

fn platform_request(intent: &PlatformIntent) -> PlatformRequest {
    match &intent.upstream {
        Some(upstream) => PlatformRequest::Stop {
            upstream: upstream.clone(),
        },
        None => PlatformRequest::Start {
            service: intent.service.clone(),
            failure_domain: intent.failure_domain.clone(),
        },
    }
}
