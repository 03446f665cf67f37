//! Choice of an upstream that an entry calls directly.
//!
//! The choice compares the expected time to the first answer: the round trip, the work queued at
//! the upstream, and the part of the prompt that must be prefilled there. Queued work is what this
//! entry has sent without an answer so far, plus the last reported load of the other entries.
//!
//! The first answer is the response, or the first event if the response is a stream. A plain
//! request is one without a prompt.

use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;
use oriolecrank_policy::domain_spill::{SpillPacer, SpillSettings};
use oriolecrank_policy::outlier_ejection::{EjectionSettings, OutlierEjection, UpstreamOutcome};
use oriolecrank_policy::upstream_pause::UpstreamPause;
use oriolecrank_policy::upstream_state::UpstreamDistance;
use oriolecrank_schema::TimePoint;
use oriolecrank_schema::document::UpstreamId;
use rand::Rng;

use crate::choice_search::{Candidate, ChoiceSearch, LimitUse, RegionReach, serves_role};
use crate::direct_upstream::{CallTiming, DirectUpstream, DispatchTicket, UpstreamLoad};
use crate::engine::engine_status::EngineStatus;
use crate::engine::event_pace::{PauseSample, ServicePauses};
use crate::limit_report::{LimitReport, REPORT_LIFETIME};
use crate::names::{DomainName, SoftwareVersion, UpstreamName};
use crate::part_placement::{PartPlacements, PlacedParts};
use crate::prompt_shape::PromptShape;
use crate::reading_speed::ServiceReading;
use crate::request_rate::LimitStatement;
use crate::route_document::EngineSpec;
use crate::service_time::ServiceTime;
use crate::upstream_directory::{
    EngineRole, LeavingUpstream, SILENT_AFTER, UpstreamAnnouncement, UpstreamReadiness,
};

/// Settings of a [`DirectChooser`].
#[derive(Debug, Clone, PartialEq)]
pub struct ChooserSettings {
    /// Failure domain of this entry.
    pub domain: DomainName,
    /// Region of each failure domain.
    pub regions: IndexMap<DomainName, String>,
    /// Round trip to another failure domain of the same region.
    pub domain_round_trip: Duration,
    /// Round trip to another region; the deployments have 20 ms one way.
    pub region_round_trip: Duration,
    /// Speed at which an engine without streams is assumed to read prompts before an engine of its
    /// service has answered, in tokens per millisecond.
    pub initial_prefill_speed: f64,
    /// Service time assumed for plain requests before the first one is answered.
    pub initial_service_time: Duration,
    /// An upstream that has sent no announcement for this long gets requests only if no other can
    /// take them.
    pub silent_after: Duration,
    /// Requests that may wait at an upstream without a model engine, per slot. Has no effect:
    /// nothing reads it.
    pub queue_per_slot: f64,
    /// When requests leave the failure domain and the region.
    pub spill: SpillSettings,
    /// Whether the choice takes the observed pauses of each engine's streams into account.
    pub observe_pauses: bool,
    /// Ejection of failing upstreams.
    pub ejection: EjectionSettings,
}

impl Default for ChooserSettings {
    fn default() -> Self {
        Self {
            domain: DomainName::from(""),
            regions: IndexMap::new(),
            domain_round_trip: Duration::from_millis(3),
            region_round_trip: Duration::from_millis(42),
            initial_prefill_speed: 400.0,
            initial_service_time: Duration::from_millis(30),
            silent_after: SILENT_AFTER,
            queue_per_slot: 3.0,
            spill: SpillSettings::default(),
            observe_pauses: false,
            ejection: EjectionSettings {
                // A crashed upstream fails all its requests, so three failures in a row are
                // conclusive.
                consecutive_failures: 3,
                first_ejection: Duration::from_millis(1_500),
                // Upstreams recover within seconds; a longer ejection would leave capacity unused.
                max_ejection: Duration::from_secs(6),
                recovery_time: Duration::from_secs(2),
                ..EjectionSettings::default()
            },
        }
    }
}

