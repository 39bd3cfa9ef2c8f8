//! Slots of the first server of a request's path.
//!
//! Load pattern: the fastest copy of the model is the cheapest path for each request, so all requests of a data
//! centre begin at its first server. That server runs a fixed number of requests at once, while the servers after it
//! run any number. Once its slots are taken, each further request waits some seconds until another one has ended,
//! although the copy has time and memory left. Another server that holds the same first layers, even a slow
//! one, can begin such requests at once.

/// Share of a server's slots in use up to which beginning there costs nothing.
const FREE_SHARE: f64 = 0.75;

/// Share of a server's slots in use from which on it gets no new requests. Its reports are some hundred
/// milliseconds old, and other routers send to it in the meantime.
const FULL_SHARE: f64 = 0.95;

/// Cost of beginning at a server whose slots are nearly all in use, as a share of the whole time of a request.
const MAX_COST_SHARE: f64 = 0.5;

/// Returns the cost of beginning a request at a server that reported `running` requests, in milliseconds. It is
/// infinite if the server gets no more. `whole` is the whole time of the request in milliseconds.
///
/// ```
/// use layers::slots::begin_ms;
/// assert_eq!(begin_ms(40, 192, 2000.0), 0.0);
/// assert!(begin_ms(170, 192, 2000.0) > begin_ms(160, 192, 2000.0));
/// assert!(begin_ms(190, 192, 2000.0).is_infinite());
/// ```
pub fn begin_ms(running: u32, slots: u32, whole: f64) -> f64 {
    let taken = f64::from(running) / f64::from(slots.max(1));
    match () {
        () if taken >= FULL_SHARE => f64::INFINITY,
        () if taken <= FREE_SHARE => 0.0,
        () => MAX_COST_SHARE * whole * (taken - FREE_SHARE) / (FULL_SHARE - FREE_SHARE),
    }
}
