//! The adapter's bad input: a one-line message, a failing exit, no half reply.

use std::io::Write;
use std::process::{Command, Output, Stdio};

fn run(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_weirusher-benchlink"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    child.stdin.take().expect("piped").write_all(input.as_bytes()).expect("it reads");
    child.wait_with_output().expect("it ends")
}

fn fails(messages: &str, wanted: &str) {
    let input =
        format!("{{\"Moment\":1.0,\"n\":7,\"groups\":[{{\"GatekeeperId\":0,\"msgs\":[{messages}]}}]}}\n");
    let output = run(&input);
    let said = String::from_utf8(output.stderr).expect("text");
    assert!(!output.status.success() && output.stdout.is_empty(), "{said}");
    assert!(said.lines().count() == 1 && said.contains("batch 7") && said.contains(wanted), "{said}");
}

#[test]
fn an_empty_batch_is_answered_and_the_end_of_input_is_clean() {
    let output = run("{\"Moment\":8.4,\"n\":1,\"groups\":[]}\n");
    assert!(output.status.success());
    let reply: serde_json::Value = serde_json::from_slice(&output.stdout).expect("one reply");
    assert_eq!(reply, serde_json::json!({"n": 1, "groups": []}));
}

#[test]
fn what_is_not_json_ends_the_run() {
    let output = run("nonsense\n");
    assert!(!output.status.success() && output.stdout.is_empty());
    assert_eq!(String::from_utf8(output.stderr).expect("text").lines().count(), 1);
}

#[test]
fn bad_events_name_the_batch_and_the_field() {
    let start = r#"["NEW_INSTANCE",5,{"Unknown":1}]"#;
    fails(r#"["ELAPSED",1]"#, "unknown instance");
    fails(r#"["NEW_INSTANCE",5]"#, "Options");
    fails(r#"["NEW_INSTANCE",5,{"PeersTotal":0}]"#, "no gateways");
    fails(&format!("{start},[\"NONESUCH\"]"), "NONESUCH");
    fails(&format!("{start},[\"ELAPSED\"]"), "ELAPSED.Name");
    fails(&format!("{start},[\"LEFT\",5]"), "LEFT.Job");
    fails(&format!("{start},[\"PEERS_KNOWN\",1,3,\"F\"]"), "PEERS_KNOWN.Page");
}
