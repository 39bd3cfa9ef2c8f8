//! Parsing of scripts.

use rstest::rstest;
use scenario::{script, sweep};

struct Bad {
    text: &'static str,
    line: usize,
    word: &'static str,
}

/// Without an error that names the line, a script with a mistake would play some of its lines
/// before it ends, and the author would have to guess which line is wrong.
#[rstest]
#[case::unknown_verb(Bad { text: "sleep 1\n\nslep 10", line: 3, word: "slep" })]
#[case::missing_word(Bad { text: "# first\nkill", line: 2, word: "VM" })]
#[case::not_a_number(Bad { text: "sleep soon", line: 1, word: "soon" })]
#[case::span_backwards(Bad { text: "drafts --count 1 --tokens 9-3", line: 1, word: "backwards" })]
#[case::open_quote(Bad { text: "sleep 1\nkill 'gpu", line: 2, word: "quote" })]
#[case::unknown_option(Bad { text: "log --outrage on", line: 1, word: "--outrage" })]
#[case::unknown_statement(Bad { text: "expect luck", line: 1, word: "luck" })]
fn a_fault_names_file_and_line(#[case] bad: Bad) {
    let faults = script::parse("a.scn", bad.text).unwrap_err();
    let text = faults[0].to_string();
    assert!(text.starts_with(&format!("a.scn:{}: ", bad.line)), "{text}");
    assert!(text.contains(bad.word), "{text}");
}

#[test]
fn all_faults_of_a_script_are_returned() {
    assert_eq!(script::parse("a.scn", "one\nsleep 1\ntwo").unwrap_err().len(), 2);
}

#[test]
fn every_script_of_the_project_parses() {
    let dir = concat!(env!("CARGO_MANIFEST_DIR"), "/../../scenarios");
    let mut paths = vec![std::path::PathBuf::from(dir)];
    while let Some(path) = paths.pop() {
        if path.is_dir() {
            paths.extend(std::fs::read_dir(&path).unwrap().map(|entry| entry.unwrap().path()));
            continue;
        }
        let text = std::fs::read_to_string(&path).unwrap();
        let lines = script::parse(&path.display().to_string(), &text).unwrap();
        assert!(!lines.is_empty(), "{} has no lines", path.display());
    }
}

#[test]
fn every_seed_of_a_sweep_parses() {
    for seed in 0..300 {
        for text in [sweep::script(seed), sweep::not_run(seed)] {
            assert!(script::parse("sweep", &text).is_ok(), "{text}");
        }
    }
}
