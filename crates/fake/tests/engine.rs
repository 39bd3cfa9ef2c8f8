//! Order of positions, batching, fencing, the prefix cache and injected faults of an engine.

use std::process::{Command, Stdio};
use std::time::Duration;

use clap::{Args, FromArgMatches};
use engine::{Client, Order, Session, Step};
use fake::engine::{Fault, Options, history::History};
use fake::serve::Server;
use fake::{model, serve, weights};
use rstest::rstest;

const TIMEOUT: Duration = Duration::from_secs(10);

/// Parses options from a command line.
fn options(line: &str) -> Options {
    let command = Options::augment_args(clap::Command::new("engine").no_binary_name(true));
    let matches = command.get_matches_from(line.split_whitespace());
    Options::from_arg_matches(&matches).unwrap()
}

fn start(line: &str) -> (Server, Client) {
    let listener = serve::bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let server = fake::engine::start(listener, options(line)).unwrap();
    let client = Client::new(&server.url(), TIMEOUT);
    (server, client)
}

fn session(id: &str) -> Session {
    Session { session: id.to_string(), priority: 1, tag: String::new() }
}

async fn history(server: &Server) -> History {
    rest::Client::new(&server.url(), TIMEOUT).get("/~fake/books?limit=1").await.unwrap()
}

async fn control(server: &Server, fault: Fault) {
    let http = rest::Client::new(&server.url(), TIMEOUT);
    let () = http.post("/~fake/control", &fault).await.unwrap();
}

#[tokio::test]
async fn three_engines_give_the_expected_answer_and_run_each_layer_once() {
    let line = |first, last| format!("--model m --layers 12 --first {first} --last {last}");
    let stages = [start(&line(0, 3)), start(&line(4, 7)), start(&line(8, 11))];
    let mut inputs = stages[0].1.tokenize("a batch of wristbands").await.unwrap().tokens;
    let mut position = 0;
    let mut answer = Vec::new();
    for (_, client) in &stages {
        client.open(&session("r1")).await.unwrap();
    }
    for _ in 0..5 {
        let count = inputs.len() as u32;
        let mut token = None;
        for (_, client) in &stages {
            let output = client.step("r1", &Step { position, inputs }).await.unwrap();
            (inputs, token) = (output.outputs, output.token);
        }
        position += count;
        let token = token.unwrap();
        inputs = vec![token.id];
        answer.push(token);
    }
    assert_eq!(answer, model::expected_answer("m", 1, 12, "a batch of wristbands", 5));
    for (server, _) in &stages {
        let history = history(server).await;
        assert_eq!(history.layer_runs, 4 * u64::from(position));
        assert_eq!(history.sessions[0].positions(), u64::from(position));
        assert_eq!(history.sessions[0].repeated_position(), None);
    }
}

#[tokio::test]
async fn a_batch_answers_all_its_steps() {
    let (server, client) = start("--model m --batch 4 --slots 20 --load-lag-ms 0");
    // The engine hangs until all steps are pending, so that the number of batches doesn't depend on timing.
    control(&server, Fault { hang: Some(true), ..Fault::default() }).await;
    let mut steps = tokio::task::JoinSet::new();
    for i in 0..20 {
        let client = client.clone();
        steps.spawn(async move {
            let id = format!("s{i}");
            client.open(&session(&id)).await.unwrap();
            client.step(&id, &Step { position: 0, inputs: vec![i, i + 1] }).await.unwrap()
        });
    }
    while client.load().await.unwrap().waiting < 20 {
        tokio::task::yield_now().await;
    }
    control(&server, Fault { hang: Some(false), ..Fault::default() }).await;
    let outputs = steps.join_all().await;
    assert!(outputs.iter().all(|o| o.outputs.len() == 2 && o.token.is_some()));
    let history = history(&server).await;
    assert_eq!((history.positions, history.batches), (40, 5));
    let full = client.open(&session("one more")).await.unwrap_err();
    assert_eq!(full.status(), Some(429));
}

struct Case {
    session: &'static str,
    position: u32,
    status: Option<u16>,
}

// A late or repeated message requests a position out of order. If the engine ran it, it would
// apply a token to the session's state twice and the caller would get wrong tokens.
#[rstest]
#[case::next(Case { session: "a", position: 3, status: None })]
#[case::repeated(Case { session: "a", position: 0, status: Some(409) })]
#[case::ahead(Case { session: "a", position: 4, status: Some(409) })]
#[case::unknown(Case { session: "b", position: 0, status: Some(404) })]
#[tokio::test]
async fn a_step_must_come_at_the_next_position(#[case] case: Case) {
    let (_server, client) = start("--model m");
    client.open(&session("a")).await.unwrap();
    assert_eq!(client.open(&session("a")).await.unwrap_err().status(), Some(409));
    client.step("a", &Step { position: 0, inputs: vec![1, 2, 3] }).await.unwrap();
    let step = Step { position: case.position, inputs: vec![4] };
    let outcome = client.step(case.session, &step).await;
    assert_eq!(outcome.err().and_then(|e| e.status()), case.status);
}

// A request is cancelled while its step is pending in an engine that hangs. The step must be
// answered at once; otherwise its caller would keep its slot until a time-out.
#[tokio::test]
async fn cancelling_answers_a_pending_step() {
    let (server, client) = start("--model m --load-lag-ms 0");
    control(&server, Fault { hang: Some(true), ..Fault::default() }).await;
    client.open(&session("a")).await.unwrap();
    let step = Step { position: 0, inputs: vec![1] };
    let waiting = {
        let client = client.clone();
        tokio::spawn(async move { client.step("a", &step).await })
    };
    while client.load().await.unwrap().waiting == 0 {
        tokio::task::yield_now().await;
    }
    client.cancel("a").await.unwrap();
    assert_eq!(waiting.await.unwrap().unwrap_err().status(), Some(410));
    assert_eq!(client.cancel("a").await.unwrap_err().status(), Some(404));
}

