//! Decides which settings changes take effect. Every process reads the same stream and judges
//! each record with the same pure function, so all processes agree without a coordinator.
//!
//! Records expire, so a process that starts late can't derive the version in force from the
//! stream alone. It judges nothing until it reads a *carried* record, which states the version
//! in force at an offset that the process has not missed; from then on it judges like the
//! others. `docs/design/settings.md` explains why this is safe.

use serde::{Deserialize, Serialize};

use crate::fleet::{self, Fleet};

/// Name of the settings stream in the log service.
pub const STREAM: &str = "settings";

/// Reason for refusing a carried record whose version can't have been in force.
const IMPOSSIBLE_VERSION: &str = "carries no version that can have been in force";

/// A record of the settings stream, encoded as JSON.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Unique id chosen by the publisher, which identifies its own record when it reads it back.
    pub id: String,
    /// Version that the change was made from.
    pub base: u64,
    /// Author of the change.
    pub author: String,
    /// Reason for the change.
    pub reason: String,
    /// Complete new text of the fleet settings.
    pub text: String,
    /// In a carried record, which keeps an accepted version from expiring: that version.
    #[serde(default)]
    pub carried: Option<u64>,
    /// In a carried record: the version was in force after its author had judged every record
    /// before this offset. Set by [`State::carried_record`].
    #[serde(default)]
    pub judged: u64,
}

/// Outcome of a record.
#[derive(Debug, Clone, PartialEq)]
pub enum Verdict {
    /// Takes effect, as this version.
    Accepted(u64),
    /// Repeats the version in force.
    Carried(u64),
    /// Has no effect, for this reason.
    Refused(String),
    /// Can't be judged yet by this process, because records before it expired unread.
    Pending,
}

/// Settings in force and position in the stream of one process.
#[derive(Debug, Clone, PartialEq)]
pub struct State {
    /// Version in force; 0 when there is none. Never decreases.
    pub version: u64,
    /// Text of that version.
    pub text: String,
    /// Settings read from that text.
    pub fleet: Fleet,
    /// Next offset to read from the stream.
    pub next: u64,
    /// Version and text in force just before offset `next`, if known. Older than `version`
    /// after a version was adopted from a peer that had read further.
    base: Option<(u64, String)>,
    /// Records read since the last gap, kept until the base is known.
    pending: Vec<(u64, String)>,
}

impl State {
    /// Returns the state at the start of a stream from which nothing has expired.
    ///
    /// ```
    /// assert!(config::change::State::new().knows_base());
    /// ```
    pub fn new() -> State {
        State {
            version: 0,
            text: String::new(),
            fleet: Fleet::empty(),
            next: 0,
            base: Some((0, String::new())),
            pending: vec![],
        }
    }

    /// Returns the state at the start of a stream whose oldest kept offset is `first_kept`.
    ///
    /// ```
    /// assert!(!config::change::State::starting_at(7).knows_base());
    /// ```
    pub fn starting_at(first_kept: u64) -> State {
        let mut state = State::new();
        state.skip(first_kept);
        state
    }

    /// Records the oldest kept offset, which every page of the log states. If records expired
    /// unread, the base is no longer known; the settings in force stay.
    ///
    /// A paused process that kept judging after such a gap could accept a change that the
    /// others refuse, and would then run different settings from the rest of the fleet for good.
    pub fn skip(&mut self, first_kept: u64) {
        if first_kept > self.next {
            self.next = first_kept;
            self.base = None;
            self.pending.clear();
        }
    }

    /// Returns whether changes can be judged; a daemon is not ready until then.
    pub fn knows_base(&self) -> bool {
        self.base.is_some()
    }

    /// Judges the record at `offset`. The version of an accepted change is its offset plus one.
    /// Never panics: a record that does not decode is refused. Callers must check `version`
    /// afterwards, because a carried record can bring an earlier, pending record into force.
    pub fn judge(&mut self, offset: u64, data: &str) -> Verdict {
        self.judge_with_pending(offset, data).pop().map_or(Verdict::Pending, |(_, verdict)| verdict)
    }

    /// Like [`judge`](State::judge), but also returns the verdicts of pending records that
    /// this record decides, in stream order; the record's own verdict is last.
    pub fn judge_with_pending(&mut self, offset: u64, data: &str) -> Vec<(u64, Verdict)> {
        if offset < self.next {
            return vec![(offset, Verdict::Refused("already read".into()))];
        }
        self.skip(offset);
        self.next = offset.saturating_add(1);
        match self.base.is_some() {
            true => vec![(offset, self.decide(offset, data))],
            false => self.defer(offset, data),
        }
    }

