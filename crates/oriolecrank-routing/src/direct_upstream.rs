//! Load of one upstream as one entry sees it.

use std::collections::VecDeque;
use std::time::Duration;

use oriolecrank_schema::TimePoint;
use serde::{Deserialize, Serialize};

use crate::part_cache::PartCache;
use crate::prompt_shape::PromptShape;
use crate::upstream_directory::UpstreamAnnouncement;

/// Work at an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct UpstreamLoad {
    /// Requests that were sent and have not ended.
    pub running: u32,
    /// Prompt tokens of requests that have not shown a first answer and may still do so in time.
    pub unread_tokens: u64,
    /// Prompt tokens of requests that are late already; engines take them after the others.
    #[serde(default)]
    pub late_tokens: u64,
}

impl UpstreamLoad {
    /// Tokens that an engine takes before those of a new request.
    pub const fn tokens_ahead(self, timing: CallTiming) -> u64 {
        match timing {
            CallTiming::OnTime => self.unread_tokens,
            CallTiming::Late => self.unread_tokens + self.late_tokens,
        }
    }

    /// Sum of two loads.
    #[must_use]
    pub const fn plus(self, other: Self) -> Self {
        Self {
            running: self.running + other.running,
            unread_tokens: self.unread_tokens + other.unread_tokens,
            late_tokens: self.late_tokens + other.late_tokens,
        }
    }

    /// This load without a part of it.
    #[must_use]
    pub const fn minus(self, part: Self) -> Self {
        Self {
            running: self.running.saturating_sub(part.running),
            unread_tokens: self.unread_tokens.saturating_sub(part.unread_tokens),
            late_tokens: self.late_tokens.saturating_sub(part.late_tokens),
        }
    }
}

/// Whether an answer can still come in the time that callers expect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum CallTiming {
    /// It can.
    #[default]
    OnTime,
    /// It is late already; it must not delay one that is not.
    Late,
}

/// Work of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct RunningWork {
    /// Number of the request among those of the upstream.
    pub number: u64,
    /// Whether the request was sent behind those that are on time.
    pub timing: CallTiming,
    /// The request has shown a first answer.
    pub begun: bool,
    /// Tokens that had to be read when the request was sent.
    pub read_tokens: u64,
    /// Tokens of all entries that the engine takes before this request.
    pub ahead_tokens: u64,
}

impl RunningWork {
    /// Load of the request at present.
    const fn load(&self) -> UpstreamLoad {
        let unread = if self.begun { 0 } else { self.read_tokens };
        match self.timing {
            CallTiming::OnTime => UpstreamLoad {
                running: 1,
                unread_tokens: unread,
                late_tokens: 0,
            },
            CallTiming::Late => UpstreamLoad {
                running: 1,
                unread_tokens: 0,
                late_tokens: unread,
            },
        }
    }
}

/// A request on time that waits for its first answer.
#[derive(Debug, Clone, Copy)]
struct WaitingCall {
    number: u64,
    sent: TimePoint,
    /// Time that its own reading takes, in milliseconds.
    read_ms: f64,
}

/// Prompts with at least this many tokens to read show the reading speed.
const MIN_SPEED_TOKENS: u64 = 1_000;

/// Time over which an observed wait fades, in milliseconds; about the time in which a queue of a few
/// hundred milliseconds is gone.
const WAIT_MEMORY_MS: f64 = 300.0;

/// Weight of a new observation in the mean of reading speeds. Low, because single times also hold
/// waits that are not due to reading.
const SPEED_WEIGHT: f64 = 0.05;

/// Part of a prompt's known tokens that counts as cached at the home of its shared part, which
/// other entries have probably sent there.
const HOME_PART: f64 = 0.9;

/// Fixed time of an engine's first answer, in milliseconds.
const FIRST_STEP_MS: f64 = 10.0;

