//! Requests that crash engines, shared by all daemons through a stream of the log.
//!
//! An agent applies its own decisions at once, and appends them to the stream for all other daemons.
//! While the log can't be read, routers use the agents' reports instead. They ignore the reports while
//! it can be read: an agent that has not yet read that a quarantine was lifted would otherwise restore
//! it everywhere.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use cloud::log::{Client, Page};
use config::process::Process;
use policy::quarantine::{List, Verdict};
use tokio::sync::mpsc;
use wire::id::Fingerprint;
use wire::quarantine::{self, Record, Running, STREAM, format_fingerprint};

use crate::settings;

/// How long one read waits for new records. Short, so that an outage is noticed soon.
const READ_WAIT: Duration = Duration::from_secs(1);

/// Mean pause after a failed read or append.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Number of records that may be queued for the log; any more are shared by the reports only.
const MAX_QUEUED_RECORDS: usize = 1024;

/// Time of this process's start in the list's time, so that a record may be older than the process.
const START_TIME: Duration = Duration::from_secs(365 * 24 * 3600);

/// This daemon's list of requests that crash engines.
#[derive(Debug)]
pub struct Quarantine {
    vm: String,
    started_at: Instant,
    settings: settings::Watch,
    state: Mutex<State>,
    outbox: mpsc::Sender<Record>,
}

#[derive(Debug)]
struct State {
    list: List,
    /// True while the log can't be read.
    log_unavailable: bool,
    /// Fingerprints cleared lately, with the time, oldest first.
    cleared: Vec<(Fingerprint, Duration)>,
}

/// Starts the tasks that read the stream and append to it.
pub fn start(process: &Process, settings: settings::Watch) -> Arc<Quarantine> {
    let (outbox, records) = mpsc::channel(MAX_QUEUED_RECORDS);
    let log = Client::new(&process.platform.log, Duration::from_secs(2));
    let hold = settings.borrow().fleet.defaults.quarantine;
    let quarantine = Arc::new(Quarantine {
        vm: process.vm.clone(),
        started_at: Instant::now(),
        settings,
        state: Mutex::new(State {
            list: List::new(hold),
            log_unavailable: false,
            cleared: Vec::new(),
        }),
        outbox,
    });
    tokio::spawn(append(log.clone(), records));
    tokio::spawn(tail(log, quarantine.clone()));
    quarantine
}

impl Quarantine {
    /// Whether a request may run.
    pub fn verdict(&self, fingerprint: Fingerprint) -> Verdict {
        self.with_list(|list, now| list.verdict(fingerprint, now))
    }

    /// Records that an engine of this VM crashed while these requests ran.
    pub fn record_crash(&self, incarnation: &str, running: Vec<Running>) {
        let fingerprints = quarantine::fingerprints(&running);
        let refused_now = self.with_list(|list, now| list.crashed(&fingerprints, now));
        let (refused, suspects): (Vec<_>, Vec<_>) = running.into_iter().partition(|r| {
            quarantine::parse_fingerprint(&r.fingerprint).is_some_and(|f| refused_now.contains(&f))
        });
        log::warn!(
            "quarantine: the engine crashed; {} requests run alone from now on, {} are refused",
            suspects.len(),
            refused.len()
        );
        let (vm, incarnation) = (self.vm.clone(), incarnation.to_string());
        self.enqueue(Record::Crashed { vm, incarnation, suspects, refused });
    }

    /// Records that a suspect ran alone without a crash.
    pub fn record_cleared(&self, fingerprint: Fingerprint) {
        self.with_list(|list, _| list.completed(fingerprint));
        let (vm, fingerprints) = (self.vm.clone(), vec![format_fingerprint(fingerprint)]);
        self.enqueue(Record::Cleared { vm, fingerprints });
    }

    /// Adds a suspect: a head reports that the request was running at a crash on another VM. The
    /// record of that crash may arrive later than the request: without this the second crash would
    /// count as the first, and a third engine would be lost.
    pub fn merge_suspect(&self, fingerprint: Fingerprint) {
        self.with_list(|list, now| list.merge(&[fingerprint], &[], now));
    }

