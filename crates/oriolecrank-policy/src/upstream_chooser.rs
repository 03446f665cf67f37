//! Choice of the upstream for a request.
//!
//! An entry has one chooser per service. The chooser considers a subset of the upstreams of the
//! service, selected for this entry. It tries the upstreams of its own failure domain first, then
//! those of its region, then those of other regions; it goes on to the next distance only if there
//! is no upstream at the nearer ones or none of them can meet the deadline. Upstreams whose role
//! does not match the request are tried after all others.
//!
//! At one distance, the upstream with the longest cached prefix is chosen if its load is not far
//! above the mean. Otherwise the less loaded of two random upstreams is chosen: choosing the least
//! loaded one would send the requests of all entries, which have the same delayed reports, to one
//! upstream.

use std::collections::HashMap;
use std::time::Duration;

use oriolecrank_schema::TimePoint;
use oriolecrank_schema::document::UpstreamId;
use rand::Rng;

use crate::load_estimate::{EstimateSettings, LoadEstimate, LoadReport};
use crate::prefix_map::{CacheEvent, PrefixMap, SlotIndex, SlotSet};
use crate::subset::{EntryIdentity, MAX_SUBSET, SubsetSettings, select_subset};
pub use crate::upstream_choice::{
    ChoiceReason, ChoiceRequest, DispatchTicket, NoUpstream, UpstreamChoice,
};
use crate::upstream_state::{UpstreamDistance, UpstreamPhase, UpstreamRole, UpstreamState};

/// Settings of the chooser.
#[derive(Debug, Clone, PartialEq)]
pub struct ChooserSettings {
    /// Size and composition of the subset of upstreams that the entry uses.
    pub subset: SubsetSettings,
    /// Settings for weighting load reports.
    pub estimate: EstimateSettings,
    /// An upstream is chosen for a cached prefix if its utilisation is at most this many times the
    /// mean, plus `prefix_load_slack`.
    pub prefix_load_factor: f64,
    /// Utilisation added to the limit for choosing by prefix; at low load the mean alone would be
    /// too strict a limit.
    pub prefix_load_slack: f64,
    /// Factor by which the cost of an upstream is multiplied if its role does not match the
    /// request.
    pub role_mismatch_factor: f64,
    /// A request is prompt-heavy if it has at least this many times as many prompt tokens as output
    /// tokens.
    pub prompt_heavy_ratio: u64,
    /// Network latency to upstreams at each [`UpstreamDistance`], nearest first.
    pub latency: [Duration; 3],
    /// Factor by which the queueing time of a request of each class differs from that of the whole
    /// queue, in the order of [`WorkClass`](crate::WorkClass). Agents serve urgent requests first,
    /// and bulk requests also wait for more urgent ones that arrive after them.
    pub queue_wait_factors: [f64; 3],
    /// Initial value of the mean time per request and of the mean time per block.
    pub initial_service_time: Duration,
}

impl Default for ChooserSettings {
    fn default() -> Self {
        Self {
            subset: SubsetSettings::default(),
            estimate: EstimateSettings::default(),
            prefix_load_factor: 1.25,
            prefix_load_slack: 0.1,
            role_mismatch_factor: 2.0,
            prompt_heavy_ratio: 4,
            latency: [
                Duration::ZERO,
                Duration::from_millis(1),
                Duration::from_millis(20),
            ],
            queue_wait_factors: [0.1, 1.0, 2.0],
            initial_service_time: Duration::from_secs(1),
        }
    }
}

/// Weight of the latest request in the moving averages of the service times.
const SERVICE_TIME_SMOOTHING: f64 = 0.05;

/// One upstream of the subset that the entry uses.
#[derive(Debug, Clone)]
struct ChooserSlot {
    state: UpstreamState,
    distance: UpstreamDistance,
    estimate: LoadEstimate,
    /// Between 0 (ejected) and 1; grows gradually after an ejection.
    weight: f64,
}

