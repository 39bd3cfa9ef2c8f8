//! Plays a script line by line and checks the invariants at its end.

mod act;
mod judge;

use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::sync::Mutex;
use tokio::task::JoinHandle;

use crate::binary::Programs;
use crate::caller::Caller;
use crate::fleet::Fleet;
use crate::load::{self, Record};
use crate::recovery;
use crate::repeat;
use crate::script::{self, Line, Verb};
use crate::settings;
use crate::single;
use crate::watch::Watch;

/// Interval between two checks of a condition for which the script waits.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Longest time that the script waits for a condition.
pub const MAX_WAIT: Duration = Duration::from_secs(90);

/// Plays one script.
pub struct Player {
    programs: Programs,
    dir: PathBuf,
    seed: u64,
    line_index: u64,
    fleet: Option<Arc<Mutex<Fleet>>>,
    caller: Caller,
    record: Record,
    background: Vec<JoinHandle<()>>,
    readiness_probe: Option<JoinHandle<()>>,
    /// Background tasks of `order` lines.
    pending: Vec<JoinHandle<Result<(), String>>>,
    /// Records of the stream of settings read so far; the log may have expired them since.
    settings: Vec<cloud::log::Record>,
    /// Earlier `orders` lines with their numbers.
    orders: Vec<(u64, script::Orders)>,
    watches: Vec<Watch>,
    faults: Vec<recovery::Fault>,
    notes: Vec<String>,
    version: u64,
    failures: Vec<String>,
}

/// Result of a script.
#[derive(Debug)]
pub struct End {
    /// The table.
    pub table: String,
    /// Failed checks; empty if the script passed.
    pub failures: Vec<String>,
}

impl Player {
    /// Creates a player that writes its files to `dir`.
    pub fn new(programs: Programs, dir: PathBuf, seed: u64) -> Player {
        Player {
            programs,
            dir,
            seed,
            line_index: 0,
            fleet: None,
            caller: Caller::new(Vec::new()),
            record: Record::default(),
            background: Vec::new(),
            readiness_probe: None,
            pending: Vec::new(),
            settings: Vec::new(),
            orders: Vec::new(),
            watches: Vec::new(),
            faults: Vec::new(),
            notes: Vec::new(),
            version: 0,
            failures: Vec::new(),
        }
    }

    /// Plays all lines, then checks the invariants of every script.
    pub async fn play(mut self, lines: &[Line]) -> End {
        for line in lines {
            if let Err(reason) = self.line(line).await {
                self.failures.push(line.fault(reason).to_string());
                // Later lines depend on this one; the script continues only after a failed `expect`.
                if !matches!(line.verb, Verb::Expect { .. }) {
                    break;
                }
            }
        }
        if let Err(reason) = self.end().await {
            self.failures.push(reason);
        }
        let table = self.table().await.unwrap_or_default();
        self.stop().await;
        End { table, failures: std::mem::take(&mut self.failures) }
    }

    async fn line(&mut self, line: &Line) -> Result<(), String> {
        match &line.verb {
            Verb::Kill { .. }
            | Verb::KillEngine { .. }
            | Verb::Freeze { .. }
            | Verb::Cut { .. }
            | Verb::Term { .. } => {
                self.faults.push(recovery::Fault { name: line.text.clone(), at: Instant::now() });
            }
            _ => {}
        }
        match &line.verb {
            Verb::Fleet(plan) => self.start(plan).await,
            Verb::Join => self.join().await,
            Verb::Await { ended } => self.wait_ended(*ended).await,
            Verb::Sleep { ms } => {
                tokio::time::sleep(Duration::from_millis(*ms)).await;
                Ok(())
            }
            Verb::Table => {
                println!("{}", self.table().await?);
                Ok(())
            }
            Verb::Expect { what } => self.expect(what).await,
            verb => match self.send(verb).await {
                Some(done) => done,
                None => self.act(verb).await,
            },
        }
    }

