//! Distances between failure domains, and what they cost.

use std::time::Duration;

use oriolecrank_policy::upstream_state::UpstreamDistance;

use crate::direct_chooser::{ChoiceRequest, DirectChooser};
use crate::direct_upstream::DirectUpstream;
use crate::names::DomainName;

impl DirectChooser {
    fn distance(&self, from: &DomainName, to: &DomainName) -> UpstreamDistance {
        if from == to {
            return UpstreamDistance::SameDomain;
        }
        let regions = &self.settings.regions;
        match (regions.get(from), regions.get(to)) {
            (Some(from), Some(to)) if from == to => UpstreamDistance::SameRegion,
            _ => UpstreamDistance::OtherRegion,
        }
    }

    /// Distance of an upstream from this entry.
    pub(crate) fn distance_to(&self, upstream: &DirectUpstream) -> UpstreamDistance {
        self.distance(&self.settings.domain, &upstream.announcement().domain)
    }

    /// Whether an upstream is in another region than this entry.
    pub(crate) fn is_in_other_region(&self, upstream: &DirectUpstream) -> bool {
        self.distance_to(upstream) == UpstreamDistance::OtherRegion
    }

    /// Number of regions of the site; at least 1.
    pub(crate) fn region_count(&self) -> u32 {
        let mut regions: Vec<&String> = self.settings.regions.values().collect();
        regions.sort_unstable();
        regions.dedup();
        regions.len().max(1) as u32
    }

    /// Round trip to an upstream, in milliseconds.
    pub(crate) fn round_trip_ms(&self, upstream: &DirectUpstream) -> f64 {
        let round_trip = match self.distance_to(upstream) {
            UpstreamDistance::SameDomain => Duration::ZERO,
            UpstreamDistance::SameRegion => self.settings.domain_round_trip,
            UpstreamDistance::OtherRegion => self.settings.region_round_trip,
        };
        round_trip.as_secs_f64() * 1_000.0
    }

    /// Cost of sending a request to an upstream, in milliseconds, without the round trip.
    pub(crate) fn transfer_ms(
        &self,
        upstream: &DirectUpstream,
        request: &ChoiceRequest<'_>,
    ) -> f64 {
        let settings = &self.settings.spill;
        let output_tokens = request.prompt.map_or(0, |prompt| prompt.output_tokens);
        let bytes = settings.transfer_bytes(request.body_bytes, output_tokens);
        settings.transfer_ms(self.distance_to(upstream), bytes)
    }

    /// Time to copy the cached tokens of a prompt from one engine to another, in milliseconds;
    /// infinite if the service states no copy rate.
    pub(crate) fn copy_ms(&self, from: &DirectUpstream, to: &DirectUpstream, tokens: u64) -> f64 {
        let (from, to) = (&from.announcement().domain, &to.announcement().domain);
        self.domain_copy_ms(from, to, tokens)
    }

    /// Like [`copy_ms`](Self::copy_ms), between engines of two failure domains.
    pub(crate) fn domain_copy_ms(&self, from: &DomainName, to: &DomainName, tokens: u64) -> f64 {
        let Some(engine) = self.engine.filter(|engine| engine.copy_rate > 0) else {
            return f64::INFINITY;
        };
        let factor = match self.distance(from, to) {
            UpstreamDistance::SameDomain => 1.0,
            UpstreamDistance::SameRegion => 2.0,
            UpstreamDistance::OtherRegion => 10.0,
        };
        (tokens * engine.token_bytes) as f64 / engine.copy_rate as f64 * factor
    }
}
