//! What is read from a caller's request before its content is checked: the workspace, the body
//! and the deadline.

use std::sync::Arc;
use std::time::Duration;

use config::fleet::{Fleet, Workspace};
use salvo::Request;
use wire::refusal::{Cause, Refusal};

use crate::Router;

/// Header with the caller's deadline, in milliseconds from now.
pub const DEADLINE_HEADER: &str = "x-deadline-ms";

/// When a caller may retry at a router that has not read its settings yet.
const SETTINGS_RETRY: Duration = Duration::from_secs(1);

/// A refusal with its HTTP status.
pub type Rejection = (u16, Refusal);

/// The caller's workspace, and the settings that apply to the request.
#[derive(Debug, Clone)]
pub struct Caller {
    /// Settings in force when the request arrived.
    pub fleet: Arc<Fleet>,
    /// The caller's workspace.
    pub workspace: Workspace,
}

/// Identifies the caller by its bearer key.
///
/// A router that has just started knows no workspaces and no models yet. Without the check of
/// `caught_up` it would answer 401 to a valid key, and the caller would not retry.
pub fn identify(router: &Router, req: &Request) -> Result<Caller, Rejection> {
    let vm = &router.node.process.vm;
    let settings = router.node.settings.borrow().clone();
    if !settings.caught_up {
        let why = "the settings have not been read yet";
        let refusal = Refusal::not_run(Cause::Unavailable, "authenticate", vm, why);
        return Err((503, refusal.with_retry_after(SETTINGS_RETRY)));
    }
    match workspace(&settings.fleet, req).cloned() {
        Some(workspace) => Ok(Caller { fleet: settings.fleet, workspace }),
        None => {
            let why = "the bearer key is missing or belongs to no workspace";
            Err((401, Refusal::refused(Cause::Bad, "authenticate", vm, why)))
        }
    }
}

/// Identifies the caller and reads the body.
pub async fn receive(router: &Router, req: &mut Request) -> Result<(Caller, Vec<u8>), Rejection> {
    let caller = identify(router, req)?;
    let body = body(&caller, req, &router.node.process.vm).await?;
    Ok((caller, body))
}

/// Reads the body, up to the limit in the settings.
async fn body(caller: &Caller, req: &mut Request, vm: &str) -> Result<Vec<u8>, Rejection> {
    let limit = caller.fleet.defaults.body_limit;
    match req.payload_with_max_size(limit).await {
        Ok(body) => Ok(body.to_vec()),
        Err(e) => {
            let why = format!("the body can't be read, the limit is {limit} bytes: {e}");
            Err((413, Refusal::refused(Cause::Bad, "read", vm, why)))
        }
    }
}

/// The workspace to which the bearer key belongs.
fn workspace<'a>(fleet: &'a Fleet, req: &Request) -> Option<&'a Workspace> {
    let header = req.headers().get("authorization")?.to_str().ok()?;
    let (scheme, key) = header.split_once(' ')?;
    match scheme.eq_ignore_ascii_case("bearer") {
        true => fleet.workspace(key.trim()),
        false => None,
    }
}

/// How long the caller waits: the time in its header, or else its workspace's default.
pub fn deadline(
    fleet: &Fleet,
    workspace: &Workspace,
    req: &Request,
    vm: &str,
) -> Result<Duration, Refusal> {
    let Some(header) = req.headers().get(DEADLINE_HEADER) else { return Ok(workspace.deadline) };
    let requested = header.to_str().ok().and_then(|s| s.trim().parse::<u64>().ok());
    match requested.map(Duration::from_millis) {
        Some(time) if !time.is_zero() => Ok(time.min(fleet.defaults.deadline_max)),
        _ => {
            let why = format!("{DEADLINE_HEADER} has to be a whole number of milliseconds above 0");
            Err(Refusal::refused(Cause::Bad, "parse", vm, why))
        }
    }
}
