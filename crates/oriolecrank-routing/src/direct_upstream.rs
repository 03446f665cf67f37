//! Load of one upstream as one entry sees it.

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
    /// Prompt tokens of requests that have not shown a first answer.
    pub unread_tokens: u64,
}

impl UpstreamLoad {
    /// Sum of two loads.
    #[must_use]
    pub const fn plus(self, other: Self) -> Self {
        Self {
            running: self.running + other.running,
            unread_tokens: self.unread_tokens + other.unread_tokens,
        }
    }

    /// This load without a part of it.
    #[must_use]
    pub const fn minus(self, part: Self) -> Self {
        Self {
            running: self.running.saturating_sub(part.running),
            unread_tokens: self.unread_tokens.saturating_sub(part.unread_tokens),
        }
    }
}

/// Work of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct RunningWork {
    /// Tokens that the engine must read; 0 once it has shown a first answer.
    pub unread_tokens: u64,
    /// Tokens that had to be read when the request was sent.
    pub read_tokens: u64,
    /// Unread tokens of all entries before this request.
    pub ahead_tokens: u64,
}

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

    /// Expected time to the first event of a request, in milliseconds.
    pub fn prompt_ms(&self, prompt: &PromptShape, slots: u32, home: bool) -> f64 {
        let load = self.own.plus(self.others);
        let tokens = load.unread_tokens + self.tokens_to_read(prompt, home);
        let waiting = (load.running + 1).saturating_sub(slots);
        FIRST_STEP_MS + tokens as f64 / self.speed + f64::from(waiting) * BATCH_WAIT_MS
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

    /// Counts a request as sent.
    pub fn begin(
        &mut self,
        prompt: Option<&PromptShape>,
        cache_tokens: u64,
        read_elsewhere: bool,
    ) -> RunningWork {
        let mut work = RunningWork::default();
        if let Some(prompt) = prompt {
            if !read_elsewhere {
                work.read_tokens = self.tokens_to_read(prompt, false);
            }
            work.unread_tokens = work.read_tokens;
            work.ahead_tokens = self.own.plus(self.others).unread_tokens;
            self.parts.note(prompt, cache_tokens);
        }
        self.own.running += 1;
        self.own.unread_tokens += work.unread_tokens;
        work
    }

    /// A request has shown its first answer.
    pub fn first_answer(&mut self, work: &mut RunningWork, elapsed: Duration) {
        self.own.unread_tokens = self.own.unread_tokens.saturating_sub(work.unread_tokens);
        work.unread_tokens = 0;
        let tokens = (work.read_tokens + work.ahead_tokens) as f64;
        let read_ms = (elapsed.as_secs_f64() * 1_000.0 - FIRST_STEP_MS).max(1.0);
        // Short prompts say nothing about the reading speed.
        if work.read_tokens > 1_000 {
            self.speed += (tokens / read_ms - self.speed) * SPEED_WEIGHT;
            self.speed = self.speed.max(1.0);
        }
    }

    /// A request no longer runs.
    pub const fn finish(&mut self, work: &RunningWork) {
        self.own = self.own.minus(UpstreamLoad {
            running: 1,
            unread_tokens: work.unread_tokens,
        });
    }
}
