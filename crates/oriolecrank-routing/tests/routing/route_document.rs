//! Guards against accepting documents with which a request cannot be handled, and against look-ups
//! that return the wrong route.

use std::time::Duration;

use oriolecrank_routing::{
    DocumentError, OrganisationKey, OrganisationName, OrganisationSpec, RouteDocument, RouteSpec,
    RouteTable, ServiceName, ServiceShare,
};

use crate::fixtures::{document, route};

fn organisation(name: &str, key: &str) -> OrganisationSpec {
    OrganisationSpec {
        name: OrganisationName::from(name),
        keys: vec![OrganisationKey::new(key.to_owned())],
        priority: None,
        quota: None,
    }
}

/// Name, document, and predicate for the expected error.
type InvalidCase = (&'static str, RouteDocument, fn(&DocumentError) -> bool);

#[test]
fn invalid_documents_are_rejected() {
    let base = || route("r", "/p/");
    let share = |service: &str, weight| ServiceShare {
        service: ServiceName::from(service),
        weight,
    };
    let cases: [InvalidCase; 6] = [
        (
            "unknown service",
            document(vec![RouteSpec {
                shares: vec![share("other", 1)],
                ..base()
            }]),
            |error| matches!(error, DocumentError::UnknownService { .. }),
        ),
        (
            "same host and prefix",
            document(vec![base(), route("s", "/p/")]),
            |error| matches!(error, DocumentError::DuplicateRoute { .. }),
        ),
        (
            "weights add up to 0",
            document(vec![RouteSpec {
                shares: vec![share("assistant", 0), share("assistant", 0)],
                ..base()
            }]),
            |error| matches!(error, DocumentError::ZeroWeight { .. }),
        ),
        (
            "timeout 0",
            document(vec![RouteSpec {
                timeout: Duration::ZERO,
                ..base()
            }]),
            |error| matches!(error, DocumentError::ZeroTimeout { .. }),
        ),
        (
            "prefix without slash",
            document(vec![route("r", "/p")]),
            |error| matches!(error, DocumentError::InvalidPrefix { .. }),
        ),
        (
            "shared key",
            RouteDocument {
                organisations: vec![organisation("x", "key"), organisation("y", "key")],
                ..document(vec![base()])
            },
            |error| matches!(error, DocumentError::SharedKey { .. }),
        ),
    ];
    for (name, document, expected) in cases {
        let error = document.check().expect_err(name);
        assert!(expected(&error), "{name}: {error}");
        assert!(!error.to_string().contains("key\""), "{name}");
    }
    assert_eq!(document(vec![base()]).check(), Ok(()));
}

#[test]
fn look_up_prefers_the_longest_prefix_and_ignores_port_and_case() {
    let routes = vec![route("short", "/a/"), route("long", "/a/b/")];
    let table = RouteTable::new(document(routes));
    let name = |host: &str, path: &str| table.find(host, path).map(|route| route.name.clone());
    assert_eq!(name("host.example", "/a/b/c").as_deref(), Some("long"));
    assert_eq!(name("HOST.example:80", "/a/bc").as_deref(), Some("short"));
    assert_eq!(name("host.example", "/a"), None);
    assert_eq!(name("other.example", "/a/b/"), None);
}

#[test]
fn services_are_drawn_by_weight() {
    let share = |service: &str, weight| ServiceShare {
        service: ServiceName::from(service),
        weight,
    };
    let route = RouteSpec {
        shares: vec![share("x", 0), share("y", 9), share("z", 1)],
        ..route("r", "/p/")
    };
    let count = |service: &str| {
        let drawn = (0..1_000).filter(|draw| route.draw_service(*draw).as_str() == service);
        drawn.count()
    };
    assert_eq!((count("x"), count("y"), count("z")), (0, 900, 100));
}

#[test]
fn keys_are_needed_only_with_organisations_and_on_closed_routes() {
    let open = RouteSpec {
        open: true,
        ..route("open", "/o/")
    };
    let keyed = RouteDocument {
        organisations: vec![organisation("x", "key")],
        ..document(vec![route("r", "/p/"), open])
    };
    let table = RouteTable::new(keyed);
    let needs = |path: &str| table.needs_key(table.find("host.example", path).unwrap());
    assert!(needs("/p/1"));
    assert!(!needs("/o/1"));
    assert_eq!(table.organisation("key").unwrap().name.as_str(), "x");
    assert!(table.organisation("kez").is_none());
    assert_eq!(
        format!("{:?}", organisation("x", "key")).find("\"key\""),
        None
    );
}
