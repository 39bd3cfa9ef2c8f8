//! What the lines that gateways wrote say of a request.

use std::fs;
use std::io::{self, Read};
use std::path::Path;

use time::format_description::well_known::Rfc3339;
use time::{Duration, OffsetDateTime};

use crate::error::Error;
use crate::report::{self, Report};

/// How long before a request's first line what the gateways believed may have decided its fate: the longest
/// pause for which a server is passed over.
const BEFORE: Duration = Duration::seconds(4);

/// How long after its last line what follows may tell the cause: the list of servers drops a dead one after
/// three heartbeats.
const AFTER: Duration = Duration::seconds(4);

/// Fields that name a server.
const NAMING: [&str; 3] = ["server", "first", "culprit"];

/// Beginnings of lines that say what a gateway believes of more than one server.
const BELIEFS: [&str; 6] =
    ["placement ", "order ", "gives_orders=", "store lost", "store regained", "doubted="];

/// One line that a gateway wrote.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Line {
    at: OffsetDateTime,
    vm: String,
    /// What follows the level and the program's name.
    text: String,
}

impl Line {
    /// Takes a line apart; none if it holds no time. What stands before the time, as when the output
    /// of many VMs is collected in one place, ends with the VM's name.
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

    /// Value of a field; a name that may be missing is taken out of its wrapping.
    fn field(&self, name: &str) -> Option<&str> {
        let found = words(&self.text).find_map(|(_, w)| w.strip_prefix(name)?.strip_prefix('='))?;
        let bare = found.strip_prefix("Some(\"").and_then(|f| f.strip_suffix("\")"));
        Some(bare.unwrap_or(found))
    }

    fn names_any(&self, servers: &[&str]) -> bool {
        self.field("request").is_none()
            && self.field("server").is_some_and(|s| servers.binary_search(&s).is_ok())
    }
}

/// Words of a line and where they begin.
fn words(text: &str) -> impl Iterator<Item = (usize, &str)> {
    let start = text.as_ptr() as usize;
    text.split_whitespace().map(move |word| (word.as_ptr() as usize - start, word))
}

/// Shows the lines of a request in the order of time, and around them what the gateways believed of the
/// servers it met, of the layers that were held and of the store.
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
    let (from, to) = (first.at - BEFORE, last.at + AFTER);
    let mut servers: Vec<&str> = lines
        .iter()
        .filter(own)
        .flat_map(|line| NAMING.iter().filter_map(|name| line.field(name)))
        .collect();
    servers.sort_unstable();
    let believed = |line: &Line| {
        let general = BELIEFS.iter().any(|start| line.text.starts_with(start));
        from <= line.at && line.at <= to && (general || line.names_any(&servers))
    };
    let rows = lines.iter().filter_map(|line| {
        let of = match () {
            () if own(&line) => "request",
            () if believed(line) => "around",
            () => return None,
        };
        let at = line.at.format(&Rfc3339).unwrap_or_default();
        Some(vec![at, line.vm.clone(), of.to_owned(), line.text.clone()])
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
