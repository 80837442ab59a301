//! The four rules over the whole fleet, from what clients, relays and srvs saw: the auditor knows nothing of what decides,
//! and asks no process anything. It owns what counts as a break, and must never call one what a fault of the script alone
//! has done: a req whose balancer was killed or stopped under it is lost with that and counted apart.
//!
//! Times were taken by the drill's own tasks; every bound has room for how late those were at the time.

use std::collections::HashMap;

use ochreshed_emulator::scenario::Effect;
use ochreshed_emulator::{MS, Nanos, S};
use serde::Serialize;

use crate::file::Drill;
use crate::log::{Answer, Entry, Event, Process};
use crate::party::Party;
use crate::play::Play;

/// Time limits are so much longer on sockets.
const SLACK: Nanos = 50 * MS;
/// What passes a relay is noted by several tasks, in no order nearer than this.
const BLUR: Nanos = 250 * MS;
/// An end and the dispatch that follows it are seen by two tasks: which of them saw it first is chance within this.
const AT_ONCE: Nanos = 20 * MS;
/// A few reqs to a cold srv are chance.
const CHANCE: usize = 10;

#[derive(Clone, Debug, Serialize)]
pub struct Breach {
    /// 1 to 4; 0 for a process that ended by itself.
    pub rule: u8,
    pub at_s: f64,
    /// The req, in hexadecimal digits as in its header; empty for what is of none.
    pub id: String,
    pub what: String,
    pub life: Vec<String>,
}

#[derive(Clone, Debug, Default, Serialize)]
pub struct Verdict {
    pub breaches: Vec<Breach>,
    /// Reqs that got no final answer in time because their balancer was killed or stopped, or the way to it was struck.
    pub lost_with_faults: u64,
    /// Those without such a reason: each is a breach of the first rule as well.
    pub missing: u64,
}

/// One try of a client, with all that happened to it.
pub struct Life {
    pub id: u64,
    pub set: usize,
    pub balancer: usize,
    pub again: bool,
    pub asked: Nanos,
    pub ends: Nanos,
    pub intended: Nanos,
    /// It crossed the end of its connection, and the client sent it once more.
    pub crossed: bool,
    pub answered: Option<(Nanos, Answer)>,
    pub dispatches: Vec<Dispatch>,
    /// When a srv began to work on it, and which.
    pub runs: Vec<(Nanos, usize)>,
}

pub struct Dispatch {
    pub balancer: usize,
    pub srv: usize,
    pub first: Nanos,
    pub whole: Option<Nanos>,
    /// What came back, and whether it was turned away.
    pub back: Option<(Nanos, u16, bool)>,
    /// The balancer ended its connection.
    pub ended: Option<Nanos>,
}

impl Dispatch {
    /// Whether the balancer can know that it has not run.
    fn not_run(&self, by: Nanos) -> bool {
        self.whole.is_none_or(|whole| whole > by)
            || self.back.is_some_and(|(at, _, rejected)| rejected && at <= by)
    }

    /// Its bytes were seen together with its connection's end: they had lain in a queue on the way, and when they were
    /// sent nobody saw.
    fn stale(&self) -> bool {
        self.back.is_none() && self.ended.is_some_and(|ended| ended < self.first + AT_ONCE)
    }

    /// For how long it was out together with another one.
    fn beside(&self, other: &Dispatch) -> Nanos {
        let over = |dispatch: &Dispatch| dispatch.over().unwrap_or(Nanos::MAX);
        over(self).min(over(other)).saturating_sub(self.first.max(other.first))
    }

    fn over(&self) -> Option<Nanos> {
        let back = self.back.map(|(at, ..)| at);
        [back, self.ended].into_iter().flatten().min()
    }
}

