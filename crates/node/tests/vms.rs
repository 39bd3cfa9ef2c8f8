//! Which VMs are used after reading a list that lags, loses entries or is empty by mistake.

use std::time::Duration;

use cloud::vm::{Entry, Role, State};
use node::vms::{Inventory, MISSING_VM_GRACE};
use rstest::rstest;
use tokio::time::Instant;

/// Parses a short form of a list: in `a b- c` VM b is leaving.
fn list(text: &str) -> Vec<Entry> {
    let entry = |word: &str| Entry {
        vm: word.trim_end_matches('-').to_string(),
        role: Role::Agent,
        data_centre: "dc-a".to_string(),
        address: "127.0.0.1:7000".to_string(),
        state: if word.ends_with('-') { State::Leaving } else { State::Live },
    };
    text.split_whitespace().map(entry).collect()
}

fn short(entries: &[Entry]) -> String {
    let word = |e: &Entry| match e.state {
        State::Live => e.vm.clone(),
        State::Leaving => format!("{}-", e.vm),
    };
    entries.iter().map(word).collect::<Vec<_>>().join(" ")
}

struct Case {
    /// Lists as they are read, one a second.
    read: &'static [&'static str],
    counts: &'static str,
}

/// The platform's list loses all or some of its entries, or an entry flaps. If every list were applied
/// as it is, all callers could be refused while every backend server runs; if missing entries were
/// ignored, a VM removed from the list would get work until it is gone.
#[rstest]
#[case::as_read(Case { read: &["a b c"], counts: "a b c" })]
#[case::one_missing_is_leaving(Case { read: &["a b c", "a c"], counts: "a b- c" })]
#[case::half_missing_are_leaving(Case { read: &["a b c d", "a b"], counts: "a b c- d-" })]
#[case::most_missing_is_implausible(Case { read: &["a b c", "a"], counts: "a b c" })]
#[case::empty_is_implausible(Case { read: &["a b c", ""], counts: "a b c" })]
#[case::implausible_repeatedly(Case { read: &["a b c", "", "", ""], counts: "a b c" })]
#[case::complete_after_implausible(Case { read: &["a b c", "", "a b c"], counts: "a b c" })]
#[case::the_rest_of_an_implausible_list_counts(Case { read: &["a b c", "a- d"], counts: "a- b c d" })]
#[case::replaced_as_a_whole(Case { read: &["a b", "c d", "c d"], counts: "a- b- c d" })]
#[case::flapping(Case { read: &["a b", "a- b", "a b", "a- b"], counts: "a- b" })]
#[case::missing_and_back(Case { read: &["a b c", "a b", "a b c"], counts: "a b c" })]
fn a_list_that_lacks_vms_is_checked(#[case] case: Case) {
    let mut inventory = Inventory::default();
    let mut now = Instant::now();
    for text in case.read {
        inventory.update(&list(text), now);
        now += Duration::from_secs(1);
    }
    assert_eq!(short(&inventory.entries()), case.counts);
}

/// A VM is removed from the list for good. If it were never removed here, the daemon would request its
/// reports as long as it runs, and replaced VMs would accumulate.
#[test]
fn a_missing_vm_is_removed_after_its_grace_time() {
    let mut inventory = Inventory::default();
    let now = Instant::now();
    inventory.update(&list("a b c"), now);
    inventory.update(&list("a c"), now);
    inventory.update(&list("a c"), now + MISSING_VM_GRACE - Duration::from_secs(1));
    assert_eq!(short(&inventory.entries()), "a b- c");
    inventory.update(&list("a c"), now + MISSING_VM_GRACE);
    assert_eq!(short(&inventory.entries()), "a c");
}
