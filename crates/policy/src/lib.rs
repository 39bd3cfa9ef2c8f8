//! Decisions under load, without a network or a clock