/// Time until a slot is free at an engine whose batch is full, in milliseconds for each request
/// that waits; from the shortest requests, which take about this long.
const BATCH_WAIT_MS: f64 = 40.0;

/// An upstream with its load.
#[derive(Debug)]
pub struct DirectUpstream {
    announcement: UpstreamAnnouncement,
    heard: TimePoint,
    /// End of the time in which it is slow after its start.
    cold_until: TimePoint,
    own: UpstreamLoad,
    others: UpstreamLoad,
    parts: PartCache,
    /// Requests on time that wait for a first answer, the oldest first.
    waiting: VecDeque<WaitingCall>,
    next_number: u64,
    /// Wait before the reading of the newest requests that were answered, in milliseconds.
    recent_wait_ms: f64,
    /// Time of the newest observation in `recent_wait_ms`.
    observed: TimePoint,
    /// Mean reading speed, in tokens per millisecond; above 0.
    speed: f64,
    /// Weight from ejection, between 0 (ejected) and 1.
    pub(crate) weight: f64,
}

impl DirectUpstream {
    /// An upstream without load.
    pub fn new(announcement: UpstreamAnnouncement, heard: TimePoint, speed: f64) -> Self {
        Self {
            cold_until: heard + announcement.cold_for,
            announcement,
            heard,
            own: UpstreamLoad::default(),
            others: UpstreamLoad::default(),
            parts: PartCache::default(),
            waiting: VecDeque::new(),
            next_number: 0,
            recent_wait_ms: 0.0,
            observed: heard,
            speed,
            weight: 1.0,
        }
    }

    /// Takes over a newer statement of the same incarnation.
    pub fn announce(&mut self, announcement: &UpstreamAnnouncement, heard: TimePoint) {
        self.cold_until = heard + announcement.cold_for;
        self.announcement = announcement.clone();
        self.heard = self.heard.max(heard);
    }

    /// What it says of itself.
    pub const fn announcement(&self) -> &UpstreamAnnouncement {
        &self.announcement
    }

    /// Start of the incarnation.
    pub const fn started_ms(&self) -> u64 {
        self.announcement.started_ms
    }

    /// Time of the newest statement.
    pub const fn heard(&self) -> TimePoint {
        self.heard
    }

    /// Whether it is still slow after its start.
    pub fn is_cold(&self, now: TimePoint) -> bool {
        now < self.cold_until
    }

    /// Load by this entry.
    pub const fn own_load(&self) -> UpstreamLoad {
        self.own
    }

    /// Takes over the load by the other entries.
    pub const fn set_other_load(&mut self, load: UpstreamLoad) {
        self.others = load;
    }

    /// Tokens that would have to be read.
    fn tokens_to_read(&self, prompt: &PromptShape, home: bool) -> u64 {
        let cached = self.parts.cached_tokens(prompt);
        if cached > 0 || !home {
            return prompt.input_tokens.saturating_sub(cached);
        }
        let own = prompt.parts.last().map_or(0, |part| part.tokens);
        let shared = prompt.input_tokens.saturating_sub(own);
        prompt
            .input_tokens
            .saturating_sub((shared as f64 * HOME_PART) as u64)
    }

    /// Time that reading a prompt takes up, in milliseconds.
    pub fn read_ms(&self, prompt: &PromptShape, home: bool) -> f64 {
        self.tokens_to_read(prompt, home) as f64 / self.speed
    }

    /// Expected time to the first event of a request, in milliseconds.
    pub fn prompt_ms(
        &self,
        prompt: &PromptShape,
        slots: u32,
        home: bool,
        timing: CallTiming,
        now: TimePoint,
    ) -> f64 {
        let load = self.own.plus(self.others);
        let queued_ms = load.tokens_ahead(timing) as f64 / self.speed;
        let wait_ms = queued_ms.max(self.seen_wait_ms(now));
        let waiting = (load.running + 1).saturating_sub(slots);
        let slot_ms = f64::from(waiting) * BATCH_WAIT_MS;
        FIRST_STEP_MS + wait_ms + self.read_ms(prompt, home) + slot_ms
    }

