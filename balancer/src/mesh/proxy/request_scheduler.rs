//! The decision module at work for one service: decides where each attempt goes, and whether it is retried or rejected.
//!
//! The way of a request: [`RequestScheduler::schedule`] hands it to the module; what is to be done for it arrives as
//! [`SchedulerAction`]s at its [`ScheduledRequest`]. The outbound proxy carries them out and reports each attempt with
//! [`ScheduledRequest::attempt_started`] and [`ScheduledRequest::attempt_ended`], which may lead to further actions.
//!
//! Main types: [`RequestScheduler`] (one for each [`SchedulerKey`]), [`SchedulerPlan`] and [`ServiceSettings`] (what the module
//! is configured with), [`Endpoint`].
//!
//! Invariants:
//! - Nothing here decides about a request: the module does, by the facts and endpoints that it is given.
//! - No I/O.
//! - A scheduler with the same settings is kept across changes of configuration, since a new one has to learn the upstreams
//!   anew.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, Weak};

use ochreshed::{
    Balancer, DispatchOutcome, EndpointState, Event, ListedEndpoint, Name, Nanos, ParameterValue, Parameters,
    RequestContext,
};
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
use crate::connection::lock;
use crate::mesh::settings::OperatingBounds;

const MS: Nanos = 1_000_000;
/// An upstream that has just started counts as warming up for this long at most, and begins with this share of its load.
const SLOW_START: Nanos = 4_000 * MS;
const SLOW_START_INITIAL_SHARE: f64 = 0.4;
/// How many inbound proxies may reject a request before the client is rejected, and how many of one zone before the request
/// goes to another zone.
const MAX_REJECTIONS: f64 = 4.0;
const MAX_REJECTIONS_PER_ZONE: f64 = 2.0;
/// Upstreams of other zones count with this share of their weight while one of the own zone accepts requests.
const OTHER_ZONE_WEIGHT: f64 = 0.001;

/// What the decision module wants done for one request.
#[derive(Debug)]
pub enum SchedulerAction {
    /// Make an attempt at this upstream. `number` identifies it in [`ScheduledRequest::attempt_ended`]; it is to be ended at
    /// `give_up`.
    Send { number: usize, srv: Name, give_up: Nanos },
    /// Cancel the attempt that is out, if that is allowed for the route.
    Cancel,
    /// Give the request up. The client may retry after `come_back`; 0 leaves that to the outbound proxy.
    Reject { come_back: Nanos },
    /// Give the request up; it may have run.
    Fail,
}

/// Identifies a scheduler. Requests with large responses and those of each member have schedulers of their own, so that they
/// don't change what is learnt for others.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct SchedulerKey {
    pub service: Name,
    pub is_large: bool,
    /// The member whose routes it is for; none for the platform's.
    pub member: Option<Name>,
}

/// The scheduler for requests of a route that go to this service.
pub fn scheduler_key(service: &Name, route: &Route) -> SchedulerKey {
    let member = route.share.as_ref().map(|share| share.member.clone());
    SchedulerKey {
        service: service.clone(),
        is_large: route.repeat_policy == RepeatPolicy::LargeResponse,
        member,
    }
}

/// A kind of requests that the decision module treats alike. The order of the fields is the order in which the module gets
/// them.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Debug)]
struct RouteClass {
    /// See [`route_class`].
    name: String,
    /// Whether its requests may run more than once.
    repeatable: bool,
    latency_target_ms: u64,
    /// 0 is the most important; each further one halves the value of a response.
    priority: u32,
}

/// What a configuration says of the requests of one scheduler.
#[derive(Clone, PartialEq, Debug)]
pub struct SchedulerPlan {
    pub service: Name,
    /// For requests with large responses. These stay in the zone while an upstream there accepts requests: their bytes cost
    /// more than a rejection.
    pub large: bool,
    /// The member whose routes these are; none for the platform's.
    pub member: Option<Name>,
    /// The classes of its routes, sorted and without duplicates.
    route_classes: Vec<RouteClass>,
    /// Greatest number of attempts that any of its routes allows.
    max_attempts: u32,
}

