// Layout of the control file: the clock offset, then the rules, all in 64-bit words of native byte order. Both the
// preloaded library and the crate that controls it include this file.

/// Number of rules in a control file.
pub const RULES: usize = 32;
/// Length of a rule in words.
pub const RULE_WORDS: usize = 10;
/// Index of the word that holds the offset of the wall clock, in nanoseconds.
pub const CLOCK_OFFSET: usize = 0;
/// Number of words before the first rule.
pub const HEADER_WORDS: usize = 1;
/// Length of a control file in bytes.
pub const FILE_BYTES: usize = 8 * (HEADER_WORDS + RULES * RULE_WORDS);

/// Indexes of the words of a rule.
pub mod word {
    /// 1 while the rule is active. It is written last, so that an active rule is complete.
    pub const ACTIVE: usize = 0;
    /// Kind of calls that the rule applies to, one of [`super::call`].
    pub const CALL: usize = 1;
    /// What happens to these calls, one of [`super::action`].
    pub const ACTION: usize = 2;
    /// Parameter of the action: an errno, a number of bytes, or a time in nanoseconds.
    pub const VALUE: usize = 3;
    /// For [`super::action::TRANSLATE`], the errno that is replaced.
    pub const REPLACED_ERRNO: usize = 4;
    /// Number of calls that the rule still applies to; negative: no limit.
    pub const TIMES: usize = 5;
    /// Number of calls that still pass unchanged before the rule applies.
    pub const SKIP: usize = 6;
    /// Restricts the rule to sockets whose peer has this port; 0: all sockets.
    pub const PEER_PORT: usize = 7;
    /// Restricts the rule to sockets with this local port; 0: all sockets.
    pub const LOCAL_PORT: usize = 8;
    /// Number of calls that the rule has changed, counted by the library.
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
    /// Opening a file for writing.
    pub const OPEN: u64 = 10;
    /// Reading the monotonic clock.
    pub const CLOCK: u64 = 11;
}

/// What happens to a call.
pub mod action {
    /// Fails with an errno; the system call is not made.
    pub const FAIL: u64 = 1;
    /// Makes the system call; where that fails with one errno, reports another instead.
    pub const TRANSLATE: u64 = 2;
    /// Transfers at most a number of bytes.
    pub const SHORT: u64 = 3;
    /// Sleeps before the system call; for a clock reading, after it.
    pub const DELAY: u64 = 4;
    /// Kills the process before the call.
    pub const KILL: u64 = 5;
    /// Kills the process after half of the bytes of the call were transferred.
    pub const KILL_HALFWAY: u64 = 6;
    /// Kills the process after the call.
    pub const KILL_AFTER: u64 = 7;
}
