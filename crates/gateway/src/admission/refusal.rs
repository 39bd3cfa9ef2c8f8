//! Log line that says why a request to a model was refused, and who had the room.

use std::fmt::Write;

use policy::rank;

use crate::answer::Reason;
use crate::logging::{self, Line};
use crate::request::Call;
use crate::state::State;

/// Limit on the workspaces that a line names.
const MAX_LOGGED_WORKSPACES: usize = 4;

/// Counts a refused request and logs what this router knew when it was refused. The room is taken by what arrived and
/// was not refused, in tokens a second.
pub(crate) fn record(state: &State, call: &Call, service: &str, reason: Reason) {
    state.metrics.admission.refused(&state.setup.zone, call, reason);
    let quota =
        state.refusal_lines.borrow_mut().take(state.now(), logging::MAX_REFUSAL_LINES_PER_S);
    let Line::Written(left_out) = quota else { return };
    let (now, routers, rank) = (state.now(), state.routers(), call.urgency());
    let (by, limit) = super::limit_by(state, call, service);
    let (demand, workspaces, queue) = state.admission.service(service, |s| {
        let own = s.tally.report(&state.setup.zone, now);
        let workspaces = s.census.by_workspace(&own, routers, now);
        (s.census.by_rank(&own, routers, now), workspaces, s.ranks.queue_length())
    });
    let (mut asked, mut taken) = (String::new(), String::new());
    for d in &demand {
        let _ = write!(asked, "{}:{:.0}/{:.0} ", d.rank, d.arrived, d.refused);
        let _ = write!(taken, "{}:{:.0} ", d.rank, (d.arrived - d.refused).max(0.0));
    }
    log::info!(
        "gateway: request={} admission=refused limit={by} memory={:.2} prefill={:?} rank={rank} share={:.2} \
         demand=[{}] queue={queue} room=[{}] workspaces=[{}] routers={routers} left_out={left_out} why={reason}",
        call.id,
        limit.memory,
        limit.prefill,
        rank::share(rank, &demand),
        asked.trim_end(),
        taken.trim_end(),
        largest(workspaces),
    );
}

/// Returns the workspaces with the highest demand and what they ask for.
fn largest(mut workspaces: Vec<(String, f64)>) -> String {
    workspaces.sort_by(|a, b| b.1.total_cmp(&a.1));
    workspaces.truncate(MAX_LOGGED_WORKSPACES);
    let named = workspaces.iter().map(|(name, tokens)| format!("{name}:{tokens:.0}"));
    named.collect::<Vec<_>>().join(" ")
}
