//! Resource usage of the daemons over a period: processor, memory, bytes of control traffic.

use std::time::Duration;

use crate::fleet::{Backend, CALL_TIMEOUT, Fleet, Vm};

/// Clock ticks a second in `/proc/PID/stat` on Linux.
const TICKS_PER_S: f64 = 100.0;

/// Usage of a daemon: totals, or amounts per second.
#[derive(Debug, Clone, Copy, Default)]
struct Reading {
    /// Processor time, in seconds.
    cpu: f64,
    /// Resident memory, in MB.
    memory: f64,
    /// Bytes on links, in both directions.
    link: f64,
    /// Bytes of HTTP to and from platform and backend server.
    http: f64,
}

/// Measures for `time` and returns a line per role with the mean of its daemons.
pub async fn measure(fleet: &mut Fleet, time: Duration) -> Result<Vec<String>, String> {
    let vms = fleet.vms.clone();
    let mut before = Vec::new();
    for vm in &vms {
        before.push(read(fleet, vm).await?);
    }
    tokio::time::sleep(time).await;
    let mut spent = Vec::new();
    for (vm, old) in vms.iter().zip(before) {
        let new = read(fleet, vm).await?;
        let per_second = |old: f64, new: f64| (new - old) / time.as_secs_f64();
        let reading = Reading {
            cpu: per_second(old.cpu, new.cpu),
            memory: new.memory,
            link: per_second(old.link, new.link),
            http: per_second(old.http, new.http),
        };
        spent.push((role(vm), reading));
    }
    let roles = ["router", "agent of an engine", "agent of a service"];
    Ok(roles.iter().filter_map(|r| line(r, &spent)).collect())
}

fn role(vm: &Vm) -> &'static str {
    match vm.backend {
        Backend::None => "router",
        Backend::Engine(..) => "agent of an engine",
        Backend::Service => "agent of a service",
    }
}

fn line(role: &str, spent: &[(&str, Reading)]) -> Option<String> {
    let of_role: Vec<Reading> = spent.iter().filter(|s| s.0 == role).map(|s| s.1).collect();
    let n = of_role.len();
    if n == 0 {
        return None;
    }
    let mean = |pick: fn(&Reading) -> f64| of_role.iter().map(pick).sum::<f64>() / n as f64;
    Some(format!(
        "usage of {n} x {role}: {:.2}% of a core, {:.1} MB, links {:.0} B/s, HTTP {:.0} B/s",
        mean(|r| r.cpu) * 100.0,
        mean(|r| r.memory),
        mean(|r| r.link),
        mean(|r| r.http),
    ))
}

async fn read(fleet: &mut Fleet, vm: &Vm) -> Result<Reading, String> {
    let id = fleet.process(&vm.name)?.id().ok_or(format!("{} does not run", vm.name))?;
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).map_err(|e| e.to_string())?;
    // Fields 14 and 15, counted from 1; the name in field 2 may contain spaces.
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
    let ticks = |i: usize| fields.get(i - 3).and_then(|f| f.parse::<f64>().ok()).unwrap_or(0.0);
    let status =
        std::fs::read_to_string(format!("/proc/{id}/status")).map_err(|e| e.to_string())?;
    let rss = status.lines().find_map(|l| l.strip_prefix("VmRSS:")).unwrap_or("");
    let rss = rss.split_whitespace().next().and_then(|f| f.parse::<f64>().ok()).unwrap_or(0.0);

    let http = rest::Client::new(&vm.http(), CALL_TIMEOUT);
    let page = http.send("GET", "/metrics", &[], Default::default()).await;
    let page = page.map_err(|e| e.to_string())?;
    let text = String::from_utf8_lossy(&page.body).into_owned();
    let sum = |name: &str| {
        let lines = text.lines().filter(|l| l.starts_with(name));
        lines.filter_map(|l| l.rsplit(' ').next()?.parse::<f64>().ok()).sum()
    };
    Ok(Reading {
        cpu: (ticks(14) + ticks(15)) / TICKS_PER_S,
        memory: rss / 1024.0,
        link: sum("hyssop_link_bytes"),
        http: sum("hyssop_http_bytes"),
    })
}
