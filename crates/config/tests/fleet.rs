//! Fleet settings: valid texts, and every kind of fault.

use std::time::Duration;

use config::fleet::{self, Class, Fleet, Objective};
use config::unit;
use rstest::rstest;

const SHA: &str = "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa";

const COMPLETE: &str = "
[defaults]
objective = recovery        ; or throughput
deadline = 20s
deadline-max = 5m
body-limit = 64KiB
[model draft]
version = 1
layers = 12
ranges = 0-3, 4-7, 8-11
[workspace almaty-head]
key-sha256 = aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa
share = 4
priority = 7
[service filing]
prefix = /filing
route.1 = GET /filings/* read-only
route.2 = POST /filings non-idempotent
route.3 = PUT /notes/* idempotent
route.4 = GET /notes/*/print non-idempotent
[engines]
check-fence = gpu-2, gpu-1
[exception big-office]
target = workspace almaty-head
setting = queue-limit
value = 800
reason = The head office files for 40 wineries; at the end of a quarter.
";

fn complete() -> Fleet {
    fleet::parse("fleet.ini", COMPLETE).unwrap_or_else(|faults| panic!("{faults}"))
}

#[test]
fn a_complete_text_is_read() {
    let fleet = complete();
    assert_eq!(fleet.defaults.objective, Objective::Recovery);
    assert_eq!(fleet.defaults.body_limit, 65536);
    assert_eq!(fleet.defaults.drain, fleet::defaults::DRAIN);
    assert_eq!(fleet.model("draft").unwrap().ranges, [(0, 3), (4, 7), (8, 11)]);
    assert_eq!(fleet.fencing_vms, ["gpu-1", "gpu-2"]);
    let workspace = &fleet.workspaces[0];
    assert_eq!((workspace.share, workspace.priority, workspace.queue_limit), (4, 7, 800));
    assert_eq!(workspace.deadline, Duration::from_secs(20));
    assert!(fleet.exceptions[0].reason.ends_with("; at the end of a quarter."));
}

#[test]
fn an_empty_text_gives_the_defaults() {
    assert_eq!(fleet::parse("fleet.ini", "").unwrap(), Fleet::empty());
}

#[test]
fn each_of_many_workspaces_is_found_by_its_key() {
    let section = |i| format!("[workspace w{i}]\nkey-sha256 = {}\n", fleet::hash(&format!("k{i}")));
    let text: String = (0..810).map(section).collect();
    let fleet = fleet::parse("fleet.ini", &text).unwrap();
    for i in 0..810 {
        assert_eq!(fleet.workspace(&format!("k{i}")).unwrap().name, format!("w{i}"));
    }
    assert!(fleet.workspace("k810").is_none());
}

/// A text with one fault, and the section and key that the fault names.
struct Wrong {
    text: String,
    section: &'static str,
    key: &'static str,
}

fn wrong(text: impl Into<String>, section: &'static str, key: &'static str) -> Wrong {
    Wrong { text: text.into(), section, key }
}

fn workspace(lines: &str) -> String {
    format!("[workspace a]\nkey-sha256 = {SHA}\n{lines}\n")
}

fn with_exception(lines: &str) -> String {
    workspace(&format!("[exception e]\n{lines}"))
}

fn model(ranges: &str) -> String {
    format!("[model m]\nversion = 1\nlayers = 8\nranges = {ranges}\n")
}

fn service(lines: &str) -> String {
    format!("[service s]\nprefix = /s\n{lines}\n")
}

