//! What one request costs in the policy runtime, from `accept_request` to the `run_due_work` after its end, by the number of
//! endpoints and the other load, and what changes of the endpoint list cost. Time is simulated: 2,000 requests a second that
//! take 50 ms each, unless a benchmark says otherwise.

use std::cell::RefCell;

use divan::{Bencher, counter::ItemsCount};
use ochreshed::*;
use ochreshed_policy_runtime::{Action, DispatchResult, PolicyRuntime};

const MS: Nanos = 1_000_000;
const ENDPOINT_COUNTS: &[u64] = &[10, 100, 1_000, 10_000];

fn main() {
    divan::main();
}

fn listed_endpoint(number: u64, started_at: Option<Nanos>) -> ListedEndpoint {
    let site = format!("x{}", number % 5).into();
    let name = format!("s{number:05}").into();
    ListedEndpoint { name, state: EndpointState::Up, started_at, weight: 1.0, site, cell: number % 50 }
}

struct DispatchInFlight {
    ends_at: Nanos,
    request_id: u64,
    dispatch_index: usize,
    fails: bool,
}

/// One instance under simulated traffic.
struct Simulation {
    runtime: PolicyRuntime,
    now: Nanos,
    last_id: u64,
    arrival_interval: Nanos,
    dispatch_duration: Nanos,
    /// In the order in which they end.
    in_flight: std::collections::VecDeque<DispatchInFlight>,
    /// Each request whose id is a multiple of this fails.
    fail_every: u64,
    /// Every tenth endpoint fails.
    tenth_endpoint_fails: bool,
    /// Requests that have been neither sent nor answered.
    waiting: i64,
    endpoint_count: u64,
}

impl Simulation {
    fn new(endpoint_count: u64, third_in_slow_start: bool) -> Simulation {
        let now = 1_000_000 * MS;
        let rule_set = Parameters::from([
            ("name".into(), ParameterValue::Text("read".into())),
            ("effect".into(), ParameterValue::Text("replayable".into())),
            ("response_target".into(), ParameterValue::Duration(1_000 * MS)),
        ]);
        let parameters = Parameters::from([
            ("tier".into(), ParameterValue::Number(0.0)),
            ("cold".into(), ParameterValue::Duration(1_000_000 * MS)),
            ("cold_share".into(), ParameterValue::Number(0.2)),
            ("rule_sets".into(), ParameterValue::List(vec![rule_set])),
        ]);
        let runtime = PolicyRuntime::new(Balancer::new(now, 7, parameters));
        let mut simulation = Simulation {
            runtime,
            now,
            last_id: 0,
            arrival_interval: MS / 2,
            dispatch_duration: 50 * MS,
            in_flight: Default::default(),
            fail_every: u64::MAX,
            tenth_endpoint_fails: false,
            waiting: 0,
            endpoint_count,
        };
        let started_at = |number: u64| (third_in_slow_start && number.is_multiple_of(3)).then_some(now);
        let endpoints: Vec<ListedEndpoint> =
            (0..endpoint_count).map(|number| listed_endpoint(number, started_at(number))).collect();
        simulation.apply_list(true, &endpoints);
        simulation
    }

    fn apply_list(&mut self, is_complete: bool, endpoints: &[ListedEndpoint]) {
        self.runtime
            .handle_event(self.now, Event::EndpointsListed { is_complete, is_stale: false, endpoints });
    }

    /// Simulates 20 s of requests, so that the policy's statistics and concurrency limits are in a steady state.
    fn warm_up(mut self) -> Simulation {
        (0..20_000_000_000 / self.arrival_interval).for_each(|_| self.run_until_next_request());
        self
    }

    /// Ends the dispatches that are due until the next request arrives.
    fn run_until_next_request(&mut self) {
        self.now += self.arrival_interval;
        while let Some(dispatch) = self.in_flight.pop_front_if(|dispatch| dispatch.ends_at <= self.now) {
            self.end_dispatch(dispatch);
        }
        self.accept_request();
    }

    fn accept_request(&mut self) {
        self.last_id += 1;
        self.waiting += 1;
        let (rule_set, customer) = ("read".into(), "".into());
        let (id, received_at, deadline) = (self.last_id, self.now, self.now + 3_000 * MS);
        let request = RequestContext::new(id, rule_set, customer, received_at, deadline);
        self.runtime.accept_request(self.now, request);
        self.run_due_work();
    }

    fn end_dispatch(&mut self, dispatch: DispatchInFlight) {
        let DispatchInFlight { ends_at, request_id, dispatch_index, fails } = dispatch;
        let outcome = if fails { DispatchOutcome::NoConnection } else { DispatchOutcome::Done };
        let duration = self.dispatch_duration;
        let result = DispatchResult { outcome, duration, is_final: !fails, load_report: &[] };
        let now = ends_at.max(self.now - self.arrival_interval);
        self.runtime.handle_dispatch_ended(now, request_id, dispatch_index, result);
        self.run_due_work();
    }

    fn run_due_work(&mut self) {
        self.runtime.run_due_work(self.now);
        for action in self.runtime.take_actions() {
            if matches!(
                action,
                Action::Send { dispatch_index: 0, .. } | Action::Deny { .. } | Action::Abort { .. }
            ) {
                self.waiting -= 1;
            }
            if let Action::Send { request_id, dispatch_index, endpoint, .. } = action {
                let fails = request_id.is_multiple_of(self.fail_every)
                    || (self.tenth_endpoint_fails && endpoint.ends_with('0'));
                let ends_at = self.now + self.dispatch_duration;
                self.in_flight.push_back(DispatchInFlight { ends_at, request_id, dispatch_index, fails });
            }
        }
    }
}

