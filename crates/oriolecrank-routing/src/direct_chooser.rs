//! Choice of an upstream that an entry calls directly.
//!
//! The choice compares the expected time to the first answer: the way there, the work that waits at
//! the upstream, and the part of the prompt that it must read. Work that waits is what this entry
//! has sent and not seen answered, and what the other entries have last reported.

use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;
use oriolecrank_policy::outlier_ejection::{EjectionSettings, OutlierEjection, UpstreamOutcome};
use oriolecrank_schema::TimePoint;
use oriolecrank_schema::document::UpstreamId;
use rand::Rng;

use crate::choice_search::{Candidate, ChoiceSearch};
use crate::direct_upstream::{CallTiming, DirectUpstream, DispatchTicket, UpstreamLoad};
use crate::names::{DomainName, UpstreamName};
use crate::part_placement::{PartPlacements, PlacedParts};
use crate::prompt_shape::PromptShape;
use crate::route_document::EngineSpec;
use crate::upstream_directory::{UpstreamAnnouncement, UpstreamReadiness};

/// Constants of the choice.
#[derive(Debug, Clone, PartialEq)]
pub struct ChooserSettings {
    /// Own failure domain.
    pub domain: DomainName,
    /// Regions of failure domains.
    pub regions: IndexMap<DomainName, String>,
    /// Round trip to another failure domain of the region.
    pub domain_round_trip: Duration,
    /// Round trip to another region; the deployments have 20 ms one way.
    pub region_round_trip: Duration,
    /// Reading speed of an engine that has answered nothing yet, in tokens per millisecond. Low, so
    /// that a new engine is not flooded.
    pub initial_prefill_speed: f64,
    /// Time of a plain call to a service that has answered nothing yet.
    pub initial_service_time: Duration,
    /// An upstream that has announced nothing for this long gets no requests while others can take
    /// them: four heartbeats.
    pub silent_after: Duration,
    /// Requests that may wait at a plain upstream for each slot.
    pub queue_per_slot: f64,
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
            initial_prefill_speed: 200.0,
            initial_service_time: Duration::from_millis(30),
            silent_after: Duration::from_millis(4_800),
            queue_per_slot: 3.0,
            ejection: EjectionSettings {
                // A crashed server fails everything at once; three failures are no coincidence.
                consecutive_failures: 3,
                first_ejection: Duration::from_millis(1_500),
                // Servers return within seconds; a longer ejection wastes them.
                max_ejection: Duration::from_secs(6),
                recovery_time: Duration::from_secs(2),
                ..EjectionSettings::default()
            },
        }
    }
}

/// What a request asks for.
#[derive(Debug, Clone, Copy)]
pub struct ChoiceRequest<'a> {
    /// Prompt, if the service runs model engines.
    pub prompt: Option<&'a PromptShape>,
    /// Upstreams that this request was sent to before.
    pub tried: &'a [UpstreamName],
    /// Time left for the answer.
    pub time_left: Duration,
    /// Time left until the answer is late; at least nothing.
    pub time_to_target: Duration,
    /// Entries that share the connections of an upstream.
    pub entries: u32,
    /// Another engine than the one that runs the request may read the prompt.
    pub allow_remote_prefill: bool,
}

/// Why no upstream was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoUpstream {
    /// None is known, or all were tried.
    None,
    /// All have as much work as they can finish in time; the wait until there is room.
    Full(Duration),
}

/// Where a request goes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallPlan {
    /// Whether the answer is expected in time.
    pub timing: CallTiming,
    /// Engine that reads the prompt first, if that is faster.
    pub prefill_upstream: Option<ChosenUpstream>,
    /// Upstream that runs the request.
    pub serving_upstream: ChosenUpstream,
}

/// A chosen upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChosenUpstream {
    /// What it says of itself.
    pub announcement: UpstreamAnnouncement,
    /// Work that the request brings, to be given back when it ends.
    pub ticket: DispatchTicket,
    /// Expected time to the first answer.
    pub expected_first_answer: Duration,
    /// Round trip to the upstream.
    pub round_trip: Duration,
    /// Engine that keeps a longer begin of the prompt, which the upstream is to fetch.
    pub fetch_from: Option<SocketAddr>,
}

/// Candidates for a request.
#[derive(Debug)]
struct FoundPlan {
    timing: CallTiming,
    prefill_upstream: Option<Candidate>,
    serving_upstream: Candidate,
}

