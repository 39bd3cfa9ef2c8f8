//! The order of changes: every process reads the same stream and judges each
//! record by the same pure function, so all agree without a coordinator.
//!
//! Records expire, so a process that starts late can't read how the version in
//! force came about. It judges nothing until a *carried* record tells it which
//! version was in force at an offset it has not missed; from there on it judges
//! like everyone else. `docs/design/settings.md` has the argument.

use serde::{Deserialize, Serialize};

use crate::fleet::{self, Fleet};

/// Name of the stream.
pub const STREAM: &str = "settings";

/// Why a carried record is refused that can't say the truth.
const NO_VERSION: &str = "carries no version that can have been in force";

/// A change as it stands in the stream, encoded as JSON.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Unique id chosen by the publisher, by which it finds its own record.
    pub id: String,
    /// Version it was made from.
    pub base: u64,
    /// Who made it.
    pub author: String,
    /// Why.
    pub reason: String,
    /// The whole new text of the fleet settings.
    pub text: String,
    /// For a record that keeps an accepted version from expiring: that version.
    #[serde(default)]
    pub carried: Option<u64>,
    /// For a carried record: its author had judged every record before this offset when it
    /// found that version in force. [`State::carried_record`] fills it in.
    #[serde(default)]
    pub judged: u64,
}

/// What became of a record.
#[derive(Debug, Clone, PartialEq)]
pub enum Verdict {
    /// It is in force from now on, under this version.
    Accepted(u64),
    /// It only repeats the version in force.
    Carried(u64),
    /// It is not in force, for this reason.
    Refused(String),
    /// This process can't judge it yet: records before it have expired unread.
    Pending,
}

/// What has been decided so far.
#[derive(Debug, Clone, PartialEq)]
pub struct State {
    /// Version in force; 0 when there is none. It only rises.
    pub version: u64,
    /// Its text.
    pub text: String,
    /// Its checked settings.
    pub fleet: Fleet,
    /// Next offset to read.
    pub next: u64,
    /// Version and text in force in the stream just before `next`, when that is known. It
    /// lags `version` when a peer that has read further was asked.
    judged: Option<(u64, String)>,
    /// Records read since the last gap, kept until a base is known.
    pending: Vec<(u64, String)>,
}

impl State {
    /// Nothing decided yet, at the start of a stream from which nothing has expired.
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
            judged: Some((0, String::new())),
            pending: vec![],
        }
    }

    /// Nothing decided yet, for a stream whose oldest kept offset is `first_kept`.
    ///
    /// ```
    /// assert!(!config::change::State::starting_at(7).knows_base());
    /// ```
    pub fn starting_at(first_kept: u64) -> State {
        let mut state = State::new();
        state.skip(first_kept);
        state
    }

    /// Notes the oldest kept offset, which every page of the log tells. When records have
    /// expired unread, the base is no longer known, whatever is in force stays.
    ///
    /// A paused process that went on judging after such a gap could accept a change that the
    /// others refuse: it would run other settings than the rest of the fleet for good.
    pub fn skip(&mut self, first_kept: u64) {
        if first_kept > self.next {
            self.next = first_kept;
            self.judged = None;
            self.pending.clear();
        }
    }

    /// True when plain changes can be judged; a daemon is not ready before.
    pub fn knows_base(&self) -> bool {
        self.judged.is_some()
    }

    /// Judges the record at `offset`. The version of an accepted change is its offset plus one.
    /// Never panics: a record that does not decode is refused. Look at `version` afterwards:
    /// a carried record can bring an earlier, pending record into force.
    pub fn judge(&mut self, offset: u64, data: &str) -> Verdict {
        self.judge_with_pending(offset, data).pop().map_or(Verdict::Pending, |(_, verdict)| verdict)
    }

    /// The same, with the verdicts of pending records that this record settles, in the order
    /// of the stream; the record's own is the last.
    pub fn judge_with_pending(&mut self, offset: u64, data: &str) -> Vec<(u64, Verdict)> {
        if offset < self.next {
            return vec![(offset, Verdict::Refused("already read".into()))];
        }
        self.skip(offset);
        self.next = offset.saturating_add(1);
        match self.judged.is_some() {
            true => vec![(offset, self.decide(offset, data))],
            false => self.wait(offset, data),
        }
    }

    /// Takes over a version from a peer, when it is newer than the one in force. The version
    /// has to check; it does not by itself make this process able to judge.
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

    /// A record that keeps the version in force from expiring. `None` while this process
    /// can't judge. Version 0 is carried as well: else nobody who starts after the first
    /// refused records have expired could judge the first good one.
    pub fn carried_record(&self, id: &str, author: &str) -> Option<Change> {
        let (version, text) = self.judged.as_ref()?;
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

    /// A record that starts the stream anew when nobody knows a base any more. It counts only
    /// where it is the very next record, and only for processes that know of no version.
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

    /// Judges a record with a known base.
    fn decide(&mut self, offset: u64, data: &str) -> Verdict {
        let Some((version, text)) = &self.judged else { return Verdict::Pending };
        let change = match decode(data) {
            Ok(change) => change,
            Err(reason) => return Verdict::Refused(reason),
        };
        match change.carried {
            Some(v) if v == *version && change.text == *text => Verdict::Carried(v),
            // A fleet that was gone for longer than the log keeps records starts anew.
            Some(v) if *version == 0 && v > 0 && carries(&change, v, offset) => {
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
        self.judged = Some((version, text));
        Verdict::Accepted(version)
    }

    /// Keeps a record that can't be judged, and looks whether it tells the base.
    fn wait(&mut self, offset: u64, data: &str) -> Vec<(u64, Verdict)> {
        let oldest = self.pending.first().map_or(offset, |(first, _)| *first);
        self.pending.push((offset, data.to_string()));
        let change = match decode(data) {
            Ok(change) => change,
            Err(reason) => return vec![(offset, Verdict::Refused(reason))],
        };
        let Some(version) = change.carried else { return vec![(offset, Verdict::Pending)] };
        match carries(&change, version, offset) {
            false => vec![(offset, Verdict::Refused(NO_VERSION.into()))],
            // Records between what its author had judged and the oldest one read here have
            // expired unread; one of them may have brought a newer version.
            true if change.judged < oldest => vec![(offset, Verdict::Pending)],
            true => self.replay(version, change.text, change.judged),
        }
    }

    /// Judges the pending records from `start` on, before which `version` was in force.
    fn replay(&mut self, version: u64, text: String, start: u64) -> Vec<(u64, Verdict)> {
        self.adopt(version, &text);
        self.judged = Some((version, text));
        let pending = std::mem::take(&mut self.pending);
        let known = pending.into_iter().filter(|(offset, _)| *offset >= start);
        known.map(|(offset, data)| (offset, self.decide(offset, &data))).collect()
    }
}

impl Default for State {
    fn default() -> State {
        State::new()
    }
}

/// True when a carried record can say the truth: the version was there before its author
/// had judged, and the author had judged before the record was appended; or it starts the
/// stream anew, under the version that any accepted record at its offset has.
fn carries(change: &Change, version: u64, offset: u64) -> bool {
    let anew = change.judged == offset && version == offset.saturating_add(1);
    let known = version <= change.judged && change.judged <= offset;
    (anew || known) && fleet::parse(STREAM, &change.text).is_ok()
}

fn decode(data: &str) -> Result<Change, String> {
    serde_json::from_str(data).map_err(|e| format!("does not decode: {e}"))
}
