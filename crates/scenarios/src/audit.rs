//! The auditor: judges the five rules from a capture alone, and names the lines that show a break.

use crate::views::{Beliefs, Claim, Figures, Wrong};
use serde::Serialize;
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::io::BufRead;
use weirusher_core::OvershootBound;
use weirusher_fakes::{Door, Fact, Final, Line, RuleBook, ServerState, Verdict};

/// Seconds by which an answer may pass the client's patience: timers and sockets of a busy machine.
const LATE: f64 = 0.1;
/// Breaks that are listed; further ones are only counted.
const MOST_BREAKS: usize = 50;

/// The rules of the brief, and two claims of our own beside them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// One: one final answer, in time, and nothing after it.
    NoRequestLost,
    /// Two: no effect twice.
    NoEffectTwice,
    /// Three: drains are kept.
    DrainsKept,
    /// Four: cold checkers are not pushed over.
    NotPushedOver,
    /// Five: ceilings are kept.
    CeilingsKept,
    /// Quotas hold, but for what the bound on overshoot allows.
    QuotasKept,
    /// What is let in is counted at the counter, but for one burst a customer.
    Counted,
    /// What gatekeepers state of each other is so.
    Beliefs(Claim),
}

/// One break.
#[derive(Debug, Clone, Serialize)]
pub struct Break {
    /// The rule.
    pub rule: Rule,
    /// The request, where one shows it.
    pub req: Option<u64>,
    /// When, in seconds.
    pub t: f64,
    /// Lines of the capture, from 1.
    pub lines: Vec<usize>,
    /// What happened.
    pub text: String,
}

/// What an audit found.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Audit {
    /// The day's name.
    pub day: String,
    /// Lines read.
    pub lines: usize,
    /// Clients' tries.
    pub tries: usize,
    /// Final answers, by kind.
    pub finals: BTreeMap<Final, usize>,
    /// What the doors of checkers did.
    pub doors: BTreeMap<String, usize>,
    /// Checks asked, and how many of them were allowed.
    pub checks: (usize, usize),
    /// Counter calls.
    pub adds: usize,
    /// Units let in, and units added to counts, of which corrections are a part.
    pub units: (f64, f64),
    /// Most units that a customer was beyond its bucket, and what the bound allowed at that moment.
    pub beyond: (f64, f64),
    /// What gatekeepers stated of each other, where they know of each other.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub fleet: Option<Figures>,
    /// Breaks, the first ones.
    pub breaks: Vec<Break>,
    /// Breaks in all.
    pub broken: usize,
}

/// A capture that cannot be judged.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum CaptureError {
    /// It cannot be read.
    #[error("line {0}: {1}")]
    Read(usize, std::io::Error),
    /// A line is no fact.
    #[error("line {0} is no fact of a capture: {1}")]
    Form(usize, serde_json::Error),
    /// It does not say which rules hold.
    #[error("the capture does not begin with its day")]
    NoDay,
}

#[derive(Default)]
struct Request {
    begun: (f64, usize),
    customer: String,
    class: usize,
    units: f64,
    patience: f64,
    leaves: bool,
    finals: Vec<(f64, usize, Final)>,
    runs: Vec<(f64, usize)>,
    sends: Vec<(f64, usize)>,
    asks: Vec<u64>,
}

struct Ask {
    req: u64,
    gk: usize,
    at: (f64, usize),
    further: bool,
    done: bool,
}

/// When a gatekeeper could not be reached.
struct Outage {
    from: f64,
    to: f64,
    /// It was told to stop: what was asked before is owed its answer.
    told: bool,
}

struct Bucket {
    level: f64,
    at: f64,
    /// What the fleet had forgotten when it was last full: until then all was repaid.
    forgotten: (u32, u32),
}

/// A checker that started cold.
struct ColdStart {
    at: (f64, usize),
    /// Times and units of what ran there within the fall's span.
    recent: VecDeque<(f64, f64)>,
}

