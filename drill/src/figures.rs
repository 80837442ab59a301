//! What a drill came to, in figures: service by half second, the time to full service, the load on single srvs,
//! connections, calls, what processes took. It owns these definitions, and must never count a call by when it was answered:
//! all go by when it was meant to be made.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use hdrhistogram::Histogram;
use ochreshed_emulator::{MS, Nanos, S};
use serde::Serialize;

use crate::audit::{Life, Verdict};
use crate::file::Drill;
use crate::log::{Answer, Event, Process};
use crate::party::Party;
use crate::play::Play;

const HALF: Nanos = S / 2;
/// A half second is bad when its service is more than this part under what was before the first fault.
const BAD: f64 = 0.05;
/// Sends at one srv are held against the mean in seconds with at least so many a srv: with fewer it is chance.
const ENOUGH: f64 = 8.0;

/// Calls asked, and those served within their response target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Served {
    pub asked: u64,
    pub in_target: u64,
}

impl Served {
    pub fn part(&self) -> f64 {
        if self.asked == 0 { 1.0 } else { self.in_target as f64 / self.asked as f64 }
    }
}

/// What a balancer's processes took: the most of memory and descriptors, and the mean share of a core.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Took {
    pub memory_kb: u64,
    pub descriptors: u64,
    pub cpu_share: f64,
}

#[derive(Clone, Debug, Serialize)]
pub struct FaultSeen {
    pub what: String,
    pub at_s: f64,
    /// Where it ends by itself within the drill.
    pub until_s: Option<f64>,
}

#[derive(Clone, Debug, Default, Serialize)]
pub struct Figures {
    pub calls: u64,
    pub in_target: u64,
    /// Calls by how their last try ended: late, denied, aborted, broken off, not taken, never answered.
    pub late: u64,
    pub denied: u64,
    pub aborted: u64,
    pub broken: u64,
    pub not_taken: u64,
    pub nothing: u64,
    /// Served in target over asked: in all, before the first fault, and in the worst half second.
    pub service: f64,
    pub service_before: f64,
    pub worst_half_s: f64,
    pub worst_half_at_s: f64,
    /// From the first fault to the end of the last bad half second, and how many were bad; 0 where none was.
    pub full_service_s: f64,
    pub bad_half_s: u64,
    /// The same since the last fault was over, where all are.
    pub full_service_after_end_s: Option<f64>,
    pub by_half_s: Vec<Served>,
    pub by_zone: BTreeMap<String, Served>,
    pub by_region: BTreeMap<String, Served>,
    pub by_rule_set: BTreeMap<String, Served>,
    /// The same by half second.
    pub zone_by_half_s: BTreeMap<String, Vec<Served>>,
    pub region_by_half_s: BTreeMap<String, Vec<Served>>,
    pub rule_set_by_half_s: BTreeMap<String, Vec<Served>>,
    /// Times of calls that were done, from when they were meant to be made, in ms.
    pub p50_ms: f64,
    pub p99_ms: f64,
    /// Sends to srvs: in all, for each req taken, near, the most at one srv in a second over the mean of those that got
    /// any, and that second.
    pub sends: u64,
    pub sends_a_req: f64,
    pub near: f64,
    /// Sends that a srv turned away: full, or draining unknown to the sender.
    pub turned_away: u64,
    /// Sends that a srv answered with an error of its own, or not at all.
    pub failed_sends: u64,
    pub peak_over_mean: f64,
    pub peak_at_s: f64,
    pub peak_by_s: Vec<f64>,
    /// Connections opened from balancers to srvs, and calls to discovery, in all and by second.
    pub connections: u64,
    pub connections_by_s: Vec<u64>,
    pub list_calls: u64,
    pub list_calls_by_s: Vec<u64>,
    /// What a balancer sent to the others, where they speak.
    pub fleet_bytes_per_s: f64,
    /// Drains and departures that a balancer was told of by discovery; how long after the first was told 99% of the
    /// balancers had sent their last to that srv; and all sends more than a second after it.
    pub departures: u64,
    pub heeded_by_99_s: f64,
    pub unheeded_sends: u64,
    pub missing: u64,
    pub lost_with_faults: u64,
    /// From a process's start to its being ready, of those started by the script.
    pub ready_ms_mean: f64,
    pub ready_ms_most: f64,
    /// What each balancer's processes took, and over all of them.
    pub processes: Vec<Took>,
    pub memory_kb_most: u64,
    pub descriptors_most: u64,
    pub cpu_share_mean: f64,
    pub cpu_share_most: f64,
    /// How late the drill's own tasks were at the most.
    pub lag_ms: f64,
    pub events_lost: u64,
    pub faults: Vec<FaultSeen>,
}

