//! What one req costs through the runtime (taken, settled, ended, settled) by the length of the list and what else is
//! going on, and what news of the list cost. Time is simulated: 2,000 reqs a second that take 50 ms each, unless a
//! bench says otherwise.

use std::cell::RefCell;

use divan::{Bencher, counter::ItemsCount};
use ochreshed::*;
use ochreshed_policy_runtime::{Action, DispatchResult, PolicyRuntime};

const MS: Nanos = 1_000_000;
const SIZES: &[u64] = &[10, 100, 1_000, 10_000];

fn main() {
    divan::main();
}

fn listed(number: u64, came_up: Option<Nanos>) -> ListedEndpoint {
    let site = format!("x{}", number % 5).into();
    let srv = format!("s{number:05}").into();
    ListedEndpoint {
        name: srv,
        state: EndpointState::Up,
        started_at: came_up,
        weight: 1.0,
        site,
        cell: number % 50,
    }
}

/// An instance with reqs on their way through it.
struct Road {
    runtime: PolicyRuntime,
    now: Nanos,
    id: u64,
    gap: Nanos,
    takes: Nanos,
    /// Dispatches that are out, in the order they end.
    out: std::collections::VecDeque<(Nanos, u64, usize, bool)>,
    fails: u64,
    /// Every tenth srv fails.
    broken: bool,
    /// How many were taken and neither sent nor answered.
    waiting: i64,
    size: u64,
}

impl Road {
    fn new(size: u64, cold: bool) -> Road {
        let now = 1_000_000 * MS;
        let set = Parameters::from([
            ("name".into(), ParameterValue::Text("read".into())),
            ("effect".into(), ParameterValue::Text("replayable".into())),
            ("response_target".into(), ParameterValue::Duration(1_000 * MS)),
        ]);
        let facts = Parameters::from([
            ("tier".into(), ParameterValue::Number(0.0)),
            ("cold".into(), ParameterValue::Duration(1_000_000 * MS)),
            ("cold_share".into(), ParameterValue::Number(0.2)),
            ("rule_sets".into(), ParameterValue::List(vec![set])),
        ]);
        let mut runtime = PolicyRuntime::new(Balancer::new(now, 7, facts));
        let came_up = |number: u64| (cold && number.is_multiple_of(3)).then_some(now);
        let entries: Vec<ListedEndpoint> = (0..size).map(|number| listed(number, came_up(number))).collect();
        runtime.handle_event(
            now,
            Event::EndpointsListed { is_complete: true, is_stale: false, endpoints: &entries },
        );
        let out = Default::default();
        Road {
            runtime,
            now,
            id: 0,
            gap: MS / 2,
            takes: 50 * MS,
            out,
            fails: u64::MAX,
            broken: false,
            waiting: 0,
            size,
        }
    }

    /// Lets 20 s of reqs pass, so that sums and levels stand.
    fn warm(mut self) -> Road {
        (0..20_000_000_000 / self.gap).for_each(|_| self.req());
        self
    }

    fn req(&mut self) {
        self.now += self.gap;
        while let Some((at, id, number, fails)) = self.out.front().copied().filter(|(at, ..)| *at <= self.now)
        {
            self.out.pop_front();
            self.end(at, id, number, fails);
        }
        self.take();
    }

    /// A req that comes while nothing ends.
    fn take(&mut self) {
        self.id += 1;
        self.waiting += 1;
        let (rule_set, customer) = ("read".into(), "".into());
        let (id, taken, ends) = (self.id, self.now, self.now + 3_000 * MS);
        self.runtime.accept_request(self.now, RequestContext::new(id, rule_set, customer, taken, ends));
        self.settle();
    }

    fn end(&mut self, at: Nanos, id: u64, number: usize, fails: bool) {
        let how = if fails { DispatchOutcome::NoConnection } else { DispatchOutcome::Done };
        let end = DispatchResult { outcome: how, duration: self.takes, is_final: !fails, load_report: &[] };
        self.runtime.handle_dispatch_ended(at.max(self.now - self.gap), id, number, end);
        self.settle();
    }

    fn settle(&mut self) {
        self.runtime.run_due_work(self.now);
        for act in self.runtime.take_actions() {
            if matches!(
                act,
                Action::Send { dispatch_index: 0, .. } | Action::Deny { .. } | Action::Abort { .. }
            ) {
                self.waiting -= 1;
            }
            if let Action::Send { request_id: id, dispatch_index: number, endpoint: srv, .. } = act {
                let fails = id.is_multiple_of(self.fails) || (self.broken && srv.ends_with('0'));
                self.out.push_back((self.now + self.takes, id, number, fails));
            }
        }
    }
}

