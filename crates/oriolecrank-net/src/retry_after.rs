//! Decoding of `Retry-After`, by which a server states when it wants requests again.

use std::time::{Duration, SystemTime};

use http::header::{DATE, HeaderName, RETRY_AFTER};
use http::{HeaderMap, StatusCode};
use oriolecrank_schema::event::LogEvent;
use snafu::Snafu;

/// Time for which a server wants no requests; `None` if it asks for no pause, or for one that cannot
/// be decoded, which is logged. Only answers with status 503 ask for a pause: others state when this
/// caller or this request may come again. `wall_time` is the present time.
pub fn requested_pause(
    status: StatusCode,
    fields: &HeaderMap,
    wall_time: SystemTime,
) -> Option<Duration> {
    if status != StatusCode::SERVICE_UNAVAILABLE {
        return None;
    }
    retry_after(fields, wall_time).unwrap_or_else(|error| {
        tracing::warn!(
            event = LogEvent::FieldIgnored.number(),
            value = ?fields.get(RETRY_AFTER),
            %error,
            "a server is unavailable for a time that cannot be decoded; requests go on"
        );
        None
    })
}

/// None of the `Retry-After` fields of an answer is a number of seconds that is not negative, or a
/// date.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("Retry-After states neither a number of seconds nor a date"))]
pub struct InvalidRetryAfter;

/// Longest time that the `Retry-After` fields of an answer state, from the time of the answer; `None`
/// without such a field.
///
/// Seconds may have fractions. A date counts from the answer's `Date`, so that the clocks of the two
/// sides need not agree, or else from `wall_time`. A date in the past states no time. Fields that are
/// invalid are ignored beside a valid one.
///
/// # Errors
///
/// Returns [`InvalidRetryAfter`] if there are fields and all of them are invalid.
pub fn retry_after(
    fields: &HeaderMap,
    wall_time: SystemTime,
) -> Result<Option<Duration>, InvalidRetryAfter> {
    if !fields.contains_key(RETRY_AFTER) {
        return Ok(None);
    }
    let answered_at = texts(fields, &DATE).find_map(parse_date);
    let answered_at = answered_at.unwrap_or(wall_time);
    let times = texts(fields, &RETRY_AFTER);
    let longest = times
        .filter_map(|text| parse_seconds(text).or_else(|| time_until(text, answered_at)))
        .max();
    longest.map(Some).ok_or(InvalidRetryAfter)
}

fn texts<'a>(fields: &'a HeaderMap, name: &HeaderName) -> impl Iterator<Item = &'a str> {
    let values = fields.get_all(name).iter();
    values.filter_map(|value| value.to_str().ok().map(str::trim))
}

/// A number of seconds; `None` if it is negative, infinite or not a number.
fn parse_seconds(text: &str) -> Option<Duration> {
    let seconds: f64 = text.parse().ok()?;
    if !seconds.is_finite() || seconds < 0.0 {
        return None;
    }
    // Only numbers beyond the range remain, which state a time without end.
    Some(Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
}

fn parse_date(text: &str) -> Option<SystemTime> {
    httpdate::parse_http_date(text).ok()
}

fn time_until(text: &str, answered_at: SystemTime) -> Option<Duration> {
    let date = parse_date(text)?;
    Some(date.duration_since(answered_at).unwrap_or_default())
}
