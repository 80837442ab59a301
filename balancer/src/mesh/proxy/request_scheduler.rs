//! Runs the policy (`ochreshed::Balancer`) for one service: it chooses the endpoint of each attempt and decides on retries
//! and rejections.
//!
//! Request path: [`RequestScheduler::schedule`] hands a request to the policy, whose decisions arrive as
//! [`SchedulerAction`]s at the [`ScheduledRequest`]. The outbound proxy executes them and reports each attempt with
//! [`ScheduledRequest::attempt_started`] and [`ScheduledRequest::attempt_ended`], which may lead to further actions.
//!
//! Main types: [`RequestScheduler`] (one for each [`SchedulerKey`]), [`SchedulerPlan`] and [`ServiceSettings`] (configuration
//! of the policy), [`Endpoint`].
//!
//! Invariants:
//! - Only the policy makes decisions, from the parameters and endpoints that it is given.
//! - No I/O.
//! - A scheduler with the same settings is kept across changes of configuration, since a new one must learn the state of the
//!   upstreams again.

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
use ochreshed_policy_runtime::{Action, DispatchResult, PolicyRuntime};
use ochreshed_traffic::retry_budget::{RequestAttempts, RetryAccount, RetryLimits};
use ochreshed_traffic::retry_shares::RetryPool;
use tokio::sync::{Notify, mpsc};
use tokio::time::sleep_until;

use crate::clock::Clock;
use crate::connection::lock;
use crate::mesh::settings::OperatingBounds;

const MS: Nanos = 1_000_000;
/// Longest slow start of an upstream that has just started.
const SLOW_START_DURATION: Nanos = 4_000 * MS;
/// Share of its load that an upstream gets at the beginning of its slow start.
const SLOW_START_INITIAL_SHARE: f64 = 0.4;
/// Number of inbound proxies that may reject a request before the client is rejected.
const MAX_REJECTIONS: f64 = 4.0;
/// Number of inbound proxies in one zone that may reject a request before it goes to another zone.
const MAX_REJECTIONS_PER_ZONE: f64 = 2.0;
/// Weight factor of upstreams in other zones while one in the node's own zone accepts requests.
const OTHER_ZONE_WEIGHT_FACTOR: f64 = 0.001;

/// A decision of the policy about one request.
#[derive(Debug)]
pub enum SchedulerAction {
    /// Make an attempt at this upstream, until `give_up_at` at the latest. `attempt_number` identifies the attempt in
    /// [`ScheduledRequest::attempt_ended`].
    Send { attempt_number: usize, upstream_id: Name, give_up_at: Nanos },
    /// Cancel the attempt in flight, if the route allows that.
    Cancel,
    /// Give up the request. The client may retry after `retry_after`; with 0 the outbound proxy chooses the time.
    Reject { retry_after: Nanos },
    /// Give up the request, which may have run.
    Fail,
}

/// Identifies a scheduler. Large responses and each member have schedulers of their own, so that they don't affect what is
/// learned for others.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct SchedulerKey {
    pub service: Name,
    pub is_large: bool,
    /// The member that owns the routes; none for the platform's.
    pub member: Option<Name>,
}

/// Key of the scheduler for a route's requests to this service.
pub fn scheduler_key(service: &Name, route: &Route) -> SchedulerKey {
    let member = route.share.as_ref().map(|share| share.member.clone());
    SchedulerKey {
        service: service.clone(),
        is_large: route.repeat_policy == RepeatPolicy::LargeResponse,
        member,
    }
}

/// A class of requests that the policy treats alike. The policy gets the classes in the order of these fields.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Debug)]
struct RouteClass {
    /// See [`route_class`].
    name: String,
    /// Whether its requests may run more than once.
    repeatable: bool,
    latency_target_ms: u64,
    /// 0 is the highest priority; each further step halves the utility of a response.
    priority: u32,
}

