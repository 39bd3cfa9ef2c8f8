//! Settings of the process: an INI file that the platform writes from our template.

use std::net::SocketAddr;
use std::path::Path;
use std::str::FromStr;
use std::time::Duration;

use derive_more::{Display, Error};
use ini::Ini;

use crate::record;

/// Reasons why the settings can't be used.
#[derive(Debug, Display, Error)]
#[display("{}", _0.join("; "))]
pub struct Fault(#[error(not(source))] Vec<String>);

/// Settings of the process.
#[derive(Debug, Clone, PartialEq)]
pub struct Setup {
    /// Name of the VM.
    pub vm: String,
    /// Its data centre.
    pub zone: String,
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Where the load balancer checks whether to send callers.
    pub ready: SocketAddr,
    /// Where metrics are served.
    pub metrics: Option<SocketAddr>,
    /// Where other routers reach this one.
    pub inner: Option<SocketAddr>,
    /// The platform's store.
    pub store: SocketAddr,
    /// Partitions of each of the store's topics.
    pub store_parts: u32,
    /// Time within which a change in the store has to be in force.
    pub in_force: Duration,
    /// Time between two writes of a server's entry in the list.
    pub heartbeat: Duration,
    /// Time between a stop signal and the end of the process.
    pub grace: Duration,
    /// Retries that a service may get, as a share of its requests.
    pub retry_ratio: f64,
    /// Retries that a service may get in addition to that share in one window, from all routers.
    pub retry_slack: f64,
    /// Length of that window.
    pub retry_window: Duration,
    /// Memory of the VM, in bytes.
    pub memory: u64,
    /// Number of file descriptors of the process.
    pub descriptors: u32,
    /// Share of a core that the VM has; none if that is not known.
    pub processor: Option<f64>,
    /// Rate of the VM's link in Mbit/s; none if that is not known.
    pub link_mbps: Option<f64>,
    /// Whether all routers start for the first time, so that this one has no predecessor.
    pub first_start: bool,
}

/// Time between two writes of a server's entry, if the settings name none.
const DEFAULT_HEARTBEAT: Duration = Duration::from_millis(1200);

/// Time within which a change has to be in force, if the settings name none.
const DEFAULT_IN_FORCE: Duration = Duration::from_millis(2000);

/// Processor time that a router needs for each other one that it reads for, as a share of a core.
const CORE_PER_ROUTER: f64 = 0.001;

/// Memory that a router needs for each other one that it reads for, in bytes.
const MEMORY_BYTES_PER_ROUTER: u64 = 1 << 20;

/// Rate at which a router sends to each other one that it reads for, in Mbit/s.
const LINK_MBPS_PER_ROUTER: f64 = 0.1;

/// Parses values and collects all faults, so that an operator sees them at once.
struct Parser<'a> {
    file: &'a Ini,
    faults: Vec<String>,
}

impl Parser<'_> {
    fn get<T: FromStr + Default>(&mut self, section: &str, key: &str, allowed: &str) -> T {
        match self.file.get_from(Some(section), key).map(str::trim) {
            Some(found) => found.parse().unwrap_or_else(|_| {
                self.faults
                    .push(format!("[{section}] {key}: found `{found}`, allowed is {allowed}"));
                T::default()
            }),
            None => {
                self.faults.push(format!("[{section}] {key}: missing, allowed is {allowed}"));
                T::default()
            }
        }
    }

    /// Parses a time in seconds.
    fn seconds(&mut self, section: &str, key: &'static str) -> Duration {
        let seconds = self.get::<f64>(section, key, "a number");
        record::millis(key, seconds * 1e3).unwrap_or_else(|why| {
            self.faults.push(format!("[{section}] {why}"));
            Duration::ZERO
        })
    }

    /// Parses an optional time in milliseconds.
    fn optional_millis(&mut self, section: &str, key: &'static str) -> Option<Duration> {
        let ms = self.optional_number(section, key)?;
        let time =
            record::millis(key, ms).map_err(|why| self.faults.push(format!("[{section}] {why}")));
        time.ok().filter(|time| !time.is_zero())
    }

    /// Returns the shorter of the times within which settings and the leaving of servers have to be in force.
    fn in_force(&mut self) -> Duration {
        let times = ["settings-in-force-ms", "servers-in-force-ms"];
        let times = times.map(|key| self.optional_millis("store", key));
        times.into_iter().flatten().min().unwrap_or(DEFAULT_IN_FORCE)
    }

    /// Parses an optional number.
    fn optional_number(&mut self, section: &str, key: &str) -> Option<f64> {
        let text = self.file.get_from(Some(section), key)?.trim();
        (!text.is_empty()).then(|| self.get::<f64>(section, key, "a number")).map(|n| n.max(0.0))
    }

    /// Parses an optional flag.
    fn flag(&mut self, section: &str, key: &str) -> bool {
        let text = self.file.get_from(Some(section), key).map_or("", str::trim);
        !text.is_empty() && self.get(section, key, "true or false")
    }

    fn address(&mut self, section: &str, key: &str) -> SocketAddr {
        let text: String = self.get(section, key, "an address such as 127.0.0.1:8080");
        text.parse().unwrap_or_else(|_| {
            self.faults.push(format!("[{section}] {key}: found `{text}`, allowed is IP:PORT"));
            SocketAddr::from(([0, 0, 0, 0], 0))
        })
    }
}

