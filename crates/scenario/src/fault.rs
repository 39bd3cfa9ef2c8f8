//! Injection of faults into links, stand-ins and backend servers.

use serde_json::{Map, Value, json};

use crate::fleet::{Backend, CALL_TIMEOUT, Fleet, Vm, post};
use crate::script;

/// A fault of the datagrams of a link.
#[derive(Debug, Clone, Copy, Default)]
pub struct Link {
    /// Drops all datagrams.
    pub cut: bool,
    /// Delay in milliseconds.
    pub delay_ms: u64,
    /// Share of lost datagrams, 0 to 1.
    pub loss: f64,
    /// Share of duplicated datagrams, 0 to 1.
    pub duplicate: f64,
    /// Applies also to connections that the other side opens.
    pub mirror: bool,
}

/// Returns the VMs that a word of the script denotes: a VM, a data centre or `*`.
pub fn named<'a>(vms: &'a [Vm], word: &str) -> Result<Vec<&'a Vm>, String> {
    let fits = |v: &&Vm| word == "*" || v.name == word || v.data_centre == word;
    let found: Vec<&Vm> = vms.iter().filter(fits).collect();
    match found.is_empty() {
        true => Err(format!("there is no VM or data centre {word}")),
        false => Ok(found),
    }
}

/// Injects a fault into the datagrams from one side to the other.
///
/// A relay identifies a flow by the sender's address and its own. Answers on a connection pass
/// the relay through which it was opened; `mirror` includes the connections that the other side
/// opens.
pub async fn link(fleet: &Fleet, from: &str, to: &str, fault: Link) -> Result<(), String> {
    if !fleet.plan.links {
        return Err("the fleet has no links; start it with --links".to_string());
    }
    for from in sides(fleet, from, |vm| vm.ip.to_string())? {
        for to in sides(fleet, to, |vm| vm.link(true).to_string())? {
            let body = json!({
                "from": from,
                "to": to,
                "cut": fault.cut,
                "delay_ms": fault.delay_ms,
                "loss": fault.loss,
                "duplicate": fault.duplicate,
                "mirror": fault.mirror,
            });
            post(&fleet.platform.links, "/~fake/faults", &body).await?;
        }
    }
    Ok(())
}

fn sides(fleet: &Fleet, word: &str, name: impl Fn(&Vm) -> String) -> Result<Vec<String>, String> {
    match word {
        "*" => Ok(vec![word.to_string()]),
        _ => Ok(named(&fleet.vms, word)?.into_iter().map(name).collect()),
    }
}

/// Removes all faults of the links.
pub async fn heal(fleet: &Fleet) -> Result<(), String> {
    let http = rest::Client::new(&fleet.platform.links, CALL_TIMEOUT);
    let done: Result<Value, _> = http.json("DELETE", "/~fake/faults", &()).await;
    done.map(|_| ()).map_err(|e| e.to_string())
}

/// Sends the faults that the line gives to a stand-in.
async fn control(base: &str, settings: &[(&str, Option<Value>)]) -> Result<(), String> {
    let given = settings.iter().filter_map(|(k, v)| Some((k.to_string(), v.clone()?)));
    let body: Map<String, Value> = given.collect();
    match body.is_empty() {
        true => Err("the line names no fault".to_string()),
        false => post(base, "/~fake/control", &Value::Object(body)).await,
    }
}

fn switch(value: Option<script::Switch>) -> Option<Value> {
    value.map(|s| json!(s.is_on()))
}

/// Injects faults into the log service.
pub async fn log(fleet: &Fleet, fault: &script::Log) -> Result<(), String> {
    let expire = fault.expire.as_ref().map(|stream| {
        let before = fault.before.unwrap_or(u64::MAX >> 1);
        json!({ "stream": stream, "before": before })
    });
    let settings = [
        ("outage", switch(fault.outage)),
        ("lose_answers", fault.lose.map(|n| json!(n))),
        ("refuse_next", fault.refuse.map(|n| json!(n))),
        ("delay_ms", fault.delay.map(|n| json!(n))),
        ("retain", fault.retain.map(|n| json!(n))),
        ("expire", expire),
    ];
    control(&fleet.platform.log, &settings).await
}

/// Injects faults into the VM list.
pub async fn vms(
    fleet: &Fleet,
    lag: Option<u64>,
    outage: Option<script::Switch>,
    hide: Option<f64>,
) -> Result<(), String> {
    let settings = [
        ("lag_ms", lag.map(|n| json!(n))),
        ("outage", switch(outage)),
        ("hide", hide.map(|part| json!(part))),
    ];
    control(&fleet.platform.vms, &settings).await
}

/// Injects faults into plain services.
pub async fn service(fleet: &Fleet, fault: &script::Service) -> Result<(), String> {
    let settings = [
        ("lose_answers", fault.lose.map(|n| json!(n))),
        ("down", switch(fault.down)),
        ("delay_ms", fault.delay.map(|n| json!(n))),
        ("stall_ms", fault.stall.map(|n| json!(n))),
        ("fail_next", fault.fail.map(|n| json!(n))),
    ];
    let vms = named(&fleet.vms, &fault.vm)?;
    for vm in vms.into_iter().filter(|vm| vm.backend == Backend::Service) {
        control(&vm.backend_http(), &settings).await?;
    }
    Ok(())
}

/// Injects faults into an engine.
pub async fn engine(fleet: &Fleet, fault: &script::Engine) -> Result<(), String> {
    let settings = [
        ("step_us", fault.step_us.map(|n| json!(n))),
        ("hang", switch(fault.hang)),
        ("fail_next", fault.fail.map(|n| json!(n))),
    ];
    let vm = fleet.vm(&fault.vm)?;
    control(&vm.backend_http(), &settings).await
}

/// Makes an engine crash on requests whose tag contains `tag`.
pub async fn crash(vm: &Vm, tag: &str) -> Result<(), String> {
    control(&vm.backend_http(), &[("crash_tag", Some(json!(tag)))]).await
}
