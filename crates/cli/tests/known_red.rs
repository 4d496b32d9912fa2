//! How CI reads the list of tests that fail for a known fault.

use std::path::Path;
use std::process::Command;

/// The names in a list; `None` where the list is rejected.
fn read(list: Option<&str>) -> Option<String> {
    let dir = tempfile::tempdir().unwrap();
    let file = dir.path().join("KNOWN-RED.txt");
    if let Some(list) = list {
        std::fs::write(&file, list).unwrap();
    }
    let script = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../.ci/known-red");
    let read = r#"set -euo pipefail; source "$0"; read_known_red "$1"; echo "${known_red[*]}""#;
    let output = Command::new("bash").args(["-c", read]).arg(script).arg(file).output().unwrap();
    output.status.success().then(|| String::from_utf8(output.stdout).unwrap().trim().to_string())
}

#[test]
fn a_known_red_line_has_a_test_a_cause_and_an_issue_and_there_are_three_at_most() {
    assert_eq!(read(None).as_deref(), Some(""));
    assert_eq!(read(Some("")).as_deref(), Some(""));
    assert_eq!(read(Some("a::b | it's slow: \"why\" | 38")).as_deref(), Some("a::b"));
    assert_eq!(read(Some("a|x|1\nb|x|2\nc|x|3\n")).as_deref(), Some("a b c"));
    for bad in ["a|x|1\nb|x|1\nc|x|1\nd|x|1\n", "a||1\n", "a|x|soon\n", "a|x\n", "|x|1\n", "a|x|1\n\n"] {
        assert_eq!(read(Some(bad)), None, "{bad:?}");
    }
}
