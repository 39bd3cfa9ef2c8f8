//! Reads the text of the fleet settings.

use std::time::Duration;

use super::{
    Class, Defaults, Fleet, Model, Objective, Route, Service, Workspace, contract, defaults,
    exception,
};
use crate::fault::Faults;
use crate::reader::{Reader, Section};
use crate::unit;

/// Paths that routers answer themselves.
const RESERVED_PATHS: [&str; 4] = ["/v1", "/metrics", "/livez", "/readyz"];

const METHODS: [&str; 7] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"];

const ALLOWED_SECTIONS: &str = "defaults, model NAME, workspace NAME, service NAME, engines, \
                        exception NAME; each NAME a DNS label";
const ALLOWED_DEFAULTS: &str = "objective, deadline, deadline-max, max-tokens, body-limit, queue-limit, \
                        step-timeout, report-interval, keep-finished, key-window, quarantine, drain";
const ALLOWED_ROUTE: &str = "METHOD /PATH CLASS; the class is read-only, idempotent or non-idempotent, \
                     the path has plain segments or *";
const ALLOWED_RANGES: &str = "ranges such as 0-3, 4-7 that hold each layer once and in order";

pub(super) const ALLOWED_TIME: &str = "a time such as 250ms, 1s, 5m or 1h, from 1ms to 24h";
pub(super) const ALLOWED_MAX_TOKENS: &str = "a count from 1 to 1048576";
pub(super) const ALLOWED_QUEUE_LIMIT: &str = "a count from 1 to 1000000";
pub(super) const ALLOWED_SHARE: &str = "a count from 1 to 1000";
pub(super) const ALLOWED_PRIORITY: &str = "0 to 9";
const ALLOWED_BODY_LIMIT: &str = "a size such as 64KiB or 1MiB, from 1KiB to 16MiB";

pub(super) fn fleet(file: &str, text: &str) -> Result<Fleet, Faults> {
    let (mut rdr, sections) = Reader::parse(file, text);
    let mut fleet = Fleet::empty();
    for mut section in sections {
        read_section(&mut rdr, &mut fleet, &mut section);
    }
    fleet.models.sort_by(|a, b| a.name.cmp(&b.name));
    fleet.services.sort_by(|a, b| a.name.cmp(&b.name));
    fleet.workspaces.sort_by(|a, b| a.name.cmp(&b.name));
    fleet.exceptions.sort_by(|a, b| a.name.cmp(&b.name));

    let defaults = fleet.defaults.clone();
    for workspace in &mut fleet.workspaces {
        workspace.deadline = defaults.deadline;
        workspace.max_tokens = defaults.max_tokens;
        workspace.queue_limit = defaults.queue_limit;
    }
    exception::apply(&mut rdr, &fleet.exceptions, &defaults, &mut fleet.workspaces);
    check_prefixes(&mut rdr, &fleet.services);
    fleet.keys = index_keys(&mut rdr, &fleet.workspaces);
    rdr.finish(Some(fleet))
}

fn read_section(rdr: &mut Reader, fleet: &mut Fleet, section: &mut Section) {
    let named = unit::is_label(section.name());
    match section.kind() {
        "defaults" if section.name().is_empty() => fleet.defaults = read_defaults(rdr, section),
        "engines" if section.name().is_empty() => fleet.fencing_vms = read_engines(rdr, section),
        "model" if named => fleet.models.extend(read_model(rdr, section)),
        "service" if named => fleet.services.extend(read_service(rdr, section)),
        "workspace" if named => fleet.workspaces.push(read_workspace(rdr, section)),
        "exception" if named => fleet.exceptions.extend(exception::read(rdr, section)),
        _ => rdr.record_fault(&section.title, "", "an unknown section", ALLOWED_SECTIONS),
    }
}

