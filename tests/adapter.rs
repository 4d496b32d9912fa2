//! The simulator adapter on invalid input: it prints a one-line error and no partial reply, and its exit status
//! shows the failure.

use std::io::Write;
use std::process::{Command, Output, Stdio};

fn run(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_weirusher-benchlink"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("cannot start the adapter");
    child.stdin.take().expect("piped").write_all(input.as_bytes()).expect("cannot write to the adapter");
    child.wait_with_output().expect("cannot wait for the adapter")
}

/// Asserts that these messages end the adapter with an error that names the batch and contains `expected`.
fn assert_error(messages: &str, expected: &str) {
    let input =
        format!("{{\"Moment\":1.0,\"n\":7,\"groups\":[{{\"GatekeeperId\":0,\"msgs\":[{messages}]}}]}}\n");
    let output = run(&input);
    let error = String::from_utf8(output.stderr).expect("text");
    assert!(!output.status.success() && output.stdout.is_empty(), "{error}");
    assert!(error.lines().count() == 1 && error.contains("batch 7") && error.contains(expected), "{error}");
}

#[test]
fn an_empty_batch_gets_a_reply_and_end_of_input_is_success() {
    let output = run("{\"Moment\":8.4,\"n\":1,\"groups\":[]}\n");
    assert!(output.status.success());
    let reply: serde_json::Value = serde_json::from_slice(&output.stdout).expect("one reply");
    assert_eq!(reply, serde_json::json!({"n": 1, "groups": []}));
}

#[test]
fn a_line_that_is_not_json_ends_the_adapter() {
    let output = run("nonsense\n");
    assert!(!output.status.success() && output.stdout.is_empty());
    assert_eq!(String::from_utf8(output.stderr).expect("text").lines().count(), 1);
}

#[test]
fn an_error_names_the_batch_and_the_field() {
    let start = r#"["NEW_INSTANCE",5,{"Unknown":1}]"#;
    assert_error(r#"["ELAPSED",1]"#, "unknown instance");
    assert_error(r#"["NEW_INSTANCE",5]"#, "Options");
    assert_error(r#"["NEW_INSTANCE",5,{"PeersTotal":0}]"#, "number of gateways is 0");
    assert_error(&format!("{start},[\"NONESUCH\"]"), "NONESUCH");
    assert_error(&format!("{start},[\"ELAPSED\"]"), "ELAPSED.Name");
    assert_error(&format!("{start},[\"LEFT\",5]"), "LEFT.Job");
    assert_error(&format!("{start},[\"PEERS_KNOWN\",1,3,\"F\"]"), "PEERS_KNOWN.Page");
}
