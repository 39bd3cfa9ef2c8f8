//! Counts of activities that are in progress.

use std::cell::Cell;

/// A guard that keeps a count increased until it is dropped.
///
/// ```
/// use std::cell::Cell;
/// use gateway::count::Counted;
/// let count = Cell::new(0);
/// let one = Counted::new(&count);
/// assert_eq!(count.get(), 1);
/// drop(one);
/// assert_eq!(count.get(), 0);
/// ```
pub struct Counted<'a>(&'a Cell<u32>);

impl<'a> Counted<'a> {
    /// Increases `count` by one.
    pub fn new(count: &'a Cell<u32>) -> Counted<'a> {
        count.set(count.get() + 1);
        Counted(count)
    }
}

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
