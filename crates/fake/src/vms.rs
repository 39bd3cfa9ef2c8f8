//! The VM list, which shows changes with a delay.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use cloud::vm::{Entry, Id};
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;

use crate::serve::{self, Call, Reply, Server};

/// Maximum number of changes that are not visible yet; beyond it the oldest becomes visible early.
const MAX_PENDING_CHANGES: usize = 100_000;

/// Command-line options of the VM list.
#[derive(Debug, Clone, clap::Args)]
pub struct Options {
    /// Delay after which a change becomes visible, in milliseconds.
    #[arg(long, default_value_t = 0)]
    pub lag_ms: u64,
}

/// Faults of the VM list; an omitted field keeps its value.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Fault {
    /// Delay after which a change becomes visible, in milliseconds.
    pub lag_ms: Option<u64>,
    /// Answers every read with 503.
    pub outage: Option<bool>,
    /// Share of the VMs that the list omits, in order of name, 0 to 1.
    pub hide: Option<f64>,
}

/// Contents and counters of the VM list.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Stats {
    /// VMs as last set, without the delay.
    pub vms: Vec<Entry>,
    /// Number of reads answered.
    pub reads: u64,
}

enum Change {
    Put(Entry),
    Remove(Id),
}

struct List {
    lag: Duration,
    outage: bool,
    hide: f64,
    visible: Vec<Entry>,
    pending: VecDeque<(Instant, Change)>,
    stats: Stats,
}

/// Serves a VM list on `listener`.
pub fn start(listener: TcpListener, options: Options) -> std::io::Result<Server> {
    let list = Arc::new(Mutex::new(List {
        lag: Duration::from_millis(options.lag_ms),
        outage: false,
        hide: 0.0,
        visible: Vec::new(),
        pending: VecDeque::new(),
        stats: Stats::default(),
    }));
    serve::start(listener, move |call| {
        let reply = route(&mut serve::lock(&list), &call);
        async move { reply.unwrap_or_else(|refusal| refusal) }
    })
}

fn route(list: &mut List, call: &Call) -> Result<Reply, Reply> {
    match (call.method.as_str(), call.segments().as_slice()) {
        ("GET", ["v1", "vms"]) if list.outage => Err(Reply::error(503, "outage")),
        ("GET", ["v1", "vms"]) => {
            apply_due_changes(list, Instant::now());
            list.stats.reads += 1;
            let hidden = (list.visible.len() as f64 * list.hide).round() as usize;
            Ok(Reply::tagged(call, &&list.visible[hidden.min(list.visible.len())..]))
        }
        ("PUT", ["v1", "vms", vm]) => {
            let entry: Entry = call.json()?;
            match entry.vm == *vm {
                true => Ok(record_change(list, Change::Put(entry))),
                false => Err(Reply::error(400, "the entry names another VM")),
            }
        }
        ("DELETE", ["v1", "vms", vm]) => Ok(record_change(list, Change::Remove(vm.to_string()))),
        ("GET", ["~fake", "books"]) => Ok(Reply::json(200, &list.stats)),
        ("POST", ["~fake", "control"]) => {
            let fault: Fault = call.json()?;
            list.lag = fault.lag_ms.map_or(list.lag, Duration::from_millis);
            list.outage = fault.outage.unwrap_or(list.outage);
            list.hide = fault.hide.unwrap_or(list.hide);
            Ok(Reply::ok())
        }
        _ => Err(Reply::error(404, "no such path")),
    }
}

fn record_change(list: &mut List, change: Change) -> Reply {
    let now = Instant::now();
    apply(&mut list.stats.vms, &change);
    list.pending.push_back((now, change));
    apply_due_changes(list, now);
    Reply::ok()
}

fn apply_due_changes(list: &mut List, now: Instant) {
    while let Some((at, change)) = list.pending.pop_front() {
        if now < at + list.lag && list.pending.len() < MAX_PENDING_CHANGES {
            list.pending.push_front((at, change));
            return;
        }
        apply(&mut list.visible, &change);
    }
}

fn apply(vms: &mut Vec<Entry>, change: &Change) {
    let find = |vms: &[Entry], vm: &Id| vms.binary_search_by(|e| e.vm.cmp(vm));
    match change {
        Change::Put(entry) => match find(vms, &entry.vm) {
            Ok(i) => vms[i] = entry.clone(),
            Err(i) => vms.insert(i, entry.clone()),
        },
        Change::Remove(vm) => {
            if let Ok(i) = find(vms, vm) {
                vms.remove(i);
            }
        }
    }
}