impl SchedulerPlan {
    /// The scheduler that this plan is for.
    pub fn key(&self) -> SchedulerKey {
        SchedulerKey { service: self.service.clone(), is_large: self.large, member: self.member.clone() }
    }

    /// The plans for all services to which any route goes, in the order of their keys.
    pub fn for_configuration(configuration: &Configuration) -> Vec<SchedulerPlan> {
        let mut plans: BTreeMap<SchedulerKey, SchedulerPlan> = BTreeMap::new();
        for route in configuration.routes() {
            for WeightedService { name: service, .. } in &route.services {
                let key = scheduler_key(service, route);
                let plan = plans.entry(key).or_insert_with_key(|key| SchedulerPlan {
                    service: key.service.clone(),
                    large: key.is_large,
                    member: key.member.clone(),
                    route_classes: Vec::new(),
                    max_attempts: 1,
                });
                plan.route_classes.push(RouteClass {
                    name: route_class(route),
                    repeatable: route.repeat_policy.repeatable(),
                    latency_target_ms: route.latency_target_ms,
                    priority: route.priority,
                });
                plan.max_attempts = plan.max_attempts.max(route.max_attempts);
            }
        }
        let mut plans: Vec<SchedulerPlan> = plans.into_values().collect();
        for plan in &mut plans {
            plan.route_classes.sort();
            plan.route_classes.dedup();
        }
        plans
    }
}

/// What the decision module of a scheduler is configured with. A change of any of it begins a new module.
#[derive(Clone, PartialEq, Debug)]
pub struct ServiceSettings {
    plan: SchedulerPlan,
    /// How many outbound proxies there are, rounded to a power of two.
    pub outbound_proxies: u64,
    /// Whether the service's upstreams call other services.
    pub calls: bool,
    /// Retries that all outbound proxies together may make, as a share of first attempts.
    pub retry_ratio: f64,
    /// Retries that all outbound proxies together may make beside that in the budget's window.
    pub retry_slack: f64,
}

/// The name of a route's class: whether its requests are repeatable, its latency target in ms and its priority.
pub fn route_class(route: &Route) -> String {
    format!(
        "{}-{}-{}",
        if route.repeat_policy.repeatable() { "again" } else { "once" },
        route.latency_target_ms,
        route.priority
    )
}

impl ServiceSettings {
    /// Settings for a plan. `outbound_proxies` is how many there are now; `calls_services` whether an upstream of the service
    /// has called others.
    pub fn new(
        plan: &SchedulerPlan,
        outbound_proxies: usize,
        calls_services: bool,
        budget: &OperatingBounds,
    ) -> ServiceSettings {
        // Only the magnitude of the number matters, and each change makes the module learn anew: it is rounded to a power of
        // two.
        let outbound_proxies = 2u64.pow((outbound_proxies.max(1) as f64).log2().round() as u32);
        // Half of the retry budget is kept for what no outbound proxy can know: nested calls of runs elsewhere, proxies that
        // have just started, and windows that begin at different times.
        ServiceSettings {
            plan: plan.clone(),
            outbound_proxies,
            calls: calls_services,
            retry_ratio: budget.retry_ratio / 2.0,
            retry_slack: budget.retry_slack / 6.0,
        }
    }

    /// The limits that the module reads from its facts, for the counts that this process reports.
    fn retry_limits(&self) -> RetryLimits {
        let floor = (self.retry_slack / self.outbound_proxies.max(1) as f64).min(1.0);
        RetryLimits {
            max_attempts: self.plan.max_attempts,
            last_tier: !self.calls,
            ratio: self.retry_ratio.clamp(0.0, 0.1),
            floor,
        }
    }

    fn is_repeatable(&self, class_name: &str) -> bool {
        self.plan.route_classes.iter().any(|class| class.name == class_name && class.repeatable)
    }

