//! The upstreams of a service that one entry uses.
//!
//! Rendezvous hashing: each entry ranks the upstreams by a hash of both names, so a join or leave
//! changes at most one member, and different entries use different members.

use std::collections::HashMap;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::upstream_state::{NetworkLocation, UpstreamDistance, UpstreamState};

/// Size of a subset.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SubsetSettings {
    /// Largest number of upstreams; at most [`MAX_SUBSET`].
    pub size: usize,
    /// Part of the subset outside the failure domain, and again outside the region, as a divisor:
    /// 8 keeps an eighth for each. Nearer upstreams fill places that farther ones leave free, and
    /// the other way round.
    pub far_divisor: usize,
}

/// Largest possible subset, because sets of members are 64-bit masks.
pub const MAX_SUBSET: usize = 64;

impl Default for SubsetSettings {
    fn default() -> Self {
        Self {
            size: MAX_SUBSET,
            far_divisor: 8,
        }
    }
}

/// Identity of an entry for subset selection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntryIdentity {
    /// Name of the instance.
    pub name: String,
    /// Where it runs.
    pub location: NetworkLocation,
}

/// Selects the upstreams that `entry` uses out of all upstreams of a service.
///
/// Models share the places evenly, so that each model keeps several upstreams.
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
    // Small groups first, so that the places they leave free go to the larger ones.
    groups.sort_by_key(|group| (group.len(), group[0].model.clone()));
    let mut selected = Vec::with_capacity(size);
    let count = groups.len();
    for (index, group) in groups.into_iter().enumerate() {
        let share = (size - selected.len()) / (count - index);
        selected.extend(select_group(entry, group, share, settings.far_divisor));
    }
    selected
}

/// Selects `size` upstreams of one model.
fn select_group<'a>(
    entry: &EntryIdentity,
    mut group: Vec<&'a UpstreamState>,
    size: usize,
    far_divisor: usize,
) -> Vec<&'a UpstreamState> {
    if group.len() <= size {
        return group;
    }
    let seed = xxh3_64_with_seed(entry.name.as_bytes(), 0);
    group.sort_by_cached_key(|upstream| {
        let score = xxh3_64_with_seed(upstream.upstream.as_bytes(), seed);
        (std::cmp::Reverse(score), upstream.upstream.clone())
    });
    let far = size / far_divisor.max(1);
    let quotas = [size - 2 * far.min(size / 2), far, far];
    let mut taken = [0; 3];
    let mut selected = Vec::with_capacity(size);
    let mut passed = Vec::new();
    for upstream in group {
        let distance = UpstreamDistance::between(&entry.location, &upstream.location) as usize;
        if taken[distance] < quotas[distance] {
            taken[distance] += 1;
            selected.push(upstream);
        } else {
            passed.push((distance, upstream));
        }
    }
    // A stable sort keeps the ranking among equally distant upstreams.
    passed.sort_by_key(|(distance, _)| *distance);
    let free = size - selected.len();
    selected.extend(passed.into_iter().take(free).map(|(_, upstream)| upstream));
    selected
}
