//! What is known of one suspect.

use std::time::Duration;

use super::{Fingerprint, Kind, Loss, MAX_LOSSES_KEPT, Start};

/// The losses of one suspect, and the verdict on it.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Record {
    pub(super) fingerprint: Fingerprint,
    pub(super) kind: Kind,
    /// The latest losses.
    pub(super) losses: Vec<Loss>,
    /// Other suspects that all lost requests with this one had as well, sorted; none if no loss is known.
    companions: Option<Vec<Fingerprint>>,
    /// Whether other routers know of it: a loss was sent to them or received from one.
    pub(super) known_elsewhere: bool,
    /// Whether another router had the latest loss.
    pub(super) lost_elsewhere: bool,
    /// Servers that have ended while they ran it.
    pub(super) servers: u32,
    /// End of the time in which it is refused.
    pub(super) refused_until: Option<Duration>,
    /// When the refusal is sent again, and how often it was sent.
    pub(super) resend_at: Duration,
    pub(super) resends: u32,
}

/// Finds the record of a suspect among records sorted by fingerprint, or the place where it belongs.
pub(super) fn find(records: &[Record], fingerprint: Fingerprint) -> Result<usize, usize> {
    records.binary_search_by_key(&fingerprint, |r| r.fingerprint)
}

impl Record {
    pub(super) fn new(fingerprint: Fingerprint, kind: Kind) -> Record {
        Record {
            fingerprint,
            kind,
            losses: Vec::new(),
            companions: None,
            known_elsewhere: false,
            lost_elsewhere: false,
            servers: 0,
            refused_until: None,
            resend_at: Duration::ZERO,
            resends: 0,
        }
    }

    /// Adds a loss. Several requests that were lost with one server are one loss.
    pub(super) fn add(&mut self, loss: &Loss, remote: bool) {
        self.known_elsewhere |= remote;
        if self.lost_at(&loss.start) {
            return;
        }
        self.servers += 1;
        self.lost_elsewhere = remote;
        self.losses.push(loss.clone());
        if self.losses.len() > MAX_LOSSES_KEPT {
            self.losses.remove(0);
        }
    }

    /// Drops the companions that are not among `others`, the other suspects of a lost request. A refusal that this would
    /// widen has to be decided again.
    pub(super) fn restrict_companions(&mut self, others: &[Fingerprint], now: Duration) {
        let kept: Vec<Fingerprint> = match &self.companions {
            Some(known) => known.iter().filter(|c| others.contains(c)).copied().collect(),
            None => {
                let mut others = others.to_vec();
                others.sort_unstable();
                others
            }
        };
        if self.is_refused(now) && kept.len() < self.companions().len() && !self.losses.is_empty() {
            self.refused_until = None;
        }
        self.companions = Some(kept);
    }

    pub(super) fn companions(&self) -> &[Fingerprint] {
        self.companions.as_deref().unwrap_or_default()
    }

    pub(super) fn lost_at(&self, start: &Start) -> bool {
        self.losses.iter().any(|loss| loss.start == *start)
    }

    /// When it was lost last.
    pub(super) fn last(&self) -> Duration {
        self.losses.iter().map(|loss| loss.at).max().unwrap_or_default()
    }

    pub(super) fn is_refused(&self, now: Duration) -> bool {
        self.refused_until.is_some_and(|until| now < until)
    }
}
