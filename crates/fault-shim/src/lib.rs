//! Fault injection for a process under test. A preloaded library (`shim/`) shifts the process's wall clock and makes
//! selected system calls fail, transfer fewer bytes than requested, take longer, or kill the process.
//!
//! [`FaultShim`] controls the library in one process through a control file, which the library maps into memory and
//! reads in each call that it intercepts. A fault is active from [`FaultShim::inject`] to [`FaultShim::end`], which
//! returns the number of calls that the fault changed.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

#[allow(missing_docs)]
#[path = "../shim/layout.rs"]
mod layout;

use layout::{CLOCK_OFFSET, FILE_BYTES, HEADER_WORDS, RULE_WORDS, RULES, action, call, word};
pub use nix::errno::Errno;
use std::ffi::OsString;
use std::io;
use std::os::unix::fs::FileExt;
use std::sync::Mutex;
use std::time::Duration;

/// Path of the preloaded library, set by the build script that builds it.
const LIBRARY: &str = env!("FAULT_SHIM_LIBRARY");

/// A kind of calls that a fault applies to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Call {
    /// `accept4`.
    Accept,
    /// `socket`.
    Socket,
    /// `connect`; for [`Action::Translate`] also the result of a non-blocking `connect` that `SO_ERROR` reports.
    Connect,
    /// `epoll_wait`.
    EpollWait,
    /// Reads from sockets, except those with `MSG_PEEK`.
    Receive,
    /// Writes to sockets.
    Send,
    /// Writes to files.
    WriteFile,
    /// `fsync` and `fdatasync`.
    Sync,
    /// `rename` and `renameat`.
    Rename,
    /// Opening a file for writing.
    Open,
    /// Reading the monotonic clock.
    Clock,
}

impl Call {
    fn code(self) -> u64 {
        match self {
            Self::Accept => call::ACCEPT,
            Self::Socket => call::SOCKET,
            Self::Connect => call::CONNECT,
            Self::EpollWait => call::WAIT,
            Self::Receive => call::RECEIVE,
            Self::Send => call::SEND,
            Self::WriteFile => call::WRITE_FILE,
            Self::Sync => call::SYNC,
            Self::Rename => call::RENAME,
            Self::Open => call::OPEN,
            Self::Clock => call::CLOCK,
        }
    }
}

/// What a fault does to a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Fails with this errno; the system call is not made.
    Fail(Errno),
    /// Makes the system call; where that fails with the first errno, reports the second instead.
    Translate(Errno, Errno),
    /// Transfers at most this many bytes.
    Short(usize),
    /// Sleeps for this time before the system call; for a clock reading, after it.
    Delay(Duration),
    /// Kills the process before the call.
    Kill,
    /// Kills the process after half of the bytes of the call were transferred.
    KillHalfway,
    /// Kills the process after the call.
    KillAfter,
}

impl Action {
    /// Encodes the action for the control file.
    fn encode(self) -> EncodedAction {
        let (code, value, replaced_errno) = match self {
            Self::Fail(errno) => (action::FAIL, errno as i64, 0),
            Self::Translate(from, to) => (action::TRANSLATE, to as i64, from as i64),
            Self::Short(bytes) => (action::SHORT, bytes as i64, 0),
            Self::Delay(time) => (action::DELAY, time.as_nanos() as i64, 0),
            Self::Kill => (action::KILL, 0, 0),
            Self::KillHalfway => (action::KILL_HALFWAY, 0, 0),
            Self::KillAfter => (action::KILL_AFTER, 0, 0),
        };
        EncodedAction { code, value, replaced_errno }
    }
}

/// The words of a rule that encode an action.
struct EncodedAction {
    code: u64,
    value: i64,
    replaced_errno: i64,
}

/// A fault: which calls it applies to, and what it does to them. Without limits it applies to all calls of its kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Fault {
    /// The calls that it applies to.
    pub call: Call,
    /// What it does to them.
    pub action: Action,
    /// Number of calls that it applies to; `None`: all calls while it is active.
    pub times: Option<u32>,
    /// Number of matching calls that pass unchanged before it applies.
    pub skip: u32,
    /// Restricts the fault to sockets whose peer has this port.
    pub peer_port: Option<u16>,
    /// Restricts the fault to sockets with this local port.
    pub local_port: Option<u16>,
}

impl Fault {
    /// Creates a fault that applies to all calls of a kind, on every socket.
    pub fn new(call: Call, action: Action) -> Self {
        Self { call, action, times: None, skip: 0, peer_port: None, local_port: None }
    }

    /// Limits the fault to this number of calls.
    #[must_use]
    pub fn times(self, times: u32) -> Self {
        Self { times: Some(times), ..self }
    }

    /// Lets this number of matching calls pass unchanged first.
    #[must_use]
    pub fn skip(self, skip: u32) -> Self {
        Self { skip, ..self }
    }

    /// Restricts the fault to sockets whose peer has this port.
    #[must_use]
    pub fn with_peer_port(self, port: u16) -> Self {
        Self { peer_port: Some(port), ..self }
    }

