//! What operators see of an instance's state in the fleet: the status page in the operator API, the fleet's
//! metrics, and the differences between two pages. Nothing is decided by them.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;
use std::net::SocketAddr;

use ochreshed_gossip::node::GossipNode;
use ochreshed_gossip::{Nanos, S};
use ochreshed_recovery::start_progress::StartProgress;
use ochreshed_replica::status::ServerStatus;

/// The maximum number of draining or gone endpoints on the page.
const MAX_ENDPOINTS_SHOWN: usize = 200;

/// What the fleet actor counts besides the gossip node.
#[derive(Clone, Copy, Debug, Default)]
pub struct FleetCounts {
    /// Drains, departures and returns reported to the decision module before its own list had them.
    pub reported_early: u64,
    /// Endpoints whose state according to other instances is currently worse than in the own list.
    pub overridden: u64,
}

/// Renders the members, the state held with its size, and the rejected messages.
pub fn render(gossip: &GossipNode, fleet: &str, counts: FleetCounts, now: Nanos) -> String {
    let mut page = String::new();
    let (swim, statuses, traffic) = (gossip.swim(), gossip.store().statuses(), gossip.traffic());
    let (name, own_record) = (swim.name(), swim.own_record());
    // Writing to a String does not fail.
    let mut line = |line: std::fmt::Arguments| {
        let _ = writeln!(page, "{line}");
    };
    line(format_args!(
        "instance {name} of fleet {fleet}, incarnation {}, health {}",
        own_record.incarnation,
        swim.health_score()
    ));
    line(format_args!(
        "sent {} messages, {} bytes; received {}, {} bytes; {} meetings",
        traffic.sent_messages,
        traffic.sent_bytes,
        traffic.received_messages,
        traffic.received_bytes,
        traffic.stream_syncs
    ));
    line(format_args!(
        "words on {} srvs, floor {:?}; told before the own list: {}, worse than it now: {}",
        statuses.len(),
        statuses.floor(),
        counts.reported_early,
        counts.overridden
    ));
    line(format_args!(
        "rows written {}, outcomes of others told on {}",
        traffic.outcome_rows_sent, traffic.outcomes_applied
    ));
    for (reason, count) in &traffic.rejected {
        line(format_args!("could not be read: {count} {reason}"));
    }
    line(format_args!("member {name} {:?} here, incarnation {}", own_record.state, own_record.incarnation));
    for (name, member) in swim.members() {
        let (record, since) = (&member.record, (now.saturating_sub(member.changed_at)) / S);
        line(format_args!(
            "member {name} {:?} in zone {} at {}, incarnation {}, for {since} s",
            record.state, record.zone, record.address, record.incarnation
        ));
    }
    // Serving endpoints are left out.
    let not_serving = statuses.iter().filter(|(_, record)| record.status != ServerStatus::Serving);
    for (server, record) in not_serving.take(MAX_ENDPOINTS_SHOWN) {
        line(format_args!(
            "srv {server} {:?} by list {}.{}",
            record.status, record.stamp.epoch, record.stamp.version
        ));
    }
    page
}

/// The same as metrics: a name, a value, and `c` for a counter or `g` for a gauge.
pub fn metrics(
    gossip: &GossipNode,
    counts: FleetCounts,
    start_progress: &StartProgress,
) -> Vec<(&'static str, u64, &'static str)> {
    let (swim, statuses, traffic) = (gossip.swim(), gossip.store().statuses(), gossip.traffic());
    let not_serving = statuses.iter().filter(|(_, record)| record.status != ServerStatus::Serving).count();
    vec![
        ("fleet.members", swim.live_members().count() as u64 + 1, "g"),
        ("fleet.health", u64::from(swim.health_score()), "g"),
        ("fleet.words", statuses.len() as u64, "g"),
        ("fleet.worse", not_serving as u64, "g"),
        ("fleet.overruled", counts.overridden, "g"),
        ("fleet.told_early", counts.reported_early, "c"),
        ("fleet.rows", traffic.outcome_rows_sent, "c"),
        ("fleet.counted", traffic.outcomes_applied, "c"),
        ("fleet.meetings", traffic.stream_syncs, "c"),
        ("fleet.sent_bytes", traffic.sent_bytes, "c"),
        ("fleet.received_bytes", traffic.received_bytes, "c"),
        ("fleet.unreadable", traffic.rejected.values().sum(), "c"),
        ("start.knows", start_progress.freshness() as u64, "g"),
        // 0 until full service is reached.
        ("start.full_service_ms", start_progress.full_service_after().unwrap_or(0) / 1_000_000, "g"),
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
                let mut fields = line.split(' ');
                let key = format!("{} {}", fields.next()?, fields.next()?);
                Some((key, fields.next()?.to_owned()))
            })
            .collect()
    };
    let (one, other) = (states(one), states(other));
    let keys: BTreeSet<&String> = one.keys().chain(other.keys()).collect();
    let absent = "-".to_owned();
    let pair =
        |key: &String| (one.get(key).unwrap_or(&absent).clone(), other.get(key).unwrap_or(&absent).clone());
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
