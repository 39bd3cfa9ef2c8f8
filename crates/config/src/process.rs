//! Settings of one process: who it is, where it listens, whom it asks.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use crate::fault::Faults;
use crate::reader::{self, Reader, Section};
use crate::unit;

/// Log level of a process that names none.
pub const LOG_LEVEL: &str = "info";

/// Most slots an agent may have; more is a typing error.
pub const SLOTS_MAX: u32 = 4096;

const LEVELS: [&str; 5] = ["error", "warn", "info", "debug", "trace"];
const LABEL: &str = "a DNS label: lower-case letters, digits, hyphens";
const ADDRESS: &str = "IP:PORT";
const URL: &str = "http://IP:PORT";

/// Settings of one process.
#[derive(Debug, Clone, PartialEq)]
pub struct Process {
    /// Name of its VM, a DNS label.
    pub vm: String,
    /// Its data centre.
    pub data_centre: String,
    /// IP and UDP port for the system's own processes.
    pub listen: SocketAddr,
    /// IP and TCP port: callers and health for a router, health for an agent.
    pub http: SocketAddr,
    /// error, warn, info, debug or trace.
    pub log_level: String,
    /// Certificates.
    pub tls: Tls,
    /// The platform.
    pub platform: Platform,
    /// Only for an agent.
    pub backend: Option<Backend>,
}

/// Certificate files (PEM).
#[derive(Debug, Clone, PartialEq)]
pub struct Tls {
    /// The fleet's authority.
    pub authority: PathBuf,
    /// This VM's certificate.
    pub certificate: PathBuf,
    /// Its key.
    pub key: PathBuf,
}

/// Addresses of the platform, each `http://IP:PORT`.
#[derive(Debug, Clone, PartialEq)]
pub struct Platform {
    /// Log service.
    pub log: String,
    /// VM list.
    pub vms: String,
    /// Weight store; agents of engines need it to check an order.
    pub weights: String,
}

/// What stands beside an agent.
#[derive(Debug, Clone, PartialEq)]
pub struct Backend {
    /// What it is.
    pub kind: Kind,
    /// `http://IP:PORT`.
    pub address: String,
    /// Requests the agent lets in at once.
    pub slots: u32,
}

/// Kind of backend server.
#[derive(Debug, Clone, PartialEq)]
pub enum Kind {
    /// A model engine; it says itself which layers it holds.
    Engine,
    /// A plain service, by its name in the fleet settings.
    Service(String),
}

/// Reads and checks a settings file. Relative paths of `[tls]` are taken from the file's folder.
///
/// ```
/// let faults = config::process::load(std::path::Path::new("no-such-file.ini")).unwrap_err();
/// assert_eq!(faults.list.len(), 1);
/// ```
pub fn load(path: &Path) -> Result<Process, Faults> {
    let file = path.display().to_string();
    let text = reader::text(path)?;
    let mut process = parse(&file, &text)?;
    let folder = path.parent().unwrap_or(Path::new(""));
    let tls = &mut process.tls;
    for pem in [&mut tls.authority, &mut tls.certificate, &mut tls.key] {
        // Joining an absolute path keeps it as it is.
        *pem = folder.join(&*pem);
    }
    Ok(process)
}

/// Reads and checks a file's text; `file` names it in faults. Paths stay as they are written.
///
/// ```
/// assert!(config::process::parse("router.ini", "[process]\nvm = entry-1\n").is_err());
/// ```
pub fn parse(file: &str, text: &str) -> Result<Process, Faults> {
    let (mut rdr, mut sections) = Reader::open(file, text);
    for section in &sections {
        match section.title.as_str() {
            "process" | "tls" | "platform" | "backend" => {}
            title => rdr.fault(title, "", "an unknown section", SECTIONS),
        }
    }
    for title in ["process", "tls", "platform"] {
        if !sections.iter().any(|s| s.title == title) {
            rdr.fault(title, "", "nothing", "this section is needed");
        }
    }
    let process = process(&mut rdr, &mut sections);
    rdr.finish(process)
}

