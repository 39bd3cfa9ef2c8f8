//! Reads exceptions and applies them to workspaces.

use super::{Defaults, Exception, Workspace, read};
use crate::reader::{Reader, Section};

const ALLOWED_SETTINGS: &str = "deadline, max-tokens, queue-limit, share, priority";

/// Reads an `[exception NAME]` section.
pub(super) fn read(rdr: &mut Reader, section: &mut Section) -> Option<Exception> {
    let non_empty = |v: &str| (!v.is_empty()).then(|| v.to_string());
    let target = rdr.require(section, "target", "workspace NAME", non_empty);
    let setting = rdr.require(section, "setting", ALLOWED_SETTINGS, non_empty);
    let value = rdr.require(section, "value", "the value of the setting here", non_empty);
    let reason = rdr.require(section, "reason", "a sentence that says why", non_empty);
    rdr.reject_unknown_keys(section, "target, setting, value, reason");
    let name = section.name().to_string();
    Some(Exception { name, target: target?, setting: setting?, value: value?, reason: reason? })
}

/// Applies the exceptions. Each has to name an existing workspace and a setting that can be
/// overridden; two exceptions with the same target and setting are a fault.
pub(super) fn apply(
    rdr: &mut Reader,
    exceptions: &[Exception],
    defaults: &Defaults,
    workspaces: &mut [Workspace],
) {
    for (i, exception) in exceptions.iter().enumerate() {
        let title = format!("exception {}", exception.name);
        let duplicate = exceptions[..i]
            .iter()
            .find(|e| e.target == exception.target && e.setting == exception.setting);
        if let Some(duplicate) = duplicate {
            let found = format!("the same target and setting as exception {}", duplicate.name);
            rdr.record_fault(&title, "setting", &found, "one exception for a target and a setting");
        }
        let name = exception.target.strip_prefix("workspace ").map(str::trim);
        match workspaces.iter_mut().find(|w| Some(w.name.as_str()) == name) {
            Some(workspace) => override_setting(rdr, &title, exception, defaults, workspace),
            None => rdr.record_fault(
                &title,
                "target",
                &exception.target,
                "workspace NAME, one that exists",
            ),
        }
    }
}

fn override_setting(
    rdr: &mut Reader,
    title: &str,
    exception: &Exception,
    defaults: &Defaults,
    workspace: &mut Workspace,
) {
    let value = exception.value.as_str();
    let allowed = match exception.setting.as_str() {
        "deadline" => {
            let max = defaults.deadline_max;
            let time = read::time(value).filter(|time| *time <= max);
            assign(time, &mut workspace.deadline)
                .err()
                .map(|()| format!("{} and at most deadline-max", read::ALLOWED_TIME))
        }
        "max-tokens" => assign(read::max_tokens(value), &mut workspace.max_tokens)
            .err()
            .map(|()| read::ALLOWED_MAX_TOKENS.into()),
        "queue-limit" => assign(read::queue_limit(value), &mut workspace.queue_limit)
            .err()
            .map(|()| read::ALLOWED_QUEUE_LIMIT.into()),
        "share" => assign(read::share(value), &mut workspace.share)
            .err()
            .map(|()| read::ALLOWED_SHARE.into()),
        "priority" => assign(read::priority(value), &mut workspace.priority)
            .err()
            .map(|()| read::ALLOWED_PRIORITY.into()),
        other => return rdr.record_fault(title, "setting", other, ALLOWED_SETTINGS),
    };
    if let Some(allowed) = allowed {
        rdr.record_fault(title, "value", value, &allowed);
    }
}

fn assign<T>(value: Option<T>, target: &mut T) -> Result<(), ()> {
    value.map(|value| *target = value).ok_or(())
}
