//! The scenario language: one verb a line, words split as by a shell, `#` comments.

mod option;
mod verb;

use clap::{Parser, ValueEnum};
use derive_more::{Display, Error};

pub use option::*;
pub use verb::*;

/// An error in a line, found on parsing or playing it.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("{file}:{line}: {reason}")]
pub struct Fault {
    /// File of the script.
    pub file: String,
    /// Line number, from 1.
    pub line: usize,
    /// Reason.
    pub reason: String,
}

/// A line of a script with its position.
#[derive(Debug, Clone)]
pub struct Line {
    /// File of the script.
    pub file: String,
    /// Line number, from 1.
    pub number: usize,
    /// Text of the line.
    pub text: String,
    /// The verb and its options.
    pub verb: Verb,
}

impl Line {
    /// Returns an error in this line.
    pub fn fault(&self, reason: impl ToString) -> Fault {
        Fault { file: self.file.clone(), line: self.number, reason: reason.to_string() }
    }
}

#[derive(Debug, Parser)]
#[command(no_binary_name = true, disable_help_flag = true, disable_help_subcommand = true)]
struct Words {
    #[command(subcommand)]
    verb: Verb,
}

/// A range of numbers, written `5-40` or `7`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Span {
    /// Smallest.
    pub low: u32,
    /// Largest, inclusive.
    pub high: u32,
}

/// Parses a [`Span`].
///
/// ```
/// let span = scenario::script::span("5-40").unwrap();
/// assert_eq!((span.low, span.high), (5, 40));
/// assert!(scenario::script::span("9-3").is_err());
/// ```
pub fn span(text: &str) -> Result<Span, String> {
    let number =
        |t: &str| t.parse::<u32>().map_err(|_| format!("'{text}' is not a number or LOW-HIGH"));
    let (low, high) = match text.split_once('-') {
        Some((low, high)) => (number(low)?, number(high)?),
        None => (number(text)?, number(text)?),
    };
    match low <= high {
        true => Ok(Span { low, high }),
        false => Err(format!("'{text}' runs backwards")),
    }
}

/// On or off.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Switch {
    /// On.
    On,
    /// Off.
    Off,
}

impl Switch {
    /// Returns true for on.
    ///
    /// ```
    /// assert!(scenario::script::Switch::On.is_on());
    /// ```
    pub fn is_on(self) -> bool {
        self == Switch::On
    }
}

/// Parses a script; `file` is its name in errors. Returns all errors, not only the first.
///
/// ```
/// let lines = scenario::script::parse("a.scn", "# pause\nsleep 10\n").unwrap();
/// assert_eq!(lines[0].number, 2);
/// ```
pub fn parse(file: &str, text: &str) -> Result<Vec<Line>, Vec<Fault>> {
    let mut lines = Vec::new();
    let mut faults = Vec::new();
    for (i, text) in text.lines().enumerate() {
        match verb(text) {
            Ok(None) => {}
            Ok(Some(verb)) => lines.push(Line {
                file: file.to_string(),
                number: i + 1,
                text: text.trim().to_string(),
                verb,
            }),
            Err(reason) => faults.push(Fault { file: file.to_string(), line: i + 1, reason }),
        }
    }
    match faults.is_empty() {
        true => Ok(lines),
        false => Err(faults),
    }
}

fn verb(text: &str) -> Result<Option<Verb>, String> {
    let words = shlex::split(text).ok_or("a quote is not closed")?;
    if words.is_empty() {
        return Ok(None);
    }
    match Words::try_parse_from(words) {
        Ok(words) => Ok(Some(words.verb)),
        Err(e) => Err(first_paragraph(&e.to_string())),
    }
}

/// Returns the first paragraph of clap's message, on one line.
fn first_paragraph(text: &str) -> String {
    let text = text.strip_prefix("error: ").unwrap_or(text);
    let lines = text.lines().map(str::trim).take_while(|l| !l.starts_with("Usage:"));
    lines.filter(|l| !l.is_empty()).collect::<Vec<_>>().join(" ")
}