/// Estimated load of an upstream that is being compared with others.
#[derive(Debug, Clone, Copy)]
struct ChoiceCandidate {
    slot: SlotIndex,
    /// Estimated blocks divided by the capacity, without the request.
    utilisation: f64,
    /// Value to be minimised: grows with `utilisation` and is higher if the role does not match.
    cost: f64,
}

/// Best upstream at one distance.
#[derive(Debug, Clone, Copy)]
struct DistanceChoice {
    slot: SlotIndex,
    reason: ChoiceReason,
    /// Network latency plus expected wait in the queue.
    delay: Duration,
    meets_deadline: bool,
}

/// Upstream chooser of one service at one entry.
#[derive(Debug)]
pub struct UpstreamChooser {
    settings: ChooserSettings,
    entry: EntryIdentity,
    slots: Vec<Option<ChooserSlot>>,
    by_name: HashMap<UpstreamId, SlotIndex>,
    prefixes: PrefixMap,
    /// Slots of the upstreams with each model.
    models: HashMap<String, SlotSet>,
    /// Slots of the upstreams without a model, which take requests for any model.
    without_model: SlotSet,
    /// All occupied slots.
    all_slots: SlotSet,
    /// Indexed by [`UpstreamDistance`].
    by_distance: [SlotSet; 3],
    /// Indexed by [`UpstreamPhase`]; contains only the phases in which upstreams take requests.
    by_phase: [SlotSet; 3],
    /// Slots with weight 0.
    ejected: SlotSet,
    /// Mean utilisation according to the last report of each upstream; 0 without reports.
    mean_utilisation: f64,
    /// Time of the newest report in `mean_utilisation`.
    newest_report: Option<TimePoint>,
    /// Moving average of the time per request, from which queueing times are estimated.
    request_time_ms: f64,
    /// Moving average of the time per block of a request.
    block_time_ms: f64,
}

impl UpstreamChooser {
    /// Creates a chooser without upstreams.
    pub fn new(settings: ChooserSettings, entry: EntryIdentity) -> Self {
        let initial_ms = settings.initial_service_time.as_secs_f64() * 1e3;
        Self {
            settings,
            entry,
            slots: vec![None; MAX_SUBSET],
            by_name: HashMap::new(),
            prefixes: PrefixMap::default(),
            models: HashMap::new(),
            without_model: SlotSet::default(),
            all_slots: SlotSet::default(),
            by_distance: [SlotSet::default(); 3],
            by_phase: [SlotSet::default(); 3],
            ejected: SlotSet::default(),
            mean_utilisation: 0.0,
            newest_report: None,
            request_time_ms: initial_ms,
            block_time_ms: initial_ms,
        }
    }

    /// Replaces the list of the service's upstreams and selects the subset anew.
    ///
    /// Upstreams that stay in the subset keep their load estimates and prefixes, unless their
    /// incarnation has changed.
    pub fn update(&mut self, upstreams: &[UpstreamState]) {
        let subset = select_subset(&self.entry, upstreams, &self.settings.subset);
        let members: HashMap<&UpstreamId, &UpstreamState> = subset
            .iter()
            .map(|state| (&state.upstream, *state))
            .collect();
        for index in 0..MAX_SUBSET {
            let has_left = self.slots[index]
                .as_ref()
                .is_some_and(|slot| !members.contains_key(&slot.state.upstream));
            if has_left {
                self.remove(SlotIndex::new(index));
            }
        }
        for state in subset {
            self.assign_slot(state);
        }
        self.rebuild_sets();
        self.update_mean();
    }

    /// Records a load report; reports of upstreams outside the subset have no effect.
    pub fn record_load(&mut self, upstream: &UpstreamId, report: LoadReport) {
        if let Some(slot) = self.slot_mut(upstream) {
            slot.estimate.record_load(report);
            self.update_mean();
        }
    }

    /// Applies a cache event and returns whether the upstream's earlier prefixes were removed,
    /// because the event followed a gap in the sequence.
    pub fn apply_cache_event(&mut self, upstream: &UpstreamId, event: &CacheEvent) -> bool {
        match self.by_name.get(upstream) {
            None => false,
            Some(slot) => self.prefixes.apply(*slot, event),
        }
    }

