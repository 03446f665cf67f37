//! Guards against announcements of another writer that take effect on those of the real upstreams.

use oriolecrank_routing::{
    AnnouncementError, DomainName, ServiceName, SoftwareVersion, UpstreamName,
};

use crate::fixtures::announcement;

/// Present Unix time, in milliseconds.
const UNIX_MS: u64 = 1_700_000_000_000;

/// Milliseconds in an hour.
const HOUR_MS: u64 = 3_600_000;

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
        assert!(announcement.check(UNIX_MS).is_ok(), "{announcement:?}");
    }
    for announcement in named(&long) {
        let error = announcement.check(UNIX_MS).expect_err("a long name");
        assert!(error.to_string().contains("257 bytes"), "{error}");
    }
}

/// Guards against a start time or number that a real upstream can never exceed, and against upstreams
/// whose clocks are wrong by seconds and that are refused.
#[test]
fn numbers_that_cannot_be_exceeded_are_refused() {
    let started = |started_ms| announcement("u", started_ms, 1).check(UNIX_MS);
    for started_ms in [0, UNIX_MS, UNIX_MS + 10_000, UNIX_MS + 24 * HOUR_MS] {
        assert_eq!(started(started_ms), Ok(()), "{started_ms}");
    }
    for started_ms in [UNIX_MS + 25 * HOUR_MS, u64::MAX] {
        let error = AnnouncementError::FutureStart { started_ms };
        assert_eq!(started(started_ms), Err(error));
    }
    let numbered = |sequence| announcement("u", 1, sequence).check(UNIX_MS);
    assert_eq!(numbered(1 << 53), Ok(()));
    for sequence in [(1 << 53) + 1, u64::MAX] {
        let error = AnnouncementError::LargeSequence { sequence };
        assert_eq!(numbered(sequence), Err(error));
    }
}
