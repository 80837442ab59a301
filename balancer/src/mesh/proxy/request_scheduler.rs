//! The module at work for one service: a gate asks here where a req goes. It owns the hands that hold the service's
//! reqs, the list as the module is told it, and the timer. It must never decide itself, nor do I/O.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, Weak};

use ochreshed::{Balancer, Facts, How, Listed, Name, Nanos, Outcome, Req, State, Value};
use ochreshed_catalog::configuration::WeightedService;
use ochreshed_catalog::configuration::{Configuration, RepeatPolicy, Route};
use ochreshed_catalog::endpoints::{EndpointRecord, UpstreamState};
use ochreshed_catalog::traffic_reports::AttemptCounts;
use ochreshed_catalog::watch_client::ReceivedRecord;
use ochreshed_hands::{Act, End, Hands};
use ochreshed_traffic::retry_budget::{RequestAttempts, RetryAccount, RetryLimits};
use ochreshed_traffic::retry_shares::RetryPool;
use tokio::sync::{Notify, mpsc};
use tokio::time::sleep_until;

use crate::clock::Clock;
use crate::link::held;
use crate::mesh::settings::OperatingBounds;

const MS: Nanos = 1_000_000;
/// A srv that has just started counts as cold for so long at most, and does this part of its work at first.
const SLOW_START: Nanos = 4_000 * MS;
const SLOW_START_INITIAL_SHARE: f64 = 0.4;
/// So many doors may turn a req away before it is denied, and so many of one zone before it goes to another.
const MAX_REJECTIONS: f64 = 4.0;
const MAX_REJECTIONS_PER_ZONE: f64 = 2.0;
/// Upstreams of other zones count with this part of their weight while the near ones stand.
const OTHER_ZONE_WEIGHT: f64 = 0.001;

/// What the module wants done for one req.
#[derive(Debug)]
pub enum SchedulerAction {
    Send { number: usize, srv: Name, give_up: Nanos },
    Cancel,
    Reject { come_back: Nanos },
    Fail,
}

/// Which desk: by service, whether for large answers, and whose routes.
pub type SchedulerKey = (Name, bool, Option<Name>);

/// Where the reqs of a route go for a service.
pub fn scheduler_key(line: &Name, route: &Route) -> SchedulerKey {
    let member = route.share.as_ref().map(|share| share.member.clone());
    (line.clone(), route.repeat_policy == RepeatPolicy::LargeResponse, member)
}

/// What a configuration tells of the reqs for one service, those with large answers and those of each member apart.
#[derive(Clone, PartialEq, Debug)]
pub struct SchedulerPlan {
    pub line: Name,
    /// Reqs with large answers, which stay near while anyone near takes reqs: their bytes cost more than a refusal.
    pub large: bool,
    /// Whose routes these are; none for the platform's.
    pub member: Option<Name>,
    /// Kinds of req by what matters to the module: kind, target and rank.
    shapes: Vec<(String, bool, u64, u32)>,
    tries: u32,
}

impl SchedulerPlan {
    pub fn key(&self) -> SchedulerKey {
        (self.line.clone(), self.large, self.member.clone())
    }

    /// For all services to which any route goes.
    pub fn for_configuration(configuration: &Configuration) -> Vec<SchedulerPlan> {
        let mut plans: BTreeMap<SchedulerKey, SchedulerPlan> = BTreeMap::new();
        for route in configuration.routes() {
            for WeightedService { name: line, .. } in &route.services {
                let key = scheduler_key(line, route);
                let plan = plans.entry(key).or_insert_with_key(|(line, large, member)| SchedulerPlan {
                    line: line.clone(),
                    large: *large,
                    member: member.clone(),
                    shapes: Vec::new(),
                    tries: 1,
                });
                plan.shapes.push((
                    route_class(route),
                    route.repeat_policy.repeatable(),
                    route.latency_target_ms,
                    route.priority,
                ));
                plan.tries = plan.tries.max(route.max_attempts);
            }
        }
        let mut plans: Vec<SchedulerPlan> = plans.into_values().collect();
        for plan in &mut plans {
            plan.shapes.sort();
            plan.shapes.dedup();
        }
        plans
    }
}