    /// Removes the prefixes of an upstream whose cache events were interrupted.
    pub fn clear_prefixes(&mut self, upstream: &UpstreamId) {
        if let Some(slot) = self.by_name.get(upstream) {
            self.prefixes.clear_slot(*slot);
        }
    }

    /// Sets the weight of an upstream, between 0 (ejected) and 1.
    pub fn set_weight(&mut self, upstream: &UpstreamId, weight: f64) {
        if let Some(slot) = self.slot_mut(upstream) {
            slot.weight = weight.clamp(0.0, 1.0);
            self.rebuild_sets();
        }
    }

    /// Iterates over the upstreams of the subset.
    pub fn members(&self) -> impl Iterator<Item = &UpstreamState> {
        self.slots.iter().flatten().map(|slot| &slot.state)
    }

    /// Chooses an upstream and adds the request to its load estimate.
    pub fn choose<R: Rng>(
        &mut self,
        request: &ChoiceRequest<'_>,
        now: TimePoint,
        rng: &mut R,
    ) -> Result<UpstreamChoice, NoUpstream> {
        let usable = self.usable(request);
        let matching = self.with_matching_role(usable, request);
        let mut best: Option<DistanceChoice> = None;
        // A matching role takes precedence over distance: an engine of the wrong role costs
        // seconds, another region only milliseconds.
        'search: for group in [matching, usable.difference(matching)] {
            for distance in UpstreamDistance::ALL {
                let candidates = group.intersection(self.by_distance[distance as usize]);
                if candidates.is_empty() {
                    continue;
                }
                let mut choice = self.choose_at_distance(request, candidates, distance, now, rng);
                let is_fallback = best.is_some();
                if is_fallback {
                    choice.reason = ChoiceReason::Deadline;
                }
                let better = best.is_none_or(|best| choice.delay < best.delay);
                if better || choice.meets_deadline {
                    best = Some(choice);
                }
                if choice.meets_deadline {
                    break 'search;
                }
            }
        }
        let best = best.ok_or(NoUpstream)?;
        Ok(self.dispatch(best, request, now))
    }

    /// Shortest expected time until a request would start, over all upstreams that may take it.
    ///
    /// `None` if there is no such upstream. Used by admission control to check the deadline.
    pub fn expected_delay(&self, request: &ChoiceRequest<'_>, now: TimePoint) -> Option<Duration> {
        let delays = self.usable(request).iter().map(|index| {
            let slot = self.slot(index);
            let candidate = self.candidate(index, request, now);
            self.delay(slot, candidate.utilisation, request)
        });
        delays.min()
    }

    /// Expected time from the start to the end of a request, without queueing.
    pub fn expected_service(&self, request: &ChoiceRequest<'_>) -> Duration {
        let blocks = (request.prompt + request.output).blocks().get() as f64;
        Duration::from_secs_f64(blocks * self.block_time_ms / 1e3)
    }

    /// Removes a request whose attempt has ended from the load estimate of its upstream.
    ///
    /// `served` says that the request ran to its end; only then is its time included in the moving
    /// averages.
    pub fn finish(&mut self, ticket: &DispatchTicket, served: bool, now: TimePoint) {
        if served {
            let elapsed = now.since(ticket.sent_at).as_secs_f64() * 1e3;
            let time_per_block = elapsed / ticket.blocks.get().max(1) as f64;
            self.request_time_ms += (elapsed - self.request_time_ms) * SERVICE_TIME_SMOOTHING;
            self.block_time_ms += (time_per_block - self.block_time_ms) * SERVICE_TIME_SMOOTHING;
        }
        let Some(index) = self.by_name.get(&ticket.upstream) else {
            return;
        };
        if let Some(slot) = &mut self.slots[index.get()]
            && slot.state.incarnation == ticket.incarnation
        {
            let settings = &self.settings.estimate;
            slot.estimate
                .finish(ticket.blocks, ticket.sent_at, settings, now);
        }
    }

    /// Returns the slots that may take the request, all in the most preferred phase available:
    /// ready, else cold, else suspect. Ejected upstreams are returned only if there are no others.
    fn usable(&self, request: &ChoiceRequest<'_>) -> SlotSet {
        let mut allowed = match request.model {
            None => self.all_slots,
            Some(model) => {
                let with_model = self.models.get(model).copied().unwrap_or_default();
                with_model.union(self.without_model)
            }
        };
        for upstream in request.excluded {
            if let Some(slot) = self.by_name.get(upstream) {
                allowed.remove(*slot);
            }
        }
        let phases = self
            .by_phase
            .iter()
            .map(|slots| allowed.intersection(*slots));
        // An ejected upstream is better than none.
        let not_ejected = phases.clone().map(|slots| slots.difference(self.ejected));
        let mut sets = not_ejected.chain(phases);
        sets.find(|slots| !slots.is_empty()).unwrap_or_default()
    }

    /// Returns those of `slots` whose role matches the request.
    fn with_matching_role(&self, slots: SlotSet, request: &ChoiceRequest<'_>) -> SlotSet {
        let mut matching = SlotSet::default();
        for index in slots.iter() {
            if self.role_matches(self.slot(index).state.role, request) {
                matching.insert(index);
            }
        }
        matching
    }

    fn choose_at_distance<R: Rng>(
        &self,
        request: &ChoiceRequest<'_>,
        candidates: SlotSet,
        distance: UpstreamDistance,
        now: TimePoint,
        rng: &mut R,
    ) -> DistanceChoice {
        let prefix = self.choose_by_prefix(request, candidates, now);
        let (chosen, reason) = match prefix {
            Some((candidate, blocks)) => (candidate, ChoiceReason::Prefix { blocks }),
            None => {
                let candidate = self.choose_by_load(request, candidates, now, rng);
                (candidate, ChoiceReason::Load)
            }
        };
        let choice = self.distance_choice(request, chosen, reason, now);
        if choice.meets_deadline || distance == UpstreamDistance::OtherRegion {
            return choice;
        }
        // The choices above may have missed an upstream that meets the deadline, so all upstreams
        // at this distance are compared before the search goes farther.
        let least = self.least_loaded(request, candidates, now);
        self.distance_choice(request, least, ChoiceReason::Load, now)
    }

    fn distance_choice(
        &self,
        request: &ChoiceRequest<'_>,
        candidate: ChoiceCandidate,
        reason: ChoiceReason,
        now: TimePoint,
    ) -> DistanceChoice {
        let slot = self.slot(candidate.slot);
        let delay = self.delay(slot, candidate.utilisation, request);
        let latency = self.settings.latency[slot.distance as usize];
        let end = now + delay + self.expected_service(request);
        DistanceChoice {
            slot: candidate.slot,
            reason,
            delay,
            // An upstream without a queue is accepted even if it may miss the deadline, because a
            // farther one would not be faster.
            meets_deadline: delay <= latency || end <= request.deadline,
        }
    }

    /// Returns the least loaded of the upstreams with the longest cached prefix, and the number of
    /// matching blocks; `None` if its load is above the limit for choosing by prefix.
    fn choose_by_prefix(
        &self,
        request: &ChoiceRequest<'_>,
        candidates: SlotSet,
        now: TimePoint,
    ) -> Option<(ChoiceCandidate, usize)> {
        let (holders, blocks) = self.prefixes.longest_match(request.prefixes, candidates)?;
        let candidate = self.least_loaded(request, holders, now);
        let utilisations = candidates
            .iter()
            .map(|slot| self.candidate(slot, request, now).utilisation);
        let mean = utilisations.sum::<f64>() / candidates.len() as f64;
        let limit = mean * self.settings.prefix_load_factor + self.settings.prefix_load_slack;
        (candidate.utilisation <= limit).then_some((candidate, blocks))
    }

    /// Returns the less loaded of two random upstreams.
    fn choose_by_load<R: Rng>(
        &self,
        request: &ChoiceRequest<'_>,
        candidates: SlotSet,
        now: TimePoint,
        rng: &mut R,
    ) -> ChoiceCandidate {
        let first = self.random_slot(candidates, rng);
        let mut others = candidates;
        others.remove(first);
        let first = self.candidate(first, request, now);
        if others.is_empty() {
            return first;
        }
        let second = self.random_slot(others, rng);
        let second = self.candidate(second, request, now);
        if second.cost < first.cost {
            second
        } else {
            first
        }
    }

    /// Returns a random slot, with a probability proportional to its capacity and weight.
    fn random_slot<R: Rng>(&self, candidates: SlotSet, rng: &mut R) -> SlotIndex {
        let weight = |index: SlotIndex| {
            let slot = self.slot(index);
            slot.state.capacity.get().max(1) as f64 * slot.weight.max(f64::EPSILON)
        };
        let total: f64 = candidates.iter().map(weight).sum();
        let mut remaining = rng.random::<f64>() * total;
        let mut last = None;
        for index in candidates.iter() {
            last = Some(index);
            remaining -= weight(index);
            if remaining < 0.0 {
                break;
            }
        }
        last.expect("there is a candidate")
    }

    fn least_loaded(
        &self,
        request: &ChoiceRequest<'_>,
        candidates: SlotSet,
        now: TimePoint,
    ) -> ChoiceCandidate {
        let candidates = candidates.iter();
        candidates
            .map(|slot| self.candidate(slot, request, now))
            .min_by(|one, other| one.cost.total_cmp(&other.cost))
            .expect("there is a candidate")
    }

    fn candidate(
        &self,
        index: SlotIndex,
        request: &ChoiceRequest<'_>,
        now: TimePoint,
    ) -> ChoiceCandidate {
        let slot = self.slot(index);
        let capacity = slot.state.capacity;
        let settings = &self.settings.estimate;
        let blocks = slot
            .estimate
            .blocks(capacity, self.mean_utilisation(now), settings, now);
        let utilisation = blocks / capacity.get().max(1) as f64;
        let matches = self.role_matches(slot.state.role, request);
        let factor = if matches {
            1.0
        } else {
            self.settings.role_mismatch_factor
        };
        // Adds 1 so that the role also makes a difference between idle upstreams.
        let cost = (utilisation + 1.0) * factor;
        ChoiceCandidate {
            slot: index,
            utilisation,
            cost,
        }
    }

    fn role_matches(&self, role: UpstreamRole, request: &ChoiceRequest<'_>) -> bool {
        let min_prompt = request
            .output
            .get()
            .saturating_mul(self.settings.prompt_heavy_ratio);
        let prompt_heavy = request.prompt.get() >= min_prompt;
        match role {
            UpstreamRole::Prefill => prompt_heavy,
            UpstreamRole::Decode => !prompt_heavy,
            UpstreamRole::Mixed | UpstreamRole::Plain => true,
        }
    }

    /// Network latency plus expected wait in the queue, which is the time that the load above the
    /// capacity takes.
    fn delay(&self, slot: &ChooserSlot, utilisation: f64, request: &ChoiceRequest<'_>) -> Duration {
        let capacity = slot.state.capacity.get().max(1) as f64;
        let blocks = (request.prompt + request.output).blocks().get() as f64;
        let excess = (utilisation + blocks / capacity - 1.0).max(0.0);
        // The upstream serves as many blocks as its capacity in about the time of one request.
        let wait_factor = self.settings.queue_wait_factors[request.class as usize];
        let wait = excess * wait_factor * self.request_time_ms / 1e3;
        self.settings.latency[slot.distance as usize] + Duration::from_secs_f64(wait)
    }

    fn dispatch(
        &mut self,
        choice: DistanceChoice,
        request: &ChoiceRequest<'_>,
        now: TimePoint,
    ) -> UpstreamChoice {
        let blocks = (request.prompt + request.output).blocks();
        self.prefixes.record(choice.slot, request.prefixes);
        let slot = self.slots[choice.slot.get()].as_mut();
        let slot = slot.expect("slots in the sets are occupied");
        slot.estimate.dispatch(blocks, now);
        UpstreamChoice {
            upstream: slot.state.upstream.clone(),
            incarnation: slot.state.incarnation,
            address: slot.state.address,
            distance: slot.distance,
            reason: choice.reason,
            ticket: DispatchTicket {
                upstream: slot.state.upstream.clone(),
                incarnation: slot.state.incarnation,
                blocks,
                sent_at: now,
            },
        }
    }

    fn slot(&self, index: SlotIndex) -> &ChooserSlot {
        self.slots[index.get()]
            .as_ref()
            .expect("slots in the sets are occupied")
    }

    fn slot_mut(&mut self, upstream: &UpstreamId) -> Option<&mut ChooserSlot> {
        let index = self.by_name.get(upstream)?;
        self.slots[index.get()].as_mut()
    }

    fn remove(&mut self, index: SlotIndex) {
        if let Some(slot) = self.slots[index.get()].take() {
            self.by_name.remove(&slot.state.upstream);
        }
        self.prefixes.remove_slot(index);
    }

    /// Updates the slot of an upstream, or assigns a free one to it.
    ///
    /// A new incarnation loses the load estimate, the prefixes and the weight of the one before.
    fn assign_slot(&mut self, state: &UpstreamState) {
        if let Some(slot) = self.slot_mut(&state.upstream)
            && slot.state.incarnation == state.incarnation
        {
            slot.state = state.clone();
            return;
        }
        let current = self.by_name.get(&state.upstream).copied();
        let free = || {
            let index = self.slots.iter().position(Option::is_none);
            SlotIndex::new(index.expect("the subset has at most 64 members"))
        };
        let index = current.unwrap_or_else(free);
        self.prefixes.add_slot(index, state.capacity);
        self.by_name.insert(state.upstream.clone(), index);
        self.slots[index.get()] = Some(ChooserSlot {
            state: state.clone(),
            distance: UpstreamDistance::between(&self.entry.location, &state.location),
            estimate: LoadEstimate::default(),
            weight: 1.0,
        });
    }

    fn rebuild_sets(&mut self) {
        self.models.clear();
        self.without_model = SlotSet::default();
        self.all_slots = SlotSet::default();
        self.by_distance = [SlotSet::default(); 3];
        self.by_phase = [SlotSet::default(); 3];
        self.ejected = SlotSet::default();
        for (index, slot) in self.slots.iter().enumerate() {
            let Some(slot) = slot else { continue };
            let index = SlotIndex::new(index);
            self.all_slots.insert(index);
            self.by_distance[slot.distance as usize].insert(index);
            match slot.state.phase {
                UpstreamPhase::Ready | UpstreamPhase::Cold | UpstreamPhase::Suspect => {
                    self.by_phase[slot.state.phase as usize].insert(index);
                }
                UpstreamPhase::Changing | UpstreamPhase::Leaving => {}
            }
            if slot.weight <= 0.0 {
                self.ejected.insert(index);
            }
            match &slot.state.model {
                None => self.without_model.insert(index),
                Some(model) => self.models.entry(model.clone()).or_default().insert(index),
            }
        }
    }

    /// Mean utilisation of the upstreams that have reported one. It halves with each half-life after
    /// the newest report: loads are reported with answers, and a mean that keeps all requests away
    /// would stay for good.
    fn mean_utilisation(&self, now: TimePoint) -> f64 {
        let age = self
            .newest_report
            .map_or(0.0, |newest| now.since(newest).as_secs_f64());
        let half_life = self.settings.estimate.half_life.as_secs_f64();
        self.mean_utilisation * (-age / half_life).exp2()
    }

    fn update_mean(&mut self) {
        let estimates = self.slots.iter().flatten().map(|slot| &slot.estimate);
        self.newest_report = estimates.filter_map(LoadEstimate::measured_at).max();
        let slots = self.slots.iter().flatten();
        let reports =
            slots.filter_map(|slot| slot.estimate.reported_utilisation(slot.state.capacity));
        let (sum, count) = reports.fold((0.0, 0), |(sum, count), value| (sum + value, count + 1));
        self.mean_utilisation = if count == 0 {
            0.0
        } else {
            sum / f64::from(count)
        };
    }
}
