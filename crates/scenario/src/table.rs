//! The figures of a run.

use std::fmt::Write;
use std::time::Duration;

use hdrhistogram::Histogram;

use crate::books::{self, Books};
use crate::outcome::{Kind, Outcome, Verdict};
use crate::script;

/// Longest time a histogram holds, in microseconds.
const LONGEST_US: u64 = 600_000_000;

/// Counts of one kind of request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Count {
    /// Requests.
    pub sent: usize,
    /// Answered right.
    pub right: usize,
    /// Answered wrong.
    pub wrong: usize,
    /// Refused, not run or for good.
    pub refused: usize,
    /// Told that the outcome is unknown.
    pub unknown: usize,
    /// Accepted and not answered in full.
    pub lost: usize,
}

/// Counts the outcomes that `pick` takes.
pub fn count(outcomes: &[Outcome], pick: impl Fn(&Outcome) -> bool) -> Count {
    let mut count = Count::default();
    for out in outcomes.iter().filter(|o| pick(o)) {
        count.sent += 1;
        match out.verdict {
            Verdict::Right => count.right += 1,
            Verdict::Wrong(_) => count.wrong += 1,
            Verdict::NotRun(_) | Verdict::Refused(_) => count.refused += 1,
            Verdict::Unknown(_) => count.unknown += 1,
            Verdict::Lost(_) => count.lost += 1,
        }
    }
    count
}

/// Positions a second that the slowest range can run at full batches.
///
/// Each replica runs `batch` positions in `step_us + batch * token_us`.
pub fn bound(plan: &script::Fleet) -> f64 {
    let batch = f64::from(plan.batch);
    let speeds = (0..plan.replicas).map(|k| plan.speeds[k % plan.speeds.len()] as f64);
    let rate = |step_us: f64| batch / (step_us + batch * plan.token_us as f64) * 1e6;
    // Every range has the same replicas, so every range is the slowest.
    speeds.map(rate).sum()
}

/// What the table is made from.
#[derive(Debug)]
pub struct Figures<'a> {
    /// Plan of the fleet.
    pub plan: &'a script::Fleet,
    /// Requests that ended.
    pub outcomes: &'a [Outcome],
    /// Books.
    pub books: &'a Books,
    /// From the first draft sent to the last one ended.
    pub drafting: Duration,
    /// Lines that verbs left, such as times of recovery.
    pub notes: &'a [String],
}

/// The table.
pub fn render(figures: &Figures<'_>) -> String {
    let mut text = String::new();
    let outs = figures.outcomes;
    let _ = writeln!(
        text,
        "{:<9}{:>7}{:>15}{:>7}{:>9}{:>9}{:>6}{:>9}",
        "", "sent", "answered right", "wrong", "refused", "unknown", "lost", "doubled"
    );
    let doubled = books::doubled(&figures.books.runs).len();
    for (name, kind) in
        [("drafts", Kind::Draft), ("look-ups", Kind::Lookup), ("orders", Kind::Order)]
    {
        let c = count(outs, |o| o.kind == kind);
        let doubled = match kind {
            Kind::Order => doubled.to_string(),
            _ => "-".to_string(),
        };
        let _ = writeln!(
            text,
            "{name:<9}{:>7}{:>15}{:>7}{:>9}{:>9}{:>6}{doubled:>9}",
            c.sent, c.right, c.wrong, c.refused, c.unknown, c.lost
        );
    }
    text.push_str(&drafting(figures));
    let resumes: u32 = outs.iter().map(|o| o.resumes).sum();
    let comebacks =
        |kind: Kind| -> u32 { outs.iter().filter(|o| o.kind == kind).map(|o| o.comebacks).sum() };
    let (drafts, lookups, orders) =
        (comebacks(Kind::Draft), comebacks(Kind::Lookup), comebacks(Kind::Order));
    let _ = writeln!(
        text,
        "callers went on through another router {resumes} times, came back {} times: \
         {drafts} for drafts, {lookups} for look-ups, {orders} for orders",
        drafts + lookups + orders
    );
    for note in figures.notes {
        let _ = writeln!(text, "{note}");
    }
    text
}

fn drafting(figures: &Figures<'_>) -> String {
    let drafts = || figures.outcomes.iter().filter(|o| o.kind == Kind::Draft);
    let mut text = String::new();
    if drafts().next().is_none() {
        return text;
    }
    let secs = figures.drafting.as_secs_f64().max(0.001);
    let tokens: u64 = drafts().map(|o| o.times.len() as u64).sum();
    let positions: u64 = drafts().filter(|o| o.is_right()).map(|o| u64::from(o.positions)).sum();
    let rate = positions as f64 / secs;
    let bound = bound(figures.plan);
    let _ =
        writeln!(text, "first token    {}", quantiles(drafts().filter_map(Outcome::first_token)));
    let _ = writeln!(text, "between tokens {}", quantiles(drafts().flat_map(Outcome::gaps)));
    let runs = books::layer_runs(
        figures.outcomes,
        &figures.books.engines,
        crate::settings::layers(figures.plan),
    );
    text.push_str(&shares(figures.outcomes));
    let _ = writeln!(text, "tokens a second {:.0}", tokens as f64 / secs);
    let _ = writeln!(text, "layer runs per token and layer {runs:.3}");
    let _ = writeln!(
        text,
        "positions a second {rate:.0} of {bound:.0}, the slowest range at full batches: {:.1}%",
        100.0 * rate / bound
    );
    text
}

/// What each workspace got of its drafts, and how even that is.
fn shares(outcomes: &[Outcome]) -> String {
    let mut text = String::new();
    let mut served = Vec::new();
    let last = outcomes.iter().map(|o| o.workspace).max().unwrap_or(0);
    for number in 1..=last {
        let own = || outcomes.iter().filter(|o| o.kind == Kind::Draft && o.workspace == number);
        let (sent, right) = (own().count(), own().filter(|o| o.is_right()).count());
        if sent == 0 {
            continue;
        }
        served.push(right as f64 / sent as f64);
        let first = quantiles(own().filter_map(Outcome::first_token));
        let came: u32 = own().map(|o| o.comebacks).sum();
        let _ = writeln!(
            text,
            "workspace {number}: {right} of {sent} drafts right, came back {came} times, \
             first token {first}"
        );
    }
    let _ = writeln!(text, "Jain's index over the workspaces' part answered {:.4}", jain(&served));
    text
}

/// Jain's index of fairness: 1 when all have the same, 1/n when one of n has all.
///
/// ```
/// assert_eq!(scenario::table::jain(&[2.0, 2.0]), 1.0);
/// assert_eq!(scenario::table::jain(&[1.0, 0.0]), 0.5);
/// ```
pub fn jain(values: &[f64]) -> f64 {
    let sum: f64 = values.iter().sum();
    let squares: f64 = values.iter().map(|v| v * v).sum();
    match squares > 0.0 {
        true => sum * sum / (values.len() as f64 * squares),
        false => 1.0,
    }
}

fn quantiles(times: impl Iterator<Item = Duration>) -> String {
    let Ok(mut histogram) = Histogram::<u64>::new_with_max(LONGEST_US, 3) else {
        return String::new();
    };
    for time in times {
        histogram.saturating_record(time.as_micros() as u64);
    }
    let ms = |q: f64| histogram.value_at_quantile(q) as f64 / 1000.0;
    format!("p50 {:.1} ms, p95 {:.1} ms, p99 {:.1} ms", ms(0.5), ms(0.95), ms(0.99))
}
