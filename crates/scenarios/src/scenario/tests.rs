//! Rejected scenario files: parse errors give the line, and validation errors name the problem.

use super::Scenario;

#[test]
fn errors_give_the_line_or_the_invalid_target() {
    let error = Scenario::parse("name = \"x\"\nsecond = 3\n").unwrap_err().to_string();
    assert!(error.contains("line 2") && error.contains("seconds"), "{error}");
    let text = "name = \"x\"\nseconds = 3\n[[plan]]\nname = \"p\"\ncustomers = 1\nrate = 1\nburst = 2\nasks = 1\n\
        [[class]]\nname = \"c\"\naim_ms = 1\npatience_ms = 2\n[[fault]]\nat = 1\nkind = \"drain\"\nwhich = [99]\n";
    assert!(Scenario::parse(text).unwrap_err().to_string().contains("does not have"));
}
