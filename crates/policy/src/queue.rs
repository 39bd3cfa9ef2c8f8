//! What is let in, what waits and in which order, what is refused.
//!
//! Load patterns: saturation, a burst, one workspace's flood, long work among short.
//! Without this a queue grows until every request in it is too old to be of use: the
//! fleet is busy and yet no deadline is met. A caller whose request is held only
//! to be refused at its deadline has lost the time in which it could have gone elsewhere.
//!
//! - A request is let in only when its estimated wait and its own run fit before its
//!   deadline, and refused at once otherwise, with the time after which it would fit.
//! - The order among workspaces is that of [`crate::share`]. Within a workspace a request goes by
//!   its arrival plus [`STRETCH`] times its run: short ones pass long ones, and
//!   a long one is passed only for a time in proportion to its own length, so neither starves.
//! - What can no longer make its deadline comes out of [`Queue::expired`] and never starts.
//!
//! The wait is estimated from slot time: the work ahead divided by the slots this router
//! has in use, which under load is what it gets of the fleet beside the other routers.

use std::time::Duration;

use crate::refusal::{OUTAGE, Reason, Refusal, SOON};
use crate::room::Room;
use crate::share::{Clock, Head, Share, Workspace};
use crate::tuning::Tuning;

/// Bytes of a waiting request beside its item and the text of its workspace's name.
pub const WAITING_BYTES: usize = size_of::<Entry<()>>();

/// How many times its own run a request is put behind its arrival.
///
/// At 0 the order is first come first served and short requests wait behind long ones. Large
/// values approach shortest first, under which long ones starve. See docs/design/decisions.md.
pub const STRETCH: f64 = 2.0;

/// A waiting request is given up when its estimated start is late by more than
/// this part of its time left. The estimate is coarse; at 0 requests that would make it are thrown away.
pub const DOUBT: f64 = 0.25;

/// Weight of one finished request in the smoothed ratio of used to asked run time.
const SMOOTH: f64 = 0.02;

/// Names a waiting request.
pub type Ticket = u64;

/// A request as the decision sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ask {
    /// Whose it is.
    pub workspace: String,
    /// Higher goes first among workspaces inside their share.
    pub priority: u8,
    /// Time it will hold its slots, see [`crate::work::Cost::run`].
    pub run: Duration,
    /// Its deadline, since the router's start.
    pub deadline: Duration,
}

/// A request with what belongs to it.
#[derive(Debug, Clone)]
pub struct Entry<T> {
    /// The request.
    pub ask: Ask,
    /// When it arrived.
    pub arrival: Duration,
    /// Its name while it waits.
    pub ticket: Ticket,
    /// The router's own handle.
    pub item: T,
    key: Duration,
}

/// Decision on an arrival.
#[derive(Debug, Clone)]
pub enum Admit<T> {
    /// Start it now.
    Start(Entry<T>),
    /// It waits under this name; [`Queue::next`] or [`Queue::expired`] returns it.
    Wait(Ticket),
    /// Refuse it at once.
    Refuse(T, Refusal),
}

/// Requests of one model or plain service that wait at one router.
#[derive(Debug, Clone)]
pub struct Queue<T> {
    workspaces: Vec<Workspace>,
    /// Waiting requests of each workspace, the next one last.
    waiting: Vec<Vec<Entry<T>>>,
    late: Vec<Entry<T>>,
    clock: Clock,
    weights: f64,
    backlog: f64,
    running: u32,
    used: f64,
    tickets: Ticket,
    tuning: Tuning,
}

