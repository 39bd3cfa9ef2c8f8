//! Retries within a budget that routers share without communication; suspicion of servers; meters.

use std::time::Duration;

use policy::meter::Meter;
use policy::suspicion::{MAX_PAUSE, MIN_PAUSE, Suspicion};
use policy::window::{Budget, Routers};
use rstest::rstest;

const WINDOW: Duration = Duration::from_secs(10);

/// A server that carries a quarter of the work dies again and again, and each router retries all it can. The retries
/// of all routers together must stay within the common budget in any window, or they keep a slow service slow.
#[rstest]
#[case::four(4, 20)]
#[case::many(26, 3)]
#[case::idle(4, 0)]
fn all_routers_stay_within_the_common_budget(#[case] routers: u32, #[case] per_second: u32) {
    let (ratio, slack) = (0.2, 196.0);
    let mut budgets = vec![Budget::new(ratio, slack, WINDOW); routers as usize];
    let mut retries: Vec<Duration> = Vec::new();
    let mut requests: Vec<Duration> = Vec::new();
    for tick in 0..400 {
        let now = Duration::from_millis(100 * tick);
        for budget in &mut budgets {
            if tick % 10 == 0 {
                (0..per_second).for_each(|_| budget.record_request(now));
                requests.extend((0..per_second).map(|_| now));
            }
            while budget.take(now, routers) {
                retries.push(now);
            }
        }
        let within =
            |times: &[Duration]| times.iter().filter(|at| **at + WINDOW > now).count() as f64;
        let allowed = ratio * within(&requests) + slack;
        assert!(within(&retries) <= allowed, "{} of {allowed} at {now:?}", within(&retries));
    }
    assert!(!retries.is_empty());
}

/// Routers are restarted one after the other. Each new process doesn't know what the previous one used, and must not
/// use the whole share again at once.
#[test]
fn a_new_process_uses_part_of_its_share() {
    let mut new = Budget::new(0.2, 196.0, WINDOW);
    let mut old = Budget::new(0.2, 196.0, WINDOW);
    let used = |budget: &mut Budget, now| (0..).take_while(|_| budget.take(now, 4)).count();
    let (new, old) = (used(&mut new, Duration::from_millis(500)), used(&mut old, WINDOW * 2));
    assert!(new * 3 < old, "{new} of {old}");
}

/// A router is cut off from the store and no longer counted, but still retries. The others must not divide its share
/// among them.
#[test]
fn routers_that_vanish_are_counted_for_a_while() {
    let second = Duration::from_secs(1);
    let mut routers = Routers::new(16, 30 * second);
    routers.record(second, 4);
    (2..20).for_each(|s| routers.record(s * second, 3));
    assert_eq!(routers.count(20 * second), 4);
    (20..60).for_each(|s| routers.record(s * second, 3));
    assert_eq!(routers.count(60 * second), 3);
    routers.record(61 * second, 5);
    assert_eq!(routers.count(61 * second), 5);
}

/// A server alternates between down and up. Requests must be sent to it less and less often.
#[test]
fn flapping_servers_are_passed_over_longer() {
    let mut suspicion = Suspicion::default();
    let mut now = Duration::from_secs(10);
    let mut pauses = Vec::new();
    for _ in 0..6 {
        suspicion.record_failure(now);
        let from = now;
        while suspicion.holds(now) {
            now += Duration::from_millis(10);
        }
        pauses.push(now - from);
    }
    assert_eq!(pauses[0], MIN_PAUSE);
    assert!(pauses.windows(2).all(|p| p[0] <= p[1]));
    assert_eq!(pauses[5], MAX_PAUSE);
    suspicion.clear();
    assert!(!suspicion.is_unresolved());
}

/// A server that was passed over answers a status request. It has to be used again at once, also by the leader, which
/// would otherwise have its layers loaded elsewhere and kept there.
#[test]
fn an_answer_ends_the_suspicion() {
    let mut suspicion = Suspicion::default();
    let now = Duration::from_secs(10);
    suspicion.record_failure(now);
    suspicion.clear();
    assert!(!suspicion.holds(now) && !suspicion.is_unresolved());
    // It flaps: the pause is longer than the first time.
    suspicion.record_failure(now + MIN_PAUSE);
    assert!(suspicion.holds(now + MIN_PAUSE * 2) && suspicion.is_unresolved());
}

/// Failures of requests that were in progress together must count once, or the pause becomes too long.
#[test]
fn failures_at_once_count_once() {
    let mut suspicion = Suspicion::default();
    let now = Duration::from_secs(1);
    (0..40).for_each(|_| suspicion.record_failure(now));
    assert!(!suspicion.holds(now + MIN_PAUSE));
}

/// Routers send prompts over one link at several times its rate. Each stops as soon as its own share is full, so that
/// the total that waits stays bounded; and together they still use the link.
#[rstest]
#[case::few(4)]
#[case::many(26)]
fn what_waits_for_a_link_is_bounded(#[case] routers: u32) {
    let (share, full) = (0.7, Duration::from_millis(250));
    let others = f64::from(routers);
    let prompt = Duration::from_millis(14);
    let mut meters = vec![Meter::default(); routers as usize];
    let mut waiting = 0.0_f64;
    let mut sent = Duration::ZERO;
    for tick in 0..1000 {
        let now = Duration::from_millis(10 * tick);
        waiting = (waiting - 10.0).max(0.0);
        for meter in &mut meters {
            if meter.accepts(now, share, others, full) {
                meter.add(now, prompt, share / others);
                waiting += 14.0;
                sent += prompt;
            }
        }
        assert!(waiting < 250.0 * others.sqrt() + 14.0 * others, "{waiting} ms wait at {now:?}");
    }
    // The whole capacity that is shared out in ten seconds.
    assert!(sent >= Duration::from_millis(6900), "{sent:?}");
}
