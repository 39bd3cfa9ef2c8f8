//! Whether a router that has a source may read the store itself, by which of its calls the store has answered.

use std::time::Duration;

use super::Limits;

/// Number of calls in a row that have to fail before the store counts as having been away.
const MIN_OUTAGE_CALLS: u32 = 4;

/// Which calls the store has answered. All times count from one moment, such as the start of the process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Contact {
    /// When the last answered call was sent.
    answered: Option<Duration>,
    /// The last failures in a row.
    failures: Option<Failures>,
}

/// Calls in a row that had no answer, or that the store refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Failures {
    /// When the first and the last one were sent.
    first: Duration,
    last: Duration,
    count: u32,
    /// When the first call was answered after them.
    regained: Option<Duration>,
}

impl Failures {
    /// Whether the store seems to have been away: neither one call that took long nor some calls that failed at once show
    /// that.
    fn are_outage(&self, limits: &Limits) -> bool {
        self.count >= MIN_OUTAGE_CALLS && self.last - self.first >= limits.outage
    }
}

impl Contact {
    /// Records at `now` the outcome of a call that was sent at `sent`.
    pub fn record(&mut self, sent: Duration, now: Duration, answered: bool) {
        match &mut self.failures {
            // The answer to a later call shows more.
            _ if !answered && self.answered.is_some_and(|at| at > sent) => return,
            Some(failures) if answered => {
                failures.regained.get_or_insert(now);
            }
            Some(failures) if failures.regained.is_none() => {
                failures.first = failures.first.min(sent);
                failures.last = failures.last.max(sent);
                failures.count += 1;
            }
            failures if !answered => {
                let (first, last, count) = (sent, sent, 1);
                *failures = Some(Failures { first, last, count, regained: None });
            }
            _ => {}
        }
        if answered {
            self.answered = self.answered.max(Some(sent));
        }
    }
}

/// What a router knows of a log that it receives from a source.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Data {
    /// As of when the log is known.
    pub read: Duration,
    /// Since when the source reports that the store does not answer it, if it does.
    pub reported: Option<Duration>,
}

impl Data {
    /// Returns from when on an answer of the store shows that the source alone is cut off.
    pub(super) fn doubted_from(&self, limits: &Limits) -> Duration {
        let old = self.read + limits.check;
        self.reported.map_or(old, |at| at.min(old))
    }
}

/// Whether a router whose source has no fresh data may read the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Access {
    /// It may.
    Granted,
    /// It may from that time on.
    From(Duration),
    /// It may once the store has answered a check.
    AfterCheck,
}

/// Decides whether a router whose source has no fresh data may read the store. The next reader may without a check, unless
/// its last call failed.
///
/// ```
/// use std::time::Duration;
/// use policy::staleness::{Access, Contact, Data, Role, access, limits};
/// let at = Duration::from_millis;
/// let limits = limits(at(2000), Role::Direct { next: false });
/// let data = Data { read: at(0), reported: None };
/// let mut contact = Contact::default();
/// assert_eq!(access(&limits, &contact, data), Access::AfterCheck);
/// contact.record(at(1010), at(1014), true);
/// assert_eq!(access(&limits, &contact, data), Access::Granted);
/// // One failed call takes nothing but the time until the next answer.
/// contact.record(at(1500), at(1501), false);
/// assert_eq!(access(&limits, &contact, data), Access::AfterCheck);
/// contact.record(at(1600), at(1604), true);
/// assert_eq!(access(&limits, &contact, data), Access::Granted);
/// ```
pub fn access(limits: &Limits, contact: &Contact, data: Data) -> Access {
    let failures = contact.failures.filter(|failures| failures.last >= data.read);
    let is_checked = contact.answered.is_some_and(|at| at >= data.doubted_from(limits));
    match failures {
        Some(Failures { regained: None, .. }) => Access::AfterCheck,
        _ if !limits.is_next_reader && !is_checked => Access::AfterCheck,
        Some(failures @ Failures { regained: Some(at), .. }) if failures.are_outage(limits) => {
            Access::From(at + limits.settle)
        }
        _ => Access::Granted,
    }
}

/// Decides whether a router leaves a source that has no fresh data, as the store answers this router. Nothing waits for
/// this, so that one failed call is enough to leave some time to the source.
pub fn may_leave(limits: &Limits, contact: &Contact, data: Data, now: Duration) -> bool {
    let is_settled = |failures: &Failures| {
        failures.last < data.read || failures.regained.is_some_and(|at| at + limits.settle <= now)
    };
    contact.answered.is_some_and(|at| at >= data.doubted_from(limits))
        && contact.failures.as_ref().is_none_or(is_settled)
}
