//! Plays a script line by line and judges the end.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

use platform::vm::State;
use tokio::sync::Mutex;
use tokio::task::JoinHandle;

use crate::binary::Place;
use crate::books;
use crate::caller::Caller;
use crate::expect::{self, Facts};
use crate::fault::{self, Link};
use crate::fleet::{Backend, Fleet};
use crate::load::{self, Record};
use crate::outcome::{Outcome, Verdict};
use crate::process;
use crate::publish;
use crate::quarantine;
use crate::recovery;
use crate::repeat;
use crate::script::{self, Expect, Line, Verb};
use crate::settings;
use crate::single;
use crate::table::{self, Figures};
use crate::trace;
use crate::usage;
use crate::watch::{self, Watch};

/// Pause between two looks at something the script waits for.
const LOOK: Duration = Duration::from_millis(20);
/// Reasons printed at most.
const REASONS: usize = 5;
/// Longest wait for something the script waits for.
pub const WAIT: Duration = Duration::from_secs(90);

/// Plays one script.
pub struct Player {
    place: Place,
    dir: PathBuf,
    seed: u64,
    part: u64,
    fleet: Option<Arc<Mutex<Fleet>>>,
    caller: Caller,
    record: Record,
    background: Vec<JoinHandle<()>>,
    balancer: Option<JoinHandle<()>>,
    /// Single orders in the background; the number of the line tells them apart.
    pending: Vec<JoinHandle<Result<(), String>>>,
    /// Records of the stream of settings as seen so far; the log lets them expire.
    settings: Vec<platform::log::Record>,
    /// Earlier `orders` lines with their part.
    orders: Vec<(u64, script::Orders)>,
    watches: Vec<Watch>,
    faults: Vec<recovery::Fault>,
    notes: Vec<String>,
    version: u64,
    failures: Vec<String>,
}

/// How a script ended.
#[derive(Debug)]
pub struct End {
    /// The table.
    pub table: String,
    /// Everything that did not hold; empty when the script passed.
    pub failures: Vec<String>,
}

