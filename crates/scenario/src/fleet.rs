//! The fleet of a scenario: platform stand-ins, backend servers, agents and routers. Each VM
//! has its own loopback address.

mod ctl;
mod vm;

use std::net::{Ipv4Addr, TcpListener};
use std::path::PathBuf;
use std::time::{Duration, Instant};

use cloud::vm::{Entry, Role, State};

use crate::binary::Programs;
use crate::history::{self, Engine, History};
use crate::model;
use crate::process::{Process, READY_TIMEOUT, Wanted};
use crate::script;
use crate::settings::{self, BACKEND_PORT, Platform};

pub use vm::{Backend, Vm};

/// A port on which no process listens.
const UNUSED_PORT: u16 = 9;

/// Interval between two readiness checks of a daemon.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time-out of a readiness check or a call to a stand-in.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// A running fleet.
#[derive(Debug)]
pub struct Fleet {
    /// Options of the script's `fleet` line.
    pub plan: script::Fleet,
    /// VMs, sorted by name.
    pub vms: Vec<Vm>,
    /// Processes, sorted by name.
    pub processes: Vec<Process>,
    /// Addresses of the platform.
    pub platform: Platform,
    /// History of killed engines, read just before the kill.
    pub killed_engines: Vec<Engine>,
    /// Fleet settings as last published.
    pub text: String,
    /// Directory of settings, certificates and logs.
    pub dir: PathBuf,
    programs: Programs,
    octet: u8,
    _claim: TcpListener,
}

impl Fleet {
    /// Starts all processes and waits until all daemons are ready.
    pub async fn start(
        plan: script::Fleet,
        programs: Programs,
        dir: PathBuf,
    ) -> Result<Fleet, String> {
        let (octet, claim) = vm::claim()?;
        let at = |port: u16| format!("http://127.{octet}.0.1:{port}");
        let platform = Platform {
            log: at(9000),
            vms: at(9001),
            weights: at(9002),
            links: at(9003),
            ledger: at(9004),
        };
        std::fs::create_dir_all(dir.join("logs")).map_err(|e| format!("log directory: {e}"))?;
        let vms = vm::plan(&plan, octet);
        let mut fleet = Fleet {
            plan,
            vms,
            processes: Vec::new(),
            platform,
            killed_engines: Vec::new(),
            text: String::new(),
            dir,
            programs,
            octet,
            _claim: claim,
        };
        fleet.start_platform().await?;
        fleet.create_certificates().await?;
        fleet.text = settings::fleet(&fleet.plan, &fleet.fenced_vms());
        let text = fleet.text.clone();
        fleet.publish("first", &text, "the settings a scenario begins with", None).await?;
        for vm in fleet.vms.clone() {
            fleet.start_vm(&vm).await?;
        }
        for vm in fleet.vms.clone() {
            fleet.wait_ready(&vm).await?;
        }
        Ok(fleet)
    }

    fn fenced_vms(&self) -> Vec<String> {
        let engines = self.vms.iter().filter(|v| matches!(v.backend, Backend::Engine(..)));
        match self.plan.unfenced {
            true => Vec::new(),
            false => engines.map(|v| v.name.clone()).collect(),
        }
    }

    async fn start_platform(&mut self) -> Result<(), String> {
        let rate = self.plan.rate.to_string();
        let ip = format!("127.{}.0.1", self.octet);
        let log = ["--rate", rate.as_str()];
        let parts: [(&str, &str, u16, &[&str]); 5] = [
            ("log", "log", 9000, &log),
            ("vms", "vms", 9001, &[]),
            ("weights", "weights", 9002, &[]),
            ("links", "link", 9003, &[]),
            ("ledger", "service", 9004, &[]),
        ];
        for (name, command, port, more) in parts {
            let mut args =
                vec![command.to_string(), "--listen".to_string(), format!("{ip}:{port}")];
            args.extend(more.iter().map(|a| a.to_string()));
            self.spawn(name, "hyssop-fake", args)?;
        }
        for (name, ..) in parts {
            self.process(name)?.ready().await?;
        }
        Ok(())
    }

    async fn create_certificates(&self) -> Result<(), String> {
        let names = self.vms.iter().map(|v| v.name.clone());
        // Spare names, so that VMs added later have certificates of the same authority.
        let spares =
            (0..self.plan.ranges.len()).flat_map(|r| (1..=4).map(move |k| spare_name(r, k)));
        let mut args =
            vec!["certs".to_string(), "--out".to_string(), ".".to_string(), "--vm".to_string()];
        args.extend(names.chain(spares).chain([ctl::OPERATOR.to_string()]));
        self.ctl(&args).await.map(|_| ())
    }

