//! A validated document with lookup tables.

use std::collections::HashMap;

use oriolecrank_schema::control::{DocumentDelta, FieldError};
use oriolecrank_schema::document::{
    BudgetConfig, ConfigDocument, FailureDomainId, KeyDigest, OrganisationConfig, OrganisationId,
    RegionId, RouteConfig, ServiceConfig, ServiceId,
};
use serde::{Deserialize, Serialize};

use super::delta::{DeltaError, apply_delta};
use super::validate::validate_document;

/// Revision number of a committed document; 0 is the empty document before the first submission.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Revision(pub u64);

impl Revision {
    /// Revision of the next committed document.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// A document that passed [`validate_document`], in canonical order and with lookup tables.
///
/// Organisations, their keys, and services are sorted by name, and a budget without a limit is
/// removed, so that two documents with the same meaning are equal.
#[derive(Debug, Clone)]
pub struct CheckedDocument {
    /// Valid and in canonical order.
    document: ConfigDocument,
    /// Index into `document.organisations` by key digest.
    organisation_by_key: HashMap<KeyDigest, usize>,
    /// Region of each failure domain.
    region_by_domain: HashMap<FailureDomainId, RegionId>,
    /// Matching order of the routes of each service, as indexes into `document.services[N].routes`:
    /// longest path first.
    route_orders: Vec<Vec<usize>>,
}

impl PartialEq for CheckedDocument {
    fn eq(&self, other: &Self) -> bool {
        self.document == other.document
    }
}

impl Default for CheckedDocument {
    fn default() -> Self {
        Self::with_lookups(empty_document())
    }
}

impl TryFrom<ConfigDocument> for CheckedDocument {
    type Error = Vec<FieldError>;

    fn try_from(document: ConfigDocument) -> Result<Self, Self::Error> {
        validate_document(&document)?;
        Ok(Self::with_lookups(document))
    }
}

impl From<CheckedDocument> for ConfigDocument {
    fn from(checked: CheckedDocument) -> Self {
        checked.document
    }
}

/// The document before the first submission.
pub(crate) fn empty_document() -> ConfigDocument {
    ConfigDocument {
        budget: None,
        organisations: Vec::new(),
        regions: Vec::new(),
        services: Vec::new(),
        usage_window_s: 60,
    }
}

impl CheckedDocument {
    /// Wraps a document that was valid when it was committed.
    ///
    /// The document is not validated again: a newer version of the program may check more strictly,
    /// but a committed document stays in effect.
    pub fn from_committed(document: ConfigDocument) -> Self {
        Self::with_lookups(document)
    }

    /// The document as a wire message, in canonical order.
    pub fn as_document(&self) -> &ConfigDocument {
        &self.document
    }

    /// Applies a delta and validates the resulting document.
    ///
    /// # Errors
    ///
    /// Returns [`DeltaError`] if the result is not valid, which means that the delta was computed
    /// against another document.
    pub fn apply(&self, delta: &DocumentDelta) -> Result<Self, DeltaError> {
        let document = apply_delta(&self.document, delta);
        Self::try_from(document).map_err(|errors| DeltaError::InvalidResult { errors })
    }

    /// Settings of the organisation to which a key belongs.
    pub fn organisation_of_key(&self, digest: &KeyDigest) -> Option<&OrganisationConfig> {
        let index = *self.organisation_by_key.get(digest)?;
        Some(&self.document.organisations[index])
    }

    /// Settings of an organisation.
    pub fn organisation(&self, name: &OrganisationId) -> Option<&OrganisationConfig> {
        let organisations = &self.document.organisations;
        let index = organisations.binary_search_by(|other| other.name.cmp(name));
        index.ok().map(|index| &organisations[index])
    }

    /// Settings of a service.
    pub fn service(&self, name: &ServiceId) -> Option<&ServiceConfig> {
        self.service_index(name)
            .map(|index| &self.document.services[index])
    }

    /// Whether an organisation may call a service; an empty list of services allows all.
    pub fn may_call(organisation: &OrganisationConfig, service: &ServiceId) -> bool {
        organisation.services.is_empty() || organisation.services.contains(service)
    }

