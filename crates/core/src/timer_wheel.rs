//! A hierarchical timing wheel: timers with a resolution of one millisecond that are set and cancelled in
//! constant time.
//!
//! Four levels of 64 slots cover 4.6 hours. A later timer waits in the last slot and is inserted again when
//! the wheel reaches that slot. Timers of the same tick expire in the order in which they were set. Times are
//! in seconds.

/// Bits of a tick that select a slot of one level.
const SLOT_BITS: u32 = 6;
/// Number of slots in a level.
const SLOTS: usize = 1 << SLOT_BITS;
const LEVELS: usize = 4;
/// Seconds in a tick.
const TICK_SECONDS: f64 = 0.001;
/// Tolerance for rounding errors in the conversion of a time to ticks. A timer is never early by more than a
/// nanosecond.
const ROUNDING_TICKS: f64 = 1e-6;
/// Marks the end of a slot's list of timers.
const NONE: u32 = u32::MAX;

/// Identifies a timer. The key of a timer that has expired or was cancelled does not identify any other
/// timer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct TimerKey {
    index: u32,
    generation: u32,
}

#[derive(Debug)]
struct Entry<T> {
    expiry_tick: u64,
    /// Number of the timer in the order in which timers were set.
    sequence: u64,
    generation: u32,
    slot: u32,
    /// Neighbours in the slot's list.
    previous: u32,
    next: u32,
    /// `None`: the entry is free.
    value: Option<T>,
}

#[derive(Debug)]
struct ExpiredTimer<T> {
    expiry_tick: u64,
    sequence: u64,
    value: T,
}

/// Any number of timers, each with a value that is returned when it expires.
#[derive(Debug)]
pub struct TimerWheel<T> {
    /// The time of tick 0, in seconds.
    origin: f64,
    current_tick: u64,
    entries: Vec<Entry<T>>,
    free_entries: Vec<u32>,
    /// The first timer of each slot, level by level.
    slot_heads: Vec<u32>,
    /// By level, a bit for each slot with a timer in it.
    occupied: [u64; LEVELS],
    len: usize,
    last_sequence: u64,
}

impl<T> TimerWheel<T> {
    /// Creates an empty wheel whose time begins at `now`.
    pub fn new(now: f64) -> Self {
        Self {
            origin: now,
            current_tick: 0,
            entries: Vec::new(),
            free_entries: Vec::new(),
            slot_heads: vec![NONE; SLOTS * LEVELS],
            occupied: [0; LEVELS],
            len: 0,
            last_sequence: 0,
        }
    }

    /// Number of timers that are set.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no timer is set.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Sets a timer for `at`. One in the past, or not a number, expires at the next [`TimerWheel::expire`].
    pub fn set(&mut self, at: f64, value: T) -> TimerKey {
        let ticks = ((at - self.origin) / TICK_SECONDS - ROUNDING_TICKS).ceil().max(0.0) as u64;
        self.last_sequence += 1;
        let entry = Entry {
            expiry_tick: ticks.max(self.current_tick),
            sequence: self.last_sequence,
            generation: 0,
            slot: 0,
            previous: NONE,
            next: NONE,
            value: Some(value),
        };
        let index = match self.free_entries.pop() {
            Some(index) => {
                let generation = self.entries[index as usize].generation;
                self.entries[index as usize] = Entry { generation, ..entry };
                index
            }
            None => {
                self.entries.push(entry);
                (self.entries.len() - 1) as u32
            }
        };
        self.len += 1;
        self.link(index);
        TimerKey { index, generation: self.entries[index as usize].generation }
    }

    /// Cancels a timer and returns its value; `None` if it has expired or was cancelled before.
    pub fn cancel(&mut self, key: TimerKey) -> Option<T> {
        let entry = self.entries.get(key.index as usize)?;
        if entry.generation != key.generation || entry.value.is_none() {
            return None;
        }
        self.unlink(key.index);
        self.release(key.index)
    }

    /// When [`TimerWheel::expire`] should be called next: no later than the first timer expires. It may be
    /// earlier, when timers have to move from a coarse level to a finer one.
    pub fn next_expiry(&self) -> Option<f64> {
        (self.len > 0).then(|| self.origin + self.next_tick() as f64 * TICK_SECONDS)
    }

