//! Upstreams of all services: choice, load estimates, outlier ejection and hedging.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, RwLock};
use std::time::Duration;

use indexmap::IndexMap;
use oriolecrank_net::BootClock;
use oriolecrank_policy::hedge::{FirstAttempt, HedgePolicy, HedgeSettings};
use oriolecrank_policy::load_estimate::LoadReport;
use oriolecrank_policy::outlier_ejection::{
    EjectionSettings, OutlierEjection, UpstreamOutcome, WeightChange,
};
use oriolecrank_policy::subset::EntryIdentity;
use oriolecrank_policy::upstream_chooser::{
    ChoiceRequest, ChooserSettings, NoUpstream, UpstreamChoice, UpstreamChooser,
};
use oriolecrank_policy::upstream_pause::UpstreamPause;
use oriolecrank_policy::upstream_state::UpstreamState;
use oriolecrank_schema::TimePoint;
use oriolecrank_schema::data_path::UpstreamLoad;
use oriolecrank_schema::document::{ServiceId, UpstreamId};
use oriolecrank_schema::event::LogEvent;

use crate::entry_state::StateView;

/// Outcome of a dispatch with respect to the health of the upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DispatchOutcome {
    /// The upstream answered without a server error.
    Served,
    /// The upstream or its agent failed, or answered with a server error.
    Failed,
    /// Says nothing about the health: the request was refused without a fault, missed its deadline
    /// or was cancelled.
    Neutral,
}

/// Upstreams of one service, as seen by this entry.
#[derive(Debug)]
struct ServicePool {
    chooser: UpstreamChooser,
    ejection: OutlierEjection,
    hedges: HedgePolicy,
    /// Pauses that upstreams have asked for, each with the incarnation of the agent that told it.
    pauses: IndexMap<UpstreamId, (u64, UpstreamPause)>,
}

/// Lock order: a pool is locked after `UpstreamPool::services` and never across an await.
type SharedPool = Arc<Mutex<ServicePool>>;

/// Upstreams of all services, as seen by this entry.
#[derive(Debug)]
pub struct UpstreamPool {
    entry: EntryIdentity,
    settings: ChooserSettings,
    services: RwLock<IndexMap<ServiceId, SharedPool>>,
}

impl UpstreamPool {
    /// Creates a pool without upstreams.
    pub fn new(entry: EntryIdentity, settings: ChooserSettings) -> Self {
        Self {
            entry,
            settings,
            services: RwLock::default(),
        }
    }

    /// Replaces the upstreams with those of a view.
    pub fn update(&self, view: &StateView) {
        let mut lists = IndexMap::<ServiceId, Vec<UpstreamState>>::new();
        for record in view.upstreams() {
            match UpstreamState::try_from(record) {
                Ok(state) => lists.entry(record.service.clone()).or_default().push(state),
                Err(error) => {
                    let event = LogEvent::UpstreamUnusable.number();
                    tracing::warn!(
                        event,
                        %error,
                        "upstream record invalid; the upstream is not used"
                    );
                }
            }
        }
        let mut services = self
            .services
            .write()
            .expect("no holder of the pool table lock panics");
        // A service without upstreams keeps its pool, because dispatches may still refer to it.
        for (service, pool) in &*services {
            if !lists.contains_key(service) {
                lock(pool).update(&[]);
            }
        }
        for (service, list) in lists {
            let pool = services.entry(service).or_insert_with(|| self.empty_pool());
            lock(pool).update(&list);
        }
    }

    fn empty_pool(&self) -> SharedPool {
        let chooser = UpstreamChooser::new(self.settings.clone(), self.entry.clone());
        Arc::new(Mutex::new(ServicePool {
            chooser,
            ejection: OutlierEjection::new(EjectionSettings::default()),
            hedges: HedgePolicy::new(HedgeSettings::default()),
            pauses: IndexMap::new(),
        }))
    }

    /// Applies the weights of ejected upstreams, which grow gradually after the ejection; called
    /// every 500 ms.
    pub fn update_ejected_weights(&self, now: TimePoint) {
        let services = self
            .services
            .read()
            .expect("no holder of the pool table lock panics");
        for pool in services.values() {
            lock(pool).update_ejected_weights(now);
        }
    }

    fn pool(&self, service: &ServiceId) -> Option<SharedPool> {
        let services = self
            .services
            .read()
            .expect("no holder of the pool table lock panics");
        services.get(service).map(Arc::clone)
    }

