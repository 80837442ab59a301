//! The values that a protocol adapter and the policy exchange.

use std::collections::BTreeMap;
use std::sync::Arc;

/// A point in time or a duration, in nanoseconds.
pub type Nanos = u64;

pub(crate) const MILLISECOND: Nanos = 1_000_000;
pub(crate) const SECOND: Nanos = 1_000 * MILLISECOND;

/// A name or an id, as the protocol gave it.
pub type Name = Arc<str>;

/// The configuration of an instance: parameter names to values.
pub type Parameters = BTreeMap<String, ParameterValue>;

#[derive(Clone, Debug, PartialEq)]
pub enum ParameterValue {
    Number(f64),
    Duration(Nanos),
    Text(Name),
    Flag(bool),
    List(Vec<Parameters>),
}

/// How a dispatch, or a probe, ended. An endpoint refuses a request ([`DispatchOutcome::Full`]), a proxy beside it rejects one
/// ([`DispatchOutcome::Rejected`]), and a balancer denies one ([`RoutingDecision::Deny`]).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DispatchOutcome {
    Done,
    /// The endpoint answered with an error.
    Error,
    /// The endpoint refused the request because it is at capacity or draining.
    Full,
    TimedOut,
    NoConnection,
    /// The connection was lost before the response was complete.
    Reset,
    /// The balancer cancelled the dispatch.
    Cancelled,
    /// The adapter could not send the request.
    NotSent,
    /// The proxy beside the endpoint rejected the request because the endpoint is at capacity. The request never reached the
    /// endpoint and does not count as an attempt.
    Rejected,
}

impl DispatchOutcome {
    /// Whether the outcome proves that the endpoint never ran the request.
    pub fn never_ran(self) -> bool {
        matches!(
            self,
            DispatchOutcome::Full
                | DispatchOutcome::NoConnection
                | DispatchOutcome::NotSent
                | DispatchOutcome::Rejected
        )
    }
}

/// One dispatch of a request to an endpoint.
#[derive(Clone, Debug)]
pub struct Dispatch {
    pub endpoint: Name,
    pub site: Name,
    pub cell: u64,
    pub sent_at: Nanos,
    /// `None` while the dispatch is in flight.
    pub outcome: Option<DispatchOutcome>,
}

/// A request that has no final answer yet. The adapter owns it and lends it to the policy, which adds the dispatches.
#[derive(Clone, Debug)]
pub struct RequestContext {
    pub id: u64,
    pub rule_set: Name,
    pub customer: Name,
    /// The client marked the request as a retry.
    pub is_client_retry: bool,
    pub received_at: Nanos,
    /// When the client stops waiting.
    pub deadline: Nanos,
    /// The body is still being received; [`Event::RequestSent`] tells when its last byte is on its way to the endpoint.
    pub body_pending: bool,
    /// The expected processing time, if the protocol gives it.
    pub expected_cost: Option<Nanos>,
    /// The endpoint to use if it can take the request.
    pub preferred_endpoint: Option<Name>,
    pub dispatches: Vec<Dispatch>,
}

impl RequestContext {
    /// A request that is complete, no retry by the client, and without expected cost or preferred endpoint.
    pub fn new(
        id: u64,
        rule_set: Name,
        customer: Name,
        received_at: Nanos,
        deadline: Nanos,
    ) -> RequestContext {
        RequestContext {
            id,
            rule_set,
            customer,
            is_client_retry: false,
            received_at,
            deadline,
            body_pending: false,
            expected_cost: None,
            preferred_endpoint: None,
            dispatches: Vec::new(),
        }
    }

    /// Whether the proxy beside the endpoint rejected the last dispatch.
    pub fn was_rejected(&self) -> bool {
        self.dispatches.last().is_some_and(|dispatch| dispatch.outcome == Some(DispatchOutcome::Rejected))
    }

    /// Counts the dispatches rejected by a proxy beside an endpoint, of one site if `site` is given.
    pub fn count_rejections(&self, site: Option<&str>) -> usize {
        let of_site = |dispatch: &&Dispatch| site.is_none_or(|site| &*dispatch.site == site);
        let rejected = |dispatch: &&Dispatch| dispatch.outcome == Some(DispatchOutcome::Rejected);
        self.dispatches.iter().filter(rejected).filter(of_site).count()
    }

    /// Counts the dispatches that may have reached an endpoint.
    pub fn count_attempts(&self) -> usize {
        let rejected = |dispatch: &&Dispatch| dispatch.outcome == Some(DispatchOutcome::Rejected);
        self.dispatches.iter().filter(|dispatch| !rejected(dispatch)).count()
    }

    /// The first dispatch that may have run at an endpoint.
    pub fn first_possible_run(&self) -> Option<&Dispatch> {
        self.dispatches.iter().find(|dispatch| !dispatch.outcome.is_some_and(DispatchOutcome::never_ran))
    }
}