#[rstest]
#[case::unknown_section(wrong("[default]\ndrain = 1s\n", "default", ""))]
#[case::nameless_section(wrong("[model]\nversion = 1\n", "model", ""))]
#[case::bad_name(wrong("[model A_b]\nversion = 1\n", "model A_b", ""))]
#[case::unknown_key(wrong("[defaults]\ndrian = 1s\n", "defaults", "drian"))]
#[case::key_outside(wrong("drain = 1s\n", "", ""))]
#[case::second_section(wrong("[defaults]\n[defaults]\n", "defaults", ""))]
#[case::second_section_spaced(wrong("[service  s]\nprefix = /s\n[service s]\n", "service s", ""))]
#[case::second_key(wrong("[defaults]\ndrain = 1s\ndrain = 2s\n", "defaults", "drain"))]
#[case::no_ini(wrong("[defaults]\ndrain 1s\nqueue-limit = 5\n", "defaults", ""))]
#[case::no_unit(wrong("[defaults]\ndrain = 30\n", "defaults", "drain"))]
#[case::wrong_unit(wrong("[defaults]\ndrain = 30 s\n", "defaults", "drain"))]
#[case::size_unit(wrong("[defaults]\nbody-limit = 1MB\n", "defaults", "body-limit"))]
#[case::zero_time(wrong("[defaults]\ndrain = 0s\n", "defaults", "drain"))]
#[case::long_time(wrong("[defaults]\nkey-window = 25h\n", "defaults", "key-window"))]
#[case::huge_time(wrong("[defaults]\ndrain = 99999999999999999999h\n", "defaults", "drain"))]
#[case::large_size(wrong("[defaults]\nbody-limit = 17MiB\n", "defaults", "body-limit"))]
#[case::zero_count(wrong("[defaults]\nqueue-limit = 0\n", "defaults", "queue-limit"))]
#[case::negative(wrong("[defaults]\nmax-tokens = -1\n", "defaults", "max-tokens"))]
#[case::objective(wrong("[defaults]\nobjective = speed\n", "defaults", "objective"))]
#[case::deadline(wrong("[defaults]\ndeadline = 6m\n", "defaults", "deadline"))]
#[case::missing_layer(wrong(model("0-3, 5-7"), "model m", "ranges"))]
#[case::overlap(wrong(model("0-3, 3-7"), "model m", "ranges"))]
#[case::order(wrong(model("4-7, 0-3"), "model m", "ranges"))]
#[case::short(wrong(model("0-3, 4-6"), "model m", "ranges"))]
#[case::long(wrong(model("0-3, 4-8"), "model m", "ranges"))]
#[case::backwards(wrong(model("0-3, 7-4"), "model m", "ranges"))]
#[case::overflow(wrong(model("0-4294967295"), "model m", "ranges"))]
#[case::no_range(wrong(model(""), "model m", "ranges"))]
#[case::no_version(wrong("[model m]\nlayers = 1\nranges = 0-0\n", "model m", "version"))]
#[case::no_key(wrong("[workspace a]\nshare = 2\n", "workspace a", "key-sha256"))]
#[case::upper_case(wrong(format!("[workspace a]\nkey-sha256 = A{}\n", &SHA[1..]), "workspace a", "key-sha256"))]
#[case::short_key(wrong("[workspace a]\nkey-sha256 = abc\n", "workspace a", "key-sha256"))]
#[case::same_key(wrong(workspace("").replace("[w", "[workspace b]\nkey-sha256 = aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\n[w"), "workspace b", "key-sha256"))]
#[case::share(wrong(workspace("share = 0"), "workspace a", "share"))]
#[case::priority(wrong(workspace("priority = 10"), "workspace a", "priority"))]
#[case::hidden_exception(wrong(workspace("queue-limit = 10"), "workspace a", "queue-limit"))]
#[case::no_reason(wrong(
    with_exception("target = workspace a\nsetting = share\nvalue = 2"),
    "exception e",
    "reason"
))]
#[case::empty_reason(wrong(
    with_exception("target = workspace a\nsetting = share\nvalue = 2\nreason ="),
    "exception e",
    "reason"
))]
#[case::unknown_target(wrong(
    with_exception("target = workspace b\nsetting = share\nvalue = 2\nreason = r"),
    "exception e",
    "target"
))]
#[case::vm_target(wrong(
    with_exception("target = vm gpu-1\nsetting = share\nvalue = 2\nreason = r"),
    "exception e",
    "target"
))]
#[case::unknown_setting(wrong(
    with_exception("target = workspace a\nsetting = drain\nvalue = 2s\nreason = r"),
    "exception e",
    "setting"
))]
#[case::exception_value(wrong(
    with_exception("target = workspace a\nsetting = deadline\nvalue = 6m\nreason = r"),
    "exception e",
    "value"
))]
#[case::exception_twice(wrong(
    with_exception(
        "target = workspace a\nsetting = share\nvalue = 2\nreason = r\n[exception f]\ntarget = workspace a\nsetting = share\nvalue = 3\nreason = r"
    ),
    "exception f",
    "setting"
))]
#[case::same_prefix(wrong(service("[service t]\nprefix = /s"), "service t", "prefix"))]
#[case::reserved_prefix(wrong("[service s]\nprefix = /v1\n", "service s", "prefix"))]
#[case::under_reserved(wrong("[service s]\nprefix = /metrics/x\n", "service s", "prefix"))]
#[case::root_prefix(wrong("[service s]\nprefix = /\n", "service s", "prefix"))]
#[case::odd_prefix(wrong("[service s]\nprefix = /s/\n", "service s", "prefix"))]
#[case::no_prefix(wrong("[service s]\n", "service s", "prefix"))]
#[case::class(wrong(service("route.1 = GET /x safe"), "service s", "route.1"))]
#[case::method(wrong(service("route.1 = get /x read-only"), "service s", "route.1"))]
#[case::route_path(wrong(service("route.1 = GET /x/ read-only"), "service s", "route.1"))]
#[case::half_wildcard(wrong(service("route.1 = GET /x* read-only"), "service s", "route.1"))]
#[case::route_order(wrong(
    service("route.2 = GET /x read-only\nroute.1 = GET /y read-only"),
    "service s",
    "route.1"
))]
#[case::route_twice(wrong(
    service("route.1 = PUT /x idempotent\nroute.2 = PUT /x non-idempotent"),
    "service s",
    "route.2"
))]
#[case::route_key(wrong(service("route.x = PUT /x idempotent"), "service s", "route.x"))]
#[case::fence(wrong("[engines]\ncheck-fence = gpu-1, gpu-1\n", "engines", "check-fence"))]
#[case::no_fence(wrong("[engines]\ncheck-fence =\n", "engines", "check-fence"))]
fn each_invalid_text_gives_one_fault(#[case] case: Wrong) {
    let faults = fleet::parse("fleet.ini", &case.text).unwrap_err();
    let found: Vec<_> = faults.list.iter().map(|f| (f.section.as_str(), f.key.as_str())).collect();
    assert_eq!(found, [(case.section, case.key)], "{faults}");
    let fault = &faults.list[0];
    assert!(fault.file == "fleet.ini" && !fault.found.is_empty() && !fault.allowed.is_empty());
}