fn bench(bencher: Bencher, road: Road) {
    let road = RefCell::new(road.warm());
    bencher.counter(ItemsCount::new(1u32)).bench_local(|| road.borrow_mut().req());
}

#[divan::bench(args = SIZES, sample_count = 200, sample_size = 200)]
fn calm(bencher: Bencher, size: u64) {
    bench(bencher, Road::new(size, false));
}

/// So many are in flight at once.
#[divan::bench(args = [1, 100, 1_000], consts = [10, 10_000], sample_count = 200, sample_size = 200)]
fn in_flight<const SIZE: u64>(bencher: Bencher, number: u64) {
    let mut road = Road::new(SIZE, false);
    road.gap = road.takes / number;
    bench(bencher, road);
}

/// One req in ten fails, on which its srv is judged and often set aside.
#[divan::bench(args = SIZES, sample_count = 200, sample_size = 200)]
fn a_tenth_fails(bencher: Bencher, size: u64) {
    let mut road = Road::new(size, false);
    road.fails = 10;
    bench(bencher, road);
}

/// One srv in ten fails whatever it gets, and is set aside again and again.
#[divan::bench(args = SIZES, sample_count = 200, sample_size = 200)]
fn a_tenth_is_set_aside(bencher: Bencher, size: u64) {
    let mut road = Road::new(size, false);
    road.broken = true;
    bench(bencher, road);
}

/// So many wait in the queue, and one comes for each that ends.
#[divan::bench(args = [1, 100, 1_000], consts = [10, 10_000], sample_count = 100, sample_size = 50)]
fn held<const SIZE: u64>(bencher: Bencher, number: i64) {
    let mut road = Road::new(SIZE, false);
    road.gap = MS / 20;
    let mut road = road.warm();
    while road.waiting < number {
        road.take();
    }
    let road = RefCell::new(road);
    bencher.counter(ItemsCount::new(1u32)).bench_local(|| {
        let mut road = road.borrow_mut();
        if let Some((_, id, dispatch, _)) = road.out.pop_front() {
            let now = road.now;
            road.end(now, id, dispatch, false);
        }
        while road.waiting < number {
            road.take();
        }
    });
    let left = road.borrow().waiting;
    assert!((number..=number * 2 + 10).contains(&left), "{left} wait, not {number}");
}

/// A third of the srvs started with the run.
#[divan::bench(args = SIZES, sample_count = 200, sample_size = 200)]
fn a_third_is_cold(bencher: Bencher, size: u64) {
    bench(bencher, Road::new(size, true));
}

/// Answers come so late that reqs are held and denied.
#[divan::bench(args = SIZES, sample_count = 200, sample_size = 200)]
fn overload(bencher: Bencher, size: u64) {
    let mut road = Road::new(size, false);
    road.takes = 900 * MS;
    // More than the levels of so many let in.
    road.gap = (MS * 100 / size).clamp(MS / 50, MS);
    bench(bencher, road);
}

#[divan::bench(args = SIZES, sample_count = 100, sample_size = 20)]
fn one_entry_of_the_list_changes(bencher: Bencher, size: u64) {
    let road = RefCell::new(Road::new(size, false).warm());
    let number = RefCell::new(0);
    bencher.bench_local(|| {
        let (mut road, mut number) = (road.borrow_mut(), number.borrow_mut());
        *number += 1;
        let mut entry = listed(*number * 7919 % road.size, None);
        entry.state = if *number % 2 == 0 { EndpointState::Up } else { EndpointState::Draining };
        let now = road.now;
        road.runtime.handle_event(
            now,
            Event::EndpointsListed { is_complete: false, is_stale: false, endpoints: &[entry] },
        );
    });
}

#[divan::bench(args = SIZES, sample_count = 20, sample_size = 1)]
fn a_whole_list_is_applied(bencher: Bencher, size: u64) {
    let entries: Vec<ListedEndpoint> = (0..size).map(|number| listed(number, None)).collect();
    bencher.with_inputs(|| Road::new(0, false)).bench_local_values(|mut road| {
        road.runtime.handle_event(
            road.now,
            Event::EndpointsListed { is_complete: true, is_stale: false, endpoints: &entries },
        );
        road
    });
}

/// The same list again, as after each call to discovery that starts anew.
#[divan::bench(args = SIZES, sample_count = 20, sample_size = 1)]
fn a_whole_list_brings_nothing_new(bencher: Bencher, size: u64) {
    let entries: Vec<ListedEndpoint> = (0..size).map(|number| listed(number, None)).collect();
    let road = RefCell::new(Road::new(size, false));
    bencher.bench_local(|| {
        let mut road = road.borrow_mut();
        let now = road.now;
        road.runtime.handle_event(
            now,
            Event::EndpointsListed { is_complete: true, is_stale: false, endpoints: &entries },
        );
    });
}
