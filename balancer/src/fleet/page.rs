//! What an instance holds of its fleet, as operators read it: the page at their door, metrics beside the program's own, and
//! how two pages differ. It owns their form and must never be what anything is decided by.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;
use std::net::SocketAddr;

use ochreshed_gossip::peer::Peer;
use ochreshed_gossip::{Nanos, S};
use ochreshed_recovery::start::Start;
use ochreshed_replica::words;

/// Srvs that drain or are gone are shown up to so many.
const MOST_SHOWN: usize = 200;

/// What the actor counts beside the machine.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    /// Drains, departures and returns told to the module before its own list had them.
    pub told_early: u64,
    /// Srvs of which others have heard worse than the own list says, now.
    pub overruled: u64,
}

/// Members, what is held and how much, what was wrong.
pub fn show(peer: &Peer, fleet: &str, counts: Counts, now: Nanos) -> String {
    let mut page = String::new();
    let (swim, words, traffic) = (peer.swim(), peer.store().words(), peer.traffic());
    let (name, mine) = (swim.name(), swim.mine());
    // Writing to a String does not fail.
    let mut line = |line: std::fmt::Arguments| {
        let _ = writeln!(page, "{line}");
    };
    line(format_args!(
        "instance {name} of fleet {fleet}, incarnation {}, health {}",
        mine.incarnation,
        swim.health()
    ));
    line(format_args!(
        "sent {} messages, {} bytes; received {}, {} bytes; {} meetings",
        traffic.sent, traffic.sent_bytes, traffic.received, traffic.received_bytes, traffic.meetings
    ));
    line(format_args!(
        "words on {} srvs, floor {:?}; told before the own list: {}, worse than it now: {}",
        words.len(),
        words.floor(),
        counts.told_early,
        counts.overruled
    ));
    line(format_args!("rows written {}, outcomes of others told on {}", traffic.rows, traffic.counted));
    for (why, count) in &traffic.wrong {
        line(format_args!("could not be read: {count} {why}"));
    }
    line(format_args!("member {name} {:?} here, incarnation {}", mine.state, mine.incarnation));
    for (name, member) in swim.members() {
        let (word, since) = (&member.word, (now.saturating_sub(member.since)) / S);
        line(format_args!(
            "member {name} {:?} in zone {} at {}, incarnation {}, for {since} s",
            word.state, word.zone, word.address, word.incarnation
        ));
    }
    // What serves is not worth a line.
    let worse = words.iter().filter(|(_, word)| word.state != words::State::Serves);
    for (srv, word) in worse.take(MOST_SHOWN) {
        line(format_args!("srv {srv} {:?} by list {}.{}", word.state, word.stamp.epoch, word.stamp.version));
    }
    page
}

/// The same in numbers: a name, a value, and whether it is a count or a gauge.
pub fn metrics(peer: &Peer, counts: Counts, start: &Start) -> Vec<(&'static str, u64, &'static str)> {
    let (swim, words, traffic) = (peer.swim(), peer.store().words(), peer.traffic());
    let worse = words.iter().filter(|(_, word)| word.state != words::State::Serves).count();
    vec![
        ("fleet.members", swim.there().count() as u64 + 1, "g"),
        ("fleet.health", u64::from(swim.health()), "g"),
        ("fleet.words", words.len() as u64, "g"),
        ("fleet.worse", worse as u64, "g"),
        ("fleet.overruled", counts.overruled, "g"),
        ("fleet.told_early", counts.told_early, "c"),
        ("fleet.rows", traffic.rows, "c"),
        ("fleet.counted", traffic.counted, "c"),
        ("fleet.meetings", traffic.meetings, "c"),
        ("fleet.sent_bytes", traffic.sent_bytes, "c"),
        ("fleet.received_bytes", traffic.received_bytes, "c"),
        ("fleet.unreadable", traffic.wrong.values().sum(), "c"),
        ("start.knows", start.knows() as u64, "g"),
        // 0 until it is reached.
        ("start.full_service_ms", start.full().unwrap_or(0) / 1_000_000, "g"),
    ]
}

/// Asks an operators' door for its page of the fleet.
pub fn ask(at: SocketAddr) -> Result<String, String> {
    let (status, page) =
        crate::http_client::request(at, "/api/fleet", None).map_err(|why| format!("{at}: {why}"))?;
    let page = String::from_utf8(page).map_err(|_| format!("{at}: the answer is not UTF-8"))?;
    if status == 200 { Ok(page) } else { Err(format!("{at}: {}", page.trim())) }
}

/// Where the pages of two instances differ in what they hold of members and srvs.
pub fn differences(one: &str, other: &str) -> Vec<String> {
    let held = |page: &str| -> BTreeMap<String, String> {
        let lines = page.lines().filter(|line| line.starts_with("member ") || line.starts_with("srv "));
        lines
            .filter_map(|line| {
                let mut words = line.split(' ');
                let key = format!("{} {}", words.next()?, words.next()?);
                Some((key, words.next()?.to_owned()))
            })
            .collect()
    };
    let (one, other) = (held(one), held(other));
    let keys: BTreeSet<&String> = one.keys().chain(other.keys()).collect();
    let none = "-".to_owned();
    let pair =
        |key: &String| (one.get(key).unwrap_or(&none).clone(), other.get(key).unwrap_or(&none).clone());
    let different = keys.into_iter().map(|key| (key, pair(key))).filter(|(_, (one, other))| one != other);
    different.map(|(key, (one, other))| format!("{key}: {one} here, {other} there")).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn pages_are_held_against_each_other_by_what_they_hold() {
        let one = "instance n1\nmember n2 Alive in zone a\nsrv s1 Drains by list 0.4\n";
        let other = "instance n2\nmember n2 Dead in zone a\n";
        assert_eq!(
            differences(one, other),
            ["member n2: Alive here, Dead there", "srv s1: Drains here, - there"]
        );
        assert!(differences(one, one).is_empty());
    }
}
