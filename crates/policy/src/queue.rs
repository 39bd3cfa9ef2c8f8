//! Admission of requests, and the order in which they wait.
//!
//! Load patterns: saturation, a burst, a flood of one workspace, long requests among short ones. Without admission a
//! queue grows until every request in it is too old to be of use: the fleet is busy and yet no deadline is met. A
//! caller whose request is kept waiting only to be refused at its deadline has lost the time in which it could have
//! gone elsewhere.
//!
//! - A request is admitted only when its estimated wait and its own run fit before its deadline, and refused at once
//!   otherwise, with the time after which it would fit.
//! - The order among workspaces is that of [`crate::share`]. Within a workspace requests are ordered by their arrival
//!   plus [`RUN_WEIGHT`] times their run: short requests overtake long ones, and a long one is overtaken only for a
//!   time in proportion to its own length, so neither starves.
//! - Requests that can no longer meet their deadline are returned by [`Queue::expired`] and never start.
//!
//! The wait is estimated from slot time: the work ahead divided by the slots that this router has in use, which under
//! load is what it gets of the fleet beside the other routers.

use std::time::Duration;

pub use crate::entry::{Admit, Entry, Request, Ticket, WAITING_BYTES};
use crate::refusal::{MIN_RETRY_AFTER, OUTAGE_RETRY_AFTER, Reason, Refusal};
use crate::room::Room;
use crate::share::{Clock, Share, Workspace};
use crate::tuning::Tuning;

/// How many times its own run a request is placed behind its arrival in the order.
///
/// At 0 the order is first come, first served, and short requests wait behind long ones. Large values approach
/// shortest first, under which long requests starve. See docs/design/decisions.md.
pub const RUN_WEIGHT: f64 = 2.0;

/// A waiting request is refused when its estimated end is late by more than this ratio of the time left to its
/// deadline. The estimate is coarse; at 0 requests that would meet their deadline are refused.
pub const LATENESS_TOLERANCE: f64 = 0.25;

/// Weight of one finished request in the smoothed ratio of used to requested run time.
const SMOOTHING: f64 = 0.02;

/// Requests of one model or plain service that wait at one router.
///
/// ```
/// use std::time::Duration;
/// use policy::queue::{Admit, Request, Queue};
/// use policy::{room::Room, share::Share};
/// let secs = Duration::from_secs;
/// let share = Share { workspace: "north".into(), weight: 1, limit: 100 };
/// let mut queue = Queue::new(vec![share]);
/// let request = Request { workspace: "north".into(), priority: 5, run: secs(2), deadline: secs(30) };
/// let full = Room { free: 0, slots: 8, routers: 1 };
/// let Admit::Wait(_) = queue.admit(request, "a draft", full, secs(0)) else { panic!() };
/// // A request has ended, so a slot is free.
/// let entry = queue.next(Room { free: 1, ..full }, secs(1)).unwrap();
/// assert_eq!(entry.item, "a draft");
/// // The agent refused it, as it had no free slot: it keeps its place, and nothing is lost.
/// queue.requeue(entry);
/// assert_eq!((queue.waiting(), queue.running()), (1, 0));
/// // It can no longer end before its deadline.
/// let refused = queue.expired(full, secs(29));
/// assert_eq!(refused.len(), 1);
/// ```
#[derive(Debug, Clone)]
pub struct Queue<T> {
    pub(crate) workspaces: Vec<Workspace>,
    /// Waiting requests of each workspace, the next one last.
    pub(crate) waiting: Vec<Vec<Entry<T>>>,
    pub(crate) late: Vec<Entry<T>>,
    pub(crate) clock: Clock,
    pub(crate) weights: f64,
    pub(crate) backlog: f64,
    pub(crate) running: u32,
    pub(crate) used: f64,
    pub(crate) tickets: Ticket,
    pub(crate) tuning: Tuning,
}

