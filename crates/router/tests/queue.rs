//! Answers when more requests arrive than the fleet has slots: they are queued, or refused at once if
//! they would miss their deadline.

mod work;

use std::time::Duration;

use serde_json::{Value, json};
use tokio::task::JoinHandle;
use work::{Fleet, STADIUM, WINERY, header, post, wait_until};

/// Slots of the engine's agent in this fleet.
const SLOTS: usize = 16;

/// Tokens of a draft that holds its slot for seconds while the engine is slow.
const LONG_TOKENS: u32 = 100;

/// Step time of the engine while all its slots are to stay in use.
const SLOW_US: u64 = 20_000;

/// Step time with which running drafts end soon.
const FAST_US: u64 = 200;

/// Number of times that the count of sessions is read, and the pause between two. All have to be equal.
const SAMPLES: usize = 5;
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);

type Drafts = Vec<JoinHandle<rest::Answer>>;

fn prompt(n: usize) -> String {
    format!("label {n}")
}

fn body(tokens: u32, n: usize) -> String {
    json!({"model": "draft", "prompt": prompt(n), "max_tokens": tokens}).to_string()
}

/// Numbers of prompts whose answers have all [`LONG_TOKENS`] tokens. Others end early and free their
/// slots while a test still needs a full fleet.
fn long_prompts() -> impl Iterator<Item = usize> {
    let answer =
        |n: usize| fake::model::expected_answer("draft", 1, 4, &prompt(n), LONG_TOKENS as usize);
    (0..).filter(move |&n| answer(n).len() == LONG_TOKENS as usize)
}

fn send_drafts(fleet: &Fleet, key: &'static str, count: usize) -> Drafts {
    let draft = |n: usize| {
        let client = fleet.client();
        tokio::spawn(async move {
            post(&client, "/v1/completions", key, &[], body(LONG_TOKENS, n)).await
        })
    };
    long_prompts().take(count).map(draft).collect()
}

async fn set_step_us(fleet: &Fleet, step_us: u64) {
    let http = rest::Client::new(&fleet.engine.url(), Duration::from_secs(5));
    let _: Value = http.post("/~fake/control", &json!({"step_us": step_us})).await.unwrap();
}

/// Value of a gauge of the model `draft` on the router's /metrics page.
async fn gauge(fleet: &Fleet, name: &str) -> Option<u64> {
    let page = fleet.client().send("GET", "/metrics", &[], Default::default()).await.ok()?;
    let text = String::from_utf8_lossy(&page.body).to_string();
    let of_draft = |l: &&str| l.starts_with(name) && l.contains("target=\"draft\"");
    let line = text.lines().find(of_draft)?.to_string();
    line.rsplit(' ').next()?.parse().ok()
}

async fn wait_for_queue(fleet: &Fleet, count: usize) {
    wait_until("as many wait as have no slot", async || {
        gauge(fleet, "hyssop_queue_waiting").await == Some(count as u64)
    })
    .await;
}

/// Checks that as many sessions are open at the engine as it has slots, and that no more are opened.
/// The router counts a slot as used before the session is open, and the engine reports its load late.
async fn assert_all_slots_used(fleet: &Fleet) {
    wait_until("all slots are in use", async || fleet.sessions().await == SLOTS).await;
    for _ in 0..SAMPLES {
        tokio::time::sleep(SAMPLE_INTERVAL).await;
        assert_eq!(fleet.sessions().await, SLOTS);
    }
}

/// Starts a fleet whose slots are all in use, with `more` drafts queued.
async fn start_full_fleet(more: usize) -> (Fleet, Drafts) {
    let fleet = Fleet::start().await;
    set_step_us(&fleet, SLOW_US).await;
    let sent = send_drafts(&fleet, WINERY, SLOTS + more);
    wait_for_queue(&fleet, more).await;
    (fleet, sent)
}

async fn assert_answered(sent: Drafts) {
    for draft in sent {
        assert_eq!(draft.await.unwrap().status, 200);
    }
}

// More drafts arrive at once than there are slots. If they were refused, their callers would retry
// together again and again, and the refusals would become the load.
#[tokio::test(flavor = "multi_thread")]
async fn a_full_fleet_makes_drafts_wait_and_answers_all() {
    let (fleet, sent) = start_full_fleet(24).await;
    assert_all_slots_used(&fleet).await;
    assert_eq!(gauge(&fleet, "hyssop_slots_free").await, Some(0));
    set_step_us(&fleet, FAST_US).await;
    assert_answered(sent).await;
    wait_for_queue(&fleet, 0).await;
}

// A draft would not be started before its deadline. If it were queued until then, its caller would
// lose the time in which another router could have served it.
#[tokio::test(flavor = "multi_thread")]
async fn a_draft_that_would_miss_its_deadline_is_refused() {
    let (fleet, sent) = start_full_fleet(24).await;
    let deadline = [header("x-deadline-ms", "500")];
    let answer =
        post(&fleet.client(), "/v1/completions", WINERY, &deadline, body(LONG_TOKENS, 99)).await;
    let problem: Value = serde_json::from_slice(&answer.body).unwrap();
    assert_eq!((answer.status, &problem["outcome"]), (503, &json!("not-run")), "{problem}");
    assert_eq!(problem["step"], "queue");
    // All other drafts keep their slots and their places in the queue.
    assert_all_slots_used(&fleet).await;
    assert_eq!(gauge(&fleet, "hyssop_queue_waiting").await, Some(24));
    set_step_us(&fleet, FAST_US).await;
    assert_answered(sent).await;
}

// A caller disconnects while its draft is queued. If the draft stayed in the queue, it would run for
// nobody, and the drafts behind it would be refused because of it.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_disconnects_leaves_the_queue() {
    let (fleet, sent) = start_full_fleet(0).await;
    let gone = send_drafts(&fleet, WINERY, 6);
    wait_for_queue(&fleet, 6).await;
    gone.iter().for_each(JoinHandle::abort);
    wait_for_queue(&fleet, 0).await;
    assert_all_slots_used(&fleet).await;
    set_step_us(&fleet, FAST_US).await;
    assert_answered(sent).await;
}

// One workspace fills the fleet and the queue, then another sends a few drafts. In order of arrival
// these would be served last. Drafts of the first that are still unanswered show that they were not.
#[tokio::test(flavor = "multi_thread")]
async fn another_workspace_passes_a_flood() {
    let (fleet, flood) = start_full_fleet(80).await;
    let few = send_drafts(&fleet, STADIUM, 4);
    wait_for_queue(&fleet, 84).await;
    set_step_us(&fleet, FAST_US).await;
    assert_answered(few).await;
    let ended = flood.iter().filter(|d| d.is_finished()).count();
    assert!(ended < 80, "{ended} of 96 drafts of the flood ended before the 4 of the other");
    assert_answered(flood).await;
}
