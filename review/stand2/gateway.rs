//! Processes of the system, started as the deploy file says.

use std::fs::{self, File};
use std::io;
use std::net::{IpAddr, SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use crate::deployment::ZONES;
use crate::http;

pub struct Gateway {
    pub vm: String,
    pub listen: SocketAddr,
    ready: SocketAddr,
    log: PathBuf,
    child: Child,
}

/// Returns the program and the arguments of the only role of the deploy file.
fn command() -> io::Result<Vec<String>> {
    let deploy = fs::read_to_string("deploy/system.toml")?;
    let run = deploy.lines().find_map(|l| l.strip_prefix("run = \"")?.strip_suffix('"'));
    let run = run.ok_or_else(|| io::Error::other("the deploy file has no role"))?;
    Ok(run.split(' ').map(str::to_owned).collect())
}

/// Returns a free address on a loopback IP that nothing else uses: on a shared one, another process may take the port
/// before the gateway binds it.
fn free_address() -> io::Result<SocketAddr> {
    static TAKEN: AtomicU32 = AtomicU32::new(1);
    let (n, process) = (TAKEN.fetch_add(1, Ordering::Relaxed), std::process::id());
    let ip = [127, 10 + (process / 200 % 200) as u8, (process % 200) as u8, n as u8];
    TcpListener::bind((IpAddr::from(ip), 0))?.local_addr()
}

/// Starts the gateways of the deployment, and waits until they are ready.
pub fn start_all(folder: &Path, store: SocketAddr) -> Result<Vec<Gateway>, String> {
    let zones = [ZONES[0], ZONES[0], ZONES[1], ZONES[2]];
    let start = |(n, zone): (usize, &str)| {
        let vm = format!("front-{n}-{zone}");
        Gateway::start(folder, &vm, zone, store).map_err(|e| format!("starting {vm}: {e}"))
    };
    let gateways: Vec<Gateway> =
        zones.into_iter().enumerate().map(start).collect::<Result<_, String>>()?;
    match gateways.iter().all(|g| g.wait_until_ready(Duration::from_secs(15))) {
        true => Ok(gateways),
        false => Err("a gateway did not get ready".to_owned()),
    }
}

impl Gateway {
    fn start(folder: &Path, vm: &str, zone: &str, store: SocketAddr) -> io::Result<Gateway> {
        let (listen, ready) = (free_address()?, free_address()?);
        let (metrics, inner) = (free_address()?, free_address()?);
        // The fields of `platform/settings.ini`, with the figures of the sheet.
        let text = format!(
            "[process]\nvm = {vm}\ndata-centre = {zone}\nlisten = {listen}\nready = {ready}\nmetrics = {metrics}\n\
             inner = {inner}\ngrace-s = 8\nmemory-mb = 260\ndescriptors = 4200\nprocessor = 0.19\n\
             link-mbps = 1000.0\nfirst-start = true\n\n[store]\naddress = {store}\nparts = 12\n\
             heartbeat-ms = 1200\nsettings-in-force-ms = 2000\nservers-in-force-ms = 2000\n\n\
             [retries]\nratio = 0.2\nslack = 196\nwindow-s = 10\n"
        );
        let settings = folder.join(format!("{vm}.ini"));
        fs::write(&settings, text)?;
        let log = folder.join(format!("{vm}.log"));
        let child = spawn(&settings, &log)?;
        Ok(Gateway { vm: vm.to_owned(), listen, ready, log, child })
    }

    fn is_ready(&self) -> bool {
        let second = Duration::from_secs(1);
        let headers = [("Host", "balancer")];
        http::request(self.ready, "GET /-/readiness", &headers, b"", (second, second)).status == 200
    }

    fn wait_until_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Lines of its log that contain one of the words.
    pub fn log_lines(&self, words: &[&str]) -> Vec<String> {
        let text = fs::read_to_string(&self.log).unwrap_or_default();
        let lines = text.lines().filter(|l| words.iter().any(|w| l.contains(w)));
        lines.map(str::to_owned).collect()
    }

    fn end(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

// A gateway ends with the process that started it, also if that is killed.
unsafe extern "C" {
    fn prctl(option: i32, signal: usize) -> i32;
}
const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: usize = 9;

fn spawn(settings: &Path, log: &Path) -> io::Result<Child> {
    let words = command()?;
    let file = File::create(log)?;
    let mut command = Command::new(&words[0]);
    // SAFETY: `prctl` may be called between fork and exec.
    unsafe {
        command.pre_exec(|| match prctl(PR_SET_PDEATHSIG, SIGKILL) {
            0 => Ok(()),
            _ => Err(io::Error::last_os_error()),
        });
    }
    command
        .args(&words[1..])
        .env_clear()
        .env("PATH", std::env::var_os("PATH").unwrap_or_default())
        .env("HYSSOPPASS_CONFIG", settings)
        .stdin(Stdio::null())
        .stdout(file.try_clone()?)
        .stderr(file)
        .spawn()
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.end();
    }
}
