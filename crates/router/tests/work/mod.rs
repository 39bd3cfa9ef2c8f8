//! A small fleet in one process: stand-ins of the platform and the backend servers, two agents and
//! a router.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

use cloud::vm::{Entry, Role, State};
use config::change::Change;
use config::process::{Backend, Kind, Platform, Process, Tls};
use fake::serve::{self, Server};
use rcgen::{BasicConstraints, CertificateParams, IsCa, Issuer, KeyPair};
use serde_json::Value;

/// Number of checks of a condition, 20 ms apart, before a test fails.
const MAX_CHECKS: u32 = 500;

/// Bearer key of the workspace `winery`.
pub const WINERY: &str = "winery-key";

/// Bearer key of the workspace `stadium`.
pub const STADIUM: &str = "stadium-key";

static FLEET_COUNT: AtomicU8 = AtomicU8::new(0);

pub struct Fleet {
    folder: PathBuf,
    pub router: String,
    pub engine: Server,
    _others: Vec<Server>,
}

impl Fleet {
    /// Starts all processes and waits until the fleet serves drafts and orders.
    pub async fn start() -> Fleet {
        let number = FLEET_COUNT.fetch_add(1, Ordering::Relaxed);
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"))
            .join(format!("fleet-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let names = ["entry-1", "gpu-1", "desk-1"];
        certificates(&folder, &names);

        let log = fake::log::Options { rate: 400, retain: 1000 };
        let log = fake::log::start(bind_any_port(), log).unwrap();
        let vms = fake::vms::start(bind_any_port(), fake::vms::Options { lag_ms: 0 }).unwrap();
        let engine = fake::engine::start(bind_any_port(), engine_options()).unwrap();
        let service = fake::service::Options { delay_ms: 0, ledger: None };
        let service = fake::service::start(bind_any_port(), service).unwrap();
        publish(&log.url()).await;

        let processes = processes(&folder, number, [&log, &vms, &engine, &service]);
        for process in &processes {
            list_vm(&vms.url(), process).await;
        }
        let [entry, gpu, desk] = processes;
        let router = format!("http://{}", entry.http);
        tokio::spawn(agent::run(gpu));
        tokio::spawn(agent::run(desk));
        tokio::spawn(router::run(entry));

        let _others = vec![log, vms, service];
        let fleet = Fleet { folder, router, engine, _others };
        fleet.ready().await;
        fleet
    }

    /// A client of the router.
    pub fn client(&self) -> rest::Client {
        rest::Client::new(&self.router, Duration::from_secs(20))
    }

    /// Number of sessions open at the engine.
    pub async fn sessions(&self) -> usize {
        let http = rest::Client::new(&self.engine.url(), Duration::from_secs(5));
        let load: engine::Load = http.get("/v1/load").await.unwrap();
        load.sessions as usize
    }

    async fn ready(&self) {
        let client = self.client();
        wait_until("the router listens", async || {
            client.send("GET", "/livez", &[], Default::default()).await.is_ok()
        })
        .await;
        let draft = r#"{"model":"draft","prompt":"ready","max_tokens":1}"#;
        let order = [header("idempotency-key", "ready")];
        wait_until("the fleet serves drafts and orders", async || {
            post(&client, "/v1/completions", WINERY, &[], draft).await.status == 200
                && post(&client, "/orders/orders", WINERY, &order, "{}").await.status == 201
        })
        .await;
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// A router without agents, whose log service is unavailable.
pub struct LoneRouter {
    folder: PathBuf,
    pub router: String,
    _parts: Vec<Server>,
}

impl LoneRouter {
    /// Starts the router and waits until it listens.
    pub async fn start() -> LoneRouter {
        let number = FLEET_COUNT.fetch_add(1, Ordering::Relaxed);
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"))
            .join(format!("lone-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        certificates(&folder, &["entry-1"]);
        let log = fake::log::start(bind_any_port(), fake::log::Options { rate: 400, retain: 10 })
            .unwrap();
        let vms = fake::vms::start(bind_any_port(), fake::vms::Options { lag_ms: 0 }).unwrap();
        let outage = fake::log::Fault { outage: Some(true), ..Default::default() };
        let control = rest::Client::new(&log.url(), Duration::from_secs(5));
        let _: Value = control.post("/~fake/control", &outage).await.unwrap();
        let [entry, ..] = processes(&folder, number, [&log, &vms, &log, &log]);
        let router = format!("http://{}", entry.http);
        tokio::spawn(router::run(entry));
        let client = rest::Client::new(&router, Duration::from_secs(5));
        wait_until("the router listens", async || {
            client.send("GET", "/livez", &[], Default::default()).await.is_ok()
        })
        .await;
        LoneRouter { folder, router, _parts: vec![log, vms] }
    }
}

impl Drop for LoneRouter {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Waits for a condition, and panics with its name if it does not become true.
pub async fn wait_until(name: &str, condition: impl AsyncFn() -> bool) {
    for _ in 0..MAX_CHECKS {
        if condition().await {
            return;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("condition not met: {name}");
}

pub fn header(name: &str, value: &str) -> (String, String) {
    (name.to_string(), value.to_string())
}

/// Sends a body by POST with a workspace's bearer key.
pub async fn post(
    client: &rest::Client,
    path: &str,
    key: &str,
    headers: &[(String, String)],
    body: impl Into<Vec<u8>>,
) -> rest::Answer {
    let bearer = header("authorization", &format!("Bearer {key}"));
    let headers = [&[bearer], headers].concat();
    client.send("POST", path, &headers, body.into().into()).await.unwrap()
}

fn bind_any_port() -> tokio::net::TcpListener {
    serve::bind(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap()
}

fn engine_options() -> fake::engine::Options {
    fake::engine::Options {
        model: "draft".into(),
        version: 1,
        layers: 4,
        first: 0,
        last: 3,
        slots: 16,
        batch: 8,
        step_us: 500,
        token_us: 10,
        checks_fence: true,
        load_lag_ms: 0,
        prefix_cache: 16,
        weights: None,
        knows: vec![],
    }
}

async fn publish(log: &str) {
    let hash = config::fleet::hash;
    let text = format!(
        "[defaults]\nbody-limit = 64KiB\nmax-tokens = 200\n\
         [model draft]\nversion = 1\nlayers = 4\nranges = 0-3\n\
         [service orders]\nprefix = /orders\n\
         route.1 = GET /orders/* read-only\nroute.2 = POST /orders non-idempotent\n\
         [workspace winery]\nkey-sha256 = {}\n[workspace stadium]\nkey-sha256 = {}\n",
        hash(WINERY),
        hash(STADIUM),
    );
    let change = Change {
        id: "first".into(),
        base: 0,
        author: "test".into(),
        reason: "start".into(),
        text,
        carried: None,
        judged: 0,
    };
    let log = cloud::log::Client::new(log, Duration::from_secs(5));
    let data = serde_json::to_string(&change).unwrap();
    log.append(config::change::STREAM, &data).await.unwrap();
}

/// Each VM has its own loopback address, as in a deployment.
fn processes(folder: &std::path::Path, number: u8, parts: [&Server; 4]) -> [Process; 3] {
    let [log, vms, engine, service] = parts;
    let process = |i: u8, vm: &str, backend: Option<(Kind, &Server)>| {
        let pid = std::process::id();
        // Above the addresses that scenarios use.
        let net = (220 + (pid % 30) as u8, (pid / 30 % 250) as u8);
        let ip = Ipv4Addr::new(127, net.0, net.1, number * 8 + i);
        Process {
            vm: vm.into(),
            data_centre: "almaty-a".into(),
            listen: SocketAddr::new(IpAddr::V4(ip), 7000),
            http: SocketAddr::new(IpAddr::V4(ip), 8000),
            log_level: "warn".into(),
            tls: Tls {
                authority: folder.join("ca.pem"),
                certificate: folder.join(format!("{vm}.pem")),
                key: folder.join(format!("{vm}.key")),
            },
            platform: Platform { log: log.url(), vms: vms.url(), weights: vms.url() },
            backend: backend.map(|(kind, s)| Backend { kind, address: s.url(), slots: 16 }),
        }
    };
    [
        process(1, "entry-1", None),
        process(2, "gpu-1", Some((Kind::Engine, engine))),
        process(3, "desk-1", Some((Kind::Service("orders".into()), service))),
    ]
}

async fn list_vm(vms: &str, process: &Process) {
    let entry = Entry {
        vm: process.vm.clone(),
        role: if process.backend.is_some() { Role::Agent } else { Role::Router },
        data_centre: process.data_centre.clone(),
        address: process.listen.to_string(),
        state: State::Live,
    };
    let http = rest::Client::new(vms, Duration::from_secs(5));
    let path = format!("/v1/vms/{}", entry.vm);
    let _: serde_json::Value = http.json("PUT", &path, &entry).await.unwrap();
}

fn certificates(folder: &std::path::Path, names: &[&str]) {
    let mut authority = CertificateParams::default();
    authority.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    let ca_key = KeyPair::generate().unwrap();
    let ca = authority.self_signed(&ca_key).unwrap();
    std::fs::write(folder.join("ca.pem"), ca.pem()).unwrap();
    let issuer = Issuer::from_params(&authority, &ca_key);
    for name in names {
        let key = KeyPair::generate().unwrap();
        let params = CertificateParams::new(vec![name.to_string()]).unwrap();
        let cert = params.signed_by(&key, &issuer).unwrap();
        std::fs::write(folder.join(format!("{name}.pem")), cert.pem()).unwrap();
        std::fs::write(folder.join(format!("{name}.key")), key.serialize_pem()).unwrap();
    }
}
