//! `hyssopctl check`.

mod scratch;

use rstest::rstest;
use scratch::Scratch;

const PROCESS: &str = "[process]\nvm = entry-1\n";

struct Case {
    name: &'static str,
    text: &'static str,
    args: &'static [&'static str],
    code: i32,
    expected: &'static [&'static str],
}

#[rstest]
#[case(Case {
    name: "check-good",
    text: "[defaults]\ndrain = 30s\n",
    args: &["check", "f.ini"],
    code: 0,
    expected: &["1 checked, no faults"],
})]
#[case(Case {
    name: "check-all",
    text: "[defaults]\ndrain = 30\nnew = 1\n[what]\n",
    args: &["check", "f.ini"],
    code: 1,
    expected: &["f.ini: [defaults] drain: found '30'", "[defaults] new", "[what]"],
})]
#[case(Case {
    name: "check-json",
    text: "[defaults]\ndrain = 30\n",
    args: &["check", "f.ini", "--json"],
    code: 1,
    expected: &["\"key\": \"drain\"", "\"found\": \"30\""],
})]
#[case(Case {
    name: "check-process",
    text: PROCESS,
    args: &["check", "--process", "f.ini"],
    code: 1,
    expected: &["[tls]", "[platform]", "listen"],
})]
#[case(Case {
    name: "check-none",
    text: "",
    args: &["check", "other.ini"],
    code: 1,
    expected: &["other.ini", "a readable file"],
})]
#[tokio::test]
async fn check(#[case] case: Case) {
    let scratch = Scratch::new(case.name);
    scratch.write("f.ini", case.text);
    let run = scratch.run(case.args).await;
    assert_eq!(run.code, case.code, "{run:?}");
    for words in case.expected {
        assert!(run.out.contains(words), "{words}: {run:?}");
    }
}

#[rstest]
#[case(&["check"])]
#[case(&["chekc", "f.ini"])]
#[case(&["show"])]
#[case(&["status"])]
#[case(&["publish", "f.ini"])]
#[tokio::test]
async fn wrong_usage_has_its_own_code(#[case] args: &[&str]) {
    let run = Scratch::new(&format!("usage-{}", args.concat())).run(args).await;
    assert_eq!(run.code, 2, "{run:?}");
}
