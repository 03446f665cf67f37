//! Look-up of routes, services and organisations in the active route document.

use std::sync::Arc;

use indexmap::IndexMap;
use oriolecrank_policy::quota::QuotaSpec;

use crate::names::{OrganisationName, ServiceName};
use crate::route_document::{CallerLimits, RouteDocument, RouteSpec, ServiceSpec};

/// Organisation that a request belongs to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerOrganisation {
    /// Name for usage reports.
    pub name: OrganisationName,
    /// Priority that replaces the priority of the route, if any.
    pub priority: Option<u8>,
    /// Quota over all entries; `None` without a limit.
    pub quota: Option<QuotaSpec>,
}

/// Look-up tables built from one document.
#[derive(Debug)]
pub struct RouteTable {
    version: u64,
    limits: CallerLimits,
    /// Routes of each host, longest prefix first.
    hosts: IndexMap<String, Vec<Arc<RouteSpec>>>,
    services: IndexMap<ServiceName, ServiceSpec>,
    /// Organisation of each key.
    keys: IndexMap<String, CallerOrganisation>,
    /// Whether the document names organisations, so that requests need a key.
    keyed: bool,
}

impl RouteTable {
    /// Builds the tables from a document that [`RouteDocument::check`] has accepted.
    pub fn new(document: RouteDocument) -> Self {
        let mut hosts: IndexMap<String, Vec<Arc<RouteSpec>>> = IndexMap::new();
        for route in document.routes {
            hosts
                .entry(route.host.clone())
                .or_default()
                .push(Arc::new(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let keyed = !document.organisations.is_empty();
        let mut keys = IndexMap::new();
        for organisation in document.organisations {
            let owner = CallerOrganisation {
                name: organisation.name,
                priority: organisation.priority,
                quota: organisation.quota,
            };
            for key in organisation.keys {
                keys.insert(key.expose_secret().to_owned(), owner.clone());
            }
        }
        let services = document.services.into_iter();
        Self {
            version: document.version,
            limits: document.limits,
            hosts,
            services: services
                .map(|service| (service.name.clone(), service))
                .collect(),
            keys,
            keyed,
        }
    }

    /// Version of the document.
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Limits on requests and connections of callers.
    pub const fn limits(&self) -> &CallerLimits {
        &self.limits
    }

    /// Route of `host` with the longest prefix of `path`; `None` if there is none. The port and the
    /// case of `host` are ignored.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<RouteSpec>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = match self.hosts.get(name) {
            Some(routes) => routes,
            None => self.hosts.get(&name.to_ascii_lowercase())?,
        };
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Whether requests on `route` need a key.
    pub const fn needs_key(&self, route: &RouteSpec) -> bool {
        self.keyed && !route.open
    }

    /// Organisation that has the key.
    pub fn organisation(&self, key: &str) -> Option<&CallerOrganisation> {
        self.keys.get(key)
    }

    /// Service with this name, if the document has it.
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceSpec> {
        self.services.get(name)
    }

    /// All services of the document.
    pub fn services(&self) -> impl Iterator<Item = &ServiceSpec> {
        self.services.values()
    }
}

impl RouteSpec {
    /// Service for a request, chosen by weight. `draw` is a random number, uniform over all `u64`.
    pub fn draw_service(&self, draw: u64) -> &ServiceName {
        let total: u64 = self
            .shares
            .iter()
            .map(|share| u64::from(share.weight))
            .sum();
        let mut remaining = draw % total.max(1);
        for share in &self.shares {
            let weight = u64::from(share.weight);
            if remaining < weight {
                return &share.service;
            }
            remaining -= weight;
        }
        &self
            .shares
            .last()
            .expect("a checked route has a share")
            .service
    }
}
