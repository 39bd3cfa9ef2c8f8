//! Reads INI text and collects all faults instead of stopping at the first.

use std::path::Path;

use ::ini::{Ini, ParseOption};

use crate::fault::{Fault, Faults};

/// Reads the text of a file; a file that can't be read gives a fault.
pub fn read_file(path: &Path) -> Result<String, Faults> {
    let file = path.display().to_string();
    std::fs::read_to_string(path).map_err(|e| {
        let (section, key) = (String::new(), String::new());
        let (found, allowed) = (e.to_string(), "a readable file".to_string());
        Faults { list: vec![Fault { file, section, key, found, allowed }] }
    })
}

/// One section, from which keys are removed as they are read.
#[derive(Debug, Clone)]
pub struct Section {
    /// Text between the brackets.
    pub title: String,
    /// Keys and values in the order of the file; of a repeated key only the first.
    pub pairs: Vec<(String, String)>,
}

impl Section {
    /// Returns the first word of the title.
    pub fn kind(&self) -> &str {
        self.title.split_whitespace().next().unwrap_or_default()
    }

    /// Returns the title without its first word.
    pub fn name(&self) -> &str {
        self.title[self.kind().len()..].trim()
    }

    /// Removes a key and returns its value.
    pub fn take(&mut self, key: &str) -> Option<String> {
        let i = self.pairs.iter().position(|(k, _)| k == key)?;
        Some(self.pairs.remove(i).1)
    }
}

/// Collects the faults of one file.
#[derive(Debug)]
pub struct Reader {
    file: String,
    /// Section and key of each line, used to sort faults by their place in the file.
    order: Vec<(String, String)>,
    faults: Vec<Fault>,
}

impl Reader {
    /// Splits a text into its sections. A repeated section or key is a fault, and only its
    /// first occurrence is kept.
    pub fn parse(file: &str, text: &str) -> (Reader, Vec<Section>) {
        let mut rdr = Reader { file: file.to_string(), order: vec![], faults: vec![] };
        let text = rdr.blank_invalid_lines(text);
        let option =
            ParseOption { enabled_quote: false, enabled_escape: false, ..Default::default() };
        let mut sections: Vec<Section> = vec![];
        match Ini::load_from_str_opt(&text, option) {
            Ok(ini) => {
                for (title, pairs) in ini.iter() {
                    let title = normalize_spaces(title.unwrap_or_default());
                    let section = rdr.read_section(&title, pairs.iter());
                    match sections.iter().any(|s| s.title == title) {
                        true => rdr.record_fault(&title, "", "a second section", "one section"),
                        false if title.is_empty() && section.pairs.is_empty() => {}
                        false => sections.push(section),
                    }
                }
            }
            Err(e) => {
                rdr.record_fault("", "", &format!("line {}: {}", e.line + 1, e.msg), "INI text");
            }
        }
        (rdr, sections)
    }

    /// Records a fault.
    pub fn record_fault(&mut self, section: &str, key: &str, found: &str, allowed: &str) {
        self.faults.push(Fault {
            file: self.file.clone(),
            section: section.to_string(),
            key: key.to_string(),
            found: found.to_string(),
            allowed: allowed.to_string(),
        });
    }

    /// Removes a key and parses its value. Returns `None` if it is absent or invalid; the
    /// latter is a fault.
    pub fn optional<T>(
        &mut self,
        section: &mut Section,
        key: &str,
        allowed: &str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        let value = section.take(key)?;
        let parsed = parse(&value);
        if parsed.is_none() {
            let found = if value.is_empty() { "nothing" } else { value.as_str() };
            self.record_fault(&section.title, key, found, allowed);
        }
        parsed
    }

    /// Like [`optional`](Reader::optional), but an absent key is a fault as well.
    pub fn require<T>(
        &mut self,
        section: &mut Section,
        key: &str,
        allowed: &str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        if !section.pairs.iter().any(|(k, _)| k == key) {
            self.record_fault(&section.title, key, "nothing", allowed);
        }
        self.optional(section, key, allowed, parse)
    }

    /// Records a fault for each key that was not removed from the section.
    pub fn reject_unknown_keys(&mut self, section: &Section, known: &str) {
        for (key, value) in &section.pairs {
            self.record_fault(
                &section.title,
                key,
                value,
                &format!("no such key; known here: {known}"),
            );
        }
    }

    /// Returns the value if there are no faults, else all faults in the order of the file.
    pub fn finish<T>(mut self, value: Option<T>) -> Result<T, Faults> {
        match value {
            Some(value) if self.faults.is_empty() => Ok(value),
            _ => {
                let order = std::mem::take(&mut self.order);
                self.faults.sort_by_cached_key(|f| line_index(&order, f));
                Err(Faults { list: self.faults })
            }
        }
    }

    fn read_section<'a>(
        &mut self,
        title: &str,
        lines: impl Iterator<Item = (&'a str, &'a str)>,
    ) -> Section {
        self.order.push((title.to_string(), String::new()));
        let mut pairs: Vec<(String, String)> = vec![];
        for (key, value) in lines {
            let (key, value) = (key.trim(), strip_comment(value));
            self.order.push((title.to_string(), key.to_string()));
            match pairs.iter().any(|(k, _)| k == key) {
                true => {
                    self.record_fault(title, key, &format!("a second value: {value}"), "one value")
                }
                false => pairs.push((key.to_string(), value.to_string())),
            }
        }
        Section { title: title.to_string(), pairs }
    }

    /// Blanks lines that are not valid INI and records a fault for each. The INI library would
    /// join such a line with the next one and report only one of them, or none.
    fn blank_invalid_lines(&mut self, text: &str) -> String {
        let mut section = String::new();
        let mut valid = String::with_capacity(text.len());
        for (i, line) in text.trim_start_matches('\u{feff}').lines().enumerate() {
            let content = strip_comment(line.trim());
            let key = content.split_once('=').map(|(key, _)| key.trim());
            match key {
                _ if content.is_empty() || content.starts_with([';', '#']) => {}
                _ if content.starts_with('[') && content.ends_with(']') => {
                    section = normalize_spaces(&content[1..content.len() - 1]);
                    valid.push_str(content);
                }
                Some(key) if !key.is_empty() && !key.contains(':') && !key.starts_with('[') => {
                    valid.push_str(content)
                }
                _ => {
                    let found = format!("line {}: {content}", i + 1);
                    self.record_fault(&section, "", &found, "[section], key = value, ; comment");
                }
            }
            valid.push('\n');
        }
        valid
    }
}

/// Removes a comment, which begins with a semicolon at the start or after white space.
fn strip_comment(value: &str) -> &str {
    let comment = value
        .char_indices()
        .find(|&(i, c)| c == ';' && value[..i].chars().next_back().is_none_or(char::is_whitespace));
    match comment {
        Some((i, _)) => value[..i].trim(),
        None => value.trim(),
    }
}

/// Joins the words with single spaces, so that titles that differ in white space only are equal.
fn normalize_spaces(text: &str) -> String {
    text.split_whitespace().collect::<Vec<_>>().join(" ")
}

/// Returns the index in `order` of a fault's key, else of the last line of its section, else 0.
fn line_index(order: &[(String, String)], fault: &Fault) -> usize {
    let exact = order.iter().position(|(s, k)| *s == fault.section && *k == fault.key);
    let within = || order.iter().rposition(|(s, _)| *s == fault.section);
    exact.or_else(within).unwrap_or(0)
}
