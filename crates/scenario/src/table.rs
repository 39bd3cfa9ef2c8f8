//! The table of a run's figures.

use std::fmt::Write;
use std::time::Duration;

use hdrhistogram::Histogram;

use crate::history::{self, History};
use crate::outcome::{Kind, Outcome, Verdict};
use crate::script;

/// Maximum value of a histogram, in microseconds.
const MAX_TIME_US: u64 = 600_000_000;

/// Numbers of requests by result.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Count {
    /// Requests sent.
    pub sent: usize,
    /// Answered correctly.
    pub right: usize,
    /// Answered wrong.
    pub wrong: usize,
    /// Refused as not run, or permanently.
    pub refused: usize,
    /// Ended with an unknown outcome.
    pub unknown: usize,
    /// Accepted but not answered completely.
    pub lost: usize,
}

/// Counts the outcomes that `pick` selects.
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

/// Returns the shortest time in which the engines can run this work: `steps` steps of sessions
/// with `positions` positions in total, in full batches.
///
/// A batch takes `step_us`, and `token_us` for each of its positions. It has `batch` steps, and
/// the step of a whole prompt is one of them, so counting a full batch as `batch` positions
/// would give a maximum rate that is too low: a saturated fleet reached 130% of it.
pub fn min_duration(plan: &script::Fleet, steps: u64, positions: u64) -> Duration {
    let cost = |step_us: u64| {
        let own = steps as f64 * step_us as f64 / f64::from(plan.batch.max(1));
        own + (positions * plan.token_us) as f64
    };
    let speeds = (0..plan.replicas).map(|k| plan.speeds[k % plan.speeds.len()]);
    // Every range has the same replicas, so each of them is the bottleneck.
    let rate: f64 = speeds.map(|step_us| 1.0 / cost(step_us).max(1.0)).sum();
    Duration::from_secs_f64(1e-6 / rate.max(1e-12))
}

/// The data of the table.
#[derive(Debug)]
pub struct Figures<'a> {
    /// Options of the fleet.
    pub plan: &'a script::Fleet,
    /// Outcomes of the requests that ended.
    pub outcomes: &'a [Outcome],
    /// History of the stand-ins.
    pub history: &'a History,
    /// Time from the start of the first draft to the end of the last one.
    pub drafting: Duration,
    /// Lines from verbs, such as recovery times.
    pub notes: &'a [String],
}

/// Renders the table.
pub fn render(figures: &Figures<'_>) -> String {
    let mut text = String::new();
    let outs = figures.outcomes;
    let _ = writeln!(
        text,
        "{:<9}{:>7}{:>15}{:>7}{:>9}{:>9}{:>6}{:>9}",
        "", "sent", "answered right", "wrong", "refused", "unknown", "lost", "doubled"
    );
    let doubled = history::duplicate_runs(&figures.history.runs).len();
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
    text.push_str(&draft_figures(figures));
    let resumes: u32 = outs.iter().map(|o| o.resumes).sum();
    let comebacks =
        |kind: Kind| -> u32 { outs.iter().filter(|o| o.kind == kind).map(|o| o.retries).sum() };
    let (drafts, lookups, orders) =
        (comebacks(Kind::Draft), comebacks(Kind::Lookup), comebacks(Kind::Order));
    let _ = writeln!(
        text,
        "callers went on through another router {resumes} times, came back {} times: \
         {drafts} for drafts, {lookups} for look-ups, {orders} for orders",
        drafts + lookups + orders
    );
    text.push_str(&refusals(outs));
    for note in figures.notes {
        let _ = writeln!(text, "{note}");
    }
    text
}

fn draft_figures(figures: &Figures<'_>) -> String {
    let drafts = || figures.outcomes.iter().filter(|o| o.kind == Kind::Draft);
    let mut text = String::new();
    if drafts().next().is_none() {
        return text;
    }
    let secs = figures.drafting.as_secs_f64().max(0.001);
    let tokens: u64 = drafts().map(|o| o.token_times.len() as u64).sum();
    let positions: u64 = drafts().filter(|o| o.is_right()).map(|o| u64::from(o.positions)).sum();
    let rate = positions as f64 / secs;
    let steps = drafts().filter(|o| o.is_right()).map(|o| o.token_times.len() as u64).sum();
    let shortest = min_duration(figures.plan, steps, positions).as_secs_f64().max(1e-9);
    let (middle, most) = (middle_rate(figures), tokens as f64 / shortest);
    let _ =
        writeln!(text, "first token    {}", quantiles(drafts().filter_map(Outcome::first_token)));
    let _ = writeln!(text, "between tokens {}", quantiles(drafts().flat_map(Outcome::gaps)));
    let runs = history::layer_runs(
        figures.outcomes,
        &figures.history.engines,
        crate::settings::layers(figures.plan),
    );
    text.push_str(&workspace_shares(figures.outcomes));
    let _ = writeln!(
        text,
        "tokens a second {:.0} of {most:.0}, in the middle half of the time {middle:.0}: {:.1}%",
        tokens as f64 / secs,
        100.0 * middle / most
    );
    let _ = writeln!(text, "layer runs per token and layer {runs:.3}");
    let _ = writeln!(
        text,
        "positions a second {rate:.0} of {:.0} with the slowest range at full batches: {:.1}%",
        positions as f64 / shortest,
        100.0 * shortest / secs
    );
    text.push_str(&engine_use(figures, steps, secs));
    text
}

