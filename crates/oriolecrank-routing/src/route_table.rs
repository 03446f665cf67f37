//! Look-ups in a document that is in force.

use std::sync::Arc;

use indexmap::IndexMap;

use crate::names::{OrganisationName, ServiceName};
use crate::route_document::{CallerLimits, RouteDocument, RouteSpec, ServiceSpec};

/// Organisation of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerOrganisation {
    /// Name.
    pub name: OrganisationName,
    /// Rank that replaces the rank of the route, if any.
    pub priority: Option<u8>,
}

/// Index over one document.
#[derive(Debug)]
pub struct RouteTable {
    version: u64,
    limits: CallerLimits,
    /// Routes of each host, the longest prefix first.
    hosts: IndexMap<String, Vec<Arc<RouteSpec>>>,
    services: IndexMap<ServiceName, ServiceSpec>,
    /// Owners of keys.
    keys: IndexMap<String, CallerOrganisation>,
    /// The document names organisations, so requests need a key.
    keyed: bool,
}

impl RouteTable {
    /// Builds the index. The document was checked by [`RouteDocument::check`].
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

    /// Bounds on what callers send.
    pub const fn limits(&self) -> &CallerLimits {
        &self.limits
    }

    /// The route with the longest prefix that begins `path`. A port behind the host is ignored.
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

    /// Organisation that holds `key`.
    pub fn organisation(&self, key: &str) -> Option<&CallerOrganisation> {
        self.keys.get(key)
    }

    /// A service of the document.
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceSpec> {
        self.services.get(name)
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = &ServiceSpec> {
        self.services.values()
    }
}

impl RouteSpec {
    /// Service for a request, by weight. `draw` is uniform over all values.
    pub fn draw_service(&self, draw: u64) -> &ServiceName {
        let total: u64 = self
            .shares
            .iter()
            .map(|share| u64::from(share.weight))
            .sum();
        let mut left = draw % total.max(1);
        for share in &self.shares {
            let weight = u64::from(share.weight);
            if left < weight {
                return &share.service;
            }
            left -= weight;
        }
        &self
            .shares
            .last()
            .expect("a checked route has a share")
            .service
    }
}
