//! The machine of one member: its process, its clock and its socket.

use fastrand::Rng;
use weirusher_fleet::Millis;

/// Maximum difference of two machines' monotonic clocks at the start, in milliseconds.
const MAX_CLOCK_OFFSET: Millis = 1_000_000;
/// Maximum drift of a machine's clock in parts per million, in either direction.
const MAX_DRIFT_PPM: i64 = 100;
const MILLION: i64 = 1_000_000;
/// Maximum number of datagrams in the receive buffer of a paused process: about as many as fit into the default
/// buffer of the Linux kernel, 208 KiB.
const MAX_SOCKET_DATAGRAMS: usize = 256;

/// The traffic that a member sent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Number of bytes in all datagrams.
    pub bytes: u64,
    /// Number of datagrams.
    pub datagrams: u64,
}

pub(super) struct Host<P> {
    pub process: Option<P>,
    /// Incremented when the process starts, is killed or resumes; earlier timers are dropped.
    pub generation: u32,
    pub paused: bool,
    /// Datagrams that arrived while the process was paused, with their senders.
    pub socket: Vec<(u16, Vec<u8>)>,
    pub traffic: Traffic,
    /// Reading of the machine's monotonic clock at the network's time 0.
    clock_offset: Millis,
    drift_ppm: i64,
}

impl<P> Host<P> {
    pub fn new(rng: &mut Rng) -> Self {
        Self {
            process: None,
            generation: 0,
            paused: false,
            socket: Vec::new(),
            traffic: Traffic::default(),
            clock_offset: rng.u64(0..MAX_CLOCK_OFFSET),
            drift_ppm: rng.i64(-MAX_DRIFT_PPM..=MAX_DRIFT_PPM),
        }
    }

    /// Converts a time of the network to the machine's clock.
    pub fn clock(&self, at: Millis) -> Millis {
        let at = at as i64;
        self.clock_offset + (at + at * self.drift_ppm / MILLION) as u64
    }

    /// The earliest time of the network at which the machine's clock shows `local` or more.
    pub fn network_time(&self, local: Millis) -> Millis {
        let elapsed = local.saturating_sub(self.clock_offset) as i64;
        let mut at = (elapsed - elapsed * self.drift_ppm / MILLION).max(0) as u64;
        while self.clock(at) < local {
            at += 1;
        }
        at
    }

    /// Stores a datagram for a paused process; drops it if the receive buffer is full.
    pub fn buffer_datagram(&mut self, from: u16, bytes: &[u8]) {
        if self.socket.len() < MAX_SOCKET_DATAGRAMS {
            self.socket.push((from, bytes.to_vec()));
        }
    }
}