const SECTIONS: &str = "process, tls, platform, backend";

fn process(rdr: &mut Reader, sections: &mut [Section]) -> Option<Process> {
    let mut tls = None;
    let mut platform = None;
    let mut backend = None;
    let mut own = None;
    for section in sections {
        match section.title.as_str() {
            "process" => own = Some(identity(rdr, section)),
            "tls" => tls = read_tls(rdr, section),
            "platform" => platform = read_platform(rdr, section),
            "backend" => backend = read_backend(rdr, section),
            _ => {}
        }
    }
    let (vm, data_centre, listen, http, log_level) = own?;
    Some(Process {
        vm: vm?,
        data_centre: data_centre?,
        listen: listen?,
        http: http?,
        log_level: log_level.unwrap_or_else(|| LOG_LEVEL.to_string()),
        tls: tls?,
        platform: platform?,
        backend,
    })
}

type Identity =
    (Option<String>, Option<String>, Option<SocketAddr>, Option<SocketAddr>, Option<String>);

fn identity(rdr: &mut Reader, section: &mut Section) -> Identity {
    let vm = rdr.need(section, "vm", LABEL, label);
    let data_centre = rdr.need(section, "data-centre", LABEL, label);
    let listen = rdr.need(section, "listen", ADDRESS, |v| v.parse().ok());
    let http = rdr.need(section, "http", ADDRESS, |v| v.parse().ok());
    let level = rdr.get(section, "log-level", "error, warn, info, debug, trace", |v| {
        LEVELS.contains(&v).then(|| v.to_string())
    });
    rdr.close(section, "vm, data-centre, listen, http, log-level");
    (vm, data_centre, listen, http, level)
}

fn read_tls(rdr: &mut Reader, section: &mut Section) -> Option<Tls> {
    let pem = |v: &str| (!v.is_empty()).then(|| PathBuf::from(v));
    let authority = rdr.need(section, "authority", "a PEM file", pem);
    let certificate = rdr.need(section, "certificate", "a PEM file", pem);
    let key = rdr.need(section, "key", "a PEM file", pem);
    rdr.close(section, "authority, certificate, key");
    Some(Tls { authority: authority?, certificate: certificate?, key: key? })
}

fn read_platform(rdr: &mut Reader, section: &mut Section) -> Option<Platform> {
    let log = rdr.need(section, "log", URL, url);
    let vms = rdr.need(section, "vms", URL, url);
    let weights = rdr.need(section, "weights", URL, url);
    rdr.close(section, "log, vms, weights");
    Some(Platform { log: log?, vms: vms?, weights: weights? })
}

fn read_backend(rdr: &mut Reader, section: &mut Section) -> Option<Backend> {
    let kind = rdr.need(section, "kind", "engine, service NAME", kind);
    let address = rdr.need(section, "address", URL, url);
    let allowed = format!("a count from 1 to {SLOTS_MAX}");
    let slots = rdr.need(section, "slots", &allowed, |v| {
        unit::count(v).filter(|n| (1..=SLOTS_MAX).contains(n))
    });
    rdr.close(section, "kind, address, slots");
    Some(Backend { kind: kind?, address: address?, slots: slots? })
}

fn label(value: &str) -> Option<String> {
    unit::is_label(value).then(|| value.to_string())
}

fn url(value: &str) -> Option<String> {
    let address: SocketAddr = value.strip_prefix("http://")?.parse().ok()?;
    (address.port() > 0).then(|| value.to_string())
}

fn kind(value: &str) -> Option<Kind> {
    match value.split_whitespace().collect::<Vec<_>>()[..] {
        ["engine"] => Some(Kind::Engine),
        ["service", name] if unit::is_label(name) => Some(Kind::Service(name.to_string())),
        _ => None,
    }
}
