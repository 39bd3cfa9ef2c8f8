//! What a link between data centres carries when all routers need it at the same moment.

use std::collections::VecDeque;
use std::time::Duration;

use policy::demand::Demand;
use policy::meter::Meter;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

/// Ratio of the link's capacity that is used.
const USABLE_RATIO: f64 = 0.7;

/// Wait for the link above which a first event is late.
const MAX_WAIT: Duration = Duration::from_millis(400);

struct Load {
    routers: usize,
    /// Time that one request takes on the link.
    transfer: Duration,
    /// Requests a second at each router.
    rate: f64,
}

/// Simulates ten seconds in which all requests need the link; returns how many were sent, and how many of those were
/// on time.
fn sent(load: &Load, chosen: bool) -> (usize, usize) {
    let mut random = Pcg64::seed_from_u64(7);
    let mut routers = vec![(Demand::default(), Meter::default()); load.routers];
    let others = load.routers as f64;
    let (mut free, mut sent, mut on_time) = (Duration::ZERO, 0, 0);
    let step = Duration::from_millis(1);
    let mut now = Duration::from_secs(5);
    let mut queue: VecDeque<usize> = VecDeque::new();
    while now < Duration::from_secs(15) {
        now += step;
        queue.extend((0..load.routers).filter(|_| random.random::<f64>() < load.rate * 1e-3));
        for router in queue.drain(..) {
            let (demand, meter) = &mut routers[router];
            demand.record(now);
            let share = demand.share(now, load.transfer, USABLE_RATIO, load.routers as u32);
            let chosen = !chosen || random.random::<f64>() < share;
            if !chosen || !meter.accepts(now, USABLE_RATIO, others, Duration::from_millis(250)) {
                continue;
            }
            meter.add(now, load.transfer, USABLE_RATIO / others);
            free = free.max(now) + load.transfer;
            sent += 1;
            on_time += usize::from(free - now <= MAX_WAIT);
        }
    }
    (sent, on_time)
}

/// Every router sends one transfer over an empty link at the same moment, and all of them are late. Those selected by
/// the share of each router have to be on time, and must not be fewer.
#[test]
fn routers_that_want_a_link_at_once_fill_it_without_a_queue() {
    for load in [
        Load { routers: 19, transfer: Duration::from_millis(155), rate: 2.4 },
        Load { routers: 68, transfer: Duration::from_millis(34), rate: 3.0 },
        Load { routers: 400, transfer: Duration::from_millis(34), rate: 1.0 },
    ] {
        let (all, _) = sent(&load, false);
        let (some, on_time) = sent(&load, true);
        assert!(
            on_time * 10 >= some * 8,
            "{on_time} of {some} on time, {all} sent by meters alone"
        );
        let carried = 10.0 / load.transfer.as_secs_f64();
        assert!(on_time as f64 >= 0.35 * carried, "{on_time} of {carried} that the link carries");
    }
}

/// A link that few requests need carries all of them.
#[test]
fn a_link_that_few_want_is_free() {
    let load = Load { routers: 4, transfer: Duration::from_millis(10), rate: 2.0 };
    assert_eq!(sent(&load, true).0, sent(&load, false).0);
}
