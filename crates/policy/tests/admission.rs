//! Admission, order and refusal of requests, without a fleet.

use std::time::Duration;

use policy::queue::{Admit, Entry, Queue, Request};
use policy::refusal::{Reason, Refusal};
use policy::room::Room;
use policy::share::Share;
use proptest::prelude::*;
use rstest::rstest;

fn secs(n: u64) -> Duration {
    Duration::from_secs(n)
}

fn queue() -> Queue<u32> {
    let share = |name: &str, weight, limit| Share { workspace: name.into(), weight, limit };
    Queue::new(vec![share("a", 1, 100), share("b", 1, 3), share("c", 3, 100)])
}

fn request(workspace: &str, run: u64, deadline: u64) -> Request {
    Request { workspace: workspace.into(), priority: 5, run: secs(run), deadline: secs(deadline) }
}

const FULL: Room = Room { free: 0, slots: 4, routers: 1 };
const NONE: Room = Room { free: 0, slots: 0, routers: 1 };
const ONE: Room = Room { free: 1, slots: 4, routers: 1 };

fn refusal(admit: Admit<u32>) -> Option<Refusal> {
    match admit {
        Admit::Refuse(_, refusal) => Some(refusal),
        _ => None,
    }
}

/// Starts all that may start, with as many free slots as there are requests.
fn order(queue: &mut Queue<u32>, now: Duration) -> Vec<Entry<u32>> {
    std::iter::from_fn(|| queue.next(ONE, now)).collect()
}

struct Refused {
    ahead: usize,
    request: Request,
    room: Room,
    reason: Option<Reason>,
}

// A request that can't meet its deadline must be refused at once. If it were admitted, its caller would wait in vain
// and learn this too late to go elsewhere.
#[rstest]
#[case(Refused { ahead: 0, request: request("a", 5, 9), room: FULL, reason: None })]
#[case(Refused { ahead: 0, request: request("a", 10, 9), room: FULL, reason: Some(Reason::Long) })]
#[case(Refused { ahead: 20, request: request("a", 4, 20), room: FULL, reason: Some(Reason::Deadline) })]
#[case(Refused { ahead: 20, request: request("a", 4, 200), room: FULL, reason: None })]
#[case(Refused { ahead: 3, request: request("b", 4, 200), room: FULL, reason: Some(Reason::Limit) })]
#[case(Refused { ahead: 0, request: request("unknown", 4, 200), room: FULL, reason: Some(Reason::Limit) })]
#[case(Refused { ahead: 0, request: request("a", 4, 200), room: NONE, reason: Some(Reason::Outage) })]
fn refuses_at_once_what_would_miss_its_deadline(#[case] case: Refused) {
    let mut queue = queue();
    for i in 0..case.ahead {
        let ahead = request(&case.request.workspace, 4, 1000);
        queue.admit(ahead, i as u32, FULL, Duration::ZERO);
    }
    let admit = queue.admit(case.request, 99, case.room, Duration::ZERO);
    assert_eq!(refusal(admit).map(|r| r.reason), case.reason);
}

// A caller that comes back at the time that its refusal gives must be admitted. If it were refused again, callers would
// ignore that time and come back at once.
#[test]
fn a_caller_that_comes_back_at_the_given_time_is_admitted() {
    let mut queue = queue();
    let mut fill = 0;
    let retry_after = loop {
        let admit = queue.admit(request("a", 4, 20), fill, FULL, Duration::ZERO);
        match refusal(admit) {
            Some(refusal) => break refusal.retry_after.expect("a time"),
            None => fill += 1,
        }
    };
    // The four slots serve the queue meanwhile, one request in each every 4 s.
    let mut now = Duration::ZERO;
    while now + secs(4) <= retry_after + secs(4) {
        let mut room = Room { free: 4, ..FULL };
        while let Some(entry) = queue.next(room, now) {
            room.free -= 1;
            queue.done(&entry.request, secs(4));
        }
        now += secs(4);
    }
    let returning = Request { deadline: retry_after + secs(20), ..request("a", 4, 0) };
    assert!(refusal(queue.admit(returning, 1, FULL, retry_after)).is_none());
}

