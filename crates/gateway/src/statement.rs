//! What a backend server says of itself, and of the request, in the head of an answer.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::StatusCode;
use hyper::header::{HeaderMap, HeaderName, HeaderValue, RETRY_AFTER};

use crate::wire::Names;

/// A header field that may be missing or can't be read.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub enum Field<T> {
    /// The answer does not have it.
    #[default]
    Absent,
    /// Its value.
    Value(T),
    /// Its text, which is no valid value.
    Unreadable(String),
}

impl<T> Field<T> {
    /// Returns the value, if there is one.
    pub fn value(self) -> Option<T> {
        match self {
            Field::Value(value) => Some(value),
            Field::Absent | Field::Unreadable(_) => None,
        }
    }

    /// Parses all fields of that name; of several values, `better` returns the one that counts.
    fn parse(
        headers: &HeaderMap,
        name: &HeaderName,
        parse: fn(&str) -> Option<T>,
        better: fn(T, T) -> T,
    ) -> Field<T> {
        let text =
            |value: &HeaderValue| String::from_utf8_lossy(value.as_bytes()).trim().to_owned();
        headers.get_all(name).iter().map(text).fold(Field::Absent, |known, text| {
            match (known, parse(&text)) {
                (Field::Value(known), Some(value)) => Field::Value(better(known, value)),
                (Field::Absent | Field::Unreadable(_), Some(value)) => Field::Value(value),
                (Field::Absent, None) => Field::Unreadable(text),
                (known, None) => known,
            }
        })
    }
}

/// The head of an answer, as far as routing depends on it.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Statement {
    /// Whether the request did not run.
    pub not_run: bool,
    /// Whether the answer was sent by a backend server itself.
    pub own: bool,
    /// The server of the path that is at fault.
    pub culprit: Option<SocketAddr>,
    /// Time for which a server that turns requests away wants none.
    pub backoff: Field<Duration>,
    /// Whether the server is leaving.
    pub leaving: Field<bool>,
    /// Requests a second that the server accepts from all routers together.
    pub limit: Field<f64>,
    /// Number of requests that run at the server or wait for a slot there.
    pub running: Option<u32>,
}

impl Statement {
    /// Parses the head of an answer.
    ///
    /// A time to wait counts only with a status that turns the request away. With any other one, such as a redirect, it
    /// is for the caller.
    pub fn parse(names: &Names, status: StatusCode, headers: &HeaderMap) -> Statement {
        let text = |name: &HeaderName| headers.get(name).and_then(|value| value.to_str().ok());
        let turned_away =
            matches!(status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS);
        Statement {
            not_run: headers.contains_key(&names.not_run)
                || status == StatusCode::MISDIRECTED_REQUEST,
            own: headers.contains_key(&names.stamp),
            culprit: text(&names.culprit).and_then(|text| text.trim().parse().ok()),
            backoff: match turned_away {
                true => Field::parse(headers, &RETRY_AFTER, parse_seconds, Duration::max),
                false => Field::Absent,
            },
            leaving: Field::parse(headers, &names.leaving, parse_flag, |a, b| a || b),
            limit: Field::parse(headers, &names.limit, parse_limit, f64::min),
            running: text(&names.load).and_then(parse_load),
        }
    }
}

/// Parses a time in seconds, which may have a fraction. None if it is no such time: signs, dates and exponents are
/// rejected.
///
/// ```
/// use std::time::Duration;
/// use gateway::statement::parse_seconds;
/// assert_eq!(parse_seconds("3"), Some(Duration::from_secs(3)));
/// assert_eq!(parse_seconds("2.5"), Some(Duration::from_millis(2500)));
/// assert_eq!(parse_seconds("-1"), None);
/// assert_eq!(parse_seconds("soon"), None);
/// ```
pub fn parse_seconds(text: &str) -> Option<Duration> {
    let digits = text.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    let seconds = text.parse::<f64>().ok().filter(|_| digits)?;
    // More seconds than a duration holds are still a time.
    Some(Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
}

/// Parses a field that is either set or not.
fn parse_flag(text: &str) -> Option<bool> {
    match text {
        "1" => Some(true),
        "0" => Some(false),
        _ => None,
    }
}

/// Parses requests a second, rounded to the thousandths that notices carry. None if it is no valid limit.
///
/// ```
/// use gateway::statement::parse_limit;
/// assert_eq!(parse_limit("2.9"), Some(2.9));
/// assert_eq!(parse_limit("4.12345"), Some(4.123));
/// assert_eq!(parse_limit("-1"), None);
/// assert_eq!(parse_limit("inf"), None);
/// ```
pub fn parse_limit(text: &str) -> Option<f64> {
    let limit = text.parse::<f64>().ok()?;
    (limit.is_finite() && limit >= 0.0).then(|| (limit * 1e3).round() / 1e3)
}

/// Parses the load of a server: the requests that run, those that wait, and the slots.
fn parse_load(text: &str) -> Option<u32> {
    let mut numbers = text.split(',').map(|n| n.trim().parse::<u32>().ok());
    let runs = numbers.next()??;
    let waits = numbers.next().flatten().unwrap_or(0);
    Some(runs.saturating_add(waits))
}
