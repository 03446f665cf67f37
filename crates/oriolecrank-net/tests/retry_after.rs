//! Values of `Retry-After`.

use std::time::{Duration, SystemTime};

use http::HeaderMap;
use http::header::{DATE, RETRY_AFTER};
use oriolecrank_net::{InvalidRetryAfter, retry_after};

/// 6 November 1994, 08:49:37 UTC, as a time since 1970.
const WALL_TIME: Duration = Duration::from_secs(784_111_777);

fn decode(values: &[&str], date: Option<&str>) -> Result<Option<Duration>, InvalidRetryAfter> {
    let mut fields = HeaderMap::new();
    for value in values {
        fields.append(RETRY_AFTER, value.parse().expect("a valid field value"));
    }
    if let Some(date) = date {
        fields.insert(DATE, date.parse().expect("a valid field value"));
    }
    retry_after(&fields, SystemTime::UNIX_EPOCH + WALL_TIME)
}

/// Asserts that fields state a number of seconds.
fn assert_seconds(values: &[&str], date: Option<&str>, seconds: f64) {
    let expected = Duration::from_secs_f64(seconds);
    assert_eq!(decode(values, date), Ok(Some(expected)), "{values:?}");
}

/// Guards against times that are misread, among them fractions and dates.
#[test]
fn seconds_and_dates_are_decoded() {
    assert_eq!(decode(&[], None), Ok(None));
    assert_seconds(&["3"], None, 3.0);
    assert_seconds(&[" 0.25 "], None, 0.25);
    assert_seconds(&["0"], None, 0.0);
    assert_seconds(&["7200"], None, 7_200.0);
    let date = "Sun, 06 Nov 1994 08:49:40 GMT";
    assert_seconds(&[date], None, 3.0);
    // The clock of the server counts.
    assert_seconds(&[date], Some("Sun, 06 Nov 1994 08:49:30 GMT"), 10.0);
    let past = "Sun, 06 Nov 1994 08:49:00 GMT";
    assert_seconds(&[past], None, 0.0);
}

/// Guards against the use of a shorter time than the server asks for.
#[test]
fn the_longest_of_several_fields_counts() {
    assert_seconds(&["2", "5", "1"], None, 5.0);
    assert_seconds(&["soon", "5", "-9"], None, 5.0);
}

/// Guards against values that would stop requests for ever, or end the process.
#[test]
fn absurd_values_are_bounded_or_invalid() {
    assert_eq!(decode(&["1e300"], None), Ok(Some(Duration::MAX)));
    for invalid in [
        "-1", "-0.5", "soon", "", "nan", "inf", "-inf", "1,2", "0x10",
    ] {
        assert_eq!(
            decode(&[invalid], None),
            Err(InvalidRetryAfter),
            "{invalid}"
        );
    }
}