/// What a service's module is told once and for all.
#[derive(Clone, PartialEq, Debug)]
pub struct ServiceSettings {
    plan: SchedulerPlan,
    /// How many gates there are, in coarse steps.
    pub outbound_proxies: u64,
    /// Its upstreams call other services.
    pub calls: bool,
    /// What all gates together may send again: a part of the first sends, and so many in the budget's window.
    pub allowance: (f64, f64),
}

/// The name of a route's shape.
pub fn route_class(route: &Route) -> String {
    format!(
        "{}-{}-{}",
        if route.repeat_policy.repeatable() { "again" } else { "once" },
        route.latency_target_ms,
        route.priority
    )
}

impl ServiceSettings {
    pub fn new(plan: &SchedulerPlan, gates: usize, calls: bool, budget: &OperatingBounds) -> ServiceSettings {
        // A new count matters by its size only: each change of these makes the module learn anew.
        let gates = 2u64.pow((gates.max(1) as f64).log2().round() as u32);
        // Half of what the rules leave is kept for what no gate can know: calls of runs elsewhere, gates that have just
        // started, windows that don't fall together.
        let allowance = (budget.retry_ratio / 2.0, budget.retry_slack / 6.0);
        ServiceSettings { plan: plan.clone(), outbound_proxies: gates, calls, allowance }
    }

    /// The same bounds as the module reads out of its facts, for the counts that are told.
    fn terms(&self) -> RetryLimits {
        let (part, slack) = self.allowance;
        let floor = (slack / self.outbound_proxies.max(1) as f64).min(1.0);
        RetryLimits {
            max_attempts: self.plan.tries,
            last_tier: !self.calls,
            ratio: part.clamp(0.0, 0.1),
            floor,
        }
    }

    fn repeatable(&self, shape: &str) -> bool {
        self.plan.shapes.iter().any(|(name, repeatable, ..)| name == shape && *repeatable)
    }

    fn facts(&self) -> Facts {
        let number = |value: f64| Value::Number(value);
        let rule_set = |(name, again, target, rank): &(String, bool, u64, u32)| {
            Facts::from([
                ("name".into(), Value::Text((**name).into())),
                ("response_target".into(), Value::Span(target * MS)),
                ("utility".into(), number(0.5f64.powi((*rank).min(8) as i32))),
                ("late_utility".into(), number(0.2 * 0.5f64.powi((*rank).min(8) as i32))),
                ("effect".into(), Value::Text(if *again { "replayable" } else { "non-replayable" }.into())),
            ])
        };
        Facts::from([
            ("instances".into(), number(self.outbound_proxies as f64)),
            // What a srv may have at once is held by the door beside it.
            ("level".into(), Value::Text("doors".into())),
            ("report_in_flight".into(), number(0.0)),
            ("again_part".into(), number(self.allowance.0)),
            ("again_floor".into(), number(self.allowance.1)),
            ("most_turned".into(), number(MAX_REJECTIONS)),
            ("most_turned_by_site".into(), number(MAX_REJECTIONS_PER_ZONE)),
            ("tier".into(), number(0.0)),
            ("tiers".into(), number(if self.calls { 2.0 } else { 1.0 })),
            ("max_dispatches".into(), number(f64::from(self.plan.tries))),
            ("may_recall".into(), Value::Flag(true)),
            ("come_back_passed".into(), Value::Flag(true)),
            ("max_come_back".into(), Value::Span(1_000 * MS)),
            ("cold".into(), Value::Span(SLOW_START)),
            ("cold_share".into(), number(SLOW_START_INITIAL_SHARE)),
            ("rule_sets".into(), Value::List(self.plan.shapes.iter().map(rule_set).collect())),
        ])
    }
}

/// Where an upstream is reached.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    pub inbound_proxy: SocketAddr,
    pub upstream_id: Name,
    pub zone: Name,
}