    /// The settings as the decision module reads them.
    fn facts(&self) -> Parameters {
        let number = |value: f64| ParameterValue::Number(value);
        let class_facts = |class: &RouteClass| {
            let utility = 0.5f64.powi(class.priority.min(8) as i32);
            Parameters::from([
                ("name".into(), ParameterValue::Text((*class.name).into())),
                ("response_target".into(), ParameterValue::Duration(class.latency_target_ms * MS)),
                ("utility".into(), number(utility)),
                ("late_utility".into(), number(0.2 * utility)),
                (
                    "effect".into(),
                    ParameterValue::Text(
                        if class.repeatable { "replayable" } else { "non-replayable" }.into(),
                    ),
                ),
            ])
        };
        Parameters::from([
            ("instances".into(), number(self.outbound_proxies as f64)),
            // The concurrency limit of an upstream is kept by the inbound proxy beside it, not by the module.
            ("level".into(), ParameterValue::Text("doors".into())),
            ("report_in_flight".into(), number(0.0)),
            ("again_part".into(), number(self.retry_ratio)),
            ("again_floor".into(), number(self.retry_slack)),
            ("most_turned".into(), number(MAX_REJECTIONS)),
            ("most_turned_by_site".into(), number(MAX_REJECTIONS_PER_ZONE)),
            ("tier".into(), number(0.0)),
            ("tiers".into(), number(if self.calls { 2.0 } else { 1.0 })),
            ("max_dispatches".into(), number(f64::from(self.plan.max_attempts))),
            ("may_recall".into(), ParameterValue::Flag(true)),
            ("come_back_passed".into(), ParameterValue::Flag(true)),
            ("max_come_back".into(), ParameterValue::Duration(1_000 * MS)),
            ("cold".into(), ParameterValue::Duration(SLOW_START)),
            ("cold_share".into(), number(SLOW_START_INITIAL_SHARE)),
            (
                "rule_sets".into(),
                ParameterValue::List(self.plan.route_classes.iter().map(class_facts).collect()),
            ),
        ])
    }
}

/// Where an upstream is reached.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// The inbound proxy beside the upstream.
    pub inbound_proxy: SocketAddr,
    /// The incarnation of the upstream.
    pub upstream_id: Name,
    /// Failure domain of its node.
    pub zone: Name,
}

struct SchedulerState {
    /// The decision module with the requests that it holds.
    policy: Hands,
    /// Where the actions for each request go, by its id.
    action_senders: HashMap<u64, mpsc::UnboundedSender<SchedulerAction>>,
    last_id: u64,
    /// When the module next wants to be asked.
    wake_at: Nanos,
    /// The endpoints as the module was last told them.
    listed: HashMap<Name, ListedEndpoint>,
    endpoints: HashMap<Name, Endpoint>,
    retry_account: RetryAccount,
    /// The retry budget of the service where it is divided among members and the platform; else the scheduler has its own.
    retry_pool: Option<Arc<Mutex<RetryPool>>>,
}

/// Schedules the requests of one service, or of one member to it.
pub struct RequestScheduler {
    pub service: Name,
    pub settings: ServiceSettings,
    clock: Clock,
    inner: Mutex<SchedulerState>,
    /// Wakes the timer, when the module wants to be asked sooner than before.
    woken: Notify,
}

/// A request that the decision module holds. Dropping it before [`ScheduledRequest::finish`] tells the module that the client
/// has gone.
pub struct ScheduledRequest {
    scheduler: Arc<RequestScheduler>,
    /// Identifies the request at its scheduler.
    pub id: u64,
    /// What is to be done for it, in this order.
    pub actions: mpsc::UnboundedReceiver<SchedulerAction>,
    /// It has its final answer, or the module has given it up.
    finished: bool,
    attempts: RequestAttempts,
}

