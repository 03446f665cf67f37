//! Validation, parsing and lookups of documents.

use std::path::Path;

use crate::fixtures::{digest, document, engine_service, key, organisation, plain_service, route};
use oriolecrank_schema::document::{
    BudgetConfig, ConfigDocument, FailureDomainId, LimitConfig, RegionConfig, RegionId,
    RouteConfig, ServiceId,
};
use oriolecrank_state::CheckedDocument;
use oriolecrank_state::document::{
    DocumentFormat, MAX_DEADLINE_MS, MAX_REPORTED_ERRORS, ParseError, parse_document,
    render_document, validate_document,
};

type EditFunction = fn(&mut ConfigDocument);

/// Edits of a valid document, and the paths at which errors must be reported.
const CASES: &[(&str, EditFunction, &[&str])] = &[
    ("unchanged", |_| {}, &[]),
    ("no region", |d| d.regions.clear(), &["regions"]),
    (
        "duplicate region",
        |d| {
            d.regions.push(RegionConfig {
                name: RegionId("piedmont".into()),
                failure_domains: vec![FailureDomainId("other".into())],
            });
        },
        &["regions[1].name"],
    ),
    (
        "failure domain in two regions",
        |d| {
            d.regions.push(RegionConfig {
                name: RegionId("gulf".into()),
                failure_domains: vec![FailureDomainId("piedmont-1".into())],
            });
        },
        &["regions[1].failure_domains[0]"],
    ),
    (
        "region without failure domains",
        |d| d.regions[0].failure_domains.clear(),
        &["regions[0].failure_domains"],
    ),
    (
        "duplicate organisation",
        |d| d.organisations[1].name = "grove".to_owned().into(),
        &["organisations[1].name"],
    ),
    (
        "empty name",
        |d| d.organisations[0].name = String::new().into(),
        &["organisations[0].name"],
    ),
    (
        "name too long",
        |d| d.organisations[0].name = "x".repeat(65).into(),
        &["organisations[0].name"],
    ),
    (
        "name of maximum length",
        |d| d.organisations[0].name = "x".repeat(64).into(),
        &[],
    ),
    (
        "name with slash",
        |d| d.organisations[0].name = "a/b".to_owned().into(),
        &["organisations[0].name"],
    ),
    (
        "zero weight",
        |d| d.organisations[0].weight = 0,
        &["organisations[0].weight"],
    ),
    (
        "duplicate key name",
        |d| d.organisations[0].keys.push(key("main", 9)),
        &["organisations[0].keys[1].name"],
    ),
    (
        "digest in upper case",
        |d| d.organisations[0].keys[0].digest.0 = "A".repeat(64),
        &["organisations[0].keys[0].digest"],
    ),
    (
        "digest too short",
        |d| d.organisations[0].keys[0].digest.0 = "a".repeat(63),
        &["organisations[0].keys[0].digest"],
    ),
    (
        "digest in two organisations",
        |d| d.organisations[1].keys[0].digest = digest(1),
        &["organisations[1].keys[0].digest"],
    ),
    (
        "duplicate digest in one organisation",
        |d| d.organisations[0].keys.push(key("second", 1)),
        &["organisations[0].keys[1].digest"],
    ),
    (
        "too many keys",
        |d| {
            d.organisations[0].keys = (10..75)
                .map(|number| key(&format!("k{number}"), number))
                .collect();
        },
        &["organisations[0].keys"],
    ),
    (
        "unknown service permitted",
        |d| d.organisations[0].services = vec![ServiceId("nowhere".into())],
        &["organisations[0].services[0]"],
    ),
    (
        "service permitted twice",
        |d| d.organisations[0].services = vec![ServiceId("desk".into()), ServiceId("desk".into())],
        &["organisations[0].services[1]"],
    ),
    (
        "limit for an unknown service",
        |d| d.organisations[0].limits = vec![limit(Some("nowhere"), Some(1))],
        &["organisations[0].limits[0].service"],
    ),
    (
        "limit for a service that is not permitted",
        |d| {
            d.organisations[0].services = vec![ServiceId("desk".into())];
            d.organisations[0].limits = vec![limit(Some("assistant"), Some(1))];
        },
        &["organisations[0].limits[0].service"],
    ),
    (
        "zero limit",
        |d| d.organisations[0].limits = vec![limit(None, Some(0))],
        &["organisations[0].limits[0].requests_per_s"],
    ),
    (
        "limit without values",
        |d| d.organisations[0].limits = vec![limit(None, None)],
        &["organisations[0].limits[0]"],
    ),
    (
        "duplicate limit",
        |d| d.organisations[0].limits = vec![limit(None, Some(1)), limit(None, Some(2))],
        &["organisations[0].limits[1]"],
    ),
    (
        "duplicate service",
        |d| d.services.push(plain_service("desk")),
        &["services[2].name"],
    ),
    (
        "engine without model",
        |d| d.services[0].models.clear(),
        &["services[0].models"],
    ),
    (
        "duplicate model",
        |d| d.services[0].models.push("olive-7b".into()),
        &["services[0].models[1]"],
    ),
    (
        "model with space",
        |d| d.services[0].models[0] = "olive 7b".into(),
        &["services[0].models[0]"],
    ),
    (
        "open route on an engine",
        |d| {
            d.services[0].routes = vec![RouteConfig {
                open: true,
                ..route("/status")
            }];
        },
        &["services[0].routes[0].open"],
    ),
    (
        "route on an engine",
        |d| d.services[0].routes = vec![route("/status")],
        &["services[0].routes[0]"],
    ),
    (
        "model on a plain service",
        |d| d.services[1].models = vec!["olive-7b".into()],
        &["services[1].models"],
    ),
    (
        "zero deadline",
        |d| d.services[1].deadline_ms = 0,
        &["services[1].deadline_ms"],
    ),
    (
        "deadline too long",
        |d| d.services[1].deadline_ms = MAX_DEADLINE_MS + 1,
        &["services[1].deadline_ms"],
    ),
    (
        "relative path",
        |d| d.services[1].routes = vec![route("status")],
        &["services[1].routes[0].path"],
    ),
    (
        "empty path",
        |d| d.services[1].routes = vec![route("")],
        &["services[1].routes[0].path"],
    ),
    (
        "dot segment",
        |d| d.services[1].routes = vec![route("/a/../b")],
        &["services[1].routes[0].path"],
    ),
    (
        "empty segment",
        |d| d.services[1].routes = vec![route("/a//b")],
        &["services[1].routes[0].path"],
    ),
    (
        "trailing slash",
        |d| d.services[1].routes = vec![route("/a/")],
        &["services[1].routes[0].path"],
    ),
    (
        "percent encoding in path",
        |d| d.services[1].routes = vec![route("/a%2fb")],
        &["services[1].routes[0].path"],
    ),
    (
        "query in path",
        |d| d.services[1].routes = vec![route("/a?b")],
        &["services[1].routes[0].path"],
    ),
    (
        "path too long",
        |d| d.services[1].routes = vec![route(&format!("/{}", "a".repeat(256)))],
        &["services[1].routes[0].path"],
    ),
    (
        "root path",
        |d| d.services[1].routes = vec![route("/")],
        &[],
    ),
    (
        "duplicate path",
        |d| d.services[1].routes = vec![route("/a"), route("/a")],
        &["services[1].routes[1]"],
    ),
    (
        "duplicate method on a path",
        |d| d.services[1].routes = vec![method_route("/a", "GET"), method_route("/a", "GET")],
        &["services[1].routes[1].methods[0]"],
    ),
    (
        "two methods on one path",
        |d| d.services[1].routes = vec![method_route("/a", "GET"), method_route("/a", "POST")],
        &[],
    ),
    (
        "method in lower case",
        |d| d.services[1].routes = vec![method_route("/a", "get")],
        &["services[1].routes[0].methods[0]"],
    ),
    (
        "coalescing on a route that is not idempotent",
        |d| {
            d.services[1].routes = vec![RouteConfig {
                coalesce: true,
                ..route("/a")
            }];
        },
        &["services[1].routes[0].coalesce"],
    ),
    (
        "zero route deadline",
        |d| {
            d.services[1].routes = vec![RouteConfig {
                deadline_ms: Some(0),
                ..route("/a")
            }];
        },
        &["services[1].routes[0].deadline_ms"],
    ),
    (
        "zero usage window",
        |d| d.usage_window_s = 0,
        &["usage_window_s"],
    ),
    (
        "usage window too long",
        |d| d.usage_window_s = 3_601,
        &["usage_window_s"],
    ),
    (
        "zero budget",
        |d| d.budget = budget(0),
        &["budget.max_upstreams"],
    ),
    (
        "service budget above the total budget",
        |d| {
            d.budget = budget(4);
            d.services[0].budget = budget(5);
        },
        &["services[0].budget.max_upstreams"],
    ),
    (
        "sum of service budgets above the total budget",
        |d| {
            d.budget = budget(4);
            d.services[0].budget = budget(4);
            d.services[1].budget = budget(4);
        },
        &[],
    ),
    (
        "several errors",
        |d| {
            d.usage_window_s = 0;
            d.organisations[0].weight = 0;
            d.services[1].deadline_ms = 0;
        },
        &[
            "services[1].deadline_ms",
            "organisations[0].weight",
            "usage_window_s",
        ],
    ),
];