/// Returns a line with the refusals that callers received, by title and step.
fn refusals(outcomes: &[Outcome]) -> String {
    let mut received: Vec<&String> = outcomes.iter().flat_map(|o| &o.refusals).collect();
    received.sort_unstable();
    let each = received.chunk_by(|a, b| a == b);
    let lines: Vec<String> = each.map(|same| format!("{} {}", same.len(), same[0])).collect();
    match lines.is_empty() {
        true => String::new(),
        false => format!("refusals told: {}\n", lines.join(", ")),
    }
}

/// Returns a line with the use of the engines; the rest is idle time or batches that were not full.
fn engine_use(figures: &Figures<'_>, steps: u64, secs: f64) -> String {
    let engines = &figures.history.engines;
    let busy = |e: &history::Engine| format!("{} {:.0}%", e.vm, e.busy_us as f64 / 1e4 / secs);
    let lines: Vec<String> = engines.iter().map(busy).collect();
    let batches: u64 = engines.iter().map(|e| e.batches).sum();
    let each = (steps * figures.plan.ranges.len() as u64) as f64 / batches.max(1) as f64;
    let most = figures.plan.batch;
    format!("steps in a batch {each:.1} of {most}, engines busy: {}\n", lines.join(", "))
}

/// Returns the tokens a second in the middle half of the time with drafts. It excludes the ramp-up
/// at the start and the last drafts, which run in small batches.
fn middle_rate(figures: &Figures<'_>) -> f64 {
    let times = || figures.outcomes.iter().flat_map(|o| &o.token_times);
    let Some(last) = times().max() else { return 0.0 };
    let quarter = figures.drafting / 4;
    let (Some(from), Some(to)) = (last.checked_sub(quarter * 3), last.checked_sub(quarter)) else {
        return 0.0;
    };
    let count = times().filter(|t| (from..to).contains(t)).count();
    count as f64 / (quarter * 2).as_secs_f64().max(0.001)
}

/// Returns lines with the answered drafts of each workspace and their fairness.
fn workspace_shares(outcomes: &[Outcome]) -> String {
    let mut text = String::new();
    let mut shares = Vec::new();
    let last = outcomes.iter().map(|o| o.workspace).max().unwrap_or(0);
    for number in 1..=last {
        let drafts = || outcomes.iter().filter(|o| o.kind == Kind::Draft && o.workspace == number);
        let (sent, right) = (drafts().count(), drafts().filter(|o| o.is_right()).count());
        if sent == 0 {
            continue;
        }
        shares.push(right as f64 / sent as f64);
        let first = quantiles(drafts().filter_map(Outcome::first_token));
        let retries: u32 = drafts().map(|o| o.retries).sum();
        let _ = writeln!(
            text,
            "workspace {number}: {right} of {sent} drafts right, came back {retries} times, \
             first token {first}"
        );
    }
    let _ = writeln!(
        text,
        "Jain's index over the workspaces' part answered {:.4}",
        jain_index(&shares)
    );
    text
}

/// Returns Jain's fairness index: 1 if all values are equal, 1/n if one of n has everything.
///
/// ```
/// assert_eq!(scenario::table::jain_index(&[2.0, 2.0]), 1.0);
/// assert_eq!(scenario::table::jain_index(&[1.0, 0.0]), 0.5);
/// ```
pub fn jain_index(values: &[f64]) -> f64 {
    let sum: f64 = values.iter().sum();
    let squares: f64 = values.iter().map(|v| v * v).sum();
    match squares > 0.0 {
        true => sum * sum / (values.len() as f64 * squares),
        false => 1.0,
    }
}

fn quantiles(times: impl Iterator<Item = Duration>) -> String {
    let Ok(mut histogram) = Histogram::<u64>::new_with_max(MAX_TIME_US, 3) else {
        return String::new();
    };
    for time in times {
        histogram.saturating_record(time.as_micros() as u64);
    }
    let ms = |q: f64| histogram.value_at_quantile(q) as f64 / 1000.0;
    format!("p50 {:.1} ms, p95 {:.1} ms, p99 {:.1} ms", ms(0.5), ms(0.95), ms(0.99))
}
