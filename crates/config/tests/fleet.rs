//! A separate file with `[fleet]`: the values that are read, and the problems that are reported.

use weirusher_config::FleetConfig;

const VALID: &str = r#"
[fleet]
number = 1
members = ["127.0.0.1:7400", "127.0.0.1:7401", "127.0.0.1:7402"]
key = "0123456789abcdef0123456789abcdef"
"#;

/// Replaces a part of the valid file, and returns the rendered problems.
fn render_problems(from: &str, to: &str) -> String {
    assert!(VALID.contains(from));
    let text = VALID.replace(from, to);
    FleetConfig::parse(&text).expect_err("an invalid file was accepted").render("fleet.toml", &text)
}

/// Without the key `listen`, the member listens at its own address.
#[test]
fn a_valid_file_is_read() {
    let config = FleetConfig::parse(VALID).unwrap();
    assert_eq!((config.settings.instance, config.settings.members.len()), (1, 3));
    assert_eq!(config.listen, config.settings.members[1]);
    let with_listen = VALID.replace("number", "listen = \"127.0.0.2:1\"\nnumber");
    assert_eq!(FleetConfig::parse(&with_listen).unwrap().listen.to_string(), "127.0.0.2:1");
}

#[test]
fn each_problem_has_its_position_and_a_hint() {
    for (from, to, expected) in [
        (
            "127.0.0.1:7401",
            "127.0.0.1:7400",
            "fleet.toml:4:30: member 1 has the address 127.0.0.1:7400 of member 0",
        ),
        (
            "127.0.0.1:7401",
            "10.0.0.1:7401",
            "fleet.toml:4:30: `members` names 10.0.0.1, which is not loopback",
        ),
        ("127.0.0.1:7401", "127.0.0.1:0", "fleet.toml:4:30: member 1 has no port"),
        ("127.0.0.1:7401", "here", "fleet.toml:4:30: `members` is not an address"),
        ("number = 1", "number = 3", "fleet.toml:3:10: `number` in [fleet] is 3, of 3 members"),
        ("number = 1", "number = 0.5", "a whole number below 3"),
        ("number = 1", "", "fleet.toml:2:1: `number` is missing in [fleet]"),
        ("key = \"0123456789abcdef0123456789abcdef\"", "", "`key` is missing in [fleet]"),
        ("0123456789abcdef0123456789abcdef", "short", "fleet.toml:5:7: a key of 5 bytes can be guessed"),
        (", \"127.0.0.1:7401\", \"127.0.0.1:7402\"", "", "a fleet of 1 members"),
        ("members =", "member =", "did you mean `members`?"),
        ("[fleet]", "[flete]", "`[fleet]` is missing in the file"),
    ] {
        let text = render_problems(from, to);
        assert!(text.contains(expected), "{to}: {text}");
    }
}

#[test]
fn all_problems_are_reported_at_once() {
    let text =
        "[fleet]\nnumber = 9\nmembers = [\"127.0.0.1:1\", \"127.0.0.1:1\", 3]\nkey = \"x\"\ncolour = 1\n";
    let found = FleetConfig::parse(text).unwrap_err();
    assert_eq!(found.problems().len(), 5, "{found:?}");
}
