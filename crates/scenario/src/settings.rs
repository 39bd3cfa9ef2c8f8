//! Settings files of a scenario's fleet.

use std::fmt::Write;
use std::net::IpAddr;

use sha2::{Digest, Sha256};

use crate::model;
use crate::script;

/// UDP port of each daemon.
pub const LINK_PORT: u16 = 7000;
/// UDP port of the relay in front of a daemon.
pub const RELAY_PORT: u16 = 7001;
/// HTTP port of each daemon.
pub const HTTP_PORT: u16 = 8000;
/// HTTP port of each backend server.
pub const BACKEND_PORT: u16 = 9100;

/// Base URLs of the platform's stand-ins, each `http://IP:PORT`.
#[derive(Debug, Clone)]
pub struct Platform {
    /// Log service.
    pub log: String,
    /// VM list.
    pub vms: String,
    /// Weight store.
    pub weights: String,
    /// Relays of the links.
    pub links: String,
    /// Service that holds the ledger of the plain services.
    pub ledger: String,
}

/// Kind of backend server, as in the process settings, and its slots; `None` for a router.
pub type Backend<'a> = Option<(&'a str, u32)>;

/// Returns the settings of a daemon.
pub fn process(
    vm: &str,
    data_centre: &str,
    ip: IpAddr,
    level: &str,
    platform: &Platform,
    backend: Backend<'_>,
) -> String {
    let mut text = format!(
        "[process]\nvm = {vm}\ndata-centre = {data_centre}\nlisten = {ip}:{LINK_PORT}\n\
         http = {ip}:{HTTP_PORT}\nlog-level = {level}\n\n\
         [tls]\nauthority = ca.pem\ncertificate = {vm}.pem\nkey = {vm}.key\n\n\
         [platform]\nlog = {}\nvms = {}\nweights = {}\n",
        platform.log, platform.vms, platform.weights
    );
    if let Some((kind, slots)) = backend {
        let _ = write!(
            text,
            "\n[backend]\nkind = {kind}\naddress = http://{ip}:{BACKEND_PORT}\nslots = {slots}\n"
        );
    }
    text
}

/// Returns the name of a workspace; `number` counts from 1.
pub fn workspace(number: usize) -> String {
    format!("desk-{number}")
}

/// Returns the bearer key of a workspace; `number` counts from 1.
pub fn key(number: usize) -> String {
    format!("scenario-key-of-desk-{number}")
}

/// Returns the settings of the fleet. `fenced` names the VMs whose engines check fencing numbers.
pub fn fleet(plan: &script::Fleet, fenced: &[String]) -> String {
    let ranges: Vec<String> = plan.ranges.iter().map(|r| format!("{}-{}", r.low, r.high)).collect();
    let mut text = format!(
        "[defaults]\nobjective = {}\ndeadline = 30s\nstep-timeout = 1s\nreport-interval = 250ms\n",
        plan.objective
    );
    for setting in &plan.settings {
        text = with_default(&text, setting);
    }
    let _ = write!(
        text,
        "\n[model {}]\nversion = {}\nlayers = {}\nranges = {}\n",
        model::NAME,
        model::VERSION,
        layers(plan),
        ranges.join(", ")
    );
    for n in 1..=plan.workspaces {
        let hash = Sha256::digest(key(n).as_bytes());
        let hex: String = hash.iter().map(|b| format!("{b:02x}")).collect();
        let _ = write!(
            text,
            "\n[workspace {}]\nkey-sha256 = {hex}\nshare = 1\npriority = 5\n",
            workspace(n)
        );
    }
    let _ = write!(
        text,
        "\n[service orders]\nprefix = /orders\nroute.1 = GET /orders/* read-only\n\
         route.2 = POST /orders {}\n",
        plan.orders_class
    );
    if !fenced.is_empty() {
        let _ = write!(text, "\n[engines]\ncheck-fence = {}\n", fenced.join(", "));
    }
    text
}

/// Returns `text` with one default changed or added; `setting` is KEY=VALUE.
///
/// ```
/// let text = scenario::settings::with_default("[defaults]\ndeadline = 30s\n", "deadline=20s");
/// assert_eq!(text, "[defaults]\ndeadline = 20s\n");
/// ```
pub fn with_default(text: &str, setting: &str) -> String {
    let (key, value) = setting.split_once('=').unwrap_or((setting, ""));
    let (key, value) = (key.trim(), value.trim());
    let mut out = String::new();
    for line in text.lines() {
        let same = line.split_once('=').is_some_and(|(k, _)| k.trim() == key);
        if !same {
            out.push_str(line);
            out.push('\n');
        }
        if line == "[defaults]" {
            let _ = writeln!(out, "{key} = {value}");
        }
    }
    out
}

/// Returns the number of layers of the model, which the ranges cover.
pub fn layers(plan: &script::Fleet) -> u32 {
    plan.ranges.iter().map(|r| r.high + 1).max().unwrap_or(0)
}