    /// Advances the time to `now` and returns the values of the expired timers, in order.
    pub fn expire(&mut self, now: f64) -> Vec<T> {
        let target = ((now - self.origin) / TICK_SECONDS).floor().max(0.0) as u64;
        let mut expired = Vec::new();
        while self.len > 0 {
            let next = self.next_tick();
            if next > target {
                break;
            }
            self.current_tick = next;
            self.cascade(&mut expired);
        }
        self.current_tick = self.current_tick.max(target);
        expired.sort_by_key(|timer| (timer.expiry_tick, timer.sequence));
        expired.into_iter().map(|timer| timer.value).collect()
    }

    /// Empties the slots of the current tick: timers expire, or move to a finer level.
    fn cascade(&mut self, expired: &mut Vec<ExpiredTimer<T>>) {
        for level in (0..LEVELS).rev() {
            let slot = level * SLOTS + slot_in_level(level, self.current_tick);
            while self.slot_heads[slot] != NONE {
                let index = self.slot_heads[slot];
                let Entry { expiry_tick, sequence, .. } = self.entries[index as usize];
                self.unlink(index);
                if expiry_tick <= self.current_tick {
                    let value = self.release(index);
                    expired.extend(value.map(|value| ExpiredTimer { expiry_tick, sequence, value }));
                } else {
                    self.link(index);
                }
            }
        }
    }

    /// The first tick at which a slot has to be emptied.
    fn next_tick(&self) -> u64 {
        let mut next = u64::MAX;
        for (level, bits) in self.occupied.iter().enumerate().filter(|(_, bits)| **bits != 0) {
            let shift = SLOT_BITS * level as u32;
            let current = slot_in_level(level, self.current_tick);
            let slots_ahead = u64::from(bits.rotate_right(current as u32).trailing_zeros());
            let slot_start = ((self.current_tick >> shift) + slots_ahead) << shift;
            next = next.min(slot_start.max(self.current_tick));
        }
        next
    }

    fn link(&mut self, index: u32) {
        let expiry_tick = self.entries[index as usize].expiry_tick;
        // A timer beyond the wheel's range waits in the last slot, never in the current one.
        let range = (SLOTS as u64 - 1) << (SLOT_BITS * (LEVELS as u32 - 1));
        let tick = expiry_tick.min(self.current_tick + range);
        // The level at which the current tick and the timer's first differ.
        let difference = (tick ^ self.current_tick).max(1);
        let level = ((63 - difference.leading_zeros()) / SLOT_BITS).min(LEVELS as u32 - 1) as usize;
        let slot_of_level = slot_in_level(level, tick);
        let slot = level * SLOTS + slot_of_level;
        let head = self.slot_heads[slot];
        let entry = &mut self.entries[index as usize];
        (entry.slot, entry.previous, entry.next) = (slot as u32, NONE, head);
        if head != NONE {
            self.entries[head as usize].previous = index;
        }
        self.slot_heads[slot] = index;
        self.occupied[level] |= 1 << slot_of_level;
    }

    fn unlink(&mut self, index: u32) {
        let Entry { slot, previous, next, .. } = self.entries[index as usize];
        if next != NONE {
            self.entries[next as usize].previous = previous;
        }
        if previous != NONE {
            self.entries[previous as usize].next = next;
        } else {
            self.slot_heads[slot as usize] = next;
            if next == NONE {
                self.occupied[slot as usize / SLOTS] &= !(1 << (slot as usize % SLOTS));
            }
        }
    }

    fn release(&mut self, index: u32) -> Option<T> {
        let entry = &mut self.entries[index as usize];
        entry.generation = entry.generation.wrapping_add(1);
        self.free_entries.push(index);
        self.len -= 1;
        entry.value.take()
    }
}

/// The slot of a level that a tick belongs to.
fn slot_in_level(level: usize, tick: u64) -> usize {
    (tick >> (SLOT_BITS * level as u32)) as usize % SLOTS
}

#[cfg(test)]
mod tests;
