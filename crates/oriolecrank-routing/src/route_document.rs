//! The route document of a gateway: routes, services, organisations and limits.

use std::fmt;
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use oriolecrank_policy::quota::QuotaSpec;
use snafu::{Snafu, ensure};

use crate::names::{OrganisationName, ServiceName};

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum CallKind {
    /// May run more than once.
    Idempotent,
    /// May run at most once.
    NonIdempotent,
    /// Answered by a stream of events; may run at most once unless the route is resumable.
    Stream,
}

/// Share of a route's requests that goes to one service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceShare {
    /// Service that receives the share.
    pub service: ServiceName,
    /// Weight relative to the other shares of the route.
    pub weight: u32,
}

/// One route, selected by host and path prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteSpec {
    /// Name for logs and error messages.
    pub name: String,
    /// Host without port, in lower case.
    pub host: String,
    /// Path prefix; starts and ends with a slash.
    pub prefix: String,
    /// Whether a request may run more than once.
    pub kind: CallKind,
    /// Longest time from the arrival of a request to the end of its answer.
    pub timeout: Duration,
    /// Time within which callers expect the answer, or the first event of a stream.
    pub answer_target: Duration,
    /// Longest pause between two events of a stream that is still on time; `timeout` if the route
    /// states none.
    pub pause_target: Duration,
    /// Time without an event after which callers abandon a stream; `timeout` for other kinds.
    pub patience: Duration,
    /// Priority of the requests; 0 is the most urgent.
    pub priority: u8,
    /// Services that take the requests; at least one has a weight above 0.
    pub shares: Vec<ServiceShare>,
    /// Largest number of upstreams that one request may be sent to.
    pub max_attempts: u32,
    /// Whether requests need no key, even if the document names organisations.
    pub open: bool,
    /// Whether an interrupted stream may continue on another upstream after its last event.
    pub resumable: bool,
}

impl RouteSpec {
    /// Whether a request may be sent again after an attempt that may have run.
    pub const fn may_repeat(&self) -> bool {
        match self.kind {
            CallKind::Idempotent => true,
            CallKind::NonIdempotent => false,
            CallKind::Stream => self.resumable,
        }
    }
}

/// Properties of a service's model engines, as stated by the operator.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineSpec {
    /// Largest number of requests in one batch of an engine.
    pub batch_slots: u32,
    /// Cache capacity for prompts and outputs, in tokens.
    pub cache_tokens: u64,
    /// Cache size of one token, in bytes.
    pub token_bytes: u64,
    /// Rate at which engines copy cached tokens to each other within a failure domain, in bytes per
    /// millisecond; 0 if they cannot.
    pub copy_rate: u64,
}

/// A service: a group of interchangeable upstreams.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceSpec {
    /// Name that routes and announcements refer to.
    pub name: ServiceName,
    /// Connections that each upstream accepts from all entries together; 0 if there is no limit.
    pub max_connections: u32,
    /// Engine properties; present if the upstreams are model engines.
    pub engine: Option<EngineSpec>,
}

/// Secret key of an organisation; `Debug` does not print it.
#[derive(Clone, PartialEq, Eq, Hash)]
pub struct OrganisationKey(String);

impl OrganisationKey {
    /// Wraps the text of a key.
    pub const fn new(text: String) -> Self {
        Self(text)
    }

    /// The secret text of the key, which must never be logged or sent to an upstream.
    pub fn expose_secret(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for OrganisationKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("OrganisationKey")
    }
}

/// An organisation that calls the gateway.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrganisationSpec {
    /// Name for usage reports.
    pub name: OrganisationName,
    /// Keys that its callers may send.
    pub keys: Vec<OrganisationKey>,
    /// Priority that replaces the priority of the route, if any.
    pub priority: Option<u8>,
    /// Quota over all entries; `None` without a limit.
    pub quota: Option<QuotaSpec>,
}