#[test]
fn all_faults_are_reported_in_order() {
    let text = "[defaults]\nnew = 1\ndrain = 5\n[model m]\nversion = 0\nlayers = 2\n[what]\n";
    let faults = fleet::parse("fleet.ini", text).unwrap_err();
    let found: Vec<_> = faults.list.iter().map(|f| (f.section.as_str(), f.key.as_str())).collect();
    let expected = [
        ("defaults", "new"),
        ("defaults", "drain"),
        ("model m", "version"),
        ("model m", "ranges"),
        ("what", ""),
    ];
    assert_eq!(found, expected);
}

// A client sends a payment with a path that it or a proxy has written in an unusual form. If
// such a path were matched loosely, the call could count as read-only or idempotent, be
// retried after a time-out, and the fee be paid twice.
#[rstest]
#[case("GET", "/filings/7", Class::ReadOnly)]
#[case("GET", "/filings/7?x=/../%2f", Class::ReadOnly)]
#[case("HEAD", "/filings/7", Class::ReadOnly)]
#[case("GET", "/elsewhere", Class::ReadOnly)]
#[case("POST", "/elsewhere", Class::NonIdempotent)]
#[case("POST", "/filings", Class::NonIdempotent)]
#[case("PUT", "/notes/7", Class::Idempotent)]
#[case("PUT", "/notes/7?a=b", Class::Idempotent)]
#[case("put", "/notes/7", Class::NonIdempotent)]
#[case("PUT", "/notes", Class::NonIdempotent)]
#[case("PUT", "/notes/7/8", Class::NonIdempotent)]
#[case("PUT", "/notes/7/", Class::NonIdempotent)]
#[case("PUT", "/notes//7", Class::NonIdempotent)]
#[case("PUT", "//notes/7", Class::NonIdempotent)]
#[case("PUT", "/notes/..", Class::NonIdempotent)]
#[case("PUT", "/notes/.", Class::NonIdempotent)]
#[case("PUT", "/notes/%2e%2e", Class::NonIdempotent)]
#[case("PUT", "/notes/a%2fb", Class::NonIdempotent)]
#[case("PUT", "/notes/a\\b", Class::NonIdempotent)]
#[case("PUT", "/notes/7;v=1", Class::NonIdempotent)]
#[case("PUT", "/notes/7#x", Class::NonIdempotent)]
#[case("PUT", "notes/7", Class::NonIdempotent)]
#[case("GET", "/notes/7/print", Class::NonIdempotent)]
#[case("HEAD", "/notes/7/print", Class::NonIdempotent)]
#[case("GET", "/notes//7/print", Class::NonIdempotent)]
#[case("GET", "/notes/7/%70rint", Class::NonIdempotent)]
fn an_unusual_path_is_never_treated_as_harmless(
    #[case] method: &str,
    #[case] path: &str,
    #[case] class: Class,
) {
    assert_eq!(complete().services[0].class(method, path), class);
}

