//! What happened to a request.

use cloud::vm::{Entry, Role};
use serde_json::{Map, Value};
use wire::frame::Command;

use crate::cmd::lines;
use crate::error::Error;
use crate::option::Common;
use crate::peer::{self, Answer};
use crate::report::{self, Report};

/// Field of a line that holds its time, in milliseconds since the Unix epoch.
const TIME: &str = "time_ms";

/// Show what the fleet knows of a request, in the order of time.
///
/// Asks the agent that the id names and all routers. VMs keep nothing, so what a VM that has
/// gone knew is lost; VMs that don't answer are named. With `--output`, nobody is asked: the lines
/// that gateways wrote are searched, for the request and for what they believed around it.
#[derive(Debug, clap::Args)]
#[command(after_help = "Examples:\n  hyssopctl --vms http://127.0.0.1:9001 --tls certs \
                        --as operator explain gpu-1.42.7f3a\n  \
                        hyssopctl explain 4211edee581f88ff --output entry-1.log --output entry-2.log")]
pub struct Args {
    /// Id of the request: VM.INCARNATION.UNIQUE, or the caller's id on the users' platform.
    #[arg(value_name = "REQUEST-ID")]
    request: String,
    /// A file that holds the output of gateways, or - for standard input.
    #[arg(long, value_name = "FILE")]
    output: Vec<String>,
}

/// Asks and sorts the lines by time.
pub async fn run(common: &Common, args: Args) -> Result<Report, Error> {
    if !args.output.is_empty() {
        return lines::explain(&args.output, &args.request);
    }
    let owner = args.request.split('.').next().unwrap_or_default();
    let asked = |entry: &Entry| entry.vm == owner || entry.role == Role::Router;
    let entries: Vec<Entry> = peer::list(common).await?.into_iter().filter(asked).collect();
    let listed = entries.iter().any(|entry| entry.vm == owner);
    let answers = peer::ask(common, entries, &Command::Explain(args.request.clone())).await?;

    let mut silent: Vec<String> = answers.iter().filter_map(trouble).collect();
    if !listed {
        silent.push(format!("{owner}: not in the VM list, it may have gone"));
    }
    for line in &silent {
        eprintln!("hyssopctl: {line}");
    }
    let mut events: Vec<Map<String, Value>> = answers.iter().flat_map(events).collect();
    events.sort_by_key(time);
    match events.is_empty() {
        false if common.json => Ok(report::ok(report::json(&events))),
        false => Ok(report::ok(text(&events))),
        true if silent.is_empty() => {
            Err(Error::Refused(format!("nothing is known of request {}", args.request)))
        }
        true => Err(Error::Unreachable(format!(
            "nothing is known of request {} where an answer came",
            args.request
        ))),
    }
}

fn trouble(answer: &Answer) -> Option<String> {
    let e = peer::text(&answer.tell).err()?;
    Some(format!("{}: {e}", answer.entry.vm))
}

/// Events of one VM with its name added: a JSON array, or a JSON object a line. What is
/// neither is kept as it stands.
fn events(answer: &Answer) -> Vec<Map<String, Value>> {
    let text = peer::text(&answer.tell).unwrap_or_default();
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

fn time(event: &Map<String, Value>) -> u64 {
    event.get(TIME).and_then(Value::as_u64).unwrap_or_default()
}

fn text(events: &[Map<String, Value>]) -> String {
    let row = |event: &Map<String, Value>| {
        let at = event.get(TIME).map_or_else(|| "-".to_string(), |_| report::utc(time(event)));
        let others = event.iter().filter(|(key, _)| *key != TIME && *key != "vm");
        let words: Vec<String> =
            others.map(|(key, value)| format!("{key}={}", plain(value))).collect();
        vec![at, plain(&event["vm"]), words.join(" ")]
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
