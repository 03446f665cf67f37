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

fn seconds(seconds: f64) -> Result<Option<Duration>, InvalidRetryAfter> {
    Ok(Some(Duration::from_secs_f64(seconds)))
}

/// Guards against times that are misread, among them fractions and dates.
#[test]
fn seconds_and_dates_are_decoded() {
    assert_eq!(decode(&[], None), Ok(None));
    assert_eq!(decode(&["3"], None), seconds(3.0));
    assert_eq!(decode(&[" 0.25 "], None), seconds(0.25));
    assert_eq!(decode(&["0"], None), seconds(0.0));
    assert_eq!(decode(&["7200"], None), seconds(7_200.0));
    let date = "Sun, 06 Nov 1994 08:49:40 GMT";
    assert_eq!(decode(&[date], None), seconds(3.0));
    assert_eq!(
        decode(&[date], Some("Sun, 06 Nov 1994 08:49:30 GMT")),
        seconds(10.0),
        "the clock of the server counts"
    );
    let past = "Sun, 06 Nov 1994 08:49:00 GMT";
    assert_eq!(decode(&[past], None), seconds(0.0));
}

/// Guards against the use of a shorter time than the server asks for.
#[test]
fn the_longest_of_several_fields_counts() {
    assert_eq!(decode(&["2", "5", "1"], None), seconds(5.0));
    assert_eq!(decode(&["soon", "5", "-9"], None), seconds(5.0));
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
