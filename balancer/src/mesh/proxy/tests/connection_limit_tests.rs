//! Tests of `connection_limit`.

use super::*;

#[test]
fn no_more_than_either_side_takes_and_those_in_use_stay() {
    let connection_limit = ConnectionLimit::new(5);
    let free = || connection_limit.permits().available_permits();
    let room = connection_limit.permits();
    let mut taken: Vec<_> = (0..4).filter_map(|_| room.try_acquire().ok()).collect();
    connection_limit.set_limit(2);
    assert_eq!((taken.len(), free()), (4, 0));
    taken.truncate(3);
    connection_limit.set_limit(2);
    assert_eq!(free(), 0, "three are in use still");
    taken.truncate(1);
    connection_limit.set_limit(2);
    assert_eq!(free(), 1);
    taken.clear();
    connection_limit.set_limit(2);
    assert_eq!(free(), 2);
    connection_limit.set_limit(9);
    assert_eq!(free(), 5);
    connection_limit.set_limit(0);
    assert_eq!(free(), 1);
}
