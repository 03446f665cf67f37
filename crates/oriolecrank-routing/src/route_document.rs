//! The document of a gateway: routes, services, organisations and limits.

use std::fmt;
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use snafu::{Snafu, ensure};

use crate::names::{OrganisationName, ServiceName};

/// Whether a request may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum CallKind {
    /// May run more than once.
    Idempotent,
    /// May run at most once.
    NonIdempotent,
    /// Answered by a stream of events; may run at most once unless the route is resumable.
    Stream,
}

/// Part of a route's requests that goes to one service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceShare {
    /// The service.
    pub service: ServiceName,
    /// Weight relative to the other shares of the route.
    pub weight: u32,
}

/// One route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteSpec {
    /// Name for logs.
    pub name: String,
    /// Host, in lower case.
    pub host: String,
    /// Begin of the path; starts and ends with a slash.
    pub prefix: String,
    /// Whether a request may be repeated.
    pub kind: CallKind,
    /// Longest time from the arrival of a request to the end of its answer.
    pub timeout: Duration,
    /// Time to the answer, or to the first event of a stream, that callers expect.
    pub answer_target: Duration,
    /// Rank of the requests; 0 is the most urgent.
    pub priority: u8,
    /// Services that take the requests; at least one has a weight above 0.
    pub shares: Vec<ServiceShare>,
    /// Most upstreams that one request may be sent to.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub open: bool,
    /// Whether a stream may continue on another upstream behind its last event.
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

/// What the operator states of a service's model engines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineSpec {
    /// Requests that an engine runs in one batch.
    pub batch_slots: u32,
    /// Memory for prompts and outputs, in tokens.
    pub cache_tokens: u64,
    /// Size of the memory of one token, in bytes.
    pub token_bytes: u64,
    /// Rate at which engines copy memory to each other within a failure domain, in bytes per
    /// millisecond.
    pub copy_rate: u64,
}

/// One service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceSpec {
    /// Name.
    pub name: ServiceName,
    /// Connections that each upstream accepts from all callers together.
    pub max_connections: u32,
    /// Present if the upstreams are model engines.
    pub engine: Option<EngineSpec>,
}

/// Key of an organisation; `Debug` prints nothing of it.
#[derive(Clone, PartialEq, Eq, Hash)]
pub struct OrganisationKey(String);

impl OrganisationKey {
    /// Takes a key from text.
    pub const fn new(text: String) -> Self {
        Self(text)
    }

    /// The key as text; never to be logged or sent to an upstream.
    pub fn expose_secret(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for OrganisationKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("OrganisationKey")
    }
}

/// One organisation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrganisationSpec {
    /// Name.
    pub name: OrganisationName,
    /// Keys of its callers.
    pub keys: Vec<OrganisationKey>,
    /// Rank that replaces the rank of the route, if any.
    pub priority: Option<u8>,
}

/// Bounds on what callers send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest head of a request, in bytes.
    pub head_bytes: usize,
    /// Largest body of a request, in bytes.
    pub body_bytes: usize,
    /// Longest time to receive a head.
    pub head_timeout: Duration,
    /// Idle time after which a caller's connection may be closed.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// Values for the time before the first document.
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// A document as a whole.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteDocument {
    /// Version; the highest one is in force.
    pub version: u64,
    /// Routes.
    pub routes: Vec<RouteSpec>,
    /// Services.
    pub services: Vec<ServiceSpec>,
    /// Organisations; if there are none, no request needs a key.
    pub organisations: Vec<OrganisationSpec>,
    /// Bounds on what callers send.
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
    #[snafu(display("routes {first} and {second} share one host and prefix"))]
    SamePlace {
        /// Name of the earlier route.
        first: String,
        /// Name of the later route.
        second: String,
    },
    /// The weights of a route add up to 0.
    #[snafu(display("the weights of route {route} add up to 0"))]
    NoWeight {
        /// Name of the route.
        route: String,
    },
    /// A route's timeout is 0.
    #[snafu(display("the timeout of route {route} is 0"))]
    NoTimeout {
        /// Name of the route.
        route: String,
    },
    /// A prefix does not begin and end with a slash.
    #[snafu(display("the prefix of route {route} must begin and end with a slash"))]
    BadPrefix {
        /// Name of the route.
        route: String,
    },
    /// Two organisations hold the same key.
    #[snafu(display("organisations {first} and {second} share a key"))]
    SharedKey {
        /// Name of the earlier organisation.
        first: OrganisationName,
        /// Name of the later organisation.
        second: OrganisationName,
    },
}

impl RouteDocument {
    /// Checks the document as a whole.
    pub fn check(&self) -> Result<(), DocumentError> {
        let services: IndexSet<&ServiceName> =
            self.services.iter().map(|service| &service.name).collect();
        let mut places: IndexMap<(&str, &str), &str> = IndexMap::new();
        for route in &self.routes {
            check_route(route, &services)?;
            let place = (route.host.as_str(), route.prefix.as_str());
            if let Some(first) = places.insert(place, &route.name) {
                return SamePlaceSnafu {
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
        BadPrefixSnafu { route: name }
    );
    ensure!(!route.timeout.is_zero(), NoTimeoutSnafu { route: name });
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
    ensure!(weight > 0, NoWeightSnafu { route: name });
    Ok(())
}
