//! The daemon beside each backend server: stage order, slots, writes at most once, drain

fn main() {}