/// A call: its first try and its last one.
struct Call<'a> {
    first: &'a Life,
    last: &'a Life,
}

pub fn figures(drill: &Drill, play: &Play, lives: &[Life], verdict: &Verdict) -> Figures {
    let mut figures = Figures {
        missing: verdict.missing,
        lost_with_faults: verdict.lost_with_faults,
        lag_ms: play.lag.iter().max().copied().unwrap_or(0) as f64 / MS as f64,
        events_lost: play.lost,
        fleet_bytes_per_s: play.fleet_bytes as f64
            / play.parties.balancers as f64
            / (play.until.saturating_sub(play.from) as f64 / 1e9).max(1.0),
        ..Figures::default()
    };
    figures.services(drill, play, lives);
    figures.faults(play);
    figures.recovery(play);
    figures.sends(play, lives);
    figures.events(play);
    figures.heeded(play);
    figures.usage(play);
    figures
}

/// A srv that one balancer was told of as draining or gone: since when, who was told, and what each sent last since.
struct Departure {
    since: Nanos,
    told: BTreeSet<usize>,
    last: BTreeMap<usize, Nanos>,
}

impl Figures {
    /// What one balancer has heard all are to heed: that is seen by their sends alone.
    fn heeded(&mut self, play: &Play) {
        let mut up: BTreeMap<usize, &Vec<Option<u64>>> = BTreeMap::new();
        let (mut open, mut over) = (BTreeMap::<usize, Departure>::new(), Vec::new());
        for (at, event) in &play.entries {
            match event {
                Event::Told { balancer, up: now } => {
                    let before = up.insert(*balancer, now);
                    for (srv, started) in now.iter().enumerate() {
                        let was = before.and_then(|before| before.get(srv).copied().flatten());
                        if was.is_some() && started.is_none() {
                            let new =
                                || Departure { since: *at, told: BTreeSet::new(), last: BTreeMap::new() };
                            open.entry(srv).or_insert_with(new).told.insert(*balancer);
                        } else if started.is_some()
                            && open.get(&srv).is_some_and(|left| left.told.contains(balancer))
                        {
                            over.extend(open.remove(&srv));
                        }
                    }
                }
                Event::Sent { balancer, srv, .. } => {
                    if let Some(left) = open.get_mut(srv) {
                        let after = at.saturating_sub(left.since);
                        left.last.insert(*balancer, after);
                        self.unheeded_sends += u64::from(after > S);
                    }
                }
                _ => {}
            }
        }
        over.extend(open.into_values());
        self.departures = over.len() as u64;
        let last = |left: &Departure| {
            let of =
                (0..play.parties.balancers).map(|balancer| left.last.get(&balancer).copied().unwrap_or(0));
            of.collect::<Vec<_>>()
        };
        let mut all: Vec<Nanos> = over.iter().flat_map(last).collect();
        all.sort_unstable();
        let at = (all.len() as f64 * 0.99).ceil() as usize;
        self.heeded_by_99_s = all.get(at.saturating_sub(1)).map_or(0.0, |last| *last as f64 / 1e9);
    }

