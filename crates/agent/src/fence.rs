//! Records the highest attempt of each request, so that lower ones are refused.

use std::time::Instant;

use wire::id;

/// Maximum number of recorded attempts. Above it the oldest ended sessions are evicted. A frozen
/// head that resumes after this many newer requests could open an old attempt again; nobody would
/// use its output.
pub const MAX_ENTRIES: usize = 20_000;

/// Highest attempt of a request at a range.
#[derive(Debug, Clone)]
struct Entry {
    key: String,
    attempt: id::Attempt,
    ended: Option<Instant>,
}

/// The highest attempt of each request.
#[derive(Debug, Clone, Default)]
pub struct Fence {
    /// Sorted by key.
    entries: Vec<Entry>,
}

impl Fence {
    /// Records an attempt. Returns the highest one as an error if it is higher than `attempt`.
    ///
    /// Without this check, a head that was frozen and resumes would continue a request that
    /// another head has taken over: layers would run twice for a token, and the engine would
    /// record two sessions of the request side by side.
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

    /// Returns the highest attempt seen, or 0 if there was none.
    pub fn newest(&self, key: &str) -> id::Attempt {
        self.position(key).map_or(0, |i| self.entries[i].attempt)
    }

    /// Records that a session ended at `now`. Its attempt may be evicted later.
    pub fn ended(&mut self, key: &str, now: Instant) {
        if let Ok(i) = self.position(key) {
            self.entries[i].ended = Some(now);
        }
    }

    fn position(&self, key: &str) -> Result<usize, usize> {
        self.entries.binary_search_by(|s| s.key.as_str().cmp(key))
    }

    /// Evicts the older half of the ended sessions when the table is full.
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
