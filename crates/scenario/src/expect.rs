//! Checks of the statements of `expect` on outcomes, history and figures.

use crate::history::{self, History};
use crate::outcome::Outcome;
use crate::script::Expect;
use crate::table;

/// Tolerance for rounding in `layer-runs`: half of the last printed digit.
const ROUNDING: f64 = 0.0005;

/// What a statement is checked on.
#[derive(Debug)]
pub struct Facts<'a> {
    /// Outcomes of the requests that ended.
    pub outcomes: &'a [Outcome],
    /// History of the stand-ins.
    pub history: &'a History,
    /// Number of layers of the model.
    pub layers: u32,
    /// Number of crashes of backend servers.
    pub crashes: usize,
}

/// Checks a statement on requests and history; `None` if it is about something else.
pub fn judge(what: &Expect, facts: &Facts<'_>) -> Option<Result<(), String>> {
    let all = table::count(facts.outcomes, |o| !o.judged_by_script);
    let verdict = match what {
        Expect::Answered { min } => {
            let share = all.right as f64 / all.sent.max(1) as f64;
            let first = facts.outcomes.iter().find(|o| !o.judged_by_script && !o.is_right());
            let first = first.map_or(String::new(), |o| format!(": {} {}", o.id, o.verdict.line()));
            require(share >= *min, format!("{share:.4} of {} were answered right{first}", all.sent))
        }
        Expect::Right => require_none(history::bad_answers(facts.outcomes)),
        Expect::NoneDoubled => require_none(history::duplicate_runs(&facts.history.runs)),
        Expect::Runs { key, times } => {
            let runs = &facts.history.runs;
            let at = runs.binary_search_by(|(k, _)| k.as_str().cmp(key));
            let found = at.map_or(0, |i| runs[i].1);
            require(found == *times, format!("{key} ran {found} times"))
        }
        Expect::NotRunTrue => {
            require_none(history::ran_despite_not_run(facts.outcomes, facts.history))
        }
        Expect::LayerRuns { value, max } => layer_runs(*value, *max, facts),
        Expect::Cut { max } => require(all.lost <= *max, format!("{} were cut or lost", all.lost)),
        Expect::Unknown { max } => {
            require(all.unknown <= *max, format!("{} ended as unknown", all.unknown))
        }
        Expect::Loads { min, max } => {
            let engines = &facts.history.engines;
            let n: usize = engines.iter().map(|e| e.orders.len()).sum();
            let rising = |e: &history::Engine| e.orders.is_sorted_by(|a, b| a.fence < b.fence);
            let holds = (*min..=*max).contains(&n) && engines.iter().all(rising);
            require(holds, format!("{n} orders; fencing numbers must rise"))
        }
        Expect::Crashes { min, max } => {
            let n = facts.crashes;
            require((*min..=*max).contains(&n), format!("{n} backend servers crashed"))
        }
        _ => return None,
    };
    Some(verdict)
}

fn layer_runs(value: Option<f64>, max: Option<f64>, facts: &Facts<'_>) -> Result<(), String> {
    let runs = history::layer_runs(facts.outcomes, &facts.history.engines, facts.layers);
    let exact = value.is_none_or(|v| (runs - v).abs() < ROUNDING);
    let below = max.is_none_or(|m| runs <= m + ROUNDING);
    require(exact && below, format!("{runs:.3} layer runs per token and layer"))
}

fn require(holds: bool, found: String) -> Result<(), String> {
    if holds { Ok(()) } else { Err(found) }
}

fn require_none(violations: Vec<history::Violation>) -> Result<(), String> {
    match violations.first() {
        None => Ok(()),
        Some(first) => Err(format!("{} violations, the first: {first}", violations.len())),
    }
}
