//! The stand-ins of the platform: log service, VM list, weight store.

use std::time::Duration;

use cloud::vm::{Entry, Role, State};
use fake::serve::Server;
use fake::{log, model, serve, vms, weights};

const TIMEOUT: Duration = Duration::from_secs(5);

fn listener() -> tokio::net::TcpListener {
    serve::bind("127.0.0.1:0".parse().unwrap()).unwrap()
}

fn start_log(rate: u32) -> (Server, cloud::log::Client) {
    let server = log::start(listener(), log::Options { rate, retain: 100 }).unwrap();
    let client = cloud::log::Client::new(&server.url(), TIMEOUT);
    (server, client)
}

async fn control(server: &Server, fault: log::Fault) {
    let http = rest::Client::new(&server.url(), TIMEOUT);
    let () = http.post("/~fake/control", &fault).await.unwrap();
}

#[tokio::test]
async fn offsets_count_up_in_each_stream_and_old_records_expire() {
    let (server, client) = start_log(100_000);
    for i in 0..150 {
        assert_eq!(client.append("a", &i.to_string()).await.unwrap(), i);
    }
    assert_eq!(client.append("b", "x").await.unwrap(), 0);
    let page = client.read("a", 0, Duration::ZERO).await.unwrap();
    assert_eq!((page.first, page.next, page.records.len()), (50, 150, 100));
    assert!((50..).zip(&page.records).all(|(i, r)| r.offset == i && r.data == i.to_string()));
    let expire = Some(log::Expire { stream: "a".to_string(), before: 148 });
    control(&server, log::Fault { expire, ..log::Fault::default() }).await;
    let page = client.read("a", 60, Duration::ZERO).await.unwrap();
    assert_eq!((page.first, page.next, page.records.len()), (148, 150, 2));
    let page = client.read("b", 0, Duration::ZERO).await.unwrap();
    assert_eq!((page.first, page.records.len()), (0, 1));
}

#[tokio::test]
async fn a_read_waits_for_the_next_record() {
    let (_server, client) = start_log(100);
    let reader = client.clone();
    let read = tokio::spawn(async move { reader.read("a", 0, Duration::from_secs(30)).await });
    client.append("a", "x").await.unwrap();
    assert_eq!(read.await.unwrap().unwrap().records[0].data, "x");
}

// The log takes an append and its answer is lost. A writer that took this for a failure
// and appended again would have its change in the stream twice.
#[tokio::test]
async fn a_lost_answer_has_taken_effect() {
    let (server, client) = start_log(100);
    control(&server, log::Fault { lose_answers: Some(1), ..log::Fault::default() }).await;
    let lost = client.append("a", "x").await.unwrap_err();
    assert!(!lost.unsent() && lost.status().is_none(), "{lost}");
    let page = client.read("a", 0, Duration::ZERO).await.unwrap();
    assert_eq!(page.records.len(), 1);
    assert_eq!(client.append("a", "y").await.unwrap(), 1);
}

// The log refuses what is over its rate or comes during an outage; such a record must not
// stand in the stream, since its writer has been told so.
#[tokio::test]
async fn a_refused_append_has_no_effect() {
    let (server, client) = start_log(8);
    let mut taken = 0;
    let refused = loop {
        match client.append("a", "x").await {
            Ok(_) => taken += 1,
            Err(e) => break e,
        }
    };
    assert_eq!(refused.status(), Some(429));
    assert_eq!(client.read("a", 0, Duration::ZERO).await.unwrap().next, taken);
    let fault = log::Fault { outage: Some(true), ..log::Fault::default() };
    control(&server, fault).await;
    assert_eq!(client.append("a", "x").await.unwrap_err().status(), Some(503));
    let read = client.read("a", 0, Duration::ZERO).await;
    assert_eq!(read.unwrap_err().status(), Some(503));
    let fault = log::Fault {
        outage: Some(false),
        rate: Some(1000),
        refuse_next: Some(1),
        ..log::Fault::default()
    };
    control(&server, fault).await;
    assert_eq!(client.append("a", "x").await.unwrap_err().status(), Some(503));
    assert_eq!(client.append("a", "x").await.unwrap(), taken);
}

#[tokio::test]
async fn the_vm_list_shows_changes_after_its_lag() {
    let server = vms::start(listener(), vms::Options { lag_ms: 3_600_000 }).unwrap();
    let http = rest::Client::new(&server.url(), TIMEOUT);
    let client = cloud::vm::Client::new(&server.url(), TIMEOUT);
    let entry = |vm: &str| Entry {
        vm: vm.to_string(),
        role: Role::Agent,
        data_centre: "a".to_string(),
        address: "127.0.1.1:7000".to_string(),
        state: State::Live,
    };
    for vm in ["b", "a", "c"] {
        let () = http.json("PUT", &format!("/v1/vms/{vm}"), &entry(vm)).await.unwrap();
    }
    let () = http.json("DELETE", "/v1/vms/c", &()).await.unwrap();
    assert_eq!(client.list().await.unwrap(), []);
    let fault = vms::Fault { lag_ms: Some(0), ..vms::Fault::default() };
    let () = http.post("/~fake/control", &fault).await.unwrap();
    assert_eq!(client.list().await.unwrap(), [entry("a"), entry("b")]);
    let list = client.list_if_changed("").await.unwrap().unwrap();
    assert_eq!(list.entries, [entry("a"), entry("b")]);
    assert_eq!(client.list_if_changed(&list.tag).await.unwrap(), None);
}

#[tokio::test]
async fn the_weight_store_hands_out_the_models_seeds_at_a_rate() {
    let server = weights::start(listener(), weights::Options { rate: 8 }).unwrap();
    let client = cloud::weight::Client::new(&server.url(), TIMEOUT);
    let layer = client.fetch("m", 2, 5).await.unwrap();
    assert_eq!(layer.seed, model::seed("m", 2, 5));
    let mut fetched = Ok(layer);
    while fetched.is_ok() {
        fetched = client.fetch("m", 2, 5).await;
    }
    assert_eq!(fetched.unwrap_err().status(), Some(429));
}
