// The layout of the control file: a clock offset, then rules, all in 64-bit words. The preloaded library and the crate
// both include this file.

/// The number of rules in a control file.
pub const RULES: usize = 32;
/// The length of a rule in words.
pub const RULE_WORDS: usize = 10;
/// The word with the offset of the wall clock, in nanoseconds.
pub const CLOCK_OFFSET: usize = 0;
/// The number of words before the first rule.
pub const HEADER_WORDS: usize = 1;
/// The length of a control file in bytes.
pub const FILE_BYTES: usize = 8 * (HEADER_WORDS + RULES * RULE_WORDS);

/// The words of a rule.
pub mod word {
    /// 1 while the rule is active; written last.
    pub const ACTIVE: usize = 0;
    /// The calls that it applies to, one of [`super::call`].
    pub const CALL: usize = 1;
    /// What happens to them, one of [`super::action`].
    pub const ACTION: usize = 2;
    /// The action's parameter: an errno, a number of bytes, or nanoseconds.
    pub const VALUE: usize = 3;
    /// For a translation, the errno that is replaced.
    pub const REPLACED_ERRNO: usize = 4;
    /// How many more calls it applies to; negative: no limit.
    pub const TIMES: usize = 5;
    /// How many more calls it skips first.
    pub const SKIP: usize = 6;
    /// Only sockets whose peer has this port; 0: all.
    pub const PEER_PORT: usize = 7;
    /// Only sockets whose own port is this; 0: all.
    pub const LOCAL_PORT: usize = 8;
    /// How many calls it has changed.
    pub const INJECTED: usize = 9;
}

/// Kinds of calls.
pub mod call {
    pub const ACCEPT: u64 = 1;
    pub const SOCKET: u64 = 2;
    pub const CONNECT: u64 = 3;
    /// `epoll_wait`.
    pub const WAIT: u64 = 4;
    /// Reads from sockets.
    pub const RECEIVE: u64 = 5;
    /// Writes to sockets.
    pub const SEND: u64 = 6;
    /// Writes to files.
    pub const WRITE_FILE: u64 = 7;
    /// `fsync` and `fdatasync`.
    pub const SYNC: u64 = 8;
    pub const RENAME: u64 = 9;
    /// Opens of files for writing.
    pub const OPEN: u64 = 10;
    /// Readings of the monotonic clock.
    pub const CLOCK: u64 = 11;
}

/// What happens to a call.
pub mod action {
    /// It fails with an errno, and does nothing.
    pub const FAIL: u64 = 1;
    /// Where it fails with one errno, it returns another.
    pub const TRANSLATE: u64 = 2;
    /// It transfers so many bytes at most.
    pub const SHORT: u64 = 3;
    /// It is delayed; a clock reading, after the clock was read.
    pub const DELAY: u64 = 4;
    /// The process is killed before the call.
    pub const KILL: u64 = 5;
    /// The process is killed after half of a write.
    pub const KILL_HALFWAY: u64 = 6;
    /// The process is killed after the call.
    pub const KILL_AFTER: u64 = 7;
}
