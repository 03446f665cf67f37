//! The configuration document that the subscribers receive.

use oriolecrank_schema::digest::key_digest;
use oriolecrank_schema::document::{
    ConfigDocument, KeyConfig, LimitConfig, OrganisationConfig, PriorityClass, RegionConfig,
    ServiceConfig, ServiceKind,
};

use super::{MODELS, ORGANISATIONS};

/// Document with the numbers of organisations, models and regions of the design size. `revision`
/// selects the organisation with weight 2, so that consecutive revisions differ.
pub(super) fn document(revision: u64) -> ConfigDocument {
    let service = |number| format!("service-{number}");
    let organisations = (0..ORGANISATIONS).map(|number| OrganisationConfig {
        keys: (0..2)
            .map(|key| KeyConfig {
                digest: key_digest(&format!("key-{number}-{key}")),
                name: format!("key-{key}"),
            })
            .collect(),
        limits: vec![LimitConfig {
            concurrent: Some(64),
            requests_per_s: Some(100),
            service: None,
            tokens_per_s: Some(50_000),
        }],
        name: format!("organisation-{number}").into(),
        services: (0..MODELS).map(|number| service(number).into()).collect(),
        weight: if number == revision % ORGANISATIONS {
            2
        } else {
            1
        },
    });
    let services = (0..MODELS).map(|number| ServiceConfig {
        budget: None,
        class: PriorityClass::Standard,
        deadline_ms: 30_000,
        kind: ServiceKind::Engine,
        models: vec![format!("model-{number}")],
        name: service(number).into(),
        routes: Vec::new(),
    });
    let regions = (0..4).map(|region| RegionConfig {
        failure_domains: (0..3)
            .filter(|domain| region * 3 + domain < 10)
            .map(|domain| format!("domain-{}", region * 3 + domain).into())
            .collect(),
        name: format!("region-{region}").into(),
    });
    ConfigDocument {
        budget: None,
        organisations: organisations.collect(),
        regions: regions.collect(),
        services: services.collect(),
        usage_window_s: 60,
    }
}