    /// Chooses an upstream and counts the request as running there until the dispatch is dropped.
    pub fn choose(
        &self,
        service: &ServiceId,
        request: &ChoiceRequest<'_>,
        now: TimePoint,
    ) -> Result<Dispatch, NoUpstream> {
        let pool = self.pool(service).ok_or(NoUpstream)?;
        let choice = lock(&pool).choose(request, now)?;
        Ok(Dispatch {
            choice,
            pool,
            outcome: DispatchOutcome::Neutral,
        })
    }

    /// Version of an upstream of a service; `None` if the upstream is unknown or has none.
    pub fn version_of(&self, service: &ServiceId, upstream: &UpstreamId) -> Option<String> {
        let pool = self.pool(service)?;
        let pool = lock(&pool);
        let state = pool
            .chooser
            .members()
            .find(|state| state.upstream == *upstream)?;
        state.version.clone()
    }

    /// Upstreams of a service whose version is not `version`.
    pub fn of_other_versions(&self, service: &ServiceId, version: Option<&str>) -> Vec<UpstreamId> {
        let Some(pool) = self.pool(service) else {
            return Vec::new();
        };
        let pool = lock(&pool);
        let others = pool.chooser.members();
        let others = others.filter(|state| state.version.as_deref() != version);
        others.map(|state| state.upstream.clone()).collect()
    }

    /// Expected times of a request; `None` if no upstream may take it.
    pub fn expected_time(
        &self,
        service: &ServiceId,
        request: &ChoiceRequest<'_>,
        now: TimePoint,
    ) -> Option<ExpectedTime> {
        let pool = self.pool(service)?;
        let pool = lock(&pool);
        let excluded = pool.excluded(request, now);
        let request = ChoiceRequest {
            excluded: &excluded,
            ..*request
        };
        Some(ExpectedTime {
            until_start: pool.chooser.expected_delay(&request, now)?,
            service: pool.chooser.expected_service(&request),
        })
    }

    /// The pause that ends first, if all upstreams of a service ask for one.
    pub fn common_pause(&self, service: &ServiceId, now: TimePoint) -> Option<UpstreamPause> {
        let pool = self.pool(service)?;
        let pool = lock(&pool);
        let members = pool.chooser.members();
        let pauses = members.map(|state| pool.pause_of(&state.upstream));
        let first = pauses.min_by_key(|pause| pause.time_left(now))?;
        first.time_left(now).map(|_| first)
    }
}

/// Expected waiting and service time of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ExpectedTime {
    /// Time until the request starts.
    pub until_start: Duration,
    /// Time from the start of the request to its end.
    pub service: Duration,
}

impl ServicePool {
    fn update(&mut self, upstreams: &[UpstreamState]) {
        self.chooser.update(upstreams);
        let members = self.chooser.members().map(|state| &state.upstream);
        self.ejection.set_upstreams(members);
        self.pauses.retain(|upstream, (incarnation, _)| {
            let mut members = upstreams.iter();
            members.any(|state| state.upstream == *upstream && state.incarnation == *incarnation)
        });
    }

    fn pause_of(&self, upstream: &UpstreamId) -> UpstreamPause {
        let known = self.pauses.get(upstream);
        known.map(|(_, pause)| *pause).unwrap_or_default()
    }

    /// Upstreams that must not be chosen for a request: those that it excludes, and those that ask
    /// for a pause.
    fn excluded(&self, request: &ChoiceRequest<'_>, now: TimePoint) -> Vec<UpstreamId> {
        let paused = self
            .pauses
            .iter()
            .filter(|(_, (_, pause))| !pause.allows(now));
        let paused = paused.map(|(upstream, _)| upstream);
        request.excluded.iter().chain(paused).cloned().collect()
    }

    fn record_pause(&mut self, choice: &UpstreamChoice, length: Duration, now: TimePoint) -> bool {
        let known = self.pauses.get(&choice.upstream);
        let known = known.filter(|(incarnation, _)| *incarnation == choice.incarnation);
        let mut pause = known.map(|(_, pause)| *pause).unwrap_or_default();
        let begins = pause.record(length, now);
        let told = (choice.incarnation, pause);
        self.pauses.insert(choice.upstream.clone(), told);
        begins
    }

