//! Whether an entry that is gone from the list of servers may have expired although its server is alive.
//!
//! A server writes its entry at intervals, and the store drops an entry that was not written for three of them. While the
//! store answers nobody, entries of live servers expire, and they are written again soon after it has returned: without
//! a grace period, all servers would be gone at once. While it answers, an entry that is gone belongs to a server that
//! leaves, which must get no more requests.
//!
//! The two look alike to a router that could not read the store itself. What tells them apart is how long the list could
//! not be read by anyone that this router receives from: an entry does not expire sooner.

use std::time::Duration;

/// Intervals without a write after which the store drops an entry.
const LIFETIME_HEARTBEATS: u32 = 3;

/// Time after the store's return within which entries that expired are written again.
pub const RETURN_TIME: Duration = Duration::from_millis(2200);

/// When the list of servers could be read.
#[derive(Debug)]
pub struct Silence {
    /// Time between two writes of an entry.
    heartbeat: Duration,
    /// As of when the list is known.
    known: Option<Duration>,
    /// When it became known that the store has returned, and until when entries may be missing.
    grace: Option<(Duration, Duration)>,
}

impl Silence {
    /// Creates the state of a router that has not read the list yet. `heartbeat` is the time between two writes of a
    /// server's entry.
    pub fn new(heartbeat: Duration) -> Silence {
        Silence { heartbeat, known: None, grace: None }
    }

    /// Records at `now` that the list is known as of `read`, when the read that it rests on was sent. Returns for how long
    /// the store was silent, if that is long enough for an entry to expire.
    ///
    /// ```
    /// use std::time::Duration;
    /// use policy::expiry::Silence;
    /// let at = Duration::from_millis;
    /// let mut silence = Silence::new(at(1200));
    /// assert_eq!(silence.record(at(1000), at(1004)), None);
    /// // A router that was cut off for two seconds knows that no entry of a live server has expired.
    /// assert_eq!(silence.record(at(3300), at(3304)), None);
    /// assert_eq!(silence.grace_end(at(900), at(3400)), None);
    /// // After eight seconds, entries may have.
    /// assert_eq!(silence.record(at(11_300), at(11_304)), Some(at(8000)));
    /// assert_eq!(silence.grace_end(at(900), at(11_400)), Some(at(13_500)));
    /// // Not that of a server that has written since.
    /// assert_eq!(silence.grace_end(at(12_000), at(12_400)), None);
    /// assert_eq!(silence.grace_end(at(900), at(13_600)), None);
    /// ```
    pub fn record(&mut self, read: Duration, now: Duration) -> Option<Duration> {
        let known = self.known;
        self.known = known.max(Some(read));
        let silent = read.saturating_sub(known?);
        // A live server has written up to one interval before the store became silent.
        let is_long = silent >= self.heartbeat * (LIFETIME_HEARTBEATS - 1);
        is_long.then(|| {
            self.grace = Some((now, read + RETURN_TIME));
            silent
        })
    }

    /// Records at `now` that the store has lost writes, so that entries are missing as after a silence.
    pub fn record_lost_writes(&mut self, now: Duration) {
        self.grace = Some((now, now + RETURN_TIME));
    }

    /// Returns until when a server is kept whose entry is gone; none if the entry has not expired. The entry was last
    /// `received` by this router at that time.
    pub fn grace_end(&self, received: Duration, now: Duration) -> Option<Duration> {
        let (returned, end) = self.grace?;
        (now < end && received <= returned).then_some(end)
    }
}
