//! Settings of a process ([`process`]) and of the fleet ([`fleet`]), and the
//! rules for changing the latter ([`change`]).
//!
//! Both are INI files. All errors of a file are reported at once ([`fault`]).
//! A semicolon at the start of a line or after white space begins a comment.

pub mod change;
pub mod fault;
pub mod fleet;
pub mod process;
mod reader;
pub mod unit;
