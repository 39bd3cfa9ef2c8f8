//! Decisions under load, without a network or a clock.
//!
//! The policies for admission, queueing, routing, retries and the rate at which work shifts. Nothing here opens a
//! socket, reads a clock, starts a thread or writes a log line: a caller passes the event, the time as a [`Duration`]
//! since its own start, and seeded random numbers, and gets a typed decision back.
//!
//! A router keeps, for each model version and each plain service, one [`queue::Queue`] and one [`route::Table`], and
//! for itself one [`retry::Budget`] and one [`quarantine::List`]. An agent keeps one [`limit::Slots`] and one
//! [`quarantine::List`].
//!
//! State is bounded, in bytes on a 64-bit machine without the text of names: [`share::BYTES`] for a workspace,
//! [`queue::WAITING_BYTES`] for a waiting request (its item not counted), [`replica::BYTES`] for a backend server,
//! [`quarantine::BYTES`] for a fingerprint.
//!
//! [`Duration`]: std::time::Duration

pub mod affinity;
pub mod availability;
pub mod balance;
pub mod breaks;
pub mod census;
pub mod chain;
pub mod crash;
pub mod demand;
pub mod departure;
pub mod entry;
pub mod estimate;
pub mod expiry;
pub mod failure;
pub mod fair;
pub mod fill;
pub mod headroom;
pub mod health;
pub mod holdover;
pub mod intake;
pub mod limit;
pub mod link;
pub mod loan;
pub mod meter;
pub mod missing;
pub mod pick;
pub mod quarantine;
pub mod queue;
pub mod quota;
pub mod ramp;
mod range;
pub mod rank;
pub mod refusal;
pub mod replica;
pub mod restart;
pub mod retry;
pub mod room;
pub mod route;
pub mod share;
pub mod shortage;
pub mod slowness;
pub mod staleness;
pub mod startup;
pub mod suspicion;
pub mod tenure;
pub mod tuning;
pub mod window;
pub mod work;
