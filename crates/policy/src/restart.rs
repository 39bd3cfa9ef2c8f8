//! When a task that has to run as long as its process is started again after it ended.
//!
//! Without it, a process whose task has ended serves callers by what that task knew last. Ending the process instead
//! breaks off all requests that it serves, and a fault that all routers share ends all of them at once.

use std::collections::VecDeque;
use std::time::Duration;

/// Time in which ends are counted.
pub const WINDOW: Duration = Duration::from_secs(60);

/// Number of ends within [`WINDOW`] from which on the process has to end: the state that the task shares with others may
/// be at fault, and only a new process is rid of that.
pub const MAX_ENDS: usize = 10;

/// Time until a task is started again after its first end. It doubles with each further end.
const MIN_PAUSE: Duration = Duration::from_millis(50);

/// Longest time until a task is started again.
pub const MAX_PAUSE: Duration = Duration::from_secs(5);

/// Longest delay of the end of the process. Routers that have the same fault end at different times, so that some of
/// them serve callers.
pub const MAX_SPREAD: Duration = Duration::from_secs(15);

/// When a task has ended lately.
#[derive(Debug, Default)]
pub struct History {
    ends: VecDeque<Duration>,
}

impl History {
    /// Records an end at `now`. Returns the time until the task is started again; none if the process has to end.
    ///
    /// ```
    /// use std::time::Duration;
    /// use policy::restart::{History, MAX_ENDS};
    /// let mut history = History::default();
    /// let second = Duration::from_secs(1);
    /// assert_eq!(history.record(second), Some(Duration::from_millis(50)));
    /// assert_eq!(history.record(2 * second), Some(Duration::from_millis(100)));
    /// // Ends of long ago do not count.
    /// assert_eq!(history.record(90 * second), Some(Duration::from_millis(50)));
    /// let ends = (0..MAX_ENDS).map(|_| history.record(91 * second));
    /// assert_eq!(ends.last(), Some(None));
    /// ```
    pub fn record(&mut self, now: Duration) -> Option<Duration> {
        self.ends.retain(|end| now < *end + WINDOW);
        let doublings = self.ends.len().min(16) as u32;
        self.ends.push_back(now);
        (self.ends.len() < MAX_ENDS).then(|| (MIN_PAUSE * (1 << doublings)).min(MAX_PAUSE))
    }
}