impl Setup {
    /// Returns the number of other routers that this VM can read the store for.
    ///
    /// ```
    /// # let text = "[process]\nvm=v\ndata-centre=a\nlisten=127.0.0.1:1\nready=127.0.0.1:2\ngrace-s=8\n\
    /// #     memory-mb=160\ndescriptors=4000\nprocessor=0.09\nlink-mbps=20\n\
    /// #     [store]\naddress=127.0.0.1:3\nparts=12\n[retries]\nratio=0.2\nslack=196\nwindow-s=10\n";
    /// let small = gateway::setup::Setup::parse(text).unwrap();
    /// assert_eq!(small.strength(), 90);
    /// ```
    pub fn strength(&self) -> u32 {
        let processor = self.processor.unwrap_or_default() / CORE_PER_ROUTER;
        let link = self.link_mbps.unwrap_or_default() / LINK_MBPS_PER_ROUTER;
        let memory = (self.memory / MEMORY_BYTES_PER_ROUTER) as f64;
        processor.min(link).min(memory).round() as u32
    }

    /// Loads and checks a file.
    pub fn load(path: &Path) -> Result<Setup, Fault> {
        let file = Ini::load_from_file(path)
            .map_err(|e| Fault(vec![format!("{}: {e}", path.display())]))?;
        Setup::read(&file)
    }

    /// Parses and checks the text of a file.
    pub fn parse(text: &str) -> Result<Setup, Fault> {
        let file = Ini::load_from_str(text).map_err(|e| Fault(vec![e.to_string()]))?;
        Setup::read(&file)
    }

    fn read(file: &Ini) -> Result<Setup, Fault> {
        let mut p = Parser { file, faults: Vec::new() };
        let number = "a number";
        let setup = Setup {
            vm: p.get("process", "vm", "a name"),
            zone: p.get("process", "data-centre", "a name"),
            listen: p.address("process", "listen"),
            ready: p.address("process", "ready"),
            metrics: file
                .get_from(Some("process"), "metrics")
                .filter(|text| !text.is_empty())
                .map(|_| p.address("process", "metrics")),
            inner: file
                .get_from(Some("process"), "inner")
                .filter(|text| !text.is_empty())
                .map(|_| p.address("process", "inner")),
            store: p.address("store", "address"),
            store_parts: p.get("store", "parts", "a whole number"),
            in_force: p.in_force(),
            heartbeat: p.optional_millis("store", "heartbeat-ms").unwrap_or(DEFAULT_HEARTBEAT),
            grace: p.seconds("process", "grace-s"),
            retry_ratio: p.get("retries", "ratio", number),
            retry_slack: p.get("retries", "slack", number),
            retry_window: p.seconds("retries", "window-s"),
            memory: p.get::<u64>("process", "memory-mb", "a whole number") << 20,
            descriptors: p.get("process", "descriptors", "a whole number"),
            processor: p.optional_number("process", "processor"),
            link_mbps: p.optional_number("process", "link-mbps"),
            first_start: p.flag("process", "first-start"),
        };
        match p.faults.is_empty() {
            true => Ok(setup),
            false => Err(Fault(p.faults)),
        }
    }
}
