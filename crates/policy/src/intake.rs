//! Whether a router takes a new connection of a caller.
//!
//! Load pattern: for some seconds the load balancer sends most new connections of a data centre or of a region to one
//! router, many times as many as usual. What that router takes beyond what its processor bears makes all of its
//! requests late, while other routers have time. A connection that is closed before its request was read costs the
//! caller one try, which meets another router.
//!
//! A new connection is turned away with a probability that rises with the delay of the router's own timers, which
//! grows as soon as there is more work than time, and only while more connections come than usual: if all routers are
//! slow, there is no better one to go to. A tenth of the connections is always taken, for callers that meet the same
//! router again.

use std::time::Duration;

/// Decides on new connections.
#[derive(Debug, Default)]
pub struct Intake {}

impl Intake {
    /// Records by how much a timer was late.
    pub fn record_delay(&mut self, _late: Duration) {}

    /// Records a new connection, and returns whether to take it. `random` is a random number below one.
    pub fn admits(&mut self, _now: Duration, _random: f64) -> bool {
        true
    }
}
