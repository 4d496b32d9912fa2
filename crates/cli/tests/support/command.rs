//! Runs the `weirusher` program as a process.

use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};

pub const EXE: &str = env!("CARGO_BIN_EXE_weirusher");

/// The root of the repository, which is the working directory of the processes.
pub fn repository_root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Runs a command to completion.
pub fn weirusher(args: &[&str]) -> Output {
    Command::new(EXE).args(args).current_dir(repository_root()).output().expect("the program can be run")
}

/// A process that is killed when it is dropped.
pub struct ChildProcess(pub Child);

impl Drop for ChildProcess {
    fn drop(&mut self) {
        let _ = self.0.kill(); // It may have exited already.
        let _ = self.0.wait();
    }
}

/// Starts a command and returns the line of JSON with its addresses that it prints once it listens. Its standard input
/// is a pipe.
pub fn start_listening(args: &[&str]) -> (ChildProcess, serde_json::Value) {
    let child = Command::new(EXE)
        .args(args)
        .current_dir(repository_root())
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut process = ChildProcess(child);
    let mut line = String::new();
    BufReader::new(process.0.stdout.take().unwrap()).read_line(&mut line).unwrap();
    let listening = serde_json::from_str(&line).unwrap_or_else(|error| panic!("{error}: {line:?}"));
    (process, listening)
}
