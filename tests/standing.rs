//! What a balancer says of its list: how many srvs are listed, and how many of those it avoids.

use ochreshed::{
    Balancer, DispatchOutcome, EndpointCounts, EndpointState, Event, ListedEndpoint, Name, ParameterValue,
    Parameters, RequestContext, RoutingDecision,
};

fn entry(number: u64, state: EndpointState) -> ListedEndpoint {
    let srv = format!("s{number}").into();
    ListedEndpoint { name: srv, state, started_at: None, weight: 1.0, site: "x".into(), cell: number }
}

/// Guards against a figure that forgets those that drain, or still counts those that have gone.
#[test]
fn those_that_drain_are_listed_and_avoided_and_those_gone_are_neither() {
    let mut balancer = Balancer::new(1, 1, Parameters::new());
    assert_eq!(balancer.count_endpoints(), EndpointCounts { listed: 0, avoided: 0 });
    let whole: Vec<ListedEndpoint> = (0..10).map(|number| entry(number, EndpointState::Up)).collect();
    balancer
        .handle_event(2, Event::EndpointsListed { is_complete: true, is_stale: false, endpoints: &whole });
    assert_eq!(balancer.count_endpoints(), EndpointCounts { listed: 10, avoided: 0 });
    let changed =
        [entry(0, EndpointState::Draining), entry(1, EndpointState::Gone), entry(20, EndpointState::Up)];
    balancer
        .handle_event(3, Event::EndpointsListed { is_complete: false, is_stale: false, endpoints: &changed });
    assert_eq!(balancer.count_endpoints(), EndpointCounts { listed: 10, avoided: 1 });
    balancer.handle_event(
        4,
        Event::EndpointsListed { is_complete: true, is_stale: false, endpoints: &whole[2..4] },
    );
    assert_eq!(balancer.count_endpoints(), EndpointCounts { listed: 2, avoided: 0 });
}

/// Guards against long bodies that are still coming and fill the level: their srv has not begun, and everything else
/// would be denied.
#[test]
fn a_req_that_is_still_coming_counts_at_its_srv_from_its_last_byte() {
    let calm = |coming: bool| {
        let mut balancer = Balancer::new(1, 1, Parameters::new());
        let whole: Vec<ListedEndpoint> = (0..2).map(|number| entry(number, EndpointState::Up)).collect();
        balancer.handle_event(
            2,
            Event::EndpointsListed { is_complete: true, is_stale: false, endpoints: &whole },
        );
        let mut placed = 0;
        for id in 0..200 {
            let mut req = RequestContext {
                id,
                rule_set: "a".into(),
                customer: "".into(),
                is_client_retry: false,
                received_at: 10,
                deadline: 3_000_000_000,
                body_pending: coming,
                expected_cost: None,
                preferred_endpoint: None,
                dispatches: Vec::new(),
            };
            placed += usize::from(matches!(balancer.route(10 + id, &mut req), RoutingDecision::Send { .. }));
            if coming && id == 100 {
                balancer.handle_event(11 + id, Event::RequestSent { request: &req, dispatch_index: 0 });
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
    let parameters = Parameters::from([("instances".to_owned(), ParameterValue::Number(2.0))]);
    let mut balancer = Balancer::new(1, 1, parameters);
    let whole: Vec<ListedEndpoint> = (0..8).map(|number| entry(number, EndpointState::Up)).collect();
    balancer
        .handle_event(2, Event::EndpointsListed { is_complete: true, is_stale: false, endpoints: &whole });
    let (mut id, mut denied) = (0, [0, 0]);
    let mut out: Vec<(u64, RequestContext)> = Vec::new();
    // 60 a second, each done after 400 ms: for 8 s, and again after a pause of 4.5 s.
    for (part, from) in [(0, 0), (1, 12_500)] {
        for now in (from..from + 8_000).map(|ms| ms * MS + 10) {
            for (_, mut req) in out.extract_if(.., |(due, _)| *due <= now) {
                let (how, took) = (DispatchOutcome::Done, 400 * MS);
                let end = Event::DispatchEnded {
                    request: &mut req,
                    dispatch_index: 0,
                    outcome: how,
                    duration: took,
                    is_final: true,
                    load_report: &[],
                };
                balancer.handle_event(now, end);
            }
            if (now / MS) % 50 >= 3 {
                continue;
            }
            id += 1;
            let (rule_set, customer) = ("a".into(), "".into());
            let (taken, ends) = (now, now + 3_000 * MS);
            let mut req = RequestContext::new(id, rule_set, customer, taken, ends);
            match balancer.route(now, &mut req) {
                RoutingDecision::Send { .. } => out.push((now + 400 * MS, req)),
                _ => denied[part] += 1,
            }
        }
        // What is out is done before the pause.
        for (due, mut req) in out.drain(..) {
            let (how, took) = (DispatchOutcome::Done, 400 * MS);
            balancer.handle_event(
                due,
                Event::DispatchEnded {
                    request: &mut req,
                    dispatch_index: 0,
                    outcome: how,
                    duration: took,
                    is_final: true,
                    load_report: &[],
                },
            );
        }
    }
    assert_eq!(denied, [0, 0]);
}

#[test]
fn a_tied_req_goes_to_its_srv_while_that_is_up_and_elsewhere_when_it_is_not() {
    const MS: u64 = 1_000_000;
    let mut balancer = Balancer::new(1, 1, Parameters::new());
    let whole: Vec<ListedEndpoint> = (0..6).map(|number| entry(number, EndpointState::Up)).collect();
    balancer
        .handle_event(2, Event::EndpointsListed { is_complete: true, is_stale: false, endpoints: &whole });
    let tie = whole[3].name.clone();
    let go = |balancer: &mut Balancer, now: u64, tie: &Name| {
        let mut req = RequestContext::new(now, "a".into(), "".into(), now, now + 3_000 * MS);
        req.preferred_endpoint = Some(tie.clone());
        let RoutingDecision::Send { endpoint: srv, .. } = balancer.route(now, &mut req) else {
            panic!("{now}")
        };
        let (how, took) = (DispatchOutcome::Done, 20 * MS);
        let end = Event::DispatchEnded {
            request: &mut req,
            dispatch_index: 0,
            outcome: how,
            duration: took,
            is_final: true,
            load_report: &[],
        };
        balancer.handle_event(now + took, end);
        srv
    };
    let at = |nth: u64| (nth + 1) * 30 * MS;
    assert!((0..40).all(|nth| go(&mut balancer, at(nth), &tie) == tie));
    // One that nobody knows ties to nothing.
    let free: Vec<Name> = (40..60).map(|nth| go(&mut balancer, at(nth), &"gone".into())).collect();
    assert!(free.iter().any(|srv| *srv != free[0]));
    balancer.handle_event(
        at(60),
        Event::EndpointsListed {
            is_complete: false,
            is_stale: false,
            endpoints: &[entry(3, EndpointState::Draining)],
        },
    );
    assert!((61..80).all(|nth| go(&mut balancer, at(nth), &tie) != tie));
}
