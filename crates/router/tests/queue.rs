//! What callers get when more comes than the fleet has slots for: they wait for their
//! turn, or are told at once when that can't be in time.

mod work;

use std::time::Duration;

use serde_json::{Value, json};
use tokio::task::JoinHandle;
use work::{Fleet, STADIUM, WINERY, header, post, until};

/// Slots of the agent in this fleet.
const SLOTS: usize = 16;

/// Tokens of a draft that keeps its slot for seconds while the engine is slow.
const LONG: u32 = 100;

/// Step time of the engine while it is to be full.
const SLOW_US: u64 = 20_000;

/// Step time with which what runs ends soon.
const FAST_US: u64 = 200;

/// Readings of the sessions that must all show the same, and the pause between two.
const READINGS: usize = 5;
const READING: Duration = Duration::from_millis(20);

type Drafts = Vec<JoinHandle<rest::Answer>>;

fn prompt(n: usize) -> String {
    format!("label {n}")
}

fn body(tokens: u32, n: usize) -> String {
    json!({"model": "draft", "prompt": prompt(n), "max_tokens": tokens}).to_string()
}

/// Numbers of prompts whose answers have all [`LONG`] tokens. Others end early and free
/// their slot while a test still counts on a full fleet.
fn long() -> impl Iterator<Item = usize> {
    let answer = |n: usize| fake::model::expected_answer("draft", 1, 4, &prompt(n), LONG as usize);
    (0..).filter(move |&n| answer(n).len() == LONG as usize)
}

fn drafts(fleet: &Fleet, key: &'static str, count: usize) -> Drafts {
    let draft = |n: usize| {
        let client = fleet.client();
        tokio::spawn(async move { post(&client, "/v1/completions", key, &[], body(LONG, n)).await })
    };
    long().take(count).map(draft).collect()
}

async fn step_us(fleet: &Fleet, step_us: u64) {
    let http = rest::Client::new(&fleet.engine.url(), Duration::from_secs(5));
    let _: Value = http.post("/~fake/control", &json!({"step_us": step_us})).await.unwrap();
}

/// Value of a gauge of the model `draft` on the router's /metrics.
async fn gauge(fleet: &Fleet, name: &str) -> Option<u64> {
    let page = fleet.client().send("GET", "/metrics", &[], Default::default()).await.ok()?;
    let text = String::from_utf8_lossy(&page.body).to_string();
    let of_draft = |l: &&str| l.starts_with(name) && l.contains("target=\"draft\"");
    let line = text.lines().find(of_draft)?.to_string();
    line.rsplit(' ').next()?.parse().ok()
}

async fn waiting(fleet: &Fleet, count: usize) {
    until("as many wait as have no slot", async || {
        gauge(fleet, "hyssop_queue_waiting").await == Some(count as u64)
    })
    .await;
}

/// As many sessions are open at the engine as it has slots, and no more are opened. The router counts a slot as taken
/// before the session is open, and the engine tells of its load late.
async fn all_slots_in_use(fleet: &Fleet) {
    until("all slots are in use", async || fleet.sessions().await == SLOTS).await;
    for _ in 0..READINGS {
        tokio::time::sleep(READING).await;
        assert_eq!(fleet.sessions().await, SLOTS);
    }
}

/// A fleet whose slots are all taken, with `more` drafts waiting.
async fn full(more: usize) -> (Fleet, Drafts) {
    let fleet = Fleet::start().await;
    step_us(&fleet, SLOW_US).await;
    let sent = drafts(&fleet, WINERY, SLOTS + more);
    waiting(&fleet, more).await;
    (fleet, sent)
}

async fn all_right(sent: Drafts) {
    for draft in sent {
        assert_eq!(draft.await.unwrap().status, 200);
    }
}

// More drafts come at once than there are slots. Refused at once, their callers would all
// come back together, again and again, and the refusals would become the load.
#[tokio::test(flavor = "multi_thread")]
async fn a_full_fleet_makes_drafts_wait_and_answers_all() {
    let (fleet, sent) = full(24).await;
    all_slots_in_use(&fleet).await;
    assert_eq!(gauge(&fleet, "hyssop_slots_free").await, Some(0));
    step_us(&fleet, FAST_US).await;
    all_right(sent).await;
    waiting(&fleet, 0).await;
}

// A draft comes whose turn can't be before its deadline. Held until then, its caller would
// have lost the time in which it could have gone elsewhere.
#[tokio::test(flavor = "multi_thread")]
async fn what_can_not_be_in_time_is_refused_with_a_time_to_come_back() {
    let (fleet, sent) = full(24).await;
    let soon = [header("x-deadline-ms", "500")];
    let answer = post(&fleet.client(), "/v1/completions", WINERY, &soon, body(LONG, 99)).await;
    let problem: Value = serde_json::from_slice(&answer.body).unwrap();
    assert_eq!((answer.status, &problem["outcome"]), (503, &json!("not-run")), "{problem}");
    assert_eq!(problem["step"], "queue");
    // All the others still have their slots and their places.
    all_slots_in_use(&fleet).await;
    assert_eq!(gauge(&fleet, "hyssop_queue_waiting").await, Some(24));
    step_us(&fleet, FAST_US).await;
    all_right(sent).await;
}

// A caller hangs up while its draft waits. Kept in the queue, the draft would be started
// for nobody, and those behind it would be refused for work that nobody wants.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_goes_leaves_the_queue() {
    let (fleet, sent) = full(0).await;
    let gone = drafts(&fleet, WINERY, 6);
    waiting(&fleet, 6).await;
    gone.iter().for_each(JoinHandle::abort);
    waiting(&fleet, 0).await;
    all_slots_in_use(&fleet).await;
    step_us(&fleet, FAST_US).await;
    all_right(sent).await;
}

// One workspace has filled the fleet and the queue; then another sends a few drafts. In
// order of arrival these would come last. That they pass is seen by what still waits.
#[tokio::test(flavor = "multi_thread")]
async fn another_workspace_passes_a_flood() {
    let (fleet, flood) = full(80).await;
    let few = drafts(&fleet, STADIUM, 4);
    waiting(&fleet, 84).await;
    step_us(&fleet, FAST_US).await;
    all_right(few).await;
    let ended = flood.iter().filter(|d| d.is_finished()).count();
    assert!(ended < 80, "{ended} of 96 drafts of the flood ended before the 4 of the other");
    all_right(flood).await;
}
