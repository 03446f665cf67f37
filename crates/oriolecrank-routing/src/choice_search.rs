//! Search for the upstreams with the shortest expected time to the first answer.

use std::time::Duration;

use oriolecrank_schema::TimePoint;
use rand::Rng;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::direct_chooser::{ChoiceRequest, DirectChooser, DomainDistance};
use crate::direct_upstream::{CallTiming, DirectUpstream, PartTrust};
use crate::prompt_shape::{PartId, PromptShape};
use crate::upstream_directory::{EngineRole, UpstreamReadiness};

/// Cost of a copy beside its time, in milliseconds: a second message and a slot at the reader.
const READER_OVERHEAD_MS: f64 = 3.0;

/// Weight of the time that a request takes up at an engine or its link, beside the time to its own
/// answer: the requests behind it wait that much longer. Reading a prompt where its shared parts are
/// kept is therefore worth a longer way.
const OCCUPANCY_WEIGHT: f64 = 3.0;

/// What it is worth to run a request where its shared part is kept, in milliseconds: the part stays
/// there for the next one.
const HOME_BONUS_MS: f64 = 4.0;

/// Weight of reading at an engine that also runs requests: each piece of a prompt lengthens the steps
/// of all of them, so that their places come free later.
const RUNNING_WEIGHT: f64 = 2.0;

/// Cost of a way to another region beside its time, in milliseconds: traffic between regions is paid by
/// volume, and the shared parts of the prompt are kept in the own region.
const OTHER_REGION_MS: f64 = 120.0;

/// Fewest tokens that are worth a fetch from another engine.
const MIN_FETCH_TOKENS: u64 = 512;

/// Expected times are spread by up to this part, because entries with the same view would otherwise
/// all take the same upstream.
const SPREAD: f64 = 0.1;

/// Smallest weight that counts, so that an upstream that returns is tried at all.
const MIN_WEIGHT: f64 = 0.05;

/// Factor on the work of an upstream that is still slow after its start.
const COLD_FACTOR: f64 = 2.0;

/// An upstream that could take the request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Candidate {
    /// Place in the chooser's table.
    pub(crate) index: usize,
    /// Expected time to the first answer, in milliseconds.
    pub(crate) expected_ms: f64,
    /// Expected time and the delay to other requests, in milliseconds.
    pub(crate) cost_ms: f64,
    /// Tokens that it must read.
    pub(crate) prefill_tokens: u64,
    /// Place of the engine that it fetches the begin of the prompt from.
    pub(crate) fetch_from: Option<usize>,
}

/// What a request means for an upstream, in milliseconds.
#[derive(Debug, Clone, Copy)]
struct WorkTime {
    /// Time to the first answer without the way there.
    answer_ms: f64,
    /// Part of it in which other requests wait.
    occupied_ms: f64,
    /// Tokens that must be read.
    prefill_tokens: u64,
    /// Place of the engine that the begin of the prompt is fetched from.
    fetch_from: Option<usize>,
}

/// Engine that keeps the longest begin of a prompt.
#[derive(Debug, Clone, Copy)]
struct PromptKeeper {
    index: usize,
    tokens: u64,
}

impl Candidate {
    /// Expected time to the first answer.
    pub(crate) fn expected(&self) -> Duration {
        Duration::from_secs_f64(self.expected_ms.clamp(0.0, 1e9) / 1_000.0)
    }
}

/// Engine that keeps the shared part of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct PartHome {
    index: usize,
    /// An entry has sent the part there, as opposed to a choice by hashing.
    known: bool,
}

impl PartHome {
    /// What this says about an engine.
    fn trust(home: Option<Self>, index: usize) -> PartTrust {
        match home {
            Some(home) if home.index != index => PartTrust::None,
            Some(home) if home.known => PartTrust::Known,
            Some(_) => PartTrust::Probable,
            None => PartTrust::None,
        }
    }
}

/// Which upstreams may be chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Strictness {
    /// Those that are neither ejected nor silent.
    Sound,
    /// Any that may run the request.
    Any,
}

impl WorkTime {
    /// Time to the answer and the delay to other requests, in milliseconds.
    fn cost_ms(&self) -> f64 {
        self.answer_ms + self.occupied_ms * OCCUPANCY_WEIGHT
    }
}

/// One search.
pub(crate) struct ChoiceSearch<'a> {
    pub(crate) chooser: &'a DirectChooser,
    pub(crate) demand: &'a ChoiceRequest<'a>,
    pub(crate) timing: CallTiming,
    pub(crate) now: TimePoint,
}

