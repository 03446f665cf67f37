//! Pauses that upstreams ask for.
//!
//! An upstream that turns a request away may state for how long it wants no further ones. What it
//! states holds for the process that it has told and for the incarnation that has stated it. A pause
//! ends by time, whatever the upstream answers meanwhile.

use std::time::Duration;

use oriolecrank_schema::TimePoint;

/// Longest pause that is kept. A longer one would exclude an upstream for good if it states a wrong
/// unit; after it, the first request shows whether the upstream still asks for a pause.
const MAX_PAUSE: Duration = Duration::from_hours(1);

/// Time after a pause in which the number of requests is limited by that of the answers. It ends by
/// time, because answers may be slow or get lost.
const RAMP_TIME: Duration = Duration::from_secs(2);

/// Requests that may be sent in the ramp for each answer, in addition to the first one.
const RAMP_FACTOR: u32 = 2;

/// Callers that were refused in a pause come back at this multiple of the rate at which they came.
const RETURN_RATE: u32 = 2;

/// Longest time after a pause over which refused callers come back.
const MAX_RETURN_TIME: Duration = Duration::from_secs(5);

/// Pause that one incarnation of an upstream asks of this process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct UpstreamPause {
    window: Option<PauseWindow>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct PauseWindow {
    /// When the upstream asked for the pause first; not later than `ends_at`.
    begins_at: TimePoint,
    /// Latest end of the pauses that the upstream has asked for.
    ends_at: TimePoint,
    /// Requests that were sent after the end.
    sent: u32,
    /// Answers to these that asked for no pause; not more than `sent`.
    answered: u32,
}

impl UpstreamPause {
    /// Records that the upstream asks for a pause of `length`; returns whether this begins one. A
    /// shorter pause does not end a longer one that was asked for before.
    pub fn record(&mut self, length: Duration, now: TimePoint) -> bool {
        let ends_at = now + length.min(MAX_PAUSE);
        let active = self.window.filter(|window| now < window.ends_at);
        if ends_at <= active.map_or(now, |window| window.ends_at) {
            return false;
        }
        self.window = Some(PauseWindow {
            begins_at: active.map_or(now, |window| window.begins_at),
            ends_at,
            sent: 0,
            answered: 0,
        });
        active.is_none()
    }

    /// Time until the pause ends; `None` if there is none.
    pub fn time_left(&self, now: TimePoint) -> Option<Duration> {
        let window = self.window.filter(|window| now < window.ends_at)?;
        Some(window.ends_at.since(now))
    }

    /// Time since the upstream asked for the pause first; zero without a pause.
    pub fn age(&self, now: TimePoint) -> Duration {
        let window = self.window.filter(|window| now < window.ends_at);
        window.map_or(Duration::ZERO, |window| now.since(window.begins_at))
    }

    /// Whether a request may be sent now. After the end of a pause, one request is sent first, and
    /// more as answers arrive, so that the upstream does not get all that was held back at once.
    pub fn allows(&self, now: TimePoint) -> bool {
        self.window.is_none_or(|window| {
            let allowed = window.answered.saturating_mul(RAMP_FACTOR) + 1;
            let ramps = now < window.ends_at + RAMP_TIME;
            now >= window.ends_at && (!ramps || window.sent < allowed)
        })
    }

    /// Records a request that is sent.
    pub fn record_sent(&mut self, now: TimePoint) {
        if let Some(window) = self.ramp(now) {
            window.sent += 1;
        }
    }

    /// Records the first answer to a request that was sent at `sent_at`, unless it asks for a pause.
    pub fn record_answer(&mut self, sent_at: TimePoint, now: TimePoint) {
        if let Some(window) = self.ramp(now)
            && sent_at >= window.ends_at
        {
            window.answered = (window.answered + 1).min(window.sent);
        }
    }

    fn ramp(&mut self, now: TimePoint) -> Option<&mut PauseWindow> {
        let window = self.window.as_mut();
        window.filter(|window| now >= window.ends_at && now < window.ends_at + RAMP_TIME)
    }

    /// Time after which a caller that is refused because of the pause may come back; zero without a
    /// pause. Callers come back in the order in which they were refused, after the end of the pause
    /// and over a shorter time than that in which they were refused.
    pub fn return_time(&self, now: TimePoint) -> Duration {
        self.time_left(now).map_or(Duration::ZERO, |left| {
            left + (self.age(now) / RETURN_RATE).min(MAX_RETURN_TIME)
        })
    }
}
