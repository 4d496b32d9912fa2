//! Builds the preloaded library with `rustc` in this package's build directory, so that it is not an artefact of the
//! workspace.

use std::path::PathBuf;
use std::process::Command;

fn main() {
    let out =
        PathBuf::from(std::env::var_os("OUT_DIR").expect("cargo sets OUT_DIR")).join("libfault_shim.so");
    let rustc = std::env::var_os("RUSTC").expect("cargo sets RUSTC");
    println!("cargo::rerun-if-changed=shim");
    println!("cargo::rustc-env=FAULT_SHIM_LIBRARY={}", out.display());
    let options = ["--edition=2024", "--crate-type=cdylib", "--crate-name=fault_shim", "-Copt-level=2"];
    let built = Command::new(rustc)
        .args(options)
        .args(["-Cpanic=abort", "-Dwarnings", "-o"])
        .arg(&out)
        .arg("shim/lib.rs")
        .status()
        .expect("rustc can be started");
    assert!(built.success(), "rustc failed to build the preloaded library");
}