#[derive(Default)]
struct Auditor {
    audit: Audit,
    rules: RuleBook,
    requests: BTreeMap<u64, Request>,
    asks: HashMap<u64, Ask>,
    /// By ticket: the request and the checker it was given for, and whether it ran.
    tickets: HashMap<String, (u64, String, bool)>,
    /// When a gatekeeper came to know of a checker's end.
    knows: HashMap<(usize, String), (f64, usize)>,
    /// The checkers that are draining or gone by the newest list that a gatekeeper was sent.
    told: HashMap<usize, HashSet<String>>,
    down: HashMap<usize, Vec<Outage>>,
    buckets: HashMap<(String, bool), Bucket>,
    cold: HashMap<String, ColdStart>,
    /// Starts anew of gatekeepers, and emptied counts, so far.
    forgotten: (u32, u32),
    beliefs: Beliefs,
    /// When the last line passed.
    ended: f64,
}

/// Judges a capture.
///
/// # Errors
/// It is no capture.
pub fn audit(capture: impl BufRead) -> Result<Audit, CaptureError> {
    let mut auditor = Auditor::default();
    let mut known = false;
    for (number, text) in capture.lines().enumerate() {
        let number = number + 1;
        let text = text.map_err(|e| CaptureError::Read(number, e))?;
        let line: Line = serde_json::from_str(&text).map_err(|e| CaptureError::Form(number, e))?;
        known |= matches!(line.fact, Fact::Day { .. });
        if !known {
            return Err(CaptureError::NoDay);
        }
        auditor.take(line.t, number, line.fact);
    }
    if !known {
        return Err(CaptureError::NoDay);
    }
    Ok(auditor.finish())
}

impl Auditor {
    fn broken(&mut self, rule: Rule, req: Option<u64>, t: f64, lines: Vec<usize>, text: impl Into<String>) {
        self.audit.broken += 1;
        if self.audit.breaks.len() < MOST_BREAKS {
            self.audit.breaks.push(Break { rule, req, t, lines, text: text.into() });
        }
    }

    fn take(&mut self, t: f64, line: usize, fact: Fact) {
        (self.audit.lines, self.ended) = (line, t);
        match fact {
            Fact::Day { name, rules } => (self.audit.day, self.rules) = (name, rules),
            Fact::Begin { req, customer, class, units, patience, leaves } => {
                self.audit.tries += 1;
                let request = Request {
                    begun: (t, line),
                    customer,
                    class,
                    units,
                    patience,
                    leaves,
                    ..Request::default()
                };
                self.requests.insert(req, request);
            }
            Fact::Ask { req, call, gk, further } => {
                self.audit.checks.0 += 1;
                self.asks.insert(call, Ask { req, gk, at: (t, line), further, done: false });
                self.request(req).asks.push(call);
            }
            Fact::Answer { call, gk, verdict, .. } => self.answer(t, line, call, gk, verdict),
            Fact::Reset { call, .. } => {
                if let Some(ask) = self.asks.get_mut(&call) {
                    ask.done = true;
                }
            }
            Fact::Sent { req, .. } => self.request(req).sends.push((t, line)),
            Fact::Got { req, server, ticket, door } => self.got(t, line, req, &server, &ticket, door),
            Fact::Final { req, end } => {
                *self.audit.finals.entry(end).or_default() += 1;
                self.request(req).finals.push((t, line, end));
            }
            Fact::Added { amount, .. } => {
                self.audit.adds += 1;
                self.audit.units.1 += amount;
            }
            Fact::Told { gk, stopped } => {
                let stopped: HashSet<String> = stopped.into_iter().collect();
                self.knows.retain(|(known, server), _| *known != gk || stopped.contains(server));
                self.told.insert(gk, stopped);
            }
            Fact::Knows { gk, stopped } => {
                let stopped: HashSet<String> = stopped.into_iter().collect();
                self.knows.retain(|(known, server), _| *known != gk || stopped.contains(server));
                // What a younger list that is on its way says otherwise, it may go by already.
                let newest = self.told.get(&gk);
                for server in stopped.into_iter().filter(|s| newest.is_none_or(|n| n.contains(s))) {
                    self.knows.entry((gk, server)).or_insert((t, line));
                }
            }
            Fact::Server { server, state: ServerState::Fell } => {
                self.broken(
                    Rule::NotPushedOver,
                    None,
                    t,
                    vec![line],
                    format!("checker {server} was pushed over"),
                );
            }
            Fact::Server { server, state: ServerState::Started } => {
                self.cold.insert(server, ColdStart { at: (t, line), recent: VecDeque::new() });
            }
            Fact::Server { server, state: ServerState::Killed } => drop(self.cold.remove(&server)),
            Fact::Emptied => self.forgotten.1 += 1,
            Fact::Stopping { gk } => self.outage(t, gk, true),
            Fact::Gatekeeper { gk, running } => {
                // The first start has nothing to forget.
                self.forgotten.0 += u32::from(running && self.down.contains_key(&gk));
                self.reachable(t, gk, running);
                self.beliefs.running(gk, running, t);
            }
            Fact::Way { gk, open } => self.reachable(t, gk, open),
            Fact::Peers { size, strangers } => self.beliefs.begin(size, strangers, t),
            Fact::Groups { groups } => self.beliefs.groups(groups, t),
            Fact::Blocked { from, to, blocked } => self.beliefs.blocked(from, to, blocked, t),
            Fact::Paused { gk, paused } => {
                // Whoever stands still answers late, or not at all.
                self.reachable(t, gk, !paused);
                self.beliefs.paused(gk, paused, t);
            }
            Fact::Twin { gk } => self.beliefs.twin(gk, t),
            Fact::Datagram { bytes, fate, .. } => self.beliefs.datagram(bytes, fate, t),
            Fact::States { gk, twin, asked, belief } => {
                for Wrong { claim, since, text } in self.beliefs.states(gk, twin, asked, &belief) {
                    self.broken(Rule::Beliefs(claim), None, since, vec![line], text);
                }
            }
            Fact::Ran { .. } | Fact::Report { .. } | Fact::Fault { .. } => {}
        }
    }

