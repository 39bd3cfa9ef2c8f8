//! Reads the text of the fleet settings.

use std::time::Duration;

use super::{
    Class, Defaults, Fleet, Model, Objective, Route, Service, Workspace, contract, defaults,
    exception,
};
use crate::fault::Faults;
use crate::reader::{Reader, Section};
use crate::unit;

/// Paths the routers answer themselves.
const RESERVED: [&str; 4] = ["/v1", "/metrics", "/livez", "/readyz"];

const METHODS: [&str; 7] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"];

const SECTIONS: &str = "defaults, model NAME, workspace NAME, service NAME, engines, \
                        exception NAME; each NAME a DNS label";
const DEFAULTS: &str = "objective, deadline, deadline-max, max-tokens, body-limit, queue-limit, \
                        step-timeout, report-interval, keep-finished, key-window, quarantine, drain";
const ROUTE: &str = "METHOD /PATH CLASS; the class is read-only, idempotent or non-idempotent, \
                     the path has plain segments or *";
const RANGES: &str = "ranges such as 0-3, 4-7 that hold each layer once and in order";

pub(super) const TIME: &str = "a time such as 250ms, 1s, 5m or 1h, from 1ms to 24h";
pub(super) const MAX_TOKENS: &str = "a count from 1 to 1048576";
pub(super) const QUEUE_LIMIT: &str = "a count from 1 to 1000000";
pub(super) const SHARE: &str = "a count from 1 to 1000";
pub(super) const PRIORITY: &str = "0 to 9";
const BODY_LIMIT: &str = "a size such as 64KiB or 1MiB, from 1KiB to 16MiB";

