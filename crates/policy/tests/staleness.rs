//! Sums of the ages at which routers act.

use std::time::Duration;

use policy::staleness::{Limits, Role, limits};
use rstest::rstest;

/// Longest time of an answer from another router or the store, on a network without faults.
const ANSWER: Duration = Duration::from_millis(30);

/// A deployment: the time within which a change has to be in force, and the number of routers through which it passes.
#[derive(Debug, Clone, Copy)]
struct Case {
    in_force_ms: u64,
    relays: u32,
}

impl Case {
    fn in_force(self) -> Duration {
        Duration::from_millis(self.in_force_ms)
    }

    fn limits(self, next: bool) -> Limits {
        let role = if self.relays == 0 { Role::Direct { next } } else { Role::Relayed { next } };
        limits(self.in_force(), role)
    }

    /// Returns the highest age of a router's data while nothing fails.
    fn steady_age(self) -> Duration {
        let Limits { read, poll, .. } = self.limits(false);
        read + ANSWER + (poll + ANSWER) * (1 + self.relays)
    }
}

/// Guards against routers that leave sound sources, and all read the store, as their data is always too old.
#[rstest]
#[case::direct(Case { in_force_ms: 2000, relays: 0 })]
#[case::relayed(Case { in_force_ms: 2000, relays: 1 })]
#[case::direct_in_1_s(Case { in_force_ms: 1000, relays: 0 })]
#[case::relayed_in_1_s(Case { in_force_ms: 1000, relays: 1 })]
#[case::relayed_in_3_s(Case { in_force_ms: 3000, relays: 1 })]
#[case::relayed_in_10_s(Case { in_force_ms: 10_000, relays: 1 })]
#[case::relayed_in_100_ms(Case { in_force_ms: 100, relays: 1 })]
fn data_of_a_sound_source_is_not_late(#[case] case: Case) {
    let (age, Limits { source, .. }) = (case.steady_age(), case.limits(false));
    assert!(age < source, "{age:?} of {source:?}");
}

/// Guards against time-outs in a row that add up to more than the time within which a change has to be in force.
#[rstest]
#[case::direct(Case { in_force_ms: 2000, relays: 0 })]
#[case::relayed(Case { in_force_ms: 2000, relays: 1 })]
#[case::direct_in_1_s(Case { in_force_ms: 1000, relays: 0 })]
#[case::relayed_in_1_s(Case { in_force_ms: 1000, relays: 1 })]
#[case::relayed_in_10_s(Case { in_force_ms: 10_000, relays: 1 })]
fn a_change_is_known_in_time_whoever_fails(#[case] case: Case) {
    let next_reader = limits(case.in_force(), Role::Direct { next: true });
    let (next, other) = (case.limits(true), case.limits(false));
    // The next one of each kind has fresh data when the others turn to it.
    assert!(next_reader.source + ANSWER < next.source || case.relays == 0);
    assert!(next_reader.source + 2 * ANSWER < other.source);
    // No source is left: the router has checked before that the store answers it.
    assert!(other.check + ANSWER < other.last);
    assert!(other.last + 2 * ANSWER < case.in_force());
    // A slow VM acts later, but not beyond the next age.
    assert!(other.check <= other.source && other.source <= other.last);
}
