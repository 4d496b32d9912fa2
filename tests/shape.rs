//! The operators' requirements on the source of the policy: small modules, each with a head comment, all
//! listed under `policy` in the deploy file.

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;

/// Maximum number of non-blank lines in a module.
const MAX_LINES: usize = 200;
/// Maximum number of characters in a line.
const MAX_CHARACTERS: usize = 110;

/// Paths of the modules of the policy, relative to the root of the repository.
fn modules() -> BTreeSet<String> {
    let files = fs::read_dir(Path::new(env!("CARGO_MANIFEST_DIR")).join("src/policy")).unwrap();
    files.map(|file| format!("src/policy/{}", file.unwrap().file_name().to_string_lossy())).collect()
}

#[test]
fn the_policy_is_in_small_modules() {
    for module in modules() {
        let text = fs::read_to_string(Path::new(env!("CARGO_MANIFEST_DIR")).join(&module)).unwrap();
        assert!(text.lines().filter(|line| !line.trim().is_empty()).count() <= MAX_LINES, "{module}");
        assert!(text.lines().all(|line| line.chars().count() <= MAX_CHARACTERS), "{module}");
        assert!(text.starts_with("//! "), "{module} has a head comment");
    }
    let root = include_str!("../src/policy/mod.rs");
    assert!(root.lines().next().is_some_and(|line| line.contains("src/interface.rs")));
}

#[test]
fn all_policy_modules_are_listed_in_the_deploy_file() {
    let deploy = include_str!("../deploy/balancer.toml");
    let line = deploy.lines().find(|line| line.starts_with("policy = ")).unwrap();
    let listed: BTreeSet<String> = line.split('"').skip(1).step_by(2).map(String::from).collect();
    let expected: BTreeSet<String> = modules().into_iter().chain(["src/validation.rs".to_string()]).collect();
    assert_eq!(listed, expected);
}
