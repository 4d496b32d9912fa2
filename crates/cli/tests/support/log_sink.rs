//! Sinks for a process's log that do not take its lines.

use nix::fcntl::{FcntlArg, fcntl};
use std::fs::OpenOptions;
use std::io::PipeReader;
use std::process::Stdio;

/// Bytes of the smallest pipe.
const PIPE_BYTES: i32 = 4096;

/// A pipe that is full after some lines. Nobody reads it as long as the reader is not used.
pub fn unread_pipe() -> (PipeReader, Stdio) {
    let (reader, writer) = std::io::pipe().unwrap();
    fcntl(&writer, FcntlArg::F_SETPIPE_SZ(PIPE_BYTES)).unwrap();
    (reader, writer.into())
}

/// A pipe whose reader has gone.
pub fn broken_pipe() -> Stdio {
    let (reader, writer) = std::io::pipe().unwrap();
    drop(reader);
    writer.into()
}

/// A device without space.
pub fn full_device() -> Stdio {
    OpenOptions::new().write(true).open("/dev/full").unwrap().into()
}
