//! Frames and links between the system's own processes.
//!
//! A process opens a QUIC connection to a peer, and on it one bidirectional
//! stream for each exchange. The first frame of a stream is an [`frame::Command`];
//! the answers are [`frame::Frame`]s. What each exchange looks like is written
//! at the variants of [`frame::Command`].

pub mod codec;
pub mod frame;
mod hot;
pub mod id;
pub mod link;
pub mod order;
pub mod quarantine;
pub mod refusal;
pub mod tls;