    /// Adds a refused fingerprint: another process has refused the request because of its crashes.
    pub fn merge_refusal(&self, fingerprint: Fingerprint) {
        self.with_list(|list, now| list.merge(&[], &[fingerprint], now));
    }

    /// Merges an agent's report while the log can't be read.
    pub fn merge_report(&self, suspects: &[Fingerprint], refused: &[Fingerprint]) {
        if self.state.lock().expect("no panic while held").log_unavailable {
            self.with_list(|list, now| list.merge(suspects, refused, now));
        }
    }

    /// Suspects and refused fingerprints, for the report.
    pub fn suspects_and_refused(&self) -> (Vec<Fingerprint>, Vec<Fingerprint>) {
        self.with_list(|list, now| (list.suspects(now), list.refused(now)))
    }

    fn with_list<T>(&self, act: impl FnOnce(&mut List, Duration) -> T) -> T {
        let hold = self.settings.borrow().fleet.defaults.quarantine;
        let mut state = self.state.lock().expect("no panic while held");
        state.list.set_hold(hold);
        act(&mut state.list, START_TIME + self.started_at.elapsed())
    }

    fn enqueue(&self, record: Record) {
        if self.outbox.try_send(record).is_err() {
            log::warn!("quarantine: too many records queued for the log, dropped one");
        }
    }

    fn apply_page(&self, page: &Page) {
        for record in &page.records {
            // If the clocks of log and process differ, a quarantine ends too early or too late by the
            // difference.
            let age = now_ms().saturating_sub(record.time_ms);
            let age = Duration::from_millis(age).min(START_TIME);
            match serde_json::from_str(&record.data) {
                Ok(decided) => self.apply(decided, age),
                Err(e) => log::warn!("quarantine: could not decode record {}: {e}", record.offset),
            }
        }
    }

    /// Fingerprints cleared lately, including those of this record.
    fn recently_cleared(&self, record: &Record) -> Vec<Fingerprint> {
        let now = self.started_at.elapsed();
        let state = &mut *self.state.lock().expect("no panic while held");
        state.cleared.retain(|(_, at)| *at + quarantine::MAX_RECORD_DELAY > now);
        if let Record::Cleared { fingerprints, .. } = record {
            let new = fingerprints.iter().filter_map(|f| quarantine::parse_fingerprint(f));
            state.cleared.extend(new.map(|f| (f, now)));
        }
        state.cleared.iter().map(|(f, _)| *f).collect()
    }

    fn apply(&self, record: Record, age: Duration) {
        let cleared = self.recently_cleared(&record);
        self.with_list(|list, now| match record {
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
        let read = log.read(STREAM, next, READ_WAIT).await;
        let is_unavailable = read.as_ref().is_err_and(|e| e.status() != Some(404));
        quarantine.state.lock().expect("no panic while held").log_unavailable = is_unavailable;
        match read {
            Ok(page) => {
                quarantine.apply_page(&page);
                // A page may have fewer records than the stream.
                next = page.records.last().map_or(next.max(page.first), |r| r.offset + 1);
            }
            Err(e) => {
                log::debug!("quarantine: could not read the log: {e}");
                tokio::time::sleep(RETRY_PAUSE.mul_f64(rand::random_range(0.5..1.5))).await;
            }
        }
    }
}

/// Appends this daemon's decisions. Those queued meanwhile are joined into fewer records.
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
        let (record, other) = join_cleared(record, &mut records);
        next = other;
        let data = serde_json::to_string(&record).expect("plain data encodes");
        while let Err(e) = log.append(STREAM, &data).await {
            log::debug!("quarantine: could not append a record, retrying: {e}");
            tokio::time::sleep(RETRY_PAUSE.mul_f64(rand::random_range(0.5..1.5))).await;
        }
    }
}

/// Joins consecutive queued records of cleared fingerprints; also returns the first record of another
/// kind.
fn join_cleared(first: Record, records: &mut mpsc::Receiver<Record>) -> (Record, Option<Record>) {
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