    /// Starts the backend server and the daemon of a VM, and adds it to the VM list.
    async fn start_vm(&mut self, vm: &Vm) -> Result<(), String> {
        if self.plan.links {
            let link = serde_json::json!({
                "listen": vm.link(true).to_string(),
                "target": vm.link(false).to_string(),
            });
            post(&self.platform.links, "/~fake/links", &link).await?;
        }
        if vm.backend != Backend::None {
            let args = self.backend_args(vm);
            self.spawn(&vm.backend_process(), "hyssop-fake", args)?;
            self.process(&vm.backend_process())?.ready().await?;
        }
        self.set_listed(vm, State::Live).await?;
        self.start_daemon(vm)
    }

    fn start_daemon(&mut self, vm: &Vm) -> Result<(), String> {
        let backend = match vm.backend {
            Backend::None => None,
            Backend::Engine(..) => Some(("engine", self.plan.slots)),
            Backend::Service => Some(("service orders", self.plan.slots)),
        };
        let level = &self.plan.log_level;
        let mut platform = self.platform.clone();
        if self.plan.no_log.contains(&vm.name) {
            platform.log = format!("http://127.{}.0.1:{UNUSED_PORT}", self.octet);
        }
        let text = settings::process(&vm.name, &vm.data_centre, vm.ip, level, &platform, backend);
        let file = self.dir.join(format!("{}.ini", vm.name));
        std::fs::write(&file, text).map_err(|e| format!("{}: settings: {e}", vm.name))?;
        let program = if vm.backend == Backend::None { "hyssop-router" } else { "hyssop-agent" };
        let args = vec!["--settings".to_string(), file.display().to_string()];
        self.spawn(&vm.name, program, args)?;
        self.process(&vm.name)?.discard_output();
        Ok(())
    }

    fn backend_args(&self, vm: &Vm) -> Vec<String> {
        let plan = &self.plan;
        let mut args: Vec<(&str, String)> = vec![("--listen", format!("{}:{BACKEND_PORT}", vm.ip))];
        let command = match vm.backend {
            Backend::Engine(_, first, last, step_us) => {
                let name = if vm.empty { "" } else { model::NAME };
                args.push(("--model", name.to_string()));
                args.push(("--version", model::VERSION.to_string()));
                args.push(("--layers", settings::layers(plan).to_string()));
                args.push(("--first", first.to_string()));
                args.push(("--last", last.to_string()));
                args.push(("--slots", plan.slots.to_string()));
                args.push(("--batch", plan.batch.to_string()));
                args.push(("--step-us", step_us.to_string()));
                args.push(("--token-us", plan.token_us.to_string()));
                args.push(("--checks-fence", (!plan.unfenced).to_string()));
                args.push(("--weights", self.platform.weights.clone()));
                "engine"
            }
            _ => {
                args.push(("--delay-ms", "2".to_string()));
                args.push(("--ledger", self.platform.ledger.clone()));
                "service"
            }
        };
        let words = args.into_iter().flat_map(|(k, v)| [k.to_string(), v]);
        std::iter::once(command.to_string()).chain(words).collect()
    }

    /// Starts or restarts a process.
    fn spawn(&mut self, name: &str, program: &str, args: Vec<String>) -> Result<(), String> {
        let at = self.processes.binary_search_by(|p| p.name.as_str().cmp(name));
        let i = match at {
            Ok(i) => i,
            Err(i) => {
                let log = self.dir.join("logs").join(format!("{name}.log"));
                let path = self.programs.path(program);
                self.processes.insert(i, Process::new(name, path, args, log));
                i
            }
        };
        self.processes[i].start()
    }

    /// Returns a process by name.
    pub fn process(&mut self, name: &str) -> Result<&mut Process, String> {
        let at = self.processes.binary_search_by(|p| p.name.as_str().cmp(name));
        at.map(|i| &mut self.processes[i]).map_err(|_| format!("there is no process {name}"))
    }

    /// Returns a VM by name.
    pub fn vm(&self, name: &str) -> Result<Vm, String> {
        let at = self.vms.binary_search_by(|v| v.name.as_str().cmp(name));
        at.map(|i| self.vms[i].clone()).map_err(|_| format!("there is no VM {name}"))
    }

    /// Adds a VM to the VM list, or changes its state there.
    pub async fn set_listed(&self, vm: &Vm, state: State) -> Result<(), String> {
        let role = if vm.backend == Backend::None { Role::Router } else { Role::Agent };
        let entry = Entry {
            vm: vm.name.clone(),
            role,
            data_centre: vm.data_centre.clone(),
            address: vm.link(self.plan.links).to_string(),
            state,
        };
        let http = rest::Client::new(&self.platform.vms, CALL_TIMEOUT);
        let path = format!("/v1/vms/{}", vm.name);
        let done: Result<serde_json::Value, _> = http.json("PUT", &path, &entry).await;
        done.map(|_| ()).map_err(|e| e.to_string())
    }