/// A request for which an upstream is chosen.
#[derive(Debug, Clone, Copy)]
pub struct ChoiceRequest<'a> {
    /// Prompt, if the upstreams are model engines; `None` for a plain request.
    pub prompt: Option<&'a PromptShape>,
    /// Upstreams to which this request was sent before; they are not chosen again.
    pub tried: &'a [UpstreamName],
    /// Time left until the deadline of the answer.
    pub time_left: Duration,
    /// Time left until the answer misses its target; zero once it has.
    pub time_to_target: Duration,
    /// Longest pause between two events of a stream of this kind that is on time.
    pub pause_target: Duration,
    /// Number of entries that share the connections of an upstream.
    pub entries: u32,
    /// Whether another engine than the serving one may prefill the prompt.
    pub allow_remote_prefill: bool,
    /// Size of the request body, in bytes.
    pub body_bytes: u64,
    /// Priority of the request; 0 is the most urgent.
    pub priority: u8,
    /// Software versions that may serve the request.
    pub versions: VersionFilter<'a>,
}

/// Software versions that may serve a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum VersionFilter<'a> {
    /// All.
    #[default]
    Any,
    /// Those that are admitted for streams, if a control instance has told them.
    Admitted,
    /// The version that began the stream, at upstreams that have been heard lately.
    Only(&'a SoftwareVersion),
}

/// Why no upstream was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoUpstream {
    /// No upstream is ready, untried and has a free connection.
    None,
    /// Upstreams are ready, but none of them has the role that serves requests.
    NoServingRole,
    /// Upstreams serve requests, but none of them has a software version that may serve this one.
    NoVersion,
    /// No upstream can answer before the deadline. Holds the estimated wait until one could; zero
    /// if unknown.
    Full(Duration),
    /// The limits that upstreams state leave no request for this one. Holds the time until they do.
    Limited(Duration),
    /// All upstreams that could serve the request ask for a pause.
    Paused {
        /// Time after which the caller may come back.
        wait: Duration,
        /// Time since the upstream whose pause ends first has asked for it.
        age: Duration,
    },
}

/// Numbers of upstreams of a service, as an entry knows them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct UpstreamCensus {
    /// Upstreams that have not left, with those that are silent or ejected.
    pub known: usize,
    /// Those of `known` that state that they are ready, and not that they leave.
    pub ready: usize,
    /// Those of `ready` whose role serves requests.
    pub serving: usize,
    /// Those of `serving` that ask for a pause.
    pub paused: usize,
}

/// Upstreams chosen for a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallPlan {
    /// Whether the answer is expected within its target.
    pub timing: CallTiming,
    /// Whether another region would have cost less, but this entry has used its part of the room
    /// there.
    pub kept_in_region: bool,
    /// Engine that prefills the prompt, if that costs less than a prefill at `serving_upstream`.
    pub prefill_upstream: Option<ChosenUpstream>,
    /// Upstream that serves the request.
    pub serving_upstream: ChosenUpstream,
}

impl CallPlan {
    /// Tokens of the prompt that the engines have to read.
    pub fn prefill_tokens(&self) -> u64 {
        let prefill = self.prefill_upstream.as_ref();
        let prefill_tokens = prefill.map_or(0, |chosen| chosen.ticket.prefill_tokens);
        prefill_tokens + self.serving_upstream.ticket.prefill_tokens
    }
}

/// A chosen upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChosenUpstream {
    /// Latest announcement of the upstream.
    pub announcement: UpstreamAnnouncement,
    /// Version of its software at the choice; `None` if it is unknown or not known for certain.
    pub confirmed_version: Option<SoftwareVersion>,
    /// Identifies the request in [`DirectChooser::finish`], which removes its load.
    pub ticket: DispatchTicket,
    /// Expected time to the first answer, including the round trip.
    pub expected_first_answer: Duration,
    /// Distance of the upstream from this entry.
    pub distance: UpstreamDistance,
    /// Round trip to the upstream.
    pub round_trip: Duration,
    /// Address of an engine with a longer cached prefix of the prompt; the upstream fetches the
    /// prefix from there.
    pub fetch_from: Option<SocketAddr>,
}

/// Candidates for a request, before it is counted as sent.
#[derive(Debug)]
pub(crate) struct CandidatePlan {
    pub(crate) timing: CallTiming,
    pub(crate) kept_in_region: bool,
    pub(crate) prefill_upstream: Option<Candidate>,
    pub(crate) serving_upstream: Candidate,
}

impl CandidatePlan {
    /// Indices of the upstreams that get a message.
    fn indices(&self) -> impl Iterator<Item = usize> {
        let prefill = self.prefill_upstream.iter();
        let candidates = prefill.chain([&self.serving_upstream]);
        candidates.map(|candidate| candidate.index)
    }
}