pub(super) fn fleet(file: &str, text: &str) -> Result<Fleet, Faults> {
    let (mut rdr, sections) = Reader::open(file, text);
    let mut fleet = Fleet::empty();
    for mut section in sections {
        add(&mut rdr, &mut fleet, &mut section);
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
    fleet.keys = index(&mut rdr, &fleet.workspaces);
    rdr.finish(Some(fleet))
}

fn add(rdr: &mut Reader, fleet: &mut Fleet, section: &mut Section) {
    let named = unit::is_label(section.name());
    match section.kind() {
        "defaults" if section.name().is_empty() => fleet.defaults = read_defaults(rdr, section),
        "engines" if section.name().is_empty() => fleet.fenced = read_fenced(rdr, section),
        "model" if named => fleet.models.extend(read_model(rdr, section)),
        "service" if named => fleet.services.extend(read_service(rdr, section)),
        "workspace" if named => fleet.workspaces.push(read_workspace(rdr, section)),
        "exception" if named => fleet.exceptions.extend(exception::read(rdr, section)),
        _ => rdr.fault(&section.title, "", "an unknown section", SECTIONS),
    }
}

fn read_defaults(rdr: &mut Reader, section: &mut Section) -> Defaults {
    let mut d = defaults::new();
    let mut set = |key: &str, place: &mut Duration| {
        *place = rdr.get(section, key, TIME, time).unwrap_or(*place);
    };
    set("deadline", &mut d.deadline);
    set("deadline-max", &mut d.deadline_max);
    set("step-timeout", &mut d.step_timeout);
    set("report-interval", &mut d.report_interval);
    set("keep-finished", &mut d.keep_finished);
    set("key-window", &mut d.key_window);
    set("quarantine", &mut d.quarantine);
    set("drain", &mut d.drain);
    d.objective =
        rdr.get(section, "objective", "throughput, recovery", objective).unwrap_or(d.objective);
    d.max_tokens = rdr.get(section, "max-tokens", MAX_TOKENS, max_tokens).unwrap_or(d.max_tokens);
    d.queue_limit =
        rdr.get(section, "queue-limit", QUEUE_LIMIT, queue_limit).unwrap_or(d.queue_limit);
    d.body_limit = rdr.get(section, "body-limit", BODY_LIMIT, body_limit).unwrap_or(d.body_limit);
    if d.deadline > d.deadline_max {
        let found = format!("{:?}", d.deadline);
        rdr.fault(&section.title, "deadline", &found, "a time of at most deadline-max");
    }
    rdr.close(section, DEFAULTS);
    d
}

fn read_fenced(rdr: &mut Reader, section: &mut Section) -> Vec<String> {
    let allowed = "names of VMs, each once, with commas between";
    let list = rdr.get(section, "check-fence", allowed, |v| {
        let mut names: Vec<String> = v.split(',').map(|vm| vm.trim().to_string()).collect();
        names.sort();
        let count = names.len();
        names.dedup();
        (names.len() == count && names.iter().all(|vm| unit::is_label(vm))).then_some(names)
    });
    rdr.close(section, "check-fence");
    list.unwrap_or_default()
}

fn read_model(rdr: &mut Reader, section: &mut Section) -> Option<Model> {
    let version =
        rdr.need(section, "version", "a count from 1", |v| unit::count(v).filter(|n| *n > 0));
    let layers = rdr.need(section, "layers", "a count from 1 to 4096", |v| {
        unit::count(v).filter(|n| (1..=defaults::LAYERS_MAX).contains(n))
    });
    let ranges = rdr.need(section, "ranges", RANGES, |v| {
        let ranges = v.split(',').map(range).collect::<Option<Vec<_>>>()?;
        // Without a usable number of layers only the shape can be checked.
        let last = layers.map_or_else(|| ranges.last().map(|r| r.1), |n| Some(n - 1))?;
        covers(&ranges, last).then_some(ranges)
    });
    rdr.close(section, "version, layers, ranges");
    let name = section.name().to_string();
    Some(Model { name, version: version?, layers: layers?, ranges: ranges? })
}

fn read_workspace(rdr: &mut Reader, section: &mut Section) -> Workspace {
    let hex = |v: &str| v.len() == 64 && v.chars().all(|c| matches!(c, '0'..='9' | 'a'..='f'));
    let key = rdr
        .need(section, "key-sha256", "64 lower-case hex digits", |v| hex(v).then(|| v.to_string()));
    let share = rdr.get(section, "share", SHARE, share);
    let priority = rdr.get(section, "priority", PRIORITY, priority);
    rdr.close(section, "key-sha256, share, priority; the others need an exception");
    Workspace {
        name: section.name().to_string(),
        // An empty one only lives on until the faults are reported.
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
    let prefix = rdr.need(section, "prefix", allowed, |v| {
        let own = RESERVED.iter().any(|path| contract::after(path, v).is_some());
        (v != "/" && contract::is_plain(v) && !own).then(|| v.to_string())
    });
    let routes = read_routes(rdr, section);
    rdr.close(section, "prefix, route.NUMBER");
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
        // The order of the file decides; numbers that say otherwise would mislead its reader.
        if number <= last {
            rdr.fault(&title, &key, &format!("{number} after {last}"), "rising numbers from 1");
        }
        last = number;
        let Some(route) = rdr.need(section, &key, ROUTE, route) else { continue };
        match routes.iter().any(|r| r.method == route.method && r.path == route.path) {
            true => rdr.fault(&title, &key, "a second class for this route", "one class"),
            false => routes.push(route),
        }
    }
    routes
}

fn check_prefixes(rdr: &mut Reader, services: &[Service]) {
    for (i, service) in services.iter().enumerate() {
        if let Some(twin) = services[..i].iter().find(|s| s.prefix == service.prefix) {
            let found = format!("{}, the prefix of service {} too", service.prefix, twin.name);
            let title = format!("service {}", service.name);
            rdr.fault(&title, "prefix", &found, "a prefix of its own");
        }
    }
}

fn index(rdr: &mut Reader, workspaces: &[Workspace]) -> Vec<(String, usize)> {
    let keyed = workspaces.iter().enumerate().filter(|(_, w)| !w.key_sha256.is_empty());
    let mut keys: Vec<_> = keyed.map(|(i, w)| (w.key_sha256.clone(), i)).collect();
    keys.sort();
    for pair in keys.windows(2).filter(|pair| pair[0].0 == pair[1].0) {
        let (first, second) = (&workspaces[pair[0].1].name, &workspaces[pair[1].1].name);
        let found = format!("the key of workspace {first} too");
        rdr.fault(&format!("workspace {second}"), "key-sha256", &found, "a key of its own");
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

/// True when the ranges hold each layer from 0 to `last` once and in order.
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
    let known = METHODS.contains(&method) && contract::is_route(path);
    known.then(|| Route { method: method.to_string(), path: path.to_string(), class })
}