fn read_defaults(rdr: &mut Reader, section: &mut Section) -> Defaults {
    let mut d = defaults::new();
    let mut read_time = |key: &str, target: &mut Duration| {
        *target = rdr.optional(section, key, ALLOWED_TIME, time).unwrap_or(*target);
    };
    read_time("deadline", &mut d.deadline);
    read_time("deadline-max", &mut d.deadline_max);
    read_time("step-timeout", &mut d.step_timeout);
    read_time("report-interval", &mut d.report_interval);
    read_time("keep-finished", &mut d.keep_finished);
    read_time("key-window", &mut d.key_window);
    read_time("quarantine", &mut d.quarantine);
    read_time("drain", &mut d.drain);
    d.objective = rdr
        .optional(section, "objective", "throughput, recovery", objective)
        .unwrap_or(d.objective);
    d.max_tokens =
        rdr.optional(section, "max-tokens", ALLOWED_MAX_TOKENS, max_tokens).unwrap_or(d.max_tokens);
    d.queue_limit = rdr
        .optional(section, "queue-limit", ALLOWED_QUEUE_LIMIT, queue_limit)
        .unwrap_or(d.queue_limit);
    d.body_limit =
        rdr.optional(section, "body-limit", ALLOWED_BODY_LIMIT, body_limit).unwrap_or(d.body_limit);
    if d.deadline > d.deadline_max {
        let found = format!("{:?}", d.deadline);
        rdr.record_fault(&section.title, "deadline", &found, "a time of at most deadline-max");
    }
    rdr.reject_unknown_keys(section, ALLOWED_DEFAULTS);
    d
}

fn read_engines(rdr: &mut Reader, section: &mut Section) -> Vec<String> {
    let allowed = "names of VMs, each once, with commas between";
    let list = rdr.optional(section, "check-fence", allowed, |v| {
        let mut names: Vec<String> = v.split(',').map(|vm| vm.trim().to_string()).collect();
        names.sort();
        let count = names.len();
        names.dedup();
        (names.len() == count && names.iter().all(|vm| unit::is_label(vm))).then_some(names)
    });
    rdr.reject_unknown_keys(section, "check-fence");
    list.unwrap_or_default()
}

fn read_model(rdr: &mut Reader, section: &mut Section) -> Option<Model> {
    let version =
        rdr.require(section, "version", "a count from 1", |v| unit::count(v).filter(|n| *n > 0));
    let layers = rdr.require(section, "layers", "a count from 1 to 4096", |v| {
        unit::count(v).filter(|n| (1..=defaults::LAYERS_MAX).contains(n))
    });
    let ranges = rdr.require(section, "ranges", ALLOWED_RANGES, |v| {
        let ranges = v.split(',').map(range).collect::<Option<Vec<_>>>()?;
        // If `layers` is invalid, the ranges are checked up to their own last layer.
        let last = layers.map_or_else(|| ranges.last().map(|r| r.1), |n| Some(n - 1))?;
        covers(&ranges, last).then_some(ranges)
    });
    rdr.reject_unknown_keys(section, "version, layers, ranges");
    let name = section.name().to_string();
    Some(Model { name, version: version?, layers: layers?, ranges: ranges? })
}

fn read_workspace(rdr: &mut Reader, section: &mut Section) -> Workspace {
    let hex = |v: &str| v.len() == 64 && v.chars().all(|c| matches!(c, '0'..='9' | 'a'..='f'));
    let key = rdr.require(section, "key-sha256", "64 lower-case hex digits", |v| {
        hex(v).then(|| v.to_string())
    });
    let share = rdr.optional(section, "share", ALLOWED_SHARE, share);
    let priority = rdr.optional(section, "priority", ALLOWED_PRIORITY, priority);
    rdr.reject_unknown_keys(section, "key-sha256, share, priority; the others need an exception");
    Workspace {
        name: section.name().to_string(),
        // An empty one does not leave this module, because its fault is reported.
        key_sha256: key.unwrap_or_default(),
        share: share.unwrap_or(defaults::SHARE),
        priority: priority.unwrap_or(defaults::PRIORITY),
        deadline: defaults::DEADLINE,
        max_tokens: defaults::MAX_TOKENS,
        queue_limit: defaults::QUEUE_LIMIT,
    }
}

fn read_service(rdr: &mut Reader, section: &mut Section) -> Option<Service> {
    let allowed = "a plain path such as /filing, not under /v1, /metrics, /livez or /readyz";
    let prefix = rdr.require(section, "prefix", allowed, |v| {
        let reserved = RESERVED_PATHS.iter().any(|path| contract::strip_prefix(path, v).is_some());
        (v != "/" && contract::is_plain(v) && !reserved).then(|| v.to_string())
    });
    let routes = read_routes(rdr, section);
    rdr.reject_unknown_keys(section, "prefix, route.NUMBER");
    Some(Service { name: section.name().to_string(), prefix: prefix?, routes })
}

