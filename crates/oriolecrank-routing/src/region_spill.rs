//! How much of its work an entry sends to other regions; the decision is that of
//! [`oriolecrank_policy::domain_spill`].

use oriolecrank_policy::domain_spill::{SpillRequest, UpstreamRoom};
use oriolecrank_schema::TimePoint;
use rand::Rng;

use crate::choice_search::{Candidate, LimitUse, RegionReach, serves_role};
use crate::direct_chooser::{
    CandidatePlan, ChoiceRequest, DirectChooser, NoUpstream, ON_TIME_TARGET_SHARE,
};
use crate::direct_upstream::{CallTiming, DirectUpstream};
use crate::upstream_directory::EngineRole;

/// Shortest time for which a request occupies an upstream, in milliseconds. A request whose prompt
/// is cached or was read elsewhere still takes a place there.
const MIN_WORK_MS: f64 = 1.0;

impl DirectChooser {
    /// Candidates with the lowest cost; those of the own region if the others have no room for more
    /// work of this entry, unless only the others can answer before the deadline.
    pub(crate) fn paced_search<R: Rng>(
        &self,
        request: &ChoiceRequest<'_>,
        timing: CallTiming,
        limits: LimitUse,
        now: TimePoint,
        random: &mut R,
    ) -> Result<CandidatePlan, NoUpstream> {
        let plan = self.search(request, timing, limits, RegionReach::All, now, random)?;
        if self.may_leave_region(&plan, request, now) {
            return Ok(plan);
        }
        let own = self.search(request, timing, limits, RegionReach::Own, now, random);
        match own {
            Ok(own) if own.serving_upstream.expected() <= request.time_left => Ok(CandidatePlan {
                kept_in_region: true,
                ..own
            }),
            Ok(_) | Err(_) => Ok(plan),
        }
    }

    /// Counts the work of a plan that leaves the region.
    pub(crate) fn record_spill(&mut self, plan: &CandidatePlan, now: TimePoint) {
        let leaving: Vec<f64> = self
            .leaving(plan)
            .map(|(candidate, upstream)| self.work_ms(candidate, upstream, now))
            .collect();
        for work_ms in leaving {
            self.spill.record_sent(work_ms, &self.settings.spill, now);
        }
    }

    fn may_leave_region(
        &self,
        plan: &CandidatePlan,
        request: &ChoiceRequest<'_>,
        now: TimePoint,
    ) -> bool {
        if !self.settings.spill.paced {
            return true;
        }
        self.leaving(plan).all(|(candidate, upstream)| {
            let role = upstream.announcement().role.unwrap_or(EngineRole::Decode);
            let spill_request = SpillRequest {
                work_ms: self.work_ms(candidate, upstream, now),
                room_ms: self.room_ms(role, request, now),
                view_age: now.since(self.remote_loads_at),
                entries: request.entries / self.region_count(),
            };
            self.spill.allows(&spill_request, &self.settings.spill, now)
        })
    }

    /// Candidates of a plan that are in other regions.
    fn leaving<'a>(
        &'a self,
        plan: &'a CandidatePlan,
    ) -> impl Iterator<Item = (&'a Candidate, &'a DirectUpstream)> {
        let candidates = plan.prefill_upstream.iter().chain([&plan.serving_upstream]);
        let upstreams = candidates.filter_map(|candidate| {
            let (_, upstream) = self.upstreams.get_index(candidate.index)?;
            Some((candidate, upstream))
        });
        upstreams.filter(|(_, upstream)| self.is_in_other_region(upstream))
    }

    /// Time for which a request occupies a candidate, in milliseconds.
    fn work_ms(&self, candidate: &Candidate, upstream: &DirectUpstream, now: TimePoint) -> f64 {
        let work_ms = if self.engine.is_some() {
            upstream.prefill_ms(candidate.prefill_tokens, &self.reading, now)
        } else {
            self.mean_service_ms(now)
        };
        work_ms.max(MIN_WORK_MS)
    }

    /// Work that the upstreams of other regions with this role can take on time, in milliseconds.
    fn room_ms(&self, role: EngineRole, request: &ChoiceRequest<'_>, now: TimePoint) -> f64 {
        let limit_ms = request.time_to_target.as_secs_f64() * 1_000.0 * ON_TIME_TARGET_SHARE;
        let view_delay = self.settings.spill.view_delay;
        let upstreams = self.upstreams.values().filter(|upstream| {
            self.is_in_other_region(upstream)
                && serves_role(upstream, role)
                && upstream.is_ready()
                && upstream.weight > 0.0
        });
        let rooms = upstreams.map(|upstream| {
            let longest_wait_ms = limit_ms - self.round_trip_ms(upstream);
            let room = if self.engine.is_some() {
                UpstreamRoom {
                    wait_ms: upstream.queued_reading_ms(&self.reading, now),
                    longest_wait_ms,
                    parallel: 1,
                }
            } else {
                let slots = upstream.announcement().slots;
                let mean_ms = self.mean_service_ms(now);
                UpstreamRoom {
                    wait_ms: upstream.plain_request_ms(mean_ms, slots) - mean_ms,
                    longest_wait_ms: longest_wait_ms - mean_ms,
                    parallel: slots,
                }
            };
            room.work_ms(view_delay)
        });
        rooms.sum()
    }
}
