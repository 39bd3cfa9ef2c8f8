//! Plays scripted scenarios against real processes on loopback.

fn main() {}
