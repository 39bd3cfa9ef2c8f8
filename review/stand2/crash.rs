//! A request that crashes the servers that run it, sent again and again by its caller.

use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::deployment::{CARDS_OF_ZONES, ZONES, settings};
use crate::fleet::{DEADLY, Deadly, Fleet, LAYERS};
use crate::gateway::{self, Gateway};
use crate::http::{self, Received};
use crate::record::Record;
use crate::store::Store;

/// The bound `contactMs`, and the retries that the rule allows later than that after the third crash.
const CONTACT: Duration = Duration::from_millis(3000);
const MOST_RETRIES: usize = 3;

/// Time for which the caller sends its request, and pause between two attempts where none is named.
const CALLING_TIME: Duration = Duration::from_secs(20);
const PAUSE: Duration = Duration::from_millis(500);

/// Time without an event after which a client abandons a stream: two seconds, four times the objective or eight times
/// the pause, whichever is longest.
const PATIENCE: Duration = Duration::from_millis(2000);

/// Longest answer in tokens, of sound requests and of the deadly one; an event holds two.
const SOUND_TOKENS: &str = "800,80";
const DEADLY_TOKENS: &str = "800,364";

/// Pause between two sound requests.
const SOUND_PAUSE: Duration = Duration::from_millis(150);

/// Sends one request to a model.
fn send(gateway: &Gateway, id: &str, key: &str, tokens: &str, part: &str, body: &str) -> Received {
    let prefix = format!("{part}:40,{id}:760");
    let headers = [
        ("Host", "h.example"),
        ("Request-Id", id),
        ("Api-Key", key),
        ("Model", "m"),
        ("Token-Counts", tokens),
        ("Prompt-Prefix", prefix.as_str()),
        ("Deadline-Ms", "20000"),
    ];
    let limits = (PATIENCE, Duration::from_secs(20));
    http::request(gateway.listen, "POST /drafts/1", &headers, body.as_bytes(), limits)
}

pub fn play(case: &str, trouble: bool, folder: &Path, record: &Arc<Record>) -> Verdict {
    let deadly = match case {
        _ if !trouble => Deadly::No,
        "later-server" => Deadly::AtLayer(60, Duration::from_millis(100)),
        "dark" => Deadly::Dark(Duration::from_millis(100)),
        _ => return Verdict::NotRun(format!("no case {case}")),
    };
    let store = Store::start(12);
    store.put("keyed.op", "config", Some(&settings(&["drafts"])));
    let mut models = Vec::new();
    for (zone, cards) in ZONES.iter().zip(CARDS_OF_ZONES) {
        for (card, count) in cards.into_iter().enumerate() {
            models.extend(std::iter::repeat_n(("drafts", *zone, card), count));
        }
    }
    let fleet = Fleet::start(&store, record, deadly, &models, &ZONES);
    let gateways = match gateway::start_all(folder, store.address) {
        Ok(gateways) => gateways,
        Err(why) => return Verdict::NotRun(why),
    };
    // The model is loaded, and the group of routers is known.
    let until = Instant::now() + Duration::from_secs(10);
    while fleet.layers_held("drafts") < 3 * LAYERS && Instant::now() < until {
        thread::sleep(Duration::from_millis(100));
    }
    thread::sleep(Duration::from_secs(5));
    let held = fleet.layers_held("drafts");
    if held < 3 * LAYERS {
        return Verdict::NotRun(format!("the model was not loaded: layers_held={held}"));
    }
    let gateways = Arc::new(gateways);
    let sound: Arc<Mutex<Vec<Received>>> = Arc::default();
    let ended = Arc::new(AtomicBool::new(false));
    let sender = {
        let (gateways, sound, ended) = (gateways.clone(), sound.clone(), ended.clone());
        thread::spawn(move || {
            let mut open = Vec::new();
            for n in 0.. {
                if ended.load(Ordering::Relaxed) {
                    break;
                }
                let (gateways, sound) = (gateways.clone(), sound.clone());
                open.push(thread::spawn(move || {
                    let gateway = &gateways[n % gateways.len()];
                    let (id, part) = (format!("50{n:06x}"), format!("a{}", n % 6));
                    let got = send(
                        gateway,
                        &id,
                        "key-2",
                        SOUND_TOKENS,
                        &part,
                        &format!("a sound prompt {n}"),
                    );
                    sound.lock().unwrap().push(got);
                }));
                thread::sleep(SOUND_PAUSE);
            }
            open.into_iter().for_each(|thread| drop(thread.join()));
        })
    };
    thread::sleep(Duration::from_secs(3));
    let began = Instant::now();
    let mut attempts = 0;
    while began.elapsed() < CALLING_TIME {
        let gateway = &gateways[attempts % gateways.len()];
        let id = format!("de{attempts:06x}");
        record.line(&format!("{id} is sent to {}", gateway.vm));
        let got = send(gateway, &id, "key-1", DEADLY_TOKENS, "b0", &format!("{DEADLY} prompt"));
        let after = got.header("retry-after").and_then(|s| s.parse::<f64>().ok());
        record.line(&format!(
            "{id} status={} whole={} events={} retry_after={after:?} took={:?}: {}",
            got.status,
            got.whole,
            got.events().len(),
            got.took,
            if got.status == 200 { "" } else { got.body.trim() }
        ));
        attempts += 1;
        // A time to come back counts up to a third of the time left.
        let wait = after.map_or(PAUSE, |s| Duration::from_secs_f64(s.min(6.0)));
        thread::sleep(wait);
    }
    ended.store(true, Ordering::Relaxed);
    let _ = sender.join();
    for gateway in gateways.iter() {
        let words = ["quarantine", "run=broken", "panic"];
        gateway
            .log_lines(&words)
            .iter()
            .filter(|l| l.contains("quarantine") || l.contains("de0000"))
            .for_each(|l| record.line(&format!("log of {}: {l}", gateway.vm)));
    }
    let sound = sound.lock().unwrap();
    let served = sound.iter().filter(|got| got.status == 200 && got.whole).count();
    record.line(&format!("sound requests: sent={} served={served}", sound.len()));
    judge(&fleet, record)
}

fn judge(fleet: &Fleet, record: &Record) -> Verdict {
    let mut crashes = fleet.crashes.lock().unwrap().clone();
    crashes.sort_unstable();
    let times: Vec<String> =
        crashes.iter().map(|at| format!("{:.2}", record.seconds(*at))).collect();
    record.line(&format!(
        "servers that the request crashed: {} at {}",
        crashes.len(),
        times.join(" ")
    ));
    let Some(third) = crashes.get(2) else { return Verdict::Held };
    let arrivals = fleet.arrivals.lock().unwrap();
    let late = arrivals.iter().filter(|(at, _, deadly)| *deadly && *at > *third + CONTACT).count();
    let orders = fleet.repaths.lock().unwrap().iter().filter(|at| **at > *third + CONTACT).count();
    record.line(&format!(
        "later than {CONTACT:?} after the third crash the request reached servers {late} times ({MOST_RETRIES} are \
         allowed); orders of another path, for sound requests too: {orders}"
    ));
    if late > MOST_RETRIES { Verdict::Broken } else { Verdict::Held }
}