// One workspace sends 100 requests before another sends 5. First come, first served would make those 5 wait behind
// all of the flood.
#[test]
fn a_flood_waits_behind_its_own() {
    let mut queue = queue();
    for i in 0..100 {
        queue.admit(request("a", 4, 1000), i, FULL, Duration::ZERO);
    }
    for i in 0..5 {
        queue.admit(request("c", 4, 1000), 1000 + i, FULL, secs(1));
    }
    let first: Vec<u32> = order(&mut queue, secs(1)).iter().take(10).map(|e| e.item).collect();
    assert_eq!(first.iter().filter(|i| **i >= 1000).count(), 5, "{first:?}");
}

// Shares are by slot time: three times the weight gets three times the slot time, also when the other workspace sends
// fewer but longer requests.
#[rstest]
#[case(4, 4)]
#[case(12, 2)]
#[case(2, 12)]
fn slot_time_follows_the_weights(#[case] a: u64, #[case] c: u64) {
    let mut queue = queue();
    for i in 0..100 {
        queue.admit(request("a", a, 100_000), i, FULL, Duration::ZERO);
        queue.admit(request("c", c, 100_000), i, FULL, Duration::ZERO);
    }
    let mut given = [0.0, 0.0];
    while given[1] < 150.0 {
        let entry = queue.next(ONE, Duration::ZERO).expect("a request");
        let i = usize::from(entry.request.workspace == "c");
        given[i] += entry.request.run.as_secs_f64();
    }
    let relation = given[1] / given[0];
    assert!((2.0..4.5).contains(&relation), "{given:?}");
}

// Priority moves a workspace ahead of the others, but a flood of high priority must not take the others' shares.
#[test]
fn priority_does_not_take_another_share() {
    let mut queue = queue();
    for i in 0..50 {
        let high = Request { priority: 9, ..request("a", 4, 100_000) };
        queue.admit(high, i, FULL, Duration::ZERO);
        let low = Request { priority: 0, ..request("c", 4, 100_000) };
        queue.admit(low, 1000 + i, FULL, Duration::ZERO);
    }
    let order: Vec<u32> = order(&mut queue, Duration::ZERO).iter().map(|e| e.item).collect();
    assert!(order[0] < 1000, "the higher priority goes first");
    let low = order[..40].iter().filter(|i| **i >= 1000).count();
    assert!(low >= 20, "{low} of the first 40 are of the workspace with three times the weight");
}

// In one workspace a short request arrives behind long ones. It must overtake them; and a long request must not be
// overtaken for ever by short ones that keep arriving.
#[test]
fn short_passes_long_and_long_does_not_starve() {
    let mut queue = queue();
    for i in 0..10 {
        queue.admit(request("a", 60, 100_000), i, FULL, Duration::ZERO);
    }
    queue.admit(request("a", 2, 100_000), 100, FULL, secs(10));
    assert_eq!(queue.next(ONE, secs(10)).map(|e| e.item), Some(100));
    let mut passed = 0;
    for second in 11.. {
        queue.admit(request("a", 2, 100_000), 200, FULL, secs(second));
        if queue.next(ONE, secs(second)).is_some_and(|e| e.item < 100) {
            break;
        }
        passed += 1;
    }
    assert!(passed <= 130, "{passed} short ones passed one of 60 s");
}

// The fleet loses slots while requests wait. Those that can no longer meet their deadline are refused when that is
// known, and never start.
#[test]
fn what_can_no_longer_meet_its_deadline_is_refused() {
    let mut queue = queue();
    for i in 0..8 {
        queue.admit(request("a", 4, 20), i, FULL, Duration::ZERO);
    }
    assert!(queue.expired(FULL, secs(1)).is_empty());
    let slow = Room { slots: 1, ..FULL };
    let gone = queue.expired(slow, secs(2));
    assert!(!gone.is_empty() && queue.waiting() > 0, "{} refused", gone.len());
    assert!(gone.iter().all(|(_, r)| r.reason == Reason::Deadline && r.retry_after.is_some()));
    assert!(queue.next(ONE, secs(19)).is_none(), "none can end by 20 s");
    assert_eq!(queue.expired(FULL, secs(19)).len() + gone.len(), 8);
}

// Callers leave, and requests are refused by an agent and put back. Counts must not drift, or an empty queue looks
// backlogged and makes every request wait.
#[test]
fn an_empty_queue_is_empty_after_any_order_of_events() {
    let mut queue = queue();
    for round in 0..50u64 {
        let now = secs(round);
        let admit = queue.admit(request("a", 3, 1000), 1, FULL, now);
        let Admit::Wait(ticket) = admit else { panic!("{admit:?}") };
        queue.admit(request("c", 7, 1000), 2, FULL, now);
        let entry = queue.next(ONE, now).expect("a request");
        queue.requeue(entry);
        queue.cancel("a", ticket);
        for entry in order(&mut queue, now) {
            queue.done(&entry.request, secs(2));
        }
        assert_eq!((queue.waiting(), queue.running()), (0, 0));
    }
    let admit = queue.admit(request("a", 3, 1000), 1, ONE, secs(60));
    assert!(matches!(admit, Admit::Start(_)));
}