fn bench_requests(bencher: Bencher, simulation: Simulation) {
    let simulation = RefCell::new(simulation.warm_up());
    bencher.counter(ItemsCount::new(1u32)).bench_local(|| simulation.borrow_mut().run_until_next_request());
}

#[divan::bench(args = ENDPOINT_COUNTS, sample_count = 200, sample_size = 200)]
fn no_failures(bencher: Bencher, endpoint_count: u64) {
    bench_requests(bencher, Simulation::new(endpoint_count, false));
}

/// By the number of requests in flight at once.
#[divan::bench(args = [1, 100, 1_000], consts = [10, 10_000], sample_count = 200, sample_size = 200)]
fn in_flight<const ENDPOINT_COUNT: u64>(bencher: Bencher, request_count: u64) {
    let mut simulation = Simulation::new(ENDPOINT_COUNT, false);
    simulation.arrival_interval = simulation.dispatch_duration / request_count;
    bench_requests(bencher, simulation);
}

/// One request in ten fails, upon which the health of its endpoint is evaluated and the endpoint often ejected.
#[divan::bench(args = ENDPOINT_COUNTS, sample_count = 200, sample_size = 200)]
fn a_tenth_of_requests_fails(bencher: Bencher, endpoint_count: u64) {
    let mut simulation = Simulation::new(endpoint_count, false);
    simulation.fail_every = 10;
    bench_requests(bencher, simulation);
}

/// One endpoint in ten fails all requests and is ejected again and again.
#[divan::bench(args = ENDPOINT_COUNTS, sample_count = 200, sample_size = 200)]
fn a_tenth_of_endpoints_is_ejected(bencher: Bencher, endpoint_count: u64) {
    let mut simulation = Simulation::new(endpoint_count, false);
    simulation.tenth_endpoint_fails = true;
    bench_requests(bencher, simulation);
}

/// By the number of requests in the wait queue; one arrives for each that ends.
#[divan::bench(args = [1, 100, 1_000], consts = [10, 10_000], sample_count = 100, sample_size = 50)]
fn waiting<const ENDPOINT_COUNT: u64>(bencher: Bencher, request_count: i64) {
    let mut simulation = Simulation::new(ENDPOINT_COUNT, false);
    simulation.arrival_interval = MS / 20;
    let mut simulation = simulation.warm_up();
    while simulation.waiting < request_count {
        simulation.accept_request();
    }
    let simulation = RefCell::new(simulation);
    bencher.counter(ItemsCount::new(1u32)).bench_local(|| {
        let mut simulation = simulation.borrow_mut();
        if let Some(dispatch) = simulation.in_flight.pop_front() {
            let ends_at = simulation.now;
            simulation.end_dispatch(DispatchInFlight { ends_at, fails: false, ..dispatch });
        }
        while simulation.waiting < request_count {
            simulation.accept_request();
        }
    });
    let waiting = simulation.borrow().waiting;
    assert!(
        (request_count..=request_count * 2 + 10).contains(&waiting),
        "{waiting} requests wait, expected {request_count}"
    );
}

/// A third of the endpoints started with the run.
#[divan::bench(args = ENDPOINT_COUNTS, sample_count = 200, sample_size = 200)]
fn a_third_in_slow_start(bencher: Bencher, endpoint_count: u64) {
    bench_requests(bencher, Simulation::new(endpoint_count, true));
}

/// Responses are so slow that requests wait and are denied.
#[divan::bench(args = ENDPOINT_COUNTS, sample_count = 200, sample_size = 200)]
fn overload(bencher: Bencher, endpoint_count: u64) {
    let mut simulation = Simulation::new(endpoint_count, false);
    simulation.dispatch_duration = 900 * MS;
    // More than the concurrency limits of so many endpoints allow.
    simulation.arrival_interval = (MS * 100 / endpoint_count).clamp(MS / 50, MS);
    bench_requests(bencher, simulation);
}

#[divan::bench(args = ENDPOINT_COUNTS, sample_count = 100, sample_size = 20)]
fn one_list_entry_changes(bencher: Bencher, endpoint_count: u64) {
    let simulation = RefCell::new(Simulation::new(endpoint_count, false).warm_up());
    let change_count = RefCell::new(0);
    bencher.bench_local(|| {
        let (mut simulation, mut change_count) = (simulation.borrow_mut(), change_count.borrow_mut());
        *change_count += 1;
        let mut endpoint = listed_endpoint(*change_count * 7919 % simulation.endpoint_count, None);
        endpoint.state = if *change_count % 2 == 0 { EndpointState::Up } else { EndpointState::Draining };
        simulation.apply_list(false, &[endpoint]);
    });
}

#[divan::bench(args = ENDPOINT_COUNTS, sample_count = 20, sample_size = 1)]
fn a_complete_list_is_applied(bencher: Bencher, endpoint_count: u64) {
    let endpoints: Vec<ListedEndpoint> =
        (0..endpoint_count).map(|number| listed_endpoint(number, None)).collect();
    bencher.with_inputs(|| Simulation::new(0, false)).bench_local_values(|mut simulation| {
        simulation.apply_list(true, &endpoints);
        simulation
    });
}

/// The same list again, as after each new subscription to service discovery.
#[divan::bench(args = ENDPOINT_COUNTS, sample_count = 20, sample_size = 1)]
fn a_complete_list_changes_nothing(bencher: Bencher, endpoint_count: u64) {
    let endpoints: Vec<ListedEndpoint> =
        (0..endpoint_count).map(|number| listed_endpoint(number, None)).collect();
    let simulation = RefCell::new(Simulation::new(endpoint_count, false));
    bencher.bench_local(|| simulation.borrow_mut().apply_list(true, &endpoints));
}
