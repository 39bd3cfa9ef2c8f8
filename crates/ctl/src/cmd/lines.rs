//! Searches the log lines of gateways for a request.

use std::fs;
use std::io::{self, Read};
use std::path::Path;

use time::format_description::well_known::Rfc3339;
use time::{Duration, OffsetDateTime};

use crate::error::Error;
use crate::report::{self, Report};

/// How long before a request's first line the state of the gateways may have affected it: the longest
/// pause for which a suspected server is not used.
const TIME_BEFORE: Duration = Duration::seconds(4);

/// How long after a request's last line the cause may still be logged: the list of servers drops a dead
/// server after three missed heartbeats.
const TIME_AFTER: Duration = Duration::seconds(4);

/// Fields whose value is the name of a server.
const SERVER_FIELDS: [&str; 4] = ["server", "first", "culprit", "sent_to"];

/// Beginnings of lines about the state of a gateway that concerns more than one server.
const STATE_PREFIXES: [&str; 6] =
    ["placement ", "order ", "gives_orders=", "store lost", "store regained", "doubted="];

/// A log line of a gateway.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Line {
    at: OffsetDateTime,
    vm: String,
    /// Text after the level and the program's name.
    text: String,
}

impl Line {
    /// Parses a line; returns `None` if it contains no time. If the output of several VMs was collected in
    /// one file, text precedes the time, and its last word is the VM's name; else `vm` is used.
    fn parse(text: &str, vm: &str) -> Option<Line> {
        let mut before = "";
        for (at, word) in words(text) {
            if let Ok(time) = OffsetDateTime::parse(word, &Rfc3339) {
                let rest = text[at + word.len()..].trim_start();
                let rest = rest.split_once("gateway: ").map_or(rest, |(_, rest)| rest);
                let vm = if before.is_empty() { vm } else { before };
                return Some(Line { at: time, vm: vm.to_owned(), text: rest.to_owned() });
            }
            before = word;
        }
        None
    }

    /// Returns the value of a field; of an optional name without the enclosing `Some("")`.
    fn field(&self, name: &str) -> Option<&str> {
        let found = words(&self.text).find_map(|(_, w)| w.strip_prefix(name)?.strip_prefix('='))?;
        let bare = found.strip_prefix("Some(\"").and_then(|f| f.strip_suffix("\")"));
        Some(bare.unwrap_or(found))
    }

    /// Returns whether the line is about the state of a gateway that may concern any request.
    fn is_general(&self) -> bool {
        // A request that all servers want to wait has no line that names one of them.
        let asked = ["backoff", "leaving"].iter().any(|name| self.field(name).is_some());
        let is_state = STATE_PREFIXES.iter().any(|prefix| self.text.starts_with(prefix));
        is_state || (asked && self.text.starts_with("server="))
    }

    /// Returns whether the line is about one of the servers and not about a request.
    fn is_about(&self, servers: &[&str]) -> bool {
        self.field("request").is_none()
            && self.field("server").is_some_and(|s| servers.binary_search(&s).is_ok())
    }
}

/// Returns the words of a line with their byte offsets.
fn words(text: &str) -> impl Iterator<Item = (usize, &str)> {
    let start = text.as_ptr() as usize;
    text.split_whitespace().map(move |word| (word.as_ptr() as usize - start, word))
}

/// Shows the lines of a request in the order of time, and the lines around them about the servers that it
/// used, the placement of layers and the store.
pub fn explain(files: &[String], request: &str) -> Result<Report, Error> {
    let mut lines = Vec::new();
    for file in files {
        let text = read(file).map_err(|e| Error::Usage(format!("reading {file}: {e}")))?;
        let vm = Path::new(file).file_stem().map_or("-".into(), |s| s.to_string_lossy());
        lines.extend(text.lines().filter_map(|line| Line::parse(line, &vm)));
    }
    lines.sort();
    let own = |line: &&Line| line.field("request") == Some(request);
    let (Some(first), Some(last)) = (lines.iter().find(own), lines.iter().rfind(own)) else {
        let read = lines.len();
        return Err(Error::Refused(format!("none of {read} lines is of request {request}")));
    };
    let (from, to) = (first.at - TIME_BEFORE, last.at + TIME_AFTER);
    let mut servers: Vec<&str> = lines
        .iter()
        .filter(own)
        .flat_map(|line| SERVER_FIELDS.iter().filter_map(|name| line.field(name)))
        .collect();
    servers.sort_unstable();
    let is_context = |line: &Line| {
        from <= line.at && line.at <= to && (line.is_general() || line.is_about(&servers))
    };
    let rows = lines.iter().filter_map(|line| {
        let relation = match () {
            () if own(&line) => "request",
            () if is_context(line) => "around",
            () => return None,
        };
        let at = line.at.format(&Rfc3339).unwrap_or_default();
        Some(vec![at, line.vm.clone(), relation.to_owned(), line.text.clone()])
    });
    Ok(report::ok(report::table(&["TIME", "VM", "OF", "EVENT"], &rows.collect::<Vec<_>>())))
}

fn read(file: &str) -> io::Result<String> {
    match file {
        "-" => {
            let mut text = String::new();
            io::stdin().read_to_string(&mut text)?;
            Ok(text)
        }
        file => fs::read_to_string(file),
    }
}
