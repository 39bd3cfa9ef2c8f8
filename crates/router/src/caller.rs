//! What is read from a caller's request before its content is judged: who asks,
//! the body, and until when.

use std::sync::Arc;
use std::time::Duration;

use config::fleet::{Fleet, Workspace};
use salvo::Request;
use wire::refusal::{Cause, Refusal};

use crate::Router;

/// Header with the caller's deadline in milliseconds from now.
pub const DEADLINE: &str = "x-deadline-ms";

/// When a caller may come back to a router that has not read its settings yet.
const SETTINGS_RETRY: Duration = Duration::from_secs(1);

/// A refusal with the HTTP status it is answered with.
pub type Answer = (u16, Refusal);

/// Who asks, and the settings by which the request is judged.
#[derive(Debug, Clone)]
pub struct Caller {
    /// Settings in force when the request came.
    pub fleet: Arc<Fleet>,
    /// The caller's workspace.
    pub workspace: Workspace,
}

/// Finds out who asks.
///
/// A router that has just started knows no workspaces and no models yet. Without
/// the look at `caught_up` it would answer 401 to a valid key, and the caller
/// would give up in place of coming back.
pub fn identify(router: &Router, req: &Request) -> Result<Caller, Answer> {
    let vm = &router.node.process.vm;
    let force = router.node.settings.borrow().clone();
    if !force.caught_up {
        let why = "the settings have not been read yet";
        let refusal = Refusal::not_run(Cause::Unavailable, "authenticate", vm, why);
        return Err((503, refusal.with_retry_after(SETTINGS_RETRY)));
    }
    match workspace(&force.fleet, req).cloned() {
        Some(workspace) => Ok(Caller { fleet: force.fleet, workspace }),
        None => {
            let why = "the bearer key is missing or belongs to no workspace";
            Err((401, Refusal::refused(Cause::Bad, "authenticate", vm, why)))
        }
    }
}

/// Finds out who asks, and reads the body.
pub async fn receive(router: &Router, req: &mut Request) -> Result<(Caller, Vec<u8>), Answer> {
    let caller = identify(router, req)?;
    let body = body(&caller, req, &router.node.process.vm).await?;
    Ok((caller, body))
}

/// Reads the body, up to the limit of the settings.
async fn body(caller: &Caller, req: &mut Request, vm: &str) -> Result<Vec<u8>, Answer> {
    let limit = caller.fleet.defaults.body_limit;
    match req.payload_with_max_size(limit).await {
        Ok(body) => Ok(body.to_vec()),
        Err(e) => {
            let why = format!("the body can't be read, the limit is {limit} bytes: {e}");
            Err((413, Refusal::refused(Cause::Bad, "read", vm, why)))
        }
    }
}

/// The workspace of a bearer key.
fn workspace<'a>(fleet: &'a Fleet, req: &Request) -> Option<&'a Workspace> {
    let header = req.headers().get("authorization")?.to_str().ok()?;
    let (scheme, key) = header.split_once(' ')?;
    match scheme.eq_ignore_ascii_case("bearer") {
        true => fleet.workspace(key.trim()),
        false => None,
    }
}

/// How long the caller waits: its header, else its workspace's default.
pub fn deadline(
    fleet: &Fleet,
    workspace: &Workspace,
    req: &Request,
    vm: &str,
) -> Result<Duration, Refusal> {
    let Some(header) = req.headers().get(DEADLINE) else { return Ok(workspace.deadline) };
    let asked = header.to_str().ok().and_then(|s| s.trim().parse::<u64>().ok());
    match asked.map(Duration::from_millis) {
        Some(time) if !time.is_zero() => Ok(time.min(fleet.defaults.deadline_max)),
        _ => {
            let why = format!("{DEADLINE} has to be a whole number of milliseconds above 0");
            Err(Refusal::refused(Cause::Bad, "parse", vm, why))
        }
    }
}