impl Player {
    /// A player that keeps its files in `dir`.
    pub fn new(place: Place, dir: PathBuf, seed: u64) -> Player {
        Player {
            place,
            dir,
            seed,
            part: 0,
            fleet: None,
            caller: Caller::new(Vec::new()),
            record: Record::default(),
            background: Vec::new(),
            balancer: None,
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

    /// Plays all lines, then checks what must hold at the end of every script.
    pub async fn play(mut self, lines: &[Line]) -> End {
        for line in lines {
            if let Err(reason) = self.line(line).await {
                self.failures.push(line.fault(reason).to_string());
                // Later lines build on this one; only statements may fail and let the rest go on.
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
        let fleet = Fleet::start(plan.clone(), self.place.clone(), self.dir.clone()).await?;
        self.caller = Caller::new(fleet.routers());
        self.balancer = Some(tokio::spawn(self.caller.clone().balance()));
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
            if began.elapsed() > WAIT {
                return Err(format!("{} of {ended} ended within {WAIT:?}", self.record.ended()));
            }
            tokio::time::sleep(LOOK).await;
        }
        Ok(())
    }

    /// Verbs that send requests; `None` for others.
    async fn send(&mut self, verb: &Verb) -> Option<Result<(), String>> {
        self.part += 1;
        let (seed, part) = (self.seed, self.part);
        let (caller, record) = (self.caller.clone(), self.record.clone());
        let fleet = match self.fleet() {
            Ok(fleet) => fleet,
            Err(e) => return Some(Err(e)),
        };
        let layers = settings::layers(&fleet.lock().await.plan);
        let (task, background) = match verb {
            Verb::Drafts(line) => {
                let jobs = load::drafts(line, layers, seed, part);
                let load = line.load.clone();
                let task = tokio::spawn(load::play_drafts(caller, jobs, load, record));
                (task, line.load.background)
            }
            Verb::Lookups(line) => {
                let task = tokio::spawn(load::play_lookups(caller, line.clone(), part, record));
                (task, line.background)
            }
            Verb::Orders(line) => {
                self.orders.push((part, line.clone()));
                let task =
                    tokio::spawn(load::play_orders(caller, line.clone(), seed, part, record));
                (task, line.load.background)
            }
            Verb::Draft(line) => {
                return Some(single::draft(&caller, line, layers, part, &record).await);
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

    /// Verbs that act on processes and links.
    async fn act(&mut self, verb: &Verb) -> Result<(), String> {
        let shared = self.fleet()?;
        match verb {
            Verb::Term { vm } => return term(&shared, vm).await,
            Verb::Rolling { role } => return self.rolling(*role).await,
            Verb::Supervise { after } => {
                let after = Duration::from_millis(*after);
                self.watches.push(Watch::supervise(shared, after));
                return Ok(());
            }
            Verb::Leave { vm } => {
                let vm = shared.lock().await.vm(vm)?;
                shared.lock().await.enter(&vm, State::Leaving).await?;
                self.watches.push(Watch::leave(&vm));
                return Ok(());
            }
            _ => {}
        }
        let fleet = &mut *shared.lock().await;
        match verb {
            Verb::Kill { vm } => fleet.process(vm)?.kill().await,
            Verb::KillEngine { vm } => kill_engine(fleet, vm).await,
            Verb::Restart { vm } => fleet.restart(vm).await,
            Verb::Freeze { vm, engine: true } => fleet.process(&format!("{vm}.backend"))?.freeze(),
            Verb::Freeze { vm, engine: false } => fleet.process(vm)?.freeze(),
            Verb::Thaw { vm } => thaw(fleet, vm),
            Verb::Add { range, spare, step_us } => {
                let began = Instant::now();
                let name = fleet.add(*range, *step_us, *spare).await?;
                self.notes.push(format!("{name} ready after {} ms", began.elapsed().as_millis()));
                Ok(())
            }
            Verb::Cut { from, to, one_way } => {
                let link = Link { cut: true, mirror: !one_way, ..Link::default() };
                fault::link(fleet, from, to, link).await
            }
            Verb::Delay { from, to, ms, loss, duplicate } => {
                let (delay_ms, loss, duplicate) = (*ms, *loss, *duplicate);
                let link = Link { cut: false, delay_ms, loss, duplicate, mirror: true };
                fault::link(fleet, from, to, link).await
            }
            Verb::Heal => fault::heal(fleet).await,
            Verb::Lift => {
                let note = quarantine::lift(fleet).await?;
                self.notes.push(note);
                Ok(())
            }
            Verb::Log(line) => fault::log(fleet, line).await,
            Verb::Vms { lag, outage } => fault::vms(fleet, *lag, *outage).await,
            Verb::Stay { vm } => {
                let vm = fleet.vm(vm)?;
                fleet.enter(&vm, State::Live).await
            }
            Verb::Service(line) => fault::service(fleet, line).await,
            Verb::Engine(line) => fault::engine(fleet, line).await,
            Verb::Publish { change, racing, fails } => {
                let versions = publish::versions(fleet).await?;
                self.version = versions.iter().map(|v| v.1).max().unwrap_or(0);
                let note = match racing {
                    Some(other) => publish::racing(fleet, self.version, change, other).await?,
                    None => publish::one(fleet, change, *fails).await?,
                };
                self.notes.push(note);
                Ok(())
            }
            Verb::Usage { seconds } => {
                let lines = usage::measure(fleet, Duration::from_secs(*seconds)).await?;
                self.notes.extend(lines);
                Ok(())
            }
            Verb::WaitVersion { within } => {
                let within = Duration::from_millis(*within);
                let (version, took) = publish::wait(fleet, self.version, within).await?;
                trace::extend(&mut self.settings, &fleet.platform.log).await;
                let took = took.as_millis();
                self.notes.push(format!("version {version} in force on all after {took} ms"));
                Ok(())
            }
            _ => Err("the verb can't be played".to_string()),
        }
    }

    async fn rolling(&mut self, role: script::Role) -> Result<(), String> {
        let shared = self.fleet()?;
        let mut vms = shared.lock().await.vms.clone();
        // Agents first, in order of name.
        vms.sort_by_key(|v| v.backend == Backend::None);
        let (began, ended) = (Instant::now(), self.record.ended());
        let wanted = vms.iter().filter(|v| match role {
            script::Role::All => true,
            script::Role::Routers => v.backend == Backend::None,
            script::Role::Agents => v.backend != Backend::None,
        });
        let mut n = 0;
        for vm in wanted {
            term(&shared, &vm.name).await?;
            shared.lock().await.restart(&vm.name).await?;
            n += 1;
        }
        let took = began.elapsed().as_millis();
        let ended = self.record.ended() - ended;
        let more = if self.background.iter().all(JoinHandle::is_finished) { "no" } else { "more" };
        self.notes.push(format!(
            "rolling restart of {n} daemons took {took} ms; {ended} requests ended meanwhile, {more} came after"
        ));
        Ok(())
    }

    async fn expect(&mut self, what: &Expect) -> Result<(), String> {
        let shared = self.fleet()?;
        match what {
            Expect::OneVersion => {
                let versions = publish::versions(&mut *shared.lock().await).await?;
                let same = versions.windows(2).all(|pair| pair[0].1 == pair[1].1);
                return if same { Ok(()) } else { Err(format!("versions: {versions:?}")) };
            }
            Expect::Left { vm, within } => {
                let found = self.watches.iter().find_map(|w| w.last_work(vm));
                let last = found.ok_or(format!("the script has not said 'leave {vm}'"))?;
                self.notes
                    .push(format!("{vm} got its last new work after {} ms", last.as_millis()));
                let holds = last <= Duration::from_millis(*within);
                return if holds { Ok(()) } else { Err(format!("new work after {last:?}")) };
            }
            Expect::Works { vm } => return watch::works(&shared, vm).await,
            _ => {}
        }
        let fleet = &mut *shared.lock().await;
        let books = fleet.books().await?;
        let outcomes = self.record.outcomes();
        let facts = Facts {
            outcomes: &outcomes,
            books: &books,
            layers: settings::layers(&fleet.plan),
            crashes: watch::crashes(fleet),
        };
        if matches!(what, Expect::Crashes { .. }) {
            self.notes.push(format!("{} backend servers crashed", facts.crashes));
        }
        expect::judge(what, &facts).unwrap_or_else(|| Err("can't be judged".to_string()))
    }

    /// What must hold at the end of every script.
    async fn end(&mut self) -> Result<(), String> {
        self.join().await?;
        let Some(shared) = self.fleet.clone() else { return Ok(()) };
        let fleet = &mut *shared.lock().await;
        fleet.thaw_all()?;
        for name in fleet.dead() {
            self.failures.push(format!("{name} should live and ended"));
        }
        let outcomes = self.record.outcomes();
        let books = fleet.books().await?;
        let breaches = [
            books::answers(&outcomes),
            books::doubled(&books.runs),
            books::order(&books.engines),
            books::ghosts(&outcomes, &books),
            books::missing(&outcomes, &books.runs),
        ];
        self.failures.extend(breaches.concat().iter().map(|b| b.to_string()));
        self.failures.extend(trace::fell(&self.applied(fleet)));
        Ok(())
    }

    /// The versions that all daemons had in force since they started.
    fn applied(&self, fleet: &Fleet) -> Vec<trace::Applied> {
        let names: Vec<String> = fleet.vms.iter().map(|vm| vm.name.clone()).collect();
        trace::read_all(&self.dir, &names)
    }

    async fn table(&self) -> Result<String, String> {
        let shared = self.fleet()?;
        let fleet = &mut *shared.lock().await;
        let books = fleet.books().await?;
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
            books: &books,
            drafting: self.record.drafting(),
            notes: &notes,
        }))
    }
}

/// Why requests ended without their answer, each reason once with its count.
fn reasons(outcomes: &[Outcome]) -> Vec<String> {
    let mut counted: Vec<(&str, usize)> = Vec::new();
    for out in outcomes.iter().filter(|o| !o.judged) {
        let why = match &out.verdict {
            Verdict::NotRun(why) | Verdict::Refused(why) | Verdict::Unknown(why) => why,
            _ => continue,
        };
        match counted.iter_mut().find(|(w, _)| w == why) {
            Some((_, n)) => *n += 1,
            None => counted.push((why, 1)),
        }
    }
    counted.iter().take(REASONS).map(|(why, n)| format!("{n} times: {why}")).collect()
}

impl Drop for Player {
    fn drop(&mut self) {
        self.background.iter().chain(&self.balancer).for_each(JoinHandle::abort);
        self.pending.iter().for_each(JoinHandle::abort);
    }
}

/// Asks a daemon to stop. The fleet is free for other verbs while it drains.
async fn term(shared: &Arc<Mutex<Fleet>>, vm: &str) -> Result<(), String> {
    let child = shared.lock().await.process(vm)?.ask()?;
    process::stopped(vm, child).await
}

/// Its book goes with the process, so it is read first.
async fn kill_engine(fleet: &mut Fleet, vm: &str) -> Result<(), String> {
    let vm = fleet.vm(vm)?;
    if matches!(vm.backend, Backend::Engine(..)) {
        let book = fleet.book(&vm).await?;
        fleet.kept.push(book);
    }
    fleet.process(&vm.backend_process())?.kill().await
}

fn thaw(fleet: &mut Fleet, vm: &str) -> Result<(), String> {
    let backend = format!("{vm}.backend");
    for name in [vm, backend.as_str()] {
        if let Ok(process) = fleet.process(name)
            && process.wanted == process::Wanted::Frozen
        {
            process.thaw()?;
        }
    }
    Ok(())
}
