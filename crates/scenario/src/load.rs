//! Concurrent requests, and the record of their outcomes.

use std::future::Future;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use futures_util::StreamExt;
use rand::{Rng, RngExt, SeedableRng};
use rand_pcg::Pcg64;

use crate::caller::Caller;
use crate::draft;
use crate::outcome::{Kind, Outcome, Verdict};
use crate::script::{Drafts, Load, Orders, Span};
use crate::write;

/// Words of generated prompts.
const WORDS: [&str; 16] = [
    "label",
    "vintage",
    "region",
    "alcohol",
    "bottle",
    "batch",
    "wristband",
    "gate",
    "stadium",
    "proof",
    "order",
    "notice",
    "review",
    "approval",
    "colour",
    "date",
];

/// Outcomes of the script's requests, shared by all callers.
#[derive(Debug, Clone, Default)]
pub struct Record {
    inner: Arc<Mutex<Inner>>,
}

#[derive(Debug, Default)]
struct Inner {
    outcomes: Vec<Outcome>,
    drafting: Option<(Instant, Instant)>,
}

impl Record {
    /// Adds the outcome of a request that ended now.
    pub fn push(&self, out: Outcome, began: Instant) {
        let Ok(mut inner) = self.inner.lock() else { return };
        if out.kind == Kind::Draft {
            let first = inner.drafting.map_or(began, |d| d.0.min(began));
            inner.drafting = Some((first, Instant::now()));
        }
        inner.outcomes.push(out);
    }

    /// Returns the outcomes of all requests that ended.
    pub fn outcomes(&self) -> Vec<Outcome> {
        self.inner.lock().map(|i| i.outcomes.clone()).unwrap_or_default()
    }

    /// Returns the number of requests that ended.
    pub fn ended(&self) -> usize {
        self.inner.lock().map(|i| i.outcomes.len()).unwrap_or(0)
    }

    /// Returns the time from the start of the first draft to the end of the last one.
    pub fn drafting(&self) -> Duration {
        let inner = self.inner.lock().ok();
        inner.and_then(|i| i.drafting).map_or(Duration::ZERO, |(first, last)| last - first)
    }
}

/// Returns the random generator of one line of a script, with the same numbers in every run.
pub fn random(seed: u64, line_index: u64) -> Pcg64 {
    Pcg64::seed_from_u64(seed.wrapping_mul(1 << 20).wrapping_add(line_index))
}

fn draw(rng: &mut impl Rng, span: Span) -> u32 {
    rng.random_range(span.low..=span.high)
}

/// Generates a prompt. Its first word is unique, so that prompts share no prefix.
pub fn prompt(rng: &mut impl Rng, name: &str, words: u32) -> String {
    let more = (1..words).map(|_| WORDS[rng.random_range(0..WORDS.len())]);
    std::iter::once(name).chain(more).collect::<Vec<_>>().join(" ")
}

/// Returns the jobs of a `drafts` line; `line_index` numbers the line within its script.
pub fn drafts(line: &Drafts, layers: u32, seed: u64, line_index: u64) -> Vec<draft::Job> {
    let mut rng = random(seed, line_index);
    let job = |n: usize| draft::Job {
        prompt: prompt(&mut rng, &format!("draft-{line_index}-{n}"), prompt_length(line, n)),
        max_tokens: 0,
        workspace: line.load.from_workspace + n % line.load.workspaces,
        // Each workspace uses all routers, as behind a load balancer.
        router: n / line.load.workspaces,
        tries: line.load.tries,
        layers,
    };
    let mut jobs: Vec<draft::Job> = (0..line.load.count).map(job).collect();
    for job in &mut jobs {
        job.max_tokens = draw(&mut rng, line.tokens);
    }
    jobs
}

/// Returns the length of a prompt. Consecutive prompts step through the whole span.
fn prompt_length(line: &Drafts, n: usize) -> u32 {
    let span = line.prompt_words;
    span.low + (n as u32 * 7) % (span.high - span.low + 1)
}

/// Returns the jobs of a `lookups` or `orders` line.
pub fn calls(load: &Load, name: &str, line_index: u64) -> Vec<write::Job> {
    let job = |n: usize| write::Job {
        key: format!("{name}-{line_index}-{n}"),
        body: format!("{{\"bands\":{}}}", 100 + n),
        workspace: load.from_workspace + n % load.workspaces,
        router: n / load.workspaces,
        tries: load.tries,
    };
    (0..load.count).map(job).collect()
}

/// Runs a future per job as a separate task, with limited concurrency.
async fn run_concurrently<J, F>(jobs: Vec<J>, load: &Load, record: Record, run: impl Fn(J) -> F)
where
    F: Future<Output = Outcome> + Send + 'static,
{
    let (concurrency, every) = (load.concurrency, Duration::from_millis(load.every));
    let tasks = jobs.into_iter().map(|job| {
        let (record, run) = (record.clone(), run(job));
        async move {
            let task = tokio::spawn(async move {
                let began = Instant::now();
                record.push(run.await, began);
            });
            let _ = task.await;
            tokio::time::sleep(every).await;
        }
    });
    futures_util::stream::iter(tasks).buffer_unordered(concurrency.max(1)).collect::<()>().await;
}

/// Plays a `drafts` line.
pub async fn play_drafts(caller: Caller, jobs: Vec<draft::Job>, load: Load, record: Record) {
    let run = |job: draft::Job| {
        let caller = caller.clone();
        async move { draft::run(&caller, &job).await }
    };
    run_concurrently(jobs, &load, record, run).await;
}

/// Plays a `lookups` line.
pub async fn play_lookups(caller: Caller, load: Load, line_index: u64, record: Record) {
    let run = |job: write::Job| {
        let caller = caller.clone();
        async move { write::run(&caller, Kind::Lookup, &job).await }
    };
    run_concurrently(calls(&load, "lookup", line_index), &load, record, run).await;
}

/// Plays an `orders` line.
pub async fn play_orders(caller: Caller, line: Orders, seed: u64, line_index: u64, record: Record) {
    let mut rng = random(seed, line_index);
    let jobs: Vec<(write::Job, bool)> = calls(&line.load, "order", line_index)
        .into_iter()
        .map(|job| (job, rng.random_bool(line.repeat_through_other_router.clamp(0.0, 1.0))))
        .collect();
    let run = |(job, twice): (write::Job, bool)| {
        let caller = caller.clone();
        async move {
            match twice {
                true => send_twice(&caller, &job).await,
                false => write::run(&caller, Kind::Order, &job).await,
            }
        }
    };
    run_concurrently(jobs, &line.load, record, run).await;
}

/// Sends an order concurrently through two routers: both callers must get the same answer.
async fn send_twice(caller: &Caller, job: &write::Job) -> Outcome {
    let other = write::Job { router: job.router + 1, ..job.clone() };
    let (mut a, b) =
        tokio::join!(write::run(caller, Kind::Order, job), write::run(caller, Kind::Order, &other));
    a.unknowns += b.unknowns;
    a.retries += b.retries;
    a.not_run.extend(b.not_run);
    match (&a.verdict, &b.verdict) {
        (Verdict::Right, Verdict::Right) if a.answer != b.answer => {
            a.verdict = Verdict::Wrong("the repeat got another answer".to_string());
        }
        (Verdict::Right, Verdict::Right) => {}
        (Verdict::Right, _) => a.verdict = b.verdict,
        _ => {}
    }
    a
}