/// Chooses among the upstreams of one service at one entry, and tracks their load.
#[derive(Debug)]
pub struct DirectChooser {
    pub(crate) settings: ChooserSettings,
    /// Engine properties of the service, from the route document.
    pub(crate) engine: Option<EngineSpec>,
    /// Connections that an upstream accepts from all entries together; 0 if the document sets no
    /// limit.
    max_connections: u32,
    pub(crate) upstreams: IndexMap<UpstreamName, DirectUpstream>,
    /// Software versions that are admitted for streams; `None` if no control instance has told them.
    admitted: Option<Vec<Option<SoftwareVersion>>>,
    ejection: OutlierEjection,
    /// When the loads of other entries were reported last. They count for [`REPORT_LIFETIME`], because
    /// an entry that no control instance answers would count them for good.
    pub(crate) remote_loads_at: TimePoint,
    /// Work that this entry has lately sent to other regions.
    pub(crate) spill: SpillPacer,
    /// Recent placements of shared prompt parts by all entries.
    pub(crate) placements: PartPlacements,
    /// Mean service time of a plain request.
    service_time: ServiceTime,
    /// Reading speeds of the service's engines.
    pub(crate) reading: ServiceReading,
    /// Pauses of the streams of the service's engines.
    pauses: ServicePauses,
}

/// A request counts as on time if its answer is expected within this share of the time to its
/// target. Entries learn of each other's requests after half a second, so actual waits exceed the
/// estimate.
pub(crate) const ON_TIME_TARGET_SHARE: f64 = 0.65;

/// Time without an answer after which an estimate that keeps requests away is given up.
pub(crate) const ESTIMATE_LIFETIME: Duration = Duration::from_secs(5);

impl DirectChooser {
    /// Creates a chooser without upstreams.
    pub fn new(settings: ChooserSettings) -> Self {
        Self {
            engine: None,
            max_connections: 0,
            upstreams: IndexMap::new(),
            admitted: None,
            ejection: OutlierEjection::new(settings.ejection.clone()),
            remote_loads_at: TimePoint::default(),
            spill: SpillPacer::default(),
            placements: PartPlacements::default(),
            service_time: ServiceTime::new(settings.initial_service_time),
            reading: ServiceReading::new(settings.initial_prefill_speed),
            pauses: ServicePauses::default(),
            settings,
        }
    }

    /// Number of known upstreams.
    pub fn len(&self) -> usize {
        self.upstreams.len()
    }

    /// Whether no upstream is known.
    pub fn is_empty(&self) -> bool {
        self.upstreams.is_empty()
    }

    /// Sets the engine properties of the service; `None` if its upstreams are not model engines.
    pub const fn set_engine(&mut self, engine: Option<EngineSpec>) {
        self.engine = engine;
    }

    /// Sets how many connections an upstream accepts from all entries together; 0 means no limit.
    pub const fn set_max_connections(&mut self, max_connections: u32) {
        self.max_connections = max_connections;
    }

    /// Sets the software versions that are admitted for streams.
    pub fn set_admitted(&mut self, admitted: Vec<Option<SoftwareVersion>>) {
        self.admitted = Some(admitted);
    }

    /// Whether the software version of an upstream may serve a request.
    pub(crate) fn is_version_allowed(
        &self,
        upstream: &DirectUpstream,
        versions: VersionFilter<'_>,
        now: TimePoint,
    ) -> bool {
        let version = &upstream.announcement().version;
        match (versions, &self.admitted) {
            (VersionFilter::Any, _) | (VersionFilter::Admitted, None) => true,
            (VersionFilter::Admitted, Some(admitted)) => admitted.contains(version),
            (VersionFilter::Only(only), _) => upstream.confirmed_version(now) == Some(only),
        }
    }

    /// Whether this entry may open another connection to an upstream; each running request has one.
    pub(crate) fn may_connect(&self, upstream: &DirectUpstream, entries: u32) -> bool {
        let own_share = (self.max_connections / entries.max(1)).max(1);
        self.max_connections == 0 || upstream.local_running() < own_share
    }

