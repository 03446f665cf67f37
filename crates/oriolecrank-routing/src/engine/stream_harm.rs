//! Cost of pauses to the streams of an engine.

use std::time::Duration;

use oriolecrank_schema::TimePoint;

use crate::direct_upstream::DirectUpstream;
use crate::engine::event_pace::ServicePauses;
use crate::reading_speed::ServiceReading;

/// Share of the pause target up to which the prompts that an engine reads do not make its streams
/// late. The rest is a margin for prompts of other entries that are not reported yet.
const SAFE_PAUSE_SHARE: f64 = 0.6;

/// Cost of a stream that becomes late by a pause, as a multiple of its pause target.
const LATE_STREAM_COST: f64 = 2.0;

/// Share of the pause target above which an expected pause counts as late. The rest is for the way to
/// the caller and for the error of the mean.
const EXPECTED_PAUSE_SHARE: f64 = 0.9;

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
        let observed = self.ratio_to_target(upstream, reading_ms);
        let observed = observed.and_then(|(pauses, ratio)| pauses.share_above(ratio));
        let late_share = excess.clamp(0.0, 1.0).max(observed.unwrap_or(0.0));
        late_share * f64::from(upstream.running() + 1) * target_ms * LATE_STREAM_COST
    }

    /// Cost of the pauses that a stream of `events` events is expected to have at an engine, in
    /// milliseconds; 0 if nothing is known of them.
    pub(crate) fn of_own_pauses_ms(&self, upstream: &DirectUpstream, events: u64) -> f64 {
        let reading_ms = upstream.queued_reading_ms(self.reading, self.now);
        let late_share = self
            .ratio_to_target(upstream, reading_ms)
            .and_then(|(pauses, ratio)| pauses.streams_above(ratio, events));
        late_share.unwrap_or(0.0) * self.target_ms() * LATE_STREAM_COST
    }

    /// Ratio of the pause target to the expected pause at an engine that also reads for `reading_ms`.
    fn ratio_to_target(
        &self,
        upstream: &DirectUpstream,
        reading_ms: f64,
    ) -> Option<(&ServicePauses, f64)> {
        let pauses = self.pauses?;
        let pause_ms = pauses.mean_ms(&upstream.pace, self.now)? + reading_ms;
        let limit_ms = self.target_ms() * EXPECTED_PAUSE_SHARE;
        Some((pauses, limit_ms / pause_ms.max(1.0)))
    }

    fn target_ms(&self) -> f64 {
        self.pause_target.as_secs_f64() * 1_000.0
    }
}
