//! Admission at an agent: how much its backend server is given at once.
//!
//! Load pattern: saturation, and a lost stage during it. Routers see the agent's load late and each counts on the
//! same free slot, so the agent alone decides: it has a fixed number of slots and refuses at once when they are
//! taken. Without a reserve, the drafts that lost a stage wait behind new work for a free slot in its replicas, while
//! they hold slots in every other range: the loss of one VM stalls drafts across the fleet.

use std::time::Duration;

/// What the fleet favours where throughput and short recovery can't both be had. It sets [`Tuning`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Objective {
    /// Throughput: nearly all slots to new work.
    Throughput,
    /// Short recovery: free slots on every VM for drafts that lost a stage.
    Recovery,
}

/// The parameters of an objective.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Tuning {
    /// Ratio of the admitted sessions kept for replacements of lost stages.
    pub reserve: f64,
    /// Sessions admitted for each slot of the engine; an engine refuses more than 1. Shallower
    /// batches have shorter steps, so a lost stage's positions are replayed sooner.
    pub depth: f64,
    /// A stage is replaced after a silence of this many times its usual step, see [`Tuning::silence`].
    pub silence: u32,
}

/// Shortest silence after which a stage is replaced: shorter pauses are common on a busy VM.
pub const MIN_SILENCE: Duration = Duration::from_millis(250);

impl Objective {
    /// Returns the parameters of this objective.
    ///
    /// Throughput reserves no whole slot of an engine of less than 50 and tolerates long steps. Recovery reserves an
    /// eighth, which is enough for the sessions of one lost replica in nine, and replaces a silent stage soon, at the
    /// price of replacing some that were only slow. The depth is 1 for both: a smaller one only helps engines whose
    /// steps grow with the batch.
    ///
    /// ```
    /// use policy::limit::Objective;
    /// assert!(Objective::Recovery.tuning().reserve > Objective::Throughput.tuning().reserve);
    /// ```
    pub fn tuning(self) -> Tuning {
        match self {
            Objective::Throughput => Tuning { reserve: 0.02, depth: 1.0, silence: 40 },
            Objective::Recovery => Tuning { reserve: 0.125, depth: 1.0, silence: 10 },
        }
    }
}

impl Tuning {
    /// Returns the silence after which a stage with this usual step time is replaced, at most `longest`.
    ///
    /// ```
    /// use std::time::Duration;
    /// use policy::limit::Objective;
    /// let silence = Objective::Recovery.tuning().silence(Duration::from_millis(50), Duration::from_secs(5));
    /// assert_eq!(silence, Duration::from_millis(500));
    /// ```
    pub fn silence(&self, step: Duration, longest: Duration) -> Duration {
        step.saturating_mul(self.silence).max(MIN_SILENCE).min(longest)
    }
}

/// What a slot is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// New work.
    New,
    /// A session that replaces one lost with its stage.
    Recovery,
    /// A suspect of [`crate::quarantine`]: nothing may run beside it.
    Alone,
}

/// Decision on a session.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admit {
    /// It has a slot until [`Slots::release`].
    Granted,
    /// No slot; it was not run. Another try here is only worthwhile where a suspect is the cause, which has to end or
    /// to get the engine to itself.
    Full {
        /// True when a suspect is the cause.
        alone: bool,
    },
}

/// Slots of one backend server.
#[derive(Debug, Clone, PartialEq)]
pub struct Slots {
    slots: u32,
    tuning: Tuning,
    busy: u32,
    alone: bool,
    leaving: bool,
}

impl Slots {
    /// Creates the slots of a backend server that takes `slots` at once.
    ///
    /// ```
    /// use policy::limit::{Admit, Kind, Objective, Slots};
    /// let mut slots = Slots::new(8, Objective::Recovery);
    /// assert_eq!((0..8).filter(|_| slots.admit(Kind::New) == Admit::Granted).count(), 7);
    /// assert_eq!(slots.admit(Kind::Recovery), Admit::Granted);
    /// ```
    pub fn new(slots: u32, objective: Objective) -> Slots {
        Slots { slots, tuning: objective.tuning(), busy: 0, alone: false, leaving: false }
    }

    /// Applies another objective or number of slots; running sessions are not affected.
    ///
    /// ```
    /// use policy::limit::{Objective, Slots};
    /// let mut slots = Slots::new(8, Objective::Recovery);
    /// slots.set(8, Objective::Throughput);
    /// assert_eq!(slots.open(), 8);
    /// ```
    pub fn set(&mut self, slots: u32, objective: Objective) {
        (self.slots, self.tuning) = (slots, objective.tuning());
    }

    /// Marks the VM as leaving: new work is refused, and replacements for what still runs here are not needed.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Returns the number of sessions admitted at once.
    pub fn total(&self) -> u32 {
        ((f64::from(self.slots) * self.tuning.depth) as u32).max(1)
    }

    /// Returns the number of sessions of new work admitted at once, which a report should state as its slots.
    pub fn open(&self) -> u32 {
        let total = self.total();
        let reserve = (f64::from(total) * self.tuning.reserve) as u32;
        total.saturating_sub(reserve).max(1)
    }

    /// Returns the number of slots taken.
    pub fn busy(&self) -> u32 {
        self.busy
    }

    /// Decides on a session.
    pub fn admit(&mut self, kind: Kind) -> Admit {
        let limit = match kind {
            Kind::New => self.open(),
            Kind::Recovery => self.total(),
            Kind::Alone => 1,
        };
        match self.busy < limit {
            _ if self.leaving || self.alone => Admit::Full { alone: self.alone },
            false => Admit::Full { alone: kind == Kind::Alone },
            true => {
                self.busy += 1;
                self.alone = kind == Kind::Alone;
                Admit::Granted
            }
        }
    }

    /// Releases the slot of a session that has ended.
    pub fn release(&mut self) {
        self.busy = self.busy.saturating_sub(1);
        self.alone = self.alone && self.busy > 0;
    }
}
