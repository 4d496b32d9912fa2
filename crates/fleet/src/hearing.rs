//! What a member tells of the fleet: to decisions, and to whoever operates it.

use crate::Millis;
use crate::table::State;
use serde::{Deserialize, Serialize};

/// How much of the fleet one hears, and is heard by. Directions differ where a link is broken one way.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Hearing {
    /// Members besides this one.
    pub others: u16,
    /// Those that are alive, as far as is known by any way.
    pub alive: u16,
    /// Of those whose beats should come here directly, how many there are, and how many came in time.
    pub expected: u16,
    /// See `expected`.
    pub heard: u16,
    /// Watchers that this one sends beats to.
    pub watchers: u16,
    /// Those that said within the time of silence that they hear this one.
    pub confirmed: u16,
    /// Those that say that they do not, by whatever way.
    pub denied: u16,
    /// Milliseconds since the youngest datagram from anybody; `None` since the start, or since this one was away.
    pub age_ms: Option<Millis>,
    /// This process was replaced by another under its number, and takes no part.
    pub superseded: bool,
}

impl Hearing {
    /// Share of the others that can be counted on to hear and be heard, from 0 to 1: at most the share of the direct
    /// links that work, in the worse direction. What nobody confirms does not count: a broken way back looks like that,
    /// and so does a broken way there.
    pub fn share(&self) -> f64 {
        if self.others == 0 || self.superseded {
            return 0.0;
        }
        let part = |of: u16, all: u16| f64::from(of) / f64::from(all.max(1));
        let links = part(self.heard, self.expected).min(part(self.confirmed, self.watchers));
        part(self.alive, self.others).min(links)
    }
}

/// What was sent, received, refused and put off, since the start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Counters {
    /// Datagrams sent.
    pub sent: u64,
    /// Their bytes.
    pub sent_bytes: u64,
    /// Datagrams taken in.
    pub received: u64,
    /// Bytes of all that came.
    pub received_bytes: u64,
    /// Longer than a datagram may be.
    pub oversized: u64,
    /// From an address that is no member's, or another's than it names.
    pub misplaced: u64,
    /// More than a member may send.
    pub flooded: u64,
    /// The code does not match: another key, or forged.
    pub forged: u64,
    /// The code matches, the content is not of the form or outside the fleet.
    pub malformed: u64,
    /// From a member that was told another fleet size.
    pub other_size: u64,
    /// For another member.
    pub misdelivered: u64,
    /// Seen before, or too old to tell.
    pub replayed: u64,
    /// Of an incarnation that is over.
    pub stale: u64,
    /// Sent before the sender knew this incarnation: answered, not believed.
    pub unproven: u64,
    /// Pieces or digests of shared state that were not of its form.
    pub unreadable: u64,
    /// Datagrams that were due and put off, as the budget of bytes was used up.
    pub put_off: u64,
    /// Rumours dropped as there were too many.
    pub rumors_dropped: u64,
    /// Times that this process stood still for so long that it began anew.
    pub away: u64,
}

/// All that a member believes, as few enough bytes to be asked for all the time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Brief {
    /// Its number.
    pub number: u16,
    /// Its incarnation.
    pub incarnation: u64,
    /// How much it hears.
    pub hearing: Hearing,
    /// Members that are alive, suspected or not.
    pub alive: Vec<u16>,
    /// Members that are gone.
    pub gone: Vec<u16>,
}

/// What is believed of one member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberView {
    /// Its number.
    pub number: u16,
    /// What is believed.
    pub state: State,
    /// Milliseconds since that began.
    pub for_ms: Millis,
    /// Its incarnation, 0 for none.
    pub incarnation: u64,
    /// Milliseconds since its newest beat was sent, as far as is known.
    pub age_ms: Option<Millis>,
    /// Milliseconds since its last datagram came here.
    pub direct_ms: Option<Millis>,
    /// It says that it does not hear this one.
    pub denies: bool,
}

/// All that a member believes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// Its number.
    pub number: u16,
    /// Its incarnation.
    pub incarnation: u64,
    /// How much it hears.
    pub hearing: Hearing,
    /// The others.
    pub members: Vec<MemberView>,
    /// What was sent, received, refused.
    pub counters: Counters,
    /// Rumours that wait to be told.
    pub rumors: usize,
}
