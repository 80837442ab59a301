//! The list of branches: who is told to be quiet, and who is not any more.

use std::net::SocketAddr;

use ochreshed_mesh::list::{Row, Stand, Table};

const S: u64 = 1_000_000_000;
const QUIET: u64 = 2 * S;

fn row(life: u64, number: u64) -> Row {
    Row {
        door: SocketAddr::from(([10, 0, 0, 1], 8300)),
        life,
        number,
        zone: "a".into(),
        line: "shop".into(),
        id: format!("i-{life}"),
        edition: "v1".into(),
        stand: Stand::Open,
        slots: 6,
        cold_ms: 0,
        calls: false,
        serving: true,
        ill: Default::default(),
    }
}

/// Guards against a door that stays quiet for all readers because its own new row took the word of that away.
#[test]
fn one_that_was_quiet_and_comes_back_with_a_new_row_is_told_not_to_be_quiet_any_more() {
    let mut table = Table::new(1);
    assert!(table.take(10 * S, &row(1, 1), 0) && !table.look(11 * S, QUIET));
    assert!(table.look(13 * S, QUIET), "it fell quiet");
    assert_eq!(table.quiet(), [row(1, 1).door]);
    assert!(table.take(14 * S, &row(2, 1), 0));
    assert!(table.look(14 * S, QUIET), "readers that were told of it are not told that it is over");
    assert!(table.quiet().is_empty() && !table.look(15 * S, QUIET));
}

/// Guards against a machine that is long gone and seems to be there again because its row was forgotten, and against one
/// that comes back after that and stays quiet.
#[test]
fn one_that_is_forgotten_stays_quiet_until_it_comes_back() {
    let mut table = Table::new(1);
    table.take(10 * S, &row(1, 1), 0);
    assert!(table.look(13 * S, QUIET) && table.quiet().len() == 1);
    assert!(!table.look(200 * S, QUIET) && table.row(row(1, 1).door).is_none());
    assert_eq!(table.quiet(), [row(1, 1).door]);
    assert!(table.take(201 * S, &row(2, 1), 0) && table.look(201 * S, QUIET));
    assert!(table.quiet().is_empty());
}