    async fn stop(&mut self) {
        self.watches.clear();
        if let Some(fleet) = self.fleet.take() {
            fleet.lock().await.stop().await;
        }
    }

    fn fleet(&self) -> Result<Arc<Mutex<Fleet>>, String> {
        self.fleet.clone().ok_or("the script has not started a fleet".to_string())
    }

    async fn start(&mut self, plan: &script::Fleet) -> Result<(), String> {
        if self.fleet.is_some() {
            return Err("the fleet is already started".to_string());
        }
        let began = Instant::now();
        let fleet = Fleet::start(plan.clone(), self.programs.clone(), self.dir.clone()).await?;
        self.caller = Caller::new(fleet.routers());
        self.readiness_probe = Some(tokio::spawn(self.caller.clone().probe_readiness()));
        let n = fleet.processes.len();
        self.notes.push(format!("{n} processes ready after {} ms", began.elapsed().as_millis()));
        self.fleet = Some(Arc::new(Mutex::new(fleet)));
        Ok(())
    }

    async fn join(&mut self) -> Result<(), String> {
        for task in self.background.drain(..) {
            task.await.map_err(|e| format!("background work: {e}"))?;
        }
        for task in std::mem::take(&mut self.pending) {
            task.await.map_err(|e| format!("background order: {e}"))??;
        }
        Ok(())
    }

    async fn wait_ended(&self, ended: usize) -> Result<(), String> {
        let began = Instant::now();
        while self.record.ended() < ended {
            if began.elapsed() > MAX_WAIT {
                return Err(format!(
                    "{} of {ended} ended within {MAX_WAIT:?}",
                    self.record.ended()
                ));
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Plays a verb that sends requests; `None` for other verbs.
    async fn send(&mut self, verb: &Verb) -> Option<Result<(), String>> {
        self.line_index += 1;
        let (seed, line_index) = (self.seed, self.line_index);
        let (caller, record) = (self.caller.clone(), self.record.clone());
        let fleet = match self.fleet() {
            Ok(fleet) => fleet,
            Err(e) => return Some(Err(e)),
        };
        let layers = settings::layers(&fleet.lock().await.plan);
        let (task, background) = match verb {
            Verb::Drafts(line) => {
                let jobs = load::drafts(line, layers, seed, line_index);
                let load = line.load.clone();
                let task = tokio::spawn(load::play_drafts(caller, jobs, load, record));
                (task, line.load.background)
            }
            Verb::Lookups(line) => {
                let task =
                    tokio::spawn(load::play_lookups(caller, line.clone(), line_index, record));
                (task, line.background)
            }
            Verb::Orders(line) => {
                self.orders.push((line_index, line.clone()));
                let task =
                    tokio::spawn(load::play_orders(caller, line.clone(), seed, line_index, record));
                (task, line.load.background)
            }
            Verb::Draft(line) => {
                return Some(single::draft(&caller, line, layers, line_index, &record).await);
            }
            Verb::Order(line) if line.background => {
                let line = line.clone();
                let order = async move { single::order(&caller, &line, &record).await };
                self.pending.push(tokio::spawn(order));
                return Some(Ok(()));
            }
            Verb::Repeats(line) => {
                let note = repeat::play(&caller, line, &self.orders, &record).await;
                self.notes.push(note);
                return Some(Ok(()));
            }
            Verb::Order(line) => return Some(single::order(&caller, line, &record).await),
            _ => return None,
        };
        self.background.push(task);
        match background {
            true => Some(Ok(())),
            false => Some(self.join_last().await),
        }
    }

    async fn join_last(&mut self) -> Result<(), String> {
        match self.background.pop() {
            Some(task) => task.await.map_err(|e| format!("requests: {e}")),
            None => Ok(()),
        }
    }
}

impl Drop for Player {
    fn drop(&mut self) {
        self.background.iter().chain(&self.readiness_probe).for_each(JoinHandle::abort);
        self.pending.iter().for_each(JoinHandle::abort);
    }
}