    /// Waits until the daemon of a VM reports that it is ready; returns the time it took.
    pub async fn wait_ready(&mut self, vm: &Vm) -> Result<Duration, String> {
        let began = Instant::now();
        let http = rest::Client::new(&vm.http(), CALL_TIMEOUT);
        while began.elapsed() < READY_TIMEOUT {
            if !self.process(&vm.name)?.is_running() {
                return Err(format!("{} ended before it was ready", vm.name));
            }
            let probe = http.send("GET", "/readyz", &[], Default::default()).await;
            if probe.is_ok_and(|a| a.status == 200) {
                return Ok(began.elapsed());
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Err(format!("{} not ready within {READY_TIMEOUT:?}", vm.name))
    }

    /// Starts the processes of a VM that don't run and waits until they are ready.
    pub async fn restart(&mut self, name: &str) -> Result<(), String> {
        let vm = self.vm(name)?;
        let backend = vm.backend_process();
        let stopped = |p: &mut Process| !p.is_running();
        if vm.backend != Backend::None && stopped(self.process(&backend)?) {
            self.process(&backend)?.start()?;
            self.process(&backend)?.ready().await?;
        }
        if stopped(self.process(name)?) {
            self.start_daemon(&vm)?;
        }
        self.wait_ready(&vm).await.map(|_| ())
    }

    /// Adds an engine for a range, on a new VM; returns the name of the VM.
    pub async fn add(&mut self, range: usize, step_us: u64, empty: bool) -> Result<String, String> {
        let span = *self.plan.ranges.get(range).ok_or(format!("there is no range {range}"))?;
        let taken = |name: &str| self.vms.iter().any(|v| v.name == name);
        let k = (1..=4).find(|k| !taken(&spare_name(range, *k))).ok_or("no spare name is left")?;
        let vm = Vm {
            name: spare_name(range, k),
            data_centre: "dc-a".to_string(),
            ip: Ipv4Addr::new(127, self.octet, 10 + range as u8, 100 + k as u8).into(),
            backend: Backend::Engine(range, span.low, span.high, step_us),
            empty,
        };
        let at = self.vms.partition_point(|v| v.name < vm.name);
        self.vms.insert(at, vm.clone());
        self.start_vm(&vm).await?;
        self.wait_ready(&vm).await?;
        Ok(vm.name)
    }

    /// Reads the history of an engine.
    pub async fn engine_history(&self, vm: &Vm) -> Result<Engine, String> {
        if !matches!(vm.backend, Backend::Engine(..)) {
            return Err(format!("{} has no engine", vm.name));
        }
        let history = history::engine(&vm.backend_http(), &vm.name).await;
        history.map_err(|e| format!("history of {}: {e}", vm.name))
    }

    /// Reads the history of all stand-ins; for killed engines, that read before the kill.
    pub async fn history(&mut self) -> Result<History, String> {
        let mut engines = self.killed_engines.clone();
        for vm in self.vms.clone() {
            let Backend::Engine(..) = vm.backend else { continue };
            let running = self.process(&vm.backend_process())?;
            if running.is_running() && running.wanted == Wanted::Running {
                engines.push(self.engine_history(&vm).await?);
            }
        }
        let runs = history::runs(&self.platform.ledger).await.map_err(|e| e.to_string())?;
        let requests = history::requests(&self.platform.ledger).await.map_err(|e| e.to_string())?;
        Ok(History { engines, runs, requests })
    }

    /// Returns the names of processes that ended though the script did not stop them.
    pub fn ended_unexpectedly(&mut self) -> Vec<String> {
        let ended = |p: &mut Process| p.wanted != Wanted::Stopped && !p.is_running();
        self.processes.iter_mut().filter_map(|p| ended(p).then(|| p.name.clone())).collect()
    }

    /// Continues all frozen processes, so that their history can be read.
    pub fn thaw_all(&mut self) -> Result<(), String> {
        for p in self.processes.iter_mut().filter(|p| p.wanted == Wanted::Frozen) {
            p.thaw()?;
        }
        Ok(())
    }

    /// Kills all processes and waits until they have ended. Without the wait, addresses could
    /// still be bound when the next script of a run starts, and its stand-ins would not start.
    pub async fn stop(&mut self) {
        for p in &mut self.processes {
            p.kill_if_running().await;
        }
    }

    /// Returns the base URLs of the routers, sorted by name.
    pub fn routers(&self) -> Vec<String> {
        self.vms.iter().filter(|v| v.backend == Backend::None).map(Vm::http).collect()
    }
}

fn spare_name(range: usize, k: usize) -> String {
    format!("gpu-{range}-spare-{k}")
}

/// Sends a POST to a stand-in.
pub async fn post(base: &str, path: &str, body: &serde_json::Value) -> Result<(), String> {
    let http = rest::Client::new(base, CALL_TIMEOUT);
    let done: Result<serde_json::Value, _> = http.post(path, body).await;
    done.map(|_| ()).map_err(|e| e.to_string())
}
