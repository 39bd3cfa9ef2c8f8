//! Suspects and refusals as text, for metrics, pages and the log.

use policy::crash::{Entry, Fingerprint, Kind};

use super::{format_fingerprint, texts};
use crate::state::State;

/// Names of the kinds of suspects in metrics, on pages and in the log.
const KINDS: [&str; 2] = ["content", "part"];

pub(super) fn kind_name(kind: Kind) -> &'static str {
    KINDS[usize::from(kind.is_part())]
}

/// Formats fingerprints, separated by commas.
pub(super) fn format_fingerprints(fingerprints: &[Fingerprint]) -> String {
    match fingerprints.is_empty() {
        true => "none".to_owned(),
        false => texts(fingerprints).join(","),
    }
}

/// Returns the metrics text.
pub fn page(state: &State) -> String {
    let crashes = &state.crashes;
    let mut text = String::new();
    for (parts, refusals) in [false, true].into_iter().zip(&crashes.refused) {
        let (name, now) = (KINDS[usize::from(parts)], state.now());
        let (suspects, refused) = crashes.list.borrow().counts(parts, now);
        text.push_str(&format!(
            "hyssop_crash_suspects{{kind=\"{name}\"}} {suspects}\n\
             hyssop_quarantined{{kind=\"{name}\"}} {refused}\n\
             hyssop_quarantine_refusals_total{{kind=\"{name}\"}} {}\n",
            refusals.get()
        ));
    }
    text + &format!("hyssop_runs_lost_total {}\n", crashes.lost.get())
}

/// Returns the contents and parts that are refused or suspected and the reasons, one line each.
pub fn quarantine(state: &State) -> String {
    let now = state.now();
    let entries = state.crashes.list.borrow_mut().entries(now);
    let line = |entry: &Entry| {
        let last = entry.last.as_ref().map_or_else(
            || "last=unknown".to_owned(),
            |loss| {
                let ago = now.saturating_sub(loss.at);
                format!("last={} ago={ago:?} events={}", loss.start.id, loss.events)
            },
        );
        format!(
            "{}={} verdict={:?} companions={} servers_ended={} {last}\n",
            kind_name(entry.kind),
            format_fingerprint(entry.fingerprint),
            entry.verdict,
            format_fingerprints(&entry.companions),
            entry.servers
        )
    };
    entries.iter().map(line).collect()
}