    fn request(&mut self, req: u64) -> &mut Request {
        self.requests.entry(req).or_default()
    }

    fn reachable(&mut self, t: f64, gk: usize, running: bool) {
        if !running {
            return self.outage(t, gk, false);
        }
        let outages = self.down.entry(gk).or_default();
        outages.iter_mut().filter(|o| o.to.is_infinite()).for_each(|o| o.to = t);
    }

    fn outage(&mut self, from: f64, gk: usize, told: bool) {
        let outages = self.down.entry(gk).or_default();
        if !outages.iter().any(|o| o.to.is_infinite()) {
            outages.push(Outage { from, to: f64::INFINITY, told });
        }
    }

    /// What was asked at `asked` and ended at `ended` may have met a gatekeeper that could not be reached.
    fn was_down(&self, gk: usize, asked: f64, ended: f64) -> bool {
        let met = |o: &Outage| {
            let begins = if o.told { asked >= o.from } else { ended >= o.from };
            begins && asked <= o.to + LATE
        };
        self.down.get(&gk).is_some_and(|outages| outages.iter().any(met))
    }

    fn answer(&mut self, t: f64, line: usize, call: u64, gk: usize, verdict: Verdict) {
        let Some(ask) = self.asks.get_mut(&call) else {
            return self.broken(
                Rule::NoRequestLost,
                None,
                t,
                vec![line],
                "an answer to nothing that was asked",
            );
        };
        let (req, at, further) = (ask.req, ask.at, ask.further);
        if std::mem::replace(&mut ask.done, true) {
            self.broken(Rule::NoRequestLost, Some(req), t, vec![at.1, line], "a check answered twice");
        }
        match verdict {
            Verdict::Allowed { server, ticket, .. } => {
                self.audit.checks.1 += 1;
                let known = self.knows.get(&(gk, server.clone())).copied();
                // Asked later than the grace, it was surely decided later.
                if let Some((since, knew)) = known.filter(|(since, _)| at.0 > since + self.rules.drain_grace)
                {
                    let text =
                        format!("sent to {server}, {:.3} s after gatekeeper {gk} knew its end", at.0 - since);
                    self.broken(Rule::DrainsKept, Some(req), t, vec![knew, at.1, line], text);
                }
                self.tickets.insert(ticket, (req, server, false));
                if !further {
                    self.draw(t, line, req);
                }
            }
            Verdict::Broken if !self.was_down(gk, at.0, t) => {
                let text = format!("gatekeeper {gk} ran, and broke off its answer");
                self.broken(Rule::NoRequestLost, Some(req), t, vec![at.1, line], text);
            }
            Verdict::Bad => {
                let text = format!("gatekeeper {gk} did not understand a sound check");
                self.broken(Rule::NoRequestLost, Some(req), t, vec![at.1, line], text);
            }
            Verdict::Broken | Verdict::Refused { .. } | Verdict::Failed => {}
        }
    }

