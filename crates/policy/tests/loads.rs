//! What callers get under the loads that hurt, in the bench's model of a fleet: 40 runners, ten
//! workspaces, six routers that decide on their own, virtual time and fixed seeds.
//!
//! The margins are wide of the bench's figures; a baseline in the same run shows that the load
//! does hurt.

#[path = "../benches/sim/mod.rs"]
mod sim;

use rstest::rstest;
use sim::load::named;
use sim::result::Result;
use sim::variant::{ALL, POLICY, Variant};

fn play(load: &str, variant: &str) -> Result {
    let variant: Variant = ALL.into_iter().find(|v| v.name == variant).expect("a variant");
    sim::play(&named(load), variant, 1)
}

struct Least {
    load: &'static str,
    /// Useful work over the bound or what was offered.
    share: f64,
    hits: f64,
    jain: f64,
    /// p95 of the waits of the short, in seconds.
    short: f64,
    /// Refused after they had waited, of all requests.
    held: f64,
    retries: f64,
}

// Each load of the issue. A fleet without these decisions is busy and yet misses deadlines: drafts come
// late, clerks with short requests wait behind long ones, and what is refused has waited in vain.
#[rstest]
#[case(Least { load: "steady 0.8x", share: 0.98, hits: 0.995, jain: 0.98, short: 0.5, held: 0.01, retries: 1.5 })]
#[case(Least { load: "burst 10x", share: 0.95, hits: 0.97, jain: 0.98, short: 15.0, held: 0.03, retries: 1.0 })]
#[case(Least { load: "workspace 80%", share: 0.92, hits: 0.75, jain: 0.98, short: 22.0, held: 0.12, retries: 1.0 })]
#[case(Least { load: "prefix 80%", share: 0.97, hits: 0.99, jain: 0.97, short: 5.0, held: 0.02, retries: 4.0 })]
#[case(Least { load: "one 10x slower", share: 0.95, hits: 0.97, jain: 0.97, short: 10.0, held: 0.03, retries: 4.0 })]
#[case(Least { load: "long among short", share: 0.92, hits: 0.95, jain: 0.96, short: 20.0, held: 0.05, retries: 1.5 })]
#[case(Least { load: "saturation 1.5x", share: 0.92, hits: 0.80, jain: 0.98, short: 20.0, held: 0.12, retries: 1.5 })]
#[case(Least { load: "saturation 3x", share: 0.91, hits: 0.58, jain: 0.98, short: 27.0, held: 0.12, retries: 1.5 })]
#[case(Least { load: "third lost", share: 0.84, hits: 0.86, jain: 0.96, short: 23.0, held: 0.10, retries: 2.5 })]
#[case(Least { load: "third returns", share: 0.86, hits: 0.92, jain: 0.96, short: 20.0, held: 0.08, retries: 2.5 })]
#[case(Least { load: "reports 2 s late", share: 0.95, hits: 0.98, jain: 0.97, short: 8.0, held: 0.02, retries: 4.0 })]
#[case(Least { load: "late and 1.5x", share: 0.89, hits: 0.78, jain: 0.97, short: 22.0, held: 0.12, retries: 3.0 })]
fn callers_get_what_the_fleet_can_do(#[case] least: Least) {
    let r = play(least.load, "policy");
    let seen = format!(
        "share {:.3} hits {:.3} jain {:.3} short p95 {:.2} held {:.3} retries {:.2}",
        r.share, r.hits, r.jain, r.waits[1], r.held, r.retried
    );
    assert!(r.share >= least.share && r.hits >= least.hits && r.jain >= least.jain, "{seen}");
    assert!(r.waits[1] <= least.short && r.held <= least.held, "{seen}");
    assert!(r.retried <= least.retries && r.late < 0.02, "{seen}");
}

// One workspace sends 80% of a load of 1.5 times the bound. The others ask for less than their shares, and
// would lose their deadlines behind the flood.
#[test]
fn a_workspace_inside_its_share_loses_under_two_percent_to_a_flood() {
    let policy = play("workspace 80%", "policy");
    let fifo = play("workspace 80%", "fifo queue");
    assert!(policy.others >= 0.98, "{:.3} of the others' requests in time", policy.others);
    assert!(fifo.others < 0.9, "the flood hurts: {:.3} in order of arrival", fifo.others);
}

// One backend server runs ten times slower from the 25th second on and holds back every
// draft through it.
#[test]
fn a_slow_server_is_ejected() {
    let policy = play("one 10x slower", "policy");
    let without = play("one 10x slower", "two choices");
    assert!(policy.ejections >= 6, "by each router");
    assert!(policy.share > without.share + 0.02, "{:.3} {:.3}", policy.share, without.share);
}

// Saturation. In order of arrival everything is served just before its deadline or after it.
#[rstest]
#[case("saturation 1.5x")]
#[case("saturation 3x")]
fn a_queue_in_order_of_arrival_collapses_and_this_one_does_not(#[case] load: &str) {
    let (policy, fifo) = (play(load, "policy"), play(load, "fifo queue"));
    assert!(policy.hits > fifo.hits + 0.15, "{:.3} {:.3}", policy.hits, fifo.hits);
    assert!(policy.share > fifo.share + 0.05, "{:.3} {:.3}", policy.share, fifo.share);
}

// Six routers read reports that are 2 s old. Without its own part known, each fills the same slots.
#[test]
fn knowing_the_age_of_reports_saves_retries() {
    let (known, unknown) = (play("late and 1.5x", "policy"), play("late and 1.5x", "age unknown"));
    assert!(known.retried < unknown.retried * 0.7, "{:.2} {:.2}", known.retried, unknown.retried);
}

// The same seed has to give the same run, or none of these figures could be repeated.
#[test]
fn a_run_can_be_repeated() {
    let load = named("third returns");
    let (a, b) = (sim::play(&load, POLICY, 5), sim::play(&load, POLICY, 5));
    assert_eq!((a.share, a.hits, a.retries), (b.share, b.hits, b.retries));
}