/// All tries, in the order they were made.
pub fn lives(entries: &[Entry]) -> Vec<Life> {
    let mut lives: Vec<Life> = Vec::new();
    // Ids that come again mean their latest try.
    let mut latest: HashMap<u64, usize> = HashMap::new();
    // What is out on each connection.
    let mut out: HashMap<u64, (usize, usize)> = HashMap::new();
    for (at, event) in entries {
        match event {
            Event::Asked { id, set, balancer, again, budget, intended, .. } => {
                if let Some(before) = latest.insert(*id, lives.len()) {
                    lives[before].crossed = lives[before].answered.is_none();
                }
                lives.push(Life {
                    id: *id,
                    set: *set,
                    balancer: *balancer,
                    again: *again,
                    asked: *at,
                    ends: at + budget,
                    intended: *intended,
                    crossed: false,
                    answered: None,
                    dispatches: Vec::new(),
                    runs: Vec::new(),
                });
            }
            Event::Answered { id, answer } => {
                if let Some(life) = latest.get(id) {
                    lives[*life].answered = Some((*at, answer.clone()));
                }
            }
            Event::Sent { id, balancer, srv, connection, first } => {
                if let Some(life) = latest.get(id) {
                    let dispatches = &mut lives[*life].dispatches;
                    out.insert(*connection, (*life, dispatches.len()));
                    let (balancer, srv, first) = (*balancer, *srv, *first);
                    dispatches.push(Dispatch { balancer, srv, first, whole: None, back: None, ended: None });
                }
            }
            Event::Whole { connection } => {
                if let Some((life, number)) = out.get(connection) {
                    lives[*life].dispatches[*number].whole = Some(*at);
                }
            }
            Event::Back { connection, status, rejected } => {
                if let Some((life, number)) = out.remove(connection) {
                    lives[life].dispatches[number].back = Some((*at, *status, *rejected));
                }
            }
            Event::Ended { connection } => {
                if let Some((life, number)) = out.remove(connection) {
                    lives[life].dispatches[number].ended = Some(*at);
                }
            }
            Event::Ran { id, srv } => {
                if let Some(life) = latest.get(id) {
                    lives[*life].runs.push((*at, *srv));
                }
            }
            _ => {}
        }
    }
    lives
}

/// What faults did to whom, as spans of time.
struct Struck {
    /// By balancer: when no process served, or it stood still.
    gone: Vec<Vec<(Nanos, Nanos)>>,
    stopped: Vec<Vec<(Nanos, Nanos)>>,
    /// Ways from a zone's clients to a balancer.
    links: HashMap<(usize, usize), Vec<(Nanos, Nanos)>>,
}

impl Struck {
    fn new(balancers: usize, entries: &[Entry]) -> Struck {
        let mut struck = Struck {
            gone: vec![Vec::new(); balancers],
            stopped: vec![Vec::new(); balancers],
            links: HashMap::new(),
        };
        let begin = |spans: &mut Vec<(Nanos, Nanos)>, at| {
            if spans.last().is_none_or(|(_, end)| *end != Nanos::MAX) {
                spans.push((at, Nanos::MAX));
            }
        };
        let end = |spans: &mut Vec<(Nanos, Nanos)>, at| {
            if let Some((_, end)) = spans.last_mut().filter(|(_, end)| *end == Nanos::MAX) {
                *end = at;
            }
        };
        let mut ways: HashMap<(usize, usize), u32> = HashMap::new();
        for (at, event) in entries {
            match event {
                Event::Process { balancer, how } => match how {
                    Process::Killed | Process::Ended(_) => {
                        begin(&mut struck.gone[*balancer], *at);
                        end(&mut struck.stopped[*balancer], *at);
                    }
                    Process::Ready => end(&mut struck.gone[*balancer], *at),
                    Process::Stopped => begin(&mut struck.stopped[*balancer], *at),
                    Process::GoesOn => end(&mut struck.stopped[*balancer], *at),
                    Process::Started | Process::NeverReady | Process::Asked => {}
                },
                Event::LinkFault { a: Party::Clients(zone), b: Party::Balancer(balancer), begins } => {
                    let count = ways.entry((*zone, *balancer)).or_default();
                    let spans = struck.links.entry((*zone, *balancer)).or_default();
                    *count = if *begins { *count + 1 } else { count.saturating_sub(1) };
                    if *begins {
                        begin(spans, *at)
                    } else if *count == 0 {
                        end(spans, *at)
                    }
                }
                _ => {}
            }
        }
        struck
    }

