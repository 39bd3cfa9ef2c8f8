//! Requests that crash engines, known to all daemons by a stream of the log.
//!
//! What an agent decides holds there at once and is appended for all others.
//! While the log can't be read, routers learn from the agents' reports instead.
//! Reports are not used while it can: an agent that has not yet read of a lifted
//! quarantine would otherwise bring it back everywhere.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use cloud::log::{Client, Page};
use config::process::Process;
use policy::quarantine::{List, Verdict};
use tokio::sync::mpsc;
use wire::id::Fingerprint;
use wire::quarantine::{self, Record, Running, STREAM, format_fingerprint};

use crate::settings;

/// How long one read waits for news. Short, so that an outage is noticed soon.
const WAIT: Duration = Duration::from_secs(1);

/// Pause after a failed read or append.
const PAUSE: Duration = Duration::from_millis(500);

/// Records that may wait for the log; later ones are only in the reports.
const WAITING: usize = 1024;

/// Where this process's time starts in the list, so that a record may be older
/// than the process.
const EPOCH: Duration = Duration::from_secs(365 * 24 * 3600);

/// What this daemon knows of requests that crash engines.
#[derive(Debug)]
pub struct Quarantine {
    vm: String,
    began: Instant,
    settings: settings::Watch,
    state: Mutex<State>,
    outbox: mpsc::Sender<Record>,
}

#[derive(Debug)]
struct State {
    list: List,
    /// True while the log can't be read.
    out: bool,
    /// What was cleared lately, with the time, oldest first.
    cleared: Vec<(Fingerprint, Duration)>,
}

/// Starts following the stream.
pub fn start(process: &Process, settings: settings::Watch) -> Arc<Quarantine> {
    let (outbox, records) = mpsc::channel(WAITING);
    let log = Client::new(&process.platform.log, Duration::from_secs(2));
    let hold = settings.borrow().fleet.defaults.quarantine;
    let quarantine = Arc::new(Quarantine {
        vm: process.vm.clone(),
        began: Instant::now(),
        settings,
        state: Mutex::new(State { list: List::new(hold), out: false, cleared: Vec::new() }),
        outbox,
    });
    tokio::spawn(append(log.clone(), records));
    tokio::spawn(tail(log, quarantine.clone()));
    quarantine
}

impl Quarantine {
    /// What may be done with a request.
    pub fn verdict(&self, fingerprint: Fingerprint) -> Verdict {
        self.with(|list, now| list.verdict(fingerprint, now))
    }

    /// An engine of this VM crashed while these ran.
    pub fn crashed(&self, incarnation: &str, running: Vec<Running>) {
        let fingerprints = quarantine::fingerprints(&running);
        let second = self.with(|list, now| list.crashed(&fingerprints, now));
        let (refused, suspects): (Vec<_>, Vec<_>) = running.into_iter().partition(|r| {
            quarantine::parse_fingerprint(&r.fingerprint).is_some_and(|f| second.contains(&f))
        });
        log::warn!(
            "quarantine: the engine crashed; {} requests run alone from now on, {} are refused",
            suspects.len(),
            refused.len()
        );
        let (vm, incarnation) = (self.vm.clone(), incarnation.to_string());
        self.tell(Record::Crashed { vm, incarnation, suspects, refused });
    }

    /// A suspect ran alone without a crash.
    pub fn cleared(&self, fingerprint: Fingerprint) {
        self.with(|list, _| list.completed(fingerprint));
        let (vm, fingerprints) = (self.vm.clone(), vec![format_fingerprint(fingerprint)]);
        self.tell(Record::Cleared { vm, fingerprints });
    }

    /// A head says that a request was running at a crash elsewhere. The record of
    /// that crash may come later than the request itself: without this the second
    /// crash would be taken for the first, and a third engine would be lost.
    pub fn suspected_elsewhere(&self, fingerprint: Fingerprint) {
        self.with(|list, now| list.merge(&[fingerprint], &[], now));
    }

    /// Another process has refused a request for its crashes.
    pub fn refused_elsewhere(&self, fingerprint: Fingerprint) {
        self.with(|list, now| list.merge(&[], &[fingerprint], now));
    }

    /// Takes over what an agent reports, when the log can't tell.
    pub fn reported(&self, suspects: &[Fingerprint], refused: &[Fingerprint]) {
        if self.state.lock().expect("no panic while held").out {
            self.with(|list, now| list.merge(suspects, refused, now));
        }
    }

    /// Suspects and refused ones, for the report.
    pub fn lists(&self) -> (Vec<Fingerprint>, Vec<Fingerprint>) {
        self.with(|list, now| (list.suspects(now), list.refused(now)))
    }

