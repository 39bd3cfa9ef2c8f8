//! The example files under `deploy/` are complete and have no faults.

use std::path::PathBuf;

use config::fleet::{self, Class, Objective};
use config::process::{self, Kind};
use rstest::rstest;

fn file(name: &str) -> PathBuf {
    [env!("CARGO_MANIFEST_DIR"), "..", "..", "deploy", name].iter().collect()
}

struct Fleet {
    file: &'static str,
    objective: Objective,
    service: &'static str,
    write: &'static str,
    key: &'static str,
    workspace: &'static str,
    queue_limit: u32,
}

#[rstest]
#[case(Fleet {
    file: "dala.ini",
    objective: Objective::Throughput,
    service: "filing",
    write: "/fees",
    key: "almaty-head-key",
    workspace: "almaty-head",
    queue_limit: 800,
})]
#[case(Fleet {
    file: "tsehay.ini",
    objective: Objective::Recovery,
    service: "orders",
    write: "/orders",
    key: "timket-key",
    workspace: "timket",
    queue_limit: 500,
})]
fn fleet_examples_are_valid(#[case] case: Fleet) {
    let text = std::fs::read_to_string(file(case.file)).unwrap();
    let fleet = fleet::parse(case.file, &text).unwrap_or_else(|faults| panic!("{faults}"));
    assert_eq!(fleet.defaults.objective, case.objective);
    assert_eq!(fleet.workspaces.len(), 10);
    let path = format!("/{}{}", case.service, case.write);
    let (service, rest) = fleet.service(&path).unwrap();
    assert_eq!((service.name.as_str(), rest), (case.service, case.write));
    assert_eq!(service.class("POST", rest), Class::NonIdempotent);
    let workspace = fleet.workspace(case.key).unwrap();
    assert_eq!(workspace.name, case.workspace);
    assert_eq!(workspace.queue_limit, case.queue_limit);
}

#[rstest]
#[case("router.ini", None)]
#[case("agent-engine.ini", Some(Kind::Engine))]
#[case("agent-service.ini", Some(Kind::Service("filing".into())))]
fn process_examples_are_valid(#[case] name: &str, #[case] kind: Option<Kind>) {
    let process = process::load(&file(name)).unwrap_or_else(|faults| panic!("{faults}"));
    assert_eq!(process.backend.map(|b| b.kind), kind);
    assert_eq!(process.tls.authority, file("ca.pem"));
}
