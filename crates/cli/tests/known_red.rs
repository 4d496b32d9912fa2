//! The script with which CI reads KNOWN-RED.txt, the list of tests and scripts that fail because of a known fault.

use std::path::Path;
use std::process::Command;

/// Runs `commands` after the functions of the script were read, in a directory with the list and an executable file
/// `review/1/run.sh`. Returns what they print; `None` if they fail.
fn run(list: Option<&str>, commands: &str) -> Option<String> {
    let dir = tempfile::tempdir().unwrap();
    if let Some(list) = list {
        std::fs::write(dir.path().join("KNOWN-RED.txt"), list).unwrap();
    }
    std::fs::create_dir_all(dir.path().join("review/1")).unwrap();
    std::fs::copy("/bin/sh", dir.path().join("review/1/run.sh")).unwrap();
    std::fs::write(dir.path().join("review/1/play.py"), "").unwrap();
    let script = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../.ci/known-red");
    let commands = format!(r#"set -euo pipefail; source "$0"; read_known_red KNOWN-RED.txt; {commands}"#);
    let output =
        Command::new("bash").args(["-c", &commands]).arg(script).current_dir(dir.path()).output().unwrap();
    output.status.success().then(|| String::from_utf8(output.stdout).unwrap().trim().to_string())
}

/// The names of the tests in a list, separated by blanks; `None` if the script rejects the list.
fn read(list: Option<&str>) -> Option<String> {
    run(list, r#"echo "${known_red_tests[*]}""#)
}

/// Each line has a test, a cause and the number of an issue.
#[test]
fn invalid_lists_are_rejected() {
    assert_eq!(read(None).as_deref(), Some(""));
    assert_eq!(read(Some("")).as_deref(), Some(""));
    assert_eq!(read(Some("a::b | it's slow: \"why\" | 38")).as_deref(), Some("a::b"));
    assert_eq!(read(Some("a|x|1\nb|x|2\nc|x|3\n")).as_deref(), Some("a b c"));
    for bad in [
        "a||1\n",
        "a| |1\n",
        "a|x|soon\n",
        "a|x|\n",
        "a|x\n",
        "|x|1\n",
        " |x|1\n",
        "a|x|1\n\n",
        "a|x|y|1\n",
        "a|x|1\na|y|2\n",
    ] {
        assert_eq!(read(Some(bad)), None, "{bad:?}");
    }
}

/// Guards against a script that is taken for the name of a test, which no test has, or is run.
#[test]
fn scripts_are_listed_apart_and_have_to_exist() {
    let both = "a|x|1\nreview/1/run.sh|y|2\n";
    assert_eq!(read(Some(both)).as_deref(), Some("a"));
    assert_eq!(run(Some(both), r#"echo "${known_red_scripts[*]}""#).as_deref(), Some("review/1/run.sh"));
    assert!(run(Some(both), "check_known_red_scripts .").is_some());
    for bad in ["review/2/run.sh|y|2\n", "review/1|y|2\n", "review/1/play.py|y|2\n"] {
        assert_eq!(run(Some(bad), "check_known_red_scripts ."), None, "{bad}");
    }
}

/// Guards against a list that becomes a hiding place: it has no largest number of lines, but each new one is shown.
#[test]
fn lines_that_the_base_did_not_have_are_printed_as_new() {
    let list = "a|x|1\nb::c | y | 2\nd|z|3\nreview/1/run.sh|z|4\n";
    let printed = |base: &str| run(Some(list), &format!("print_known_red <(printf '{base}')")).unwrap();
    let lines: Vec<String> =
        printed("b::c|other cause|2\\nd |z|3\\na::x|x|1\\n").lines().map(String::from).collect();
    let expected = [
        "known red, NEW: a|x|1",
        "known red: b::c | y | 2",
        "known red: d|z|3",
        "known red, NEW: review/1/run.sh|z|4",
    ];
    assert_eq!(lines, expected);
    assert_eq!(printed("").lines().filter(|line| line.starts_with("known red, NEW: ")).count(), 4);
}