struct Inner {
    hands: Hands,
    steps: HashMap<u64, mpsc::UnboundedSender<SchedulerAction>>,
    next: u64,
    wake: Nanos,
    listed: HashMap<Name, Listed>,
    places: HashMap<Name, Endpoint>,
    spent: RetryAccount,
    /// Where the service's allowance is divided among members and the platform.
    pool: Option<Arc<Mutex<RetryPool>>>,
}

pub struct RequestScheduler {
    pub service: Name,
    pub settings: ServiceSettings,
    clock: Clock,
    inner: Mutex<Inner>,
    woken: Notify,
}

/// A req at the module. Dropped, its client has gone.
pub struct ScheduledRequest {
    scheduler: Arc<RequestScheduler>,
    pub id: u64,
    pub steps: mpsc::UnboundedReceiver<SchedulerAction>,
    over: bool,
    tally: RequestAttempts,
}

impl RequestScheduler {
    /// The one that stands, where it was told the same; else one whose module begins anew. Its counts go over the
    /// budget's window.
    pub fn of(
        was: Option<Arc<RequestScheduler>>,
        (line, told): (Name, ServiceSettings),
        clock: Clock,
        seed: impl FnOnce() -> u64,
        window: Nanos,
    ) -> Arc<RequestScheduler> {
        let terms = told.terms();
        let spent = match was {
            Some(scheduler) if scheduler.settings == told => return scheduler,
            Some(scheduler) => held(&scheduler.inner).spent.restart(window, terms),
            None => RetryAccount::new(window, terms),
        };
        RequestScheduler::new(line, told, clock, seed(), spent)
    }

    fn new(
        line: Name,
        told: ServiceSettings,
        clock: Clock,
        seed: u64,
        spent: RetryAccount,
    ) -> Arc<RequestScheduler> {
        let now = clock.now();
        let hands = Hands::new(Balancer::new(now, seed, told.facts()));
        let inner = Inner {
            hands,
            steps: HashMap::new(),
            next: 0,
            wake: Nanos::MAX,
            listed: HashMap::new(),
            places: HashMap::new(),
            spent,
            pool: None,
        };
        let scheduler = Arc::new(RequestScheduler {
            service: line,
            settings: told,
            clock,
            inner: Mutex::new(inner),
            woken: Notify::new(),
        });
        tokio::spawn(RequestScheduler::tend(Arc::downgrade(&scheduler)));
        scheduler
    }

    /// Asks the module when it wants to be asked, for as long as the desk is used.
    async fn tend(scheduler: Weak<RequestScheduler>) {
        loop {
            let (clock, wake) = {
                let Some(scheduler) = scheduler.upgrade() else { return };
                let wake = scheduler.settle(&mut held(&scheduler.inner));
                (scheduler.clock, wake)
            };
            let at = clock.instant(wake.min(clock.now() + 2_000 * MS));
            let Some(held) = scheduler.upgrade() else { return };
            tokio::select! {
                () = sleep_until(at) => {}
                () = held.woken.notified() => {}
            }
        }
    }

    /// From now on its part of an allowance that is divided is all it may send again; none: its own as it was told.
    pub fn set_pool(&self, pool: Option<&Arc<Mutex<RetryPool>>>) {
        let mut inner = held(&self.inner);
        match pool {
            Some(pool) => held(pool).adopt(self.settings.plan.member.as_ref(), &inner.spent),
            None if inner.pool.is_none() => return,
            None => {
                let RetryLimits { ratio: part, floor, .. } = self.settings.terms();
                inner.hands.allow(part, floor);
                inner.spent.set_allowance(part, floor);
            }
        }
        inner.pool = pool.cloned();
    }

    /// Tells the module what it may send again now, where that is divided.
    fn allow(&self, inner: &mut Inner, now: Nanos) {
        let Some(pool) = &inner.pool else { return };
        let RetryLimits { ratio: part, floor, .. } = self.settings.terms();
        let left = held(pool).remaining(now, self.settings.plan.member.as_ref(), part, floor);
        // The module goes by what it has sent again itself since it last learnt anew.
        let floor = left + f64::from(inner.spent.policy_counts(now).retried);
        inner.hands.allow(0.0, floor);
        inner.spent.set_allowance(0.0, floor);
    }

