//! What is read from a caller's request before its body: who asks, until when.

use std::time::Duration;

use config::fleet::{Fleet, Workspace};
use salvo::Request;
use wire::frame::{Cause, Refusal};

/// Header with the caller's deadline in milliseconds from now.
pub const DEADLINE: &str = "x-deadline-ms";

/// The workspace of a bearer key. `None` is answered with 401.
pub fn workspace<'a>(fleet: &'a Fleet, req: &Request) -> Option<&'a Workspace> {
    let header = req.headers().get("authorization")?.to_str().ok()?;
    let (scheme, key) = header.split_once(' ')?;
    match scheme.eq_ignore_ascii_case("bearer") {
        true => fleet.workspace(key.trim()),
        false => None,
    }
}

/// The answer to an unknown key.
pub fn unknown_key(vm: &str) -> Refusal {
    let why = "the bearer key is missing or belongs to no workspace";
    Refusal::refused(Cause::Bad, "authenticate", vm, why)
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
