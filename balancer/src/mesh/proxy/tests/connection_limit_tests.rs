//! Tests of the connection limit.

use super::*;

#[test]
fn the_lower_limit_applies_and_connections_in_use_stay() {
    let connection_limit = ConnectionLimit::new(5);
    let free = || connection_limit.permits().available_permits();
    let permits = connection_limit.permits();
    let mut in_use: Vec<_> = (0..4).filter_map(|_| permits.try_acquire().ok()).collect();
    connection_limit.set_limit(2);
    assert_eq!((in_use.len(), free()), (4, 0));
    in_use.truncate(3);
    connection_limit.set_limit(2);
    assert_eq!(free(), 0, "three are still in use");
    in_use.truncate(1);
    connection_limit.set_limit(2);
    assert_eq!(free(), 1);
    in_use.clear();
    connection_limit.set_limit(2);
    assert_eq!(free(), 2);
    connection_limit.set_limit(9);
    assert_eq!(free(), 5);
    connection_limit.set_limit(0);
    assert_eq!(free(), 1);
}
