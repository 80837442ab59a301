//! Tests of `connection_limit`.

use super::*;

#[test]
fn no_more_than_either_side_takes_and_those_in_use_stay() {
    let berths = ConnectionLimit::new(5);
    let free = || berths.permits().available_permits();
    let room = berths.permits();
    let mut taken: Vec<_> = (0..4).filter_map(|_| room.try_acquire().ok()).collect();
    berths.set_limit(2);
    assert_eq!((taken.len(), free()), (4, 0));
    taken.truncate(3);
    berths.set_limit(2);
    assert_eq!(free(), 0, "three are in use still");
    taken.truncate(1);
    berths.set_limit(2);
    assert_eq!(free(), 1);
    taken.clear();
    berths.set_limit(2);
    assert_eq!(free(), 2);
    berths.set_limit(9);
    assert_eq!(free(), 5);
    berths.set_limit(0);
    assert_eq!(free(), 1);
}
