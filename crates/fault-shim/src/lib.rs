//! Faults for a process under test. A preloaded library (`shim/`) steps the process's wall clock and makes chosen system
//! calls fail, transfer few bytes, take long, or kill the process.
//!
//! [`FaultShim`] controls the library in one process through a file, which the library maps. It reads the file in
//! each call: a fault is active from [`FaultShim::inject`] to [`FaultShim::end`], which also returns how many calls it changed.
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

/// The path of the preloaded library, which the build script builds.
const LIBRARY: &str = env!("FAULT_SHIM_LIBRARY");

/// The calls that a fault applies to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Call {
    /// `accept4`.
    Accept,
    /// `socket`.
    Socket,
    /// `connect`, and for [`Action::Translate`] the error that `SO_ERROR` reports later.
    Connect,
    /// `epoll_wait`.
    Wait,
    /// Reads from sockets, without those with `MSG_PEEK`.
    Receive,
    /// Writes to sockets.
    Send,
    /// Writes to files.
    WriteFile,
    /// `fsync` and `fdatasync`.
    Sync,
    /// `rename` and `renameat`.
    Rename,
    /// Opens of files for writing.
    Open,
    /// Readings of the monotonic clock.
    Clock,
}

impl Call {
    fn code(self) -> u64 {
        match self {
            Self::Accept => call::ACCEPT,
            Self::Socket => call::SOCKET,
            Self::Connect => call::CONNECT,
            Self::Wait => call::WAIT,
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
    /// It fails with this errno, and does nothing.
    Fail(Errno),
    /// Where it fails with the first errno, it returns the second.
    Translate(Errno, Errno),
    /// It transfers so many bytes at most.
    Short(usize),
    /// It is delayed; a clock reading, after the clock was read.
    Delay(Duration),
    /// The process is killed before the call.
    Kill,
    /// The process is killed after half of a write.
    KillHalfway,
    /// The process is killed after the call.
    KillAfter,
}

impl Action {
    /// The action as the control file has it.
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

/// The words of a rule for an action.
struct EncodedAction {
    code: u64,
    value: i64,
    replaced_errno: i64,
}

/// A fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Fault {
    /// The calls that it applies to.
    pub call: Call,
    /// What it does to them.
    pub action: Action,
    /// How many calls it applies to; `None`: all while it is active.
    pub times: Option<u32>,
    /// How many calls it skips first.
    pub skip: u32,
    /// Only sockets whose peer has this port.
    pub peer_port: Option<u16>,
    /// Only sockets whose local port is this.
    pub local_port: Option<u16>,
}

impl Fault {
    /// All calls of a kind, on every socket.
    pub fn new(call: Call, action: Action) -> Self {
        Self { call, action, times: None, skip: 0, peer_port: None, local_port: None }
    }

    /// Applies to so many calls only.
    #[must_use]
    pub fn times(self, times: u32) -> Self {
        Self { times: Some(times), ..self }
    }

    /// Skips so many calls first.
    #[must_use]
    pub fn skip(self, skip: u32) -> Self {
        Self { skip, ..self }
    }

    /// Applies only to sockets whose peer has this port.
    #[must_use]
    pub fn to(self, port: u16) -> Self {
        Self { peer_port: Some(port), ..self }
    }

    /// Applies only to sockets whose local port is this: those that a listener there accepted.
    #[must_use]
    pub fn at(self, port: u16) -> Self {
        Self { local_port: Some(port), ..self }
    }
}

/// Identifies an active fault of a [`FaultShim`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Injected(usize);

/// The position of a word in the control file.
fn byte_offset(word: usize) -> u64 {
    (size_of::<i64>() * word) as u64
}

/// The first word of a rule.
fn rule_start(number: usize) -> usize {
    HEADER_WORDS + number * RULE_WORDS
}

/// The faults of one process.
#[derive(Debug)]
pub struct FaultShim {
    file: tempfile::NamedTempFile,
    /// The rules of the file that are in use.
    used: Mutex<[bool; RULES]>,
    /// Calls that faults changed which have ended.
    ended: Mutex<u64>,
}

impl FaultShim {
    /// A control without faults, for a process that is started with [`FaultShim::environment`].
    ///
    /// # Errors
    /// The control file cannot be created.
    pub fn new() -> io::Result<Self> {
        let file = tempfile::NamedTempFile::new()?;
        file.as_file().set_len(FILE_BYTES as u64)?;
        Ok(Self { file, used: Mutex::default(), ended: Mutex::default() })
    }

    /// The environment variables that load the library into a process and name the control file.
    pub fn environment(&self) -> [(&'static str, OsString); 2] {
        [("LD_PRELOAD", LIBRARY.into()), ("FAULT_SHIM_CONTROL", self.file.path().as_os_str().to_owned())]
    }

    /// Sets the offset of the process's wall clock in nanoseconds; its monotonic clock is not changed.
    pub fn set_clock_offset(&self, nanos: i64) {
        self.write(CLOCK_OFFSET, nanos);
    }

    /// Activates a fault.
    ///
    /// # Panics
    /// More faults would be active than the control file has rules.
    pub fn inject(&self, fault: Fault) -> Injected {
        let mut used = self.used.lock().expect("no thread panics while it has the lock");
        let number = used.iter().position(|used| !used).expect("fewer active faults than rules");
        used[number] = true;
        let base = rule_start(number);
        let EncodedAction { code, value, replaced_errno } = fault.action.encode();
        let port = |port: Option<u16>| i64::from(port.unwrap_or(0));
        // The rule is active once its last word is written.
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
        Injected(number)
    }

    /// How many calls an active fault has changed.
    pub fn injected(&self, fault: Injected) -> u64 {
        self.read(rule_start(fault.0) + word::INJECTED)
    }

    /// How many calls all faults have changed, ended ones too.
    ///
    /// # Panics
    /// If another thread has panicked while it held a lock of this.
    pub fn total(&self) -> u64 {
        let used = *self.used.lock().expect("no thread panics while it has the lock");
        let active: u64 =
            (0..RULES).filter(|number| used[*number]).map(|number| self.injected(Injected(number))).sum();
        active + *self.ended.lock().expect("no thread panics while it has the lock")
    }

    /// Ends a fault; returns how many calls it changed.
    ///
    /// # Panics
    /// If another thread has panicked while it held a lock of this.
    pub fn end(&self, fault: Injected) -> u64 {
        self.write(rule_start(fault.0) + word::ACTIVE, 0);
        let changed = self.injected(fault);
        *self.ended.lock().expect("no thread panics while it has the lock") += changed;
        self.used.lock().expect("no thread panics while it has the lock")[fault.0] = false;
        changed
    }

    fn write(&self, word: usize, value: i64) {
        self.file
            .as_file()
            .write_all_at(&value.to_ne_bytes(), byte_offset(word))
            .expect("the control file is writable");
    }

    fn read(&self, word: usize) -> u64 {
        let mut bytes = [0; 8];
        self.file
            .as_file()
            .read_exact_at(&mut bytes, byte_offset(word))
            .expect("the control file is readable");
        u64::from_ne_bytes(bytes)
    }
}
