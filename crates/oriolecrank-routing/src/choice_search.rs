//! Search for the upstreams with the shortest expected time to the first answer.

use std::time::Duration;

use oriolecrank_schema::TimePoint;
use rand::Rng;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::direct_chooser::{CallDemand, DirectChooser, DomainDistance};
use crate::direct_upstream::DirectUpstream;
use crate::prompt_shape::PromptShape;
use crate::upstream_directory::{EnginePhase, UpstreamState};

/// Cost of a copy beside its time, in milliseconds: a second message and a slot at the reader.
const READER_OVERHEAD_MS: f64 = 3.0;

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
}

impl Candidate {
    /// Expected time to the first answer.
    pub(crate) fn expected(&self) -> Duration {
        Duration::from_secs_f64(self.expected_ms.clamp(0.0, 1e9) / 1_000.0)
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

/// One search.
pub(crate) struct ChoiceSearch<'a> {
    pub(crate) chooser: &'a DirectChooser,
    pub(crate) demand: &'a CallDemand<'a>,
    pub(crate) now: TimePoint,
}

impl ChoiceSearch<'_> {
    /// Best upstream to run the request. With a reader, the prompt is copied from there.
    pub(crate) fn runner<R: Rng>(
        &self,
        reader: Option<&Candidate>,
        random: &mut R,
    ) -> Option<Candidate> {
        let home = self.home(EnginePhase::Decode);
        let reader = reader.and_then(|reader| {
            let (_, upstream) = self.chooser.upstreams.get_index(reader.index)?;
            Some((reader.expected_ms, upstream))
        });
        self.best(random, |index, upstream| {
            if !takes(upstream, EnginePhase::Decode) {
                return None;
            }
            let work_ms = match (reader, self.demand.prompt) {
                (Some((read_ms, reader)), Some(prompt)) => {
                    let copy_ms = self.chooser.copy_ms(reader, upstream, prompt);
                    read_ms + READER_OVERHEAD_MS + copy_ms + upstream.start_ms(self.slots(upstream))
                }
                (_, Some(prompt)) => {
                    upstream.prompt_ms(prompt, self.slots(upstream), home == Some(index))
                }
                (_, None) => upstream.call_ms(self.chooser.call_ms, self.slots(upstream)),
            };
            Some(work_ms)
        })
    }

    /// Best engine that only reads prompts, and the best one to run the request behind it.
    pub(crate) fn read_first<R: Rng>(&self, random: &mut R) -> Option<(Candidate, Candidate)> {
        let prompt = self.demand.prompt.filter(|_| self.demand.may_read_first)?;
        let home = self.home(EnginePhase::Prefill);
        let reader = self.best(random, |index, upstream| {
            let reads = takes(upstream, EnginePhase::Prefill);
            let home = home == Some(index);
            reads.then(|| upstream.prompt_ms(prompt, self.slots(upstream), home))
        })?;
        let runner = self.runner(Some(&reader), random)?;
        Some((reader, runner))
    }

    /// Usable upstream with the shortest time; `work` gives the time at the upstream itself, in
    /// milliseconds, or nothing if it does not take the work.
    fn best<R: Rng>(
        &self,
        random: &mut R,
        work: impl Fn(usize, &DirectUpstream) -> Option<f64>,
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
        work: &impl Fn(usize, &DirectUpstream) -> Option<f64>,
        strictness: Strictness,
    ) -> Option<Candidate> {
        let mut best = None;
        let mut best_ms = f64::INFINITY;
        for (index, upstream) in self.chooser.upstreams.values().enumerate() {
            if !self.is_usable(upstream, strictness) {
                continue;
            }
            let Some(work_ms) = work(index, upstream) else {
                continue;
            };
            let cold = if upstream.is_cold(self.now) {
                COLD_FACTOR
            } else {
                1.0
            };
            let weight = upstream.weight.max(MIN_WEIGHT);
            let expected_ms = self.chooser.trip_ms(upstream) + work_ms * cold / weight;
            let spread_ms = expected_ms * (1.0 + SPREAD * random.random::<f64>());
            if spread_ms < best_ms {
                best_ms = spread_ms;
                best = Some(Candidate { index, expected_ms });
            }
        }
        best
    }

    fn is_usable(&self, upstream: &DirectUpstream, strictness: Strictness) -> bool {
        let announcement = upstream.announcement();
        let ready = announcement.state == UpstreamState::Ready;
        if !ready || self.demand.tried.contains(&announcement.name) {
            return false;
        }
        let silent = self.now.since(upstream.heard()) > self.chooser.settings.silent_after;
        strictness == Strictness::Any || (upstream.weight > 0.0 && !silent)
    }

    /// Engine of the own region that keeps the shared part of the prompt, by rendezvous hashing, so
    /// that all entries of a region agree without a message.
    fn home(&self, phase: EnginePhase) -> Option<usize> {
        let part = self.demand.prompt.and_then(PromptShape::shared_part)?;
        let upstreams = self.chooser.upstreams.values().enumerate();
        let near = upstreams.filter(|(_, upstream)| {
            let distance = self.chooser.distance_to(upstream);
            takes(upstream, phase)
                && self.is_usable(upstream, Strictness::Sound)
                && distance != DomainDistance::OtherRegion
        });
        let home = near.max_by_key(|(_, upstream)| {
            let name = upstream.announcement().name.as_str();
            xxh3_64_with_seed(name.as_bytes(), part.0)
        });
        home.map(|(index, _)| index)
    }

    fn slots(&self, upstream: &DirectUpstream) -> u32 {
        let sheet = self.chooser.engine.map(|engine| engine.batch_slots);
        sheet.unwrap_or(upstream.announcement().slots)
    }
}

/// Whether an upstream does the work of a phase; plain upstreams run requests.
fn takes(upstream: &DirectUpstream, phase: EnginePhase) -> bool {
    upstream.announcement().phase.unwrap_or(EnginePhase::Decode) == phase
}
