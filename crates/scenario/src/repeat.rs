//! Orders sent a second time: each must get the same answer as the first time.

use std::time::{Duration, Instant};

use cloud::log::Client;
use futures_util::StreamExt;
use hdrhistogram::Histogram;

use crate::caller::Caller;
use crate::load::{self, Record};
use crate::outcome::{Kind, Outcome, Verdict};
use crate::script::{Orders, Repeats};
use crate::write;

/// Sends the orders of earlier lines again, each through the next router.
pub async fn play(
    caller: &Caller,
    line: &Repeats,
    sent: &[(u64, Orders)],
    record: &Record,
) -> String {
    let first = record.outcomes();
    let jobs = sent
        .iter()
        .flat_map(|(line_index, orders)| load::calls(&orders.load, "order", *line_index));
    let tasks = jobs.map(|job| {
        let job = write::Job { router: job.router + 1, ..job };
        async move {
            let began = Instant::now();
            let out = write::run(caller, Kind::Order, &job).await;
            (began, out)
        }
    });
    let ended: Vec<(Instant, Outcome)> =
        futures_util::stream::iter(tasks).buffer_unordered(line.concurrency).collect().await;
    let (mut same, mut unknown, all) = (0, 0, ended.len());
    for (began, mut out) in ended {
        let before = first.iter().find(|o| o.kind == Kind::Order && o.id == out.id);
        match (before.and_then(|o| o.answer.as_ref()), &out.answer) {
            (Some(a), Some(b)) if a != b => {
                out.verdict = Verdict::Wrong("the repeat got another answer".to_string());
            }
            (Some(_), Some(_)) => same += 1,
            _ => unknown += usize::from(matches!(out.verdict, Verdict::Unknown(_))),
        }
        record.push(out, began);
    }
    format!("of {all} repeated orders {same} got the stored answer, {unknown} ended as unknown")
}

/// Returns a line with the latency of answered orders and the number of their records in the log.
pub async fn line(outcomes: &[Outcome], log: &str) -> Option<String> {
    let mut histogram = Histogram::<u64>::new_with_max(600_000_000, 3).ok()?;
    let orders = outcomes.iter().filter(|o| o.kind == Kind::Order && o.is_right());
    for took in orders.filter_map(|o| o.latency) {
        histogram.saturating_record(took.as_micros() as u64);
    }
    if histogram.is_empty() {
        return None;
    }
    let ms = |q: f64| histogram.value_at_quantile(q) as f64 / 1000.0;
    let client = Client::new(log, Duration::from_secs(2));
    let page = client.read("writes-orders", u64::MAX >> 1, Duration::ZERO).await;
    let appends = page.map_or("no".to_string(), |page| page.next.to_string());
    Some(format!(
        "orders p50 {:.1} ms, p95 {:.1} ms, p99 {:.1} ms; {appends} records in the log of writes",
        ms(0.5),
        ms(0.95),
        ms(0.99)
    ))
}
