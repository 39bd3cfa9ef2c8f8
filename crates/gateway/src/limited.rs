//! Limits that backend servers in need name for all routers together.

use std::rc::Rc;

use hyper::header::HeaderValue;

use crate::peer::Peer;
use crate::state::State;

/// Requests a second that a field names; none if it is no such number.
///
/// ```
/// use hyper::header::HeaderValue;
/// let named = |text| gateway::limited::parse(&HeaderValue::from_static(text));
/// assert_eq!(named("2.9"), Some(2.9));
/// assert_eq!(named("-1"), None);
/// assert_eq!(named("inf"), None);
/// ```
pub fn parse(value: &HeaderValue) -> Option<f64> {
    let limit = value.to_str().ok()?.trim().parse::<f64>().ok()?;
    (limit.is_finite() && limit >= 0.0).then_some(limit)
}

/// Takes what an answer says of its server's limit.
pub fn note(state: &State, peer: &Rc<Peer>, named: Option<&HeaderValue>) {
    let limit = named.and_then(|value| {
        let limit = parse(value);
        if limit.is_none() {
            log::warn!("gateway: server={} limit can't be read: {value:?}", peer.server().id);
        }
        limit
    });
    if peer.limit.replace(limit) != limit {
        let sent = peer.sent.borrow_mut().count(state.now());
        let id = &peer.server().id;
        log::info!("gateway: server={id} limit={limit:?} sent_lately={sent}");
        state.metrics.limit_named();
    }
}
