//! Callers that come back after a shortage of places.

use std::time::Duration;

use policy::shortage::{MIN_RETRY_AFTER, Shortage};

/// Length of the shortage.
const SHORTAGE: Duration = Duration::from_secs(8);

/// New requests in a second.
const ARRIVALS_PER_S: u32 = 100;

/// Requests that are served in a second during the shortage, and after it.
const SERVED_PER_S: [u32; 2] = [60, 130];

/// Callers of the shortage that are refused for good: each comes back once.
fn lost(retry_after: impl Fn(&mut Shortage, Duration) -> Duration) -> usize {
    let tick = Duration::from_millis(100);
    let mut shortage = Shortage::default();
    let mut back: Vec<Duration> = Vec::new();
    let mut lost = 0;
    for step in 0..300 {
        let now = tick * step;
        let mut places = SERVED_PER_S[usize::from(now >= SHORTAGE)] / 10;
        let returned = back.iter().filter(|at| **at <= now).count() as u32;
        back.retain(|at| *at > now);
        for i in 0..returned + ARRIVALS_PER_S / 10 {
            // Returning callers and new ones arrive alternately.
            let first = i % 2 == 1 || i / 2 >= returned;
            match places.checked_sub(1) {
                Some(left) => {
                    places = left;
                    shortage.placed(now);
                }
                None if first => back.push(now + retry_after(&mut shortage, now)),
                None => {
                    shortage.refused(now);
                    lost += 1;
                }
            }
        }
    }
    lost
}

/// Servers are lost for eight seconds, and four requests in ten find no place. Callers that all come back after a
/// second and a half meet the same shortage and are refused for good; with times that depend on the shortage at least
/// half of them have to be served.
#[test]
fn callers_come_back_to_free_places() {
    let fixed = lost(|_, _| MIN_RETRY_AFTER);
    let adaptive = lost(|shortage, now| shortage.refused(now));
    assert!(2 * adaptive <= fixed, "{adaptive} lost, and {fixed} if they come back soon");
}
