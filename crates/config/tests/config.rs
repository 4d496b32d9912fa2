//! A configuration as a whole: what is read, and how problems are reported.

use weirusher_config::{Config, ConfigError};

const GOOD: &str = r#"
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

fn problems(from: &str, to: &str) -> ConfigError {
    assert!(GOOD.contains(from));
    Config::parse(&GOOD.replace(from, to)).expect_err("a broken configuration passes")
}

#[test]
fn a_good_configuration_is_read() {
    let config = Config::parse(GOOD).unwrap();
    assert_eq!((config.settings.instances, config.settings.plans[0].burst), (3, 4.0));
    assert_eq!(config.request_rules.default_plan, Some(0));
    assert!(config.settings.has_counter);
}

#[test]
fn each_problem_has_its_place_and_what_is_meant() {
    for (from, to, line, said) in [
        ("gateways = 3", "gatewys = 3", 6, "`gateways` is meant?"),
        ("burst = 4", "burst = \"four\"", 24, "a number is meant"),
        ("burst = 4", "burst = -4", 24, "cannot be -4"),
        ("number = 0", "number = 3", 4, "below 3"),
        ("ext_authz = \"127.0.0.1:0\"", "ext_authz = \"192.168.0.1:80\"", 9, "only loopback"),
        ("default_plan = \"small\"", "default_plan = \"smal\"", 2, "there is small"),
        ("secret = \"0123456789abcdef0123456789abcdef\"", "secret = \"x\"", 13, "can be guessed"),
        ("aim_ms = 2000", "aim_ms = 2000\npatience_ms = 1", 26, "before the aim"),
        ("rate = 1.0", "rate = 1.0\nceiling_rate = 0.5\nceiling_burst = 9", 21, "below the quota"),
        ("[discovery]\naddress = \"127.0.0.1:7000\"", "", 1, "lacks `[discovery]`"),
    ] {
        let found = problems(from, to);
        let text = found.render("f", &GOOD.replace(from, to));
        assert!(text.contains(said), "{to}: {text}");
        assert!(found.problems().iter().any(|p| p.line == line), "{to}: {found:?}");
    }
}

#[test]
fn all_problems_come_in_one_go() {
    let text = GOOD.replace("burst = 4", "burst = -4").replace("gateways = 3", "gateways = 0\ncolour = 1");
    assert_eq!(Config::parse(&text).unwrap_err().problems().len(), 3);
}