    /// Adds, updates or removes an upstream by its announcement, received at `received_at`. A new
    /// incarnation starts without load.
    pub fn apply_announcement(
        &mut self,
        announcement: &UpstreamAnnouncement,
        received_at: TimePoint,
    ) {
        if announcement.state == UpstreamReadiness::Left {
            self.upstreams.shift_remove(&announcement.name);
        } else {
            let known = self.upstreams.get_mut(&announcement.name);
            match known.filter(|known| known.started_ms() == announcement.started_ms) {
                Some(known) => known.apply_announcement(announcement, received_at),
                None => {
                    let upstream = DirectUpstream::new(announcement.clone(), received_at);
                    self.upstreams.insert(announcement.name.clone(), upstream);
                }
            }
        }
        let ids: Vec<UpstreamId> = self.upstreams.keys().map(upstream_id).collect();
        self.ejection.set_upstreams(&ids);
    }

    /// Sets the load that other entries have reported for an upstream.
    pub fn set_remote_load(&mut self, name: &str, load: UpstreamLoad) {
        if let Some(upstream) = self.upstreams.get_mut(name) {
            upstream.set_remote_load(load);
        }
    }

    /// Sets the loads that other entries have reported to 0, before those reported at `now` are set.
    pub fn clear_remote_loads(&mut self, now: TimePoint) {
        self.remote_loads_at = now;
        for upstream in self.upstreams.values_mut() {
            upstream.set_remote_load(UpstreamLoad::default());
        }
    }

    /// Removes the upstream if its announcement now states another service than the one known here.
    pub fn remove_reassigned(&mut self, announcement: &UpstreamAnnouncement) {
        let known = self.upstreams.get(&announcement.name);
        if known.is_some_and(|known| known.announcement().service != announcement.service) {
            self.upstreams.shift_remove(&announcement.name);
        }
    }

    /// Load that this entry has put on each upstream; upstreams without load are left out.
    pub fn local_loads(
        &self,
        now: TimePoint,
    ) -> impl Iterator<Item = (&UpstreamName, UpstreamLoad)> {
        let loads = self
            .upstreams
            .iter()
            .map(move |(name, known)| (name, known.local_load(now)));
        loads.filter(|(_, load)| *load != UpstreamLoad::default())
    }

    /// Records where another entry has placed shared prompt parts. Placements at unknown upstreams
    /// are ignored.
    pub fn apply_placements(&mut self, placed: &PlacedParts, now: TimePoint) {
        if self.upstreams.contains_key(&placed.upstream) {
            for part in &placed.parts {
                self.placements.record(*part, &placed.upstream, now);
            }
        }
    }

    /// Removes expired placements of prompt parts.
    pub fn prune_placements(&mut self, now: TimePoint) {
        self.placements.prune(now);
    }

    /// Chooses upstreams and counts the request as sent to them.
    ///
    /// Fails with [`NoUpstream`] if none is usable, or if none is expected to answer before the
    /// deadline.
    pub fn choose<R: Rng>(
        &mut self,
        request: &ChoiceRequest<'_>,
        now: TimePoint,
        random: &mut R,
    ) -> Result<CallPlan, NoUpstream> {
        for change in self.ejection.weight_changes(now) {
            if let Some(upstream) = self.upstreams.get_mut(change.upstream.as_str()) {
                upstream.weight = change.weight;
            }
        }
        if now.since(self.remote_loads_at) > REPORT_LIFETIME {
            self.clear_remote_loads(now);
        }
        self.refill_limit_shares(request.entries, now);
        self.spill.refresh(&self.settings.spill, now, random);
        let wanted = self.find_plan(request, LimitUse::Ignored, now, random)?;
        let plan = if self.is_within_limits(&wanted, request.priority, now) {
            wanted
        } else {
            self.record_missed(&wanted, request.priority, now);
            let plan = self.find_plan(request, LimitUse::Kept, now, random);
            plan.map_err(|_| NoUpstream::Limited(self.reserve_return(request, now)))?
        };
        self.record_spill(&plan, now);
        let timing = plan.timing;
        let prefill_upstream = plan.prefill_upstream;
        self.record_placement(request, plan.serving_upstream.index, now);
        Ok(CallPlan {
            timing,
            kept_in_region: plan.kept_in_region,
            prefill_upstream: prefill_upstream
                .map(|prefill_upstream| self.dispatch_to(&prefill_upstream, request, timing, now)),
            serving_upstream: self.dispatch_to(&plan.serving_upstream, request, timing, now),
        })
    }

