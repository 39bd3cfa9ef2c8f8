//! Output of commands: aligned tables for people, JSON for programs.

use serde::Serialize;

use crate::error;

/// Output of a command and its exit code.
#[derive(Debug)]
pub struct Report {
    /// Text for standard output.
    pub text: String,
    /// Exit code.
    pub code: u8,
}

/// Returns the report of a successful command.
pub fn ok(text: String) -> Report {
    Report { text, code: error::OK }
}

/// Formats a value as pretty-printed JSON with a final newline.
pub fn json<T: Serialize>(value: &T) -> String {
    // Encoding fails only for maps with keys that are not strings, and there are none.
    let text = serde_json::to_string_pretty(value).unwrap_or_default();
    format!("{text}\n")
}

/// Formats a table with column heads, each column as wide as its widest cell.
pub fn table(head: &[&str], rows: &[Vec<String>]) -> String {
    let head: Vec<String> = head.iter().map(|cell| cell.to_string()).collect();
    let mut widths = vec![0; head.len()];
    for row in std::iter::once(&head).chain(rows) {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = cell.chars().count().max(*width);
        }
    }
    std::iter::once(&head).chain(rows).map(|row| line(row, &widths)).collect()
}

/// Formats milliseconds since the Unix epoch as a UTC time such as `2026-03-01T12:00:00.250Z`.
pub fn utc(ms: u64) -> String {
    let (days, rest) = (ms / 86_400_000, ms % 86_400_000);
    let (year, month, day) = date(days);
    let (hour, minute) = (rest / 3_600_000, rest / 60_000 % 60);
    let (second, milli) = (rest / 1000 % 60, rest % 1000);
    format!("{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{second:02}.{milli:03}Z")
}

fn line(row: &[String], widths: &[usize]) -> String {
    let cells: Vec<String> =
        row.iter().zip(widths).map(|(cell, width)| format!("{cell:<width$}")).collect();
    format!("{}\n", cells.join("  ").trim_end())
}

/// Returns the Gregorian year, month and day of a number of days since 1970-01-01.
fn date(days: u64) -> (u64, u64, u64) {
    let (mut year, mut rest) = (1970, days);
    while rest >= year_length(year) {
        rest -= year_length(year);
        year += 1;
    }
    let february = year_length(year) - 337;
    let mut month = 1;
    for length in [31, february, 31, 30, 31, 30, 31, 31, 30, 31, 30] {
        if rest < length {
            break;
        }
        rest -= length;
        month += 1;
    }
    (year, month, rest + 1)
}

fn year_length(year: u64) -> u64 {
    let leap = year.is_multiple_of(4) && (!year.is_multiple_of(100) || year.is_multiple_of(400));
    if leap { 366 } else { 365 }
}
