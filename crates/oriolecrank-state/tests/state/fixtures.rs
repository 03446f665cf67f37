//! Configuration values shared by the tests.

use oriolecrank_schema::document::{
    ConfigDocument, FailureDomainId, KeyConfig, KeyDigest, OrganisationConfig, PriorityClass,
    RegionConfig, RegionId, RouteConfig, ServiceConfig, ServiceId, ServiceKind,
};

/// A valid key digest that ends in `number`.
pub fn digest(number: u64) -> KeyDigest {
    KeyDigest(format!("{number:064x}"))
}

/// A key whose digest ends in `number`.
pub fn key(name: &str, number: u64) -> KeyConfig {
    KeyConfig {
        name: name.to_owned(),
        digest: digest(number),
    }
}

/// An organisation with one key, whose digest ends in `number`.
pub fn organisation(name: &str, number: u64) -> OrganisationConfig {
    OrganisationConfig {
        name: name.to_owned().into(),
        keys: vec![key("main", number)],
        limits: Vec::new(),
        services: Vec::new(),
        weight: 1,
    }
}

/// An engine service with one model.
pub fn engine_service(name: &str) -> ServiceConfig {
    ServiceConfig {
        name: ServiceId(name.to_owned()),
        kind: ServiceKind::Engine,
        models: vec!["olive-7b".to_owned()],
        class: PriorityClass::Standard,
        deadline_ms: 30_000,
        routes: Vec::new(),
        budget: None,
    }
}

/// A plain service without routes.
pub fn plain_service(name: &str) -> ServiceConfig {
    ServiceConfig {
        kind: ServiceKind::Plain,
        models: Vec::new(),
        ..engine_service(name)
    }
}

/// A route for all methods.
pub fn route(path: &str) -> RouteConfig {
    RouteConfig {
        path: path.to_owned(),
        methods: Vec::new(),
        open: false,
        idempotent: false,
        coalesce: false,
        class: PriorityClass::Standard,
        deadline_ms: None,
    }
}

/// A valid document with the organisations `grove` and `press`, the engine service `assistant` and
/// the plain service `desk`.
pub fn document() -> ConfigDocument {
    ConfigDocument {
        budget: None,
        organisations: vec![organisation("grove", 1), organisation("press", 2)],
        regions: vec![RegionConfig {
            name: RegionId("piedmont".to_owned()),
            failure_domains: vec![FailureDomainId("piedmont-1".to_owned())],
        }],
        services: vec![engine_service("assistant"), plain_service("desk")],
        usage_window_s: 60,
    }
}