impl ChoiceSearch<'_> {
    /// Best upstream to run the request. With a reader, the prompt is copied from there.
    pub(crate) fn serving_upstream<R: Rng>(
        &self,
        prefill_upstream: Option<&Candidate>,
        random: &mut R,
    ) -> Option<Candidate> {
        let home = self.home();
        let keeper = self.keeper(home);
        let prefill_upstream = prefill_upstream.and_then(|prefill_upstream| {
            let (_, upstream) = self.chooser.upstreams.get_index(prefill_upstream.index)?;
            Some((prefill_upstream, upstream))
        });
        self.best(random, |index, upstream| {
            if !takes(upstream, EngineRole::Decode) {
                return None;
            }
            let slots = self.slots(upstream);
            let Some(prompt) = self.demand.prompt else {
                let answer_ms = upstream.call_ms(self.chooser.call_ms, slots);
                return Some(WorkTime {
                    answer_ms,
                    occupied_ms: 0.0,
                    prefill_tokens: 0,
                    fetch_from: None,
                });
            };
            let Some((prefill_upstream, source)) = prefill_upstream else {
                return Some(self.read_time(index, upstream, prompt, home, keeper));
            };
            let copy_ms = self.chooser.copy_ms(source, upstream, prompt.input_tokens);
            let start_ms = upstream.start_ms(slots, self.now);
            let bonus_ms = if home.is_some_and(|home| home.index == index) {
                HOME_BONUS_MS
            } else {
                0.0
            };
            let read_cost_ms = prefill_upstream.cost_ms - prefill_upstream.expected_ms;
            Some(WorkTime {
                answer_ms: prefill_upstream.expected_ms + READER_OVERHEAD_MS + copy_ms + start_ms,
                occupied_ms: read_cost_ms / OCCUPANCY_WEIGHT + copy_ms - bonus_ms,
                prefill_tokens: 0,
                fetch_from: None,
            })
        })
    }

    /// Best engine that only reads prompts, and the best one to run the request behind it.
    pub(crate) fn read_first<R: Rng>(&self, random: &mut R) -> Option<(Candidate, Candidate)> {
        let prompt = self
            .demand
            .prompt
            .filter(|_| self.demand.allow_remote_prefill)?;
        let home = self.home();
        let keeper = self.keeper(home);
        let prefill_upstream = self.best(random, |index, upstream| {
            let reads = takes(upstream, EngineRole::Prefill);
            reads.then(|| self.read_time(index, upstream, prompt, home, keeper))
        })?;
        let serving_upstream = self.serving_upstream(Some(&prefill_upstream), random)?;
        Some((prefill_upstream, serving_upstream))
    }

    fn read_time(
        &self,
        index: usize,
        upstream: &DirectUpstream,
        prompt: &PromptShape,
        home: Option<PartHome>,
        keeper: Option<PromptKeeper>,
    ) -> WorkTime {
        let kept = upstream.kept_tokens(prompt, PartHome::trust(home, index));
        let alone = self.read_work(upstream, prompt.input_tokens.saturating_sub(kept), None);
        // The engine itself knows best what it keeps; it fetches only what it lacks.
        let keeper = keeper.filter(|keeper| keeper.index != index);
        let source = keeper.and_then(|keeper| {
            let (_, source) = self.chooser.upstreams.get_index(keeper.index)?;
            Some((keeper, source))
        });
        let Some((keeper, source)) = source else {
            return alone;
        };
        let rest = prompt.input_tokens.saturating_sub(keeper.tokens.max(kept));
        let fetched = self.read_work(upstream, rest, Some(keeper.index));
        let lacking = keeper.tokens.saturating_sub(kept);
        let copy_ms = self.chooser.copy_ms(source, upstream, lacking);
        let fetched = WorkTime {
            answer_ms: fetched.answer_ms + copy_ms,
            occupied_ms: fetched.occupied_ms + copy_ms,
            ..fetched
        };
        if fetched.cost_ms() <= alone.cost_ms() {
            fetched
        } else {
            alone
        }
    }

    fn read_work(
        &self,
        upstream: &DirectUpstream,
        prefill_tokens: u64,
        fetch_from: Option<usize>,
    ) -> WorkTime {
        let (slots, timing) = (self.slots(upstream), self.timing);
        let runs = takes(upstream, EngineRole::Decode);
        let slowdown = if runs { RUNNING_WEIGHT } else { 1.0 };
        WorkTime {
            answer_ms: upstream.prompt_ms(prefill_tokens, slots, timing, self.now),
            occupied_ms: upstream.prefill_ms(prefill_tokens) * slowdown,
            prefill_tokens,
            fetch_from,
        }
    }

    /// Engine that keeps the longest begin of the prompt, as far as this entry knows.
    fn keeper(&self, home: Option<PartHome>) -> Option<PromptKeeper> {
        let prompt = self.demand.prompt?;
        let upstreams = self.chooser.upstreams.values().enumerate();
        let near = upstreams.filter(|(index, upstream)| {
            let known = PartHome::trust(home, *index) == PartTrust::Known;
            let far = self.chooser.distance_to(upstream) == DomainDistance::OtherRegion;
            self.is_usable(upstream, Strictness::Sound) && (known || !far)
        });
        let keepers = near.map(|(index, upstream)| PromptKeeper {
            index,
            tokens: upstream.kept_tokens(prompt, PartHome::trust(home, index)),
        });
        keepers
            .max_by_key(|keeper| keeper.tokens)
            .filter(|keeper| keeper.tokens >= MIN_FETCH_TOKENS)
    }

    /// Usable upstream with the lowest cost; `work` gives what the request means for an upstream, or
    /// nothing if it does not take the work.
    fn best<R: Rng>(
        &self,
        random: &mut R,
        work: impl Fn(usize, &DirectUpstream) -> Option<WorkTime>,
    ) -> Option<Candidate> {
        let mut best = self.best_of(random, &work, Strictness::Sound);
        if best.is_none() {
            best = self.best_of(random, &work, Strictness::Any);
        }
        best
    }

    fn best_of<R: Rng>(
        &self,
        random: &mut R,
        work: &impl Fn(usize, &DirectUpstream) -> Option<WorkTime>,
        strictness: Strictness,
    ) -> Option<Candidate> {
        let mut best = None;
        let mut best_ms = f64::INFINITY;
        for (index, upstream) in self.chooser.upstreams.values().enumerate() {
            if !self.is_usable(upstream, strictness) {
                continue;
            }
            // The queue of an engine is short, and a late request in it would turn away one that can
            // still be answered in time.
            let late = self.timing == CallTiming::Late && self.demand.prompt.is_some();
            if late && !upstream.has_place(self.slots(upstream)) {
                continue;
            }
            let Some(work) = work(index, upstream) else {
                continue;
            };
            let cold = if upstream.is_cold(self.now) {
                COLD_FACTOR
            } else {
                1.0
            };
            let factor = cold / upstream.weight.max(MIN_WEIGHT);
            let expected_ms = self.chooser.trip_ms(upstream) + work.answer_ms * factor;
            let cost_ms =
                expected_ms + work.occupied_ms * factor * OCCUPANCY_WEIGHT + self.far_ms(upstream);
            let spread_ms = cost_ms * (1.0 + SPREAD * random.random::<f64>());
            if spread_ms < best_ms {
                best_ms = spread_ms;
                best = Some(Candidate {
                    index,
                    expected_ms,
                    cost_ms,
                    prefill_tokens: work.prefill_tokens,
                    fetch_from: work.fetch_from,
                });
            }
        }
        best
    }

    /// Cost of a way to another region beside its time, in milliseconds.
    fn far_ms(&self, upstream: &DirectUpstream) -> f64 {
        match self.chooser.distance_to(upstream) {
            DomainDistance::OtherRegion => OTHER_REGION_MS,
            DomainDistance::Same | DomainDistance::SameRegion => 0.0,
        }
    }

    fn is_usable(&self, upstream: &DirectUpstream, strictness: Strictness) -> bool {
        let announcement = upstream.announcement();
        let ready = announcement.state == UpstreamReadiness::Ready;
        if !ready || self.demand.tried.contains(&announcement.name) {
            return false;
        }
        if !self.chooser.may_connect(upstream, self.demand.entries) {
            return false;
        }
        let silent = self.now.since(upstream.received_at()) > self.chooser.settings.silent_after;
        strictness == Strictness::Any || (upstream.weight > 0.0 && !silent)
    }

    /// Engine that keeps the shared part of the prompt. Engines that only read prompts fetch the part
    /// from there.
    fn home(&self) -> Option<PartHome> {
        let part = self.demand.prompt.and_then(PromptShape::shared_part)?;
        self.known_home(part).or_else(|| self.probable_home(part))
    }

    /// Engine that was given the part a moment ago by any entry.
    fn known_home(&self, part: PartId) -> Option<PartHome> {
        let name = self.chooser.places.find(part, self.now)?;
        let (index, _, upstream) = self.chooser.upstreams.get_full(name)?;
        let usable = self.is_usable(upstream, Strictness::Sound);
        usable.then_some(PartHome { index, known: true })
    }

    /// Engine of the own region by rendezvous hashing, on which the entries of a region agree without a
    /// message.
    fn probable_home(&self, part: PartId) -> Option<PartHome> {
        let mut home = None;
        let mut best = None;
        for (index, upstream) in self.chooser.upstreams.values().enumerate() {
            if !takes(upstream, EngineRole::Decode) {
                continue;
            }
            let far = self.chooser.distance_to(upstream) == DomainDistance::OtherRegion;
            if far || !self.is_usable(upstream, Strictness::Sound) {
                continue;
            }
            let name = upstream.announcement().name.as_str();
            let hash = xxh3_64_with_seed(name.as_bytes(), part.0);
            if best.is_none_or(|best| hash > best) {
                best = Some(hash);
                home = Some(PartHome {
                    index,
                    known: false,
                });
            }
        }
        home
    }

    fn slots(&self, upstream: &DirectUpstream) -> u32 {
        let sheet = self.chooser.engine.map(|engine| engine.batch_slots);
        sheet.unwrap_or(upstream.announcement().slots)
    }
}

/// Whether an upstream does the work of a phase; plain upstreams run requests.
fn takes(upstream: &DirectUpstream, role: EngineRole) -> bool {
    upstream.announcement().role.unwrap_or(EngineRole::Decode) == role
}