    fn services(&mut self, drill: &Drill, play: &Play, lives: &[Life]) {
        let mut calls: HashMap<u64, Call> = HashMap::new();
        for life in lives {
            calls
                .entry(life.id >> 8)
                .and_modify(|call| call.last = life)
                .or_insert(Call { first: life, last: life });
        }
        let halves = ((play.until - play.from) / HALF) as usize;
        self.by_half_s = vec![Served::default(); halves];
        let mut times: Histogram<u64> =
            Histogram::new_with_bounds(1, 600_000_000, 3).unwrap_or_else(|_| fallback());
        for Call { first, last } in calls.values() {
            let set = &drill.rule_sets[first.set];
            let (zone, parties) = (play.parties.zone(first.balancer), &play.parties);
            let done = last.answered.as_ref().filter(|(_, answer)| *answer == Answer::Done);
            let took = done.map(|(at, _)| at.saturating_sub(first.intended));
            let served = took.is_some_and(|took| took <= set.response_target);
            let note = move |of: &mut Served| {
                of.asked += 1;
                of.in_target += u64::from(served);
            };
            let half = (first.intended.saturating_sub(play.from) / HALF) as usize;
            self.by_half_s.get_mut(half).into_iter().for_each(note);
            let of = [
                (&parties.zones[zone][..], &mut self.by_zone, &mut self.zone_by_half_s),
                (parties.region(zone), &mut self.by_region, &mut self.region_by_half_s),
                (&set.name, &mut self.by_rule_set, &mut self.rule_set_by_half_s),
            ];
            for (name, all, by_half_s) in of {
                note(all.entry(name.to_owned()).or_default());
                let by_half_s =
                    by_half_s.entry(name.to_owned()).or_insert_with(|| vec![Served::default(); halves]);
                by_half_s.get_mut(half).into_iter().for_each(note);
            }
            self.calls += 1;
            self.in_target += u64::from(served);
            if let Some(took) = took {
                times.saturating_record(took / 1_000);
                self.late += u64::from(!served);
            }
            match last.answered.as_ref().map(|(_, answer)| answer) {
                Some(Answer::Done) => {}
                Some(Answer::Denied) => self.denied += 1,
                Some(Answer::Aborted) => self.aborted += 1,
                Some(Answer::Broken) => self.broken += 1,
                Some(Answer::NotTaken) => self.not_taken += 1,
                Some(Answer::Nothing) | None => self.nothing += 1,
            }
        }
        self.service = Served { asked: self.calls, in_target: self.in_target }.part();
        self.p50_ms = times.value_at_quantile(0.5) as f64 / 1e3;
        self.p99_ms = times.value_at_quantile(0.99) as f64 / 1e3;
    }

    fn faults(&mut self, play: &Play) {
        let mut at: HashMap<usize, usize> = HashMap::new();
        for (time, event) in &play.entries {
            let Event::Fault { number, begins, what } = event else { continue };
            if *begins {
                at.insert(*number, self.faults.len());
                self.faults.push(FaultSeen { what: what.clone(), at_s: play.seconds(*time), until_s: None });
            } else if let Some(fault) = at.get(number).and_then(|at| self.faults.get_mut(*at)) {
                fault.until_s = Some(play.seconds(*time));
            }
        }
    }

    fn recovery(&mut self, play: &Play) {
        let end = |half: usize| (half + 1) as f64 / 2.0;
        let first = self.faults.iter().map(|fault| fault.at_s).fold(f64::INFINITY, f64::min);
        let before = self.by_half_s.iter().enumerate().filter(|(half, _)| end(*half) <= first);
        let sum = before.fold(Served::default(), |sum, (_, half)| Served {
            asked: sum.asked + half.asked,
            in_target: sum.in_target + half.in_target,
        });
        self.service_before = sum.part();
        let bad = |served: &Served| served.part() < (1.0 - BAD) * self.service_before;
        let worst = self.by_half_s.iter().enumerate().min_by(|a, b| a.1.part().total_cmp(&b.1.part()));
        (self.worst_half_at_s, self.worst_half_s) =
            worst.map_or((0.0, 1.0), |(half, served)| (end(half) - 0.5, served.part()));
        if self.faults.is_empty() {
            return;
        }
        let after: Vec<usize> = (0..self.by_half_s.len()).filter(|half| end(*half) > first).collect();
        let bad: Vec<usize> = after.into_iter().filter(|half| bad(&self.by_half_s[*half])).collect();
        self.bad_half_s = bad.len() as u64;
        let last = bad.last().map(|half| end(*half));
        self.full_service_s = last.map_or(0.0, |last| (last - first).max(0.0));
        let over = self.faults.iter().map(|fault| fault.until_s.unwrap_or(fault.at_s)).fold(0.0, f64::max);
        let ends = over < play.seconds(play.until);
        self.full_service_after_end_s = ends.then(|| last.map_or(0.0, |last| (last - over).max(0.0)));
    }

