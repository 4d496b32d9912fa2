//! Preloads the library into system programs (`date` and `dd`), and checks its clock offset and its faults.

use std::process::Command;
use weirusher_fault_shim::{Action, Call, Errno, Fault, FaultShim};

fn run_with_shim(shim: &FaultShim, program: &str, arguments: &[&str]) -> std::process::Output {
    Command::new(program).args(arguments).envs(shim.environment()).output().unwrap()
}

#[test]
fn the_clock_offset_shifts_the_wall_clock() {
    let shim = FaultShim::new().unwrap();
    let seconds = || -> i64 {
        String::from_utf8(run_with_shim(&shim, "date", &["+%s"]).stdout).unwrap().trim().parse().unwrap()
    };
    let before = seconds();
    shim.set_clock_offset(-3600 * 1_000_000_000);
    assert!((before - 3600..before - 3500).contains(&seconds()));
    shim.set_clock_offset(0);
    assert!((before..before + 100).contains(&seconds()));
}

#[test]
fn a_fault_applies_to_the_given_number_of_calls_and_counts_them() {
    let (shim, dir) = (FaultShim::new().unwrap(), tempfile::tempdir().unwrap());
    let file = dir.path().join("copy");
    let copy = |shim: &FaultShim| {
        run_with_shim(shim, "dd", &["if=/dev/zero", &format!("of={}", file.display()), "bs=8", "count=2"])
    };
    assert!(copy(&shim).status.success());
    let disk_full = shim.inject(Fault::new(Call::WriteFile, Action::Fail(Errno::ENOSPC)).times(1).skip(1));
    let output = copy(&shim);
    assert!(!output.status.success(), "{output:?}");
    assert!(String::from_utf8_lossy(&output.stderr).contains("No space left"), "{output:?}");
    assert_eq!((shim.changed_calls(disk_full), std::fs::metadata(&file).unwrap().len()), (1, 8));
    assert_eq!(shim.end(disk_full), 1);
    let killed = shim.inject(Fault::new(Call::WriteFile, Action::KillHalfway).skip(1));
    assert!(copy(&shim).status.code().is_none(), "killed by a signal");
    assert_eq!((shim.total_changed_calls(), std::fs::metadata(&file).unwrap().len()), (2, 12));
    shim.end(killed);
    assert!(copy(&shim).status.success());
}