impl<T> Queue<T> {
    /// Creates an empty queue for these workspaces.
    ///
    /// ```
    /// use policy::{queue::Queue, share::Share};
    /// let share = Share { workspace: "north".into(), weight: 1, limit: 100 };
    /// let queue: Queue<u64> = Queue::new(vec![share]);
    /// assert_eq!(queue.waiting(), 0);
    /// ```
    pub fn new(shares: Vec<Share>) -> Queue<T> {
        let mut queue = Queue {
            workspaces: Vec::new(),
            waiting: Vec::new(),
            late: Vec::new(),
            clock: Clock::default(),
            weights: 0.0,
            backlog: 0.0,
            running: 0,
            used: 1.0,
            tickets: 0,
            tuning: Tuning::default(),
        };
        queue.set_shares(shares);
        queue
    }

    /// Returns the queue with other thresholds, before any request is admitted.
    pub fn tuned(self, tuning: Tuning) -> Queue<T> {
        Queue { tuning, ..self }
    }

    /// Applies new settings. A workspace that is no longer listed is kept with weight 1 until its requests have left,
    /// and new requests of it are refused.
    ///
    /// ```
    /// use policy::{queue::Queue, share::Share};
    /// let mut queue: Queue<u64> = Queue::new(Vec::new());
    /// queue.set_shares(vec![Share { workspace: "north".into(), weight: 3, limit: 100 }]);
    /// ```
    pub fn set_shares(&mut self, mut shares: Vec<Share>) {
        shares.sort_by(|a, b| a.workspace.cmp(&b.workspace));
        for i in (0..self.workspaces.len()).rev() {
            let idle = self.waiting[i].is_empty() && self.workspaces[i].running == 0;
            let name = &self.workspaces[i].share.workspace;
            let gone = shares.binary_search_by(|s| s.workspace.cmp(name)).is_err();
            match (gone, idle) {
                (true, true) => {
                    self.workspaces.remove(i);
                    self.waiting.remove(i);
                }
                (true, false) => {
                    self.workspaces[i].share.weight = 1;
                    self.workspaces[i].share.limit = 0;
                }
                (false, _) => {}
            }
        }
        for share in shares {
            match self.find(&share.workspace) {
                Ok(i) => self.workspaces[i].share = share,
                Err(i) => {
                    self.workspaces.insert(i, Workspace::new(share));
                    self.waiting.insert(i, Vec::new());
                }
            }
        }
        (0..self.waiting.len()).for_each(|i| self.update_next(i));
        let active = self.workspaces.iter().zip(&self.waiting).filter(|(_, q)| !q.is_empty());
        self.weights = active.map(|(w, _)| w.weight()).sum();
    }

    /// Decides on an arrival.
    ///
    /// ```
    /// use std::time::Duration;
    /// use policy::{queue::{Admit, Request, Queue}, room::Room, share::Share};
    /// let share = Share { workspace: "north".into(), weight: 1, limit: 100 };
    /// let mut queue = Queue::new(vec![share]);
    /// let request = Request {
    ///     workspace: "north".into(),
    ///     priority: 5,
    ///     run: Duration::from_secs(2),
    ///     deadline: Duration::from_secs(30),
    /// };
    /// let room = Room { free: 1, slots: 8, routers: 1 };
    /// let admit = queue.admit(request, "a draft", room, Duration::ZERO);
    /// assert!(matches!(admit, Admit::Start(_)));
    /// ```
    pub fn admit(&mut self, request: Request, item: T, room: Room, now: Duration) -> Admit<T> {
        let Ok(i) = self.find(&request.workspace) else {
            return Admit::Refuse(item, Refusal { reason: Reason::Limit, retry_after: None });
        };
        if let Some(refusal) = self.refusal(i, &request, room, now) {
            return Admit::Refuse(item, refusal);
        }
        self.tickets += 1;
        let key = now + request.run.mul_f64(self.tuning.run_weight);
        let entry = Entry { request, arrival: now, ticket: self.tickets, item, key };
        match self.backlogged() || !room.may_start(self.running, self.tuning.free_reserve_ratio) {
            true => Admit::Wait(self.insert(i, entry)),
            false => {
                self.clock.activate(&mut self.workspaces[i]);
                self.start(i, &entry);
                Admit::Start(entry)
            }
        }
    }