impl RequestScheduler {
    /// The previous scheduler if its settings are the same; else one with a new module, which takes over the previous one's
    /// retry account. `window` is the time over which attempts are counted.
    pub fn of(
        previous: Option<Arc<RequestScheduler>>,
        (service, settings): (Name, ServiceSettings),
        clock: Clock,
        seed: impl FnOnce() -> u64,
        window: Nanos,
    ) -> Arc<RequestScheduler> {
        let limits = settings.retry_limits();
        let retry_account = match previous {
            Some(scheduler) if scheduler.settings == settings => return scheduler,
            Some(scheduler) => lock(&scheduler.inner).retry_account.restart(window, limits),
            None => RetryAccount::new(window, limits),
        };
        RequestScheduler::new(service, settings, clock, seed(), retry_account)
    }

    fn new(
        service: Name,
        settings: ServiceSettings,
        clock: Clock,
        seed: u64,
        retry_account: RetryAccount,
    ) -> Arc<RequestScheduler> {
        let now = clock.now();
        let policy = Hands::new(Balancer::new(now, seed, settings.facts()));
        let inner = SchedulerState {
            policy,
            action_senders: HashMap::new(),
            last_id: 0,
            wake_at: Nanos::MAX,
            listed: HashMap::new(),
            endpoints: HashMap::new(),
            retry_account,
            retry_pool: None,
        };
        let scheduler = Arc::new(RequestScheduler {
            service,
            settings,
            clock,
            inner: Mutex::new(inner),
            woken: Notify::new(),
        });
        tokio::spawn(RequestScheduler::run_timer(Arc::downgrade(&scheduler)));
        scheduler
    }

