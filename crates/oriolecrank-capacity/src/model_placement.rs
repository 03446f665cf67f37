//! Decides which models and adapters are loaded onto which upstreams, and in what order.

use std::collections::BTreeSet;
use std::time::Duration;

use indexmap::IndexMap;
use oriolecrank_schema::TimePoint;
use oriolecrank_schema::control::{Command, OrderAction};
use oriolecrank_schema::document::{FailureDomainId, PriorityClass, UpstreamId};

use crate::{TokenRate, UpstreamView};

/// Model or adapter version that an upstream can load.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum LoadArtefact {
    /// A version of a model.
    Model {
        /// Name of the model.
        model: String,
        /// Version of the model.
        version: String,
    },
    /// A version of an adapter.
    Adapter {
        /// Name of the adapter.
        adapter: String,
        /// Version of the adapter.
        version: String,
    },
}

/// Urgency of a load; smaller values are more urgent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum LoadUrgency {
    /// No upstream has the artefact, and calls of this class need it.
    NoCopy(PriorityClass),
    /// Fewer failure domains have a copy than required, so the loss of one may lose the last copy.
    TooFewDomains(PriorityClass),
    /// The demand exceeds the throughput of the existing copies.
    MoreDemand(PriorityClass),
}

/// A planned load of one artefact onto one upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadRequest {
    /// Upstream that loads the artefact.
    pub upstream: UpstreamId,
    /// Artefact to load.
    pub artefact: LoadArtefact,
    /// Size of the artefact in bytes.
    pub bytes: u64,
    /// Urgency, which orders the queue.
    pub urgency: LoadUrgency,
}

impl From<&LoadRequest> for Command {
    fn from(request: &LoadRequest) -> Self {
        let action = match request.artefact.clone() {
            LoadArtefact::Model { model, version } => OrderAction::LoadModel { model, version },
            LoadArtefact::Adapter { adapter, version } => {
                OrderAction::LoadAdapter { adapter, version }
            }
        };
        let reason = match request.urgency {
            LoadUrgency::NoCopy(_) => "no upstream has a copy",
            LoadUrgency::TooFewDomains(_) => "only one failure domain has a copy",
            LoadUrgency::MoreDemand(_) => "the demand exceeds the copies",
        };
        Self::PlaceOrder {
            upstream: request.upstream.clone(),
            action,
            reason: reason.to_owned(),
        }
    }
}

/// Demand for one artefact.
#[derive(Debug, Clone, PartialEq)]
pub struct ModelDemand {
    /// Requested artefact.
    pub artefact: LoadArtefact,
    /// Size of the artefact in bytes.
    pub bytes: u64,
    /// Most urgent priority class with calls for the artefact.
    pub class: PriorityClass,
    /// Number of engines that the prompt and output tokens keep fully busy.
    pub engines: f64,
    /// Rate of prompt and output tokens; among equally urgent loads, the larger rate comes first.
    pub tokens: TokenRate,
    /// Upstreams that have the artefact.
    pub copies: Vec<UpstreamId>,
    /// Upstreams with an unfinished order to load the artefact.
    pub loading: Vec<UpstreamId>,
}

/// Settings of [`PlacementPlanner`].
#[derive(Debug, Clone, PartialEq)]
pub struct PlacementSettings {
    /// Smallest number of failure domains with a copy of each artefact.
    pub copy_domains: usize,
    /// Share of the copies' throughput that the demand may use before another copy is loaded.
    pub target_utilisation: f64,
}

impl Default for PlacementSettings {
    fn default() -> Self {
        Self {
            copy_domains: 2,
            target_utilisation: 0.8,
        }
    }
}

/// Plans which upstreams load which artefacts.
#[derive(Debug, Clone, Default)]
pub struct PlacementPlanner {
    settings: PlacementSettings,
}

impl PlacementPlanner {
    /// Creates a planner.
    pub const fn new(settings: PlacementSettings) -> Self {
        Self { settings }
    }

    /// Plans the missing loads, most urgent first. Only `spare` upstreams that are ready are used,
    /// each for one load, because the other upstreams have a model that is in use.
    pub fn plan(
        &self,
        demands: &[ModelDemand],
        upstreams: &[UpstreamView],
        spare: &[UpstreamId],
    ) -> Vec<LoadRequest> {
        let mut missing_loads: Vec<(LoadUrgency, &ModelDemand)> = demands
            .iter()
            .flat_map(|demand| {
                let missing = self.missing_loads(demand, upstreams);
                missing.into_iter().map(move |urgency| (urgency, demand))
            })
            .collect();
        missing_loads.sort_by(|(one_urgency, one), (other_urgency, other)| {
            one_urgency
                .cmp(other_urgency)
                .then(other.tokens.as_f64().total_cmp(&one.tokens.as_f64()))
                .then_with(|| one.artefact.cmp(&other.artefact))
        });
        let mut free: Vec<&UpstreamView> = upstreams
            .iter()
            .filter(|view| spare.contains(&view.upstream) && view.is_ready())
            .collect();
        let mut placed: IndexMap<&LoadArtefact, Vec<UpstreamId>> = IndexMap::new();
        let mut loads = Vec::new();
        for (urgency, demand) in missing_loads {
            let placed = placed.entry(&demand.artefact).or_default();
            let copy_domains = domains_with_copies(demand, placed, upstreams);
            // Prefers a failure domain without a copy; ties are broken by upstream identifier.
            let best = free
                .iter()
                .enumerate()
                .filter(|(_, view)| !demand.copies.contains(&view.upstream))
                .min_by_key(|(_, view)| {
                    (copy_domains.contains(&view.failure_domain), &view.upstream)
                })
                .map(|(position, _)| position);
            let Some(position) = best else { continue };
            let view = free.remove(position);
            placed.push(view.upstream.clone());
            loads.push(LoadRequest {
                upstream: view.upstream.clone(),
                artefact: demand.artefact.clone(),
                bytes: demand.bytes,
                urgency,
            });
        }
        loads
    }

