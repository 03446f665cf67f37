//! Max-min division of a capacity, weighted by urgency.

use super::fair_share_settings::FairShareSettings;
use super::work_flow::{FlowDemand, FlowShare};

/// Divides `capacity`, in tokens per second, and returns the flows that get less than they want.
///
/// What a flow leaves of its weighted part goes to the others. A flow that wants no more than its
/// part therefore gets all of it, however much the others want.
pub fn split_capacity(
    demands: &[FlowDemand],
    capacity: f64,
    settings: &FairShareSettings,
) -> Vec<FlowShare> {
    let mut flows: Vec<(f64, &FlowDemand)> = demands
        .iter()
        .filter(|demand| demand.tokens_per_second.is_finite() && demand.tokens_per_second > 0.0)
        .map(|demand| (settings.weight(demand.priority), demand))
        .collect();
    // The flows that want the least for their weight come first: they are served in full.
    flows.sort_by(|(weight, demand), (other_weight, other)| {
        let wanted = demand.tokens_per_second / weight;
        wanted.total_cmp(&(other.tokens_per_second / other_weight))
    });
    let mut rest = capacity.max(0.0);
    let mut rest_weight: f64 = flows.iter().map(|(weight, _)| weight).sum();
    let mut shares = Vec::new();
    for (weight, demand) in flows {
        let part = rest * weight / rest_weight;
        rest_weight -= weight;
        if demand.tokens_per_second <= part {
            rest -= demand.tokens_per_second;
            continue;
        }
        rest -= part;
        shares.push(FlowShare {
            flow: demand.flow.clone(),
            fraction: part / demand.tokens_per_second,
        });
    }
    shares
}
