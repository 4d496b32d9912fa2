//! The script with which CI reads KNOWN-RED.txt, the list of tests that fail because of a known fault.

use std::path::Path;
use std::process::Command;

/// The names of the tests in a list, separated by blanks; `None` if the script rejects the list.
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

/// Each line has a test, a cause and the number of an issue. At most three lines are allowed.
#[test]
fn invalid_lists_are_rejected() {
    assert_eq!(read(None).as_deref(), Some(""));
    assert_eq!(read(Some("")).as_deref(), Some(""));
    assert_eq!(read(Some("a::b | it's slow: \"why\" | 38")).as_deref(), Some("a::b"));
    assert_eq!(read(Some("a|x|1\nb|x|2\nc|x|3\n")).as_deref(), Some("a b c"));
    for bad in ["a|x|1\nb|x|1\nc|x|1\nd|x|1\n", "a||1\n", "a|x|soon\n", "a|x\n", "|x|1\n", "a|x|1\n\n"] {
        assert_eq!(read(Some(bad)), None, "{bad:?}");
    }
}