/// What to do with a request now.
#[derive(Clone, Debug, PartialEq)]
pub enum RoutingDecision {
    /// Send it to an endpoint, and stop waiting for the response at `give_up_at`.
    Send { endpoint: Name, give_up_at: Nanos },
    /// Call [`crate::Balancer::route`] for it again at this time, unless [`NextAction::Route`] asks for it earlier.
    Wait { until: Nanos },
    /// Answer that the request was not processed and may be retried after this time.
    Deny { retry_after: Nanos },
    /// Answer with an error; the request may have run.
    Abort,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    Up,
    Draining,
    Gone,
}

/// An entry of the endpoint list.
#[derive(Clone, Debug)]
pub struct ListedEndpoint {
    pub name: Name,
    pub state: EndpointState,
    /// When its process last started; `None` if long ago.
    pub started_at: Option<Nanos>,
    pub weight: f64,
    pub site: Name,
    /// The endpoints of a cell share a record of processed requests; see `DedupGroup::Cell` in `config`.
    pub cell: u64,
}

/// An event that the adapter reports. `load_report` holds the values of the endpoint's load report, in the configured order.
pub enum Event<'a> {
    /// A dispatch ended; `is_final` if the request has its final answer.
    DispatchEnded {
        request: &'a mut RequestContext,
        /// Index in [`RequestContext::dispatches`].
        dispatch_index: usize,
        outcome: DispatchOutcome,
        duration: Nanos,
        is_final: bool,
        load_report: &'a [f64],
    },
    /// The last byte of a request whose body was pending is on its way to the endpoint of this dispatch, whose time counts
    /// from now on.
    RequestSent {
        request: &'a RequestContext,
        /// Index in [`RequestContext::dispatches`].
        dispatch_index: usize,
    },
    ProbeEnded {
        endpoint: &'a str,
        outcome: DispatchOutcome,
        duration: Nanos,
        load_report: &'a [f64],
    },
    /// Another instance shared the outcome of one of its dispatches. It counts towards the endpoint's health like a local
    /// one, with three exceptions. It does not enter the failure ratio over all endpoints, because instances mostly share
    /// failures. As a loss of its site it counts once per endpoint, because a few endpoints that are gone cause many losses. In
    /// overload it is ignored, because endpoints are then unresponsive for lack of processing time.
    PeerDispatchEnded {
        endpoint: &'a str,
        rule_set: &'a str,
        outcome: DispatchOutcome,
    },
    /// The endpoint list: all of it if `is_complete`, else the changed entries only. `is_stale` if it was stored before the
    /// process started.
    EndpointsListed {
        is_complete: bool,
        is_stale: bool,
        endpoints: &'a [ListedEndpoint],
    },
    /// A call to the list service failed, or the subscription was dropped.
    EndpointListFailed,
    ClientDisconnected {
        request: &'a mut RequestContext,
    },
}

/// What the adapter does after an event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NextStep {
    Nothing,
    /// Call [`crate::Balancer::route`] for the request now.
    Route,
    /// Cancel the dispatch with this index.
    CancelDispatch(usize),
}

/// What the adapter does between events.
#[derive(Clone, Debug, PartialEq)]
pub enum NextAction {
    /// Subscribe to the endpoint list.
    WatchEndpoints,
    /// Fetch the endpoint list.
    FetchEndpoints,
    Probe(Name),
    Log(String),
    /// Close the idle connections to this endpoint.
    CloseIdleConnections(Name),
    /// Cancel a dispatch, given by the id of its request and its index in [`RequestContext::dispatches`].
    CancelDispatch(u64, usize),
    /// Call [`crate::Balancer::route`] for the waiting request with this id now.
    Route(u64),
    /// Nothing to do before this time.
    SleepUntil(Nanos),
}

/// Counts of the endpoints on the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointCounts {
    pub listed: usize,
    /// Listed, but sent nothing now: draining or ejected.
    pub avoided: usize,
}

/// Converts nanoseconds to seconds.
pub fn to_seconds(duration: Nanos) -> f64 {
    duration as f64 / 1e9
}

/// The number configured under a name, or the default.
pub fn read_number(parameters: &Parameters, name: &str, default: f64) -> f64 {
    if let Some(ParameterValue::Number(value)) = parameters.get(name) { *value } else { default }
}

/// The duration configured under a name, or the default.
pub fn read_duration(parameters: &Parameters, name: &str, default: Nanos) -> Nanos {
    if let Some(ParameterValue::Duration(value)) = parameters.get(name) { *value } else { default }
}

/// The text configured under a name, or the empty string.
pub fn read_text<'a>(parameters: &'a Parameters, name: &str) -> &'a str {
    if let Some(ParameterValue::Text(value)) = parameters.get(name) { value } else { "" }
}

/// Whether the flag is configured and set.
pub fn read_flag(parameters: &Parameters, name: &str) -> bool {
    matches!(parameters.get(name), Some(ParameterValue::Flag(true)))
}

/// The list configured under a name, or an empty list.
pub fn read_list<'a>(parameters: &'a Parameters, name: &str) -> &'a [Parameters] {
    if let Some(ParameterValue::List(items)) = parameters.get(name) { items } else { &[] }
}
