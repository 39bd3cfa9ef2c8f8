//! Reads INI text and collects every fault instead of stopping at the first.

use std::path::Path;

use ::ini::{Ini, ParseOption};

use crate::fault::{Fault, Faults};

/// Text of a file; a file that can't be read is a fault.
pub fn text(path: &Path) -> Result<String, Faults> {
    let file = path.display().to_string();
    std::fs::read_to_string(path).map_err(|e| {
        let (section, key) = (String::new(), String::new());
        let (found, allowed) = (e.to_string(), "a readable file".to_string());
        Faults { list: vec![Fault { file, section, key, found, allowed }] }
    })
}

/// One section, whose keys are taken out as they are understood.
#[derive(Debug, Clone)]
pub struct Section {
    /// All that stands between the brackets.
    pub title: String,
    /// Keys and values in the order of the file, without repeated keys.
    pub pairs: Vec<(String, String)>,
}

impl Section {
    /// First word of the title.
    pub fn kind(&self) -> &str {
        self.title.split_whitespace().next().unwrap_or_default()
    }

    /// What follows the first word of the title.
    pub fn name(&self) -> &str {
        self.title[self.kind().len()..].trim()
    }

    /// Takes a key out.
    pub fn take(&mut self, key: &str) -> Option<String> {
        let i = self.pairs.iter().position(|(k, _)| k == key)?;
        Some(self.pairs.remove(i).1)
    }
}

/// Collects the faults of one file.
#[derive(Debug)]
pub struct Reader {
    file: String,
    /// Section and key of each line, to report faults in the order of the file.
    order: Vec<(String, String)>,
    faults: Vec<Fault>,
}

impl Reader {
    /// Splits a text into its sections. A repeated section or key is a fault and only its
    /// first appearance is kept.
    pub fn open(file: &str, text: &str) -> (Reader, Vec<Section>) {
        let mut rdr = Reader { file: file.to_string(), order: vec![], faults: vec![] };
        let text = rdr.plain_lines(text);
        let option =
            ParseOption { enabled_quote: false, enabled_escape: false, ..Default::default() };
        let mut sections: Vec<Section> = vec![];
        match Ini::load_from_str_opt(&text, option) {
            Ok(ini) => {
                for (title, pairs) in ini.iter() {
                    let title = words(title.unwrap_or_default());
                    let section = rdr.section(&title, pairs.iter());
                    match sections.iter().any(|s| s.title == title) {
                        true => rdr.fault(&title, "", "a second section", "one section"),
                        false if title.is_empty() && section.pairs.is_empty() => {}
                        false => sections.push(section),
                    }
                }
            }
            Err(e) => {
                rdr.fault("", "", &format!("line {}: {}", e.line + 1, e.msg), "INI text");
            }
        }
        (rdr, sections)
    }

    /// Notes a fault.
    pub fn fault(&mut self, section: &str, key: &str, found: &str, allowed: &str) {
        self.faults.push(Fault {
            file: self.file.clone(),
            section: section.to_string(),
            key: key.to_string(),
            found: found.to_string(),
            allowed: allowed.to_string(),
        });
    }

    /// Takes a key and reads its value. `None` when it is absent or wrong; the latter is a fault.
    pub fn get<T>(
        &mut self,
        section: &mut Section,
        key: &str,
        allowed: &str,
        read: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        let value = section.take(key)?;
        let read = read(&value);
        if read.is_none() {
            let found = if value.is_empty() { "nothing" } else { value.as_str() };
            self.fault(&section.title, key, found, allowed);
        }
        read
    }

    /// The same for a key that may not be absent.
    pub fn need<T>(
        &mut self,
        section: &mut Section,
        key: &str,
        allowed: &str,
        read: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        if !section.pairs.iter().any(|(k, _)| k == key) {
            self.fault(&section.title, key, "nothing", allowed);
        }
        self.get(section, key, allowed, read)
    }

    /// Ends a section: whatever was not taken out is unknown.
    pub fn close(&mut self, section: &Section, known: &str) {
        for (key, value) in &section.pairs {
            self.fault(&section.title, key, value, &format!("no such key; known here: {known}"));
        }
    }

    /// Gives the value when there were no faults, else all of them in the order of the file.
    pub fn finish<T>(mut self, value: Option<T>) -> Result<T, Faults> {
        match value {
            Some(value) if self.faults.is_empty() => Ok(value),
            _ => {
                let order = std::mem::take(&mut self.order);
                self.faults.sort_by_cached_key(|f| place(&order, f));
                Err(Faults { list: self.faults })
            }
        }
    }

    fn section<'a>(
        &mut self,
        title: &str,
        lines: impl Iterator<Item = (&'a str, &'a str)>,
    ) -> Section {
        self.order.push((title.to_string(), String::new()));
        let mut pairs: Vec<(String, String)> = vec![];
        for (key, value) in lines {
            let (key, value) = (key.trim(), uncommented(value));
            self.order.push((title.to_string(), key.to_string()));
            match pairs.iter().any(|(k, _)| k == key) {
                true => self.fault(title, key, &format!("a second value: {value}"), "one value"),
                false => pairs.push((key.to_string(), value.to_string())),
            }
        }
        Section { title: title.to_string(), pairs }
    }

    /// Blanks lines that are no INI. The library would join such a line with the next one
    /// and report only one of them, or none.
    fn plain_lines(&mut self, text: &str) -> String {
        let mut section = String::new();
        let mut plain = String::with_capacity(text.len());
        for (i, line) in text.trim_start_matches('\u{feff}').lines().enumerate() {
            let bare = uncommented(line.trim());
            let key = bare.split_once('=').map(|(key, _)| key.trim());
            match key {
                _ if bare.is_empty() || bare.starts_with([';', '#']) => {}
                _ if bare.starts_with('[') && bare.ends_with(']') => {
                    section = words(&bare[1..bare.len() - 1]);
                    plain.push_str(bare);
                }
                Some(key) if !key.is_empty() && !key.contains(':') && !key.starts_with('[') => {
                    plain.push_str(bare)
                }
                _ => {
                    let found = format!("line {}: {bare}", i + 1);
                    self.fault(&section, "", &found, "[section], key = value, ; comment");
                }
            }
            plain.push('\n');
        }
        plain
    }
}

/// Cuts off a comment: a semicolon at the start or after white space.
fn uncommented(value: &str) -> &str {
    let cut = value
        .char_indices()
        .find(|&(i, c)| c == ';' && value[..i].chars().next_back().is_none_or(char::is_whitespace));
    match cut {
        Some((i, _)) => value[..i].trim(),
        None => value.trim(),
    }
}

/// The words with one space between, so that two spellings of a title are the same title.
fn words(text: &str) -> String {
    text.split_whitespace().collect::<Vec<_>>().join(" ")
}

fn place(order: &[(String, String)], fault: &Fault) -> usize {
    let exact = order.iter().position(|(s, k)| *s == fault.section && *k == fault.key);
    let within = || order.iter().rposition(|(s, _)| *s == fault.section);
    exact.or_else(within).unwrap_or(0)
}