/// Limits on requests and connections of callers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest request head, in bytes.
    pub head_bytes: usize,
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Longest time to receive a request head.
    pub head_timeout: Duration,
    /// Idle time after which a caller's connection may be closed.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// Limits that apply before the first document arrives.
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// A complete route document.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteDocument {
    /// Version; the document with the highest version is the active one.
    pub version: u64,
    /// Routes, in any order; the longest prefix wins.
    pub routes: Vec<RouteSpec>,
    /// Services that routes may name.
    pub services: Vec<ServiceSpec>,
    /// Organisations; if there are none, no request needs a key.
    pub organisations: Vec<OrganisationSpec>,
    /// Limits on requests and connections of callers.
    pub limits: CallerLimits,
}

/// Why a document is invalid.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum DocumentError {
    /// A route names a service that is not in the document.
    #[snafu(display("route {route} names the unknown service {service}"))]
    UnknownService {
        /// Name of the route.
        route: String,
        /// Name of the service.
        service: ServiceName,
    },
    /// Two routes have the same host and prefix.
    #[snafu(display("routes {first} and {second} have the same host and prefix"))]
    DuplicateRoute {
        /// Name of the earlier route.
        first: String,
        /// Name of the later route.
        second: String,
    },
    /// The weights of a route add up to 0.
    #[snafu(display("the weights of route {route} add up to 0"))]
    ZeroWeight {
        /// Name of the route.
        route: String,
    },
    /// A route's timeout is 0.
    #[snafu(display("the timeout of route {route} is 0"))]
    ZeroTimeout {
        /// Name of the route.
        route: String,
    },
    /// A path prefix does not start and end with a slash.
    #[snafu(display("the prefix of route {route} must start and end with a slash"))]
    InvalidPrefix {
        /// Name of the route.
        route: String,
    },
    /// Two organisations have the same key.
    #[snafu(display("organisations {first} and {second} share a key"))]
    SharedKey {
        /// Name of the earlier organisation.
        first: OrganisationName,
        /// Name of the later organisation.
        second: OrganisationName,
    },
}

impl RouteDocument {
    /// Validates the document.
    ///
    /// Returns the first error: an invalid route, two routes with the same host and prefix, or two
    /// organisations with the same key.
    pub fn check(&self) -> Result<(), DocumentError> {
        let services: IndexSet<&ServiceName> =
            self.services.iter().map(|service| &service.name).collect();
        let mut routes_by_match: IndexMap<(&str, &str), &str> = IndexMap::new();
        for route in &self.routes {
            check_route(route, &services)?;
            let route_match = (route.host.as_str(), route.prefix.as_str());
            if let Some(first) = routes_by_match.insert(route_match, &route.name) {
                return DuplicateRouteSnafu {
                    first,
                    second: &route.name,
                }
                .fail();
            }
        }
        self.check_keys()
    }

    fn check_keys(&self) -> Result<(), DocumentError> {
        let mut owners: IndexMap<&str, &OrganisationName> = IndexMap::new();
        for organisation in &self.organisations {
            for key in &organisation.keys {
                let owner = owners.insert(key.expose_secret(), &organisation.name);
                if let Some(first) = owner.filter(|first| **first != organisation.name) {
                    return SharedKeySnafu {
                        first: first.clone(),
                        second: organisation.name.clone(),
                    }
                    .fail();
                }
            }
        }
        Ok(())
    }
}

fn check_route(route: &RouteSpec, services: &IndexSet<&ServiceName>) -> Result<(), DocumentError> {
    let name = &route.name;
    let prefix = &route.prefix;
    ensure!(
        prefix.starts_with('/') && prefix.ends_with('/'),
        InvalidPrefixSnafu { route: name }
    );
    ensure!(!route.timeout.is_zero(), ZeroTimeoutSnafu { route: name });
    let unknown = route
        .shares
        .iter()
        .find(|share| !services.contains(&share.service));
    if let Some(share) = unknown {
        return UnknownServiceSnafu {
            route: name,
            service: share.service.clone(),
        }
        .fail();
    }
    let weight: u64 = route
        .shares
        .iter()
        .map(|share| u64::from(share.weight))
        .sum();
    ensure!(weight > 0, ZeroWeightSnafu { route: name });
    Ok(())
}
