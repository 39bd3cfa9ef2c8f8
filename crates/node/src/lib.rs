//! The parts that all daemons share: settings in force, links to peers, the VM list, logs, metrics,
//! health pages, a trace of requests, and stopping.

pub mod daemon;
pub mod health;
pub mod liveness;
pub mod logs;
pub mod metrics;
pub mod peers;
pub mod quarantine;
pub mod serve;
pub mod settings;
pub mod stop;
pub mod trace;
pub mod traffic;
pub mod vms;

use std::path::Path;
use std::sync::Arc;

use config::process::Process;
use derive_more::Display;
use wire::id;

/// Why a daemon can't start, and at which step.
#[derive(Debug, Display, derive_more::Error)]
#[display("start step '{step}': {reason}")]
pub struct Error {
    /// Step that failed.
    pub step: &'static str,
    /// Why it failed.
    pub reason: String,
}

impl Error {
    /// Creates the error of a step.
    ///
    /// ```
    /// assert_eq!(node::Error::new("bind", "in use").to_string(), "start step 'bind': in use");
    /// ```
    pub fn new(step: &'static str, reason: impl ToString) -> Error {
        Error { step, reason: reason.to_string() }
    }
}

/// The shared parts of a running daemon.
#[derive(Debug)]
pub struct Node {
    /// Settings of this process.
    pub process: Process,
    /// Number of this start of the process; differs at each start.
    pub incarnation: id::Incarnation,
    /// Links to other processes of the system.
    pub peers: peers::Peers,
    /// Fleet settings in force.
    pub settings: settings::Watch,
    /// The VM list as last read.
    pub vms: vms::Watch,
    /// Events of recent requests.
    pub trace: trace::Trace,
    /// Raised when all tasks have to stop accepting new work.
    pub stop: stop::Stop,
    /// Requests that crash engines.
    pub quarantine: Arc<quarantine::Quarantine>,
    /// Metrics.
    pub metrics: metrics::Metrics,
}

/// Reads the settings file of a process; the error lists its faults.
pub fn load_process(file: &Path) -> Result<Process, Error> {
    config::process::load(file).map_err(|e| Error::new("read settings", e))
}

/// Binds the port for links and starts the tasks that all daemons run.
pub async fn start(process: Process) -> Result<Arc<Node>, Error> {
    let tls = &process.tls;
    let pair = wire::tls::load(&tls.authority, &tls.certificate, &tls.key)
        .map_err(|e| Error::new("load certificates", e))?;
    let endpoint =
        wire::link::bind(process.listen, &pair).map_err(|e| Error::new("bind link port", e))?;
    let peers = peers::Peers::new(endpoint);
    let vms = vms::start(&process.platform.vms);
    let settings = settings::start(&process, peers.clone(), vms.clone());
    let quarantine_settings = settings.clone();
    let metrics = metrics::Metrics::new(&process.vm, settings.clone(), peers.traffic.clone())
        .map_err(|e| Error::new("metrics", e))?;
    Ok(Arc::new(Node {
        incarnation: incarnation(),
        peers,
        settings,
        vms,
        trace: trace::Trace::default(),
        stop: stop::Stop::on_signals(),
        quarantine: quarantine::start(&process, quarantine_settings),
        metrics,
        process,
    }))
}

/// The incarnation of a process that starts now: milliseconds since the Unix epoch. A later start on
/// the same VM has a higher one unless the VM's clock runs backwards; the system only relies on the
/// two being different.
pub fn incarnation() -> id::Incarnation {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.map_or(1, |d| d.as_millis() as u64)
}
