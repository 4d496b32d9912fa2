//! Complete configurations: the values that are read, and the problems that are reported.

use weirusher_config::{Config, ConfigError};

const VALID: &str = r#"
default_plan = "small"

[instance]
number = 0
gateways = 3

[listen]
ext_authz = "127.0.0.1:0"

[[tickets.keys]]
id = 1
secret = "0123456789abcdef0123456789abcdef"

[counter]
address = "127.0.0.1:6380"

[discovery]
address = "127.0.0.1:7000"

[[plan]]
name = "small"
rate = 1.0
burst = 4

[[class]]
name = "check"
aim_ms = 2000
"#;

/// Replaces a part of the valid configuration, and returns the resulting problems.
fn problems(from: &str, to: &str) -> ConfigError {
    assert!(VALID.contains(from));
    Config::parse(&VALID.replace(from, to)).expect_err("an invalid configuration was accepted")
}

#[test]
fn a_valid_configuration_is_read() {
    let config = Config::parse(VALID).unwrap();
    assert_eq!((config.settings.instances, config.settings.plans[0].burst), (3, 4.0));
    assert_eq!(config.request_rules.default_plan, Some(0));
    assert!(config.settings.has_counter);
}

#[test]
fn each_problem_has_its_line_and_a_hint() {
    for (from, to, line, expected) in [
        ("gateways = 3", "gatewys = 3", 6, "did you mean `gateways`?"),
        ("burst = 4", "burst = \"four\"", 24, "expected a number"),
        ("burst = 4", "burst = -4", 24, "cannot be -4"),
        ("number = 0", "number = 3", 4, "below 3"),
        ("ext_authz = \"127.0.0.1:0\"", "ext_authz = \"192.168.0.1:80\"", 9, "only loopback"),
        ("default_plan = \"small\"", "default_plan = \"smal\"", 2, "known names: small"),
        ("secret = \"0123456789abcdef0123456789abcdef\"", "secret = \"x\"", 13, "can be guessed"),
        ("aim_ms = 2000", "aim_ms = 2000\npatience_ms = 1", 26, "`patience_ms` is less than `aim_ms`"),
        ("rate = 1.0", "rate = 1.0\nceiling_rate = 0.5\nceiling_burst = 9", 21, "below the quota"),
        ("[discovery]\naddress = \"127.0.0.1:7000\"", "", 1, "`[discovery]` is missing in "),
    ] {
        let found = problems(from, to);
        let text = found.render("f", &VALID.replace(from, to));
        assert!(text.contains(expected), "{to}: {text}");
        assert!(found.problems().iter().any(|p| p.line == line), "{to}: {found:?}");
    }
}

#[test]
fn all_problems_are_reported_at_once() {
    let text = VALID.replace("burst = 4", "burst = -4").replace("gateways = 3", "gateways = 0\ncolour = 1");
    assert_eq!(Config::parse(&text).unwrap_err().problems().len(), 3);
}
