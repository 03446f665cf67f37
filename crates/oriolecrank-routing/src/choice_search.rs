//! Search for the upstream with the lowest expected cost for a request.

use std::time::Duration;

use oriolecrank_policy::upstream_state::UpstreamDistance;
use oriolecrank_schema::TimePoint;
use rand::Rng;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::direct_chooser::{ChoiceRequest, DirectChooser};
use crate::direct_upstream::{CacheConfidence, CallTiming, DirectUpstream};
use crate::engine::stream_harm::StreamHarm;
use crate::names::{DomainName, UpstreamName};
use crate::prompt_shape::{PartId, PromptShape};
use crate::upstream_directory::EngineRole;

/// Overhead of a remote prefill in addition to the copy time, in milliseconds: a second message and
/// a batch slot at the prefill engine.
const REMOTE_PREFILL_OVERHEAD_MS: f64 = 3.0;

/// Weight of the time for which a request occupies an engine or its link, relative to the time to
/// its own answer: later requests wait that much longer. It makes a longer route to an engine with
/// a cached prompt prefix worthwhile.
const OCCUPANCY_WEIGHT: f64 = 3.0;

/// Reduction of the occupied time for serving a request where its shared prompt part is cached, if
/// another engine prefills the prompt, in milliseconds: the part stays cached there for the next
/// request.
const CACHE_AFFINITY_BONUS_MS: f64 = 4.0;

/// Smallest cached prefix, in tokens, that is worth fetching from another engine.
const MIN_FETCH_TOKENS: u64 = 512;

/// Largest random increase of a cost, relative to the cost. Without it, entries with the same view
/// would all choose the same upstream.
const COST_JITTER: f64 = 0.1;

/// Lower bound on the ejection weight in cost estimates, so that an upstream that recovers from
/// ejection still gets some requests.
const MIN_WEIGHT: f64 = 0.05;

/// Factor on the estimated work at an upstream that is still warming up.
const WARMUP_FACTOR: f64 = 2.0;

/// An upstream that can take the request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Candidate {
    /// Index in the chooser's table.
    pub(crate) index: usize,
    /// Expected time to the first answer including the round trip, in milliseconds.
    pub(crate) expected_ms: f64,
    /// Expected time to the first answer, plus the weighted delay of other requests, plus the cost
    /// of the transfer, in milliseconds.
    pub(crate) cost_ms: f64,
    /// Tokens to prefill at this upstream.
    pub(crate) prefill_tokens: u64,
    /// Index of the engine from which the upstream fetches the prompt prefix.
    pub(crate) fetch_from: Option<usize>,
}

/// Estimated work of a request at one upstream.
#[derive(Debug, Clone, Copy)]
struct WorkEstimate {
    /// Time to the first answer without the round trip, in milliseconds.
    answer_ms: f64,
    /// Time for which the request makes others wait, less the cache affinity bonus, in
    /// milliseconds; may be negative.
    occupied_ms: f64,
    /// Time to copy the prompt to the nearest failure domain with an engine that can serve the request,
    /// in milliseconds. It counts in the choice of a prefill engine only: the chosen pair has its own.
    handover_ms: f64,
    /// Tokens to prefill at this upstream.
    prefill_tokens: u64,
    /// Index of the engine from which the prompt prefix is fetched.
    fetch_from: Option<usize>,
}

/// Engine with the longest cached prefix of a prompt.
#[derive(Debug, Clone, Copy)]
struct PrefixHolder {
    index: usize,
    cached_tokens: u64,
}

impl Candidate {
    /// Expected time to the first answer.
    pub(crate) fn expected(&self) -> Duration {
        Duration::from_secs_f64(self.expected_ms.clamp(0.0, 1e9) / 1_000.0)
    }
}

/// Engine where the shared part of a prompt is kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct PartLocation {
    index: usize,
    /// Confidence that the engine caches the part by now; `None` for a part that is new to this entry,
    /// for which the engine is chosen by hashing.
    confidence: CacheConfidence,
}