/// The part of a configuration that concerns one scheduler.
#[derive(Clone, PartialEq, Debug)]
pub struct SchedulerPlan {
    pub service: Name,
    /// The plan is for large responses. These stay in the zone while an upstream there accepts requests, since transferring
    /// them across zones costs more than a rejection.
    pub is_large: bool,
    /// The member that owns the routes; none for the platform's.
    pub member: Option<Name>,
    /// The classes of its routes, sorted and without duplicates.
    route_classes: Vec<RouteClass>,
    /// Greatest number of attempts that any of its routes allows.
    max_attempts: u32,
}

impl SchedulerPlan {
    /// Key of the scheduler that this plan is for.
    pub fn key(&self) -> SchedulerKey {
        SchedulerKey { service: self.service.clone(), is_large: self.is_large, member: self.member.clone() }
    }

    /// The plans for all services that have a route, in the order of their keys.
    pub fn for_configuration(configuration: &Configuration) -> Vec<SchedulerPlan> {
        let mut plans: BTreeMap<SchedulerKey, SchedulerPlan> = BTreeMap::new();
        for route in configuration.routes() {
            for WeightedService { name: service, .. } in &route.services {
                let key = scheduler_key(service, route);
                let plan = plans.entry(key).or_insert_with_key(|key| SchedulerPlan {
                    service: key.service.clone(),
                    is_large: key.is_large,
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

/// Configuration of a scheduler's policy. Any change creates a new policy instance.
#[derive(Clone, PartialEq, Debug)]
pub struct ServiceSettings {
    plan: SchedulerPlan,
    /// Number of outbound proxies, rounded to a power of two.
    pub outbound_proxies: u64,
    /// Whether the service's upstreams call other services.
    pub calls_services: bool,
    /// Retries of all outbound proxies together, as a share of first attempts.
    pub retry_ratio: f64,
    /// Retries of all outbound proxies together that are allowed in addition in one budget window.
    pub retry_slack: f64,
}

/// Name of a route's class: whether its requests are repeatable, its latency target in ms and its priority.
pub fn route_class(route: &Route) -> String {
    format!(
        "{}-{}-{}",
        if route.repeat_policy.repeatable() { "again" } else { "once" },
        route.latency_target_ms,
        route.priority
    )
}

impl ServiceSettings {
    /// Settings for a plan. `outbound_proxies` is their current number; `calls_services` says whether an upstream of the
    /// service has called other services.
    pub fn new(
        plan: &SchedulerPlan,
        outbound_proxies: usize,
        calls_services: bool,
        bounds: &OperatingBounds,
    ) -> ServiceSettings {
        // Each change makes the policy start learning again and only the magnitude of the number matters, so it is rounded to
        // a power of two.
        let outbound_proxies = 2u64.pow((outbound_proxies.max(1) as f64).log2().round() as u32);
        // Half of the retry budget is reserved for what an outbound proxy can't see: nested calls of runs on other nodes,
        // proxies that have just started, and windows that begin at different times.
        ServiceSettings {
            plan: plan.clone(),
            outbound_proxies,
            calls_services,
            retry_ratio: bounds.retry_ratio / 2.0,
            retry_slack: bounds.retry_slack / 6.0,
        }
    }

    /// The same limits as in the policy's parameters, for the counts that this process reports.
    fn retry_limits(&self) -> RetryLimits {
        let floor = (self.retry_slack / self.outbound_proxies.max(1) as f64).min(1.0);
        RetryLimits {
            max_attempts: self.plan.max_attempts,
            last_tier: !self.calls_services,
            ratio: self.retry_ratio.clamp(0.0, 0.1),
            floor,
        }
    }

    fn is_repeatable(&self, class_name: &str) -> bool {
        self.plan.route_classes.iter().any(|class| class.name == class_name && class.repeatable)
    }

    /// The settings in the form that the policy reads.
    fn parameters(&self) -> Parameters {
        let number = |value: f64| ParameterValue::Number(value);
        let class_parameters = |class: &RouteClass| {
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
            // The inbound proxy beside an upstream enforces its concurrency limit, not the policy.
            ("level".into(), ParameterValue::Text("doors".into())),
            ("report_in_flight".into(), number(0.0)),
            ("again_part".into(), number(self.retry_ratio)),
            ("again_floor".into(), number(self.retry_slack)),
            ("most_turned".into(), number(MAX_REJECTIONS)),
            ("most_turned_by_site".into(), number(MAX_REJECTIONS_PER_ZONE)),
            ("tier".into(), number(0.0)),
            ("tiers".into(), number(if self.calls_services { 2.0 } else { 1.0 })),
            ("max_dispatches".into(), number(f64::from(self.plan.max_attempts))),
            ("may_recall".into(), ParameterValue::Flag(true)),
            ("come_back_passed".into(), ParameterValue::Flag(true)),
            ("max_come_back".into(), ParameterValue::Duration(1_000 * MS)),
            ("cold".into(), ParameterValue::Duration(SLOW_START_DURATION)),
            ("cold_share".into(), number(SLOW_START_INITIAL_SHARE)),
            (
                "rule_sets".into(),
                ParameterValue::List(self.plan.route_classes.iter().map(class_parameters).collect()),
            ),
        ])
    }
}

/// Address and identity of an upstream.
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
    /// The policy with its pending requests.
    decision_module: PolicyRuntime,
    /// Channels for the actions of each request, by request id.
    action_senders: HashMap<u64, mpsc::UnboundedSender<SchedulerAction>>,
    last_request_id: u64,
    /// When the policy next asks to be run.
    wake_at: Nanos,
    /// The endpoints as last given to the policy.
    listed: HashMap<Name, ListedEndpoint>,
    endpoints: HashMap<Name, Endpoint>,
    retry_account: RetryAccount,
    /// The service's retry budget if it is divided among members and the platform; else the scheduler has its own.
    retry_pool: Option<Arc<Mutex<RetryPool>>>,
}

/// Schedules the requests to one service, either the platform's or those of one member.
pub struct RequestScheduler {
    pub service: Name,
    pub settings: ServiceSettings,
    clock: Clock,
    state: Mutex<SchedulerState>,
    /// Notified when the policy asks to be run earlier than before.
    timer_changed: Notify,
}

/// A request that is pending at the policy. If dropped before it has finished, the policy learns that the client
/// has left.
pub struct ScheduledRequest {
    scheduler: Arc<RequestScheduler>,
    /// Identifies the request at its scheduler.
    pub id: u64,
    /// Actions to execute, in this order.
    pub actions: mpsc::UnboundedReceiver<SchedulerAction>,
    /// The request has its final response, or the policy has given it up.
    finished: bool,
    attempts: RequestAttempts,
}

impl RequestScheduler {
    /// Returns the previous scheduler if its settings are the same; else creates one with a new policy instance and the
    /// previous one's retry account. `window` is the time over which attempts are counted.
    pub fn reuse_or_create(
        previous: Option<Arc<RequestScheduler>>,
        (service, settings): (Name, ServiceSettings),
        clock: Clock,
        seed: impl FnOnce() -> u64,
        window: Nanos,
    ) -> Arc<RequestScheduler> {
        let limits = settings.retry_limits();
        let retry_account = match previous {
            Some(scheduler) if scheduler.settings == settings => return scheduler,
            Some(scheduler) => lock(&scheduler.state).retry_account.restart(window, limits),
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
        let decision_module = PolicyRuntime::new(Balancer::new(now, seed, settings.parameters()));
        let state = SchedulerState {
            decision_module,
            action_senders: HashMap::new(),
            last_request_id: 0,
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
            state: Mutex::new(state),
            timer_changed: Notify::new(),
        });
        tokio::spawn(RequestScheduler::run_timer(Arc::downgrade(&scheduler)));
        scheduler
    }

    /// Runs the policy whenever it asks to be run, until no one else holds the scheduler.
    async fn run_timer(scheduler: Weak<RequestScheduler>) {
        loop {
            let (clock, wake_at) = {
                let Some(scheduler) = scheduler.upgrade() else { return };
                let wake_at = scheduler.dispatch_actions(&mut lock(&scheduler.state));
                (scheduler.clock, wake_at)
            };
            let timer = clock.instant(wake_at.min(clock.now() + 2_000 * MS));
            let Some(scheduler) = scheduler.upgrade() else { return };
            tokio::select! {
                () = sleep_until(timer) => {}
                () = scheduler.timer_changed.notified() => {}
            }
        }
    }

    /// Limits retries to the scheduler's share of this pool from now on; with `None`, by its own settings again.
    pub fn set_pool(&self, pool: Option<&Arc<Mutex<RetryPool>>>) {
        let mut state = lock(&self.state);
        match pool {
            Some(pool) => {
                lock(pool).import_attempts(self.settings.plan.member.as_ref(), &state.retry_account)
            }
            None if state.retry_pool.is_none() => return,
            None => {
                let RetryLimits { ratio, floor, .. } = self.settings.retry_limits();
                state.decision_module.set_retry_budget(ratio, floor);
                state.retry_account.set_allowance(ratio, floor);
            }
        }
        state.retry_pool = pool.cloned();
    }

    /// Updates the policy's retry allowance, if the retry budget is divided.
    fn update_retry_allowance(&self, state: &mut SchedulerState, now: Nanos) {
        let Some(pool) = &state.retry_pool else { return };
        let RetryLimits { ratio, floor, .. } = self.settings.retry_limits();
        let remaining = lock(pool).remaining_retries(now, self.settings.plan.member.as_ref(), ratio, floor);
        // The policy's limit covers all retries that it has made since it was created, so these are added to what remains.
        let floor = remaining + f64::from(state.retry_account.policy_counts(now).retried);
        state.decision_module.set_retry_budget(0.0, floor);
        state.retry_account.set_allowance(0.0, floor);
    }

    /// Counts attempts in the divided retry budget, if there is one.
    fn count_in_pool(&self, state: &SchedulerState, now: Nanos, counts: AttemptCounts) {
        if let Some(pool) = &state.retry_pool {
            lock(pool).add(now, self.settings.plan.member.as_ref(), counts);
        }
    }

    /// Runs the policy and hands its actions to the requests until there are no more. Returns when the policy next asks to be
    /// run.
    fn dispatch_actions(&self, state: &mut SchedulerState) -> Nanos {
        loop {
            let now = self.clock.now();
            self.update_retry_allowance(state, now);
            let wake_at = state.decision_module.run_due_work(now);
            let actions = state.decision_module.take_actions();
            if actions.is_empty() {
                state.wake_at = wake_at;
                return wake_at;
            }
            for action in actions {
                let (id, action) = match action {
                    Action::Send { request_id: id, dispatch_index, endpoint, give_up_at } => {
                        let (attempt_number, upstream_id) = (dispatch_index, endpoint);
                        (id, SchedulerAction::Send { attempt_number, upstream_id, give_up_at })
                    }
                    Action::CancelDispatch { request_id: id, .. } => (id, SchedulerAction::Cancel),
                    Action::Deny { request_id: id, retry_after } => {
                        (id, SchedulerAction::Reject { retry_after })
                    }
                    Action::Abort { request_id: id } => (id, SchedulerAction::Fail),
                    Action::Log(line) => {
                        log::info!("{}: {line}", self.service);
                        continue;
                    }
                    // The policy gets the endpoints from `update_endpoints`, so nothing is watched or probed here.
                    Action::WatchEndpoints
                    | Action::FetchEndpoints
                    | Action::Probe(_)
                    | Action::CloseIdleConnections(_) => continue,
                };
                if let Some(sender) = state.action_senders.get(&id) {
                    let _ = sender.send(action);
                }
            }
        }
    }

    /// Dispatches actions, and notifies the timer if the policy now asks to be run earlier.
    fn dispatch_and_wake(&self, state: &mut SchedulerState) {
        let previous = state.wake_at;
        if self.dispatch_actions(state) < previous {
            self.timer_changed.notify_one();
        }
    }

    /// Assigns an id to a request and hands it to the policy, which may act on it immediately.
    pub fn schedule(self: &Arc<Self>, mut request: RequestContext) -> ScheduledRequest {
        let mut state = lock(&self.state);
        state.last_request_id += 1;
        let id = state.last_request_id;
        request.id = id;
        let (sender, actions) = mpsc::unbounded_channel();
        state.action_senders.insert(id, sender);
        let now = self.clock.now();
        let attempts = RequestAttempts::new(self.settings.is_repeatable(&request.rule_set), request.deadline);
        if request.is_client_retry {
            state.retry_account.record_nested_retry(now);
            self.count_in_pool(&state, now, AttemptCounts { retried: 1, ..AttemptCounts::default() });
        }
        self.update_retry_allowance(&mut state, now);
        state.decision_module.accept_request(now, request);
        self.dispatch_and_wake(&mut state);
        ScheduledRequest { scheduler: self.clone(), id, actions, finished: false, attempts }
    }

    /// First attempts, retries and denied retries in the budget's window.
    pub fn attempt_counts(&self) -> AttemptCounts {
        lock(&self.state).retry_account.reported_counts(self.clock.now())
    }

    /// Whether this upstream incarnation is known and accepts requests.
    pub fn accepts_requests(&self, upstream_id: &Name) -> bool {
        lock(&self.state).listed.get(upstream_id).is_some_and(|listed| listed.state == EndpointState::Up)
    }

    /// The endpoint of this upstream incarnation, if it is known.
    pub fn endpoint(&self, upstream_id: &Name) -> Option<Endpoint> {
        lock(&self.state).endpoints.get(upstream_id).cloned()
    }

    /// Gives the policy the service's endpoints if they have changed. `zone` is that of this node; `suspected` are inbound
    /// proxies that get no new requests.
    pub fn update_endpoints<'a>(
        &self,
        records: impl Iterator<Item = &'a ReceivedRecord>,
        suspected: &HashSet<SocketAddr>,
        zone: &str,
    ) {
        let mut scheduler_state = lock(&self.state);
        let now = self.clock.now();
        let records: Vec<&ReceivedRecord> =
            records.filter(|received| !received.record.upstream_id.is_empty()).collect();
        let accepts = |record: &EndpointRecord| {
            record.accepts_clients
                && record.state == UpstreamState::Serving
                && !suspected.contains(&record.inbound_proxy)
        };
        let zone_accepts =
            records.iter().any(|received| received.record.zone == zone && accepts(&received.record));
        let mut current = HashMap::new();
        let is_candidate =
            |record: &EndpointRecord| !(self.settings.plan.is_large && zone_accepts) || record.zone == zone;
        for ReceivedRecord { record, received_at } in
            records.into_iter().filter(|received| is_candidate(&received.record))
        {
            let state = if accepts(record) {
                EndpointState::Up
            } else if record.state == UpstreamState::Absent || !record.accepts_clients {
                EndpointState::Gone
            } else {
                EndpointState::Draining
            };
            let upstream_id: Name = record.upstream_id.as_str().into();
            let started_at =
                scheduler_state.listed.get(&upstream_id).and_then(|previous| previous.started_at);
            let warm_at = received_at + record.warming_up_ms * MS;
            let started_at =
                started_at.or((warm_at > now).then(|| warm_at.saturating_sub(SLOW_START_DURATION)));
            let in_other_zone = zone_accepts && record.zone != zone;
            let weight = f64::from(record.concurrency_limit.max(1))
                * if in_other_zone { OTHER_ZONE_WEIGHT_FACTOR } else { 1.0 };
            let record_zone: Name = record.zone.as_str().into();
            let listed = ListedEndpoint {
                name: upstream_id.clone(),
                state,
                started_at,
                weight,
                site: record_zone.clone(),
                cell: 0,
            };
            let endpoint = Endpoint {
                inbound_proxy: record.inbound_proxy,
                upstream_id: upstream_id.clone(),
                zone: record_zone,
            };
            current.insert(upstream_id, (listed, endpoint));
        }
        let is_unchanged = |(upstream_id, (listed, endpoint)): (&Name, &(ListedEndpoint, Endpoint))| {
            let previous = scheduler_state
                .listed
                .get(upstream_id)
                .map(|previous| (previous.state, previous.weight, previous.started_at, &previous.site));
            previous == Some((listed.state, listed.weight, listed.started_at, &listed.site))
                && scheduler_state.endpoints.get(upstream_id) == Some(endpoint)
        };
        if current.len() == scheduler_state.listed.len() && current.iter().all(is_unchanged) {
            return;
        }
        let entries: Vec<ListedEndpoint> = current.values().map(|(listed, _)| listed.clone()).collect();
        scheduler_state.endpoints = current
            .iter()
            .map(|(upstream_id, (_, endpoint))| (upstream_id.clone(), endpoint.clone()))
            .collect();
        scheduler_state.listed =
            current.into_iter().map(|(upstream_id, (listed, _))| (upstream_id, listed)).collect();
        scheduler_state.decision_module.handle_event(
            now,
            Event::EndpointsListed { is_complete: true, is_stale: false, endpoints: &entries },
        );
        self.dispatch_and_wake(&mut scheduler_state);
    }
}

#[cfg(test)]
impl ServiceSettings {
    /// Assigns all routes to this member, with this greatest number of attempts.
    pub fn set_member(&mut self, member: Name, max_attempts: u32) {
        (self.plan.member, self.plan.max_attempts) = (Some(member), max_attempts);
    }
}

impl ScheduledRequest {
    /// To be called when an attempt is sent. Returns what it counts as: a first attempt or a retry.
    pub fn attempt_started(&self) -> AttemptCounts {
        let (mut state, now) = (lock(&self.scheduler.state), self.scheduler.clock.now());
        let counted = state.retry_account.record_attempt(now, &self.attempts);
        self.scheduler.count_in_pool(&state, now, counted);
        counted
    }

    /// To be called when an attempt has ended. `is_final` says that its response is the final one of the request; `load` is
    /// the load that the inbound proxy reported, if any.
    pub fn attempt_ended(
        &mut self,
        attempt_number: usize,
        outcome: DispatchOutcome,
        duration: Nanos,
        is_final: bool,
        load: Option<f64>,
    ) {
        let mut state = lock(&self.scheduler.state);
        self.attempts.record_outcome(outcome);
        self.finished |= is_final;
        let now = self.scheduler.clock.now();
        self.scheduler.update_retry_allowance(&mut state, now);
        let result = DispatchResult { outcome, duration, is_final, load_report: load.as_slice() };
        state.decision_module.handle_dispatch_ended(now, self.id, attempt_number, result);
        self.scheduler.dispatch_and_wake(&mut state);
    }

    /// To be called when the policy has given up the request, or the outbound proxy ends it itself. Returns what that counts
    /// as: a denied retry, if any.
    pub fn finish(&mut self) -> AttemptCounts {
        self.finished = true;
        lock(&self.scheduler.state).retry_account.record_give_up(self.scheduler.clock.now(), &self.attempts)
    }
}

impl Drop for ScheduledRequest {
    fn drop(&mut self) {
        let mut state = lock(&self.scheduler.state);
        state.action_senders.remove(&self.id);
        if !self.finished {
            let now = self.scheduler.clock.now();
            state.decision_module.handle_client_disconnected(now, self.id);
            // An attempt in flight ends with the request. Its number isn't stored, so all possible numbers are ended.
            for attempt_number in 0..64 {
                state.decision_module.handle_dispatch_ended(
                    now,
                    self.id,
                    attempt_number,
                    DispatchResult {
                        outcome: DispatchOutcome::Cancelled,
                        duration: 0,
                        is_final: true,
                        load_report: &[],
                    },
                );
            }
            self.scheduler.dispatch_and_wake(&mut state);
        }
    }
}
