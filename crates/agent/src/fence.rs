//! The highest attempt seen of each request, so that older ones are refused.

use std::time::Instant;

use wire::id;

/// Highest attempts remembered for requests whose session has ended here. A
/// frozen head that thaws after this many newer requests could open an old
/// attempt again; its output would still be used by nobody.
pub const MAX_ENTRIES: usize = 20_000;

/// Highest attempt seen of a request at a range.
#[derive(Debug, Clone)]
struct Entry {
    key: String,
    attempt: id::Attempt,
    ended: Option<Instant>,
}

/// All highest attempts.
#[derive(Debug, Clone, Default)]
pub struct Fence {
    /// Sorted by key.
    entries: Vec<Entry>,
}

impl Fence {
    /// Notes an attempt as the newest; an error with the newest one when it is older.
    ///
    /// Without it a head that was frozen and thaws would go on running a request
    /// that another head has taken over: its layers would run twice for a token,
    /// and the engine's books would show two sessions side by side.
    ///
    /// ```
    /// let mut fence = agent::fence::Fence::default();
    /// assert_eq!(fence.admit("a", 2), Ok(()));
    /// assert_eq!(fence.admit("a", 1), Err(2));
    /// ```
    pub fn admit(&mut self, key: &str, attempt: id::Attempt) -> Result<(), id::Attempt> {
        match self.position(key) {
            Ok(i) if self.entries[i].attempt > attempt => return Err(self.entries[i].attempt),
            Ok(i) => {
                self.entries[i].attempt = attempt;
                self.entries[i].ended = None;
            }
            Err(_) => {
                self.evict_ended();
                let at = self.entries.partition_point(|s| s.key.as_str() < key);
                self.entries.insert(at, Entry { key: key.to_string(), attempt, ended: None });
            }
        }
        Ok(())
    }

    /// The highest attempt seen; 0 when there was none.
    pub fn newest(&self, key: &str) -> id::Attempt {
        self.position(key).map_or(0, |i| self.entries[i].attempt)
    }

    /// A session has ended at `now`; its attempt may be forgotten some time later.
    pub fn ended(&mut self, key: &str, now: Instant) {
        if let Ok(i) = self.position(key) {
            self.entries[i].ended = Some(now);
        }
    }

    fn position(&self, key: &str) -> Result<usize, usize> {
        self.entries.binary_search_by(|s| s.key.as_str().cmp(key))
    }

    /// Makes room by forgetting the sessions that ended first.
    fn evict_ended(&mut self) {
        if self.entries.len() < MAX_ENTRIES {
            return;
        }
        let mut times: Vec<Instant> = self.entries.iter().filter_map(|s| s.ended).collect();
        times.sort();
        if let Some(&limit) = times.get(times.len() / 2) {
            self.entries.retain(|s| s.ended.is_none_or(|t| t > limit));
        }
    }
}