impl PartLocation {
    /// Confidence that the engine at `index` caches the shared part.
    fn confidence(location: Option<Self>, index: usize) -> CacheConfidence {
        match location {
            Some(location) if location.index == index => location.confidence,
            Some(_) | None => CacheConfidence::None,
        }
    }
}

/// Which upstreams a search considers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum UpstreamFilter {
    /// Those of `Any` that are neither ejected nor silent.
    Healthy,
    /// All that are ready and untried, ask for no pause and have a free connection.
    Any,
}

/// Whether a search keeps to the limits that upstreams state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LimitUse {
    /// Upstreams whose limit leaves no request are left out.
    Kept,
    /// Limits are ignored, to find out which upstream would be chosen without them.
    Ignored,
}

/// Regions that a search considers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RegionReach {
    /// All.
    All,
    /// That of this entry.
    Own,
}

impl WorkEstimate {
    /// Time to the first answer plus the weighted delay of other requests, in milliseconds.
    fn cost_ms(&self) -> f64 {
        self.answer_ms + self.occupied_ms * OCCUPANCY_WEIGHT
    }
}

/// One search over the upstreams of a chooser.
pub(crate) struct ChoiceSearch<'a> {
    pub(crate) chooser: &'a DirectChooser,
    pub(crate) request: &'a ChoiceRequest<'a>,
    pub(crate) timing: CallTiming,
    pub(crate) limits: LimitUse,
    pub(crate) reach: RegionReach,
    pub(crate) now: TimePoint,
}