    /// Whether anything struck what a client asked that balancer from then until then.
    fn any(&self, zone: usize, balancer: usize, from: Nanos, to: Nanos) -> bool {
        let links = self.links.get(&(zone, balancer)).map(|spans| &spans[..]).unwrap_or_default();
        let all = [&self.gone[balancer][..], &self.stopped[balancer], links];
        all.iter().any(|spans| spans.iter().any(|(begin, end)| *begin <= to && from <= *end))
    }

    fn stopped(&self, balancer: usize, from: Nanos, to: Nanos) -> Nanos {
        let within = |(begin, end): &(Nanos, Nanos)| (*end).min(to).saturating_sub((*begin).max(from));
        self.stopped[balancer].iter().map(within).sum()
    }
}

pub fn audit(drill: &Drill, play: &Play, lives: &[Life]) -> Verdict {
    let struck = Struck::new(play.parties.balancers, &play.entries);
    let mut audit = Audit { drill, play, struck, verdict: Verdict::default() };
    lives.iter().for_each(|life| audit.life(life));
    audit.drains(lives);
    audit.cold(lives);
    audit.processes();
    audit.verdict.breaches.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
    audit.verdict
}

struct Audit<'a> {
    drill: &'a Drill,
    play: &'a Play,
    struck: Struck,
    verdict: Verdict,
}

