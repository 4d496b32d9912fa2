//! Adapter to the operators' simulator. Reads batches of messages from standard input, one line of JSON each,
//! passes them to the policy, and writes the resulting actions to standard output, one line of JSON
//! per batch. It makes no decisions of its own.
#![forbid(unsafe_code)]

mod decode;
mod encode;
mod error;
mod fields;
mod host;

use error::AdapterError;
use host::Host;
use std::io::{BufRead, Write};
use std::process::ExitCode;

fn serve() -> Result<(), AdapterError> {
    let (stdin, mut stdout) = (std::io::stdin().lock(), std::io::stdout().lock());
    let mut host = Host::default();
    for line in stdin.lines() {
        let line = line.map_err(AdapterError::Input)?;
        if line.trim().is_empty() {
            continue;
        }
        let reply = host.handle_batch(&line)?;
        writeln!(stdout, "{reply}").and_then(|()| stdout.flush()).map_err(AdapterError::Output)?;
    }
    Ok(())
}

fn main() -> ExitCode {
    match serve() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("weirusher-benchlink: {error}");
            ExitCode::FAILURE
        }
    }
}