// An engine is replaced during a request and the session state is moved. If the move lost or
// repeated a position, the rest of the answer would differ.
#[tokio::test]
async fn an_exported_state_continues_on_another_engine() {
    let (_old, from) = start("--model m");
    let (_new, to) = start("--model m");
    let (first, second) =
        (Step { position: 0, inputs: vec![7, 8, 9] }, Step { position: 3, inputs: vec![5] });
    from.open(&session("a")).await.unwrap();
    from.step("a", &first).await.unwrap();
    let kv = from.export("a").await.unwrap();
    to.open(&session("a")).await.unwrap();
    to.import("a", &kv).await.unwrap();
    let (here, there) = (from.step("a", &second).await, to.step("a", &second).await);
    assert_eq!(here.unwrap(), there.unwrap());
    assert_eq!(to.import("a", &kv).await.unwrap_err().status(), Some(409));
}

struct Fence {
    checks: bool,
    status: Option<u16>,
}

// An agent that was paused sends its old order after a newer one. An engine that checks the
// fencing number refuses it; one that doesn't loads the wrong model and gives wrong answers.
#[rstest]
#[case::checked(Fence { checks: true, status: Some(409) })]
#[case::ignored(Fence { checks: false, status: None })]
#[tokio::test]
async fn an_old_order_is_refused_where_the_number_is_checked(#[case] case: Fence) {
    let line = format!("--checks-fence {} --layers 8", case.checks);
    let listener = serve::bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let store = weights::start(listener, weights::Options { rate: 8 }).unwrap();
    let (server, client) = start(&format!("{line} --weights {}", store.url()));
    assert_eq!(client.info().await.unwrap().model, "");
    assert_eq!(client.open(&session("a")).await.unwrap_err().status(), Some(503));
    let order = |fence, model: &str| {
        let model = model.to_string();
        Order { fence, model, version: 2, first: 0, last: 3 }
    };
    client.order(&order(5, "new")).await.unwrap();
    while client.info().await.unwrap().model != "new" {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let outcome = client.order(&order(4, "old")).await;
    assert_eq!(outcome.err().and_then(|e| e.status()), case.status);
    let history = history(&server).await;
    assert_eq!(history.orders.len() + history.refused as usize, 2);
    client.cancel_all().await.unwrap();
}

#[tokio::test]
async fn a_cached_prefix_gives_the_same_outputs() {
    let (server, client) = start("--model m --prefix-cache 4");
    let inputs: Vec<u64> = (0..40).collect();
    let mut outputs = Vec::new();
    for id in ["a", "b"] {
        client.open(&session(id)).await.unwrap();
        let step = Step { position: 0, inputs: inputs.clone() };
        outputs.push(client.step(id, &step).await.unwrap());
    }
    assert_eq!((outputs[0].cached, outputs[1].cached), (0, 32));
    assert_eq!(outputs[0].outputs, outputs[1].outputs);
    assert_eq!(history(&server).await.cached, 32);
}

// Cache events have gaps. A router that assumes that they are complete would send work to an
// engine for a prefix that the engine has evicted.
#[tokio::test]
async fn cache_events_are_correct_but_have_gaps() {
    let (_server, client) = start("--model m --load-lag-ms 0 --prefix-cache 4 --slots 100");
    let prompt = |i: u64| [i; 16];
    for i in 0..50 {
        let id = format!("s{i}");
        client.open(&session(&id)).await.unwrap();
        client.step(&id, &Step { position: 0, inputs: prompt(i).to_vec() }).await.unwrap();
    }
    // Four prefixes are inserted; after that the oldest is evicted before each insertion.
    let mut all: Vec<(u64, bool)> =
        (0..4).map(|i| (model::prefix_hash(&prompt(i)), true)).collect();
    for i in 4..50 {
        all.push((model::prefix_hash(&prompt(i - 4)), false));
        all.push((model::prefix_hash(&prompt(i)), true));
    }
    let events = client.events(0).await.unwrap();
    assert!(events.iter().all(|e| all[e.number as usize] == (e.prefix, e.cached)));
    assert!(events.is_sorted_by(|a, b| a.number < b.number));
    assert!((60..all.len()).contains(&events.len()), "{} of {}", events.len(), all.len());
    let later = client.events(50).await.unwrap();
    assert!(!later.is_empty() && later.iter().all(|e| e.number >= 50));
}

// A request crashes every engine that runs it: the process exits at once without answering
// any request. The exit code distinguishes the crash from an orderly stop.
#[tokio::test]
async fn a_poison_request_ends_the_process() {
    let mut process = Command::new(env!("CARGO_BIN_EXE_hyssop-fake"))
        .args(["engine", "--listen", "127.0.0.1:0", "--model", "m"])
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut line = String::new();
    let mut stdout = std::io::BufReader::new(process.stdout.take().unwrap());
    std::io::BufRead::read_line(&mut stdout, &mut line).unwrap();
    let address = line.trim().strip_prefix("ready ").unwrap();
    let client = Client::new(&format!("http://{address}"), TIMEOUT);
    let poison = Session { tag: "draft [crash]".to_string(), ..session("a") };
    client.open(&poison).await.unwrap();
    let lost = client.step("a", &Step { position: 0, inputs: vec![1] }).await.unwrap_err();
    assert!(!lost.unsent() && lost.status().is_none(), "{lost}");
    assert_eq!(process.wait().unwrap().code(), Some(137));
}
