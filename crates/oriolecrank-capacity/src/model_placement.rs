//! Placement of models, adapters and versions, and the order of weight loads.

use std::collections::BTreeSet;
use std::time::Duration;

use indexmap::IndexMap;
use oriolecrank_schema::TimePoint;
use oriolecrank_schema::control::{Command, OrderAction};
use oriolecrank_schema::document::{FailureDomainId, PriorityClass, UpstreamId};

use crate::{TokenRate, UpstreamView};

/// What is loaded onto an upstream.
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

/// How urgent a load is; smaller is more urgent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum LoadUrgency {
    /// Calls of this class have no upstream with the artefact.
    NoCopy(PriorityClass),
    /// The last copy would be lost with its failure domain.
    OneDomain(PriorityClass),
    /// The demand exceeds the copies.
    MoreDemand(PriorityClass),
}

/// A load to order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadRequest {
    /// Upstream that loads.
    pub upstream: UpstreamId,
    /// What it loads.
    pub artefact: LoadArtefact,
    /// Size in bytes.
    pub bytes: u64,
    /// Position in the queue.
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
            LoadUrgency::OneDomain(_) => "only one failure domain has a copy",
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
    /// The artefact.
    pub artefact: LoadArtefact,
    /// Size in bytes.
    pub bytes: u64,
    /// Most urgent class that calls it.
    pub class: PriorityClass,
    /// Prompt and output tokens, in engines that the demand keeps fully busy.
    pub engines: f64,
    /// Rate of all tokens; among equally urgent loads the larger rate is first.
    pub tokens: TokenRate,
    /// Upstreams that have the artefact.
    pub copies: Vec<UpstreamId>,
    /// Upstreams that were ordered to load it.
    pub loading: Vec<UpstreamId>,
}

/// Settings of [`PlacementPlanner`].
#[derive(Debug, Clone, PartialEq)]
pub struct PlacementSettings {
    /// Number of failure domains that hold a copy of each model.
    pub copy_domains: usize,
    /// Share of a copy that the demand may use before another copy is loaded.
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

/// Plans which upstreams load which models.
#[derive(Debug, Clone, Default)]
pub struct PlacementPlanner {
    settings: PlacementSettings,
}

impl PlacementPlanner {
    /// A planner with the given settings.
    pub const fn new(settings: PlacementSettings) -> Self {
        Self { settings }
    }

    /// Loads that are missing, most urgent first. Only the `spare` upstreams are used, each for one
    /// load: the others have a model that is in use.
    pub fn plan(
        &self,
        demands: &[ModelDemand],
        upstreams: &[UpstreamView],
        spare: &[UpstreamId],
    ) -> Vec<LoadRequest> {
        let mut wanted: Vec<(LoadUrgency, &ModelDemand)> = demands
            .iter()
            .flat_map(|demand| {
                let missing = self.missing(demand, upstreams);
                missing.into_iter().map(move |urgency| (urgency, demand))
            })
            .collect();
        wanted.sort_by(|(one_urgency, one), (other_urgency, other)| {
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
        for (urgency, demand) in wanted {
            let placed = placed.entry(&demand.artefact).or_default();
            let holders = domains_of(demand, placed, upstreams);
            // A domain without a copy comes first; the name decides among equals.
            let best = free
                .iter()
                .enumerate()
                .filter(|(_, view)| !demand.copies.contains(&view.upstream))
                .min_by_key(|(_, view)| (holders.contains(&view.failure_domain), &view.upstream))
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

    /// Urgency of each load that the demand still lacks.
    fn missing(&self, demand: &ModelDemand, upstreams: &[UpstreamView]) -> Vec<LoadUrgency> {
        let copies = demand.copies.len() + demand.loading.len();
        let domains = domains_of(demand, &[], upstreams).len();
        let by_demand = (demand.engines / self.settings.target_utilisation).ceil() as usize;
        let for_domains = self.settings.copy_domains.saturating_sub(domains);
        let total = by_demand.saturating_sub(copies).max(for_domains);
        (0..total)
            .map(|number| {
                if copies + number == 0 {
                    LoadUrgency::NoCopy(demand.class)
                } else if domains + number < self.settings.copy_domains {
                    LoadUrgency::OneDomain(demand.class)
                } else {
                    LoadUrgency::MoreDemand(demand.class)
                }
            })
            .collect()
    }

    /// Upstreams that hold a copy which must not be unloaded or stopped, because fewer failure
    /// domains than required would hold one.
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
            let single = domains.into_values().filter(|holders| holders.len() == 1);
            protected.extend(single.flatten().cloned());
        }
        protected
    }
}

fn domains_of<'a>(
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
    /// Bytes per second that the weight store delivers.
    pub bytes_per_second: f64,
    /// Largest number of loads at once.
    pub concurrent: usize,
    /// A load that was not reported as finished for this long no longer counts as running.
    pub longest_load: Duration,
}

impl Default for WeightStoreSettings {
    fn default() -> Self {
        Self {
            bytes_per_second: 2e9,
            concurrent: 4,
            longest_load: Duration::from_mins(10),
        }
    }
}

/// Loads that wait for the weight store, most urgent first.
#[derive(Debug, Clone, Default)]
pub struct WeightLoadQueue {
    settings: WeightStoreSettings,
    waiting: Vec<LoadRequest>,
    running: IndexMap<UpstreamId, TimePoint>,
    /// When the store has delivered what was ordered so far.
    store_free_at: TimePoint,
}

impl WeightLoadQueue {
    /// An empty queue.
    pub fn new(settings: WeightStoreSettings) -> Self {
        Self {
            settings,
            waiting: Vec::new(),
            running: IndexMap::new(),
            store_free_at: TimePoint::from_millis(0),
        }
    }

    /// Adds a load. An upstream waits for one load at a time; the more urgent one is kept.
    pub fn push(&mut self, request: LoadRequest) {
        let same = self
            .waiting
            .iter()
            .position(|waiting| waiting.upstream == request.upstream);
        if let Some(position) = same {
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

    /// Number of waiting loads.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// The next load if the weight store is able to serve it now.
    pub fn next(&mut self, now: TimePoint) -> Option<LoadRequest> {
        let longest = self.settings.longest_load;
        self.running.retain(|_, since| now.since(*since) < longest);
        if self.running.len() >= self.settings.concurrent || now < self.store_free_at {
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

    /// Records that the load of an upstream ended, with success or not.
    pub fn finished(&mut self, upstream: &UpstreamId) {
        self.running.shift_remove(upstream);
    }
}