    /// A first attempt draws its units from quota and ceiling.
    fn draw(&mut self, t: f64, line: usize, req: u64) {
        let (customer, units) = (self.request(req).customer.clone(), self.request(req).units);
        let Some(plan) = self.rules.customers.get(&customer).and_then(|p| self.rules.plans.get(*p)) else {
            return;
        };
        let [rate, burst, ceiling_rate, ceiling_burst] = *plan;
        self.audit.units.0 += units;
        let largest = self.rules.max_units;
        let bound =
            OvershootBound { burst, instances: self.rules.gatekeepers as f64, largest_request: largest };
        let hard = (self.rules.slack * ceiling_burst).max(largest);
        let forgotten = self.forgotten;
        let quota = (false, Rule::QuotasKept, rate, burst);
        let ceiling = (true, Rule::CeilingsKept, ceiling_rate, ceiling_burst);
        for (is_hard, rule, rate, burst) in [quota, ceiling] {
            if rate <= 0.0 {
                continue;
            }
            let full = Bucket { level: burst, at: t, forgotten };
            let bucket = self.buckets.entry((customer.clone(), is_hard)).or_insert(full);
            bucket.level = (bucket.level + rate * (t - bucket.at)).min(burst);
            if bucket.level >= burst {
                bucket.forgotten = forgotten;
            }
            (bucket.level, bucket.at) = (bucket.level - units, t);
            let (restarts, emptied) = (forgotten.0 - bucket.forgotten.0, forgotten.1 - bucket.forgotten.1);
            let slack = if is_hard { hard } else { bound.max_excess(restarts, emptied) };
            if !is_hard && -bucket.level > self.audit.beyond.0 {
                self.audit.beyond = (-bucket.level, slack);
            }
            if bucket.level < -slack - 1e-6 {
                let text = format!("{customer} is {:.2} units beyond, {slack:.2} are allowed", -bucket.level);
                self.broken(rule, Some(req), t, vec![line], text);
            }
        }
    }

    fn got(&mut self, t: f64, line: usize, req: u64, server: &str, ticket: &str, door: Door) {
        *self.audit.doors.entry(format!("{door:?}").to_lowercase()).or_default() += 1;
        if door != Door::Runs {
            return;
        }
        let fault = match self.tickets.get_mut(ticket) {
            None => Some("ran under a ticket that no gatekeeper gave"),
            Some((_, _, true)) => Some("a ticket ran twice"),
            Some((given, to, _)) if *given != req || to != server => {
                Some("ran for another request or checker")
            }
            Some((_, _, ran)) => {
                *ran = true;
                None
            }
        };
        if let Some(text) = fault {
            self.broken(Rule::NoEffectTwice, Some(req), t, vec![line], text);
        }
        self.request(req).runs.push((t, line));
        self.weigh_cold(t, line, req, server);
    }

    /// Rule four from the traffic: what ran at a cold checker within the fall's span, beside what it could do.
    fn weigh_cold(&mut self, t: f64, line: usize, req: u64, server: &str) {
        let units = self.request(req).units;
        let (Some(book), Some(cold)) = (self.rules.cold, self.cold.get_mut(server)) else { return };
        let warmth = book.from + (1.0 - book.from) * (t - cold.at.0) / book.seconds.max(1e-3);
        if warmth >= 1.0 {
            self.cold.remove(server);
            return;
        }
        cold.recent.push_back((t, units));
        while cold.recent.front().is_some_and(|(at, _)| *at < t - book.fall) {
            cold.recent.pop_front();
        }
        let sent: f64 = cold.recent.iter().map(|(_, units)| units).sum();
        let stands = book.multiple * book.capacity * warmth * book.fall + book.chance;
        if sent > stands {
            let (seconds, started) = (book.fall, cold.at.1);
            let text =
                format!("{server}, cold, was sent {sent:.1} units in {seconds} s, it stands {stands:.1}");
            self.broken(Rule::NotPushedOver, Some(req), t, vec![started, line], text);
        }
    }