    fn choose(
        &mut self,
        request: &ChoiceRequest<'_>,
        now: TimePoint,
    ) -> Result<UpstreamChoice, NoUpstream> {
        let excluded = self.excluded(request, now);
        let request = ChoiceRequest {
            excluded: &excluded,
            ..*request
        };
        let choice = self.chooser.choose(&request, now, &mut rand::rng())?;
        if let Some((_, pause)) = self.pauses.get_mut(&choice.upstream) {
            pause.record_sent(now);
        }
        Ok(choice)
    }

    fn finish(&mut self, choice: &UpstreamChoice, outcome: DispatchOutcome, now: TimePoint) {
        let served = outcome == DispatchOutcome::Served;
        self.chooser.finish(&choice.ticket, served, now);
        let outcome = match outcome {
            DispatchOutcome::Served => UpstreamOutcome::Answered,
            DispatchOutcome::Failed => UpstreamOutcome::Failed,
            DispatchOutcome::Neutral => return,
        };
        if let Some(change) = self.ejection.record(&choice.upstream, outcome, now) {
            let event = LogEvent::UpstreamEjected.number();
            let upstream = change.upstream.as_str();
            tracing::warn!(event, upstream, "upstream ejected because its answers fail");
            self.set_weight(&change);
        }
    }

    fn update_ejected_weights(&mut self, now: TimePoint) {
        for change in self.ejection.weight_changes(now) {
            self.set_weight(&change);
        }
    }

    fn set_weight(&mut self, change: &WeightChange) {
        self.chooser.set_weight(&change.upstream, change.weight);
    }
}

/// A request that counts as running on an upstream until this is dropped. Its outcome is then
/// recorded; it is [`DispatchOutcome::Neutral`] unless set.
#[derive(Debug)]
pub struct Dispatch {
    choice: UpstreamChoice,
    pool: SharedPool,
    outcome: DispatchOutcome,
}

impl Dispatch {
    /// Chosen upstream.
    pub fn upstream(&self) -> &UpstreamId {
        &self.choice.upstream
    }

    /// Incarnation of the agent of the upstream.
    pub fn incarnation(&self) -> u64 {
        self.choice.incarnation
    }

    /// Address of the agent of the upstream.
    pub fn address(&self) -> SocketAddr {
        self.choice.address
    }

    /// Records a load that the agent has just reported.
    pub fn record_load(&self, load: &UpstreamLoad) {
        let report = LoadReport::from_message(load, BootClock.now());
        lock(&self.pool)
            .chooser
            .record_load(&self.choice.upstream, report);
    }

    /// Records that the agent has refused the request, because its upstream asks for a pause of
    /// `length`.
    pub fn record_pause(&self, length: Duration) {
        let begins = lock(&self.pool).record_pause(&self.choice, length, BootClock.now());
        if begins {
            tracing::info!(
                event = LogEvent::PauseStated.number(),
                upstream = self.choice.upstream.as_str(),
                pause_ms = length.as_millis() as u64,
                "an upstream asks for a pause; it gets no requests until then"
            );
        }
    }

    /// Records the first part of an answer to the request, which was sent at `sent_at`.
    pub fn record_answer(&self, sent_at: TimePoint) {
        let mut pool = lock(&self.pool);
        if let Some((_, pause)) = pool.pauses.get_mut(&self.choice.upstream) {
            pause.record_answer(sent_at, BootClock.now());
        }
    }

    /// Records the time from sending an urgent call to the first byte of its answer.
    pub fn record_first_byte(&self, time: Duration) {
        lock(&self.pool).hedges.record(time);
    }

    /// Time at which a hedge of this dispatch may start; `None` if the call must not be hedged, or
    /// there are too few samples or too little time.
    pub fn hedge_at(&self, first: &FirstAttempt) -> Option<TimePoint> {
        lock(&self.pool).hedges.hedge_at(first)
    }

    /// Sets the outcome that is recorded when the dispatch is dropped.
    pub fn set_outcome(&mut self, outcome: DispatchOutcome) {
        self.outcome = outcome;
    }
}

impl Drop for Dispatch {
    fn drop(&mut self) {
        lock(&self.pool).finish(&self.choice, self.outcome, BootClock.now());
    }
}

fn lock(pool: &SharedPool) -> MutexGuard<'_, ServicePool> {
    pool.lock().expect("no holder of a pool lock panics")
}