impl Audit<'_> {
    fn breach(&mut self, rule: u8, at: Nanos, life: Option<&Life>, what: String) {
        let breach = Breach {
            rule,
            at_s: self.play.seconds(at),
            id: life.map_or(String::new(), |life| format!("{:x}", life.id)),
            what,
            life: life
                .map_or(Vec::new(), |life| tell(self.play, life).into_iter().map(|(_, line)| line).collect()),
        };
        self.verdict.breaches.push(breach);
    }

    /// Room for what the drill itself was late by around then.
    fn late(&self, at: Nanos) -> Nanos {
        let half = (at.saturating_sub(self.play.from) / (S / 2)) as usize;
        let around = self.play.lag.iter().skip(half.saturating_sub(1)).take(3);
        2 * around.max().copied().unwrap_or(0)
    }

    fn life(&mut self, life: &Life) {
        let rule_set = &self.drill.rule_sets[life.set];
        let zone = self.play.parties.zone(life.balancer);
        let end = life.answered.as_ref().map_or(life.ends, |(at, _)| *at);
        let slack = SLACK + self.late(end);
        let answer = life.answered.as_ref().map(|(_, answer)| answer);
        if answer == Some(&Answer::NotTaken) {
            return;
        }
        // The end of a drill that was cut short answers nobody.
        let seen_out = life.ends + slack < self.play.until || !self.play.cut_short;
        let missing = match answer {
            Some(Answer::Done | Answer::Denied | Answer::Aborted) => (end > life.ends + slack)
                .then(|| format!("answered {} ms after its client's time", (end - life.ends) / MS)),
            Some(Answer::Broken) => Some("its connection ended without an answer".into()),
            _ => Some("never answered".into()),
        };
        if let Some(what) = missing.filter(|_| seen_out && !life.crossed) {
            if self.struck.any(zone, life.balancer, life.asked, end + BLUR) {
                self.verdict.lost_with_faults += 1;
            } else {
                self.verdict.missing += 1;
                self.breach(1, end, Some(life), what);
            }
        }
        let over = match answer {
            Some(Answer::Done | Answer::Denied | Answer::Aborted) => end.min(life.ends),
            _ => life.ends,
        };
        for dispatch in life.dispatches.iter().filter(|dispatch| !dispatch.stale()) {
            let late = SLACK + BLUR + self.late(dispatch.first);
            let still = self.struck.stopped(dispatch.balancer, life.asked, dispatch.first);
            if dispatch.first > over + late + still {
                let (srv, ms) = (dispatch.srv, (dispatch.first - over) / MS);
                self.breach(
                    1,
                    dispatch.first,
                    Some(life),
                    format!("sent to srv {srv} {ms} ms after its end"),
                );
            }
        }
        for pair in life.dispatches.windows(2) {
            if pair[0].beside(&pair[1]) > AT_ONCE + self.late(pair[1].first) {
                self.breach(2, pair[1].first, Some(life), "two dispatches at once".into());
            }
        }
        if rule_set.effect == Effect::NonReplayable {
            for (number, next) in life.dispatches.iter().enumerate().skip(1) {
                let earlier = &life.dispatches[..number];
                if let Some(may) = earlier.iter().find(|earlier| !earlier.not_run(next.first)) {
                    let what =
                        format!("sent again to srv {}, while it may have run at srv {}", next.srv, may.srv);
                    self.breach(2, next.first, Some(life), what);
                }
            }
            let denied = answer == Some(&Answer::Denied);
            if denied && let Some(may) = life.dispatches.iter().find(|dispatch| !dispatch.not_run(end)) {
                let what = format!(
                    "denied, which says that it is safe to try again, while it may have run at srv {}",
                    may.srv
                );
                self.breach(2, end, Some(life), what);
            }
        }
        match rule_set.effect {
            Effect::Replayable => {}
            // Sent again past its window; a dispatch that the network held may run at any time.
            Effect::Uniqued => {
                let may = life.dispatches.iter().find(|dispatch| dispatch.whole.is_some());
                let until = may.map_or(Nanos::MAX, |may| may.first + rule_set.dedup_window + SLACK);
                if let Some(late) =
                    life.dispatches.iter().find(|dispatch| dispatch.first > until + self.late(until))
                {
                    self.breach(
                        2,
                        late.first,
                        Some(life),
                        format!("sent to srv {} past its window", late.srv),
                    );
                }
            }
            Effect::NonReplayable => {
                for (at, srv) in life.runs.iter().skip(1) {
                    self.breach(2, *at, Some(life), format!("runs again at srv {srv}"));
                }
            }
        }
    }

    /// Nothing new to a srv past the grace after hearing that it drains or is gone.
    fn drains(&mut self, lives: &[Life]) {
        let (balancers, srvs) = (self.play.parties.balancers, self.play.parties.srvs);
        // For each balancer and srv, when it heard that it leaves, and that it is back.
        let mut news: Vec<Vec<Vec<(Nanos, bool)>>> = vec![vec![Vec::new(); srvs]; balancers];
        for (at, event) in &self.play.entries {
            if let Event::Told { balancer, up } = event {
                for (srv, up) in up.iter().enumerate() {
                    let known = &mut news[*balancer][srv];
                    if known.last().map(|(_, up)| *up) != Some(up.is_some()) {
                        known.push((*at, up.is_some()));
                    }
                }
            }
        }
        for life in lives {
            for dispatch in life.dispatches.iter().filter(|dispatch| !dispatch.stale()) {
                let known = &news[dispatch.balancer][dispatch.srv];
                let heard = known.iter().rev().find(|(at, _)| *at <= dispatch.first);
                let Some((told, false)) = heard else { continue };
                let still = self.struck.stopped(dispatch.balancer, *told, dispatch.first);
                let late = SLACK + self.late(dispatch.first) + still;
                if dispatch.first > told + self.drill.live.drain_grace + late {
                    let ms = (dispatch.first - told) / MS;
                    let what = format!("sent to srv {} {ms} ms after hearing that it leaves", dispatch.srv);
                    self.breach(3, dispatch.first, Some(life), what);
                }
            }
        }
    }

    /// A cold srv is not sent over so many times what it can do, by all together; unless most of it came from balancers
    /// that had not heard of its start.
    fn cold(&mut self, lives: &[Life]) {
        let live = &self.drill.live;
        let (span, multiple) = (live.cold_span, live.cold_multiple);
        // Who sent a req to a srv last, by the time it came there.
        let mut sender: HashMap<(u64, usize), usize> = HashMap::new();
        let mut told: Vec<Vec<u64>> = vec![vec![0; self.play.parties.srvs]; self.play.parties.balancers];
        let mut started = vec![0; self.play.parties.srvs];
        let mut windows: Vec<Vec<(Nanos, f64, f64, bool)>> = vec![Vec::new(); self.play.parties.srvs];
        let mut broken = Vec::new();
        for (at, event) in &self.play.entries {
            match event {
                Event::Sent { id, balancer, srv, .. } => drop(sender.insert((*id, *srv), *balancer)),
                Event::Told { balancer, up } => {
                    for (srv, up) in up.iter().enumerate() {
                        told[*balancer][srv] = up.unwrap_or(told[*balancer][srv]);
                    }
                }
                Event::SrvBack { srv, started_ms } => {
                    started[*srv] = *started_ms;
                    windows[*srv].clear();
                }
                Event::Arrived { id, srv, work, can, cold: true } => {
                    let knew = sender
                        .get(&(*id, *srv))
                        .is_some_and(|balancer| told[*balancer][*srv] >= started[*srv]);
                    let window = &mut windows[*srv];
                    window.retain(|(of, ..)| of + span > *at);
                    window.push((*at, *work, *can, knew));
                    let sum: f64 = window.iter().map(|(_, work, ..)| work).sum();
                    let known: f64 = window.iter().filter(|(.., knew)| *knew).map(|(_, work, ..)| work).sum();
                    let most = multiple * can * span as f64 / 1e9;
                    if sum > most && window.len() > CHANCE && known * 1.5 >= sum {
                        broken.push((*at, *id, *srv, sum, *can));
                        window.clear();
                    }
                }
                _ => {}
            }
        }
        for (at, id, srv, sum, can) in broken {
            let life = lives.iter().rev().find(|life| life.id == id && life.asked <= at);
            let what = format!(
                "{sum:.2} s of work to cold srv {srv} within {} s, which can do {can:.2} a second",
                span as f64 / 1e9
            );
            self.breach(4, at, life, what);
        }
    }

    /// A process that ended and nobody had asked to.
    fn processes(&mut self) {
        let mut asked = vec![false; self.play.parties.balancers];
        for (at, event) in &self.play.entries {
            let Event::Process { balancer, how } = event else { continue };
            match how {
                Process::Started => asked[*balancer] = false,
                Process::Asked | Process::Killed => asked[*balancer] = true,
                Process::Ended(code) if !asked[*balancer] => {
                    self.breach(0, *at, None, format!("balancer {balancer} ended by itself, with {code:?}"));
                }
                Process::NeverReady => {
                    self.breach(0, *at, None, format!("balancer {balancer} did not get ready"));
                }
                _ => {}
            }
        }
    }
}

