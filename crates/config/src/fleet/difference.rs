//! What differs between two texts, for operators.

use serde::Serialize;

use crate::reader::{Reader, Section};

/// One setting that differs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Difference {
    /// Section.
    pub section: String,
    /// Key; empty when the section itself comes or goes.
    pub key: String,
    /// Value in the old text.
    pub before: Option<String>,
    /// Value in the new text.
    pub after: Option<String>,
}

/// Settings that differ, in the order of the old text and then of the new one. Texts with
/// faults are compared as far as they can be read.
///
/// ```
/// let found = config::fleet::diff("[defaults]\ndrain = 30s\n", "[defaults]\ndrain = 1m\n");
/// assert_eq!(found[0].before.as_deref(), Some("30s"));
/// assert_eq!(found[0].after.as_deref(), Some("1m"));
/// ```
pub fn diff(old_text: &str, new_text: &str) -> Vec<Difference> {
    let (old, new) = (lines(old_text), lines(new_text));
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

type Line = (String, String, String);

fn lines(text: &str) -> Vec<Line> {
    let (_, sections) = Reader::open("", text);
    sections.into_iter().flat_map(entries).collect()
}

fn entries(section: Section) -> Vec<Line> {
    let title = section.title;
    match section.pairs.is_empty() {
        true => vec![(title, String::new(), String::new())],
        false => section.pairs.into_iter().map(|(k, v)| (title.clone(), k, v)).collect(),
    }
}

fn value<'a>(lines: &'a [Line], section: &str, key: &str) -> Option<&'a String> {
    lines.iter().find(|(s, k, _)| s == section && k == key).map(|(_, _, value)| value)
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