impl ChoiceSearch<'_> {
    /// Best upstream to serve the request. If `prefill_upstream` is given, it prefills the prompt
    /// and the result is copied from there.
    pub(crate) fn serving_upstream<R: Rng>(
        &self,
        prefill_upstream: Option<&Candidate>,
        random: &mut R,
    ) -> Option<Candidate> {
        let location = self.shared_part_location();
        let holder = self.prefix_holder(location);
        let prefill_upstream = prefill_upstream.and_then(|prefill_upstream| {
            let (_, upstream) = self.chooser.upstreams.get_index(prefill_upstream.index)?;
            Some((prefill_upstream, upstream))
        });
        self.best_candidate(random, |index, upstream| {
            if !serves_role(upstream, EngineRole::Decode) {
                return None;
            }
            let versions = self.request.versions;
            if !self
                .chooser
                .is_version_allowed(upstream, versions, self.now)
            {
                return None;
            }
            let slots = self.slots(upstream);
            let Some(prompt) = self.request.prompt else {
                let mean_ms = self.chooser.mean_service_ms(self.now);
                let answer_ms = upstream.plain_request_ms(mean_ms, slots);
                return Some(WorkEstimate {
                    answer_ms,
                    occupied_ms: 0.0,
                    handover_ms: 0.0,
                    prefill_tokens: 0,
                    fetch_from: None,
                });
            };
            let own_harm_ms = self
                .stream_harm()
                .of_own_pauses_ms(upstream, prompt.output_tokens);
            let Some((prefill_upstream, source)) = prefill_upstream else {
                let direct = self.best_prefill_estimate(index, upstream, prompt, location, holder);
                return Some(WorkEstimate {
                    occupied_ms: direct.occupied_ms + own_harm_ms / OCCUPANCY_WEIGHT,
                    ..direct
                });
            };
            let copy_ms = self.chooser.copy_ms(source, upstream, prompt.input_tokens);
            let decode_start_ms = upstream.decode_start_ms(slots, self.now);
            let bonus_ms = if location.is_some_and(|location| location.index == index) {
                CACHE_AFFINITY_BONUS_MS
            } else {
                0.0
            };
            let prefill_cost_ms = prefill_upstream.cost_ms - prefill_upstream.expected_ms;
            Some(WorkEstimate {
                answer_ms: prefill_upstream.expected_ms
                    + REMOTE_PREFILL_OVERHEAD_MS
                    + copy_ms
                    + decode_start_ms,
                occupied_ms: (prefill_cost_ms + own_harm_ms) / OCCUPANCY_WEIGHT + copy_ms
                    - bonus_ms,
                handover_ms: 0.0,
                prefill_tokens: 0,
                fetch_from: None,
            })
        })
    }

    /// Best prefill engine, and the best upstream to serve the request after the prefill. `None` if
    /// the request allows no remote prefill or no engine is found.
    pub(crate) fn remote_prefill<R: Rng>(&self, random: &mut R) -> Option<(Candidate, Candidate)> {
        let prompt = self
            .request
            .prompt
            .filter(|_| self.request.allow_remote_prefill)?;
        let location = self.shared_part_location();
        let holder = self.prefix_holder(location);
        let serving_domains = self.serving_domains();
        let prefill_upstream = self.best_candidate(random, |index, upstream| {
            if !serves_role(upstream, EngineRole::Prefill) {
                return None;
            }
            let estimate = self.best_prefill_estimate(index, upstream, prompt, location, holder);
            let from = &upstream.announcement().domain;
            Some(WorkEstimate {
                handover_ms: self.handover_ms(from, &serving_domains, prompt.input_tokens),
                ..estimate
            })
        })?;
        let serving_upstream = self.serving_upstream(Some(&prefill_upstream), random)?;
        Some((prefill_upstream, serving_upstream))
    }

    fn best_prefill_estimate(
        &self,
        index: usize,
        upstream: &DirectUpstream,
        prompt: &PromptShape,
        location: Option<PartLocation>,
        holder: Option<PrefixHolder>,
    ) -> WorkEstimate {
        let cached =
            upstream.expected_cached_tokens(prompt, PartLocation::confidence(location, index));
        let without_fetch =
            self.prefill_estimate(upstream, prompt.input_tokens.saturating_sub(cached), None);
        // An engine uses its own cache first and fetches only what is missing.
        let holder = holder.filter(|holder| holder.index != index);
        let source = holder.and_then(|holder| {
            let (_, source) = self.chooser.upstreams.get_index(holder.index)?;
            Some((holder, source))
        });
        let Some((holder, source)) = source else {
            return without_fetch;
        };
        let remaining_tokens = prompt
            .input_tokens
            .saturating_sub(holder.cached_tokens.max(cached));
        let with_fetch = self.prefill_estimate(upstream, remaining_tokens, Some(holder.index));
        let missing_tokens = holder.cached_tokens.saturating_sub(cached);
        let copy_ms = self.chooser.copy_ms(source, upstream, missing_tokens);
        let with_fetch = WorkEstimate {
            answer_ms: with_fetch.answer_ms + copy_ms,
            occupied_ms: with_fetch.occupied_ms + copy_ms,
            ..with_fetch
        };
        if with_fetch.cost_ms() <= without_fetch.cost_ms() {
            with_fetch
        } else {
            without_fetch
        }
    }

    fn prefill_estimate(
        &self,
        upstream: &DirectUpstream,
        prefill_tokens: u64,
        fetch_from: Option<usize>,
    ) -> WorkEstimate {
        let (slots, timing) = (self.slots(upstream), self.timing);
        let also_decodes = serves_role(upstream, EngineRole::Decode);
        let (reading, now) = (&self.chooser.reading, self.now);
        let prefill_ms = upstream.prefill_ms(prefill_tokens, reading, now);
        let harm_ms = if also_decodes {
            self.stream_harm().of_reading_ms(upstream, prefill_ms)
        } else {
            0.0
        };
        WorkEstimate {
            answer_ms: upstream.first_answer_ms(prefill_tokens, slots, timing, reading, now),
            occupied_ms: prefill_ms + harm_ms / OCCUPANCY_WEIGHT,
            handover_ms: 0.0,
            prefill_tokens,
            fetch_from,
        }
    }

    /// Time to copy a prompt to the nearest of the failure domains, in milliseconds; 0 if it cannot be
    /// copied, which the choice of the serving upstream finds out.
    fn handover_ms(&self, from: &DomainName, domains: &[&DomainName], tokens: u64) -> f64 {
        let copy_ms = |to| self.chooser.domain_copy_ms(from, to, tokens);
        let nearest_ms = if domains.contains(&from) {
            copy_ms(from)
        } else {
            let copies = domains.iter().map(|to| copy_ms(to));
            copies.fold(f64::INFINITY, f64::min)
        };
        if nearest_ms.is_finite() {
            nearest_ms
        } else {
            0.0
        }
    }

    /// Failure domains with engines that can serve the request.
    fn serving_domains(&self) -> Vec<&DomainName> {
        let mut domains: Vec<&DomainName> = Vec::new();
        for upstream in self.chooser.upstreams.values() {
            let domain = &upstream.announcement().domain;
            let versions = self.request.versions;
            if serves_role(upstream, EngineRole::Decode)
                && !domains.contains(&domain)
                && self.is_usable(upstream, UpstreamFilter::Healthy)
                && self
                    .chooser
                    .is_version_allowed(upstream, versions, self.now)
            {
                domains.push(domain);
            }
        }
        domains
    }

    fn stream_harm(&self) -> StreamHarm<'_> {
        StreamHarm {
            pause_target: self.request.pause_target,
            reading: &self.chooser.reading,
            pauses: self.chooser.observed_pauses(),
            now: self.now,
        }
    }

    /// Engine with the longest cached prefix of the prompt, as far as this entry knows. Engines of
    /// other regions count only if a placement there is recorded.
    fn prefix_holder(&self, location: Option<PartLocation>) -> Option<PrefixHolder> {
        let prompt = self.request.prompt?;
        let upstreams = self.chooser.upstreams.values().enumerate();
        let reachable = upstreams.filter(|(index, upstream)| {
            let recorded = PartLocation::confidence(location, *index) == CacheConfidence::Known;
            let other_region = self.chooser.distance_to(upstream) == UpstreamDistance::OtherRegion;
            self.is_usable(upstream, UpstreamFilter::Healthy) && (recorded || !other_region)
        });
        let holders = reachable.map(|(index, upstream)| PrefixHolder {
            index,
            cached_tokens: upstream
                .expected_cached_tokens(prompt, PartLocation::confidence(location, index)),
        });
        holders
            .max_by_key(|holder| holder.cached_tokens)
            .filter(|holder| holder.cached_tokens >= MIN_FETCH_TOKENS)
    }

    /// Usable upstream with the lowest cost; `estimate` returns `None` for an upstream that cannot
    /// do the work. Unhealthy upstreams are considered only if no healthy one is found.
    fn best_candidate<R: Rng>(
        &self,
        random: &mut R,
        estimate: impl Fn(usize, &DirectUpstream) -> Option<WorkEstimate>,
    ) -> Option<Candidate> {
        let mut best = self.best_with_filter(random, &estimate, UpstreamFilter::Healthy);
        if best.is_none() {
            best = self.best_with_filter(random, &estimate, UpstreamFilter::Any);
        }
        best
    }

    fn best_with_filter<R: Rng>(
        &self,
        random: &mut R,
        estimate: &impl Fn(usize, &DirectUpstream) -> Option<WorkEstimate>,
        filter: UpstreamFilter,
    ) -> Option<Candidate> {
        let mut best = None;
        let mut best_ms = f64::INFINITY;
        for (index, upstream) in self.chooser.upstreams.values().enumerate() {
            if !self.is_usable(upstream, filter) {
                continue;
            }
            let priority = self.request.priority;
            if self.limits == LimitUse::Kept && !upstream.limit.allows(priority, self.now) {
                continue;
            }
            // The queue of an engine is short: a late request in it could displace one that can
            // still be answered in time.
            let late = self.timing == CallTiming::Late && self.request.prompt.is_some();
            if late && !upstream.has_free_slot(self.slots(upstream)) {
                continue;
            }
            let Some(estimate) = estimate(index, upstream) else {
                continue;
            };
            let warmup = if upstream.is_warming_up(self.now) {
                WARMUP_FACTOR
            } else {
                1.0
            };
            let factor = warmup / upstream.weight.max(MIN_WEIGHT);
            let expected_ms = self.chooser.round_trip_ms(upstream) + estimate.answer_ms * factor;
            let cost_ms = expected_ms
                + estimate.occupied_ms * factor * OCCUPANCY_WEIGHT
                + self.chooser.transfer_ms(upstream, self.request);
            let pair_ms = cost_ms + estimate.handover_ms * (1.0 + OCCUPANCY_WEIGHT);
            let jittered_ms = pair_ms * (1.0 + COST_JITTER * random.random::<f64>());
            if jittered_ms < best_ms {
                best_ms = jittered_ms;
                best = Some(Candidate {
                    index,
                    expected_ms,
                    cost_ms,
                    prefill_tokens: estimate.prefill_tokens,
                    fetch_from: estimate.fetch_from,
                });
            }
        }
        best
    }

    fn is_usable(&self, upstream: &DirectUpstream, filter: UpstreamFilter) -> bool {
        let announcement = upstream.announcement();
        if !upstream.is_ready() || self.request.tried.contains(&announcement.name) {
            return false;
        }
        if !upstream.pause.allows(self.now) {
            return false;
        }
        if !self.chooser.may_connect(upstream, self.request.entries) {
            return false;
        }
        if self.reach == RegionReach::Own && self.chooser.is_in_other_region(upstream) {
            return false;
        }
        let silent = self.now.since(upstream.received_at()) > self.chooser.settings.silent_after;
        filter == UpstreamFilter::Any || (upstream.weight > 0.0 && !silent)
    }

    /// Engine where the shared part of the prompt is kept. Prefill engines fetch the part from there.
    fn shared_part_location(&self) -> Option<PartLocation> {
        let part = self.request.prompt.and_then(PromptShape::shared_part)?;
        let placements = &self.chooser.placements;
        let recent = placements.find(part, self.now);
        let earlier = placements.find_earlier(part);
        self.recorded_location(recent, CacheConfidence::Known)
            .or_else(|| self.recorded_location(earlier, CacheConfidence::Probable))
            .or_else(|| self.hashed_location(part))
    }

    /// Location at an engine to which any entry has sent the part, if that engine can be used.
    fn recorded_location(
        &self,
        name: Option<&UpstreamName>,
        confidence: CacheConfidence,
    ) -> Option<PartLocation> {
        let (index, _, upstream) = self.chooser.upstreams.get_full(name?)?;
        let usable = self.is_usable(upstream, UpstreamFilter::Healthy);
        usable.then_some(PartLocation { index, confidence })
    }

    /// Engine of the local region chosen by rendezvous hashing, which gives all entries of a region
    /// the same result without coordination. A part that was placed before is probably cached there by
    /// now, as the entries choose this engine while the earlier one cannot be used. A new part is not
    /// cached anywhere.
    fn hashed_location(&self, part: PartId) -> Option<PartLocation> {
        let confidence = if self.chooser.placements.find_earlier(part).is_some() {
            CacheConfidence::Probable
        } else {
            CacheConfidence::None
        };
        let mut location = None;
        let mut best = None;
        for (index, upstream) in self.chooser.upstreams.values().enumerate() {
            if !serves_role(upstream, EngineRole::Decode) {
                continue;
            }
            let other_region = self.chooser.distance_to(upstream) == UpstreamDistance::OtherRegion;
            if other_region || !self.is_usable(upstream, UpstreamFilter::Healthy) {
                continue;
            }
            let name = upstream.announcement().name.as_str();
            let hash = xxh3_64_with_seed(name.as_bytes(), part.0);
            if best.is_none_or(|best| hash > best) {
                best = Some(hash);
                location = Some(PartLocation { index, confidence });
            }
        }
        location
    }

    fn slots(&self, upstream: &DirectUpstream) -> u32 {
        let batch_slots = self.chooser.engine.map(|engine| engine.batch_slots);
        batch_slots.unwrap_or(upstream.announcement().slots)
    }
}

/// Whether an upstream does the work of `role`; an upstream without a role serves requests like a
/// decode engine.
pub(crate) fn serves_role(upstream: &DirectUpstream, role: EngineRole) -> bool {
    upstream.announcement().role.unwrap_or(EngineRole::Decode) == role
}
