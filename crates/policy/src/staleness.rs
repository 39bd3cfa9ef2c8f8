//! How old the data of a router may grow before it turns to another source.
//!
//! Load pattern: hundreds of routers receive what one of them reads from the store, some of them through a relay. The one
//! that reads is cut off from the store, or is gone. If each router waits for a time-out of its own for each thing that
//! may have failed, the times add up to more than the time within which a change has to be in force. If all of them turn
//! to the store at once, it is overloaded.
//!
//! So each router knows as of when its data is known, and the age alone decides, whoever has failed. The routers act at
//! different ages: first the one that reads for the others next, so that the others find its data fresh when they turn
//! to it. All ages are parts of the one time within which a change has to be in force, and so are all pauses between an
//! age and the read that follows from it. A single failed call costs one short pause. Only calls that fail for a while
//! show that the store was away; after that, a router leaves some time to the one that reads for others.

mod check;
mod contact;

use std::time::Duration;

pub use check::Check;
pub use contact::{Access, Contact, Data, access, may_leave};

/// Shortest time that is divided. Where less is allowed, a change may be late if a router fails that others read from.
const MIN_IN_FORCE: Duration = Duration::from_secs(1);

/// Longest time that is divided. Where more is allowed, a change is still known as soon.
const MAX_IN_FORCE: Duration = Duration::from_secs(3);

/// Part of the time within which a router that reads for others reads again.
const READ: f64 = 0.25;

/// Part of the time within which a router asks its source again.
const POLL: f64 = 0.2;

/// Part of the time after which the next reader turns to the store, a reader to another router, and all others check
/// whether the store answers them.
const NEXT_READER: f64 = 0.5;

/// Part after which other routers turn from the reader to another source, and the next relay to the reader.
const DIRECT: f64 = 0.6;

/// Part after which a router turns from its relay to another one.
const RELAYED: f64 = 0.75;

/// Part after which a router that has found no source with fresh data reads the store itself.
const LAST: f64 = 0.75;

/// The same for routers that receive from a relay.
const LAST_RELAYED: f64 = 0.85;

/// Part over which the first checks of different routers are spread.
const SPREAD: f64 = 0.1;

/// Part after which a failed call to the store is repeated. The pause doubles with each further failure.
const REPEAT: f64 = 0.05;

/// Part up to which that pause grows.
const MAX_REPEAT: f64 = 0.25;

/// Part after the last call after which a check that another router requests is sent at the earliest.
const MIN_REQUEST_PAUSE: f64 = 0.05;

/// Part up to which that pause grows at a reader whose data is too old anyway. A refused call costs the platform as much
/// as any other.
const MAX_LATE_REPEAT: f64 = 0.6;

/// Part after which a check without an answer counts as failed.
const CHECK_ANSWER: f64 = 0.25;

/// Part over which calls have to fail before the store counts as having been away.
const OUTAGE: f64 = 0.25;

/// Part after such an outage within which another router is expected to have read the store.
const SETTLE: f64 = 0.5;

/// Part after which a router without fresh data asks another one again. The pause doubles with each further question.
const ASK: f64 = 0.15;

/// Part up to which that pause grows.
const MAX_ASK: f64 = 2.0;

/// Where a router receives its data from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// From the store.
    Reader,
    /// From the reader. `next` says whether it is the reader if that one fails.
    Direct {
        /// Whether it is the next reader.
        next: bool,
    },
    /// From a relay. `next` says whether it is the relay if that one fails.
    Relayed {
        /// Whether it is the next relay.
        next: bool,
    },
}