    /// Wait that requests on time have seen lately, in milliseconds. Counts of tokens miss what other
    /// entries have sent since their last report.
    fn seen_wait_ms(&self, now: TimePoint) -> f64 {
        let age_ms = now.since(self.observed).as_secs_f64() * 1_000.0;
        let recent = self.recent_wait_ms * (1.0 - age_ms / WAIT_MEMORY_MS).max(0.0);
        let oldest = self.waiting.front().map_or(0.0, |oldest| {
            let waited_ms = now.since(oldest.sent).as_secs_f64() * 1_000.0;
            waited_ms - oldest.read_ms - FIRST_STEP_MS
        });
        recent.max(oldest)
    }

    /// Expected time to the first event of a request whose prompt was read elsewhere, in
    /// milliseconds.
    pub fn start_ms(&self, slots: u32) -> f64 {
        let running = self.own.plus(self.others).running;
        let waiting = (running + 1).saturating_sub(slots);
        let share = f64::from(running) / f64::from(slots.max(1));
        FIRST_STEP_MS * (1.0 + share) + f64::from(waiting) * BATCH_WAIT_MS
    }

    /// Expected time of a plain call, in milliseconds.
    pub fn call_ms(&self, mean_ms: f64, slots: u32) -> f64 {
        let load = self.own.plus(self.others);
        let ahead = f64::from(load.running) / f64::from(slots.max(1));
        mean_ms * (1.0 + ahead)
    }

    /// Counts a request as sent; `reads` is the prompt that it must read here, if any.
    pub fn begin(
        &mut self,
        prompt: Option<&PromptShape>,
        cache_tokens: u64,
        reads: bool,
        timing: CallTiming,
        now: TimePoint,
    ) -> RunningWork {
        let mut work = RunningWork {
            number: self.next_number,
            timing,
            ..RunningWork::default()
        };
        self.next_number += 1;
        if let Some(prompt) = prompt {
            if reads {
                work.read_tokens = self.tokens_to_read(prompt, false);
                work.ahead_tokens = self.own.plus(self.others).tokens_ahead(timing);
            }
            self.parts.note(prompt, cache_tokens);
        }
        if reads && timing == CallTiming::OnTime {
            self.waiting.push_back(WaitingCall {
                number: work.number,
                sent: now,
                read_ms: work.read_tokens as f64 / self.speed,
            });
        }
        self.own = self.own.plus(work.load());
        work
    }

    /// A request has shown its first answer, `elapsed` after it was sent and without the way there.
    pub fn first_answer(&mut self, work: &mut RunningWork, elapsed: Duration, now: TimePoint) {
        self.own = self.own.minus(work.load());
        work.begun = true;
        self.own = self.own.plus(work.load());
        self.forget_waiting(work);
        // Short prompts say nothing about the reading speed.
        if work.timing == CallTiming::Late || work.read_tokens < MIN_SPEED_TOKENS {
            return;
        }
        let answer_ms = (elapsed.as_secs_f64() * 1_000.0 - FIRST_STEP_MS).max(1.0);
        let tokens = (work.read_tokens + work.ahead_tokens) as f64;
        self.speed += (tokens / answer_ms - self.speed) * SPEED_WEIGHT;
        self.speed = self.speed.max(1.0);
        self.recent_wait_ms = (answer_ms - work.read_tokens as f64 / self.speed).max(0.0);
        self.observed = now;
    }

    /// A request no longer runs.
    pub fn finish(&mut self, work: &RunningWork) {
        self.own = self.own.minus(work.load());
        self.forget_waiting(work);
    }

    fn forget_waiting(&mut self, work: &RunningWork) {
        let place = self
            .waiting
            .iter()
            .position(|call| call.number == work.number);
        if let Some(place) = place {
            self.waiting.remove(place);
        }
    }
}