    /// Whether [`choose`](Self::choose) would find an upstream now; the request is not counted as
    /// sent.
    pub fn can_choose<R: Rng>(
        &self,
        request: &ChoiceRequest<'_>,
        now: TimePoint,
        random: &mut R,
    ) -> bool {
        self.find_plan(request, LimitUse::Kept, now, random).is_ok()
    }

    fn refill_limit_shares(&mut self, entries: u32, now: TimePoint) {
        let upstreams = self.upstreams.values_mut();
        let shares = upstreams.filter_map(|upstream| upstream.limit.share.as_mut());
        for share in shares {
            share.refill(entries, now);
        }
    }

    fn is_within_limits(&self, plan: &CandidatePlan, priority: u8, now: TimePoint) -> bool {
        plan.indices().all(|index| {
            let upstream = self.upstreams.get_index(index);
            upstream.is_none_or(|(_, upstream)| upstream.limit.allows(priority, now))
        })
    }

    /// Records that the plan was not followed because of the limits of its upstreams.
    fn record_missed(&mut self, plan: &CandidatePlan, priority: u8, now: TimePoint) {
        for index in plan.indices() {
            let upstream = self.upstreams.get_index_mut(index);
            let share = upstream.and_then(|(_, upstream)| upstream.limit.share.as_mut());
            if let Some(share) = share.filter(|share| !share.allows(priority, now)) {
                share.record_missed(priority, now);
            }
        }
    }

    /// Time until one of the limited upstreams has a request for the caller. The place is kept for
    /// it if it can come back before its deadline.
    fn reserve_return(&mut self, request: &ChoiceRequest<'_>, now: TimePoint) -> Duration {
        let upstreams = self.upstreams.values_mut();
        let untried =
            upstreams.filter(|upstream| !request.tried.contains(&upstream.announcement().name));
        let shares = untried.filter_map(|upstream| {
            let pause = upstream.pause.return_time(now);
            upstream.limit.share.as_mut().map(|share| (share, pause))
        });
        let first = shares.min_by_key(|(share, pause)| share.return_time(now).max(*pause));
        let Some((first, pause)) = first else {
            return Duration::ZERO;
        };
        let wait = first.return_time(now).max(pause);
        if wait < request.time_left {
            first.reserve_return(wait, now);
        }
        wait
    }

    /// Candidates that are expected to answer within the target, or else at least before the
    /// deadline.
    fn find_plan<R: Rng>(
        &self,
        request: &ChoiceRequest<'_>,
        limits: LimitUse,
        now: TimePoint,
        random: &mut R,
    ) -> Result<CandidatePlan, NoUpstream> {
        let on_time = self.paced_search(request, CallTiming::OnTime, limits, now, random)?;
        let limit = request.time_to_target.mul_f64(ON_TIME_TARGET_SHARE);
        let timing = if on_time.serving_upstream.expected() <= limit {
            CallTiming::OnTime
        } else {
            CallTiming::Late
        };
        let plan = match timing {
            CallTiming::OnTime => on_time,
            CallTiming::Late => self
                .paced_search(request, timing, limits, now, random)
                .map_err(|_| NoUpstream::Full(Duration::ZERO))?,
        };
        let expected = plan.serving_upstream.expected();
        if expected > request.time_left {
            return Err(NoUpstream::Full(expected.saturating_sub(request.time_left)));
        }
        Ok(plan)
    }

    pub(crate) fn search<R: Rng>(
        &self,
        request: &ChoiceRequest<'_>,
        timing: CallTiming,
        limits: LimitUse,
        reach: RegionReach,
        now: TimePoint,
        random: &mut R,
    ) -> Result<CandidatePlan, NoUpstream> {
        let search = ChoiceSearch {
            chooser: self,
            request,
            timing,
            limits,
            reach,
            now,
        };
        let direct = search.serving_upstream(None, random);
        let remote_prefill = search.remote_prefill(random);
        let (prefill_upstream, serving_upstream) = match (direct, remote_prefill) {
            (Some(direct), Some((prefill_upstream, serving_upstream)))
                if serving_upstream.cost_ms < direct.cost_ms =>
            {
                (Some(prefill_upstream), serving_upstream)
            }
            (None, Some((prefill_upstream, serving_upstream))) => {
                (Some(prefill_upstream), serving_upstream)
            }
            (Some(direct), _) => (None, direct),
            (None, None) => return Err(self.reason_without_candidate(request, now)),
        };
        Ok(CandidatePlan {
            timing,
            kept_in_region: false,
            prefill_upstream,
            serving_upstream,
        })
    }

