//! What servers say in the heads of their answers, in all the forms in which they may say it.

use std::time::Duration;

use gateway::statement::{Field, Statement};
use gateway::wire::Names;
use hyper::StatusCode;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use rstest::rstest;

fn names() -> Names {
    let name = HeaderName::from_static;
    Names {
        request: name("id"),
        deadline: name("deadline"),
        stamp: name("stamp"),
        workspace: name("workspace"),
        key: name("key"),
        server: name("server"),
        not_run: name("not-run"),
        path: name("path"),
        culprit: name("culprit"),
        rank: name("rank"),
        tokens: name("tokens"),
        last_event: name("last-event"),
        load: name("load"),
        limit: name("limit"),
        leaving: name("leaving"),
        weights: name("weights"),
        parts: name("parts"),
        protected: vec![],
    }
}

fn parse(status: u16, fields: &[(&'static str, &'static str)]) -> Statement {
    let mut headers = HeaderMap::new();
    for (name, value) in fields {
        headers.append(HeaderName::from_static(name), HeaderValue::from_static(value));
    }
    Statement::parse(&names(), StatusCode::from_u16(status).unwrap(), &headers)
}

fn unreadable<T>(text: &str) -> Field<T> {
    Field::Unreadable(text.to_owned())
}

fn seconds(seconds: f64) -> Field<Duration> {
    Field::Value(Duration::from_secs_f64(seconds))
}

/// Guards against values that crash the router, keep a server unused for ever, or are taken for another time.
#[rstest]
#[case::whole(503, &["3"], seconds(3.0))]
#[case::fraction(503, &["2.5"], seconds(2.5))]
#[case::zero(503, &["0"], seconds(0.0))]
#[case::with_spaces(503, &[" 4 "], seconds(4.0))]
#[case::very_long(503, &["86400"], seconds(86400.0))]
#[case::beyond_all_times(503, &["99999999999999999999999"], Field::Value(Duration::MAX))]
#[case::several(503, &["2", "7", "1"], seconds(7.0))]
#[case::several_of_which_one_is_readable(503, &["soon", "2"], seconds(2.0))]
#[case::readable_before_unreadable(503, &["2", "soon"], seconds(2.0))]
#[case::negative(503, &["-1"], unreadable("-1"))]
#[case::exponent(503, &["1e3"], unreadable("1e3"))]
#[case::infinite(503, &["inf"], unreadable("inf"))]
#[case::text(503, &["soon"], unreadable("soon"))]
#[case::empty(503, &[""], unreadable(""))]
#[case::point(503, &["."], unreadable("."))]
#[case::list(503, &["2, 3"], unreadable("2, 3"))]
#[case::date(503, &["Fri, 04 Dec 2026 10:00:00 GMT"], unreadable("Fri, 04 Dec 2026 10:00:00 GMT"))]
#[case::too_many_requests(429, &["3"], seconds(3.0))]
#[case::served(200, &["3"], Field::Absent)]
#[case::failed(500, &["3"], Field::Absent)]
#[case::wrong_server(421, &["3"], Field::Absent)]
#[case::none(503, &[], Field::Absent)]
fn times_to_wait_are_read(
    #[case] status: u16,
    #[case] values: &[&'static str],
    #[case] expected: Field<Duration>,
) {
    let fields: Vec<_> = values.iter().map(|value| ("retry-after", *value)).collect();
    assert_eq!(parse(status, &fields).backoff, expected);
}

/// Guards against a leaving server that is taken for one that stays, in any answer.
#[rstest]
#[case::says_so(&["1"], Field::Value(true))]
#[case::denies_it(&["0"], Field::Value(false))]
#[case::says_both(&["0", "1"], Field::Value(true))]
#[case::text(&["yes"], unreadable("yes"))]
#[case::silent(&[], Field::Absent)]
fn leaving_is_read_with_any_status(
    #[values(200, 421, 429, 500, 503)] status: u16,
    #[case] values: &[&'static str],
    #[case] expected: Field<bool>,
) {
    let fields: Vec<_> = values.iter().map(|value| ("leaving", *value)).collect();
    assert_eq!(parse(status, &fields).leaving, expected);
}

/// Guards against a request taken for one that has run, or the other way round.
#[rstest]
#[case::declined(503, &[("not-run", "1")], true, false)]
#[case::declined_by_time(503, &[("not-run", "1"), ("retry-after", "3")], true, false)]
#[case::overloaded_after_a_run(503, &[("stamp", "s"), ("retry-after", "3")], false, true)]
#[case::wrong_server(421, &[], true, false)]
#[case::served(200, &[("stamp", "s")], false, true)]
#[case::by_another_party(503, &[("retry-after", "3")], false, false)]
fn runs_are_told_apart(
    #[case] status: u16,
    #[case] fields: &[(&'static str, &'static str)],
    #[case] not_run: bool,
    #[case] own: bool,
) {
    let statement = parse(status, fields);
    assert_eq!((statement.not_run, statement.own), (not_run, own));
}
