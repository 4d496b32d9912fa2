//! Standard error streams that block or fail when a process writes its log to them.

use nix::fcntl::{FcntlArg, fcntl};
use std::fs::OpenOptions;
use std::io::PipeReader;
use std::process::Stdio;

/// Capacity of the smallest pipe that Linux provides, in bytes.
const MIN_PIPE_BYTES: i32 = 4096;

/// A pipe that is full after a few lines, unless the test reads from the reader.
pub fn unread_pipe() -> (PipeReader, Stdio) {
    let (reader, writer) = std::io::pipe().unwrap();
    fcntl(&writer, FcntlArg::F_SETPIPE_SZ(MIN_PIPE_BYTES)).unwrap();
    (reader, writer.into())
}

/// A pipe whose reading end is closed: writes fail with EPIPE.
pub fn broken_pipe() -> Stdio {
    let (reader, writer) = std::io::pipe().unwrap();
    drop(reader);
    writer.into()
}

/// A device without space: writes fail with ENOSPC.
pub fn full_device() -> Stdio {
    OpenOptions::new().write(true).open("/dev/full").unwrap().into()
}
