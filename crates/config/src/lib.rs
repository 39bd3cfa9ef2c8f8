//! Settings of a process ([`process`]) and of the fleet ([`fleet`]), and the
//! order of their changes ([`change`]).
//!
//! Both are INI. All errors of a file are reported at once ([`fault`]).
//! A semicolon at the start of a line or after white space begins a comment.

pub mod change;
pub mod fault;
pub mod fleet;
pub mod process;
mod reader;
pub mod unit;
