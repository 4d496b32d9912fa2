//! The network between gateways: a UDP proxy that forwards every datagram from one gateway to another, and can lose,
//! duplicate, delay, block, replay or forge datagrams.
//!
//! The proxy has a socket for each gateway, whose address the other gateways have in their member lists. A gateway's
//! datagrams are forwarded from its socket, so that the others see them come from the address that they know.

use crate::capture::{CaptureEvent, DatagramFate};
use crate::lock::lock;
use crate::recorder::Recorder;
use fastrand::Rng;
use serde::Deserialize;
use std::collections::{HashMap, HashSet};
use std::io;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::task::JoinSet;

/// Size of the largest datagram that is forwarded.
const MAX_DATAGRAM_BYTES: usize = 2048;
/// Size of a forged datagram.
const FORGED_BYTES: usize = 80;

/// What happens to datagrams. Each probability applies to each datagram independently.
#[derive(Debug, Clone, PartialEq)]
pub struct NetworkConditions {
    /// Probability that a datagram is lost.
    pub loss_probability: f64,
    /// Probability that a datagram is delivered twice.
    pub duplicate_probability: f64,
    /// Delay in seconds, uniformly distributed over this range.
    pub delay_seconds: RangeInclusive<f64>,
    /// Probability that a datagram is delivered again after `replay_after_seconds`.
    pub replay_probability: f64,
    /// Seconds after which a datagram is replayed.
    pub replay_after_seconds: f64,
}

impl Default for NetworkConditions {
    fn default() -> Self {
        Self {
            loss_probability: 0.0,
            duplicate_probability: 0.0,
            delay_seconds: 0.0..=0.0,
            replay_probability: 0.0,
            replay_after_seconds: 0.0,
        }
    }
}

/// The datagrams that a flood consists of.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Flood {
    /// Random bytes.
    Forged,
    /// Copies of the last authentic datagram.
    Replayed,
    /// The first half of the last authentic datagram.
    #[serde(rename = "cut")]
    Truncated,
    /// The last authentic datagram, padded beyond the largest size allowed.
    Oversized,
}

/// A copy of a datagram that is to be delivered.
struct DatagramCopy {
    delay_seconds: f64,
    fate: DatagramFate,
}

struct State {
    conditions: NetworkConditions,
    /// The group of each gateway. Gateways in different groups cannot reach each other.
    groups: Vec<usize>,
    /// Blocked directions, as pairs of sender and recipient.
    blocked: HashSet<(usize, usize)>,
    /// The gateway that sends from each address.
    gateways: HashMap<SocketAddr, usize>,
    /// The addresses of each gateway: two if a duplicate process runs under its number.
    addresses: Vec<Vec<SocketAddr>>,
    /// The last authentic datagram from each sender to each recipient, of which floods are made.
    last_datagrams: HashMap<(usize, usize), Vec<u8>>,
    rng: Rng,
}

struct Shared {
    /// The socket of each gateway.
    sockets: Vec<UdpSocket>,
    state: Mutex<State>,
    recorder: Recorder,
}

/// A network between gateways. Dropping it stops all forwarding.
pub struct PeerNetwork {
    /// The address of each gateway in the others' member lists.
    pub addresses: Vec<SocketAddr>,
    shared: Arc<Shared>,
    tasks: JoinSet<()>,
}

impl PeerNetwork {
    /// Starts a network for `size` gateways. `seed` seeds the random choices of what happens to datagrams.
    ///
    /// # Errors
    /// If a socket cannot be bound.
    pub async fn start(size: usize, seed: u64, recorder: Recorder) -> io::Result<Self> {
        let (mut sockets, mut addresses) = (Vec::with_capacity(size), Vec::with_capacity(size));
        for _ in 0..size {
            let socket = UdpSocket::bind("127.0.0.1:0").await?;
            addresses.push(socket.local_addr()?);
            sockets.push(socket);
        }
        let state = State {
            conditions: NetworkConditions::default(),
            groups: vec![0; size],
            blocked: HashSet::new(),
            gateways: HashMap::new(),
            addresses: vec![Vec::new(); size],
            last_datagrams: HashMap::new(),
            rng: Rng::with_seed(seed),
        };
        let shared = Arc::new(Shared { sockets, state: Mutex::new(state), recorder });
        let mut tasks = JoinSet::new();
        for to in 0..size {
            tasks.spawn(forward_datagrams(shared.clone(), to));
        }
        Ok(Self { addresses, shared, tasks })
    }

    fn change(&self, change: impl FnOnce(&mut State)) {
        change(&mut lock(&self.shared.state));
    }

    /// Sets the addresses of a gateway. Each datagram to the gateway is delivered to all of them.
    pub fn set_addresses(&self, gateway: usize, addresses: Vec<SocketAddr>) {
        self.change(|state| {
            state.gateways.retain(|_, known| *known != gateway);
            state.gateways.extend(addresses.iter().map(|address| (*address, gateway)));
            state.addresses[gateway] = addresses;
        });
    }

