//! The list of branches: what stewards tell each other of rows, and of lives that an operator wants drained.

use std::net::SocketAddr;

use ochreshed_catalog::endpoints::{EndpointRecord, EndpointTable, TablePosition, UpstreamState};
use proptest::prelude::*;

fn door() -> SocketAddr {
    SocketAddr::from(([10, 1, 0, 8], 8300))
}

fn row(life: u64, number: u64, id: &str, stand: UpstreamState) -> EndpointRecord {
    EndpointRecord {
        inbound_proxy: door(),
        incarnation: life,
        sequence: number,
        zone: "quito-a".into(),
        service: "huvo11a".into(),
        upstream_id: id.into(),
        software_version: "v1".into(),
        state: stand,
        concurrency_limit: 6,
        warming_up_ms: 0,
        calls_services: false,
        accepts_clients: true,
        health: Default::default(),
    }
}

/// One steward asks another, from a mark on.
fn ask(from: &EndpointTable, to: &mut EndpointTable, mark: &mut TablePosition) {
    for row in from.since(*mark) {
        to.merge(1, &row, 0);
    }
    for (door, id) in from.drains_since(*mark) {
        to.drain(door, &id);
    }
    *mark = from.position();
}

#[test]
fn a_drain_is_told_again_to_an_attendant_that_started_anew_and_ends_with_the_upstream() {
    let (mut one, mut other) = (EndpointTable::new(1), EndpointTable::new(2));
    let mut mark = TablePosition::default();
    assert!(!one.drain(door(), "i-1"), "no such row");
    one.merge(1, &row(7, 1, "i-1", UpstreamState::Serving), 0);
    ask(&one, &mut other, &mut mark);
    assert!(one.drain(door(), "i-1") && !one.drain(door(), "i-1"));
    assert_eq!(one.requested_drain(door()), Some("i-1"));
    // Only the changed row goes round, with the wish.
    assert_eq!(one.since(mark).len(), 1);
    ask(&one, &mut other, &mut mark);
    assert_eq!(other.requested_drain(door()), Some("i-1"));
    // Taken, and not told any more.
    other.merge(1, &row(7, 2, "i-1", UpstreamState::Draining), 0);
    assert_eq!(other.requested_drain(door()), None);
    // The attendant starts anew, knows no upstream, then the same one, which says that it is open.
    other.merge(1, &row(8, 1, "", UpstreamState::Absent), 0);
    assert_eq!(other.requested_drain(door()), None);
    other.merge(1, &row(8, 2, "i-1", UpstreamState::Serving), 0);
    assert_eq!(other.requested_drain(door()), Some("i-1"));
    // A steward that has just started learns it with the rows.
    let mut third = EndpointTable::new(3);
    ask(&other, &mut third, &mut TablePosition::default());
    assert_eq!(third.requested_drain(door()), Some("i-1"));
    // The next life is another's, also where the end of the last one was not told.
    other.merge(1, &row(8, 3, "i-2", UpstreamState::Serving), 0);
    third.merge(1, &row(8, 3, "i-1", UpstreamState::Absent), 0);
    third.merge(1, &row(8, 4, "i-1", UpstreamState::Serving), 0);
    assert_eq!((other.requested_drain(door()), third.requested_drain(door())), (None, None));
    assert!(!other.drain(door(), "i-1"), "it is over");
    // Forgotten with the row.
    one.update_suspects(100_000_000_000, 1);
    one.merge(100_000_000_000, &row(7, 9, "i-1", UpstreamState::Serving), 0);
    assert_eq!(one.requested_drain(door()), None);
}

proptest! {
    /// Whatever is taken where and in whatever order they ask each other, in the end all hold the latest row, and none
    /// tells of a drain but of the life that it is about.
    #[test]
    fn stewards_come_to_the_same(steps in proptest::collection::vec((0usize..3, 0usize..3, 0u8..5), 1..60)) {
        let mut tables: Vec<EndpointTable> = (1..4).map(EndpointTable::new).collect();
        let mut marks = [[TablePosition::default(); 3]; 3];
        let (mut life, mut number, mut upstream) = (1, 0, 0);
        let mut told = row(1, 0, "", UpstreamState::Absent);
        for (one, other, kind) in steps {
            number += 1;
            let id = format!("i-{upstream}");
            match kind {
                0 => told = row(life, number, &id, UpstreamState::Serving),
                1 => {
                    life += 1;
                    told = row(life, number, "", UpstreamState::Absent);
                }
                2 => {
                    upstream += 1;
                    told = row(life, number, &format!("i-{upstream}"), UpstreamState::Serving);
                }
                3 => {
                    tables[one].drain(door(), &id);
                }
                _ if one != other => {
                    let [to, from] = tables.get_disjoint_mut([one, other]).expect("two of them");
                    ask(from, to, &mut marks[one][other]);
                }
                _ => {}
            }
            if kind < 3 {
                tables[one].merge(1, &told, 0);
            }
        }
        for _ in 0..3 {
            for (one, other) in [(0, 1), (1, 2), (2, 0), (1, 0), (2, 1), (0, 2)] {
                let [to, from] = tables.get_disjoint_mut([one, other]).expect("two of them");
                ask(from, to, &mut marks[one][other]);
            }
        }
        let first = (tables[0].record(door()).cloned(), tables[0].requested_drain(door()).map(str::to_owned));
        for table in &tables {
            prop_assert_eq!(table.record(door()).cloned(), first.0.clone());
            prop_assert_eq!(table.requested_drain(door()).map(str::to_owned), first.1.clone());
            let about = |id: &str| table.record(door()).is_some_and(|row| row.upstream_id == id && row.state == UpstreamState::Serving);
            prop_assert!(table.requested_drain(door()).is_none_or(about));
        }
        // They don't keep each other busy.
        let before: Vec<TablePosition> = tables.iter().map(EndpointTable::position).collect();
        for (one, other) in [(0, 1), (1, 2), (2, 0), (1, 0), (2, 1), (0, 2)] {
            let [to, from] = tables.get_disjoint_mut([one, other]).expect("two of them");
            ask(from, to, &mut TablePosition::default());
        }
        prop_assert_eq!(tables.iter().map(EndpointTable::position).collect::<Vec<_>>(), before);
    }
}
