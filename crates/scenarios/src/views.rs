//! The auditor's part that judges what gatekeepers state of each other, against what the rig did to them.

use serde::Serialize;
use std::collections::{HashMap, HashSet};
use weirusher_fakes::{Belief, Fate};
use weirusher_fleet::{
    HEARTBEAT_INTERVAL, PAUSE_THRESHOLD, SUSPECT_TIMEOUT, partition_known_within, recovery_known_within,
};

/// Seconds that a busy machine may add to any bound, timers and this rig's own questions together. A process that is
/// later than that itself has been away, and says so.
const BUSY: f64 = PAUSE_THRESHOLD as f64 / 1000.0;
/// Seconds for which nobody may state nothing: what is not stated cannot be judged.
const MUTE: f64 = 3.0;
/// A new process takes a later life of its number for an earlier process's for so long, in seconds.
const STARTING: f64 = 3.0;

/// What is judged of gatekeepers that know of each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Claim {
    /// Who cannot be reached is not stated alive for longer than the bound.
    GoneKnown,
    /// Who can be reached is stated alive, and not gone, after the bound.
    LifeKnown,
    /// Who is reached by nobody, or reaches nobody, counts on nobody.
    HearingTrue,
    /// Who was away takes part anew, under another incarnation, before it states anything.
    BegunAnew,
    /// Of two processes under one number, the later one takes part and the other does not.
    OneOfTwo,
    /// Who runs states what it believes when it is asked.
    States,
}

/// Something stated that is not so.
pub(crate) struct Wrong {
    pub claim: Claim,
    pub since: f64,
    pub text: String,
}

/// Figures of a day.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Figures {
    /// Statements judged.
    pub statements: usize,
    /// Datagrams, by fate.
    pub datagrams: HashMap<String, usize>,
    /// Bytes a second that a gatekeeper sent on average, while the day's statements were asked for.
    pub bytes_per_second: f64,
    /// Seconds from the loss of a way until the first statement without the member, by pair.
    pub lost: Vec<f64>,
    /// Seconds from its return until the first statement with it.
    pub back: Vec<f64>,
    /// Statements that a member is gone which was stated alive before and could be reached ever since.
    pub false_alarms: usize,
}

impl Figures {
    /// A share of the sorted times.
    fn at(times: &[f64], share: f64) -> f64 {
        let mut sorted = times.to_vec();
        sorted.sort_by(f64::total_cmp);
        sorted.get(((sorted.len() as f64 - 1.0) * share).round() as usize).copied().unwrap_or(0.0)
    }
}

impl Figures {
    /// Lines for people.
    pub fn table(&self) -> String {
        let mut fates: Vec<String> = self.datagrams.iter().map(|(fate, n)| format!("{fate} {n}")).collect();
        fates.sort();
        let times = |times: &[f64]| {
            let (p50, p99, most) = (Self::at(times, 0.5), Self::at(times, 0.99), Self::at(times, 1.0));
            format!("p50 {p50:.2} s, p99 {p99:.2} s, most {most:.2} s, {} pairs", times.len())
        };
        format!(
            "  fleet      {} statements, {} of them that one in reach is gone; {:.0} bytes a second each\n  \
             datagrams  {}\n  lost known {}\n  back known {}\n",
            self.statements,
            self.false_alarms,
            self.bytes_per_second,
            fates.join(", "),
            times(&self.lost),
            times(&self.back)
        )
    }
}

#[derive(Clone, Copy, Default)]
struct Process {
    running: bool,
    paused: bool,
    /// When it last began, or went on.
    since: f64,
    /// Its last incarnation that was stated, and the one that it had when it was last stopped for long.
    incarnation: u64,
    before: u64,
    paused_at: f64,
    /// When a second one was started under its number.
    twin: Option<f64>,
    /// When it last stated anything.
    stated: f64,
}

impl Process {
    fn up(&self) -> bool {
        self.running && !self.paused
    }
}

/// Whether one can be reached by another, and since when.
#[derive(Clone, Copy, Default)]
struct Pair {
    reached: bool,
    since: f64,
    /// Whether the other was stated since, as it is at first: what was stated before still stands, and a verdict that
    /// was on its way then may still come.
    missed: bool,
    /// Whether this was stated after that.
    shown: bool,
}

/// What the rig did, and what was stated.
#[derive(Default)]
pub(crate) struct Beliefs {
    size: usize,
    strangers: HashSet<usize>,
    processes: Vec<Process>,
    groups: Vec<usize>,
    blocked: HashSet<(usize, usize)>,
    /// By reader, then by member: whether the member's messages reach it by any way.
    pairs: Vec<Vec<Pair>>,
    /// Since when each is reached by somebody directly, or by nobody.
    deaf: Vec<Option<f64>>,
    /// Since when nobody is reached by it directly.
    mute: Vec<Option<f64>>,
    sent: (u64, f64, f64),
    pub figures: Figures,
}