    /// Changes what happens to datagrams from now on.
    pub fn set_conditions(&self, conditions: NetworkConditions) {
        self.change(|state| state.conditions = conditions);
    }

    /// Partitions the network; `groups` holds the group of each gateway.
    pub fn partition(&self, groups: Vec<usize>) {
        self.change(|state| state.groups = groups);
    }

    /// Blocks or unblocks one direction between two gateways.
    pub fn set_blocked(&self, from: usize, to: usize, blocked: bool) {
        self.change(|state| {
            if blocked {
                state.blocked.insert((from, to));
            } else {
                state.blocked.remove(&(from, to));
            }
        });
    }

    /// Floods gateway `to` for `seconds` with `per_second` datagrams per second that seem to come from gateway `from`.
    pub fn flood(&mut self, from: usize, to: usize, per_second: f64, seconds: f64, flood: Flood) {
        let shared = self.shared.clone();
        self.tasks.spawn(async move {
            let end = tokio::time::Instant::now() + Duration::from_secs_f64(seconds);
            let mut interval = tokio::time::interval(Duration::from_secs_f64(1.0 / per_second));
            let fate = match flood {
                Flood::Replayed => DatagramFate::Replayed,
                Flood::Forged | Flood::Truncated | Flood::Oversized => DatagramFate::Forged,
            };
            while tokio::time::Instant::now() < end {
                interval.tick().await;
                let bytes = shared.flood_datagram(from, to, flood);
                shared.deliver(from, to, &bytes, fate).await;
            }
        });
    }
}

impl Shared {
    fn flood_datagram(&self, from: usize, to: usize, flood: Flood) -> Vec<u8> {
        let mut state = lock(&self.state);
        let mut bytes = state.last_datagrams.get(&(from, to)).cloned().unwrap_or_default();
        match flood {
            Flood::Forged => bytes = (0..FORGED_BYTES).map(|_| state.rng.u8(..)).collect(),
            Flood::Replayed => {}
            Flood::Truncated => bytes.truncate(bytes.len() / 2),
            Flood::Oversized => bytes.resize(MAX_DATAGRAM_BYTES, 0),
        }
        bytes
    }

    async fn deliver(&self, from: usize, to: usize, bytes: &[u8], fate: DatagramFate) {
        let addresses = lock(&self.state).addresses[to].clone();
        self.recorder.record(CaptureEvent::Datagram { from, to, bytes: bytes.len(), fate });
        for address in addresses {
            let _ = self.sockets[from].send_to(bytes, address).await; // It fails if the process there has ended.
        }
    }

    /// Draws what happens to a datagram: its fate, and the copies of it to deliver.
    fn draw_fate(&self, from: usize, to: usize, bytes: &[u8]) -> (DatagramFate, Vec<DatagramCopy>) {
        let state = &mut *lock(&self.state);
        state.last_datagrams.insert((from, to), bytes.to_vec());
        if state.groups[from] != state.groups[to] || state.blocked.contains(&(from, to)) {
            return (DatagramFate::Partitioned, Vec::new());
        }
        let (conditions, rng) = (&state.conditions, &mut state.rng);
        if rng.f64() < conditions.loss_probability {
            return (DatagramFate::Lost, Vec::new());
        }
        let (min_delay, max_delay) = (conditions.delay_seconds.start(), conditions.delay_seconds.end());
        let mut delay = || min_delay + rng.f64() * (max_delay - min_delay);
        let (first_delay, duplicate_delay) = (delay(), delay());
        let duplicated = rng.f64() < conditions.duplicate_probability;
        let replayed = rng.f64() < conditions.replay_probability;
        let copy = |delay_seconds, fate| DatagramCopy { delay_seconds, fate };
        let mut copies = vec![copy(first_delay, DatagramFate::Delivered)];
        if duplicated {
            copies.push(copy(duplicate_delay, DatagramFate::Duplicated));
        }
        if replayed {
            copies.push(copy(conditions.replay_after_seconds, DatagramFate::Replayed));
        }
        (DatagramFate::Delivered, copies)
    }
}

/// Forwards the datagrams that arrive at the socket of gateway `to`.
async fn forward_datagrams(shared: Arc<Shared>, to: usize) {
    let mut buffer = [0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((size, source)) = shared.sockets[to].recv_from(&mut buffer).await else { continue };
        let from = lock(&shared.state).gateways.get(&source).copied();
        let Some(from) = from.filter(|from| *from != to) else { continue };
        let bytes = &buffer[..size];
        let (fate, copies) = shared.draw_fate(from, to, bytes);
        if fate != DatagramFate::Delivered {
            shared.recorder.record(CaptureEvent::Datagram { from, to, bytes: size, fate });
        }
        for DatagramCopy { delay_seconds, fate } in copies {
            if delay_seconds > 0.0 {
                let (shared, bytes) = (shared.clone(), bytes.to_vec());
                tokio::spawn(async move {
                    tokio::time::sleep(Duration::from_secs_f64(delay_seconds)).await;
                    shared.deliver(from, to, &bytes, fate).await;
                });
            } else {
                shared.deliver(from, to, bytes, fate).await;
            }
        }
    }
}
