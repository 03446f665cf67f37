//! What the engines of a service have been sent, for fair shares.

use oriolecrank_policy::fair_share::EngineBacklog;
use oriolecrank_schema::TimePoint;

use crate::choice_search::serves_role;
use crate::direct_chooser::DirectChooser;
use crate::direct_upstream::CallTiming;
use crate::upstream_directory::EngineRole;

impl DirectChooser {
    /// Load of all entries on the engines that take requests, against what these engines can do.
    /// `None` if the upstreams of the service are not model engines.
    pub fn engine_backlog(&self, now: TimePoint) -> Option<EngineBacklog> {
        let engine = self.engine?;
        let mut backlog = EngineBacklog::default();
        for upstream in self.upstreams.values() {
            let is_silent = now.since(upstream.received_at()) > self.settings.silent_after;
            let pauses = upstream.pause.time_left(now).is_some();
            if !upstream.is_ready() || is_silent || pauses || upstream.weight <= 0.0 {
                continue;
            }
            let own_load = upstream.local_load(now);
            let load = upstream.total_load();
            backlog.pending_tokens += load.tokens_ahead(CallTiming::Late) as f64;
            backlog.own_tokens += own_load.tokens_ahead(CallTiming::Late) as f64;
            backlog.tokens_per_ms += upstream.reading_speed(&self.reading, now);
            // Engines that only read hold a request for a few milliseconds.
            if serves_role(upstream, EngineRole::Decode) {
                backlog.running += u64::from(load.running);
                backlog.slots += u64::from(engine.batch_slots);
            }
        }
        Some(backlog)
    }
}
