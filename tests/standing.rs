//! What a balancer says of its list: how many srvs are listed, and how many of those it avoids.

use ochreshed::{Balancer, Facts, How, Listed, Name, Outcome, Place, Req, State, Value};

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

/// Guards against long bodies that are still coming and fill the level: their srv has not begun, and everything else
/// would be denied.
#[test]
fn a_req_that_is_still_coming_counts_at_its_srv_from_its_last_byte() {
    let calm = |coming: bool| {
        let mut balancer = Balancer::new(1, 1, Facts::new());
        let whole: Vec<Listed> = (0..2).map(|number| entry(number, State::Up)).collect();
        balancer.after(2, Outcome::List { whole: true, old: false, entries: &whole });
        let mut placed = 0;
        for id in 0..200 {
            let mut req = Req {
                id,
                rule_set: "a".into(),
                customer: "".into(),
                again: false,
                taken: 10,
                ends: 3_000_000_000,
                coming,
                work: None,
                tie: None,
                dispatches: Vec::new(),
            };
            placed += usize::from(matches!(balancer.place(10 + id, &mut req), Place::Send { .. }));
            if coming && id == 100 {
                balancer.after(11 + id, Outcome::Written { req: &req, number: 0 });
            }
        }
        placed
    };
    assert!(calm(false) < 100, "the level bounds nothing");
    assert_eq!(calm(true), 200);
}

/// Guards against levels that sink while clients are sent away: what is done in that time says nothing of the srvs,
/// and all clients come back at once.
#[test]
fn after_a_pause_without_reqs_it_takes_what_it_took_before() {
    const MS: u64 = 1_000_000;
    let facts = Facts::from([("instances".to_owned(), Value::Number(2.0))]);
    let mut balancer = Balancer::new(1, 1, facts);
    let whole: Vec<Listed> = (0..8).map(|number| entry(number, State::Up)).collect();
    balancer.after(2, Outcome::List { whole: true, old: false, entries: &whole });
    let (mut id, mut denied) = (0, [0, 0]);
    let mut out: Vec<(u64, Req)> = Vec::new();
    // 60 a second, each done after 400 ms: for 8 s, and again after a pause of 4.5 s.
    for (part, from) in [(0, 0), (1, 12_500)] {
        for now in (from..from + 8_000).map(|ms| ms * MS + 10) {
            for (_, mut req) in out.extract_if(.., |(due, _)| *due <= now) {
                let (how, took) = (How::Done, 400 * MS);
                let end =
                    Outcome::Dispatch { req: &mut req, number: 0, how, took, closed: true, report: &[] };
                balancer.after(now, end);
            }
            if (now / MS) % 50 >= 3 {
                continue;
            }
            id += 1;
            let (rule_set, customer) = ("a".into(), "".into());
            let (taken, ends) = (now, now + 3_000 * MS);
            let mut req = Req::new(id, rule_set, customer, taken, ends);
            match balancer.place(now, &mut req) {
                Place::Send { .. } => out.push((now + 400 * MS, req)),
                _ => denied[part] += 1,
            }
        }
        // What is out is done before the pause.
        for (due, mut req) in out.drain(..) {
            let (how, took) = (How::Done, 400 * MS);
            balancer.after(
                due,
                Outcome::Dispatch { req: &mut req, number: 0, how, took, closed: true, report: &[] },
            );
        }
    }
    assert_eq!(denied, [0, 0]);
}

#[test]
fn a_tied_req_goes_to_its_srv_while_that_is_up_and_elsewhere_when_it_is_not() {
    const MS: u64 = 1_000_000;
    let mut balancer = Balancer::new(1, 1, Facts::new());
    let whole: Vec<Listed> = (0..6).map(|number| entry(number, State::Up)).collect();
    balancer.after(2, Outcome::List { whole: true, old: false, entries: &whole });
    let tie = whole[3].srv.clone();
    let go = |balancer: &mut Balancer, now: u64, tie: &Name| {
        let mut req = Req::new(now, "a".into(), "".into(), now, now + 3_000 * MS);
        req.tie = Some(tie.clone());
        let Place::Send { srv, .. } = balancer.place(now, &mut req) else { panic!("{now}") };
        let (how, took) = (How::Done, 20 * MS);
        let end = Outcome::Dispatch { req: &mut req, number: 0, how, took, closed: true, report: &[] };
        balancer.after(now + took, end);
        srv
    };
    let at = |nth: u64| (nth + 1) * 30 * MS;
    assert!((0..40).all(|nth| go(&mut balancer, at(nth), &tie) == tie));
    // One that nobody knows ties to nothing.
    let free: Vec<Name> = (40..60).map(|nth| go(&mut balancer, at(nth), &"gone".into())).collect();
    assert!(free.iter().any(|srv| *srv != free[0]));
    balancer.after(at(60), Outcome::List { whole: false, old: false, entries: &[entry(3, State::Draining)] });
    assert!((61..80).all(|nth| go(&mut balancer, at(nth), &tie) != tie));
}
