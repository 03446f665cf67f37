//! Choice of the upstream for a request.
//!
//! An entry has one chooser for each service. It looks at its own failure domain first, then at its
//! region, then at other regions, and goes on to the next only if the nearer ones have no upstream
//! or cannot meet the deadline. Within one distance, the upstream with the longest cached prefix is
//! taken if its load is not far above the mean; otherwise two random upstreams are compared by
//! estimated load. Two random choices keep many entries with the same lagging reports from
//! all taking the same upstream.

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

/// Rules of the choice.
#[derive(Debug, Clone, PartialEq)]
pub struct ChooserSettings {
    /// Size and make-up of the subset.
    pub subset: SubsetSettings,
    /// Weighting of reports.
    pub estimate: EstimateSettings,
    /// An upstream with the prefix is taken if its load is at most this many times the mean.
    pub prefix_bound: f64,
    /// Load above the mean, in parts of the capacity, that is accepted for a prefix in any case; at
    /// low load the mean is too small to be a bound.
    pub prefix_slack: f64,
    /// Load of an upstream whose role does not suit the request is multiplied by this.
    pub role_mismatch: f64,
    /// A request is prompt-heavy if its prompt has this many times the tokens of its output.
    pub prompt_heavy: u64,
    /// Latency to upstreams in the same failure domain, the same region and other regions.
    pub latency: [Duration; 3],
    /// Share of an upstream's queue that a request of each class waits for; agents serve urgent
    /// requests first.
    pub queue_share: [f64; 3],
    /// Time that a request, and each of its blocks, takes before any request has ended.
    pub initial_service_time: Duration,
}

impl Default for ChooserSettings {
    fn default() -> Self {
        Self {
            subset: SubsetSettings::default(),
            estimate: EstimateSettings::default(),
            prefix_bound: 1.25,
            prefix_slack: 0.1,
            role_mismatch: 2.0,
            prompt_heavy: 4,
            latency: [
                Duration::ZERO,
                Duration::from_millis(1),
                Duration::from_millis(20),
            ],
            queue_share: [0.1, 1.0, 2.0],
            initial_service_time: Duration::from_secs(1),
        }
    }
}

/// Weight of the newest request in the mean times.
const SERVICE_TIME_SMOOTHING: f64 = 0.05;

/// One upstream of the subset.
#[derive(Debug, Clone)]
struct ChooserSlot {
    state: UpstreamState,
    distance: UpstreamDistance,
    estimate: LoadEstimate,
    /// Between 0 (ejected) and 1; below 1 while an ejected upstream returns.
    weight: f64,
}

/// An upstream under comparison.
#[derive(Debug, Clone, Copy)]
struct ChoiceCandidate {
    slot: SlotIndex,
    /// Estimated load in parts of the capacity, without the request.
    utilisation: f64,
    /// `utilisation`, raised if the role does not suit.
    cost: f64,
}

/// Choice within one distance.
#[derive(Debug, Clone, Copy)]
struct TierChoice {
    slot: SlotIndex,
    reason: ChoiceReason,
    /// Latency plus expected wait in the queue.
    delay: Duration,
    meets_deadline: bool,
}

/// Chooser of one service at one entry.
#[derive(Debug)]
pub struct UpstreamChooser {
    settings: ChooserSettings,
    entry: EntryIdentity,
    slots: Vec<Option<ChooserSlot>>,
    by_name: HashMap<UpstreamId, SlotIndex>,
    prefixes: PrefixMap,
    /// Slots by model; a slot without a model takes requests for any.
    models: HashMap<String, SlotSet>,
    any_model: SlotSet,
    all: SlotSet,
    by_distance: [SlotSet; 3],
    by_phase: [SlotSet; 3],
    /// Slots with weight 0.
    ejected: SlotSet,
    /// Mean utilisation over the last reports.
    mean_utilisation: f64,
    /// Mean time of a request, by which queues are worked off.
    request_time_ms: f64,
    /// Mean time of a request per block.
    block_time_ms: f64,
}

impl UpstreamChooser {
    /// A chooser without upstreams.
    pub fn new(settings: ChooserSettings, entry: EntryIdentity) -> Self {
        let initial_ms = settings.initial_service_time.as_secs_f64() * 1e3;
        Self {
            settings,
            entry,
            slots: vec![None; MAX_SUBSET],
            by_name: HashMap::new(),
            prefixes: PrefixMap::default(),
            models: HashMap::new(),
            any_model: SlotSet::default(),
            all: SlotSet::default(),
            by_distance: [SlotSet::default(); 3],
            by_phase: [SlotSet::default(); 3],
            ejected: SlotSet::default(),
            mean_utilisation: 0.0,
            request_time_ms: initial_ms,
            block_time_ms: initial_ms,
        }
    }