    /// Asks the module whenever it wants to be asked, for as long as anybody else keeps the scheduler.
    async fn run_timer(scheduler: Weak<RequestScheduler>) {
        loop {
            let (clock, wake) = {
                let Some(scheduler) = scheduler.upgrade() else { return };
                let wake = scheduler.dispatch_actions(&mut lock(&scheduler.inner));
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

    /// From now on its retries are bounded by its share of this pool; with `None`, by its own settings again.
    pub fn set_pool(&self, pool: Option<&Arc<Mutex<RetryPool>>>) {
        let mut inner = lock(&self.inner);
        match pool {
            Some(pool) => lock(pool).adopt(self.settings.plan.member.as_ref(), &inner.retry_account),
            None if inner.retry_pool.is_none() => return,
            None => {
                let RetryLimits { ratio, floor, .. } = self.settings.retry_limits();
                inner.policy.allow(ratio, floor);
                inner.retry_account.set_allowance(ratio, floor);
            }
        }
        inner.retry_pool = pool.cloned();
    }

    /// Tells the module how many retries it may make now, if the retry budget is divided.
    fn update_retry_allowance(&self, inner: &mut SchedulerState, now: Nanos) {
        let Some(pool) = &inner.retry_pool else { return };
        let RetryLimits { ratio, floor, .. } = self.settings.retry_limits();
        let left = lock(pool).remaining(now, self.settings.plan.member.as_ref(), ratio, floor);
        // The module bounds the retries that it has made itself since it began anew, so that these are added to what is left.
        let floor = left + f64::from(inner.retry_account.policy_counts(now).retried);
        inner.policy.allow(0.0, floor);
        inner.retry_account.set_allowance(0.0, floor);
    }

    /// Counts attempts in the divided retry budget, if there is one.
    fn count_in_pool(&self, inner: &SchedulerState, now: Nanos, counts: AttemptCounts) {
        if let Some(pool) = &inner.retry_pool {
            lock(pool).add(now, self.settings.plan.member.as_ref(), counts);
        }
    }

    /// Lets the module decide, and hands its actions to the requests, until it wants nothing more done. Returns when it next
    /// wants to be asked.
    fn dispatch_actions(&self, inner: &mut SchedulerState) -> Nanos {
        loop {
            let now = self.clock.now();
            self.update_retry_allowance(inner, now);
            let wake = inner.policy.settle(now);
            let acts = inner.policy.acts();
            if acts.is_empty() {
                inner.wake_at = wake;
                return wake;
            }
            for act in acts {
                let (id, action) = match act {
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
                    // The module is told the endpoints by `update_endpoints`, so that nothing is watched or probed for it here.
                    Act::Watch | Act::List | Act::Probe(_) | Act::Close(_) => continue,
                };
                if let Some(actions) = inner.action_senders.get(&id) {
                    let _ = actions.send(action);
                }
            }
        }
    }

    /// Dispatches actions, and wakes the timer if the module now wants to be asked sooner.
    fn dispatch_and_wake(&self, inner: &mut SchedulerState) {
        let before = inner.wake_at;
        if self.dispatch_actions(inner) < before {
            self.woken.notify_one();
        }
    }

    /// Hands a request to the module, which may act on it at once. Its id is set here.
    pub fn schedule(self: &Arc<Self>, mut req: RequestContext) -> ScheduledRequest {
        let mut inner = lock(&self.inner);
        inner.last_id += 1;
        let id = inner.last_id;
        req.id = id;
        let (sender, actions) = mpsc::unbounded_channel();
        inner.action_senders.insert(id, sender);
        let now = self.clock.now();
        let attempts = RequestAttempts::new(self.settings.is_repeatable(&req.rule_set), req.deadline);
        if req.is_client_retry {
            inner.retry_account.nested_call_retried(now);
            self.count_in_pool(&inner, now, AttemptCounts { retried: 1, ..AttemptCounts::default() });
        }
        self.update_retry_allowance(&mut inner, now);
        inner.policy.take(now, req);
        self.dispatch_and_wake(&mut inner);
        ScheduledRequest { scheduler: self.clone(), id, actions, finished: false, attempts }
    }

    /// First attempts, retries and retries refused for lack of budget, in the budget's window.
    pub fn attempt_counts(&self) -> AttemptCounts {
        lock(&self.inner).retry_account.reported_counts(self.clock.now())
    }

    /// Whether this incarnation of an upstream is known and accepts requests.
    pub fn accepts_requests(&self, srv: &Name) -> bool {
        lock(&self.inner).listed.get(srv).is_some_and(|listed| listed.state == EndpointState::Up)
    }

    /// Where this incarnation of an upstream is reached, if it is known.
    pub fn endpoint(&self, srv: &Name) -> Option<Endpoint> {
        lock(&self.inner).endpoints.get(srv).cloned()
    }

    /// Tells the module the endpoints of the service as they are now, if that differs from what it knows. `zone` is that of
    /// this node; `suspected` are inbound proxies to which nothing new is sent.
    pub fn update_endpoints<'a>(
        &self,
        records: impl Iterator<Item = &'a ReceivedRecord>,
        suspected: &HashSet<SocketAddr>,
        zone: &str,
    ) {
        let mut inner = lock(&self.inner);
        let now = self.clock.now();
        let records: Vec<&ReceivedRecord> =
            records.filter(|received| !received.record.upstream_id.is_empty()).collect();
        let accepts = |record: &EndpointRecord| {
            record.accepts_clients
                && record.state == UpstreamState::Serving
                && !suspected.contains(&record.inbound_proxy)
        };
        let near = records.iter().any(|received| received.record.zone == zone && accepts(&received.record));
        let mut current = HashMap::new();
        let wanted = |record: &EndpointRecord| !(self.settings.plan.large && near) || record.zone == zone;
        for ReceivedRecord { record, received_at } in
            records.into_iter().filter(|received| wanted(&received.record))
        {
            let state = if accepts(record) {
                EndpointState::Up
            } else if record.state == UpstreamState::Absent || !record.accepts_clients {
                EndpointState::Gone
            } else {
                EndpointState::Draining
            };
            let srv: Name = record.upstream_id.as_str().into();
            let was = inner.listed.get(&srv);
            let came_up = was.and_then(|was| was.started_at);
            let warm_at = received_at + record.warming_up_ms * MS;
            let came_up = came_up.or((warm_at > now).then(|| warm_at.saturating_sub(SLOW_START)));
            let far = near && record.zone != zone;
            let weight =
                f64::from(record.concurrency_limit.max(1)) * if far { OTHER_ZONE_WEIGHT } else { 1.0 };
            let site: Name = record.zone.as_str().into();
            let listed = ListedEndpoint {
                name: srv.clone(),
                state,
                started_at: came_up,
                weight,
                site: site.clone(),
                cell: 0,
            };
            current.insert(
                srv.clone(),
                (listed, Endpoint { inbound_proxy: record.inbound_proxy, upstream_id: srv, zone: site }),
            );
        }
        let is_same = |(srv, (listed, endpoint)): (&Name, &(ListedEndpoint, Endpoint))| {
            let was = inner.listed.get(srv).map(|was| (was.state, was.weight, was.started_at, &was.site));
            was == Some((listed.state, listed.weight, listed.started_at, &listed.site))
                && inner.endpoints.get(srv) == Some(endpoint)
        };
        if current.len() == inner.listed.len() && current.iter().all(is_same) {
            return;
        }
        let entries: Vec<ListedEndpoint> = current.values().map(|(listed, _)| listed.clone()).collect();
        inner.endpoints =
            current.iter().map(|(srv, (_, endpoint))| (srv.clone(), endpoint.clone())).collect();
        inner.listed = current.into_iter().map(|(srv, (listed, _))| (srv, listed)).collect();
        inner
            .policy
            .news(now, Event::EndpointsListed { is_complete: true, is_stale: false, endpoints: &entries });
        self.dispatch_and_wake(&mut inner);
    }
}

#[cfg(test)]
impl ServiceSettings {
    /// As if all its routes were those of this member, with this greatest number of attempts.
    pub fn of_member(&mut self, member: Name, max_attempts: u32) {
        (self.plan.member, self.plan.max_attempts) = (Some(member), max_attempts);
    }
}

impl ScheduledRequest {
    /// To be called when an attempt is sent. Returns what was counted for it: a first attempt or a retry.
    pub fn attempt_started(&self) -> AttemptCounts {
        let (mut inner, now) = (lock(&self.scheduler.inner), self.scheduler.clock.now());
        let counted = inner.retry_account.attempt_started(now, &self.attempts);
        self.scheduler.count_in_pool(&inner, now, counted);
        counted
    }

    /// To be called when an attempt has ended, after `took`. `closed` says that its response is the final answer of the
    /// request; `inside` is the load that the inbound proxy reported, if it did.
    pub fn attempt_ended(
        &mut self,
        number: usize,
        how: DispatchOutcome,
        took: Nanos,
        closed: bool,
        inside: Option<f64>,
    ) {
        let mut inner = lock(&self.scheduler.inner);
        self.attempts.ended(how);
        self.finished |= closed;
        let now = self.scheduler.clock.now();
        self.scheduler.update_retry_allowance(&mut inner, now);
        inner.policy.ended(now, self.id, number, End { how, took, closed, report: inside.as_slice() });
        self.scheduler.dispatch_and_wake(&mut inner);
    }

    /// To be called when the module has given the request up, or its final answer is made without one. Returns what was
    /// counted for that: a retry that was refused.
    pub fn finish(&mut self) -> AttemptCounts {
        self.finished = true;
        lock(&self.scheduler.inner).retry_account.request_given_up(self.scheduler.clock.now(), &self.attempts)
    }
}

impl Drop for ScheduledRequest {
    fn drop(&mut self) {
        let mut inner = lock(&self.scheduler.inner);
        inner.action_senders.remove(&self.id);
        if !self.finished {
            let now = self.scheduler.clock.now();
            inner.policy.left(now, self.id);
            // An attempt that is out ends with the request. Its number isn't kept here, so that all that can occur are ended.
            for number in 0..64 {
                inner.policy.ended(
                    now,
                    self.id,
                    number,
                    End { how: DispatchOutcome::Cancelled, took: 0, closed: true, report: &[] },
                );
            }
            self.scheduler.dispatch_and_wake(&mut inner);
        }
    }
}