impl Beliefs {
    pub fn begin(&mut self, size: usize, strangers: Vec<usize>, t: f64) {
        self.size = size;
        self.strangers = strangers.into_iter().collect();
        self.processes = vec![Process { running: true, since: t, ..Process::default() }; size];
        self.groups = vec![0; size];
        self.pairs = vec![vec![Pair { since: t, ..Pair::default() }; size]; size];
        (self.deaf, self.mute) = (vec![None; size], vec![None; size]);
        self.sent = (0, t, t);
        self.reckon(t);
    }

    /// Whether the day has gatekeepers that know of each other.
    pub fn any(&self) -> bool {
        self.size > 0
    }

    pub fn running(&mut self, gk: usize, running: bool, t: f64) {
        let Some(process) = self.processes.get_mut(gk) else { return };
        *process = Process { running, since: t, ..Process::default() };
        self.reckon(t);
    }

    pub fn paused(&mut self, gk: usize, paused: bool, t: f64) {
        let Some(process) = self.processes.get_mut(gk) else { return };
        process.paused = paused;
        if paused {
            process.paused_at = t;
        } else {
            process.since = t;
            let long = t - process.paused_at > 2.0 * BUSY;
            process.before = if long { process.incarnation } else { 0 };
        }
        self.reckon(t);
    }

    pub fn twin(&mut self, gk: usize, t: f64) {
        if let Some(process) = self.processes.get_mut(gk) {
            process.twin = Some(t);
        }
    }

    pub fn groups(&mut self, groups: Vec<usize>, t: f64) {
        self.groups = groups;
        self.reckon(t);
    }

    pub fn blocked(&mut self, from: usize, to: usize, blocked: bool, t: f64) {
        if blocked {
            self.blocked.insert((from, to));
        } else {
            self.blocked.remove(&(from, to));
        }
        self.reckon(t);
    }

    pub fn datagram(&mut self, bytes: usize, fate: Fate, t: f64) {
        *self.figures.datagrams.entry(format!("{fate:?}").to_lowercase()).or_default() += 1;
        if matches!(fate, Fate::Passed | Fate::Lost | Fate::Cut) {
            self.sent.0 += bytes as u64;
            self.sent.2 = t;
            let seconds = (self.sent.2 - self.sent.1).max(1e-3) * self.size.max(1) as f64;
            self.figures.bytes_per_second = self.sent.0 as f64 / seconds;
        }
    }

    fn direct(&self, from: usize, to: usize) -> bool {
        let up = |gk: usize| self.processes[gk].up() && !self.strangers.contains(&gk);
        from != to
            && up(from)
            && up(to)
            && self.groups.get(from) == self.groups.get(to)
            && !self.blocked.contains(&(from, to))
    }

    /// Who reaches one: messages are passed on, so any chain of ways will do.
    fn reaching(&self, to: usize) -> Vec<bool> {
        let mut reached: Vec<bool> = (0..self.size).map(|from| self.direct(from, to)).collect();
        // Without a broken way all that reach anybody of a group reach it directly.
        let mut next: Vec<usize> =
            (0..self.size).filter(|from| !self.blocked.is_empty() && reached[*from]).collect();
        while let Some(hop) = next.pop() {
            for from in (0..self.size).filter(|from| *from != to) {
                if !reached[from] && self.direct(from, hop) {
                    reached[from] = true;
                    next.push(from);
                }
            }
        }
        reached
    }

    /// Finds out anew who reaches whom.
    fn reckon(&mut self, t: f64) {
        for to in 0..self.size {
            let reached = self.reaching(to);
            let deaf = !(0..self.size).any(|from| self.direct(from, to));
            let mute = !(0..self.size).any(|other| self.direct(to, other));
            self.deaf[to] = deaf.then(|| self.deaf[to].unwrap_or(t));
            self.mute[to] = mute.then(|| self.mute[to].unwrap_or(t));
            for (from, reached) in reached.into_iter().enumerate() {
                let pair = &mut self.pairs[to][from];
                if pair.reached != reached {
                    *pair = Pair { reached, since: t, ..Pair::default() };
                }
            }
        }
    }

    /// Judges what a gatekeeper answered to what was asked at `asked`.
    pub fn states(&mut self, gk: usize, twin: bool, asked: f64, belief: &Belief) -> Vec<Wrong> {
        let Some(process) = self.processes.get(gk).copied().filter(Process::up) else { return Vec::new() };
        self.figures.statements += 1;
        let mut wrong: Vec<Wrong> = self.judge_mute(gk, asked).into_iter().collect();
        self.processes[gk].stated = asked;
        if let Some(since) = process.twin {
            wrong.extend(self.judge_twin(gk, twin, since, asked, belief));
            return wrong;
        }
        wrong.extend(self.judge_incarnation(gk, asked, belief));
        wrong.extend(self.judge_hearing(gk, asked, belief));
        if !self.strangers.contains(&gk) {
            wrong.extend(self.judge_members(gk, asked, belief));
        }
        wrong
    }