impl<T> Queue<T> {
    /// An empty queue for these workspaces.
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
        queue.set(shares);
        queue
    }

    /// The same with other thresholds, before any request is let in.
    pub fn tuned(self, tuning: Tuning) -> Queue<T> {
        Queue { tuning, ..self }
    }

    /// Takes over new settings. A workspace that is no longer listed keeps its place with
    /// weight 1 until its requests have left, and new ones of it are refused.
    ///
    /// ```
    /// use policy::{queue::Queue, share::Share};
    /// let mut queue: Queue<u64> = Queue::new(Vec::new());
    /// queue.set(vec![Share { workspace: "north".into(), weight: 3, limit: 100 }]);
    /// ```
    pub fn set(&mut self, shares: Vec<Share>) {
        for i in (0..self.workspaces.len()).rev() {
            let idle = self.waiting[i].is_empty() && self.workspaces[i].running == 0;
            let gone = !shares.iter().any(|s| s.workspace == self.workspaces[i].share.workspace);
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
        let active = self.workspaces.iter().zip(&self.waiting).filter(|(_, q)| !q.is_empty());
        self.weights = active.map(|(w, _)| w.weight()).sum();
    }

    /// Decides on an arrival.
    ///
    /// ```
    /// use std::time::Duration;
    /// use policy::{queue::{Admit, Ask, Queue}, room::Room, share::Share};
    /// let share = Share { workspace: "north".into(), weight: 1, limit: 100 };
    /// let mut queue = Queue::new(vec![share]);
    /// let ask = Ask {
    ///     workspace: "north".into(),
    ///     priority: 5,
    ///     run: Duration::from_secs(2),
    ///     deadline: Duration::from_secs(30),
    /// };
    /// let room = Room { free: 1, slots: 8, routers: 1 };
    /// let admit = queue.admit(ask, "a draft", room, Duration::ZERO);
    /// assert!(matches!(admit, Admit::Start(_)));
    /// ```
    pub fn admit(&mut self, ask: Ask, item: T, room: Room, now: Duration) -> Admit<T> {
        let Ok(i) = self.find(&ask.workspace) else {
            return Admit::Refuse(item, Refusal { reason: Reason::Limit, retry_after: None });
        };
        if let Some(refusal) = self.refusal(i, &ask, room, now) {
            return Admit::Refuse(item, refusal);
        }
        self.tickets += 1;
        let key = now + ask.run.mul_f64(self.tuning.stretch);
        let entry = Entry { ask, arrival: now, ticket: self.tickets, item, key };
        match self.backlogged() || !room.may_start(self.running, self.tuning.left_free) {
            true => Admit::Wait(self.insert(i, entry)),
            false => {
                self.clock.wake(&mut self.workspaces[i]);
                self.start(i, &entry);
                Admit::Start(entry)
            }
        }
    }

    /// The request to start, when one may start. Called when capacity frees, until `None`;
    /// `room.free` has to count what was started in between.
    pub fn next(&mut self, room: Room, now: Duration) -> Option<Entry<T>> {
        self.next_by(room, now, |_| 0)
    }

    /// The same where `likes` says how well a request suits the free slots: of requests that may go with equal
    /// right the one that suits best goes, see [`crate::route::Table::likes`].
    pub fn next_by(
        &mut self,
        room: Room,
        now: Duration,
        likes: impl Fn(&T) -> u32,
    ) -> Option<Entry<T>> {
        if !room.may_start(self.running, self.tuning.left_free) {
            return None;
        }
        loop {
            let i = self.clock.pick(
                heads(&self.workspaces, &self.waiting),
                self.tuning.quantum,
                |i| self.waiting[i].last().map_or(0, |e| likes(&e.item)),
            )?;
            let entry = self.take(i, self.waiting[i].len() - 1);
            match self.hopeless(&entry.ask, now) {
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

    /// Requests that can't make their deadline any more by the present estimate, each with
    /// its refusal. Called from time to time, for example every 100 ms, and after [`Queue::next`].
    pub fn expired(&mut self, room: Room, now: Duration) -> Vec<(Entry<T>, Refusal)> {
        for i in 0..self.waiting.len() {
            let mut ahead = 0.0;
            for at in (0..self.waiting[i].len()).rev() {
                let ask = &self.waiting[i][at].ask;
                let run = ask.run.as_secs_f64();
                let start = self.wait(i, ahead, 0.0, room).unwrap_or(OUTAGE.as_secs_f64());
                let left = ask.deadline.saturating_sub(now).as_secs_f64();
                if self.hopeless(ask, now)
                    || start + self.expected(run) > left * (1.0 + self.tuning.doubt)
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
                let i = self.find(&entry.ask.workspace).unwrap_or(0);
                let ahead = self.workspaces.get(i).map_or(0.0, |w| w.backlog);
                let wait = self.wait(i, ahead, 0.0, room);
                let retry_after = wait.map_or(OUTAGE, |s| Duration::from_secs_f64(s).max(SOON));
                (entry, Refusal { reason, retry_after: Some(retry_after) })
            })
            .collect()
    }

    /// A started request has ended after holding its slots for `held`; or was not run.
    pub fn done(&mut self, ask: &Ask, held: Duration) {
        self.running = self.running.saturating_sub(1);
        let (asked, held) = (ask.run.as_secs_f64().max(1e-6), held.as_secs_f64());
        if held > 0.0 {
            self.used += SMOOTH * ((held / asked).clamp(0.01, 4.0) - self.used);
        }
        if let Ok(i) = self.find(&ask.workspace) {
            let workspace = &mut self.workspaces[i];
            workspace.running = workspace.running.saturating_sub(1);
            // Callers name more tokens than the answer has: what was not used is given back.
            workspace.start -= (asked - held).max(0.0) / workspace.weight();
        }
    }

    /// Puts a started request back that was not run, at its old place.
    pub fn back(&mut self, entry: Entry<T>) {
        self.done(&entry.ask, Duration::ZERO);
        match self.find(&entry.ask.workspace) {
            Ok(i) => {
                self.insert(i, entry);
            }
            Err(_) => self.late.push(entry),
        }
    }

    /// Takes a waiting request out, when its caller has gone.
    pub fn cancel(&mut self, workspace: &str, ticket: Ticket) -> Option<Entry<T>> {
        let i = self.find(workspace).ok()?;
        let at = self.waiting[i].iter().position(|e| e.ticket == ticket)?;
        Some(self.take(i, at))
    }

    /// Requests that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.iter().map(Vec::len).sum()
    }

    /// Requests that were started and have not ended.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Bytes of state, with the items' own size but not what they point to.
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

    fn backlogged(&self) -> bool {
        self.backlog > 0.0
    }

    /// Seconds until a request of workspace `i` starts that has `ahead` seconds of its own
    /// workspace's slot time before it; `extra` is the weight that it adds. `None` without capacity.
    fn wait(&self, i: usize, ahead: f64, extra: f64, room: Room) -> Option<f64> {
        let width = room.width(self.running);
        if width <= 0.0 {
            return None;
        }
        let weight = self.workspaces[i].weight();
        let fair = ahead * (self.weights + extra).max(weight) / weight;
        Some(self.expected(fair.min(self.backlog)) / width)
    }

    fn expected(&self, run: f64) -> f64 {
        run * self.used.min(1.0)
    }

    /// True when it would miss its deadline even if it started now. Midway between the run
    /// asked for and the usual one: some answers are short, but the caller may get all it asked for.
    fn hopeless(&self, ask: &Ask, now: Duration) -> bool {
        now + ask.run > ask.deadline
    }

    fn refusal(&self, i: usize, ask: &Ask, room: Room, now: Duration) -> Option<Refusal> {
        let refuse = |reason, seconds: Option<f64>| {
            let retry_after = seconds.map(|s| Duration::from_secs_f64(s).max(SOON));
            Some(Refusal { reason, retry_after })
        };
        let workspace = &self.workspaces[i];
        let key = now + ask.run.mul_f64(self.tuning.stretch);
        let own = &self.waiting[i];
        let ahead: f64 =
            own.iter().rev().take_while(|e| e.key <= key).map(|e| e.ask.run.as_secs_f64()).sum();
        let extra = if own.is_empty() { workspace.weight() } else { 0.0 };
        let Some(wait) = self.wait(i, ahead, extra, room) else {
            return refuse(Reason::Outage, Some(OUTAGE.as_secs_f64()));
        };
        let run = ask.run.as_secs_f64();
        let passed = workspace.lag.map_or(0.0, |lag| lag + run * self.tuning.stretch);
        let wait = wait.max(passed);
        let left = ask.deadline.saturating_sub(now).as_secs_f64();
        match own.len() >= workspace.share.limit as usize && self.backlogged() {
            _ if self.hopeless(ask, now) => refuse(Reason::Long, None),
            _ if wait + self.expected(run) > left => {
                refuse(Reason::Deadline, Some(wait + self.expected(run) - left))
            }
            true if workspace.share.limit == 0 => refuse(Reason::Limit, None),
            true => {
                let first = own.last().map_or(0.0, |e| e.ask.run.as_secs_f64());
                refuse(Reason::Limit, self.wait(i, first, 0.0, room))
            }
            false => None,
        }
    }

    fn insert(&mut self, i: usize, entry: Entry<T>) -> Ticket {
        let (ticket, run) = (entry.ticket, entry.ask.run.as_secs_f64());
        let workspace = &mut self.workspaces[i];
        if self.waiting[i].is_empty() {
            self.clock.wake(workspace);
            self.weights += workspace.weight();
        }
        workspace.backlog += run;
        self.backlog += run;
        let at = self.waiting[i].partition_point(|e| (e.key, e.ticket) > (entry.key, ticket));
        self.waiting[i].insert(at, entry);
        ticket
    }

    fn take(&mut self, i: usize, at: usize) -> Entry<T> {
        let entry = self.waiting[i].remove(at);
        let run = entry.ask.run.as_secs_f64();
        self.workspaces[i].backlog -= run;
        self.backlog -= run;
        if self.waiting[i].is_empty() {
            self.workspaces[i].backlog = 0.0;
            self.workspaces[i].lag = None;
            self.weights -= self.workspaces[i].weight();
        }
        // Sums of floats keep a rest; an empty queue must not look backlogged for ever.
        if self.weights < 0.5 {
            (self.weights, self.backlog) = (0.0, 0.0);
        }
        entry
    }

    fn start(&mut self, i: usize, entry: &Entry<T>) {
        let workspace = &mut self.workspaces[i];
        self.clock.charge(workspace, entry.ask.run.as_secs_f64());
        workspace.running += 1;
        self.running += 1;
    }
}

fn heads<'a, T>(
    workspaces: &'a [Workspace],
    waiting: &'a [Vec<Entry<T>>],
) -> impl Iterator<Item = Head> + Clone + 'a {
    workspaces.iter().zip(waiting).enumerate().filter_map(|(index, (workspace, waiting))| {
        let ask = &waiting.last()?.ask;
        let finish = workspace.start + ask.run.as_secs_f64() / workspace.weight();
        Some(Head { index, start: workspace.start, finish, priority: ask.priority })
    })
}