#[test]
fn an_unusual_get_is_read_only_where_all_get_routes_are() {
    let text = "[service s]\nprefix = /s\nroute.1 = GET /x/* read-only\n";
    let fleet = fleet::parse("fleet.ini", text).unwrap();
    assert_eq!(fleet.services[0].class("GET", "/x/na%20me"), Class::ReadOnly);
    assert_eq!(fleet.services[0].class("DELETE", "/x/na%20me"), Class::NonIdempotent);
}

#[rstest]
#[case("/s/t/x", Some(("t", "/x")))]
#[case("/s/tx", Some(("s", "/tx")))]
#[case("/s?q=1", Some(("s", "?q=1")))]
#[case("/s", Some(("s", "")))]
#[case("/sx", None)]
#[case("/%73/x", None)]
fn the_longest_prefix_applies(#[case] path: &str, #[case] expected: Option<(&str, &str)>) {
    let text = "[service s]\nprefix = /s\n[service t]\nprefix = /s/t\n";
    let fleet = fleet::parse("fleet.ini", text).unwrap();
    assert_eq!(fleet.service(path).map(|(s, rest)| (s.name.as_str(), rest)), expected);
}

#[rstest]
#[case("250ms", Some(250))]
#[case("1h", Some(3_600_000))]
#[case("1d", None)]
#[case("1.5s", None)]
#[case("+1s", None)]
#[case("s", None)]
#[case("", None)]
#[case("999999999999999999h", None)]
fn durations_are_parsed(#[case] text: &str, #[case] ms: Option<u64>) {
    assert_eq!(unit::duration(text), ms.map(Duration::from_millis));
}

#[test]
fn a_difference_names_added_removed_and_changed_settings() {
    let old = "[defaults]\ndrain = 1s\n[engines]\ncheck-fence = a\n";
    let new = "[defaults]\ndrain = 2s\nqueue-limit = 5\n";
    let found = fleet::diff(old, new);
    let keys: Vec<_> = found.iter().map(|d| (d.key.as_str(), d.after.as_deref())).collect();
    assert_eq!(keys, [("drain", Some("2s")), ("check-fence", None), ("queue-limit", Some("5"))]);
    assert!(fleet::diff(old, old).is_empty());
}
