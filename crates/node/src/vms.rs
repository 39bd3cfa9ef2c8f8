//! The VM list, read at regular intervals. If it can't be read, the last one stays valid, and VMs that
//! are missing from it are not removed at once.

use std::sync::Arc;
use std::time::Duration;

use cloud::vm::{Client, Entry, State};
use tokio::sync::watch;
use tokio::time::Instant;

/// Pause between two reads: a leaving VM is noticed within this time plus the list's own lag.
pub const READ_INTERVAL: Duration = Duration::from_millis(500);

/// How long a VM that is missing from the list still counts as leaving. Longer than the usual time to
/// drain, so that connections to it stay open until its work is done.
pub const MISSING_VM_GRACE: Duration = Duration::from_secs(60);

/// The list as last read.
pub type Watch = watch::Receiver<Arc<Vec<Entry>>>;

#[derive(Debug, Clone)]
struct Tracked {
    entry: Entry,
    /// When the list first lacked it.
    missing_since: Option<Instant>,
}

/// The VMs in use, updated after each read of the list.
///
/// A list that suddenly lacks most VMs is far more often an error of the platform than a loss of most
/// VMs: if it were applied, every request would be refused and every connection closed while all
/// backend servers run. The missing VMs are kept as they were; those that are really gone can't be
/// reached and get no work.
#[derive(Debug, Clone, Default)]
pub struct Inventory {
    /// Sorted by VM.
    vms: Vec<Tracked>,
    /// True if the last list lacked more than half of the VMs.
    implausible: bool,
}

impl Inventory {
    /// Applies a list, in order of name, read at `now`.
    ///
    /// ```
    /// use tokio::time::Instant;
    /// let mut inventory = node::vms::Inventory::default();
    /// inventory.update(&[], Instant::now());
    /// assert!(inventory.entries().is_empty());
    /// ```
    pub fn update(&mut self, list: &[Entry], now: Instant) {
        let find = |vm: &str| {
            let at = list.binary_search_by(|e| e.vm.as_str().cmp(vm));
            at.ok().map(|i| &list[i])
        };
        let present = self.vms.iter().filter(|v| v.missing_since.is_none());
        let absent = present.clone().filter(|v| find(&v.entry.vm).is_none()).count();
        self.check_plausible(absent, present.count());
        for tracked in &mut self.vms {
            match find(&tracked.entry.vm) {
                Some(entry) => *tracked = Tracked { entry: entry.clone(), missing_since: None },
                None if tracked.missing_since.is_none() && !self.implausible => {
                    tracked.missing_since = Some(now);
                    tracked.entry.state = State::Leaving;
                }
                None => {}
            }
        }
        self.vms.retain(|v| {
            v.missing_since.is_none_or(|missing_since| now < missing_since + MISSING_VM_GRACE)
        });
        for entry in list {
            if let Err(i) = self.vms.binary_search_by(|v| v.entry.vm.cmp(&entry.vm)) {
                self.vms.insert(i, Tracked { entry: entry.clone(), missing_since: None });
            }
        }
    }

    /// The VMs in use, in order of name.
    pub fn entries(&self) -> Vec<Entry> {
        self.vms.iter().map(|v| v.entry.clone()).collect()
    }

    /// Treats a list that lacks more than half of the VMs as implausible.
    fn check_plausible(&mut self, absent: usize, present: usize) {
        let implausible = absent * 2 > present;
        if implausible && !self.implausible {
            log::warn!("vms: the list lacks {absent} of {present} VMs; keeping them as they were");
        }
        self.implausible = implausible;
    }
}

/// Starts the task that reads the list at `base`.
pub fn start(base: &str) -> Watch {
    let client = Client::new(base, Duration::from_secs(2));
    let (tx, rx) = watch::channel(Arc::new(Vec::new()));
    tokio::spawn(run(client, tx));
    rx
}

async fn run(client: Client, tx: watch::Sender<Arc<Vec<Entry>>>) {
    let mut failing = false;
    let mut list = cloud::vm::List { entries: Vec::new(), tag: String::new() };
    let mut inventory = Inventory::default();
    while !tx.is_closed() {
        match client.list_if_changed(&list.tag).await {
            Ok(changed) => {
                failing = false;
                list = changed.unwrap_or(list);
                // Also if the list has not changed: the grace time of a missing VM may have ended.
                inventory.update(&list.entries, Instant::now());
                publish(&tx, inventory.entries());
            }
            Err(e) if !failing => {
                failing = true;
                log::warn!("vms: could not read the list, keeping the last one: {e}");
            }
            Err(_) => {}
        }
        tokio::time::sleep(READ_INTERVAL).await;
    }
}

fn publish(tx: &watch::Sender<Arc<Vec<Entry>>>, entries: Vec<Entry>) {
    tx.send_if_modified(|old| {
        let changed = **old != entries;
        if changed {
            *old = Arc::new(entries);
        }
        changed
    });
}
