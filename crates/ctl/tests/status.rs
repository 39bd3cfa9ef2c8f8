//! `status` and `explain` with VMs that answer, give an invalid answer, or don't answer.

mod scratch;

use std::time::Duration;

use cloud::vm::{Entry, Role, State};
use fake::serve::{self, Server};
use scratch::{Run, Scratch, any};
use wire::frame::{Command, Frame};
use wire::{link, tls};

/// A fleet of stand-in daemons, each of which gives one fixed answer to every request.
struct Fleet {
    scratch: Scratch,
    list: Server,
    endpoints: Vec<quinn::Endpoint>,
}

impl Fleet {
    async fn new(name: &str, vms: &[(&str, Role, &'static str)]) -> Fleet {
        let scratch = Scratch::new(name);
        let names: Vec<&str> = vms.iter().map(|(vm, _, _)| *vm).collect();
        scratch
            .run(&[&["certs", "--out", ".", "--vm", "operator"], names.as_slice()].concat())
            .await;
        let options = fake::vms::Options { lag_ms: 0 };
        let list = fake::vms::start(serve::bind(any()).unwrap(), options).unwrap();
        let mut fleet = Fleet { scratch, list, endpoints: vec![] };
        for (vm, role, text) in vms {
            let file = |extension: &str| fleet.scratch.0.join(format!("{vm}.{extension}"));
            let pair = tls::load(&fleet.scratch.0.join("ca.pem"), &file("pem"), &file("key"));
            let endpoint = link::bind(any(), &pair.unwrap()).unwrap();
            let address = endpoint.local_addr().unwrap().to_string();
            tokio::spawn(answer(endpoint.clone(), text));
            fleet.endpoints.push(endpoint);
            fleet.add_to_list(vm, *role, &address).await;
        }
        fleet
    }

    async fn add_to_list(&self, vm: &str, role: Role, address: &str) {
        let http = rest::Client::new(&self.list.url(), Duration::from_secs(5));
        let entry = Entry {
            vm: vm.to_string(),
            role,
            data_centre: "almaty-a".to_string(),
            address: address.to_string(),
            state: State::Live,
        };
        let path = format!("/v1/vms/{vm}");
        let _: serde_json::Value = http.json("PUT", &path, &entry).await.unwrap();
    }

    async fn run(&self, args: &[&str]) -> Run {
        let url = self.list.url();
        let common = ["--vms", &url, "--tls", ".", "--as", "operator"];
        self.scratch.run(&[&common, args].concat()).await
    }
}

async fn answer(endpoint: quinn::Endpoint, text: &'static str) {
    while let Some(incoming) = endpoint.accept().await {
        let Ok(connection) = incoming.await else { continue };
        let mut stream = link::accept(&connection).await.unwrap();
        stream.expect::<Command>().await.unwrap();
        stream.send(&Frame::Text(text.to_string())).await.unwrap();
        stream.finish();
        connection.closed().await;
    }
}

const GPU: &str = r#"{"vm":"gpu-1","role":"agent","data_centre":"almaty-a","version":7,
    "state":"serving","busy":3,"slots":32,"backend":"engine","incarnation":5}"#;

#[tokio::test]
async fn every_vm_has_its_row() {
    let vms = [("gpu-1", Role::Agent, GPU), ("entry-1", Role::Router, "{\"version\":7}")];
    let fleet = Fleet::new("status-all", &vms).await;
    let run = fleet.run(&["status"]).await;
    assert_eq!(run.code, 0, "{run:?}");
    let rows: Vec<Vec<&str>> =
        run.out.lines().skip(1).map(|line| line.split_whitespace().collect()).collect();
    assert_eq!(rows[0], ["entry-1", "router", "almaty-a", "7", "-", "-/-", "-"]);
    assert_eq!(rows[1], ["gpu-1", "agent", "almaty-a", "7", "serving", "3/32", "engine"]);
    assert!(fleet.run(&["status", "--json"]).await.out.contains("\"incarnation\": 5"));
}

// A VM has died and the platform's list still shows it as live, or a daemon of another release
// gives an answer that does not decode. The other VMs are still shown.
#[tokio::test]
async fn a_vm_that_does_not_answer_is_named() {
    let vms = [("gpu-1", Role::Agent, GPU), ("gpu-2", Role::Agent, "what?")];
    let fleet = Fleet::new("status-dead", &vms).await;
    fleet.add_to_list("gpu-3", Role::Agent, "127.0.0.1:1").await;
    let run = fleet.run(&["status"]).await;
    assert_eq!(run.code, 3, "{run:?}");
    assert!(run.out.contains("serving"), "{run:?}");
    assert_eq!(run.out.matches("no answer  ").count(), 2, "{run:?}");
    assert!(run.out.contains("\ngpu-3: link step 'connect' with gpu-3"), "{run:?}");
}

const HEAD: &str = r#"[{"time_ms":2000,"step":"open","text":"stage opened"},
    {"time_ms":4000,"step":"done","text":"answered"}]"#;
const ENTRY: &str =
    "{\"time_ms\":1000,\"text\":\"let in\"}\n{\"time_ms\":3000,\"text\":\"sent\"}\n";

#[tokio::test]
async fn events_of_a_request_are_in_the_order_of_time() {
    let vms = [
        ("gpu-1", Role::Agent, HEAD),
        ("entry-1", Role::Router, ENTRY),
        ("gpu-2", Role::Agent, GPU),
    ];
    let fleet = Fleet::new("explain-all", &vms).await;
    let run = fleet.run(&["explain", "gpu-1.5.abc"]).await;
    assert_eq!(run.code, 0, "{run:?}");
    let vms: Vec<_> =
        run.out.lines().skip(1).filter_map(|line| line.split_whitespace().nth(1)).collect();
    assert_eq!(vms, ["entry-1", "gpu-1", "entry-1", "gpu-1"], "{run:?}");
    assert!(run.out.contains("1970-01-01T00:00:02.000Z"), "{run:?}");
}

// The VM that ran the request was replaced, and its events are lost.
#[tokio::test]
async fn a_removed_vm_is_named_and_the_routers_are_still_queried() {
    let fleet = Fleet::new("explain-gone", &[("entry-1", Role::Router, "")]).await;
    let run = fleet.run(&["explain", "gpu-9.5.abc"]).await;
    assert_eq!(run.code, 3, "{run:?}");
    assert!(run.err.contains("gpu-9: not in the VM list"), "{run:?}");
    let run = fleet.run(&["explain", "entry-1.5.abc"]).await;
    assert_eq!(run.code, 1, "{run:?}");
}