    fn reason_without_candidate(&self, request: &ChoiceRequest<'_>, now: TimePoint) -> NoUpstream {
        let census = self.census(now);
        if census.ready > 0 && census.serving == 0 {
            return NoUpstream::NoServingRole;
        }
        let upstreams = self.upstreams.values();
        let mut serving = upstreams.filter(|upstream| is_serving(upstream));
        if census.serving > 0
            && !serving.any(|upstream| self.is_version_allowed(upstream, request.versions, now))
        {
            return NoUpstream::NoVersion;
        }
        self.common_pause(request.versions, now)
            .map_or(NoUpstream::None, |pause| NoUpstream::Paused {
                wait: pause.return_time(now),
                age: pause.age(now),
            })
    }

    /// The pause that ends first, if all upstreams that serve requests at these versions ask for one.
    pub fn common_pause(
        &self,
        versions: VersionFilter<'_>,
        now: TimePoint,
    ) -> Option<UpstreamPause> {
        let upstreams = self.upstreams.values();
        let serving = upstreams.filter(|upstream| {
            is_serving(upstream) && self.is_version_allowed(upstream, versions, now)
        });
        let first = serving.min_by_key(|upstream| upstream.pause.time_left(now))?;
        let pause = first.pause;
        pause.time_left(now).map(|_| pause)
    }

    /// Numbers of upstreams, to explain why none was chosen.
    pub fn census(&self, now: TimePoint) -> UpstreamCensus {
        let mut census = UpstreamCensus {
            known: self.upstreams.len(),
            ..UpstreamCensus::default()
        };
        for upstream in self.upstreams.values() {
            census.ready += usize::from(upstream.is_ready());
            let is_serving = is_serving(upstream);
            census.serving += usize::from(is_serving);
            let is_paused = upstream.pause.time_left(now).is_some();
            census.paused += usize::from(is_serving && is_paused);
        }
        census
    }

    /// Records that the serving engine caches the shared part of the prompt.
    fn record_placement(&mut self, request: &ChoiceRequest<'_>, index: usize, now: TimePoint) {
        let part = request.prompt.and_then(PromptShape::shared_part);
        if let Some((part, (name, _))) = part.zip(self.upstreams.get_index(index)) {
            self.placements.record(part, name, now);
        }
    }

    /// Counts a request as sent to a candidate.
    fn dispatch_to(
        &mut self,
        candidate: &Candidate,
        request: &ChoiceRequest<'_>,
        timing: CallTiming,
        now: TimePoint,
    ) -> ChosenUpstream {
        let fetch_from = candidate.fetch_from.and_then(|index| {
            let (_, holder) = self.upstreams.get_index(index)?;
            Some(holder.announcement().address)
        });
        let (_, upstream) = self
            .upstreams
            .get_index(candidate.index)
            .expect("the index was found in the table");
        let (distance, round_trip_ms) = (self.distance_to(upstream), self.round_trip_ms(upstream));
        let cache_tokens = self.engine.map_or(0, |engine| engine.cache_tokens);
        let (_, upstream) = self
            .upstreams
            .get_index_mut(candidate.index)
            .expect("the index was found in the table");
        if let Some(share) = &mut upstream.limit.share {
            share.record_sent(now);
        }
        upstream.pause.record_sent(now);
        ChosenUpstream {
            ticket: upstream.dispatch(
                request.prompt,
                cache_tokens,
                candidate.prefill_tokens,
                timing,
                &self.reading,
                now,
            ),
            distance,
            round_trip: Duration::from_secs_f64(round_trip_ms / 1_000.0),
            fetch_from,
            announcement: upstream.announcement().clone(),
            confirmed_version: upstream.confirmed_version(now).cloned(),
            expected_first_answer: candidate.expected(),
        }
    }

    /// Records that the request is sent only now, after another engine has prefilled its prompt.
    pub fn mark_sent(&mut self, chosen: &ChosenUpstream, now: TimePoint) {
        if let Some(upstream) = self.upstreams.get_mut(&chosen.announcement.name) {
            upstream.mark_sent(&chosen.ticket, now);
        }
    }

