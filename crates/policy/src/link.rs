//! Times of the links between data centres.
//!
//! Load pattern: data centres at unequal distances. Each generated token crosses every link of its chain, so a detour
//! of a millisecond costs a draft of 500 tokens half a second and holds its slots for as long. One time is kept for
//! each pair, as settings or measurements give it.

use std::time::Duration;

/// Index of a data centre in [`Links`].
pub type DataCentre = usize;

/// One-way times between data centres.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Links {
    names: Vec<String>,
    default: Duration,
    times: Vec<(DataCentre, DataCentre, Duration)>,
}

impl Links {
    /// Creates links that all take `default` between two data centres, and no time within one.
    ///
    /// ```
    /// use std::time::Duration;
    /// let mut links = policy::link::Links::new(Duration::from_millis(1));
    /// links.set("east", "west", Duration::from_millis(4));
    /// let (east, west) = (links.index("east"), links.index("west"));
    /// assert_eq!(links.time(west, east), Duration::from_millis(4));
    /// ```
    pub fn new(default: Duration) -> Links {
        Links { names: Vec::new(), default, times: Vec::new() }
    }

    /// Returns the index of a data centre; a new one is added.
    pub fn index(&mut self, name: &str) -> DataCentre {
        match self.names.iter().position(|n| n == name) {
            Some(i) => i,
            None => {
                self.names.push(name.to_string());
                self.names.len() - 1
            }
        }
    }

    /// Sets the time of a link, in both directions.
    pub fn set(&mut self, a: &str, b: &str, time: Duration) {
        let (a, b) = (self.index(a), self.index(b));
        let (a, b) = (a.min(b), a.max(b));
        match self.times.binary_search_by_key(&(a, b), |t| (t.0, t.1)) {
            Ok(i) => self.times[i].2 = time,
            Err(i) => self.times.insert(i, (a, b, time)),
        }
    }

    /// Returns the time of a link.
    pub fn time(&self, a: DataCentre, b: DataCentre) -> Duration {
        let (a, b) = (a.min(b), a.max(b));
        match self.times.binary_search_by_key(&(a, b), |t| (t.0, t.1)) {
            _ if a == b => Duration::ZERO,
            Ok(i) => self.times[i].2,
            Err(_) => self.default,
        }
    }
}
