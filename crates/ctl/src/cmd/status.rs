//! Shows the state of every VM.

use cloud::vm;
use serde::{Deserialize, Serialize};
use wire::frame::Command;

use crate::error::{self, Error};
use crate::option::Common;
use crate::peer::{self, Answer};
use crate::report::{self, Report};

/// Show the state of every VM in the platform's list.
///
/// Queries all VMs concurrently. Exits with 3 when a VM that is listed as live does not
/// answer; the list lags behind, so the VM may have been removed a moment ago.
#[derive(Debug, clap::Args)]
#[command(after_help = "Example:\n  hyssopctl --vms http://127.0.0.1:9001 --tls certs \
                        --as operator status")]
pub struct Args {}

/// Status that a daemon reports. All fields are optional, so that a daemon of another release
/// is shown as far as its fields are known.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Status {
    data_centre: Option<String>,
    version: Option<u64>,
    state: Option<String>,
    busy: Option<u64>,
    slots: Option<u64>,
    backend: Option<serde_json::Value>,
    incarnation: Option<u64>,
}

#[derive(Debug, Serialize)]
struct Row {
    vm: String,
    role: &'static str,
    data_centre: String,
    listed: vm::State,
    version: Option<u64>,
    state: Option<String>,
    busy: Option<u64>,
    slots: Option<u64>,
    backend: Option<serde_json::Value>,
    incarnation: Option<u64>,
    error: Option<String>,
}

/// Queries every VM and prints a row for each.
pub async fn run(common: &Common, _args: Args) -> Result<Report, Error> {
    let entries = peer::list(common).await?;
    let answers = peer::query_all(common, entries, &Command::Status).await?;
    let rows: Vec<Row> = answers.into_iter().map(row).collect();
    let unanswered = rows.iter().any(|row| row.error.is_some() && row.listed == vm::State::Live);
    let code = if unanswered { error::UNREACHABLE } else { error::OK };
    let text = if common.json { report::json(&rows) } else { text(&rows) };
    Ok(Report { text, code })
}

fn row(answer: Answer) -> Row {
    let decoded = peer::text(&answer.result)
        .and_then(|text| serde_json::from_str::<Status>(text).map_err(|e| e.to_string()));
    let (status, error) = match decoded {
        Ok(status) => (status, None),
        Err(e) => (Status::default(), Some(e)),
    };
    let entry = answer.entry;
    Row {
        vm: entry.vm,
        role: role(entry.role),
        data_centre: status.data_centre.unwrap_or(entry.data_centre),
        listed: entry.state,
        version: status.version,
        state: status.state,
        busy: status.busy,
        slots: status.slots,
        backend: status.backend,
        incarnation: status.incarnation,
        error,
    }
}

fn role(role: vm::Role) -> &'static str {
    match role {
        vm::Role::Router => "router",
        vm::Role::Agent => "agent",
    }
}

fn text(rows: &[Row]) -> String {
    let cells: Vec<Vec<String>> = rows.iter().map(cells).collect();
    let head = ["VM", "ROLE", "DATA CENTRE", "VERSION", "STATE", "BUSY/SLOTS", "BACKEND"];
    let mut text = report::table(&head, &cells);
    for row in rows {
        if let Some(e) = &row.error {
            text += &format!("{}: {e}\n", row.vm);
        }
    }
    text
}

fn cells(row: &Row) -> Vec<String> {
    let number = |n: Option<u64>| n.map_or_else(|| "-".to_string(), |n| n.to_string());
    let state = match (&row.state, &row.error) {
        (_, Some(_)) => "no answer".to_string(),
        (Some(state), None) => state.clone(),
        (None, None) => "-".to_string(),
    };
    let backend = match &row.backend {
        None | Some(serde_json::Value::Null) => "-".to_string(),
        Some(serde_json::Value::String(name)) => name.clone(),
        Some(other) => other.to_string(),
    };
    vec![
        row.vm.clone(),
        row.role.to_string(),
        row.data_centre.clone(),
        number(row.version),
        state,
        format!("{}/{}", number(row.busy), number(row.slots)),
        backend,
    ]
}
