//! Slots of the server that a request begins at.
//!
//! Load pattern: the fastest copy of the model is the cheapest way for each request, so all of a data centre's
//! requests begin at its first server. That one runs a fixed number at once, while the servers after it
//! take any number. Once its slots are taken, each further request waits until another one has ended,
//! some seconds, though the copy itself has time and memory left. A server that holds the same first
//! layers, be it a slow one, takes such requests at once.

/// Part of a server's slots up to which beginning there costs nothing.
const FREE: f64 = 0.75;

/// Part of a server's slots from which on it is sent no new requests. What it tells of them is some hundred
/// milliseconds old, and other routers send to it meanwhile.
const FULL: f64 = 0.95;

/// Cost of beginning at a server whose slots are nearly all taken, as a part of the whole time of a request.
const CROWDED: f64 = 0.5;

/// Cost of beginning a request at a server that told of `running` requests, in milliseconds; infinite if
/// it takes no more. `whole` is the whole time of the request in milliseconds.
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
        () if taken >= FULL => f64::INFINITY,
        () if taken <= FREE => 0.0,
        () => CROWDED * whole * (taken - FREE) / (FULL - FREE),
    }
}
