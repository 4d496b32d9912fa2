//! The machine that one member runs on: its process, its clock and its socket.

use fastrand::Rng;
use weirusher_fleet::Millis;

/// Most milliseconds that the monotonic clocks of two machines are apart at the start.
const MAX_CLOCK_OFFSET: Millis = 1_000_000;
/// Most parts in a million by which a machine's clock runs fast or slow.
const MAX_DRIFT_PPM: i64 = 100;
const MILLION: i64 = 1_000_000;
/// Datagrams that the socket of a paused process holds: about those in a kernel's default of 208 KiB.
const MAX_SOCKET_DATAGRAMS: usize = 256;

/// What a member sent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Bytes.
    pub bytes: u64,
    /// Datagrams.
    pub datagrams: u64,
}

pub(super) struct Host<P> {
    pub process: Option<P>,
    /// Counts starts, ends and resumptions: a timer from before is dropped.
    pub generation: u32,
    pub paused: bool,
    /// What arrived while the process was paused, with the senders.
    pub socket: Vec<(u16, Vec<u8>)>,
    pub traffic: Traffic,
    /// The machine's monotonic clock at the network's time 0.
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

    /// The machine's clock at a time of the network.
    pub fn clock(&self, at: Millis) -> Millis {
        let at = at as i64;
        self.clock_offset + (at + at * self.drift_ppm / MILLION) as u64
    }

    /// The earliest time of the network at which the machine's clock shows at least `local`.
    pub fn network_time(&self, local: Millis) -> Millis {
        let elapsed = local.saturating_sub(self.clock_offset) as i64;
        let mut at = (elapsed - elapsed * self.drift_ppm / MILLION).max(0) as u64;
        while self.clock(at) < local {
            at += 1;
        }
        at
    }

    /// Keeps a datagram for a paused process while the socket has space.
    pub fn buffer_datagram(&mut self, from: u16, bytes: &[u8]) {
        if self.socket.len() < MAX_SOCKET_DATAGRAMS {
            self.socket.push((from, bytes.to_vec()));
        }
    }
}
