//! Servers are lost for good, and their addresses go to servers of another service.

use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::deployment::{CARDS_OF_ZONES, ZONES, settings};
use crate::fleet::{Deadly, Fleet, LAYERS};
use crate::gateway;
use crate::record::Record;
use crate::store::Store;

/// The bound `reuseAfterS`, and a little more.
const REUSE: Duration = Duration::from_millis(2050);

/// Cards of the servers that are lost in three rounds: five of 38, less than the share of 0.15, each time.
const LOST_CARDS: [usize; 3] = [0, 1, 1];
const LOST: usize = 5;

/// Card of the servers that get their addresses.
const NEW_CARD: usize = 2;

/// Time between the rounds.
const PAUSE: Duration = Duration::from_secs(15);

pub fn play(trouble: bool, folder: &Path, record: &Arc<Record>) -> Verdict {
    let store = Store::start(12);
    store.put("keyed.op", "config", Some(&settings(&["drafts", "checks"])));
    let mut models = Vec::new();
    for (zone, cards) in ZONES.iter().zip(CARDS_OF_ZONES) {
        for (card, count) in cards.into_iter().enumerate() {
            models.extend(std::iter::repeat_n(("drafts", *zone, card), count));
        }
        models.extend(std::iter::repeat_n(("checks", *zone, NEW_CARD), 5));
    }
    let fleet = Fleet::start(&store, record, Deadly::No, &models, &ZONES);
    let gateways = match gateway::start_all(folder, store.address) {
        Ok(gateways) => gateways,
        Err(why) => return Verdict::NotRun(why),
    };
    let held = || (fleet.layers_held("drafts"), fleet.layers_held("checks"));
    let until = Instant::now() + Duration::from_secs(12);
    while (held().0 < 3 * LAYERS || held().1 < LAYERS) && Instant::now() < until {
        thread::sleep(Duration::from_millis(100));
    }
    thread::sleep(Duration::from_secs(5));
    let (drafts, checks) = held();
    record.line(&format!("layers held: drafts={drafts} checks={checks}"));
    if drafts < 3 * LAYERS || checks < LAYERS {
        return Verdict::NotRun("the models were not loaded".to_owned());
    }
    for card in LOST_CARDS {
        for server in fleet.running("drafts", card).iter().take(LOST).filter(|_| trouble) {
            fleet.replace(server, REUSE, ("checks", NEW_CARD));
        }
        thread::sleep(PAUSE);
    }
    for gateway in &gateways {
        let lines = gateway.log_lines(&["gives_orders=", "order server", "suspect="]);
        lines.iter().for_each(|l| record.line(&format!("log of {}: {l}", gateway.vm)));
    }
    let too_many = fleet.too_many.lock().unwrap();
    record.line(&format!("orders to hold more layers than the memory holds: {}", too_many.len()));
    if too_many.is_empty() { Verdict::Held } else { Verdict::Broken }
}
