//! Subsetting: selection of the upstreams of a service that one entry uses.
//!
//! Uses rendezvous hashing: each entry ranks the upstreams by a hash of both names. An upstream
//! that joins or leaves changes at most one member of a subset, and different entries use different
//! upstreams.

use std::collections::HashMap;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::upstream_state::{NetworkLocation, UpstreamDistance, UpstreamState};

/// Size and composition of a subset.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SubsetSettings {
    /// Maximum number of upstreams; at most [`MAX_SUBSET`].
    pub size: usize,
    /// Divisor for the part of the subset that is reserved for upstreams in other failure domains
    /// of the region, and again for upstreams in other regions: 8 reserves an eighth for each. If
    /// there are too few upstreams at one distance, those at other distances are used instead.
    pub remote_divisor: usize,
}

/// Maximum size of a subset, because sets of members are 64-bit masks.
pub const MAX_SUBSET: usize = 64;

impl Default for SubsetSettings {
    fn default() -> Self {
        Self {
            size: MAX_SUBSET,
            remote_divisor: 8,
        }
    }
}

/// Name and location of an entry, which determine its subset.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntryIdentity {
    /// Name of the instance; seeds the ranking of the upstreams.
    pub name: String,
    /// Failure domain and region of the entry.
    pub location: NetworkLocation,
}

/// Selects the upstreams that `entry` uses out of all upstreams of a service.
///
/// The subset is divided evenly among the models, so that it contains several upstreams of each.
pub fn select_subset<'a>(
    entry: &EntryIdentity,
    upstreams: &'a [UpstreamState],
    settings: &SubsetSettings,
) -> Vec<&'a UpstreamState> {
    let size = settings.size.clamp(1, MAX_SUBSET);
    if upstreams.len() <= size {
        return upstreams.iter().collect();
    }
    let mut by_model: HashMap<Option<&str>, Vec<&UpstreamState>> = HashMap::new();
    for upstream in upstreams {
        let model = upstream.model.as_deref();
        by_model.entry(model).or_default().push(upstream);
    }
    let mut groups: Vec<_> = by_model.into_values().collect();
    // Handles small groups first, so that larger groups can use what they leave of their shares.
    groups.sort_by_key(|group| (group.len(), group[0].model.clone()));
    let mut selected = Vec::with_capacity(size);
    let group_count = groups.len();
    for (index, group) in groups.into_iter().enumerate() {
        let share = (size - selected.len()) / (group_count - index);
        selected.extend(select_group(entry, group, share, settings.remote_divisor));
    }
    selected
}

/// Selects `size` upstreams of one model, or all if there are fewer.
fn select_group<'a>(
    entry: &EntryIdentity,
    mut group: Vec<&'a UpstreamState>,
    size: usize,
    remote_divisor: usize,
) -> Vec<&'a UpstreamState> {
    if group.len() <= size {
        return group;
    }
    let seed = xxh3_64_with_seed(entry.name.as_bytes(), 0);
    group.sort_by_cached_key(|upstream| {
        let score = xxh3_64_with_seed(upstream.upstream.as_bytes(), seed);
        (std::cmp::Reverse(score), upstream.upstream.clone())
    });
    let remote_quota = size / remote_divisor.max(1);
    let quotas = [
        size - 2 * remote_quota.min(size / 2),
        remote_quota,
        remote_quota,
    ];
    let mut selected_counts = [0; 3];
    let mut selected = Vec::with_capacity(size);
    let mut remaining = Vec::new();
    for upstream in group {
        let distance = UpstreamDistance::between(&entry.location, &upstream.location) as usize;
        if selected_counts[distance] < quotas[distance] {
            selected_counts[distance] += 1;
            selected.push(upstream);
        } else {
            remaining.push((distance, upstream));
        }
    }
    // The sort is stable, so upstreams at the same distance stay in the order of their ranks.
    remaining.sort_by_key(|(distance, _)| *distance);
    let missing = size - selected.len();
    selected.extend(
        remaining
            .into_iter()
            .take(missing)
            .map(|(_, upstream)| upstream),
    );
    selected
}
