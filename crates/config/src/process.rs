//! Settings of one process: its identity, its addresses, and the services that it uses.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use crate::fault::Faults;
use crate::reader::{self, Reader, Section};
use crate::unit;

/// Log level of a process whose settings give none.
pub const LOG_LEVEL: &str = "info";

/// Largest number of slots of an agent; a larger number is treated as a typing error.
pub const SLOTS_MAX: u32 = 4096;

const LOG_LEVELS: [&str; 5] = ["error", "warn", "info", "debug", "trace"];
const ALLOWED_LABEL: &str = "a DNS label: lower-case letters, digits, hyphens";
const ALLOWED_ADDRESS: &str = "IP:PORT";
const ALLOWED_URL: &str = "http://IP:PORT";

/// Settings of one process.
#[derive(Debug, Clone, PartialEq)]
pub struct Process {
    /// Name of the VM, a DNS label.
    pub vm: String,
    /// Data centre of the VM, a DNS label.
    pub data_centre: String,
    /// IP address and UDP port for connections from other processes of the fleet.
    pub listen: SocketAddr,
    /// IP address and TCP port for callers (routers only) and health checks.
    pub http: SocketAddr,
    /// `error`, `warn`, `info`, `debug` or `trace`.
    pub log_level: String,
    /// Certificate files.
    pub tls: Tls,
    /// Addresses of the platform's services.
    pub platform: Platform,
    /// Backend server of an agent; `None` for a router.
    pub backend: Option<Backend>,
}

/// Certificate files (PEM).
#[derive(Debug, Clone, PartialEq)]
pub struct Tls {
    /// Certificate of the fleet's authority.
    pub authority: PathBuf,
    /// Certificate of this VM.
    pub certificate: PathBuf,
    /// Private key of this VM.
    pub key: PathBuf,
}

/// Addresses of the platform's services, each `http://IP:PORT`.
#[derive(Debug, Clone, PartialEq)]
pub struct Platform {
    /// Log service.
    pub log: String,
    /// VM list.
    pub vms: String,
    /// Weight store; agents of engines use it to check an order.
    pub weights: String,
}

/// Backend server of an agent.
#[derive(Debug, Clone, PartialEq)]
pub struct Backend {
    /// Kind of server.
    pub kind: Kind,
    /// Address as `http://IP:PORT`.
    pub address: String,
    /// Limit of concurrent requests.
    pub slots: u32,
}

/// Kind of backend server.
#[derive(Debug, Clone, PartialEq)]
pub enum Kind {
    /// A model engine, which reports the layers that it holds.
    Engine,
    /// A plain service, given by its name in the fleet settings.
    Service(String),
}

/// Reads and checks a settings file. Relative paths in `[tls]` are resolved against the
/// folder of the file.
///
/// ```
/// let faults = config::process::load(std::path::Path::new("no-such-file.ini")).unwrap_err();
/// assert_eq!(faults.list.len(), 1);
/// ```
pub fn load(path: &Path) -> Result<Process, Faults> {
    let file = path.display().to_string();
    let text = reader::read_file(path)?;
    let mut process = parse(&file, &text)?;
    let folder = path.parent().unwrap_or(Path::new(""));
    let tls = &mut process.tls;
    for pem in [&mut tls.authority, &mut tls.certificate, &mut tls.key] {
        // Joining an absolute path leaves it unchanged.
        *pem = folder.join(&*pem);
    }
    Ok(process)
}

/// Reads and checks a file's text; `file` names it in faults. Paths are not resolved.
///
/// ```
/// assert!(config::process::parse("router.ini", "[process]\nvm = entry-1\n").is_err());
/// ```
pub fn parse(file: &str, text: &str) -> Result<Process, Faults> {
    let (mut rdr, mut sections) = Reader::parse(file, text);
    for section in &sections {
        match section.title.as_str() {
            "process" | "tls" | "platform" | "backend" => {}
            title => rdr.record_fault(title, "", "an unknown section", ALLOWED_SECTIONS),
        }
    }
    for title in ["process", "tls", "platform"] {
        if !sections.iter().any(|s| s.title == title) {
            rdr.record_fault(title, "", "nothing", "this section is needed");
        }
    }
    let process = process(&mut rdr, &mut sections);
    rdr.finish(process)
}

const ALLOWED_SECTIONS: &str = "process, tls, platform, backend";

fn process(rdr: &mut Reader, sections: &mut [Section]) -> Option<Process> {
    let mut tls = None;
    let mut platform = None;
    let mut backend = None;
    let mut identity = None;
    for section in sections {
        match section.title.as_str() {
            "process" => identity = Some(read_identity(rdr, section)),
            "tls" => tls = read_tls(rdr, section),
            "platform" => platform = read_platform(rdr, section),
            "backend" => backend = read_backend(rdr, section),
            _ => {}
        }
    }
    let (vm, data_centre, listen, http, log_level) = identity?;
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

fn read_identity(rdr: &mut Reader, section: &mut Section) -> Identity {
    let vm = rdr.require(section, "vm", ALLOWED_LABEL, label);
    let data_centre = rdr.require(section, "data-centre", ALLOWED_LABEL, label);
    let listen = rdr.require(section, "listen", ALLOWED_ADDRESS, |v| v.parse().ok());
    let http = rdr.require(section, "http", ALLOWED_ADDRESS, |v| v.parse().ok());
    let level = rdr.optional(section, "log-level", "error, warn, info, debug, trace", |v| {
        LOG_LEVELS.contains(&v).then(|| v.to_string())
    });
    rdr.reject_unknown_keys(section, "vm, data-centre, listen, http, log-level");
    (vm, data_centre, listen, http, level)
}

fn read_tls(rdr: &mut Reader, section: &mut Section) -> Option<Tls> {
    let pem = |v: &str| (!v.is_empty()).then(|| PathBuf::from(v));
    let authority = rdr.require(section, "authority", "a PEM file", pem);
    let certificate = rdr.require(section, "certificate", "a PEM file", pem);
    let key = rdr.require(section, "key", "a PEM file", pem);
    rdr.reject_unknown_keys(section, "authority, certificate, key");
    Some(Tls { authority: authority?, certificate: certificate?, key: key? })
}

fn read_platform(rdr: &mut Reader, section: &mut Section) -> Option<Platform> {
    let log = rdr.require(section, "log", ALLOWED_URL, url);
    let vms = rdr.require(section, "vms", ALLOWED_URL, url);
    let weights = rdr.require(section, "weights", ALLOWED_URL, url);
    rdr.reject_unknown_keys(section, "log, vms, weights");
    Some(Platform { log: log?, vms: vms?, weights: weights? })
}

fn read_backend(rdr: &mut Reader, section: &mut Section) -> Option<Backend> {
    let kind = rdr.require(section, "kind", "engine, service NAME", kind);
    let address = rdr.require(section, "address", ALLOWED_URL, url);
    let allowed = format!("a count from 1 to {SLOTS_MAX}");
    let slots = rdr.require(section, "slots", &allowed, |v| {
        unit::count(v).filter(|n| (1..=SLOTS_MAX).contains(n))
    });
    rdr.reject_unknown_keys(section, "kind, address, slots");
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
