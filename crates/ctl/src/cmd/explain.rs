//! Shows what happened to a request.

use cloud::vm::{Entry, Role};
use serde_json::{Map, Value};
use wire::frame::Command;

use crate::cmd::lines;
use crate::error::Error;
use crate::option::Common;
use crate::peer::{self, Answer};
use crate::report::{self, Report};

/// Field of an event with its time in milliseconds since the Unix epoch.
const TIME_FIELD: &str = "time_ms";

/// Show the events of a request, in the order of time.
///
/// Queries all routers and the VM that the id names. VMs keep events in memory only, so the
/// events of a VM that has ended are lost; VMs that don't answer are named. With `--output`, no
/// VM is queried: log lines of gateways are searched for the request and for the state of the
/// gateways around it.
#[derive(Debug, clap::Args)]
#[command(after_help = "Examples:\n  hyssopctl --vms http://127.0.0.1:9001 --tls certs \
                        --as operator explain gpu-1.42.7f3a\n  \
                        hyssopctl explain 4211edee581f88ff --output entry-1.log --output entry-2.log")]
pub struct Args {
    /// Id of the request: VM.INCARNATION.UNIQUE, or in the lines of gateways the caller's id.
    #[arg(value_name = "REQUEST-ID")]
    request: String,
    /// File with log output of gateways, or - for standard input.
    #[arg(long, value_name = "FILE")]
    output: Vec<String>,
}

/// Collects the events and sorts them by time.
pub async fn run(common: &Common, args: Args) -> Result<Report, Error> {
    if !args.output.is_empty() {
        return lines::explain(&args.output, &args.request);
    }
    let owner = args.request.split('.').next().unwrap_or_default();
    let is_queried = |entry: &Entry| entry.vm == owner || entry.role == Role::Router;
    let entries: Vec<Entry> = peer::list(common).await?.into_iter().filter(is_queried).collect();
    let listed = entries.iter().any(|entry| entry.vm == owner);
    let answers = peer::query_all(common, entries, &Command::Explain(args.request.clone())).await?;

    let mut failures: Vec<String> = answers.iter().filter_map(failure).collect();
    if !listed {
        failures.push(format!("{owner}: not in the VM list, it may no longer exist"));
    }
    for line in &failures {
        eprintln!("hyssopctl: {line}");
    }
    let mut events: Vec<Map<String, Value>> = answers.iter().flat_map(events).collect();
    events.sort_by_key(time_ms);
    match events.is_empty() {
        false if common.json => Ok(report::ok(report::json(&events))),
        false => Ok(report::ok(text(&events))),
        true if failures.is_empty() => {
            Err(Error::Refused(format!("no events of request {} at any VM", args.request)))
        }
        true => Err(Error::Unreachable(format!(
            "no events of request {} at the VMs that answered",
            args.request
        ))),
    }
}

fn failure(answer: &Answer) -> Option<String> {
    let e = peer::text(&answer.result).err()?;
    Some(format!("{}: {e}", answer.entry.vm))
}

/// Returns the events of one VM with its name added. The answer is a JSON array, or one JSON
/// object on each line; a line that is not JSON is kept as text.
fn events(answer: &Answer) -> Vec<Map<String, Value>> {
    let text = peer::text(&answer.result).unwrap_or_default();
    let values = match serde_json::from_str(text) {
        Ok(Value::Array(values)) => values,
        _ => text.lines().filter(|line| !line.trim().is_empty()).map(value).collect(),
    };
    values.into_iter().map(|value| event(value, &answer.entry.vm)).collect()
}

fn value(line: &str) -> Value {
    serde_json::from_str(line).unwrap_or_else(|_| Value::from(line))
}

fn event(value: Value, vm: &str) -> Map<String, Value> {
    let mut event = match value {
        Value::Object(event) => event,
        other => Map::from_iter([("text".to_string(), other)]),
    };
    event.entry("vm").or_insert_with(|| Value::from(vm));
    event
}

fn time_ms(event: &Map<String, Value>) -> u64 {
    event.get(TIME_FIELD).and_then(Value::as_u64).unwrap_or_default()
}

fn text(events: &[Map<String, Value>]) -> String {
    let row = |event: &Map<String, Value>| {
        let time =
            event.get(TIME_FIELD).map_or_else(|| "-".to_string(), |_| report::utc(time_ms(event)));
        let others = event.iter().filter(|(key, _)| *key != TIME_FIELD && *key != "vm");
        let fields: Vec<String> =
            others.map(|(key, value)| format!("{key}={}", plain(value))).collect();
        vec![time, plain(&event["vm"]), fields.join(" ")]
    };
    let rows: Vec<Vec<String>> = events.iter().map(row).collect();
    report::table(&["TIME", "VM", "EVENT"], &rows)
}

fn plain(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