    /// Records the first answer of a request, `elapsed` after it was sent, which asks for no pause.
    pub fn record_first_answer(
        &mut self,
        chosen: &mut ChosenUpstream,
        elapsed: Duration,
        now: TimePoint,
    ) {
        if let Some(upstream) = self.upstreams.get_mut(&chosen.announcement.name) {
            let sent_ms = now.as_millis().saturating_sub(elapsed.as_millis() as u64);
            let sent_at = TimePoint::from_millis(sent_ms);
            upstream.pause.record_answer(sent_at, now);
            let elapsed = elapsed.saturating_sub(chosen.round_trip);
            upstream.record_first_answer(&mut chosen.ticket, elapsed, &mut self.reading, now);
        }
    }

    /// When a request started at its upstream, given when it was sent and when its first answer
    /// arrived: for a plain request, when it reached the upstream; for an engine, when the first
    /// token was generated, as the engine collects several tokens before it sends the first event.
    pub fn start_time(
        &self,
        chosen: &ChosenUpstream,
        sent: TimePoint,
        answered: TimePoint,
    ) -> TimePoint {
        let one_way = chosen.round_trip / 2;
        if chosen.announcement.role.is_none() {
            return sent + one_way;
        }
        let upstream = self.upstreams.get(&chosen.announcement.name);
        let collection_time =
            upstream.map_or(Duration::ZERO, DirectUpstream::event_collection_time);
        let delay = one_way + collection_time;
        let started_ms = answered
            .as_millis()
            .saturating_sub(delay.as_millis() as u64);
        TimePoint::from_millis(started_ms).max(sent)
    }

    /// Records that the machine of an upstream refuses connections, as after a crash. Until it is heard
    /// again, it may have restarted with another version of its software.
    pub fn record_refused_connection(&mut self, name: &str, now: TimePoint) {
        if let Some(upstream) = self.upstreams.get_mut(name) {
            upstream.record_refused_connection(now);
        }
    }

    /// Records that the upstream has refused a request without running it.
    pub fn record_refusal(&mut self, name: &str, now: TimePoint) {
        if let Some(upstream) = self.upstreams.get_mut(name) {
            upstream.record_refusal(now);
        }
    }

    /// Records that an upstream asks for a pause; returns whether this begins one. Has no effect if
    /// another incarnation is known by now.
    pub fn record_pause(
        &mut self,
        upstream: &UpstreamAnnouncement,
        pause: Duration,
        now: TimePoint,
    ) -> bool {
        let known = self.upstreams.get_mut(&upstream.name);
        let known = known.filter(|known| known.started_ms() == upstream.started_ms);
        known.is_some_and(|known| known.pause.record(pause, now))
    }

    /// Records that an upstream has stated that it leaves; returns whether this is new. Has no effect
    /// if another incarnation is known by now.
    pub fn record_leaving(&mut self, upstream: &UpstreamAnnouncement) -> bool {
        let known = self.upstreams.get_mut(&upstream.name);
        let known = known.filter(|known| known.started_ms() == upstream.started_ms);
        known.is_some_and(|known| !std::mem::replace(&mut known.leaving, true))
    }

    /// Upstreams that have stated to this entry that they leave, and that are announced as ready.
    pub fn leaving_upstreams(&self) -> impl Iterator<Item = LeavingUpstream> {
        let upstreams = self.upstreams.values();
        let leaving = upstreams.filter(|upstream| {
            upstream.leaving && upstream.announcement().state == UpstreamReadiness::Ready
        });
        leaving.map(|upstream| LeavingUpstream {
            upstream: upstream.announcement().name.clone(),
            started_ms: upstream.started_ms(),
        })
    }

    /// Whether a chosen upstream wants no more requests by now, because it leaves or asks for a pause.
    pub fn must_withhold(&self, chosen: &ChosenUpstream, now: TimePoint) -> bool {
        let upstream = self.upstreams.get(&chosen.announcement.name);
        upstream
            .is_some_and(|upstream| !upstream.is_ready() || upstream.pause.time_left(now).is_some())
    }

    /// Records what the answer of an upstream to a request sent at `sent_at` says about its limit;
    /// returns whether the limit has changed.
    pub fn record_limit<R: Rng>(
        &mut self,
        name: &str,
        statement: LimitStatement,
        sent_at: TimePoint,
        now: TimePoint,
        random: &mut R,
    ) -> bool {
        let upstream = self.upstreams.get_mut(name);
        upstream.is_some_and(|upstream| upstream.limit.record(statement, sent_at, now, random))
    }

