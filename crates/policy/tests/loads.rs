//! What callers get under the load patterns of the policies, in the bench's model of a fleet: 40 backend servers, ten
//! workspaces, six routers that decide on their own, virtual time and fixed seeds.
//!
//! The bounds leave a wide margin to the bench's figures; a baseline in the same run shows that the load needs the
//! policy.

#[path = "../benches/sim/mod.rs"]
mod sim;

use rstest::rstest;
use sim::load::named;
use sim::result::Result;
use sim::variant::{ALL, POLICY, Variant};

fn simulate(load: &str, variant: &str) -> Result {
    let variant: Variant = ALL.into_iter().find(|v| v.name == variant).expect("a variant");
    sim::simulate(&named(load), variant, 1)
}

struct Bounds {
    load: &'static str,
    /// Useful work relative to the smaller of the bound and the work offered.
    share: f64,
    hits: f64,
    jain: f64,
    /// p95 of the waits of short requests, in seconds.
    short: f64,
    /// Refused after they had waited, of all requests.
    held: f64,
    retries: f64,
}

// Every load pattern of the policies. A fleet without these decisions is busy and yet misses deadlines: drafts are
// late, short requests wait behind long ones, and refused requests have waited in vain.
#[rstest]
#[case(Bounds { load: "steady 0.8x", share: 0.98, hits: 0.995, jain: 0.98, short: 0.5, held: 0.01, retries: 1.5 })]
#[case(Bounds { load: "burst 10x", share: 0.95, hits: 0.97, jain: 0.98, short: 15.0, held: 0.03, retries: 1.0 })]
#[case(Bounds { load: "workspace 80%", share: 0.92, hits: 0.75, jain: 0.98, short: 22.0, held: 0.12, retries: 1.0 })]
#[case(Bounds { load: "prefix 80%", share: 0.97, hits: 0.99, jain: 0.97, short: 5.0, held: 0.02, retries: 4.0 })]
#[case(Bounds { load: "one 10x slower", share: 0.95, hits: 0.97, jain: 0.97, short: 10.0, held: 0.03, retries: 4.0 })]
#[case(Bounds { load: "long among short", share: 0.92, hits: 0.95, jain: 0.96, short: 20.0, held: 0.05, retries: 1.5 })]
#[case(Bounds { load: "saturation 1.5x", share: 0.92, hits: 0.80, jain: 0.98, short: 20.0, held: 0.12, retries: 1.5 })]
#[case(Bounds { load: "saturation 3x", share: 0.91, hits: 0.58, jain: 0.98, short: 27.0, held: 0.12, retries: 1.5 })]
#[case(Bounds { load: "third lost", share: 0.84, hits: 0.86, jain: 0.96, short: 23.0, held: 0.10, retries: 2.5 })]
#[case(Bounds { load: "third returns", share: 0.86, hits: 0.92, jain: 0.96, short: 20.0, held: 0.08, retries: 2.5 })]
#[case(Bounds { load: "reports 2 s late", share: 0.95, hits: 0.98, jain: 0.97, short: 8.0, held: 0.02, retries: 4.0 })]
#[case(Bounds { load: "late and 1.5x", share: 0.89, hits: 0.78, jain: 0.97, short: 22.0, held: 0.12, retries: 3.0 })]
fn callers_get_what_the_fleet_can_do(#[case] bounds: Bounds) {
    let r = simulate(bounds.load, "policy");
    let seen = format!(
        "share {:.3} hits {:.3} jain {:.3} short p95 {:.2} held {:.3} retries {:.2}",
        r.share, r.hits, r.jain, r.waits[1], r.held, r.retried
    );
    assert!(r.share >= bounds.share && r.hits >= bounds.hits && r.jain >= bounds.jain, "{seen}");
    assert!(r.waits[1] <= bounds.short && r.held <= bounds.held, "{seen}");
    assert!(r.retried <= bounds.retries && r.late < 0.02, "{seen}");
}

// One workspace sends 80% of a load of 1.5 times the bound. The others ask for less than their shares, and would miss
// their deadlines behind the flood.
#[test]
fn a_workspace_inside_its_share_loses_under_two_percent_to_a_flood() {
    let policy = simulate("workspace 80%", "policy");
    let fifo = simulate("workspace 80%", "fifo queue");
    assert!(policy.others >= 0.98, "{:.3} of the others' requests in time", policy.others);
    assert!(fifo.others < 0.9, "the flood hurts: {:.3} in order of arrival", fifo.others);
}

// One backend server runs ten times slower from the 25th second on and holds back every draft through it.
#[test]
fn a_slow_server_is_ejected() {
    let policy = simulate("one 10x slower", "policy");
    let without = simulate("one 10x slower", "two choices");
    assert!(policy.ejections >= 6, "by each router");
    assert!(policy.share > without.share + 0.02, "{:.3} {:.3}", policy.share, without.share);
}

// Saturation. In order of arrival every request is served just before its deadline or after it.
#[rstest]
#[case("saturation 1.5x")]
#[case("saturation 3x")]
fn a_queue_in_order_of_arrival_collapses_and_this_one_does_not(#[case] load: &str) {
    let (policy, fifo) = (simulate(load, "policy"), simulate(load, "fifo queue"));
    assert!(policy.hits > fifo.hits + 0.15, "{:.3} {:.3}", policy.hits, fifo.hits);
    assert!(policy.share > fifo.share + 0.05, "{:.3} {:.3}", policy.share, fifo.share);
}

// Six routers read reports that are 2 s old. A router that doesn't know what it sent since then fills the same slots
// again.
#[test]
fn knowing_the_age_of_reports_saves_retries() {
    let (known, unknown) =
        (simulate("late and 1.5x", "policy"), simulate("late and 1.5x", "age unknown"));
    assert!(known.retried < unknown.retried * 0.7, "{:.2} {:.2}", known.retried, unknown.retried);
}

// The same seed has to give the same run, or none of these figures could be reproduced.
#[test]
fn a_run_is_reproducible() {
    let load = named("third returns");
    let (a, b) = (sim::simulate(&load, POLICY, 5), sim::simulate(&load, POLICY, 5));
    assert_eq!((a.share, a.hits, a.retries), (b.share, b.hits, b.retries));
}
