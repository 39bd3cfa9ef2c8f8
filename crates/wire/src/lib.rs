//! Frames and QUIC connections between the system's own processes.
//!
//! A process opens a QUIC connection to a peer, and on it one bidirectional stream for each
//! exchange. The first frame of a stream is a [`frame::Command`], every later one a
//! [`frame::Frame`]. The variants of [`frame::Command`] document the exchanges.

pub mod codec;
pub mod frame;
mod hot;
pub mod id;
pub mod link;
pub mod order;
pub mod quarantine;
pub mod refusal;
pub mod tls;