fn read_routes(rdr: &mut Reader, section: &mut Section) -> Vec<Route> {
    let mut routes: Vec<Route> = vec![];
    let mut last = 0;
    let keys = section.pairs.iter().map(|(key, _)| key.clone());
    let numbered = |key: String| Some((unit::count(key.strip_prefix("route.")?)?, key));
    let keys: Vec<(u32, String)> = keys.filter_map(numbered).collect();
    for (number, key) in keys {
        let title = section.title.clone();
        // Routes apply in the order of the file; numbers in another order would be misleading.
        if number <= last {
            rdr.record_fault(
                &title,
                &key,
                &format!("{number} after {last}"),
                "rising numbers from 1",
            );
        }
        last = number;
        let Some(route) = rdr.require(section, &key, ALLOWED_ROUTE, route) else { continue };
        match routes.iter().any(|r| r.method == route.method && r.path == route.path) {
            true => rdr.record_fault(&title, &key, "a second class for this route", "one class"),
            false => routes.push(route),
        }
    }
    routes
}

fn check_prefixes(rdr: &mut Reader, services: &[Service]) {
    for (i, service) in services.iter().enumerate() {
        if let Some(duplicate) = services[..i].iter().find(|s| s.prefix == service.prefix) {
            let found = format!("{}, the prefix of service {} too", service.prefix, duplicate.name);
            let title = format!("service {}", service.name);
            rdr.record_fault(&title, "prefix", &found, "a prefix of its own");
        }
    }
}

/// Returns the sorted hashes of the workspaces' keys with the index of each workspace.
fn index_keys(rdr: &mut Reader, workspaces: &[Workspace]) -> Vec<(String, usize)> {
    let keyed = workspaces.iter().enumerate().filter(|(_, w)| !w.key_sha256.is_empty());
    let mut keys: Vec<_> = keyed.map(|(i, w)| (w.key_sha256.clone(), i)).collect();
    keys.sort();
    for pair in keys.windows(2).filter(|pair| pair[0].0 == pair[1].0) {
        let (first, second) = (&workspaces[pair[0].1].name, &workspaces[pair[1].1].name);
        let found = format!("the key of workspace {first} too");
        rdr.record_fault(&format!("workspace {second}"), "key-sha256", &found, "a key of its own");
    }
    keys
}

pub(super) fn time(value: &str) -> Option<Duration> {
    unit::duration(value).filter(|time| !time.is_zero() && *time <= defaults::TIME_MAX)
}

pub(super) fn max_tokens(value: &str) -> Option<u32> {
    unit::count(value).filter(|n| (1..=defaults::MAX_TOKENS_MAX).contains(n))
}

pub(super) fn queue_limit(value: &str) -> Option<u32> {
    unit::count(value).filter(|n| (1..=defaults::QUEUE_LIMIT_MAX).contains(n))
}

pub(super) fn share(value: &str) -> Option<u32> {
    unit::count(value).filter(|n| (1..=defaults::SHARE_MAX).contains(n))
}

pub(super) fn priority(value: &str) -> Option<u8> {
    let n = u8::try_from(unit::count(value)?).ok()?;
    (n <= defaults::PRIORITY_MAX).then_some(n)
}

fn body_limit(value: &str) -> Option<usize> {
    unit::size(value).filter(|n| (1 << 10..=defaults::BODY_LIMIT_MAX).contains(n))
}

fn objective(value: &str) -> Option<Objective> {
    match value {
        "throughput" => Some(Objective::Throughput),
        "recovery" => Some(Objective::Recovery),
        _ => None,
    }
}

fn range(text: &str) -> Option<(u32, u32)> {
    let (first, last) = text.trim().split_once('-')?;
    Some((unit::count(first)?, unit::count(last)?))
}

/// Returns whether the ranges contain each layer from 0 to `last` once and in order.
fn covers(ranges: &[(u32, u32)], last: u32) -> bool {
    let mut next = 0;
    for (first, end) in ranges {
        if *first != next || end < first || *end > last {
            return false;
        }
        next = end + 1;
    }
    next == last + 1
}

fn route(text: &str) -> Option<Route> {
    let [method, path, class] = text.split_whitespace().collect::<Vec<_>>()[..] else {
        return None;
    };
    let class = match class {
        "read-only" => Class::ReadOnly,
        "idempotent" => Class::Idempotent,
        "non-idempotent" => Class::NonIdempotent,
        _ => return None,
    };
    let valid = METHODS.contains(&method) && contract::is_route_path(path);
    valid.then(|| Route { method: method.to_string(), path: path.to_string(), class })
}
