//! How old the data of a router may grow before it turns to another source.
//!
//! Load pattern: hundreds of routers receive what one of them reads from the store, some of them through a relay. The one
//! that reads is cut off from the store, or is gone. If each router waits for a time-out of its own for each thing that
//! may have failed, the times add up to more than the time within which a change has to be in force. If all of them turn
//! to the store at once, it is overloaded.
//!
//! So each router knows as of when its data is known, and the age alone decides, whoever has failed. The routers act at
//! different ages: first the one that reads for the others next, so that the others find its data fresh when they turn
//! to it. All ages are parts of the one time within which a change has to be in force.

use std::time::Duration;

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
    let part = |part: f64| in_force.clamp(MIN_IN_FORCE, MAX_IN_FORCE).mul_f64(part);
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
    }
}