    fn with<T>(&self, act: impl FnOnce(&mut List, Duration) -> T) -> T {
        let hold = self.settings.borrow().fleet.defaults.quarantine;
        let mut state = self.state.lock().expect("no panic while held");
        state.list.set_hold(hold);
        act(&mut state.list, EPOCH + self.began.elapsed())
    }

    fn tell(&self, record: Record) {
        if self.outbox.try_send(record).is_err() {
            log::warn!("quarantine: too many records wait for the log, one is left out");
        }
    }

    fn take(&self, page: &Page) {
        for record in &page.records {
            // The two clocks may differ; a quarantine then ends that much off its time.
            let age = now_ms().saturating_sub(record.time_ms);
            let age = Duration::from_millis(age).min(EPOCH);
            match serde_json::from_str(&record.data) {
                Ok(decided) => self.apply(decided, age),
                Err(e) => log::warn!("quarantine: record {} is unreadable: {e}", record.offset),
            }
        }
    }

    /// Fingerprints cleared lately, those of this record included.
    fn cleared_lately(&self, record: &Record) -> Vec<Fingerprint> {
        let now = self.began.elapsed();
        let state = &mut *self.state.lock().expect("no panic while held");
        state.cleared.retain(|(_, at)| *at + quarantine::MAX_RECORD_DELAY > now);
        if let Record::Cleared { fingerprints, .. } = record {
            let new = fingerprints.iter().filter_map(|f| quarantine::parse_fingerprint(f));
            state.cleared.extend(new.map(|f| (f, now)));
        }
        state.cleared.iter().map(|(f, _)| *f).collect()
    }

    fn apply(&self, record: Record, age: Duration) {
        let cleared = self.cleared_lately(&record);
        self.with(|list, now| match record {
            Record::Crashed { suspects, refused, .. } => {
                let mut suspects = quarantine::fingerprints(&suspects);
                suspects.retain(|s| !cleared.contains(s));
                let refused = quarantine::fingerprints(&refused);
                list.merge(&suspects, &refused, now - age);
            }
            Record::Cleared { fingerprints, .. } => {
                let cleared = fingerprints.iter().filter_map(|f| quarantine::parse_fingerprint(f));
                cleared.for_each(|f| list.completed(f));
            }
            Record::Lifted { fingerprint, .. } => {
                quarantine::parse_fingerprint(&fingerprint).into_iter().for_each(|f| list.lift(f));
            }
        });
    }
}

async fn tail(log: Client, quarantine: Arc<Quarantine>) {
    let mut next = 0;
    while !quarantine.outbox.is_closed() {
        let read = log.read(STREAM, next, WAIT).await;
        let out = read.as_ref().is_err_and(|e| e.status() != Some(404));
        quarantine.state.lock().expect("no panic while held").out = out;
        match read {
            Ok(page) => {
                quarantine.take(&page);
                // A page may hold fewer records than the stream.
                next = page.records.last().map_or(next.max(page.first), |r| r.offset + 1);
            }
            Err(e) => {
                log::debug!("quarantine: the log can't be read: {e}");
                tokio::time::sleep(PAUSE.mul_f64(rand::random_range(0.5..1.5))).await;
            }
        }
    }
}

/// Appends what was decided here. What waits meanwhile goes in fewer records.
async fn append(log: Client, mut records: mpsc::Receiver<Record>) {
    let mut next = None;
    loop {
        let record = match next.take() {
            Some(record) => record,
            None => match records.recv().await {
                Some(record) => record,
                None => return,
            },
        };
        let (record, other) = gather(record, &mut records);
        next = other;
        let data = serde_json::to_string(&record).expect("plain data encodes");
        while let Err(e) = log.append(STREAM, &data).await {
            log::debug!("quarantine: a record can't be appended yet: {e}");
            tokio::time::sleep(PAUSE.mul_f64(rand::random_range(0.5..1.5))).await;
        }
    }
}

/// Joins cleared fingerprints that wait one behind the other; returns the first
/// record that is of another kind as well.
fn gather(first: Record, records: &mut mpsc::Receiver<Record>) -> (Record, Option<Record>) {
    let Record::Cleared { vm, mut fingerprints } = first else { return (first, None) };
    loop {
        match records.try_recv() {
            Ok(Record::Cleared { fingerprints: more, .. }) => fingerprints.extend(more),
            other => return (Record::Cleared { vm, fingerprints }, other.ok()),
        }
    }
}

fn now_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}