/// Loads of one service's upstreams at one entry.
#[derive(Debug)]
pub struct DirectChooser {
    pub(crate) settings: ChooserSettings,
    /// What the document says of the service's engines.
    pub(crate) engine: Option<EngineSpec>,
    /// Connections that an upstream accepts from all entries together; 0 if the document states none.
    max_connections: u32,
    pub(crate) upstreams: IndexMap<UpstreamName, DirectUpstream>,
    ejection: OutlierEjection,
    /// Engines that keep shared prompt parts, by the requests of all entries.
    pub(crate) places: PartPlacements,
    /// Mean time of a plain call, in milliseconds.
    pub(crate) call_ms: f64,
}

/// Part of the time to the target that a request on time may be expected to take. Entries learn of
/// each other's requests after half a second, so that waits grow beyond what was expected; measured
/// best between 0.5 and 0.75.
const ON_TIME_PART: f64 = 0.65;

/// Weight of a new observation in the mean of call times.
const CALL_WEIGHT: f64 = 0.02;

impl DirectChooser {
    /// A chooser without upstreams.
    pub fn new(settings: ChooserSettings) -> Self {
        Self {
            engine: None,
            max_connections: 0,
            upstreams: IndexMap::new(),
            ejection: OutlierEjection::new(settings.ejection.clone()),
            places: PartPlacements::default(),
            call_ms: settings.initial_service_time.as_secs_f64() * 1_000.0,
            settings,
        }
    }

    /// Number of upstreams.
    pub fn len(&self) -> usize {
        self.upstreams.len()
    }

    /// Whether no upstream is known.
    pub fn is_empty(&self) -> bool {
        self.upstreams.is_empty()
    }

    /// Takes over the engine sheet of the document.
    pub const fn set_engine(&mut self, engine: Option<EngineSpec>) {
        self.engine = engine;
    }

    /// Takes over how many connections an upstream accepts from all entries together.
    pub const fn set_max_connections(&mut self, max_connections: u32) {
        self.max_connections = max_connections;
    }

    /// Whether this entry may open another connection to an upstream; each running request has one.
    pub(crate) fn may_connect(&self, upstream: &DirectUpstream, entries: u32) -> bool {
        let own_part = (self.max_connections / entries.max(1)).max(1);
        self.max_connections == 0 || upstream.own_running() < own_part
    }

    /// Takes over what an upstream says of itself; `received_at` is the time of the statement.
    pub fn apply_announcement(
        &mut self,
        announcement: &UpstreamAnnouncement,
        received_at: TimePoint,
    ) {
        if announcement.state == UpstreamReadiness::Left {
            self.upstreams.shift_remove(&announcement.name);
        } else {
            let initial_prefill_speed = self.settings.initial_prefill_speed;
            let known = self.upstreams.get_mut(&announcement.name);
            match known.filter(|known| known.started_ms() == announcement.started_ms) {
                Some(known) => known.apply_announcement(announcement, received_at),
                None => {
                    let upstream = DirectUpstream::new(
                        announcement.clone(),
                        received_at,
                        initial_prefill_speed,
                    );
                    self.upstreams.insert(announcement.name.clone(), upstream);
                }
            }
        }
        let ids: Vec<UpstreamId> = self.upstreams.keys().map(upstream_id).collect();
        self.ejection.set_upstreams(&ids);
    }

    /// Takes over the load that other entries have reported.
    pub fn set_remote_load(&mut self, name: &str, load: UpstreamLoad) {
        if let Some(upstream) = self.upstreams.get_mut(name) {
            upstream.set_remote_load(load);
        }
    }

    /// Forgets the loads that other entries have reported.
    pub fn clear_remote_loads(&mut self) {
        for upstream in self.upstreams.values_mut() {
            upstream.set_remote_load(UpstreamLoad::default());
        }
    }

    /// Forgets an upstream that is known here as part of another service than it states now.
    pub fn remove_reassigned(&mut self, statement: &UpstreamAnnouncement) {
        let known = self.upstreams.get(&statement.name);
        if known.is_some_and(|known| known.announcement().service != statement.service) {
            self.upstreams.shift_remove(&statement.name);
        }
    }

    /// Own load of each upstream that has any.
    pub fn local_loads(
        &self,
        now: TimePoint,
    ) -> impl Iterator<Item = (&UpstreamName, UpstreamLoad)> {
        let loads = self
            .upstreams
            .iter()
            .map(move |(name, known)| (name, known.own_load(now)));
        loads.filter(|(_, load)| *load != UpstreamLoad::default())
    }

    /// Takes over where another entry has placed shared prompt parts.
    pub fn apply_placements(&mut self, placed: &PlacedParts, now: TimePoint) {
        if self.upstreams.contains_key(&placed.upstream) {
            for part in &placed.parts {
                self.places.record(*part, &placed.upstream, now);
            }
        }
    }