    fn count(&self, inner: &Inner, now: Nanos, figures: AttemptCounts) {
        if let Some(pool) = &inner.pool {
            held(pool).add(now, self.settings.plan.member.as_ref(), figures);
        }
    }

    fn settle(&self, inner: &mut Inner) -> Nanos {
        loop {
            let now = self.clock.now();
            self.allow(inner, now);
            let wake = inner.hands.settle(now);
            let acts = inner.hands.acts();
            if acts.is_empty() {
                inner.wake = wake;
                return wake;
            }
            for act in acts {
                let (id, step) = match act {
                    Act::Send { id, number, srv, give_up } => {
                        (id, SchedulerAction::Send { number, srv, give_up })
                    }
                    Act::Recall { id, .. } => (id, SchedulerAction::Cancel),
                    Act::Deny { id, come_back } => (id, SchedulerAction::Reject { come_back }),
                    Act::Abort { id } => (id, SchedulerAction::Fail),
                    Act::Log(line) => {
                        log::info!("{}: {line}", self.service);
                        continue;
                    }
                    Act::Watch | Act::List | Act::Probe(_) | Act::Close(_) => continue,
                };
                if let Some(steps) = inner.steps.get(&id) {
                    let _ = steps.send(step);
                }
            }
        }
    }

    fn settle_and_wake(&self, inner: &mut Inner) {
        let before = inner.wake;
        if self.settle(inner) < before {
            self.woken.notify_one();
        }
    }

    /// Takes a req; what is to be done for it comes as steps.
    pub fn schedule(self: &Arc<Self>, mut req: Req) -> ScheduledRequest {
        let mut inner = held(&self.inner);
        inner.next += 1;
        let id = inner.next;
        req.id = id;
        let (steps, got) = mpsc::unbounded_channel();
        inner.steps.insert(id, steps);
        let now = self.clock.now();
        let tally = RequestAttempts::new(self.settings.repeatable(&req.rule_set), req.ends);
        if req.again {
            inner.spent.nested_call_retried(now);
            self.count(&inner, now, AttemptCounts { retried: 1, ..AttemptCounts::default() });
        }
        self.allow(&mut inner, now);
        inner.hands.take(now, req);
        self.settle_and_wake(&mut inner);
        ScheduledRequest { scheduler: self.clone(), id, steps: got, over: false, tally }
    }

    /// What of this service was sent, sent again and refused for want of allowance in the budget's window.
    pub fn attempt_counts(&self) -> AttemptCounts {
        held(&self.inner).spent.reported_counts(self.clock.now())
    }

    /// Whether this one is listed and takes reqs.
    pub fn accepts_requests(&self, srv: &Name) -> bool {
        held(&self.inner).listed.get(srv).is_some_and(|listed| listed.state == State::Up)
    }

    pub fn endpoint(&self, srv: &Name) -> Option<Endpoint> {
        held(&self.inner).places.get(srv).cloned()
    }