/// A req's life, line by line.
fn tell(play: &Play, life: &Life) -> Vec<(Nanos, String)> {
    let again = if life.again { ", again" } else { "" };
    let mut lines = vec![(life.asked, format!("client asks balancer {}{again}", life.balancer))];
    for (number, dispatch) in life.dispatches.iter().enumerate() {
        let Dispatch { balancer, srv, first, whole, back, ended } = dispatch;
        lines.push((*first, format!("balancer {balancer} sends it to srv {srv}, dispatch {number}")));
        lines.extend(whole.map(|at| (at, format!("dispatch {number} is written whole"))));
        lines.extend(back.map(|(at, status, rejected)| {
            let rejected = if rejected { ", turned away" } else { "" };
            (at, format!("dispatch {number} is answered {status}{rejected}"))
        }));
        lines.extend(ended.map(|at| (at, format!("dispatch {number}'s connection is ended"))));
    }
    lines.extend(life.runs.iter().map(|(at, srv)| (*at, format!("srv {srv} begins to work on it"))));
    lines.extend(life.answered.iter().map(|(at, answer)| (*at, format!("client has {answer:?}"))));
    lines.sort();
    let line = |(at, line): (Nanos, String)| (at, format!("{:9.4} s  {line}", play.seconds(at)));
    lines.into_iter().map(line).collect()
}

/// Ids of the last tries of the calls that were not done within their response target, evenly over all there are.
pub fn lost(drill: &Drill, lives: &[Life], most: usize) -> Vec<u64> {
    let mut last: HashMap<u64, &Life> = HashMap::new();
    for life in lives {
        last.insert(life.id >> 8, life);
    }
    let in_target = |life: &Life| {
        let target = drill.rule_sets[life.set].response_target;
        matches!(life.answered, Some((at, Answer::Done)) if at <= life.intended + target)
    };
    let mut ids: Vec<u64> = last.values().filter(|life| !in_target(life)).map(|life| life.id).collect();
    ids.sort_unstable();
    (0..most.min(ids.len())).map(|number| ids[number * ids.len() / most.min(ids.len())]).collect()
}