    /// Counts a message to an upstream that is sent without a choice, such as the release of a
    /// prefilled prompt, against the limit like a request. Returns whether it may be sent, which the
    /// upstream's pause forbids.
    pub fn count_extra_message(&mut self, upstream: &UpstreamAnnouncement, now: TimePoint) -> bool {
        let Some(known) = self.upstreams.get_mut(&upstream.name) else {
            return true;
        };
        if known.pause.time_left(now).is_some() {
            return false;
        }
        if let Some(share) = known.limit.share.as_mut() {
            share.record_sent(now);
        }
        true
    }

    /// Reports about upstreams that state limits or have done so lately, for the leader.
    pub fn limit_reports(&mut self, now: TimePoint) -> Vec<LimitReport> {
        let upstreams = self.upstreams.values_mut();
        upstreams
            .filter_map(|upstream| upstream.limit_report(now))
            .collect()
    }

    /// Applies what the leader tells about a limit; returns whether the limit has changed. A report
    /// about an unknown incarnation is ignored.
    pub fn apply_limit_report<R: Rng>(
        &mut self,
        report: &LimitReport,
        now: TimePoint,
        random: &mut R,
    ) -> bool {
        let upstream = self.upstreams.get_mut(&report.upstream);
        let upstream = upstream.filter(|upstream| upstream.started_ms() == report.started_ms);
        upstream.is_some_and(|upstream| upstream.limit.apply_report(report, now, random))
    }

    /// Removes the load of a request that has ended. `service_time` is given for a plain request
    /// that was answered.
    pub fn finish(
        &mut self,
        name: &str,
        ticket: &DispatchTicket,
        service_time: Option<Duration>,
        now: TimePoint,
    ) {
        if let Some(upstream) = self.upstreams.get_mut(name) {
            upstream.finish(ticket, now);
        }
        if let Some(time) = service_time {
            self.service_time.record(time, now);
        }
    }

    /// Whether an upstream has answered this entry after `since`. An upstream that lets one request
    /// wait but answers others meanwhile is slow or full, but has not failed.
    pub fn has_answered(&self, name: &str, since: TimePoint) -> bool {
        let upstream = self.upstreams.get(name);
        upstream.is_some_and(|upstream| upstream.has_answered(since))
    }

    /// Records the outcome of an attempt; returns whether it causes the ejection of the upstream.
    pub fn record(
        &mut self,
        name: &UpstreamName,
        outcome: UpstreamOutcome,
        now: TimePoint,
    ) -> bool {
        let change = self.ejection.record(&upstream_id(name), outcome, now);
        let Some(change) = change else {
            return false;
        };
        if let Some(upstream) = self.upstreams.get_mut(name) {
            upstream.weight = change.weight;
        }
        true
    }

    /// Records pauses between the events of a stream. Has no effect if another incarnation of the
    /// upstream is known by now.
    pub fn record_pauses(
        &mut self,
        upstream: &UpstreamAnnouncement,
        sample: PauseSample,
        now: TimePoint,
    ) {
        let known = self.upstreams.get_mut(&upstream.name);
        let known = known.filter(|known| known.started_ms() == upstream.started_ms);
        let Some(known) = known else { return };
        let mean_ms = known.pace.mean_ms(now);
        self.pauses.record(sample, mean_ms, now);
        known.pace.record(sample, now);
    }

    /// What this entry knows of an upstream, for the log; `None` if it is unknown.
    pub fn engine_status(&self, name: &str, now: TimePoint) -> Option<EngineStatus> {
        let upstream = self.upstreams.get(name)?;
        Some(upstream.engine_status(&self.reading, now))
    }

    /// Observed pauses of the service's streams; `None` if the settings ask for no estimate of them.
    pub(crate) fn observed_pauses(&self) -> Option<&ServicePauses> {
        self.settings.observe_pauses.then_some(&self.pauses)
    }

    /// Mean service time of a plain request, in milliseconds.
    pub(crate) fn mean_service_ms(&self, now: TimePoint) -> f64 {
        self.service_time.mean_ms(now)
    }
}

/// Whether an upstream is ready and has the role that serves requests.
fn is_serving(upstream: &DirectUpstream) -> bool {
    upstream.is_ready() && serves_role(upstream, EngineRole::Decode)
}

fn upstream_id(name: &UpstreamName) -> UpstreamId {
    UpstreamId(name.as_str().to_owned())
}