    fn sends(&mut self, play: &Play, lives: &[Life]) {
        let seconds = ((play.until - play.from) / S) as usize;
        let mut by_s = vec![vec![0u64; play.parties.srvs]; seconds];
        let (mut near, mut taken) = (0u64, 0u64);
        for life in lives {
            taken += u64::from(!matches!(life.answered, Some((_, Answer::NotTaken))));
            for dispatch in &life.dispatches {
                self.sends += 1;
                self.turned_away += u64::from(matches!(dispatch.back, Some((_, _, true))));
                let failed = dispatch.back.is_none_or(|(_, status, rejected)| status >= 500 && !rejected);
                self.failed_sends += u64::from(failed);
                near += u64::from(play.parties.zone(dispatch.balancer) == play.parties.zone(dispatch.srv));
                let second = (dispatch.first.saturating_sub(play.from) / S) as usize;
                if let Some(second) = by_s.get_mut(second) {
                    second[dispatch.srv] += 1;
                }
            }
        }
        self.sends_a_req = self.sends as f64 / taken.max(1) as f64;
        self.near = near as f64 / self.sends.max(1) as f64;
        for (second, srvs) in by_s.iter().enumerate() {
            let some: Vec<u64> = srvs.iter().copied().filter(|sends| *sends > 0).collect();
            let mean = some.iter().sum::<u64>() as f64 / some.len().max(1) as f64;
            let most = some.iter().max().copied().unwrap_or(0) as f64;
            let peak = if mean >= ENOUGH { most / mean } else { 0.0 };
            self.peak_by_s.push(peak);
            if peak > self.peak_over_mean {
                (self.peak_over_mean, self.peak_at_s) = (peak, second as f64);
            }
        }
    }

    fn events(&mut self, play: &Play) {
        let seconds = ((play.until - play.from) / S) as usize;
        (self.connections_by_s, self.list_calls_by_s) = (vec![0; seconds], vec![0; seconds]);
        let mut starting: HashMap<usize, Nanos> = HashMap::new();
        let mut ready = Vec::new();
        for (at, event) in &play.entries {
            let second = (at.saturating_sub(play.from) / S) as usize;
            let began = *at >= play.from;
            match event {
                Event::Opened { from: Party::Balancer(_), to: Party::Srv(_) } => {
                    self.connections += 1;
                    if let Some(count) = self.connections_by_s.get_mut(second).filter(|_| began) {
                        *count += 1;
                    }
                }
                Event::Called { .. } if began => {
                    self.list_calls += 1;
                    if let Some(count) = self.list_calls_by_s.get_mut(second) {
                        *count += 1;
                    }
                }
                Event::Process { balancer, how: Process::Started } if began => {
                    starting.insert(*balancer, *at);
                }
                Event::Process { balancer, how: Process::Ready } => {
                    ready.extend(starting.remove(balancer).map(|started| (at - started) as f64 / MS as f64));
                }
                _ => {}
            }
        }
        self.ready_ms_most = ready.iter().copied().fold(0.0, f64::max);
        self.ready_ms_mean = ready.iter().fold(0.0, |sum, ms| sum + ms) / ready.len().max(1) as f64;
    }

    fn usage(&mut self, play: &Play) {
        for samples in &play.usage {
            // A new process counts anew; a tick is a hundredth of a second, a sample is taken each second.
            let used = samples.windows(2).map(|two| two[1].cpu_ticks.saturating_sub(two[0].cpu_ticks));
            self.processes.push(Took {
                memory_kb: samples.iter().map(|usage| usage.memory_kb).max().unwrap_or(0),
                descriptors: samples.iter().map(|usage| usage.descriptors).max().unwrap_or(0),
                cpu_share: used.sum::<u64>() as f64 / 100.0 / (samples.len().saturating_sub(1)).max(1) as f64,
            });
        }
        let all = &self.processes;
        self.memory_kb_most = all.iter().map(|took| took.memory_kb).max().unwrap_or(0);
        self.descriptors_most = all.iter().map(|took| took.descriptors).max().unwrap_or(0);
        self.cpu_share_most = all.iter().map(|took| took.cpu_share).fold(0.0, f64::max);
        self.cpu_share_mean = all.iter().map(|took| took.cpu_share).sum::<f64>() / all.len().max(1) as f64;
    }
}

/// A histogram with the crate's own bounds, which can't fail for this many digits.
fn fallback() -> Histogram<u64> {
    Histogram::new(1).unwrap_or_else(|_| unreachable!("one digit is within the crate's bounds"))
}