fn limit(service: Option<&str>, requests_per_s: Option<u64>) -> LimitConfig {
    LimitConfig {
        service: service.map(|name| ServiceId(name.to_owned())),
        requests_per_s,
        tokens_per_s: None,
        concurrent: None,
    }
}

#[expect(clippy::unnecessary_wraps, reason = "fits the field of the document")]
fn budget(max_upstreams: u32) -> Option<BudgetConfig> {
    Some(BudgetConfig {
        max_upstreams: Some(max_upstreams),
    })
}

fn method_route(path: &str, method: &str) -> RouteConfig {
    RouteConfig {
        methods: vec![method.to_owned()],
        ..route(path)
    }
}

/// Guards against an invalid document that is accepted, and against errors without a path.
#[test]
fn every_error_is_listed_with_its_path() {
    for (name, edit, expected) in CASES {
        let mut document = document();
        edit(&mut document);
        let errors = validate_document(&document).err().unwrap_or_default();
        let paths: Vec<&str> = errors.iter().map(|error| error.path.as_str()).collect();
        assert_eq!(paths, *expected, "{name}: {errors:?}");
    }
}

/// Guards against an answer that grows with the number of errors.
#[test]
fn error_list_is_bounded() {
    let mut document = document();
    document.organisations = (0..500).map(|_| organisation("", 1)).collect();
    let errors = validate_document(&document).unwrap_err();
    assert_eq!(errors.len(), MAX_REPORTED_ERRORS + 1);
    assert!(errors.last().unwrap().reason.contains("more errors"));
}