    /// Urgency of each load that is still missing for the demand.
    fn missing_loads(&self, demand: &ModelDemand, upstreams: &[UpstreamView]) -> Vec<LoadUrgency> {
        let copies = demand.copies.len() + demand.loading.len();
        let domains = domains_with_copies(demand, &[], upstreams).len();
        let needed_copies = (demand.engines / self.settings.target_utilisation).ceil() as usize;
        let missing_domains = self.settings.copy_domains.saturating_sub(domains);
        let total = needed_copies.saturating_sub(copies).max(missing_domains);
        (0..total)
            .map(|index| {
                if copies + index == 0 {
                    LoadUrgency::NoCopy(demand.class)
                } else if domains + index < self.settings.copy_domains {
                    LoadUrgency::TooFewDomains(demand.class)
                } else {
                    LoadUrgency::MoreDemand(demand.class)
                }
            })
            .collect()
    }

    /// Returns the upstreams whose copy must not be unloaded or stopped, because fewer failure
    /// domains than required would have a copy without it.
    pub fn protected(
        &self,
        demands: &[ModelDemand],
        upstreams: &[UpstreamView],
    ) -> Vec<UpstreamId> {
        let mut protected = Vec::new();
        for demand in demands {
            let mut domains: IndexMap<&FailureDomainId, Vec<&UpstreamId>> = IndexMap::new();
            let holders = upstreams
                .iter()
                .filter(|view| view.is_ready() && demand.copies.contains(&view.upstream));
            for view in holders {
                let entry = domains.entry(&view.failure_domain).or_default();
                entry.push(&view.upstream);
            }
            if domains.len() > self.settings.copy_domains {
                continue;
            }
            let sole_holders = domains.into_values().filter(|holders| holders.len() == 1);
            protected.extend(sole_holders.flatten().cloned());
        }
        protected
    }
}

/// Failure domains of the upstreams that have the artefact, load it or are in `placed`.
fn domains_with_copies<'a>(
    demand: &ModelDemand,
    placed: &[UpstreamId],
    upstreams: &'a [UpstreamView],
) -> BTreeSet<&'a FailureDomainId> {
    upstreams
        .iter()
        .filter(|view| {
            let lists = [&demand.copies[..], &demand.loading[..], placed];
            lists.iter().any(|list| list.contains(&view.upstream))
        })
        .map(|view| &view.failure_domain)
        .collect()
}

/// Settings of [`WeightLoadQueue`].
#[derive(Debug, Clone, PartialEq)]
pub struct WeightStoreSettings {
    /// Throughput of the weight store in bytes per second, shared by all loads.
    pub bytes_per_second: f64,
    /// Largest number of loads that run at the same time.
    pub max_concurrent_loads: usize,
    /// Time after which a load counts as finished even if its end was not reported.
    pub load_timeout: Duration,
}

impl Default for WeightStoreSettings {
    fn default() -> Self {
        Self {
            bytes_per_second: 2e9,
            max_concurrent_loads: 4,
            load_timeout: Duration::from_mins(10),
        }
    }
}

/// Queue of loads, most urgent first. All upstreams fetch models and adapters from one weight
/// store, whose throughput they share.
#[derive(Debug, Clone, Default)]
pub struct WeightLoadQueue {
    settings: WeightStoreSettings,
    waiting: Vec<LoadRequest>,
    /// Start time of each running load.
    running: IndexMap<UpstreamId, TimePoint>,
    /// Expected time at which the weight store has delivered all started loads.
    store_free_at: TimePoint,
}

impl WeightLoadQueue {
    /// Creates an empty queue.
    pub fn new(settings: WeightStoreSettings) -> Self {
        Self {
            settings,
            waiting: Vec::new(),
            running: IndexMap::new(),
            store_free_at: TimePoint::from_millis(0),
        }
    }

    /// Adds a load. The queue keeps one load per upstream: the more urgent one, or the earlier one
    /// if both are equally urgent.
    pub fn push(&mut self, request: LoadRequest) {
        let existing = self
            .waiting
            .iter()
            .position(|waiting| waiting.upstream == request.upstream);
        if let Some(position) = existing {
            if self.waiting[position].urgency <= request.urgency {
                return;
            }
            self.waiting.remove(position);
        }
        let position = self
            .waiting
            .partition_point(|waiting| waiting.urgency <= request.urgency);
        self.waiting.insert(position, request);
    }

    /// Returns the number of waiting loads.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Removes and returns the most urgent load that may start now. `None` if the weight store is
    /// busy, the limit of concurrent loads is reached, or every waiting upstream is still loading.
    pub fn next(&mut self, now: TimePoint) -> Option<LoadRequest> {
        let timeout = self.settings.load_timeout;
        self.running.retain(|_, since| now.since(*since) < timeout);
        if self.running.len() >= self.settings.max_concurrent_loads || now < self.store_free_at {
            return None;
        }
        let position = self
            .waiting
            .iter()
            .position(|waiting| !self.running.contains_key(&waiting.upstream))?;
        let request = self.waiting.remove(position);
        let seconds = request.bytes as f64 / self.settings.bytes_per_second;
        self.store_free_at = now + Duration::from_secs_f64(seconds.max(0.0));
        self.running.insert(request.upstream.clone(), now);
        Some(request)
    }

    /// Records that the load of an upstream has ended, successfully or not.
    pub fn record_finished(&mut self, upstream: &UpstreamId) {
        self.running.shift_remove(upstream);
    }
}