    /// Forgets places that are too old.
    pub fn prune_placements(&mut self, now: TimePoint) {
        self.places.prune(now);
    }

    /// Chooses upstreams and counts the request as sent.
    pub fn choose<R: Rng>(
        &mut self,
        demand: &ChoiceRequest<'_>,
        now: TimePoint,
        random: &mut R,
    ) -> Result<CallPlan, NoUpstream> {
        for change in self.ejection.weight_changes(now) {
            if let Some(upstream) = self.upstreams.get_mut(change.upstream.as_str()) {
                upstream.weight = change.weight;
            }
        }
        let found = self.find(demand, now, random)?;
        let timing = found.timing;
        let prefill_upstream = found.prefill_upstream;
        self.note_place(demand, found.serving_upstream.index, now);
        Ok(CallPlan {
            timing,
            prefill_upstream: prefill_upstream
                .map(|prefill_upstream| self.take(&prefill_upstream, demand, timing, now)),
            serving_upstream: self.take(&found.serving_upstream, demand, timing, now),
        })
    }

    /// Whether [`choose`](Self::choose) would find an upstream.
    pub fn can_choose<R: Rng>(
        &self,
        demand: &ChoiceRequest<'_>,
        now: TimePoint,
        random: &mut R,
    ) -> bool {
        self.find(demand, now, random).is_ok()
    }

    /// Upstreams that can answer in time, or else at least before the deadline.
    fn find<R: Rng>(
        &self,
        demand: &ChoiceRequest<'_>,
        now: TimePoint,
        random: &mut R,
    ) -> Result<FoundPlan, NoUpstream> {
        let on_time = self.search(demand, CallTiming::OnTime, now, random)?;
        let limit = demand.time_to_target.mul_f64(ON_TIME_PART);
        let timing = if on_time.serving_upstream.expected() <= limit {
            CallTiming::OnTime
        } else {
            CallTiming::Late
        };
        let found = match timing {
            CallTiming::OnTime => on_time,
            CallTiming::Late => self
                .search(demand, timing, now, random)
                .map_err(|_| NoUpstream::Full(Duration::ZERO))?,
        };
        let expected = found.serving_upstream.expected();
        if expected > demand.time_left {
            return Err(NoUpstream::Full(expected.saturating_sub(demand.time_left)));
        }
        Ok(found)
    }

    fn search<R: Rng>(
        &self,
        demand: &ChoiceRequest<'_>,
        timing: CallTiming,
        now: TimePoint,
        random: &mut R,
    ) -> Result<FoundPlan, NoUpstream> {
        let search = ChoiceSearch {
            chooser: self,
            demand,
            timing,
            now,
        };
        let direct = search.serving_upstream(None, random);
        let read_first = search.read_first(random);
        let (prefill_upstream, serving_upstream) = match (direct, read_first) {
            (Some(direct), Some((prefill_upstream, serving_upstream)))
                if serving_upstream.cost_ms < direct.cost_ms =>
            {
                (Some(prefill_upstream), serving_upstream)
            }
            (None, Some((prefill_upstream, serving_upstream))) => {
                (Some(prefill_upstream), serving_upstream)
            }
            (Some(direct), _) => (None, direct),
            (None, None) => return Err(NoUpstream::None),
        };
        Ok(FoundPlan {
            timing,
            prefill_upstream,
            serving_upstream,
        })
    }

    /// The engine that runs a request keeps its prompt.
    fn note_place(&mut self, demand: &ChoiceRequest<'_>, index: usize, now: TimePoint) {
        let part = demand.prompt.and_then(PromptShape::shared_part);
        if let Some((part, (name, _))) = part.zip(self.upstreams.get_index(index)) {
            self.places.record(part, name, now);
        }
    }

    /// Counts a request as sent to a candidate.
    fn take(
        &mut self,
        candidate: &Candidate,
        demand: &ChoiceRequest<'_>,
        timing: CallTiming,
        now: TimePoint,
    ) -> ChosenUpstream {
        let fetch_from = candidate.fetch_from.and_then(|index| {
            let (_, keeper) = self.upstreams.get_index(index)?;
            Some(keeper.announcement().address)
        });
        let trip_ms = self
            .upstreams
            .get_index(candidate.index)
            .map_or(0.0, |(_, upstream)| self.trip_ms(upstream));
        let cache_tokens = self.engine.map_or(0, |engine| engine.cache_tokens);
        let (_, upstream) = self
            .upstreams
            .get_index_mut(candidate.index)
            .expect("the index was found in the table");
        ChosenUpstream {
            ticket: upstream.dispatch(
                demand.prompt,
                cache_tokens,
                candidate.prefill_tokens,
                timing,
                now,
            ),
            round_trip: Duration::from_secs_f64(trip_ms / 1_000.0),
            fetch_from,
            announcement: upstream.announcement().clone(),
            expected_first_answer: candidate.expected(),
        }
    }

