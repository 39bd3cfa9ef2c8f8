//! Callers that come back after a shortage of places.

use std::time::Duration;

use policy::shortage::{MIN_RETRY_AFTER, Shortage};

/// Length of the shortage.
const SHORT: Duration = Duration::from_secs(8);

/// Requests that come in a second.
const ASKED: u32 = 100;

/// Requests that are served in a second during the shortage, and after it.
const SERVED: [u32; 2] = [60, 130];

/// Callers of the shortage that are refused for good: each comes back once.
fn lost(again: impl Fn(&mut Shortage, Duration) -> Duration) -> usize {
    let tick = Duration::from_millis(100);
    let mut shortage = Shortage::default();
    let mut back: Vec<Duration> = Vec::new();
    let mut lost = 0;
    for step in 0..300 {
        let now = tick * step;
        let mut places = SERVED[usize::from(now >= SHORT)] / 10;
        let returned = back.iter().filter(|at| **at <= now).count() as u32;
        back.retain(|at| *at > now);
        for i in 0..returned + ASKED / 10 {
            // Those who are back and new ones come in turn.
            let first = i % 2 == 1 || i / 2 >= returned;
            match places.checked_sub(1) {
                Some(left) => {
                    places = left;
                    shortage.placed(now);
                }
                None if first => back.push(now + again(&mut shortage, now)),
                None => {
                    shortage.refused(now);
                    lost += 1;
                }
            }
        }
    }
    lost
}

/// Servers are lost for eight seconds, and four requests in ten find no place. Callers that are all told to come back
/// in a second and a half meet the same shortage, and are refused for good; half of them at least
/// must be told a time at which they are served.
#[test]
fn callers_come_back_to_free_places() {
    let soon = lost(|_, _| MIN_RETRY_AFTER);
    let told = lost(|shortage, now| shortage.refused(now));
    assert!(2 * told <= soon, "{told} lost, and {soon} if they come back soon");
}
