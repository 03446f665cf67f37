//! Guards against announcements of another writer that take effect on those of the real upstreams.

use oriolecrank_routing::{DomainName, ServiceName, SoftwareVersion, UpstreamName};

use crate::fixtures::announcement;

/// Guards against names that make the list of upstreams too long to be passed on.
#[test]
fn long_names_are_refused() {
    let short = "n".repeat(256);
    let long = "n".repeat(257);
    let named = |name: &str| {
        let mut announcements = vec![announcement("u", 1, 1); 4];
        announcements[0].name = UpstreamName::from(name);
        announcements[1].service = ServiceName::from(name);
        announcements[2].domain = DomainName::from(name);
        announcements[3].version = Some(SoftwareVersion::from(name));
        announcements
    };
    for announcement in named(&short) {
        assert!(announcement.check().is_ok(), "{announcement:?}");
    }
    for announcement in named(&long) {
        let error = announcement.check().expect_err("a long name");
        assert!(error.to_string().contains("257 bytes"), "{error}");
    }
}