/// Guards against fields that are lost between the text of a document and the state machine.
#[test]
fn text_round_trip_keeps_every_field() {
    let mut document = document();
    document.budget = budget(9);
    document.organisations[0].limits = vec![limit(Some("desk"), Some(5))];
    document.services[1].routes = vec![method_route("/drains", "POST")];
    for format in [DocumentFormat::Toml, DocumentFormat::Json] {
        let text = render_document(&document, format);
        assert_eq!(
            parse_document(&text, format).unwrap(),
            document,
            "{format:?}"
        );
    }
}

/// Guards against misspelt settings that are silently ignored, and errors without a position.
#[test]
fn parse_errors_name_position_and_field() {
    let cases = [
        (
            DocumentFormat::Toml,
            "regions = []\norganisations = []\nservices = []\nusage_window = 5\n",
            "usage_window",
        ),
        (DocumentFormat::Toml, "regions = [\n", "line 1"),
        (
            DocumentFormat::Json,
            "{\"regions\": [], \"services\": []}",
            "organisations",
        ),
        (DocumentFormat::Json, "{\"regions\": 3}", "line 1"),
    ];
    for (format, text, expected) in cases {
        let message = parse_document(text, format).unwrap_err().to_string();
        assert!(
            message.contains(expected),
            "expected {expected:?} in the message {message:?}"
        );
    }
    let error = DocumentFormat::from_path(Path::new("document.yaml")).unwrap_err();
    assert!(matches!(error, ParseError::UnknownFormat { .. }));
}

/// Guards against requests that are attributed to an organisation other than that of their key.
#[test]
fn key_belongs_to_its_organisation() {
    let mut document = document();
    document.organisations.reverse();
    let checked = CheckedDocument::try_from(document).unwrap();
    let name = |number| {
        checked
            .organisation_of_key(&digest(number))
            .map(|found| found.name.0.as_str())
    };
    assert_eq!(name(1), Some("grove"));
    assert_eq!(name(2), Some("press"));
    assert_eq!(name(3), None);
}

/// Guards against a call that gets the settings of a shorter or unrelated prefix, which could let
/// it pass without a key or run twice.
#[test]
fn longest_prefix_of_whole_segments_applies() {
    let mut document = document();
    document.services[1].routes = vec![
        route("/"),
        route("/vats"),
        route("/vats/drain"),
        method_route("/vats", "GET"),
    ];
    document.services.insert(0, engine_service("zeta"));
    let checked = CheckedDocument::try_from(document).unwrap();
    let found = |path, method| {
        let route = checked.route(&ServiceId("desk".into()), path, method);
        route.map(|route| (route.path.as_str(), route.methods.len()))
    };
    assert_eq!(found("/vats/drain/7", "POST"), Some(("/vats/drain", 0)));
    assert_eq!(found("/vats", "GET"), Some(("/vats", 1)));
    assert_eq!(found("/vats/", "POST"), Some(("/vats", 0)));
    assert_eq!(found("/vats/drainage", "POST"), Some(("/vats", 0)));
    assert_eq!(found("/vatsx", "GET"), Some(("/", 0)));
    assert_eq!(found("/", "GET"), Some(("/", 0)));
    for path in [
        "/vats/../admin",
        "/vats/%2e%2e/admin",
        "//vats",
        "/vats//x",
        "vats",
        "",
        "/a\\b",
        "/vats/..",
    ] {
        assert_eq!(found(path, "GET"), None, "{path}");
    }
}

/// Guards against entry processes that cannot determine the region of an upstream.
#[test]
fn failure_domain_belongs_to_its_region() {
    let checked = CheckedDocument::try_from(document()).unwrap();
    let region = checked.region_of(&FailureDomainId("piedmont-1".into()));
    assert_eq!(region, Some(&RegionId("piedmont".into())));
    assert_eq!(checked.region_of(&FailureDomainId("x".into())), None);
}