    /// Takes the complete list of the service's upstreams.
    ///
    /// Members of the subset that stay keep their estimates and prefixes; a new incarnation starts
    /// without them.
    pub fn update(&mut self, upstreams: &[UpstreamState]) {
        let subset = select_subset(&self.entry, upstreams, &self.settings.subset);
        let kept: HashMap<&UpstreamId, &UpstreamState> = subset
            .iter()
            .map(|state| (&state.upstream, *state))
            .collect();
        for index in 0..MAX_SUBSET {
            let gone = self.slots[index]
                .as_ref()
                .is_some_and(|slot| !kept.contains_key(&slot.state.upstream));
            if gone {
                self.remove(SlotIndex::new(index));
            }
        }
        for state in subset {
            self.place(state);
        }
        self.rebuild_sets();
        self.update_mean();
    }

    /// Takes a load report; reports of upstreams outside the subset have no effect.
    pub fn record_load(&mut self, upstream: &UpstreamId, report: LoadReport) {
        if let Some(slot) = self.slot_mut(upstream) {
            slot.estimate.record_load(report);
            self.update_mean();
        }
    }

    /// Takes a cache event and returns whether the upstream's prefixes had to be forgotten.
    pub fn cache_event(&mut self, upstream: &UpstreamId, event: &CacheEvent) -> bool {
        match self.by_name.get(upstream) {
            None => false,
            Some(slot) => self.prefixes.apply(*slot, event),
        }
    }

    /// Forgets the prefixes of an upstream whose cache events were interrupted.
    pub fn forget_prefixes(&mut self, upstream: &UpstreamId) {
        if let Some(slot) = self.by_name.get(upstream) {
            self.prefixes.forget(*slot);
        }
    }

    /// Sets the weight of an upstream, between 0 (ejected) and 1.
    pub fn set_weight(&mut self, upstream: &UpstreamId, weight: f64) {
        if let Some(slot) = self.slot_mut(upstream) {
            slot.weight = weight.clamp(0.0, 1.0);
            self.rebuild_sets();
        }
    }

    /// Upstreams of the subset.
    pub fn members(&self) -> impl Iterator<Item = &UpstreamState> {
        self.slots.iter().flatten().map(|slot| &slot.state)
    }

