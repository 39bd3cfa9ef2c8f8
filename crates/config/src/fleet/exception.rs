//! Reads exceptions and applies them to their workspaces.

use super::{Defaults, Exception, Workspace, read};
use crate::reader::{Reader, Section};

const SETTINGS: &str = "deadline, max-tokens, queue-limit, share, priority";

/// Reads one `[exception NAME]`.
pub(super) fn read(rdr: &mut Reader, section: &mut Section) -> Option<Exception> {
    let any = |v: &str| (!v.is_empty()).then(|| v.to_string());
    let target = rdr.need(section, "target", "workspace NAME", any);
    let setting = rdr.need(section, "setting", SETTINGS, any);
    let value = rdr.need(section, "value", "the value of the setting here", any);
    let reason = rdr.need(section, "reason", "a sentence that says why", any);
    rdr.close(section, "target, setting, value, reason");
    let name = section.name().to_string();
    Some(Exception { name, target: target?, setting: setting?, value: value?, reason: reason? })
}

/// Applies the exceptions. Each has to name a workspace that exists and a setting that can
/// be excepted, and no two the same.
pub(super) fn apply(
    rdr: &mut Reader,
    exceptions: &[Exception],
    defaults: &Defaults,
    workspaces: &mut [Workspace],
) {
    for (i, exception) in exceptions.iter().enumerate() {
        let title = format!("exception {}", exception.name);
        let twin = exceptions[..i]
            .iter()
            .find(|e| e.target == exception.target && e.setting == exception.setting);
        if let Some(twin) = twin {
            let found = format!("the same target and setting as exception {}", twin.name);
            rdr.fault(&title, "setting", &found, "one exception for a target and a setting");
        }
        let name = exception.target.strip_prefix("workspace ").map(str::trim);
        match workspaces.iter_mut().find(|w| Some(w.name.as_str()) == name) {
            Some(workspace) => set(rdr, &title, exception, defaults, workspace),
            None => {
                rdr.fault(&title, "target", &exception.target, "workspace NAME, one that exists")
            }
        }
    }
}

fn set(
    rdr: &mut Reader,
    title: &str,
    exception: &Exception,
    defaults: &Defaults,
    workspace: &mut Workspace,
) {
    let value = exception.value.as_str();
    let allowed = match exception.setting.as_str() {
        "deadline" => {
            let most = defaults.deadline_max;
            let time = read::time(value).filter(|time| *time <= most);
            put(time, &mut workspace.deadline)
                .err()
                .map(|()| format!("{} and at most deadline-max", read::TIME))
        }
        "max-tokens" => put(read::max_tokens(value), &mut workspace.max_tokens)
            .err()
            .map(|()| read::MAX_TOKENS.into()),
        "queue-limit" => put(read::queue_limit(value), &mut workspace.queue_limit)
            .err()
            .map(|()| read::QUEUE_LIMIT.into()),
        "share" => put(read::share(value), &mut workspace.share).err().map(|()| read::SHARE.into()),
        "priority" => put(read::priority(value), &mut workspace.priority)
            .err()
            .map(|()| read::PRIORITY.into()),
        other => return rdr.fault(title, "setting", other, SETTINGS),
    };
    if let Some(allowed) = allowed {
        rdr.fault(title, "value", value, &allowed);
    }
}

fn put<T>(value: Option<T>, place: &mut T) -> Result<(), ()> {
    value.map(|value| *place = value).ok_or(())
}
