//! Compares two texts of the fleet settings, for operators.

use serde::Serialize;

use crate::reader::{Reader, Section};

/// One setting that differs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Difference {
    /// Title of the section.
    pub section: String,
    /// Key; empty when a section without keys is added or removed.
    pub key: String,
    /// Value in the old text.
    pub before: Option<String>,
    /// Value in the new text.
    pub after: Option<String>,
}

/// Returns the settings that differ, in the order of the old text and then of the new one.
/// Texts with faults are compared as far as they can be read.
///
/// ```
/// let found = config::fleet::diff("[defaults]\ndrain = 30s\n", "[defaults]\ndrain = 1m\n");
/// assert_eq!(found[0].before.as_deref(), Some("30s"));
/// assert_eq!(found[0].after.as_deref(), Some("1m"));
/// ```
pub fn diff(old_text: &str, new_text: &str) -> Vec<Difference> {
    let (old, new) = (entries(old_text), entries(new_text));
    let mut found = vec![];
    for (section, key, before) in &old {
        let after = value(&new, section, key);
        if after != Some(before) {
            found.push(difference(section, key, Some(before), after));
        }
    }
    for (section, key, after) in &new {
        if value(&old, section, key).is_none() {
            found.push(difference(section, key, None, Some(after)));
        }
    }
    found
}

/// Section, key and value.
type Entry = (String, String, String);

fn entries(text: &str) -> Vec<Entry> {
    let (_, sections) = Reader::parse("", text);
    sections.into_iter().flat_map(section_entries).collect()
}

fn section_entries(section: Section) -> Vec<Entry> {
    let title = section.title;
    match section.pairs.is_empty() {
        true => vec![(title, String::new(), String::new())],
        false => section.pairs.into_iter().map(|(k, v)| (title.clone(), k, v)).collect(),
    }
}

fn value<'a>(entries: &'a [Entry], section: &str, key: &str) -> Option<&'a String> {
    entries.iter().find(|(s, k, _)| s == section && k == key).map(|(_, _, value)| value)
}

fn difference(
    section: &str,
    key: &str,
    before: Option<&String>,
    after: Option<&String>,
) -> Difference {
    let (section, key) = (section.to_string(), key.to_string());
    Difference { section, key, before: before.cloned(), after: after.cloned() }
}