    /// Chooses an upstream and counts the request as sent to it.
    pub fn choose<R: Rng>(
        &mut self,
        request: &ChoiceRequest<'_>,
        now: TimePoint,
        rng: &mut R,
    ) -> Result<UpstreamChoice, NoUpstream> {
        let usable = self.usable(request);
        let suiting = self.suiting(usable, request);
        let mut best: Option<TierChoice> = None;
        // An engine of the wrong role costs seconds, another region only milliseconds.
        'search: for group in [suiting, usable.difference(suiting)] {
            for distance in UpstreamDistance::ALL {
                let candidates = group.intersection(self.by_distance[distance as usize]);
                if candidates.is_empty() {
                    continue;
                }
                let mut choice = self.choose_within(request, candidates, distance, now, rng);
                let farther = best.is_some();
                if farther {
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
    /// `None` if there is no such upstream. Admission compares this with the deadline.
    pub fn expected_delay(&self, request: &ChoiceRequest<'_>, now: TimePoint) -> Option<Duration> {
        let delays = self.usable(request).iter().map(|index| {
            let slot = self.slot(index);
            let candidate = self.candidate(index, request, now);
            self.delay(slot, candidate.utilisation, request)
        });
        delays.min()
    }

    /// Expected time from start to end of a request.
    pub fn expected_service(&self, request: &ChoiceRequest<'_>) -> Duration {
        let blocks = (request.prompt + request.output).blocks().get() as f64;
        Duration::from_secs_f64(blocks * self.block_time_ms / 1e3)
    }

    /// Uncounts a dispatch whose attempt has ended; `served` tells that it ran to its end.
    pub fn finish(&mut self, ticket: &DispatchTicket, served: bool, now: TimePoint) {
        if served {
            let elapsed = now.since(ticket.sent_at).as_secs_f64() * 1e3;
            let each = elapsed / ticket.blocks.get().max(1) as f64;
            self.request_time_ms += (elapsed - self.request_time_ms) * SERVICE_TIME_SMOOTHING;
            self.block_time_ms += (each - self.block_time_ms) * SERVICE_TIME_SMOOTHING;
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

    /// Slots that may take the request: ready ones, or if there are none cold ones, or suspect ones.
    fn usable(&self, request: &ChoiceRequest<'_>) -> SlotSet {
        let mut allowed = match request.model {
            None => self.all,
            Some(model) => {
                let named = self.models.get(model).copied().unwrap_or_default();
                named.union(self.any_model)
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
        let kept = phases.clone().map(|slots| slots.difference(self.ejected));
        let mut sets = kept.chain(phases);
        sets.find(|slots| !slots.is_empty()).unwrap_or_default()
    }

    /// Slots whose role suits the request.
    fn suiting(&self, slots: SlotSet, request: &ChoiceRequest<'_>) -> SlotSet {
        let mut suiting = SlotSet::default();
        for index in slots.iter() {
            if self.role_suits(self.slot(index).state.role, request) {
                suiting.insert(index);
            }
        }
        suiting
    }

    fn choose_within<R: Rng>(
        &self,
        request: &ChoiceRequest<'_>,
        candidates: SlotSet,
        distance: UpstreamDistance,
        now: TimePoint,
        rng: &mut R,
    ) -> TierChoice {
        let prefix = self.choose_by_prefix(request, candidates, now);
        let (chosen, reason) = match prefix {
            Some((candidate, blocks)) => (candidate, ChoiceReason::Prefix { blocks }),
            None => {
                let candidate = self.choose_by_load(request, candidates, now, rng);
                (candidate, ChoiceReason::Load)
            }
        };
        let choice = self.tier_choice(request, chosen, reason, now);
        if choice.meets_deadline || distance == UpstreamDistance::OtherRegion {
            return choice;
        }
        // Before the request goes farther away, all near upstreams are looked at.
        let least = self.least_loaded(request, candidates, now);
        self.tier_choice(request, least, ChoiceReason::Load, now)
    }

    fn tier_choice(
        &self,
        request: &ChoiceRequest<'_>,
        candidate: ChoiceCandidate,
        reason: ChoiceReason,
        now: TimePoint,
    ) -> TierChoice {
        let slot = self.slot(candidate.slot);
        let delay = self.delay(slot, candidate.utilisation, request);
        let latency = self.settings.latency[slot.distance as usize];
        let done = now + delay + self.expected_service(request);
        TierChoice {
            slot: candidate.slot,
            reason,
            delay,
            // An upstream without a queue is kept even if the answer may be late: a farther one
            // would not be faster.
            meets_deadline: delay <= latency || done <= request.deadline,
        }
    }

    /// The least loaded upstream with the longest prefix, if its load is within the bound.
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
        let bound = mean * self.settings.prefix_bound + self.settings.prefix_slack;
        (candidate.utilisation <= bound).then_some((candidate, blocks))
    }

    /// The less loaded of two random upstreams.
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

    /// A random slot, in proportion to capacity and weight.
    fn random_slot<R: Rng>(&self, candidates: SlotSet, rng: &mut R) -> SlotIndex {
        let weight = |index: SlotIndex| {
            let slot = self.slot(index);
            slot.state.capacity.get().max(1) as f64 * slot.weight.max(f64::EPSILON)
        };
        let total: f64 = candidates.iter().map(weight).sum();
        let mut rest = rng.random::<f64>() * total;
        let mut last = None;
        for index in candidates.iter() {
            last = Some(index);
            rest -= weight(index);
            if rest < 0.0 {
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
            .blocks(capacity, self.mean_utilisation, settings, now);
        let utilisation = blocks / capacity.get().max(1) as f64;
        let suits = self.role_suits(slot.state.role, request);
        let factor = if suits {
            1.0
        } else {
            self.settings.role_mismatch
        };
        // The constant lets the role count also between idle upstreams.
        let cost = (utilisation + 1.0) * factor;
        ChoiceCandidate {
            slot: index,
            utilisation,
            cost,
        }
    }

    fn role_suits(&self, role: UpstreamRole, request: &ChoiceRequest<'_>) -> bool {
        let output = request
            .output
            .get()
            .saturating_mul(self.settings.prompt_heavy);
        let prompt_heavy = request.prompt.get() >= output;
        match role {
            UpstreamRole::Prefill => prompt_heavy,
            UpstreamRole::Decode => !prompt_heavy,
            UpstreamRole::Mixed | UpstreamRole::Plain => true,
        }
    }

    /// Latency plus expected wait: the time that the load above the capacity takes.
    fn delay(&self, slot: &ChooserSlot, utilisation: f64, request: &ChoiceRequest<'_>) -> Duration {
        let capacity = slot.state.capacity.get().max(1) as f64;
        let blocks = (request.prompt + request.output).blocks().get() as f64;
        let excess = (utilisation + blocks / capacity - 1.0).max(0.0);
        // A full memory of blocks is worked off in about the time that one request takes.
        let share = self.settings.queue_share[request.class as usize];
        let wait = excess * share * self.request_time_ms / 1e3;
        self.settings.latency[slot.distance as usize] + Duration::from_secs_f64(wait)
    }

    fn dispatch(
        &mut self,
        choice: TierChoice,
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

    /// Puts an upstream into its slot, or into a free one.
    fn place(&mut self, state: &UpstreamState) {
        if let Some(slot) = self.slot_mut(&state.upstream)
            && slot.state.incarnation == state.incarnation
        {
            slot.state = state.clone();
            return;
        }
        let known = self.by_name.get(&state.upstream).copied();
        let free = || {
            let index = self.slots.iter().position(Option::is_none);
            SlotIndex::new(index.expect("the subset has at most 64 members"))
        };
        let index = known.unwrap_or_else(free);
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
        self.any_model = SlotSet::default();
        self.all = SlotSet::default();
        self.by_distance = [SlotSet::default(); 3];
        self.by_phase = [SlotSet::default(); 3];
        self.ejected = SlotSet::default();
        for (index, slot) in self.slots.iter().enumerate() {
            let Some(slot) = slot else { continue };
            let index = SlotIndex::new(index);
            self.all.insert(index);
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
                None => self.any_model.insert(index),
                Some(model) => self.models.entry(model.clone()).or_default().insert(index),
            }
        }
    }

    fn update_mean(&mut self) {
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
