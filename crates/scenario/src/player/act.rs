//! Verbs that act on processes, links and the platform.

use std::sync::Arc;
use std::time::{Duration, Instant};

use cloud::vm::State;
use tokio::sync::Mutex;
use tokio::task::JoinHandle;

use super::Player;
use crate::fault::{self, Link};
use crate::fleet::{Backend, Fleet};
use crate::process;
use crate::publish;
use crate::quarantine;
use crate::script::{self, Verb};
use crate::trace;
use crate::usage;
use crate::watch::Watch;

impl Player {
    /// Plays a verb that acts on processes, links or the platform.
    pub(super) async fn act(&mut self, verb: &Verb) -> Result<(), String> {
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
                shared.lock().await.set_listed(&vm, State::Leaving).await?;
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
            Verb::Vms { lag, outage, hide } => fault::vms(fleet, *lag, *outage, *hide).await,
            Verb::Stay { vm } => {
                let vm = fleet.vm(vm)?;
                fleet.set_listed(&vm, State::Live).await
            }
            Verb::Service(line) => fault::service(fleet, line).await,
            Verb::Engine(line) => fault::engine(fleet, line).await,
            Verb::Publish { change, racing, fails } => {
                let versions = publish::versions(fleet).await?;
                self.version = versions.iter().map(|v| v.1).max().unwrap_or(0);
                let note = match racing {
                    Some(other) => {
                        publish::publish_concurrently(fleet, self.version, change, other).await?
                    }
                    None => publish::publish_default(fleet, change, *fails).await?,
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
                let (version, took) = publish::wait_in_force(fleet, self.version, within).await?;
                trace::extend(&mut self.settings, &fleet.platform.log).await;
                let took = took.as_millis();
                self.notes.push(format!("version {version} in force on all after {took} ms"));
                Ok(())
            }
            _ => Err("the verb can't be played".to_string()),
        }
    }

    pub(super) async fn rolling(&mut self, role: script::Role) -> Result<(), String> {
        let shared = self.fleet()?;
        let mut vms = shared.lock().await.vms.clone();
        // Agents first, sorted by name.
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
}

/// Stops a daemon and waits for its end. Does not lock the fleet while the daemon drains, so that
/// other tasks can use it.
async fn term(shared: &Arc<Mutex<Fleet>>, vm: &str) -> Result<(), String> {
    let child = shared.lock().await.process(vm)?.terminate()?;
    process::wait_stopped(vm, child).await
}

/// Kills a backend server. An engine's history is lost with the process, so it is read first.
async fn kill_engine(fleet: &mut Fleet, vm: &str) -> Result<(), String> {
    let vm = fleet.vm(vm)?;
    let process = fleet.process(&vm.backend_process())?;
    // A frozen engine can't return its history, so the checks lack what it ran.
    let is_readable = process.wanted != process::Wanted::Frozen;
    if is_readable && matches!(vm.backend, Backend::Engine(..)) {
        let history = fleet.engine_history(&vm).await?;
        fleet.killed_engines.push(history);
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
