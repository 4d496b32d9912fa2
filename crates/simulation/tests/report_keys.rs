//! The JSON keys of a report are stable, because scripts read the output of `weirusher simulate --json`.

use serde_json::Value;
use weirusher_simulation::run_seeds;

fn keys(value: &Value) -> Vec<&str> {
    value.as_object().expect("an object").keys().map(String::as_str).collect()
}

#[test]
fn a_report_keeps_its_keys() {
    let report = serde_json::to_value(run_seeds(0, 1, 1, |_| {})).unwrap();
    let mut expected = ["timelines", "broken", "past_aim", "within", "hot", "worst"];
    expected.sort_unstable();
    let mut found = keys(&report);
    found.sort_unstable();
    assert_eq!(found, expected);
    assert!(
        report["within"].as_array().is_some_and(|pair| pair.len() == 2),
        "requests due and served: {report}"
    );
    let mut expected = ["seed", "gateways", "beyond", "allowed", "bursts", "ceiling_over"];
    expected.sort_unstable();
    let mut found = keys(&report["worst"][0]);
    found.sort_unstable();
    assert_eq!(found, expected);
}
