//! What operators see of an instance's state in the fleet: the status page in the operator API, the fleet's
//! metrics, and the differences between two pages. Nothing is decided by them.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;
use std::net::SocketAddr;

use ochreshed_gossip::peer::Peer;
use ochreshed_gossip::{Nanos, S};
use ochreshed_recovery::start_progress::StartProgress;
use ochreshed_replica::status::ServerStatus;

/// The maximum number of draining or gone endpoints on the page.
const MAX_ENDPOINTS_SHOWN: usize = 200;

/// What the fleet actor counts besides the gossip node.
#[derive(Clone, Copy, Debug, Default)]
pub struct FleetCounts {
    /// Drains, departures and returns reported to the decision module before its own list had them.
    pub told_early: u64,
    /// Endpoints whose state according to other instances is currently worse than in the own list.
    pub overruled: u64,
}

/// Renders the members, the state held with its size, and the rejected messages.
pub fn render(peer: &Peer, fleet: &str, counts: FleetCounts, now: Nanos) -> String {
    let mut page = String::new();
    let (swim, words, traffic) = (peer.swim(), peer.store().statuses(), peer.traffic());
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
    // Serving endpoints are left out.
    let not_serving = words.iter().filter(|(_, word)| word.status != ServerStatus::Serving);
    for (srv, word) in not_serving.take(MAX_ENDPOINTS_SHOWN) {
        line(format_args!("srv {srv} {:?} by list {}.{}", word.status, word.stamp.epoch, word.stamp.version));
    }
    page
}

/// The same as metrics: a name, a value, and `c` for a counter or `g` for a gauge.
pub fn metrics(
    peer: &Peer,
    counts: FleetCounts,
    start: &StartProgress,
) -> Vec<(&'static str, u64, &'static str)> {
    let (swim, words, traffic) = (peer.swim(), peer.store().statuses(), peer.traffic());
    let not_serving = words.iter().filter(|(_, word)| word.status != ServerStatus::Serving).count();
    vec![
        ("fleet.members", swim.there().count() as u64 + 1, "g"),
        ("fleet.health", u64::from(swim.health()), "g"),
        ("fleet.words", words.len() as u64, "g"),
        ("fleet.worse", not_serving as u64, "g"),
        ("fleet.overruled", counts.overruled, "g"),
        ("fleet.told_early", counts.told_early, "c"),
        ("fleet.rows", traffic.rows, "c"),
        ("fleet.counted", traffic.counted, "c"),
        ("fleet.meetings", traffic.meetings, "c"),
        ("fleet.sent_bytes", traffic.sent_bytes, "c"),
        ("fleet.received_bytes", traffic.received_bytes, "c"),
        ("fleet.unreadable", traffic.wrong.values().sum(), "c"),
        ("start.knows", start.freshness() as u64, "g"),
        // 0 until full service is reached.
        ("start.full_service_ms", start.full_service_after().unwrap_or(0) / 1_000_000, "g"),
    ]
}

/// Fetches the status page from an instance's operator API.
pub fn fetch(at: SocketAddr) -> Result<String, String> {
    let (status, page) =
        crate::http_client::request(at, "/api/fleet", None).map_err(|error| format!("{at}: {error}"))?;
    let page = String::from_utf8(page).map_err(|_| format!("{at}: the answer is not UTF-8"))?;
    if status == 200 { Ok(page) } else { Err(format!("{at}: {}", page.trim())) }
}

/// Compares what two instances' pages say about members and endpoints.
pub fn differences(one: &str, other: &str) -> Vec<String> {
    let states = |page: &str| -> BTreeMap<String, String> {
        let lines = page.lines().filter(|line| line.starts_with("member ") || line.starts_with("srv "));
        lines
            .filter_map(|line| {
                let mut words = line.split(' ');
                let key = format!("{} {}", words.next()?, words.next()?);
                Some((key, words.next()?.to_owned()))
            })
            .collect()
    };
    let (one, other) = (states(one), states(other));
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
    fn pages_are_compared_by_members_and_endpoints() {
        let one = "instance n1\nmember n2 Alive in zone a\nsrv s1 Drains by list 0.4\n";
        let other = "instance n2\nmember n2 Dead in zone a\n";
        assert_eq!(
            differences(one, other),
            ["member n2: Alive here, Dead there", "srv s1: Drains here, - there"]
        );
        assert!(differences(one, one).is_empty());
    }
}