    /// Region of a failure domain.
    pub fn region_of(&self, domain: &FailureDomainId) -> Option<&RegionId> {
        self.region_by_domain.get(domain)
    }

    /// Route of a plain service for a path and method: the one with the longest matching prefix
    /// that accepts the method.
    ///
    /// For prefixes of equal length, a route that names the method takes precedence over one for
    /// all methods. A prefix matches whole segments. `path` is the path below the service, without
    /// the query. A path with percent-encoded characters, empty segments or dot segments matches no
    /// route: the service could resolve it to a path outside the prefix, so it must not get the
    /// permissions of the prefix.
    pub fn route(&self, service: &ServiceId, path: &str, method: &str) -> Option<&RouteConfig> {
        if !is_plain_path(path) {
            return None;
        }
        let index = self.service_index(service)?;
        let routes = &self.document.services[index].routes;
        let candidates = self.route_orders[index].iter().map(|route| &routes[*route]);
        candidates
            .filter(|route| accepts_method(route, method))
            .find(|route| is_prefix(&route.path, path))
    }

    fn service_index(&self, name: &ServiceId) -> Option<usize> {
        let services = &self.document.services;
        services
            .binary_search_by(|service| service.name.cmp(name))
            .ok()
    }

    /// Brings the document into canonical order and builds the lookup tables.
    fn with_lookups(mut document: ConfigDocument) -> Self {
        make_canonical(&mut document);
        let mut organisation_by_key = HashMap::new();
        for (index, organisation) in document.organisations.iter().enumerate() {
            for key in &organisation.keys {
                organisation_by_key.insert(key.digest.clone(), index);
            }
        }
        let mut region_by_domain = HashMap::new();
        for region in &document.regions {
            for domain in &region.failure_domains {
                region_by_domain.insert(domain.clone(), region.name.clone());
            }
        }
        let route_orders = document.services.iter().map(route_order).collect();
        Self {
            document,
            organisation_by_key,
            region_by_domain,
            route_orders,
        }
    }
}

/// Sorts the lists of a document by name and removes budgets without a limit.
pub(crate) fn make_canonical(document: &mut ConfigDocument) {
    document
        .organisations
        .sort_by(|one, other| one.name.cmp(&other.name));
    document
        .services
        .sort_by(|one, other| one.name.cmp(&other.name));
    for organisation in &mut document.organisations {
        organisation
            .keys
            .sort_by(|one, other| one.name.cmp(&other.name));
    }
    let unlimited = |budget: &Option<_>| budget.as_ref().is_some_and(is_unlimited);
    if unlimited(&document.budget) {
        document.budget = None;
    }
    for service in &mut document.services {
        if unlimited(&service.budget) {
            service.budget = None;
        }
    }
}

fn is_unlimited(budget: &BudgetConfig) -> bool {
    budget.max_upstreams.is_none()
}

/// Indexes of a service's routes: longest path first, then routes that name methods.
fn route_order(service: &ServiceConfig) -> Vec<usize> {
    let mut order: Vec<usize> = (0..service.routes.len()).collect();
    order.sort_by_key(|index| {
        let route = &service.routes[*index];
        (
            std::cmp::Reverse(route.path.len()),
            route.methods.is_empty(),
        )
    });
    order
}

fn accepts_method(route: &RouteConfig, method: &str) -> bool {
    route.methods.is_empty() || route.methods.iter().any(|allowed| allowed == method)
}

/// Whether no proxy or service can normalise the path to a different one.
fn is_plain_path(path: &str) -> bool {
    let Some(rest) = path.strip_prefix('/') else {
        return false;
    };
    if path.contains(['%', '\\', '?', '#']) {
        return false;
    }
    let rest = rest.strip_suffix('/').unwrap_or(rest);
    rest.is_empty() || !rest.split('/').any(|part| matches!(part, "" | "." | ".."))
}

/// Whether `path` begins with all segments of `prefix`.
fn is_prefix(prefix: &str, path: &str) -> bool {
    if prefix == "/" {
        return true;
    }
    path.strip_prefix(prefix)
        .is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}