// Operators remove a workspace, or add it anew, while its requests wait: these are still started or refused, and new
// ones are refused.
#[test]
fn settings_change_while_requests_wait() {
    let mut queue = queue();
    (0..3).for_each(|i| drop(queue.admit(request("a", 4, 100), i, FULL, Duration::ZERO)));
    queue.set_shares(Vec::new());
    assert_eq!(
        refusal(queue.admit(request("a", 4, 100), 9, ONE, secs(1))).map(|r| r.reason),
        Some(Reason::Limit)
    );
    let entry = queue.next(ONE, secs(1)).expect("its turn");
    (0..2).for_each(|_| drop(queue.next(ONE, secs(1))));
    queue.done(&entry.request, secs(4));
    queue.done(&entry.request, secs(4));
    queue.done(&entry.request, secs(4));
    queue.set_shares(Vec::new());
    queue.requeue(entry);
    assert_eq!(queue.expired(FULL, secs(2)).len(), 1, "refused, not lost");
}

// A caller names absurd numbers, or an agent reports them: requests with them are refused, and the sums don't
// overflow.
#[test]
fn absurd_times_are_refused() {
    for run in [Duration::MAX, Duration::MAX / 2, secs(1 << 40)] {
        let mut queue = queue();
        let absurd = Request { run, deadline: Duration::MAX, ..request("a", 0, 0) };
        let admit = queue.admit(absurd, 1, ONE, secs(1));
        assert_eq!(refusal(admit).map(|r| r.reason), Some(Reason::Long));
    }
}

#[derive(Debug, Clone)]
enum Event {
    Arrive { workspace: usize, run: u64, slack: u64 },
    Next,
    Back,
    Lost,
    Done,
    Expire,
    Pass(u64),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => (0..3usize, 1..40u64, 0..60u64)
            .prop_map(|(workspace, run, slack)| Event::Arrive { workspace, run, slack }),
        3 => Just(Event::Next),
        1 => Just(Event::Back),
        1 => Just(Event::Lost),
        2 => Just(Event::Done),
        1 => Just(Event::Expire),
        2 => (0..10u64).prop_map(Event::Pass),
    ]
}

proptest! {
    // Each admitted request is returned once, whatever happens, and none starts that can't end by its deadline. The
    // caller of a request that the queue lost would wait for ever.
    #[test]
    fn each_request_comes_out_once(events in prop::collection::vec(event(), 1..200)) {
        let (mut queue, mut now) = (queue(), Duration::ZERO);
        let (mut running, mut out, mut arrived) = (Vec::new(), 0, 0);
        for event in events {
            match event {
                Event::Pass(seconds) => now += secs(seconds),
                Event::Arrive { workspace, run, slack } => {
                    arrived += 1;
                    let deadline = now.as_secs() + run + slack;
                    let request = request(["a", "b", "c"][workspace], run, deadline);
                    match queue.admit(request, arrived, FULL, now) {
                        Admit::Refuse(..) => out += 1,
                        Admit::Start(entry) => running.push(entry),
                        Admit::Wait(_) => {}
                    }
                }
                Event::Next => {
                    let entry = queue.next(ONE, now);
                    prop_assert!(entry.iter().all(|e| now + e.request.run <= e.request.deadline));
                    running.extend(entry);
                }
                Event::Back => running.pop().into_iter().for_each(|e| queue.requeue(e)),
                Event::Lost => running.pop().into_iter().for_each(|e| queue.requeue_first(e)),
                Event::Done => {
                    if let Some(entry) = running.pop() {
                        queue.done(&entry.request, entry.request.run);
                        out += 1;
                    }
                }
                Event::Expire => out += queue.expired(FULL, now).len(),
            }
            prop_assert_eq!(queue.running() as usize, running.len());
        }
        out += running.len() + queue.expired(FULL, now + secs(1000)).len();
        prop_assert_eq!(out, arrived as usize);
        prop_assert_eq!(queue.waiting(), 0);
    }
}
