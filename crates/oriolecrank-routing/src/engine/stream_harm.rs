//! Cost of pauses to the streams of an engine.

use std::time::Duration;

use oriolecrank_schema::TimePoint;

use crate::direct_upstream::DirectUpstream;
use crate::engine::event_pace::{SAMPLE_EVENTS, ServicePauses};
use crate::reading_speed::ServiceReading;

/// Share of the pause target up to which the prompts that an engine reads do not make its streams
/// late. The rest is a margin for prompts of other entries that are not reported yet.
const SAFE_PAUSE_SHARE: f64 = 0.6;

/// Cost of a stream that becomes late by a pause, as a multiple of its pause target.
const LATE_STREAM_COST: f64 = 2.0;

/// Share of the pause target above which an expected pause counts as late. The rest is for the way to
/// the caller and for the error of the mean.
const EXPECTED_PAUSE_SHARE: f64 = 0.9;

/// Share of an engine's slots that long streams fill before they begin to use another engine. The rest
/// is for short answers, and the loss of one engine interrupts few streams.
const SHARED_SLOTS: f64 = 0.25;

/// Cost of a long stream at an engine that could read instead, as a multiple of the pause target.
const READING_ROOM_COST: f64 = 0.5;

/// Estimates the cost of pauses to the streams of a service's engines.
#[derive(Debug, Clone, Copy)]
pub(crate) struct StreamHarm<'a> {
    /// Longest pause of a stream that is on time.
    pub(crate) pause_target: Duration,
    /// Reading speeds of the service's engines.
    pub(crate) reading: &'a ServiceReading,
    /// Observed pauses; `None` if the settings ask for no estimate of them.
    pub(crate) pauses: Option<&'a ServicePauses>,
    pub(crate) now: TimePoint,
}

impl StreamHarm<'_> {
    /// Cost to the streams of an engine if it also reads a prompt for `prefill_ms`, in milliseconds.
    ///
    /// An engine reads between its decoding steps, so that a stream may pause for as long as all
    /// prompts take that wait there. Less than the pause target does no harm; beyond, the streams that
    /// run there, and the next one, are late.
    pub(crate) fn of_reading_ms(&self, upstream: &DirectUpstream, prefill_ms: f64) -> f64 {
        let reading_ms = upstream.queued_reading_ms(self.reading, self.now) + prefill_ms;
        let target_ms = self.target_ms();
        let safe_ms = target_ms * SAFE_PAUSE_SHARE;
        let excess = (reading_ms - safe_ms) / (target_ms - safe_ms).max(1.0);
        let streams = upstream.running() + 1;
        let queued_cost = excess.clamp(0.0, 1.0) * f64::from(streams);
        let pause_cost =
            self.late_by_reading(upstream, prefill_ms) * f64::from(upstream.long_running(self.now));
        queued_cost.max(pause_cost) * target_ms * LATE_STREAM_COST
    }

    /// Share of the streams of an engine that become late if it also reads for `prefill_ms`. Streams
    /// that are late already by the prompts that wait there do not count.
    fn late_by_reading(&self, upstream: &DirectUpstream, prefill_ms: f64) -> f64 {
        let queued_ms = upstream.queued_reading_ms(self.reading, self.now);
        let late_share = |reading_ms: f64| {
            let pauses = self.pauses?;
            let pause_ms = pauses.mean_ms(&upstream.pace, self.now)? + reading_ms;
            pauses.streams_above(self.ratio_to_target(pause_ms), u64::from(SAMPLE_EVENTS))
        };
        let before = late_share(queued_ms).unwrap_or(0.0);
        let after = late_share(queued_ms + prefill_ms).unwrap_or(0.0);
        (after - before).max(0.0)
    }

    /// Cost of a stream of `events` events for the prompts that its engine could read otherwise, in
    /// milliseconds. Streams that decode for long share engines, so that others are free to read.
    pub(crate) fn of_reading_room_ms(
        &self,
        upstream: &DirectUpstream,
        slots: u32,
        events: u64,
    ) -> f64 {
        if self.pauses.is_none() || events < u64::from(SAMPLE_EVENTS) {
            return 0.0;
        }
        let shared = f64::from(slots) * SHARED_SLOTS;
        let streams = f64::from(upstream.long_running(self.now));
        let distance = (1.0 - streams / shared.max(1.0)).abs().min(1.0);
        distance * self.target_ms() * READING_ROOM_COST
    }

    /// Ratio of the pause target to a mean pause.
    fn ratio_to_target(&self, pause_ms: f64) -> f64 {
        self.target_ms() * EXPECTED_PAUSE_SHARE / pause_ms.max(1.0)
    }

    /// Cost of the pauses that a stream of `events` events is expected to have at an engine, in
    /// milliseconds; 0 if nothing is known of them. The mean pause of the engine contains the prompts
    /// that it reads beside its streams.
    pub(crate) fn of_own_pauses_ms(&self, upstream: &DirectUpstream, events: u64) -> f64 {
        let target_ms = self.target_ms();
        let late_share = self.pauses.and_then(|pauses| {
            let mean_ms = pauses.mean_ms(&upstream.pace, self.now)?;
            pauses.streams_above(self.ratio_to_target(mean_ms), events.saturating_sub(1))
        });
        late_share.unwrap_or(0.0) * target_ms * LATE_STREAM_COST
    }

    fn target_ms(&self) -> f64 {
        self.pause_target.as_secs_f64() * 1_000.0
    }
}