    /// Tells the module the list as it is now.
    pub fn update_endpoints<'a>(
        &self,
        records: impl Iterator<Item = &'a ReceivedRecord>,
        suspected: &HashSet<SocketAddr>,
        zone: &str,
    ) {
        let mut inner = held(&self.inner);
        let now = self.clock.now();
        let records: Vec<&ReceivedRecord> =
            records.filter(|received| !received.record.upstream_id.is_empty()).collect();
        let takes = |record: &EndpointRecord| {
            record.accepts_clients
                && record.state == UpstreamState::Serving
                && !suspected.contains(&record.inbound_proxy)
        };
        let near = records.iter().any(|received| received.record.zone == zone && takes(&received.record));
        let mut fresh = HashMap::new();
        let wanted = |record: &EndpointRecord| !(self.settings.plan.large && near) || record.zone == zone;
        for ReceivedRecord { record, received_at } in
            records.into_iter().filter(|received| wanted(&received.record))
        {
            let state = if takes(record) {
                State::Up
            } else if record.state == UpstreamState::Absent || !record.accepts_clients {
                State::Gone
            } else {
                State::Draining
            };
            let srv: Name = record.upstream_id.as_str().into();
            let was = inner.listed.get(&srv);
            let came_up = was.and_then(|was| was.came_up);
            let warm_at = received_at + record.warming_up_ms * MS;
            let came_up = came_up.or((warm_at > now).then(|| warm_at.saturating_sub(SLOW_START)));
            let far = near && record.zone != zone;
            let weight =
                f64::from(record.concurrency_limit.max(1)) * if far { OTHER_ZONE_WEIGHT } else { 1.0 };
            let site: Name = record.zone.as_str().into();
            let listed = Listed { srv: srv.clone(), state, came_up, weight, site: site.clone(), cell: 0 };
            fresh.insert(
                srv.clone(),
                (listed, Endpoint { inbound_proxy: record.inbound_proxy, upstream_id: srv, zone: site }),
            );
        }
        let same = |(srv, (listed, place)): (&Name, &(Listed, Endpoint))| {
            let was = inner.listed.get(srv).map(|was| (was.state, was.weight, was.came_up, &was.site));
            was == Some((listed.state, listed.weight, listed.came_up, &listed.site))
                && inner.places.get(srv) == Some(place)
        };
        if fresh.len() == inner.listed.len() && fresh.iter().all(same) {
            return;
        }
        let entries: Vec<Listed> = fresh.values().map(|(listed, _)| listed.clone()).collect();
        inner.places = fresh.iter().map(|(srv, (_, place))| (srv.clone(), place.clone())).collect();
        inner.listed = fresh.into_iter().map(|(srv, (listed, _))| (srv, listed)).collect();
        inner.hands.news(now, Outcome::List { whole: true, old: false, entries: &entries });
        self.settle_and_wake(&mut inner);
    }
}

#[cfg(test)]
impl ServiceSettings {
    /// As if all its routes were this member's, and with so many tries.
    pub fn of_member(&mut self, member: Name, tries: u32) {
        (self.plan.member, self.plan.tries) = (Some(member), tries);
    }
}

impl ScheduledRequest {
    /// A dispatch goes on its way. What was counted for it.
    pub fn attempt_started(&self) -> AttemptCounts {
        let (mut inner, now) = (held(&self.scheduler.inner), self.scheduler.clock.now());
        let counted = inner.spent.attempt_started(now, &self.tally);
        self.scheduler.count(&inner, now, counted);
        counted
    }

    /// A dispatch has ended; `closed` when its req has had its final answer by that.
    pub fn attempt_ended(&mut self, number: usize, how: How, took: Nanos, closed: bool, inside: Option<f64>) {
        let mut inner = held(&self.scheduler.inner);
        self.tally.ended(how);
        self.over |= closed;
        let now = self.scheduler.clock.now();
        self.scheduler.allow(&mut inner, now);
        inner.hands.ended(now, self.id, number, End { how, took, closed, report: inside.as_slice() });
        self.scheduler.settle_and_wake(&mut inner);
    }

    /// The module has given the req up. What was counted for that.
    pub fn finish(&mut self) -> AttemptCounts {
        self.over = true;
        held(&self.scheduler.inner).spent.request_given_up(self.scheduler.clock.now(), &self.tally)
    }
}

impl Drop for ScheduledRequest {
    fn drop(&mut self) {
        let mut inner = held(&self.scheduler.inner);
        inner.steps.remove(&self.id);
        if !self.over {
            let now = self.scheduler.clock.now();
            inner.hands.left(now, self.id);
            // Its dispatch, if one is out, ends with it.
            for number in 0..64 {
                inner.hands.ended(
                    now,
                    self.id,
                    number,
                    End { how: How::Recalled, took: 0, closed: true, report: &[] },
                );
            }
            self.scheduler.settle_and_wake(&mut inner);
        }
    }
}
