//! Plays one case of the review between stand-ins: `stand CASE RECORD`.
//!
//! Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. With `TROUBLE=0` the disruption is
//! left out.

mod crash;
mod forged;
mod deployment;
mod fleet;
mod gateway;
mod http;
mod record;
mod store;

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;

use record::Record;

/// Outcome of a case.
pub enum Verdict {
    Held,
    Broken,
    NotRun(String),
}

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().collect();
    let (Some(case), Some(path)) = (words.get(1), words.get(2)) else {
        eprintln!("usage: stand CASE RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    let record = match Record::create(Path::new(path)) {
        Ok(record) => Arc::new(record),
        Err(e) => {
            eprintln!("{path}: {e}");
            return ExitCode::from(2);
        }
    };
    record.line(&format!("case {case} trouble={trouble}"));
    let folder = std::env::temp_dir().join(format!("review-{case}-{}", std::process::id()));
    let verdict = match std::fs::create_dir_all(&folder) {
        Ok(()) if case == "entry-without-start" => forged::play(trouble, &folder, &record),
        Ok(()) => crash::play(case, trouble, &folder, &record),
        Err(e) => Verdict::NotRun(e.to_string()),
    };
    let _ = std::fs::remove_dir_all(&folder);
    let (code, text) = match verdict {
        Verdict::Held => (0, "the rule held".to_owned()),
        Verdict::Broken => (1, "the rule was broken".to_owned()),
        Verdict::NotRun(why) => (2, format!("the case could not run: {why}")),
    };
    record.line(&text);
    println!("{case}: {text}");
    ExitCode::from(code)
}
