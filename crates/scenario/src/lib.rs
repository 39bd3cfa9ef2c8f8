//! Plays scripted scenarios against real processes on loopback.
//!
//! A script ([`script`]) is one verb a line. The player ([`player`]) starts the
//! fleet ([`fleet`]), sends requests as good clients do ([`draft`], [`mod@write`]),
//! brings faults ([`fault`]), and at the end judges answers and the stand-ins'
//! own history ([`history`]) by invariants that hold whatever happened.

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