    /// Restricts the fault to sockets with this local port, such as connections accepted by the listener on it.
    #[must_use]
    pub fn with_local_port(self, port: u16) -> Self {
        Self { local_port: Some(port), ..self }
    }
}

/// Handle of an active fault of a [`FaultShim`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FaultHandle(usize);

/// Offset of a word in the control file, in bytes.
fn byte_offset(word: usize) -> u64 {
    (size_of::<i64>() * word) as u64
}

/// Index of the first word of a rule.
fn rule_start(rule: usize) -> usize {
    HEADER_WORDS + rule * RULE_WORDS
}

/// Controls the faults of one process.
#[derive(Debug)]
pub struct FaultShim {
    file: tempfile::NamedTempFile,
    /// Whether each rule of the control file holds an active fault.
    rules_in_use: Mutex<[bool; RULES]>,
    /// Number of calls changed by faults that have ended.
    changed_by_ended_faults: Mutex<u64>,
}

impl FaultShim {
    /// Creates a control file without faults, for a process that is started with [`FaultShim::environment`].
    ///
    /// # Errors
    /// If the control file cannot be created.
    pub fn new() -> io::Result<Self> {
        let file = tempfile::NamedTempFile::new()?;
        file.as_file().set_len(FILE_BYTES as u64)?;
        Ok(Self { file, rules_in_use: Mutex::default(), changed_by_ended_faults: Mutex::default() })
    }

    /// Returns the environment variables that preload the library into a process and name its control file.
    pub fn environment(&self) -> [(&'static str, OsString); 2] {
        [("LD_PRELOAD", LIBRARY.into()), ("FAULT_SHIM_CONTROL", self.file.path().as_os_str().to_owned())]
    }

    /// Shifts the process's wall clock by an offset in nanoseconds; the monotonic clock does not change.
    pub fn set_clock_offset(&self, nanos: i64) {
        self.write(CLOCK_OFFSET, nanos);
    }

    /// Activates a fault.
    ///
    /// # Panics
    /// If all rules of the control file are in use, or if the control file cannot be written.
    pub fn inject(&self, fault: Fault) -> FaultHandle {
        let mut rules_in_use =
            self.rules_in_use.lock().expect("another thread panicked while it held the lock");
        let rule = rules_in_use.iter().position(|in_use| !in_use).expect("all rules are in use");
        rules_in_use[rule] = true;
        let base = rule_start(rule);
        let EncodedAction { code, value, replaced_errno } = fault.action.encode();
        let port = |port: Option<u16>| i64::from(port.unwrap_or(0));
        // `ACTIVE` is written last, so that the library never applies a rule that is only partly written.
        for (word, value) in [
            (word::CALL, fault.call.code() as i64),
            (word::ACTION, code as i64),
            (word::VALUE, value),
            (word::REPLACED_ERRNO, replaced_errno),
            (word::TIMES, fault.times.map_or(-1, i64::from)),
            (word::SKIP, i64::from(fault.skip)),
            (word::PEER_PORT, port(fault.peer_port)),
            (word::LOCAL_PORT, port(fault.local_port)),
            (word::INJECTED, 0),
            (word::ACTIVE, 1),
        ] {
            self.write(base + word, value);
        }
        FaultHandle(rule)
    }

    /// Returns the number of calls that an active fault has changed.
    pub fn changed_calls(&self, fault: FaultHandle) -> u64 {
        self.read(rule_start(fault.0) + word::INJECTED)
    }

    /// Returns the number of calls that all faults have changed, including those that have ended.
    ///
    /// # Panics
    /// If the control file cannot be read, or if another thread has panicked while it held a lock.
    pub fn total_changed_calls(&self) -> u64 {
        let rules_in_use = *self.rules_in_use.lock().expect("another thread panicked while it held the lock");
        let active: u64 = (0..RULES)
            .filter(|rule| rules_in_use[*rule])
            .map(|rule| self.changed_calls(FaultHandle(rule)))
            .sum();
        active + *self.changed_by_ended_faults.lock().expect("another thread panicked while it held the lock")
    }

    /// Ends a fault, and returns the number of calls that it changed.
    ///
    /// # Panics
    /// If the control file cannot be read or written, or if another thread has panicked while it held a lock.
    pub fn end(&self, fault: FaultHandle) -> u64 {
        self.write(rule_start(fault.0) + word::ACTIVE, 0);
        let changed = self.changed_calls(fault);
        *self.changed_by_ended_faults.lock().expect("another thread panicked while it held the lock") +=
            changed;
        self.rules_in_use.lock().expect("another thread panicked while it held the lock")[fault.0] = false;
        changed
    }

    fn write(&self, word: usize, value: i64) {
        self.file
            .as_file()
            .write_all_at(&value.to_ne_bytes(), byte_offset(word))
            .expect("cannot write the control file");
    }

    fn read(&self, word: usize) -> u64 {
        let mut bytes = [0; 8];
        self.file
            .as_file()
            .read_exact_at(&mut bytes, byte_offset(word))
            .expect("cannot read the control file");
        u64::from_ne_bytes(bytes)
    }
}
