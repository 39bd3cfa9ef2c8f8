//! Paths through held layers.

use layers::path::{Holder, MAX_PARTS, Part, Query, find};
use layers::{Span, slots};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use rstest::rstest;

fn holder(server: usize, zone: u16, from: u32, to: u32, layer_ms: f64) -> Holder {
    Holder { server, zone, span: Span::new(from, to), layer_ms, hop_ms: 0.1, begin_ms: 0.0 }
}

fn query(cross_ms: &dyn Fn(u16, u16) -> f64) -> Query<'_> {
    Query { from: 0, layers: 8, zone: 0, remote_begin_ms: 4.0, cross_ms }
}

struct Case {
    what: &'static str,
    holders: Vec<Holder>,
    cross: f64,
    path: Option<Vec<(usize, u32, u32)>>,
}

#[rstest]
#[case(Case {
    what: "a whole copy in the same data centre, though another one is faster",
    holders: vec![holder(0, 0, 0, 4, 1.0), holder(1, 0, 4, 8, 1.0), holder(2, 1, 0, 8, 0.7)],
    cross: 9.0,
    path: Some(vec![(0, 0, 4), (1, 4, 8)]),
})]
#[case(Case {
    what: "the other copy if a layer is missing here",
    holders: vec![holder(0, 0, 0, 4, 1.0), holder(1, 0, 5, 8, 1.0), holder(2, 1, 0, 8, 1.0)],
    cross: 9.0,
    path: Some(vec![(2, 0, 8)]),
})]
#[case(Case {
    what: "both copies if each lacks a layer",
    holders: vec![holder(0, 0, 0, 4, 1.0), holder(1, 0, 5, 8, 1.0), holder(2, 1, 0, 2, 1.0), holder(3, 1, 3, 8, 1.0)],
    cross: 9.0,
    path: Some(vec![(0, 0, 4), (3, 4, 8)]),
})]
#[case(Case {
    what: "none if the link between them has no capacity left",
    holders: vec![holder(0, 0, 0, 4, 1.0), holder(2, 1, 4, 8, 1.0)],
    cross: f64::INFINITY,
    path: None,
})]
#[case(Case {
    what: "the whole copy of another data centre if layers are missing here and the link is full",
    holders: vec![holder(0, 0, 0, 4, 1.0), holder(1, 0, 6, 8, 1.0), holder(2, 1, 0, 5, 9.0), holder(3, 1, 5, 8, 9.0)],
    cross: f64::INFINITY,
    path: Some(vec![(2, 0, 5), (3, 5, 8)]),
})]
#[case(Case {
    what: "none if a layer is held nowhere",
    holders: vec![holder(0, 0, 0, 4, 1.0), holder(1, 0, 5, 8, 1.0)],
    cross: 1.0,
    path: None,
})]
#[case(Case {
    what: "around a slow server that others can replace",
    holders: vec![holder(0, 0, 0, 8, 12.0), holder(1, 0, 0, 5, 1.0), holder(2, 0, 3, 8, 1.0)],
    cross: 1.0,
    path: Some(vec![(1, 0, 3), (2, 3, 8)]),
})]
fn paths(#[case] case: Case) {
    let cross = |_, _| case.cross;
    let found = find(&case.holders, &query(&cross)).map(|(parts, _)| {
        parts.iter().map(|p| (p.server, p.span.from, p.span.to)).collect::<Vec<_>>()
    });
    let same = match (&found, &case.path) {
        // A boundary inside an overlap may lie anywhere in it.
        (Some(found), Some(path)) => found.iter().map(|p| p.0).eq(path.iter().map(|p| p.0)),
        (found, path) => found == path,
    };
    assert!(same, "{}: {found:?}", case.what);
}

/// A running stream loses a server and can continue only in another data centre. Each token read so far
/// would have to cross the link, with those of all other streams that lost the same server:
/// its caller waits a second in vain. A link without capacity left must not be used after another server, and the
/// cost of any other link counts, unlike at the start of a request in another data centre.
#[test]
fn continuing_after_a_server_crosses_the_link() {
    let holders = [holder(0, 1, 0, 8, 1.0)];
    let full = |_, _| f64::INFINITY;
    let start = Query { from: 3, ..query(&full) };
    assert!(find(&holders, &start).is_none());
    let slow = |from, to| if (from, to) == (0, 1) { 50.0 } else { f64::INFINITY };
    let start = Query { from: 3, ..query(&slow) };
    assert!(find(&holders, &start).unwrap().1 > 50.0);
    // A new request sends only the text of its prompt there.
    assert!(find(&holders, &query(&full)).is_some());
}

/// A path that skips a layer, runs one twice or names a server twice would give a wrong answer or be
/// refused. Checks the paths of random holders against these rules.
#[test]
fn every_layer_once_and_in_order() {
    for seed in 0..2000 {
        let mut random = Pcg64::seed_from_u64(seed);
        let holders: Vec<Holder> = (0..random.random_range(1..20))
            .map(|server| {
                let from = random.random_range(0..8);
                let to = random.random_range(from + 1..=8);
                holder(server, random.random_range(0..3), from, to, random.random_range(0.1..5.0))
            })
            .collect();
        let cross = |_, _| 2.0;
        let held = |layer| holders.iter().any(|h| h.span.contains(layer));
        let found = find(&holders, &query(&cross));
        assert_eq!(found.is_some(), (0..8).all(held), "seed {seed}");
        let Some((parts, cost)) = found else { continue };
        check(&parts, &holders, seed);
        assert!(cost.is_finite(), "seed {seed}");
    }
}

fn check(parts: &[Part], holders: &[Holder], seed: u64) {
    let mut at = 0;
    for part in parts {
        assert_eq!(part.span.from, at, "seed {seed}: {parts:?}");
        assert!(holders[part.server].span.covers(part.span), "seed {seed}: {parts:?}");
        at = part.span.to;
    }
    assert_eq!(at, 8, "seed {seed}");
    let mut servers: Vec<usize> = parts.iter().map(|p| p.server).collect();
    servers.sort_unstable();
    servers.dedup();
    assert_eq!(servers.len(), parts.len(), "seed {seed}: {parts:?}");
    assert!(parts.len() <= MAX_PARTS);
}

/// A data centre's first server has no slot left, and a slow one holds its first layers too. Requests that are
/// still sent to the first server wait for seconds until others end. They must begin at the slow one
/// and continue in the fast copy.
#[test]
fn begins_elsewhere_when_the_first_server_has_no_slot() {
    let whole = 1000.0;
    let first = |running| Holder {
        begin_ms: slots::begin_ms(running, 192, whole),
        ..holder(0, 0, 0, 40, 1.0)
    };
    let others = [holder(1, 0, 40, 80, 1.0), holder(2, 0, 0, 8, 10.0)];
    let begins = |running| {
        let holders = [first(running), others[0], others[1]];
        let query =
            Query { from: 0, layers: 80, zone: 0, remote_begin_ms: 350.0, cross_ms: &|_, _| 500.0 };
        find(&holders, &query).unwrap().0
    };
    assert_eq!(begins(20)[0].server, 0);
    let path = begins(191);
    let servers: Vec<usize> = path.iter().map(|part| part.server).collect();
    assert_eq!(servers, [2, 0, 1]);
    assert_eq!(path[0].span, Span::new(0, 8));
}
