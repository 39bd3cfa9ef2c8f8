//! Another writer's entry without `born` under the id of a server that is leaving.

use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::deployment::{ZONES, settings};
use crate::fleet::{Deadly, Fleet};
use crate::gateway;
use crate::http::{self, Received};
use crate::record::Record;
use crate::store::Store;

/// The bound `drainMs`, and a little more for requests on their way.
const DRAIN: Duration = Duration::from_millis(2050);

/// Times of the other writer's entries after the server's own report, and when the server exits.
const ENTRIES: [Duration; 3] =
    [Duration::from_millis(2600), Duration::from_millis(4700), Duration::from_millis(6800)];
const EXIT: Duration = Duration::from_secs(9);

/// Pause between two requests.
const PAUSE: Duration = Duration::from_millis(60);

pub fn play(trouble: bool, folder: &Path, record: &Arc<Record>) -> Verdict {
    let store = Store::start(12);
    store.put("keyed.op", "config", Some(&settings(&["drafts"])));
    let fleet = Fleet::start(&store, record, Deadly::No, &[], &ZONES);
    let gateways = match gateway::start_all(folder, store.address) {
        Ok(gateways) => Arc::new(gateways),
        Err(why) => return Verdict::NotRun(why),
    };
    let answers: Arc<Mutex<Vec<Received>>> = Arc::default();
    let ended = Arc::new(AtomicBool::new(false));
    let sender = {
        let (gateways, answers, ended) = (gateways.clone(), answers.clone(), ended.clone());
        thread::spawn(move || {
            let mut open = Vec::new();
            for n in 0.. {
                if ended.load(Ordering::Relaxed) {
                    break;
                }
                let (gateways, answers) = (gateways.clone(), answers.clone());
                open.push(thread::spawn(move || {
                    let (gateway, id) = (&gateways[n % gateways.len()], format!("60{n:06x}"));
                    let headers = [
                        ("Host", "h.example"),
                        ("Request-Id", id.as_str()),
                        ("Api-Key", "key-1"),
                        ("Deadline-Ms", "1500"),
                    ];
                    let limit = Duration::from_millis(1500);
                    let start = format!("GET /look/{n}");
                    let got = http::request(gateway.listen, &start, &headers, b"", (limit, limit));
                    answers.lock().unwrap().push(got);
                }));
                thread::sleep(PAUSE);
            }
            open.into_iter().for_each(|thread| drop(thread.join()));
        })
    };
    thread::sleep(Duration::from_secs(6));
    let server = fleet.leave();
    let acknowledged = Instant::now();
    record.line(&format!("server {} reports that it is draining", server.id()));
    for at in ENTRIES {
        thread::sleep(at.saturating_sub(acknowledged.elapsed()));
        if trouble {
            fleet.forge(&server);
            record.line(&format!(
                "another writer's entry under {}: ready, without born",
                server.id()
            ));
        }
    }
    thread::sleep(EXIT.saturating_sub(acknowledged.elapsed()));
    ended.store(true, Ordering::Relaxed);
    let _ = sender.join();
    let id = server.id();
    let arrivals = fleet.arrivals.lock().unwrap();
    let of_server = arrivals.iter().filter(|(_, at, _)| *at == id);
    let times: Vec<Duration> =
        of_server.map(|(at, ..)| at.saturating_duration_since(acknowledged)).collect();
    let late: Vec<&Duration> = times.iter().filter(|after| **after > DRAIN).collect();
    let before = times.iter().filter(|after| after.is_zero()).count();
    let served = answers.lock().unwrap().iter().filter(|got| got.status == 200).count();
    record.line(&format!("requests: sent={} served={served}", answers.lock().unwrap().len()));
    record.line(&format!(
        "requests that reached {id}: {before} before its report, {} later than {DRAIN:?} after it: {late:.2?}",
        late.len()
    ));
    for gateway in gateways.iter() {
        let lines = gateway.log_lines(&[&format!("server={id}")]);
        lines.iter().for_each(|l| record.line(&format!("log of {}: {l}", gateway.vm)));
    }
    if late.is_empty() { Verdict::Held } else { Verdict::Broken }
}