/// All tries of a call by the id of one of them, and what happened meanwhile to the processes that they touched.
pub fn trace(play: &Play, lives: &[Life], id: u64) -> Vec<String> {
    let of: Vec<&Life> = lives.iter().filter(|life| life.id >> 8 == id >> 8).collect();
    let (Some(first), Some(last)) = (of.first(), of.last()) else { return Vec::new() };
    let (from, to) = (first.asked, last.answered.as_ref().map_or(last.ends, |(at, _)| *at));
    let balancers: Vec<usize> = of.iter().map(|life| life.balancer).collect();
    let mut lines: Vec<(Nanos, String)> = of.iter().flat_map(|life| tell(play, life)).collect();
    for (at, event) in play.entries.iter().filter(|(at, _)| (from..=to).contains(at)) {
        let what = match event {
            Event::Process { balancer, how } if balancers.contains(balancer) => {
                format!("balancer {balancer}: {how:?}")
            }
            Event::Fault { begins, what, .. } => {
                format!("fault {what} {}", if *begins { "begins" } else { "is over" })
            }
            _ => continue,
        };
        lines.push((*at, format!("{:9.4} s  {what}", play.seconds(*at))));
    }
    lines.sort();
    lines.into_iter().map(|(_, line)| line).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a second use of an id that takes the answer, or the runs, of the first one.
    #[test]
    fn ids_that_come_again_are_lives_of_their_own() {
        let asked = |at| {
            let (id, call, set, balancer, budget) = (7, 0, 0, 0, S);
            (at, Event::Asked { id, call, set, balancer, again: false, budget, intended: at })
        };
        let sent = |at, connection| {
            let (id, balancer, srv) = (7, 0, 1);
            (at, Event::Sent { id, balancer, srv, connection, first: at })
        };
        let entries = [
            asked(10),
            sent(11, 1),
            (12, Event::Ran { id: 7, srv: 1 }),
            (13, Event::Back { connection: 1, status: 200, rejected: false }),
            (14, Event::Answered { id: 7, answer: Answer::Done }),
            // The connection's end, long after what was sent on it.
            (15, Event::Ended { connection: 1 }),
            asked(20),
            sent(21, 2),
            // Crossed its connection's end, and sent once more.
            asked(30),
            sent(31, 3),
            (32, Event::Whole { connection: 3 }),
            (33, Event::Answered { id: 7, answer: Answer::Denied }),
        ];
        let lives = lives(&entries);
        let of = |life: &Life| (life.answered.clone(), life.crossed, life.runs.len(), life.dispatches.len());
        let answered = |at, answer| Some((at, answer));
        assert_eq!(of(&lives[0]), (answered(14, Answer::Done), false, 1, 1));
        assert_eq!(of(&lives[1]), (None, true, 0, 1));
        assert_eq!(of(&lives[2]), (answered(33, Answer::Denied), false, 0, 1));
        let dispatch = &lives[0].dispatches[0];
        assert!(dispatch.not_run(11) && dispatch.over() == Some(13) && dispatch.ended.is_none());
        assert!(!lives[2].dispatches[0].not_run(32));
    }

    /// Guards against breaks that only the order in which two relays saw things made up.
    #[test]
    fn what_lay_in_a_queue_is_neither_late_nor_beside_another() {
        let dispatch =
            |first, whole, back, ended| Dispatch { balancer: 0, srv: 0, first, whole, back, ended };
        let out = dispatch(100 * MS, Some(100 * MS), Some((160 * MS, 200, false)), None);
        let queued = dispatch(101 * MS, Some(101 * MS), None, Some(102 * MS));
        let beside = dispatch(101 * MS, Some(101 * MS), None, Some(150 * MS));
        assert!(queued.stale() && queued.beside(&out) == MS && out.beside(&queued) == MS);
        assert!(!beside.stale() && out.beside(&beside) == 49 * MS && !out.stale());
        let never_over = dispatch(101 * MS, None, None, None);
        assert_eq!((out.beside(&never_over), never_over.stale()), (59 * MS, false));
    }
}
