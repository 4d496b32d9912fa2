//! The `weirusher` command as a process.

use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};

pub const EXE: &str = env!("CARGO_BIN_EXE_weirusher");

/// The repository's root, which paths on the command line are relative to.
pub fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Runs a command to its end.
pub fn weirusher(args: &[&str]) -> Output {
    Command::new(EXE).args(args).current_dir(root()).output().expect("the program runs")
}

/// A process that is killed when the test ends.
pub struct Running(pub Child);

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.0.kill(); // It may have ended already.
        let _ = self.0.wait();
    }
}

/// Starts a command, and waits for the line of JSON that it prints when it listens. Its standard input is a pipe.
pub fn start_listening(args: &[&str]) -> (Running, serde_json::Value) {
    let child = Command::new(EXE)
        .args(args)
        .current_dir(root())
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut running = Running(child);
    let mut line = String::new();
    BufReader::new(running.0.stdout.take().unwrap()).read_line(&mut line).unwrap();
    let listening = serde_json::from_str(&line).unwrap_or_else(|error| panic!("{error}: {line:?}"));
    (running, listening)
}
