//! Output of commands other than their log.

use crate::error::CommandError;
use std::io::Write;

/// Prints one line of JSON to standard output, for the program that started this process.
pub fn print_json(value: &serde_json::Value) {
    let mut out = std::io::stdout().lock();
    let _ = writeln!(out, "{value}").and_then(|()| out.flush()); // The reader may have closed the pipe.
}

/// Prints the reason for a command's failure to standard error.
pub fn report_error(error: &CommandError) {
    let listing = if let CommandError::Config { listing, .. } = error { listing } else { "" };
    weirusher_log::write_line(&format!("{listing}weirusher: {error}\n"));
}
