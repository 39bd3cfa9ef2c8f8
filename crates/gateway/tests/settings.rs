//! Settings of the fleet and of the process, and log lines.

use std::io::Write;
use std::sync::atomic::Ordering;
use std::time::Duration;

use gateway::logging::{Lines, copy};
use gateway::settings::{Class, Key, Limits, Route, Settings, Target};
use gateway::setup::Setup;
use rstest::rstest;

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        class: Class::Safe,
        timeout: Duration::from_secs(1),
        goal: Duration::from_secs(1),
        gap: Duration::from_secs(1),
        attempts: 1,
        public: false,
        rank: 0,
        targets: vec![Target { service: "s".to_owned(), weight: 1 }],
    }
}

fn settings() -> Settings {
    let routes = vec![
        route("root", "a.example", "/"),
        route("long", "a.example", "/x/y/"),
        route("short", "a.example", "/x/"),
        route("other", "b.example", "/x/"),
    ];
    let key = |key: &str| Key { key: key.to_owned(), workspace: "w".to_owned(), rank: None };
    let limits = Limits { head: 1, body: 1, head_time: Duration::ZERO, idle: Duration::ZERO };
    let keys = vec![key("k2"), key("k1")];
    Settings { version: 1, routes, services: Vec::new(), keys, requires_key: true, limits }.sorted()
}

#[rstest]
#[case::longest("a.example", "/x/y/z", Some("long"))]
#[case::shorter("a.example", "/x/z", Some("short"))]
#[case::root("a.example", "/q", Some("root"))]
#[case::port_and_case("B.EXAMPLE:80", "/x/", Some("other"))]
#[case::no_prefix("b.example", "/y/", None)]
#[case::no_host("c.example", "/x/", None)]
#[case::prefix_without_its_slash("b.example", "/x", None)]
fn routes(#[case] host: &str, #[case] path: &str, #[case] name: Option<&str>) {
    let settings = settings();
    assert_eq!(settings.route(host, path).map(|r| r.name.as_str()), name);
}

#[test]
fn keys() {
    let settings = settings();
    assert!(settings.key("k1").is_some() && settings.key("k2").is_some());
    assert!(settings.key("k").is_none() && settings.key("").is_none());
}

const GOOD: &str = "[process]\nvm=v\ndata-centre=a\nlisten=127.0.0.1:1\nready=127.0.0.1:2\ngrace-s=8\n\
    memory-mb=256\ndescriptors=4000\n[store]\naddress=127.0.0.1:3\nparts=12\n\
    [retries]\nratio=0.2\nslack=196\nwindow-s=10\n";

#[test]
fn good_setup() {
    let setup = Setup::parse(GOOD).unwrap();
    assert_eq!(setup.grace, Duration::from_secs(8));
    assert_eq!(setup.metrics, None);
}

/// All faults are reported at once, with their place and what is allowed.
#[test]
fn bad_setup() {
    let bad = GOOD
        .replace("127.0.0.1:1", "nowhere")
        .replace("ratio=0.2\n", "")
        .replace("slack=196", "slack=many")
        .replace("grace-s=8", "grace-s=1e300")
        .replace("window-s=10", "window-s=nan");
    let faults = Setup::parse(&bad).unwrap_err().to_string();
    for part in [
        "[process] listen: found `nowhere`",
        "[retries] ratio: missing",
        "[retries] slack: found `many`",
        "[process] grace-s is out of range",
        "[retries] window-s is out of range",
    ] {
        assert!(faults.contains(part), "{faults}");
    }
}

/// Nobody reads standard output any more. Requests must not wait for log lines: the queue fills, further lines are
/// dropped, and a later line reports how many.
#[test]
fn log_lines_are_left_out_when_nobody_reads() {
    let (mut lines, receiver, counts) = Lines::new(4);
    for i in 0..10 {
        // In several writes, as the logger does it.
        write!(lines, "line {i}").unwrap();
        writeln!(lines).unwrap();
    }
    drop(lines);
    assert_eq!(counts.left_out.load(Ordering::Relaxed), 6);
    let mut out = Vec::new();
    copy(&receiver, &counts, &mut out);
    assert_eq!(counts.waiting.load(Ordering::Relaxed), 0);
    let text = String::from_utf8(out).unwrap();
    assert!(text.starts_with("line 0\ngateway: lines_left_out=6"), "{text}");
    assert!(text.ends_with("line 3\n"));
}

/// An output that was closed must not end the process.
#[test]
fn a_closed_output_is_survived() {
    struct Closed;
    impl Write for Closed {
        fn write(&mut self, _: &[u8]) -> std::io::Result<usize> {
            Err(std::io::ErrorKind::BrokenPipe.into())
        }
        fn flush(&mut self) -> std::io::Result<()> {
            Ok(())
        }
    }
    let (mut lines, receiver, counts) = Lines::new(4);
    writeln!(lines, "line").unwrap();
    drop(lines);
    copy(&receiver, &counts, &mut Closed);
    assert_eq!(counts.left_out.load(Ordering::Relaxed), 1);
}