    /// Returns the request to start, if one may start. To be called when capacity is freed, until it returns `None`;
    /// `room.free` has to count what was started in between.
    pub fn next(&mut self, room: Room, now: Duration) -> Option<Entry<T>> {
        self.next_by(room, now, |_| 0)
    }

    /// Like [`Queue::next`], with a measure `affinity` of how well a request suits the free slots: of requests with
    /// equal right to start the one that suits best is returned, see [`crate::route::Table::cached_ranges`].
    pub fn next_by(
        &mut self,
        room: Room,
        now: Duration,
        affinity: impl Fn(&T) -> u32,
    ) -> Option<Entry<T>> {
        if !room.may_start(self.running, self.tuning.free_reserve_ratio) {
            return None;
        }
        loop {
            let heads = self.workspaces.iter().enumerate().filter_map(|(i, w)| w.head(i));
            let i = self.clock.pick(heads, self.tuning.quantum_s, |i| {
                self.waiting[i].last().map_or(0, |e| affinity(&e.item))
            })?;
            let entry = self.take(i, self.waiting[i].len() - 1);
            match self.misses_deadline(&entry.request, now) {
                true => self.late.push(entry),
                false => {
                    let lag = now.as_secs_f64() - entry.key.as_secs_f64();
                    let more = !self.waiting[i].is_empty();
                    self.workspaces[i].lag = more.then_some(lag);
                    self.start(i, &entry);
                    return Some(entry);
                }
            }
        }
    }

    /// Returns the requests that can no longer meet their deadline by the present estimate, each with its refusal. To
    /// be called regularly, for example every 100 ms, and after [`Queue::next`].
    pub fn expired(&mut self, room: Room, now: Duration) -> Vec<(Entry<T>, Refusal)> {
        for i in 0..self.waiting.len() {
            let mut ahead = 0.0;
            for at in (0..self.waiting[i].len()).rev() {
                let request = &self.waiting[i][at].request;
                let run = request.run.as_secs_f64();
                let start =
                    self.wait(i, ahead, 0.0, room).unwrap_or(OUTAGE_RETRY_AFTER.as_secs_f64());
                let left = request.deadline.saturating_sub(now).as_secs_f64();
                if self.misses_deadline(request, now)
                    || start + self.expected(run) > left * (1.0 + self.tuning.lateness_tolerance)
                {
                    let entry = self.take(i, at);
                    self.late.push(entry);
                } else {
                    ahead += run;
                }
            }
        }
        let reason = if room.slots == 0 { Reason::Outage } else { Reason::Deadline };
        let late = std::mem::take(&mut self.late);
        late.into_iter()
            .map(|entry| {
                let place = self.find(&entry.request.workspace).ok();
                let wait = place.and_then(|i| self.wait(i, self.workspaces[i].backlog, 0.0, room));
                let retry_after = wait.map_or(OUTAGE_RETRY_AFTER, |s| {
                    Duration::from_secs_f64(s).max(MIN_RETRY_AFTER)
                });
                (entry, Refusal { reason, retry_after: Some(retry_after) })
            })
            .collect()
    }

    /// Records that a started request has ended after it held its slots for `held`; zero if it was not run.
    pub fn done(&mut self, request: &Request, held: Duration) {
        self.running = self.running.saturating_sub(1);
        let (requested, held) = (request.run.as_secs_f64().max(1e-6), held.as_secs_f64());
        if held > 0.0 {
            self.used += SMOOTHING * ((held / requested).clamp(0.01, 4.0) - self.used);
        }
        if let Ok(i) = self.find(&request.workspace) {
            let workspace = &mut self.workspaces[i];
            workspace.running = workspace.running.saturating_sub(1);
            // Callers ask for more tokens than the answer has: what was not used is given back.
            workspace.start -= (requested - held).max(0.0) / workspace.weight();
        }
    }

