//! Search for the upstreams with the shortest expected time to the first answer.

use std::time::Duration;

use oriolecrank_schema::TimePoint;
use rand::Rng;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::direct_chooser::{CallDemand, DirectChooser};
use crate::direct_upstream::{CallTiming, DirectUpstream};
use crate::prompt_shape::PromptShape;
use crate::upstream_directory::{EnginePhase, UpstreamState};

/// Cost of a copy beside its time, in milliseconds: a second message and a slot at the reader.
const READER_OVERHEAD_MS: f64 = 3.0;

/// Weight of the time that a request takes up at an engine or its link, beside the time to its own
/// answer: the requests behind it wait that much longer. Reading a prompt where its shared parts are
/// kept is therefore worth a longer way.
const OCCUPANCY_WEIGHT: f64 = 3.0;

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
}

/// What a request means for an upstream, in milliseconds.
#[derive(Debug, Clone, Copy)]
struct WorkTime {
    /// Time to the first answer without the way there.
    answer_ms: f64,
    /// Part of it in which other requests wait.
    occupied_ms: f64,
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
        let home = self.home();
        let reader = reader.and_then(|reader| {
            let (_, upstream) = self.chooser.upstreams.get_index(reader.index)?;
            Some((reader, upstream))
        });
        self.best(random, |index, upstream| {
            if !takes(upstream, EnginePhase::Decode) {
                return None;
            }
            let slots = self.slots(upstream);
            let Some(prompt) = self.demand.prompt else {
                let answer_ms = upstream.call_ms(self.chooser.call_ms, slots);
                let occupied_ms = 0.0;
                return Some(WorkTime {
                    answer_ms,
                    occupied_ms,
                });
            };
            let Some((reader, source)) = reader else {
                return Some(self.read_time(upstream, prompt, home == Some(index)));
            };
            let copy_ms = self.chooser.copy_ms(source, upstream, prompt);
            let start_ms = upstream.start_ms(slots, self.now);
            let read_cost_ms = reader.cost_ms - reader.expected_ms;
            Some(WorkTime {
                answer_ms: reader.expected_ms + READER_OVERHEAD_MS + copy_ms + start_ms,
                occupied_ms: read_cost_ms / OCCUPANCY_WEIGHT + copy_ms,
            })
        })
    }

    /// Best engine that only reads prompts, and the best one to run the request behind it.
    pub(crate) fn read_first<R: Rng>(&self, random: &mut R) -> Option<(Candidate, Candidate)> {
        let prompt = self.demand.prompt.filter(|_| self.demand.may_read_first)?;
        let home = self.home();
        let reader = self.best(random, |index, upstream| {
            let reads = takes(upstream, EnginePhase::Prefill);
            reads.then(|| self.read_time(upstream, prompt, home == Some(index)))
        })?;
        let runner = self.runner(Some(&reader), random)?;
        Some((reader, runner))
    }

    fn read_time(&self, upstream: &DirectUpstream, prompt: &PromptShape, home: bool) -> WorkTime {
        WorkTime {
            answer_ms: upstream.prompt_ms(
                prompt,
                self.slots(upstream),
                home,
                self.demand.timing,
                self.now,
            ),
            occupied_ms: upstream.read_ms(prompt, home),
        }
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
            let late = self.demand.timing == CallTiming::Late && self.demand.prompt.is_some();
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
            let cost_ms = expected_ms + work.occupied_ms * factor * OCCUPANCY_WEIGHT;
            let spread_ms = cost_ms * (1.0 + SPREAD * random.random::<f64>());
            if spread_ms < best_ms {
                best_ms = spread_ms;
                best = Some(Candidate {
                    index,
                    expected_ms,
                    cost_ms,
                });
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

    /// Engine that keeps the shared part of the prompt, by rendezvous hashing weighted with reading
    /// speed, so that all entries agree without a message and each engine keeps as many parts as it
    /// can serve. Engines of all regions together keep each part once; the engines of one region
    /// would have to keep all of them.
    fn home(&self) -> Option<usize> {
        let part = self.demand.prompt.and_then(PromptShape::shared_part)?;
        let mut home = None;
        let mut best = f64::NEG_INFINITY;
        for (index, upstream) in self.chooser.upstreams.values().enumerate() {
            if !self.is_usable(upstream, Strictness::Sound) {
                continue;
            }
            let name = upstream.announcement().name.as_str();
            let hash = xxh3_64_with_seed(name.as_bytes(), part.0);
            let uniform = (hash as f64 + 1.0) / (u64::MAX as f64 + 2.0);
            let score = home_weight(upstream) / -uniform.ln();
            if score > best {
                best = score;
                home = Some(index);
            }
        }
        home
    }

    fn slots(&self, upstream: &DirectUpstream) -> u32 {
        let sheet = self.chooser.engine.map(|engine| engine.batch_slots);
        sheet.unwrap_or(upstream.announcement().slots)
    }
}

/// Weight of an engine among the homes of prompt parts. An engine that only reads prompts is about
/// twice as fast as one that reads them between the steps of running requests. Measured speeds are
/// not used, because entries measure them differently and would disagree on the homes.
fn home_weight(upstream: &DirectUpstream) -> f64 {
    match upstream.announcement().phase {
        Some(EnginePhase::Prefill) => 2.0,
        _ => 1.0,
    }
}

/// Whether an upstream does the work of a phase; plain upstreams run requests.
fn takes(upstream: &DirectUpstream, phase: EnginePhase) -> bool {
    upstream.announcement().phase.unwrap_or(EnginePhase::Decode) == phase
}
