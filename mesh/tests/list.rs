//! The list of branches: what stewards tell each other of rows, and of lives that an operator wants drained.

use std::net::SocketAddr;

use ochreshed_mesh::list::{Mark, Row, Stand, Table};
use proptest::prelude::*;

fn door() -> SocketAddr {
    SocketAddr::from(([10, 1, 0, 8], 8300))
}

fn row(life: u64, number: u64, id: &str, stand: Stand) -> Row {
    Row {
        door: door(),
        life,
        number,
        zone: "quito-a".into(),
        line: "huvo11a".into(),
        id: id.into(),
        edition: "v1".into(),
        stand,
        slots: 6,
        cold_ms: 0,
        calls: false,
        serving: true,
        ill: Default::default(),
    }
}

/// One steward asks another, from a mark on.
fn ask(from: &Table, to: &mut Table, mark: &mut Mark) {
    for row in from.since(*mark) {
        to.take(1, &row, 0);
    }
    for (door, id) in from.drained_since(*mark) {
        to.drain(door, &id);
    }
    *mark = from.mark();
}

#[test]
fn a_drain_is_told_again_to_an_attendant_that_started_anew_and_ends_with_the_upstream() {
    let (mut one, mut other) = (Table::new(1), Table::new(2));
    let mut mark = Mark::default();
    assert!(!one.drain(door(), "i-1"), "no such row");
    one.take(1, &row(7, 1, "i-1", Stand::Open), 0);
    ask(&one, &mut other, &mut mark);
    assert!(one.drain(door(), "i-1") && !one.drain(door(), "i-1"));
    assert_eq!(one.drain_for(door()), Some("i-1"));
    // Only the changed row goes round, with the wish.
    assert_eq!(one.since(mark).len(), 1);
    ask(&one, &mut other, &mut mark);
    assert_eq!(other.drain_for(door()), Some("i-1"));
    // Taken, and not told any more.
    other.take(1, &row(7, 2, "i-1", Stand::Closing), 0);
    assert_eq!(other.drain_for(door()), None);
    // The attendant starts anew, knows no upstream, then the same one, which says that it is open.
    other.take(1, &row(8, 1, "", Stand::None), 0);
    assert_eq!(other.drain_for(door()), None);
    other.take(1, &row(8, 2, "i-1", Stand::Open), 0);
    assert_eq!(other.drain_for(door()), Some("i-1"));
    // A steward that has just started learns it with the rows.
    let mut third = Table::new(3);
    ask(&other, &mut third, &mut Mark::default());
    assert_eq!(third.drain_for(door()), Some("i-1"));
    // The next life is another's, also where the end of the last one was not told.
    other.take(1, &row(8, 3, "i-2", Stand::Open), 0);
    third.take(1, &row(8, 3, "i-1", Stand::None), 0);
    third.take(1, &row(8, 4, "i-1", Stand::Open), 0);
    assert_eq!((other.drain_for(door()), third.drain_for(door())), (None, None));
    assert!(!other.drain(door(), "i-1"), "it is over");
    // Forgotten with the row.
    one.look(100_000_000_000, 1);
    one.take(100_000_000_000, &row(7, 9, "i-1", Stand::Open), 0);
    assert_eq!(one.drain_for(door()), None);
}

proptest! {
    /// Whatever is taken where and in whatever order they ask each other, in the end all hold the latest row, and none
    /// tells of a drain but of the life that it is about.
    #[test]
    fn stewards_come_to_the_same(steps in proptest::collection::vec((0usize..3, 0usize..3, 0u8..5), 1..60)) {
        let mut tables: Vec<Table> = (1..4).map(Table::new).collect();
        let mut marks = [[Mark::default(); 3]; 3];
        let (mut life, mut number, mut upstream) = (1, 0, 0);
        let mut told = row(1, 0, "", Stand::None);
        for (one, other, kind) in steps {
            number += 1;
            let id = format!("i-{upstream}");
            match kind {
                0 => told = row(life, number, &id, Stand::Open),
                1 => {
                    life += 1;
                    told = row(life, number, "", Stand::None);
                }
                2 => {
                    upstream += 1;
                    told = row(life, number, &format!("i-{upstream}"), Stand::Open);
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
                tables[one].take(1, &told, 0);
            }
        }
        for _ in 0..3 {
            for (one, other) in [(0, 1), (1, 2), (2, 0), (1, 0), (2, 1), (0, 2)] {
                let [to, from] = tables.get_disjoint_mut([one, other]).expect("two of them");
                ask(from, to, &mut marks[one][other]);
            }
        }
        let first = (tables[0].row(door()).cloned(), tables[0].drain_for(door()).map(str::to_owned));
        for table in &tables {
            prop_assert_eq!(table.row(door()).cloned(), first.0.clone());
            prop_assert_eq!(table.drain_for(door()).map(str::to_owned), first.1.clone());
            let about = |id: &str| table.row(door()).is_some_and(|row| row.id == id && row.stand == Stand::Open);
            prop_assert!(table.drain_for(door()).is_none_or(about));
        }
        // They don't keep each other busy.
        let before: Vec<Mark> = tables.iter().map(Table::mark).collect();
        for (one, other) in [(0, 1), (1, 2), (2, 0), (1, 0), (2, 1), (0, 2)] {
            let [to, from] = tables.get_disjoint_mut([one, other]).expect("two of them");
            ask(from, to, &mut Mark::default());
        }
        prop_assert_eq!(tables.iter().map(Table::mark).collect::<Vec<_>>(), before);
    }
}