    fn finish(mut self) -> Audit {
        let requests = std::mem::take(&mut self.requests);
        for (req, request) in &requests {
            self.judge_answers(*req, request);
            self.judge_effects(*req, request);
        }
        if self.rules.counted {
            self.judge_counts();
        }
        if self.beliefs.any() {
            for Wrong { claim, since, text } in self.beliefs.finish(self.ended) {
                self.broken(Rule::Beliefs(claim), None, since, vec![self.audit.lines], text);
            }
            self.audit.fleet = Some(std::mem::take(&mut self.beliefs.figures));
        }
        self.audit.breaks.sort_by(|a, b| (a.rule, a.lines.last()).cmp(&(b.rule, b.lines.last())));
        self.audit
    }

    fn judge_answers(&mut self, req: u64, request: &Request) {
        let (begun, line) = request.begun;
        let lost = Rule::NoRequestLost;
        let Some((t, at, end)) = request.finals.first().copied() else {
            return self.broken(lost, Some(req), begun, vec![line], "no final answer");
        };
        if let Some((again, other, _)) = request.finals.get(1) {
            self.broken(lost, Some(req), *again, vec![at, *other], "two final answers");
        }
        if let Some((sent, other)) = request.sends.iter().find(|(sent, _)| *sent > t) {
            self.broken(lost, Some(req), *sent, vec![at, *other], "sent on after its final answer");
        }
        let down = request
            .asks
            .iter()
            .filter_map(|call| self.asks.get(call))
            .any(|a| self.was_down(a.gk, a.at.0, t));
        if t > begun + request.patience + LATE && !down {
            self.broken(lost, Some(req), t, vec![line, at], "answered after its client stopped waiting");
        }
        if end == Final::Left && !request.leaves && !down {
            self.broken(lost, Some(req), t, vec![line, at], "its client stopped waiting without an answer");
        }
        let open = request.asks.iter().filter_map(|call| self.asks.get(call)).find(|a| !a.done).map(|a| a.at);
        if let Some((asked, ask)) = open {
            self.broken(lost, Some(req), asked, vec![ask], "a check without an answer");
        }
    }

    fn judge_effects(&mut self, req: u64, request: &Request) {
        let effect = self.rules.effects.get(request.class).map_or("safe", String::as_str);
        let lines: Vec<usize> = request.runs.iter().map(|(_, line)| *line).collect();
        let Some((first, _)) = request.runs.first().copied() else { return };
        let twice = Rule::NoEffectTwice;
        match effect {
            "unsafe" if request.runs.len() > 1 => {
                self.broken(twice, Some(req), first, lines, "an unsafe request ran more than once");
            }
            "unsafe" if request.finals.iter().any(|(_, _, end)| *end == Final::Refused) => {
                self.broken(
                    twice,
                    Some(req),
                    first,
                    lines,
                    "an unsafe request that ran was refused as if it had not",
                );
            }
            "keyed" if request.runs.iter().any(|(t, _)| *t > first + self.rules.window) => {
                self.broken(
                    twice,
                    Some(req),
                    first,
                    lines,
                    "a keyed request ran again after it was forgotten",
                );
            }
            _ => {}
        }
    }

    fn judge_counts(&mut self) {
        let (let_in, counted) = self.audit.units;
        let bursts: f64 =
            self.rules.customers.values().filter_map(|p| self.rules.plans.get(*p)).map(|p| p[1]).sum();
        if let_in > counted + bursts {
            let text = format!("{let_in} units were let in, {counted:.1} counted, {bursts} may be missing");
            self.broken(Rule::Counted, None, 0.0, vec![1], text);
        }
    }
}
