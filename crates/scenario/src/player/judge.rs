//! Checks of `expect`, the invariants at the end, and the table.

use std::time::Duration;

use super::Player;
use crate::expect::{self, Facts};
use crate::fleet::Fleet;
use crate::history;
use crate::outcome::{Outcome, Verdict};
use crate::publish;
use crate::recovery;
use crate::repeat;
use crate::script::Expect;
use crate::settings;
use crate::table::{self, Figures};
use crate::trace;
use crate::watch::{self};

/// Maximum number of reasons printed.
const MAX_REASONS: usize = 5;

impl Player {
    pub(super) async fn expect(&mut self, what: &Expect) -> Result<(), String> {
        let shared = self.fleet()?;
        match what {
            Expect::OneVersion => {
                let versions = publish::versions(&mut *shared.lock().await).await?;
                let same = versions.windows(2).all(|pair| pair[0].1 == pair[1].1);
                return if same { Ok(()) } else { Err(format!("versions: {versions:?}")) };
            }
            Expect::Left { vm, within } => {
                let found = self.watches.iter().rev().find_map(|w| Some((w, w.last_work(vm)?)));
                let (watch, last) = found.ok_or(format!("the script has no line 'leave {vm}'"))?;
                if !watch.had_work() {
                    return Err(format!("{vm} had no work before it left"));
                }
                self.notes
                    .push(format!("{vm} got its last new work after {} ms", last.as_millis()));
                let holds = last <= Duration::from_millis(*within);
                return if holds { Ok(()) } else { Err(format!("new work after {last:?}")) };
            }
            Expect::Works { vm } => return watch::wait_for_work(&shared, vm).await,
            _ => {}
        }
        let fleet = &mut *shared.lock().await;
        let history = fleet.history().await?;
        let outcomes = self.record.outcomes();
        let facts = Facts {
            outcomes: &outcomes,
            history: &history,
            layers: settings::layers(&fleet.plan),
            crashes: watch::crashes(fleet),
        };
        if matches!(what, Expect::Crashes { .. }) {
            self.notes.push(format!("{} backend servers crashed", facts.crashes));
        }
        expect::judge(what, &facts)
            .unwrap_or_else(|| Err("the statement can't be checked".to_string()))
    }

    /// Checks the invariants at the end of every script.
    pub(super) async fn end(&mut self) -> Result<(), String> {
        self.join().await?;
        let Some(shared) = self.fleet.clone() else { return Ok(()) };
        let fleet = &mut *shared.lock().await;
        fleet.thaw_all()?;
        for name in fleet.ended_unexpectedly() {
            self.failures.push(format!("{name} ended unexpectedly"));
        }
        let outcomes = self.record.outcomes();
        let history = fleet.history().await?;
        let violations = [
            history::bad_answers(&outcomes),
            history::duplicate_runs(&history.runs),
            history::position_order(&history.engines),
            history::ran_despite_not_run(&outcomes, &history),
            history::lost_orders(&outcomes, &history.runs),
        ];
        self.failures.extend(violations.concat().iter().map(|b| b.to_string()));
        self.failures.extend(trace::version_decreases(&self.applied(fleet)));
        Ok(())
    }

    /// Returns the versions that all daemons had in force since their start.
    fn applied(&self, fleet: &Fleet) -> Vec<trace::Applied> {
        let names: Vec<String> = fleet.vms.iter().map(|vm| vm.name.clone()).collect();
        trace::read_all(&self.dir, &names)
    }

    pub(super) async fn table(&self) -> Result<String, String> {
        let shared = self.fleet()?;
        let fleet = &mut *shared.lock().await;
        let history = fleet.history().await?;
        let outcomes = self.record.outcomes();
        let mut notes = self.notes.clone();
        notes.extend(repeat::line(&outcomes, &fleet.platform.log).await);
        let mut records = self.settings.clone();
        trace::extend(&mut records, &fleet.platform.log).await;
        notes.extend(trace::line(&self.applied(fleet), &records));
        notes.extend(self.faults.iter().filter_map(|f| recovery::line(f, &outcomes)));
        notes.extend(reasons(&outcomes));
        Ok(table::render(&Figures {
            plan: &fleet.plan,
            outcomes: &outcomes,
            history: &history,
            drafting: self.record.drafting(),
            notes: &notes,
        }))
    }
}

/// Returns the reasons for which requests ended without an answer, with their counts.
fn reasons(outcomes: &[Outcome]) -> Vec<String> {
    let mut counted: Vec<(&str, usize)> = Vec::new();
    for out in outcomes.iter().filter(|o| !o.judged_by_script) {
        let why = match &out.verdict {
            Verdict::NotRun(why) | Verdict::Refused(why) | Verdict::Unknown(why) => why,
            _ => continue,
        };
        match counted.iter_mut().find(|(w, _)| w == why) {
            Some((_, n)) => *n += 1,
            None => counted.push((why, 1)),
        }
    }
    counted.iter().take(MAX_REASONS).map(|(why, n)| format!("{n} times: {why}")).collect()
}
