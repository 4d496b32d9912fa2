//! The adapter to the operators' simulator: reads batches of messages from standard input, passes them to the
//! decisions, and writes their actions to standard output, one line of JSON each. It decides nothing.
#![forbid(unsafe_code)]

mod decode;
mod encode;
mod error;
mod fields;
mod host;

use error::LinkError;
use host::Host;
use std::io::{BufRead, Write};
use std::process::ExitCode;

fn serve() -> Result<(), LinkError> {
    let (stdin, mut stdout) = (std::io::stdin().lock(), std::io::stdout().lock());
    let mut host = Host::default();
    for line in stdin.lines() {
        let line = line.map_err(LinkError::Input)?;
        if line.trim().is_empty() {
            continue;
        }
        let reply = host.handle_batch(&line)?;
        writeln!(stdout, "{reply}").and_then(|()| stdout.flush()).map_err(LinkError::Output)?;
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