    /// The day is over at `t`.
    pub fn finish(&mut self, t: f64) -> Vec<Wrong> {
        (0..self.size).filter_map(|gk| self.judge_mute(gk, t)).collect()
    }

    fn judge_mute(&self, gk: usize, now: f64) -> Option<Wrong> {
        let process = &self.processes[gk];
        let since = process.stated.max(process.since);
        (process.up() && now > since + MUTE).then(|| Wrong {
            claim: Claim::States,
            since,
            text: format!("gatekeeper {gk} runs, and states nothing for {:.2} s", now - since),
        })
    }

    fn judge_twin(&self, gk: usize, twin: bool, since: f64, asked: f64, belief: &Belief) -> Option<Wrong> {
        let settled =
            asked > since + STARTING + recovery_known_within(self.size as u16) as f64 / 1000.0 + BUSY;
        // The later one holds the number.
        let right = belief.superseded != twin;
        let which = if twin { "the later" } else { "the earlier" };
        (settled && !right).then(|| Wrong {
            claim: Claim::OneOfTwo,
            since,
            text: format!("{which} of two gatekeepers {gk} says superseded: {}", belief.superseded),
        })
    }

    fn judge_incarnation(&mut self, gk: usize, asked: f64, belief: &Belief) -> Option<Wrong> {
        let process = &mut self.processes[gk];
        process.incarnation = process.incarnation.max(belief.incarnation);
        let (before, since) = (process.before, process.since);
        (asked >= since && before > 0 && belief.incarnation <= before).then(|| Wrong {
            claim: Claim::BegunAnew,
            since,
            text: format!(
                "gatekeeper {gk} was away, and states {} as if it had not been",
                belief.incarnation
            ),
        })
    }

    fn judge_hearing(&self, gk: usize, asked: f64, belief: &Belief) -> Option<Wrong> {
        let up = self.processes[gk].since;
        let silence = (SUSPECT_TIMEOUT + HEARTBEAT_INTERVAL) as f64 / 1000.0;
        let long =
            |since: Option<f64>, bound: f64| since.filter(|since| asked > since.max(up) + bound + BUSY);
        let deaf = long(self.deaf[gk], silence).filter(|_| belief.heard > 0 || belief.share > 0.0);
        let mute = long(self.mute[gk], 2.0 * silence).filter(|_| belief.share > 0.0);
        let (since, what) = deaf
            .map(|since| (since, "is reached by nobody"))
            .or(mute.map(|since| (since, "reaches nobody")))?;
        let (heard, share) = (belief.heard, belief.share);
        let text = format!(
            "gatekeeper {gk} {what} for {:.2} s, and counts on {share:.2}, hearing {heard}",
            asked - since
        );
        Some(Wrong { claim: Claim::HearingTrue, since, text })
    }

    fn judge_members(&mut self, gk: usize, asked: f64, belief: &Belief) -> Vec<Wrong> {
        let size = self.size as u16;
        let gone_after = partition_known_within(size) as f64 / 1000.0 + BUSY;
        let life_after = recovery_known_within(size) as f64 / 1000.0 + BUSY;
        let (alive, gone): (HashSet<usize>, HashSet<usize>) =
            (belief.alive.iter().copied().collect(), belief.gone.iter().copied().collect());
        let up = self.processes[gk].since;
        let mut wrong = Vec::new();
        for member in (0..self.size).filter(|member| *member != gk) {
            let pair = &mut self.pairs[gk][member];
            let (for_long, since) = (asked - pair.since.max(up), pair.since);
            let is = alive.contains(&member);
            if for_long > 0.0 && is != pair.reached {
                pair.missed = true;
            } else if for_long > 0.0 && pair.missed && !pair.shown {
                pair.shown = true;
                let times = if pair.reached { &mut self.figures.back } else { &mut self.figures.lost };
                times.push(asked - since);
            }
            let mut tell = |claim, what: &str| {
                let text = format!("gatekeeper {gk} states {member} {what} after {for_long:.2} s");
                wrong.push(Wrong { claim, since, text });
            };
            match pair.reached {
                true if for_long > life_after && !is => {
                    tell(Claim::LifeKnown, "not alive, which it reaches,")
                }
                false if for_long > gone_after && is => {
                    tell(Claim::GoneKnown, "alive, which is out of reach,")
                }
                _ => {}
            }
            if pair.reached && pair.shown && gone.contains(&member) {
                self.figures.false_alarms += 1;
                if for_long <= life_after {
                    tell(Claim::LifeKnown, "gone again, which it reached,");
                }
            }
        }
        wrong
    }
}
