//! Plays scripted scenarios against real processes on loopback.
//!
//! A script ([`script`]) has one verb a line. The player ([`player`]) starts the fleet
//! ([`fleet`]), sends requests as well-behaved clients do ([`draft`], [`mod@write`]) and
//! injects faults ([`fault`]). At the end it checks the answers and the history that the
//! stand-ins recorded ([`history`]) against invariants that hold under all faults.

pub mod binary;
pub mod history;
pub mod caller;
pub mod draft;
pub mod expect;
pub mod fault;
pub mod fleet;
pub mod load;
pub mod model;
pub mod outcome;
pub mod player;
pub mod process;
pub mod publish;
pub mod quarantine;
pub mod recovery;
pub mod repeat;
pub mod script;
pub mod settings;
pub mod single;
pub mod sse;
pub mod sweep;
pub mod table;
pub mod trace;
pub mod usage;
pub mod watch;
pub mod write;