    /// The request is sent only now, because another engine had to read its prompt.
    pub fn mark_sent(&mut self, chosen: &ChosenUpstream, now: TimePoint) {
        if let Some(upstream) = self.upstreams.get_mut(&chosen.announcement.name) {
            upstream.mark_sent(&chosen.ticket, now);
        }
    }

    /// The request has shown its first answer after `elapsed`.
    pub fn record_first_answer(
        &mut self,
        chosen: &mut ChosenUpstream,
        elapsed: Duration,
        now: TimePoint,
    ) {
        if let Some(upstream) = self.upstreams.get_mut(&chosen.announcement.name) {
            let elapsed = elapsed.saturating_sub(chosen.round_trip);
            upstream.record_first_answer(&mut chosen.ticket, elapsed, now);
        }
    }

    /// When a request has begun at its upstream, given when it was sent and when it showed its first
    /// answer. A plain call begins when it arrives; an engine collects some tokens into an event.
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
        let collected = upstream.map_or(Duration::ZERO, DirectUpstream::collect_time);
        let since = one_way + collected;
        let begun_ms = answered
            .as_millis()
            .saturating_sub(since.as_millis() as u64);
        TimePoint::from_millis(begun_ms).max(sent)
    }

    /// The upstream has refused a request because it is full.
    pub fn record_refusal(&mut self, name: &str, now: TimePoint) {
        if let Some(upstream) = self.upstreams.get_mut(name) {
            upstream.record_refusal(now);
        }
    }

    /// The request no longer runs; a plain call that was answered states how long it took.
    pub fn finish(
        &mut self,
        name: &str,
        ticket: &DispatchTicket,
        call_time: Option<Duration>,
        now: TimePoint,
    ) {
        if let Some(upstream) = self.upstreams.get_mut(name) {
            upstream.finish(ticket, now);
        }
        if let Some(time) = call_time {
            let time_ms = time.as_secs_f64() * 1_000.0;
            self.call_ms += (time_ms - self.call_ms) * CALL_WEIGHT;
        }
    }

    /// Whether an upstream has answered this entry after `since`. One that answers others while a
    /// request waits is slow or full, but it has not failed.
    pub fn has_answered(&self, name: &str, since: TimePoint) -> bool {
        let upstream = self.upstreams.get(name);
        upstream.is_some_and(|upstream| upstream.has_answered(since))
    }

    /// Takes the outcome of an attempt; true if the upstream is ejected because of it.
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

    fn distance(&self, from: &DomainName, to: &DomainName) -> DomainDistance {
        if from == to {
            return DomainDistance::Same;
        }
        let regions = &self.settings.regions;
        match (regions.get(from), regions.get(to)) {
            (Some(from), Some(to)) if from == to => DomainDistance::SameRegion,
            _ => DomainDistance::OtherRegion,
        }
    }

    /// Distance of an upstream from this entry.
    pub(crate) fn distance_to(&self, upstream: &DirectUpstream) -> DomainDistance {
        self.distance(&self.settings.domain, &upstream.announcement().domain)
    }

    /// Round trip to an upstream, in milliseconds.
    pub(crate) fn trip_ms(&self, upstream: &DirectUpstream) -> f64 {
        let trip = match self.distance_to(upstream) {
            DomainDistance::Same => Duration::ZERO,
            DomainDistance::SameRegion => self.settings.domain_round_trip,
            DomainDistance::OtherRegion => self.settings.region_round_trip,
        };
        trip.as_secs_f64() * 1_000.0
    }

    /// Time to copy tokens of a prompt from one engine to another, in milliseconds.
    pub(crate) fn copy_ms(&self, from: &DirectUpstream, to: &DirectUpstream, tokens: u64) -> f64 {
        let Some(engine) = self.engine.filter(|engine| engine.copy_rate > 0) else {
            return f64::INFINITY;
        };
        let (from, to) = (&from.announcement().domain, &to.announcement().domain);
        let factor = match self.distance(from, to) {
            DomainDistance::Same => 1.0,
            DomainDistance::SameRegion => 2.0,
            DomainDistance::OtherRegion => 10.0,
        };
        (tokens * engine.token_bytes) as f64 / engine.copy_rate as f64 * factor
    }
}

/// How far two failure domains are from each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum DomainDistance {
    Same,
    SameRegion,
    OtherRegion,
}

fn upstream_id(name: &UpstreamName) -> UpstreamId {
    UpstreamId(name.as_str().to_owned())
}