    /// Puts a started request that was not run back at its old place.
    pub fn requeue(&mut self, entry: Entry<T>) {
        self.done(&entry.request, Duration::ZERO);
        match self.find(&entry.request.workspace) {
            Ok(i) => {
                self.insert(i, entry);
            }
            Err(_) => self.late.push(entry),
        }
    }

    /// Puts a started request that lost its backend server back, before all others of its workspace: its caller knows
    /// that it runs and may have part of the answer.
    pub fn requeue_first(&mut self, entry: Entry<T>) {
        self.requeue(Entry { key: Duration::ZERO, ..entry });
    }

    /// Removes a waiting request whose caller has left.
    pub fn cancel(&mut self, workspace: &str, ticket: Ticket) -> Option<Entry<T>> {
        let i = self.find(workspace).ok()?;
        let at = self.waiting[i].iter().position(|e| e.ticket == ticket)?;
        Some(self.take(i, at))
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.waiting.iter().map(Vec::len).sum()
    }

    /// Returns the number of requests that were started and have not ended.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Returns the bytes of state, with the items' own size but not what they point to.
    pub fn bytes(&self) -> usize {
        let names: usize = self.workspaces.iter().map(|w| w.share.workspace.capacity()).sum();
        let waiting: usize =
            self.waiting.iter().map(|q| q.capacity() * size_of::<Entry<T>>()).sum();
        let lists = self.waiting.capacity() * size_of::<Vec<Entry<T>>>();
        self.workspaces.capacity() * crate::share::BYTES + names + lists + waiting
    }

    fn find(&self, workspace: &str) -> Result<usize, usize> {
        self.workspaces.binary_search_by(|w| w.share.workspace.as_str().cmp(workspace))
    }

    pub(crate) fn backlogged(&self) -> bool {
        self.backlog > 0.0
    }

    fn insert(&mut self, i: usize, entry: Entry<T>) -> Ticket {
        let (ticket, run) = (entry.ticket, entry.request.run.as_secs_f64());
        let workspace = &mut self.workspaces[i];
        if self.waiting[i].is_empty() {
            self.clock.activate(workspace);
            self.weights += workspace.weight();
        }
        workspace.backlog += run;
        self.backlog += run;
        let at = self.waiting[i].partition_point(|e| (e.key, e.ticket) > (entry.key, ticket));
        self.waiting[i].insert(at, entry);
        self.update_next(i);
        ticket
    }

    fn take(&mut self, i: usize, at: usize) -> Entry<T> {
        let entry = self.waiting[i].remove(at);
        let run = entry.request.run.as_secs_f64();
        self.workspaces[i].backlog -= run;
        self.backlog -= run;
        if self.waiting[i].is_empty() {
            self.workspaces[i].backlog = 0.0;
            self.workspaces[i].lag = None;
            self.weights -= self.workspaces[i].weight();
        }
        self.update_next(i);
        // Sums of floats leave a remainder; an empty queue must not look backlogged for ever.
        if self.weights < 0.5 {
            (self.weights, self.backlog) = (0.0, 0.0);
        }
        entry
    }

    fn update_next(&mut self, i: usize) {
        let weight = self.workspaces[i].weight();
        let next = self.waiting[i]
            .last()
            .map(|e| (e.request.run.as_secs_f64() / weight, e.request.priority));
        self.workspaces[i].next = next;
    }

    fn start(&mut self, i: usize, entry: &Entry<T>) {
        let workspace = &mut self.workspaces[i];
        self.clock.charge(workspace, entry.request.run.as_secs_f64());
        workspace.running += 1;
        self.running += 1;
    }
}