/// Ages of the data at which a router acts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Time after which a router that reads for others reads again.
    pub read: Duration,
    /// Longest pause between two polls of the source.
    pub poll: Duration,
    /// Age from which on the router checks whether the store answers it.
    pub check: Duration,
    /// Age from which on it turns to another source.
    pub source: Duration,
    /// Age from which on it reads the store itself, if no source has fresh data.
    pub last: Duration,
    /// Whether it reads the store if its source fails.
    pub is_next_reader: bool,
    /// Time by which its check is delayed at most, so that not all routers check at the same moment.
    pub spread: Duration,
    /// Time after which a check without an answer counts as failed.
    pub check_answer: Duration,
    /// Shortest time from any call to a check that another router has requested.
    pub min_request_pause: Duration,
    /// Time over which calls have to fail before the store counts as having been away.
    pub outage: Duration,
    /// Time after such an outage within which another router is expected to have read the store.
    pub settle: Duration,
    /// Shortest and longest pause between two questions to other routers for fresh data.
    pub ask: (Duration, Duration),
    in_force: Duration,
}

impl Limits {
    /// Returns the ages of a router on a slow VM, which are higher by a delay, but not beyond the next age: on such a VM all
    /// data is old, whoever sent it.
    pub fn delayed(self, by: Duration) -> Limits {
        let check = (self.check + by).min(self.source);
        Limits { check, source: (self.source + by).min(self.last), ..self }
    }

    /// Returns the age up to which data of the source is used without a look at the store. The next reader looks sooner,
    /// and at once if the source reports that the store does not answer it. A source that was not asked yet may have
    /// fresh data.
    pub fn max_age(&self, is_asked: bool, is_reported: bool) -> Duration {
        match () {
            () if !self.is_next_reader || !is_asked => self.last,
            () if is_reported => Duration::ZERO,
            () => self.source,
        }
    }

    /// Returns the pause before a call to the store is repeated that has failed a number of times in a row before.
    ///
    /// ```
    /// use std::time::Duration;
    /// use policy::staleness::{Role, limits};
    /// let limits = limits(Duration::from_millis(2000), Role::Reader);
    /// let pauses = [0, 1, 2, 3, 40].map(|failures| limits.repeat_pause(failures).as_millis());
    /// assert_eq!(pauses, [100, 200, 400, 500, 500]);
    /// ```
    pub fn repeat_pause(&self, failures: u32) -> Duration {
        self.doubled(REPEAT, failures, MAX_REPEAT)
    }

    /// Returns the same pause for a router that reads for others, whose data has an age.
    pub fn reader_pause(&self, failures: u32, age: Duration) -> Duration {
        let longest = if age < self.in_force { MAX_REPEAT } else { MAX_LATE_REPEAT };
        self.doubled(REPEAT, failures, longest)
    }

    fn doubled(&self, first: f64, times: u32, longest: f64) -> Duration {
        let part = first * f64::from(times.min(16)).exp2();
        self.in_force.mul_f64(part.min(longest))
    }
}

/// Returns the ages at which a router acts if a change has to be in force within a time.
///
/// ```
/// use std::time::Duration;
/// use policy::staleness::{Role, limits};
/// let at = Duration::from_millis;
/// let next = limits(at(2000), Role::Direct { next: true });
/// let other = limits(at(2000), Role::Direct { next: false });
/// assert_eq!((next.source, other.source, other.last), (at(1000), at(1200), at(1500)));
/// // The next reader has read before the others turn to it.
/// assert!(next.source < other.source);
/// ```
pub fn limits(in_force: Duration, role: Role) -> Limits {
    let in_force = in_force.clamp(MIN_IN_FORCE, MAX_IN_FORCE);
    let part = |part: f64| in_force.mul_f64(part);
    let (source, last) = match role {
        Role::Reader | Role::Direct { next: true } => (NEXT_READER, LAST),
        Role::Direct { next: false } => (DIRECT, LAST),
        Role::Relayed { next: true } => (DIRECT, LAST_RELAYED),
        Role::Relayed { next: false } => (RELAYED, LAST_RELAYED),
    };
    Limits {
        read: part(READ),
        poll: part(POLL),
        check: part(NEXT_READER),
        source: part(source),
        last: part(last),
        is_next_reader: role == Role::Direct { next: true },
        spread: part(SPREAD),
        check_answer: part(CHECK_ANSWER),
        min_request_pause: part(MIN_REQUEST_PAUSE),
        outage: part(OUTAGE),
        settle: part(SETTLE),
        ask: (part(ASK), part(MAX_ASK)),
        in_force,
    }
}
