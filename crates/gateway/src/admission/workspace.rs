//! The limit that follows from the workspace of the request.

use policy::headroom::Limit;

use crate::request::Call;
use crate::state::State;

/// Returns the limit of a request.
pub(super) fn limit(_state: &State, _call: &Call, _service: &str) -> Limit {
    Limit::full()
}
