//! What a balancer says of its list: how many srvs are listed, and how many of those it avoids.

use ochreshed::{Balancer, Facts, Listed, Outcome, State};

fn entry(number: u64, state: State) -> Listed {
    let srv = format!("s{number}").into();
    Listed { srv, state, came_up: None, weight: 1.0, site: "x".into(), cell: number }
}

/// Guards against a figure that forgets those that drain, or still counts those that have gone.
#[test]
fn those_that_drain_are_listed_and_avoided_and_those_gone_are_neither() {
    let mut balancer = Balancer::new(1, 1, Facts::new());
    assert_eq!(balancer.standing(), (0, 0));
    let whole: Vec<Listed> = (0..10).map(|number| entry(number, State::Up)).collect();
    balancer.after(2, Outcome::List { whole: true, old: false, entries: &whole });
    assert_eq!(balancer.standing(), (10, 0));
    let changed = [entry(0, State::Draining), entry(1, State::Gone), entry(20, State::Up)];
    balancer.after(3, Outcome::List { whole: false, old: false, entries: &changed });
    assert_eq!(balancer.standing(), (10, 1));
    balancer.after(4, Outcome::List { whole: true, old: false, entries: &whole[2..4] });
    assert_eq!(balancer.standing(), (2, 0));
}