    /// Adopts a version from a peer if it is newer than the one in force and its text is
    /// valid. Does not make the base known.
    pub fn adopt(&mut self, version: u64, text: &str) -> bool {
        match fleet::parse(STREAM, text) {
            Ok(fleet) if version > self.version => {
                self.version = version;
                self.text = text.to_string();
                self.fleet = fleet;
                true
            }
            _ => false,
        }
    }

    /// Returns a record that keeps the version in force from expiring, or `None` while the
    /// base is not known. Version 0 is carried as well: otherwise a process that starts after
    /// the first refused records expired could not judge the first valid one.
    pub fn carried_record(&self, id: &str, author: &str) -> Option<Change> {
        let (version, text) = self.base.as_ref()?;
        Some(Change {
            id: id.to_string(),
            base: *version,
            author: author.to_string(),
            reason: "kept from expiring".to_string(),
            text: text.clone(),
            carried: Some(*version),
            judged: self.next,
        })
    }

    /// Returns a record that restarts the stream when no process knows the base any more. It
    /// is valid only at offset `next`, and only for processes that have judged no version.
    pub fn restart_record(&self, id: &str, author: &str, reason: &str, text: &str) -> Change {
        Change {
            id: id.to_string(),
            base: 0,
            author: author.to_string(),
            reason: reason.to_string(),
            text: text.to_string(),
            carried: Some(self.next.saturating_add(1)),
            judged: self.next,
        }
    }

    /// Judges a record against the known base.
    fn decide(&mut self, offset: u64, data: &str) -> Verdict {
        let Some((version, text)) = &self.base else { return Verdict::Pending };
        let change = match decode(data) {
            Ok(change) => change,
            Err(reason) => return Verdict::Refused(reason),
        };
        match change.carried {
            Some(v) if v == *version && change.text == *text => Verdict::Carried(v),
            // Restart of a fleet that was down for longer than the log keeps records.
            Some(v) if *version == 0 && v > 0 && is_possible(&change, v, offset) => {
                self.accept(v, change.text);
                Verdict::Carried(v)
            }
            Some(v) if v == *version => Verdict::Refused(format!("not the text of version {v}")),
            Some(v) => Verdict::Refused(format!("carries version {v}, but {version} is in force")),
            None if change.base != *version => Verdict::Refused(format!(
                "based on version {}, but {version} is in force",
                change.base
            )),
            None => match fleet::parse(STREAM, &change.text) {
                Ok(_) => self.accept(offset.saturating_add(1), change.text),
                Err(faults) => Verdict::Refused(faults.to_string()),
            },
        }
    }

    fn accept(&mut self, version: u64, text: String) -> Verdict {
        self.adopt(version, &text);
        self.base = Some((version, text));
        Verdict::Accepted(version)
    }

    /// Keeps a record that can't be judged yet, and judges all kept records if it states the base.
    fn defer(&mut self, offset: u64, data: &str) -> Vec<(u64, Verdict)> {
        let oldest = self.pending.first().map_or(offset, |(first, _)| *first);
        self.pending.push((offset, data.to_string()));
        let change = match decode(data) {
            Ok(change) => change,
            Err(reason) => return vec![(offset, Verdict::Refused(reason))],
        };
        let Some(version) = change.carried else { return vec![(offset, Verdict::Pending)] };
        match is_possible(&change, version, offset) {
            false => vec![(offset, Verdict::Refused(IMPOSSIBLE_VERSION.into()))],
            // Records between the author's position and the oldest one read here expired
            // unread; one of them may have brought a newer version into force.
            true if change.judged < oldest => vec![(offset, Verdict::Pending)],
            true => self.replay(version, change.text, change.judged),
        }
    }

    /// Judges the pending records from offset `start` on, given that `version` was in force before it.
    fn replay(&mut self, version: u64, text: String, start: u64) -> Vec<(u64, Verdict)> {
        self.adopt(version, &text);
        self.base = Some((version, text));
        let pending = std::mem::take(&mut self.pending);
        let judgeable = pending.into_iter().filter(|(offset, _)| *offset >= start);
        judgeable.map(|(offset, data)| (offset, self.decide(offset, &data))).collect()
    }
}

impl Default for State {
    fn default() -> State {
        State::new()
    }
}

/// Returns whether a carried record is consistent: its version is not newer than its author's
/// position, which is not after the record itself; or it restarts the stream, with the version
/// that an accepted record at its offset has.
fn is_possible(change: &Change, version: u64, offset: u64) -> bool {
    let restarts = change.judged == offset && version == offset.saturating_add(1);
    let repeats = version <= change.judged && change.judged <= offset;
    (restarts || repeats) && fleet::parse(STREAM, &change.text).is_ok()
}

fn decode(data: &str) -> Result<Change, String> {
    serde_json::from_str(data).map_err(|e| format!("does not decode: {e}"))
}
