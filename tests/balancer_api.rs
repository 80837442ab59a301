//! The balancer's interface: endpoint counts, requests with a pending body, pauses, and preferred endpoints.

use ochreshed::{
    Balancer, DispatchOutcome, EndpointCounts, EndpointState, Event, ListedEndpoint, Name, ParameterValue,
    Parameters, RequestContext, RoutingDecision,
};

const MS: u64 = 1_000_000;

fn listed_endpoint(number: u64, state: EndpointState) -> ListedEndpoint {
    let name = format!("s{number}").into();
    ListedEndpoint { name, state, started_at: None, weight: 1.0, site: "x".into(), cell: number }
}

fn endpoints_up(count: u64) -> Vec<ListedEndpoint> {
    (0..count).map(|number| listed_endpoint(number, EndpointState::Up)).collect()
}

fn apply_list(balancer: &mut Balancer, now: u64, is_complete: bool, endpoints: &[ListedEndpoint]) {
    balancer.handle_event(now, Event::EndpointsListed { is_complete, is_stale: false, endpoints });
}

fn end_first_dispatch(balancer: &mut Balancer, now: u64, request: &mut RequestContext, duration: u64) {
    let event = Event::DispatchEnded {
        request,
        dispatch_index: 0,
        outcome: DispatchOutcome::Done,
        duration,
        is_final: true,
        load_report: &[],
    };
    balancer.handle_event(now, event);
}

/// Guards against counts that leave out draining endpoints or still include those that are gone.
#[test]
fn draining_endpoints_are_listed_and_avoided_and_gone_ones_are_neither() {
    let mut balancer = Balancer::new(1, 1, Parameters::new());
    assert_eq!(balancer.count_endpoints(), EndpointCounts { listed: 0, avoided: 0 });
    let complete = endpoints_up(10);
    apply_list(&mut balancer, 2, true, &complete);
    assert_eq!(balancer.count_endpoints(), EndpointCounts { listed: 10, avoided: 0 });
    let changed = [
        listed_endpoint(0, EndpointState::Draining),
        listed_endpoint(1, EndpointState::Gone),
        listed_endpoint(20, EndpointState::Up),
    ];
    apply_list(&mut balancer, 3, false, &changed);
    assert_eq!(balancer.count_endpoints(), EndpointCounts { listed: 10, avoided: 1 });
    apply_list(&mut balancer, 4, true, &complete[2..4]);
    assert_eq!(balancer.count_endpoints(), EndpointCounts { listed: 2, avoided: 0 });
}

/// Guards against long bodies that are still being received and use up the concurrency limit: the endpoint has not begun to
/// process them, and all other requests would be denied.
#[test]
fn a_request_with_a_pending_body_counts_at_its_endpoint_from_its_last_byte() {
    let count_sent = |body_pending: bool| {
        let mut balancer = Balancer::new(1, 1, Parameters::new());
        apply_list(&mut balancer, 2, true, &endpoints_up(2));
        let mut sent = 0;
        for id in 0..200 {
            let mut request = RequestContext {
                id,
                rule_set: "a".into(),
                customer: "".into(),
                is_client_retry: false,
                received_at: 10,
                deadline: 3_000_000_000,
                body_pending,
                expected_cost: None,
                preferred_endpoint: None,
                dispatches: Vec::new(),
            };
            let decision = balancer.route(10 + id, &mut request);
            sent += usize::from(matches!(decision, RoutingDecision::Send { .. }));
            if body_pending && id == 100 {
                balancer.handle_event(11 + id, Event::RequestSent { request: &request, dispatch_index: 0 });
            }
        }
        sent
    };
    assert!(count_sent(false) < 100, "no limit is in force");
    assert_eq!(count_sent(true), 200);
}

/// Guards against concurrency limits that fall while there are no requests: few completions say nothing about the endpoints
/// then, and all clients return at once.
#[test]
fn after_a_pause_an_instance_accepts_as_many_requests_as_before() {
    let parameters = Parameters::from([("instances".to_owned(), ParameterValue::Number(2.0))]);
    let mut balancer = Balancer::new(1, 1, parameters);
    apply_list(&mut balancer, 2, true, &endpoints_up(8));
    let (mut last_id, mut denied) = (0, [0, 0]);
    let mut in_flight: Vec<(u64, RequestContext)> = Vec::new();
    // 60 requests a second, each of 400 ms: for 8 s, and again after a pause of 4.5 s.
    for (part, start_ms) in [(0, 0), (1, 12_500)] {
        for now in (start_ms..start_ms + 8_000).map(|ms| ms * MS + 10) {
            for (_, mut request) in in_flight.extract_if(.., |(ends_at, _)| *ends_at <= now) {
                end_first_dispatch(&mut balancer, now, &mut request, 400 * MS);
            }
            if (now / MS) % 50 >= 3 {
                continue;
            }
            last_id += 1;
            let deadline = now + 3_000 * MS;
            let mut request = RequestContext::new(last_id, "a".into(), "".into(), now, deadline);
            match balancer.route(now, &mut request) {
                RoutingDecision::Send { .. } => in_flight.push((now + 400 * MS, request)),
                _ => denied[part] += 1,
            }
        }
        // The requests in flight end before the pause.
        for (ends_at, mut request) in in_flight.drain(..) {
            end_first_dispatch(&mut balancer, ends_at, &mut request, 400 * MS);
        }
    }
    assert_eq!(denied, [0, 0]);
}

#[test]
fn a_request_goes_to_its_preferred_endpoint_while_that_is_up_and_elsewhere_when_not() {
    let mut balancer = Balancer::new(1, 1, Parameters::new());
    let complete = endpoints_up(6);
    apply_list(&mut balancer, 2, true, &complete);
    let preferred = complete[3].name.clone();
    let run_request = |balancer: &mut Balancer, now: u64, preferred: &Name| {
        let mut request = RequestContext::new(now, "a".into(), "".into(), now, now + 3_000 * MS);
        request.preferred_endpoint = Some(preferred.clone());
        let RoutingDecision::Send { endpoint, .. } = balancer.route(now, &mut request) else {
            panic!("the request at {now} ns was not sent")
        };
        let duration = 20 * MS;
        end_first_dispatch(balancer, now + duration, &mut request, duration);
        endpoint
    };
    let time_of = |nth: u64| (nth + 1) * 30 * MS;
    assert!((0..40).all(|nth| run_request(&mut balancer, time_of(nth), &preferred) == preferred));
    // A preferred endpoint that is not listed has no effect.
    let endpoints: Vec<Name> =
        (40..60).map(|nth| run_request(&mut balancer, time_of(nth), &"gone".into())).collect();
    assert!(endpoints.iter().any(|endpoint| *endpoint != endpoints[0]));
    apply_list(&mut balancer, time_of(60), false, &[listed_endpoint(3, EndpointState::Draining)]);
    assert!((61..80).all(|nth| run_request(&mut balancer, time_of(nth), &preferred) != preferred));
}
