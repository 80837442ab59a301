//! The outbound proxy: accepts the requests of this node's clients and the nested calls of its upstream.
//!
//! Request path: [`handle_request`] finds the route in the configuration in force, reads the body and computes the deadline.
//! A request with an idempotency key acquires a lease first (`run_with_lease`). `RequestInFlight::run` then chooses a service
//! and executes the scheduler's actions: each attempt goes to the inbound proxy of the chosen endpoint, and its outcome goes
//! back to the policy (`ochreshed::Balancer`, behind [`RequestScheduler`]), until the request has a final response.
//!
//! A member is a tenant with routes of its own; all other routes belong to the platform.
//!
//! Main types: `RequestInFlight` (a request with its deadline and session), `Attempt` (parameters of one attempt),
//! `RequestOutcome` (the final outcome).
//!
//! Invariants:
//! - Only the policy chooses the endpoint of an attempt.
//! - A request that the configuration in force on this node doesn't allow is not forwarded.
//! - On a keyed route a request with a key doesn't run without a lease on it, and one without a key is sent once.
//! - A response that has arrived is returned without delay.
//! - Only if it is certain that a request has not run is its client told so. (On a repeatable route an upstream's own error
//!   response is passed on unchanged, since a second run is harmless there.)

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use hyper::header::{HOST, HeaderMap, HeaderName, HeaderValue, RETRY_AFTER};
use hyper::http::response::Parts;
use hyper::{Response, StatusCode};
use ochreshed::{DispatchOutcome, Name, Nanos, RequestContext, to_seconds};
use ochreshed_catalog::configuration::{RepeatPolicy, Route};
use ochreshed_catalog::traffic_reports::{OutcomeCounts, RouteEdition};
use ochreshed_consensus::messages::{CoreResponse, LeaseKey, LeaseOutcome, LeaseToken, StoredResponse};
use ochreshed_traffic::admission::MemberShare;
use tokio::sync::oneshot;

use crate::body::RequestMessage;
use crate::connection::lock;
use crate::mesh::proxy::connection_pool::{ExchangeError, ResponseBody};
use crate::mesh::proxy::fencing::FencingToken;
use crate::mesh::proxy::headers::{
    ATTEMPT_OUTCOME, CALLER_SERVICE, FENCING_TOKEN, REQUEST_ID, REQUEST_PARAMETERS, TARGET_UPSTREAM,
    TIME_LEFT_MS,
};
use crate::mesh::proxy::idempotency_key;
use crate::mesh::proxy::inbound::{self, UpstreamOutcome};
use crate::mesh::proxy::inbound_request::{InboundRequest, MAX_TIME_LEFT_MS};
use crate::mesh::proxy::lease_client;
use crate::mesh::proxy::listener::{self, ReceivedRequest, RequestError, header_str, plain_response};
use crate::mesh::proxy::node::{Node, RequestGuard};
use crate::mesh::proxy::request_scheduler::{
    self, Endpoint, RequestScheduler, ScheduledRequest, SchedulerAction,
};
use crate::mesh::proxy::session_affinity::{self, BoundSession};

const MS: Nanos = 1_000_000;
/// Subtracted from the deadline, so that the response reaches the client in time.
const RESPONSE_MARGIN: Nanos = 12 * MS;
/// Longest response body, in bytes, that is stored with its lease. A longer one completes the lease as indeterminate.
const MAX_STORED_RESPONSE_BYTES: usize = 64 * 1024;
/// `Retry-After` of a rejection for which the policy gives no time.
const DEFAULT_RETRY_AFTER: Nanos = 100 * MS;
/// A request for a large response is rejected if this process shuts down sooner than this after it was received, since the
/// response would be truncated.
const MIN_LARGE_RESPONSE_TIME: Nanos = 2_400 * MS;
/// Added to the policy's retry time, so that a burst of requests that is rejected at once doesn't return at once.
const RETRY_AFTER_OFFSET: Nanos = 10 * MS;

/// `Retry-After` while this node has no configuration.
const RETRY_AFTER_WITHOUT_CONFIGURATION: Nanos = 300 * MS;
/// `Retry-After` if no quorum grants the lease on the request's key.
const RETRY_AFTER_WITHOUT_LEASE: Nanos = 200 * MS;
/// Tenths of a route's deadline before which no nested call is late.
const NESTED_TARGET_TENTHS: u64 = 7;

/// Final outcome of a request at this outbound proxy.
enum RequestOutcome {
    /// An upstream's response, successful or not.
    Response(Parts, ResponseBody),
    /// The request has not run and never will. The client may retry after this time; 0 stands for [`DEFAULT_RETRY_AFTER`].
    NotRun(Nanos),
    /// The request may have run, and no response shows whether it did.
    MayHaveRun {
        /// The deadline has passed: the client gets 504 instead of 502.
        deadline_passed: bool,
    },
}

/// Handles one request of a client or of the upstream on this node.
///
/// Responses generated here: 400 without a request id, or with an empty key or several keys on a keyed route, 404 without a route, the errors of [`listener::read_message`], 409
/// while the lease on the request's key is pending, 502 or 504 if the request may have run, and 503 with `Retry-After` if it
/// has not run. Each response carries the request's id.
pub async fn handle_request(node: Arc<Node>, received: ReceivedRequest) -> Response<ResponseBody> {
    let headers = received.request.headers();
    let Some(id) = headers.get(&REQUEST_ID).cloned() else {
        return plain_response(400, "no Ochreshed-Consignment-Id");
    };
    let Some(configuration) = node.configuration.load_full() else {
        return rejection_response(RETRY_AFTER_WITHOUT_CONFIGURATION);
    };
    let host = header_str(headers, &HOST).to_owned();
    let path = received.request.uri().path().to_owned();
    let Some(route) = configuration.route(&host, &path).cloned() else {
        return plain_response(404, "no such route");
    };
    let session_value = route
        .session_header
        .as_ref()
        .and_then(|name| headers.get(&**name))
        .map(|value| value.as_bytes().to_vec())
        .filter(|value| !value.is_empty());
    let time_left_ms =
        header_str(headers, &TIME_LEFT_MS).parse::<u64>().unwrap_or(route.deadline_ms).min(MAX_TIME_LEFT_MS);
    let key = match idempotency_key::from_headers(headers) {
        Err(error) if route.repeat_policy == RepeatPolicy::Keyed => {
            return plain_response(400, &error.to_string());
        }
        key => key.unwrap_or(None),
    };
    let received_at = received.received_at;
    let caller_run_is_retry = node.record_request(&id);
    let limits = configuration.limits();
    let body_timeout = Duration::from_millis(limits.header_timeout_ms.max(time_left_ms));
    let read =
        listener::read_message(received, &node.body_memory, node.clock, limits.max_body_bytes, body_timeout)
            .await;
    let (mut message, body_permit) = match read {
        Ok(read) => read,
        Err(RequestError(status, reason)) => return plain_response(status, reason),
    };
    for name in [&TARGET_UPSTREAM, &CALLER_SERVICE, &REQUEST_PARAMETERS, &FENCING_TOKEN, &ATTEMPT_OUTCOME] {
        message.head.headers_mut().remove(name);
    }
    let shutdown_deadline = node.shutdown_deadline();
    if route.repeat_policy == RepeatPolicy::LargeResponse
        && shutdown_deadline < received_at + MIN_LARGE_RESPONSE_TIME
    {
        return rejection_response(DEFAULT_RETRY_AFTER);
    }
    let deadline = (received_at + time_left_ms.min(route.deadline_ms) * MS)
        .min(shutdown_deadline)
        .saturating_sub(RESPONSE_MARGIN);
    let target_at = (received_at + route.latency_target_ms * MS)
        .saturating_sub(node.record_time_left(&route, time_left_ms) * MS + RESPONSE_MARGIN);
    // A nested call occupies its caller's slot, and its response is useful for as long as the caller waits. It is therefore
    // not late before [`NESTED_TARGET_TENTHS`] of the route's deadline have passed.
    let target_at = if caller_run_is_retry.is_some() {
        target_at.max(received_at + route.deadline_ms * MS * NESTED_TARGET_TENTHS / 10)
    } else {
        target_at
    };
    let in_flight = RequestInFlight {
        node: node.clone(),
        route: route.clone(),
        edition: configuration.edition(&route),
        message: Arc::new(message),
        deadline,
        received_at,
        target_at,
        caller_is_retry: caller_run_is_retry == Some(true),
        is_nested: caller_run_is_retry.is_some(),
        key,
        session_value,
    };
    let mut response = match key.filter(|_| route.repeat_policy == RepeatPolicy::Keyed) {
        Some(key) => {
            // Runs in a task of its own, so that it isn't cancelled when the client disconnects: the outcome must complete
            // the lease, which answers later requests with the same key.
            let (response_sender, response_receiver) = oneshot::channel();
            tokio::spawn(async move {
                let (_body_permit, _request_guard) = (body_permit, RequestGuard::new(&in_flight.node));
                let _ = response_sender.send(run_with_lease(in_flight, key).await);
            });
            response_receiver.await.unwrap_or_else(|_| plain_response(502, "it may have run"))
        }
        None => in_flight.run().await.into_response(),
    };
    if !response.headers().contains_key(&REQUEST_ID) {
        response.headers_mut().insert(REQUEST_ID, id);
    }
    response
}

/// 503 with `Retry-After`: the request has not run and may be retried after `retry_after`.
fn rejection_response(retry_after: Nanos) -> Response<ResponseBody> {
    let mut response = plain_response(503, "not run: come back");
    let retry_after = if retry_after == 0 { DEFAULT_RETRY_AFTER } else { RETRY_AFTER_OFFSET + retry_after };
    if let Ok(value) = HeaderValue::try_from(format!("{:.3}", to_seconds(retry_after))) {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}

impl RequestOutcome {
    fn into_response(self) -> Response<ResponseBody> {
        match self {
            RequestOutcome::Response(mut head, body) => {
                head.headers.remove(&ATTEMPT_OUTCOME);
                Response::from_parts(head, body)
            }
            RequestOutcome::NotRun(retry_after) => rejection_response(retry_after),
            RequestOutcome::MayHaveRun { deadline_passed: true } => {
                plain_response(504, "its time is over; it may have run")
            }
            RequestOutcome::MayHaveRun { deadline_passed: false } => plain_response(502, "it may have run"),
        }
    }
}

/// Runs a request with an idempotency key under a lease. If another request holds the lease, this one does not run, and the
/// response is derived from the other's outcome.
async fn run_with_lease(in_flight: RequestInFlight, key: LeaseKey) -> Response<ResponseBody> {
    let node = in_flight.node.clone();
    let token: LeaseToken = node.new_token();
    let requested_at = node.clock.now();
    let time_left = in_flight.deadline.saturating_sub(requested_at);
    let max_wait = lock(&node.lease_breaker).max_wait(requested_at, time_left, node.quorum_unreachable());
    let time_left_ms = (time_left / MS).min(u64::from(u32::MAX)) as u32;
    let timeout = Duration::from_nanos(max_wait);
    let response =
        lease_client::acquire_lease(&node.replicas, &node.rpc, (key, token), time_left_ms, timeout).await;
    match response {
        CoreResponse::Unavailable => {
            let ended_at = node.clock.now();
            lock(&node.lease_breaker).record_timeout(ended_at, ended_at - requested_at);
        }
        _ => lock(&node.lease_breaker).record_answer(),
    }
    let end_lease = |outcome| {
        lease_client::complete_lease(node.replicas.clone(), node.rpc.clone(), (key, token), outcome)
    };
    let release_lease = || end_lease(None);
    match response {
        CoreResponse::LeaseGranted => {}
        other => {
            // Some replicas may have granted the lease without a known quorum. It is released, and the token is never used.
            release_lease();
            return match other {
                CoreResponse::LeaseHeld(LeaseOutcome::Completed(stored)) => replay_stored(&stored),
                CoreResponse::LeaseHeld(LeaseOutcome::Pending) => {
                    plain_response(409, "a req with this key is at work")
                }
                CoreResponse::LeaseHeld(LeaseOutcome::Indeterminate) => {
                    plain_response(502, "a req with this key may have run")
                }
                _ => rejection_response(RETRY_AFTER_WITHOUT_LEASE),
            };
        }
    }
    match in_flight.run().await {
        RequestOutcome::Response(head, ResponseBody::Buffered(body)) => {
            let bytes =
                http_body_util::BodyExt::collect(body).await.map(|body| body.to_bytes()).unwrap_or_default();
            if bytes.len() <= MAX_STORED_RESPONSE_BYTES {
                end_lease(Some(LeaseOutcome::Completed(Arc::new(stored_response(&head, &bytes)))));
            } else {
                end_lease(Some(LeaseOutcome::Indeterminate));
            }
            RequestOutcome::Response(head, ResponseBody::from_bytes(bytes)).into_response()
        }
        RequestOutcome::NotRun(retry_after) => {
            release_lease();
            rejection_response(retry_after)
        }
        other => {
            end_lease(Some(LeaseOutcome::Indeterminate));
            other.into_response()
        }
    }
}

/// Converts a response to the form that is stored with its lease, without the headers that belong to this
/// exchange only and those whose values aren't visible ASCII.
fn stored_response(head: &Parts, body: &[u8]) -> StoredResponse {
    let as_text = |(name, value): (&HeaderName, &HeaderValue)| {
        Some((name.as_str().to_owned(), value.to_str().ok()?.to_owned()))
    };
    let excluded = [&REQUEST_ID, &ATTEMPT_OUTCOME];
    let headers =
        head.headers.iter().filter(|(name, _)| !excluded.contains(name)).filter_map(as_text).collect();
    StoredResponse { status: head.status.as_u16(), headers, body: body.to_vec() }
}

/// Converts a stored response to the response for a later request with the same key.
fn replay_stored(stored: &StoredResponse) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::from_bytes(stored.body.clone()));
    *response.status_mut() = StatusCode::from_u16(stored.status).unwrap_or(StatusCode::BAD_GATEWAY);
    for (name, value) in &stored.headers {
        if let (Ok(name), Ok(value)) = (HeaderName::try_from(name), HeaderValue::try_from(value)) {
            response.headers_mut().append(name, value);
        }
    }
    response
}

/// Whether a status claims that the request has not run and never will.
fn claims_not_run(status: StatusCode) -> bool {
    matches!(status.as_u16(), 408 | 421 | 429 | 503)
}

/// Whether a response counts as a success for the policy, the session binding and the outcome counts.
fn is_success(head: &Parts) -> bool {
    !head.status.is_server_error() && !claims_not_run(head.status)
}

/// Parameters of one attempt of a request.
#[derive(Clone, Copy)]
struct Attempt {
    /// Number of inbound proxies that have rejected the request before. Starts at 1 for a large response, so that the first
    /// inbound proxy, which is in the same zone, may queue it: that matters more than a short wait.
    rejections: u32,
    /// The session is bound to this upstream, so the request prefers to wait for a slot there.
    has_affinity: bool,
    /// An earlier attempt was sent.
    is_retry: bool,
    /// The response is a large one.
    is_large: bool,
    /// The session and the term since which this proxy owns it; none without a session.
    fencing_token: Option<FencingToken>,
}

/// A request that has been received and has no final response yet.
struct RequestInFlight {
    node: Arc<Node>,
    route: Arc<Route>,
    /// The version of the member's routes, and whether it is a canary, that its outcome is counted for; none on a route of the
    /// platform.
    edition: Option<RouteEdition>,
    message: Arc<RequestMessage>,
    /// When its attempts end: [`RESPONSE_MARGIN`] before the client's own deadline.
    deadline: Nanos,
    received_at: Nanos,
    /// When a response misses the route's latency target.
    target_at: Nanos,
    /// It is a nested call of a run that is itself a retry.
    caller_is_retry: bool,
    /// It is a nested call: a run of the upstream on this node waits for it.
    is_nested: bool,
    /// Hash of its idempotency key, also on routes without leases.
    key: Option<LeaseKey>,
    /// Value of the route's session header; none if the route has no session header or the value is empty.
    session_value: Option<Vec<u8>>,
}

impl RequestInFlight {
    /// Runs the request to its final outcome, and counts that outcome for the member that owns the route.
    async fn run(&self) -> RequestOutcome {
        let outcome = self.run_attempts().await;
        let succeeded = matches!(&outcome, RequestOutcome::Response(head, _) if is_success(head));
        self.count_outcome(OutcomeCounts {
            succeeded: succeeded.into(),
            failed: (!succeeded).into(),
            ..OutcomeCounts::default()
        });
        outcome
    }

    /// Adds to the outcomes of the member's edition; does nothing on a route of the platform.
    fn count_outcome(&self, counts: impl Into<OutcomeCounts>) {
        if let Some(edition) = &self.edition {
            self.node.count_outcome(edition, counts.into());
        }
    }

    /// Executes the scheduler's actions until one is final, the attempts are used up or this process aborts its requests.
    async fn run_attempts(&self) -> RequestOutcome {
        let Some(service) = self.node.choose_service(&self.route) else {
            return RequestOutcome::NotRun(DEFAULT_RETRY_AFTER);
        };
        let is_large = self.route.repeat_policy == RepeatPolicy::LargeResponse;
        let Some(scheduler) = self.node.scheduler(&service, &self.route) else {
            return RequestOutcome::NotRun(DEFAULT_RETRY_AFTER);
        };
        let mut session = self.acquire_session(&scheduler, &service, !is_large).await;
        let fencing_token = session.as_ref().map(|session| session.fencing_token);
        let _key_in_flight = fencing_token
            .zip(self.key)
            .map(|(fencing_token, key)| session_affinity::track_key(&self.node, fencing_token.session, key));
        let route_class: Name = request_scheduler::route_class(&self.route).as_str().into();
        // The id is assigned by the scheduler; the policy's customers are not used.
        let mut request = RequestContext::new(0, route_class, "".into(), self.received_at, self.deadline);
        request.is_client_retry = self.caller_is_retry;
        request.body_pending = self.message.remainder.is_some();
        request.preferred_endpoint = session
            .as_ref()
            .and_then(|session| session.binding.as_ref())
            .map(|binding| binding.upstream_id.as_str().into());
        let mut scheduled = scheduler.schedule(request);
        let mut error_response: Option<(Parts, ResponseBody)> = None;
        let (mut may_have_run, mut attempts_counted, mut rejections) = (false, 0, u32::from(is_large));
        let mut aborted = pin!(self.node.wait_until_aborted());
        loop {
            let action = tokio::select! {
                biased;
                () = &mut aborted => None,
                action = scheduled.actions.recv() => action,
            };
            match action {
                Some(SchedulerAction::Send { attempt_number, upstream_id, give_up_at }) => {
                    if attempts_counted >= self.route.max_attempts {
                        break;
                    }
                    let started_at = self.node.clock.now();
                    let Some(endpoint) = scheduler.endpoint(&upstream_id) else {
                        scheduled.attempt_ended(attempt_number, DispatchOutcome::NotSent, 0, false, None);
                        continue;
                    };
                    if let Some(session) = session.as_mut().filter(|_| !is_large)
                        && !session_affinity::bind_before_attempt(&self.node, &scheduler, session, &endpoint)
                            .await
                    {
                        // The session has moved to another owner or upstream. The client's retry finds it there.
                        scheduled.attempt_ended(attempt_number, DispatchOutcome::NotSent, 0, false, None);
                        scheduled.finish();
                        break;
                    }
                    self.count_outcome(scheduled.attempt_started());
                    let has_affinity =
                        session.as_ref().is_some_and(|session| session.is_bound_to(&endpoint.upstream_id));
                    let is_retry = attempts_counted > 0;
                    let attempt = Attempt { rejections, has_affinity, is_retry, is_large, fencing_token };
                    let Some((outcome, load)) =
                        self.run_attempt(&mut scheduled, &endpoint, attempt, give_up_at).await
                    else {
                        may_have_run = true;
                        scheduled.attempt_ended(attempt_number, DispatchOutcome::Cancelled, 0, false, None);
                        continue;
                    };
                    attempts_counted +=
                        u32::from(!matches!(outcome, UpstreamOutcome::Rejected | UpstreamOutcome::Fenced(_)));
                    if matches!(outcome, UpstreamOutcome::Rejected) {
                        rejections += 1;
                        self.count_outcome(OutcomeCounts { rejected: 1, ..OutcomeCounts::default() });
                    }
                    let duration = self.node.clock.now() - started_at;
                    let dispatch_outcome = match outcome {
                        UpstreamOutcome::Responded(head, body) if is_success(&head) => {
                            scheduled.attempt_ended(
                                attempt_number,
                                DispatchOutcome::Done,
                                duration,
                                true,
                                load,
                            );
                            if let Some(session) = session.as_ref().filter(|_| !is_large) {
                                session_affinity::count_success(&self.node, session, &endpoint);
                            }
                            return RequestOutcome::Response(head, body);
                        }
                        UpstreamOutcome::Responded(head, body) => {
                            may_have_run = true;
                            // The attempt may have run. On a route that isn't repeatable, a response whose status claims
                            // the contrary isn't passed on.
                            let is_untrusted_claim =
                                !self.route.repeat_policy.repeatable() && claims_not_run(head.status);
                            error_response = (!is_untrusted_claim).then_some((head, body));
                            DispatchOutcome::Error
                        }
                        UpstreamOutcome::RefusedByUpstream | UpstreamOutcome::NotAccepting => {
                            DispatchOutcome::Full
                        }
                        UpstreamOutcome::Rejected => DispatchOutcome::Rejected,
                        UpstreamOutcome::Fenced(owner_term) => {
                            // Another proxy has owned the session since a later term. The request ends here, and the
                            // client's retry goes to the new owner.
                            if let Some(fencing_token) = fencing_token {
                                self.node.sessions().record_fencing(fencing_token, owner_term);
                            }
                            scheduled.attempt_ended(
                                attempt_number,
                                DispatchOutcome::Rejected,
                                duration,
                                false,
                                load,
                            );
                            scheduled.finish();
                            break;
                        }
                        UpstreamOutcome::ConnectFailed => DispatchOutcome::NoConnection,
                        UpstreamOutcome::NotSent => DispatchOutcome::NotSent,
                        UpstreamOutcome::Reset => {
                            may_have_run = true;
                            DispatchOutcome::Reset
                        }
                        UpstreamOutcome::TimedOut => {
                            may_have_run = true;
                            DispatchOutcome::TimedOut
                        }
                    };
                    scheduled.attempt_ended(attempt_number, dispatch_outcome, duration, false, load);
                }
                // No attempt is in flight here.
                Some(SchedulerAction::Cancel) => {}
                Some(SchedulerAction::Reject { retry_after }) => {
                    self.count_outcome(scheduled.finish());
                    if error_response.is_none() && !may_have_run {
                        return RequestOutcome::NotRun(retry_after);
                    }
                    break;
                }
                Some(SchedulerAction::Fail) | None => {
                    self.count_outcome(scheduled.finish());
                    break;
                }
            }
        }
        let deadline_passed = self.node.clock.now() >= self.deadline;
        match error_response {
            // An upstream's own error response is more informative than one generated here.
            Some((head, body)) => RequestOutcome::Response(head, body),
            None if !may_have_run => RequestOutcome::NotRun(DEFAULT_RETRY_AFTER),
            None => RequestOutcome::MayHaveRun { deadline_passed },
        }
    }

    /// Acquires the session of the request; none if its route or its headers name none. `follows_binding` says whether the
    /// request goes to the upstream that the session is bound to.
    async fn acquire_session(
        &self,
        scheduler: &RequestScheduler,
        service: &Name,
        follows_binding: bool,
    ) -> Option<BoundSession> {
        let (header, value) = (self.route.session_header.as_ref()?, self.session_value.as_ref()?);
        session_affinity::acquire(
            &self.node,
            scheduler,
            session_affinity::session_id(service, header, value),
            follows_binding,
        )
        .await
    }

    /// Makes one attempt, which ends at `give_up_at` or the deadline at the latest. Returns its outcome and the load that the
    /// inbound proxy reported; `None` if the attempt was cancelled or this process aborts its requests.
    async fn run_attempt(
        &self,
        scheduled: &mut ScheduledRequest,
        endpoint: &Endpoint,
        attempt: Attempt,
        give_up_at: Nanos,
    ) -> Option<(UpstreamOutcome, Option<f64>)> {
        let sending = self.send_attempt(endpoint, attempt, give_up_at.min(self.deadline));
        let mut aborted = pin!(self.node.wait_until_aborted());
        tokio::pin!(sending);
        loop {
            tokio::select! {
                outcome = &mut sending => return Some(outcome),
                action = scheduled.actions.recv() => match action {
                    // A missing response alone is no reason to cancel an attempt: the replicas must suspect the node as
                    // well, and the route must be repeatable.
                    Some(SchedulerAction::Cancel)
                        if self.route.repeat_policy.repeatable()
                            && self.node.is_suspected(&endpoint.inbound_proxy) =>
                    {
                        return None;
                    }
                    None => return None,
                    Some(_) => {}
                },
                () = &mut aborted => return None,
            }
        }
    }

    /// Forwards one attempt to the endpoint's inbound proxy: by a function call on this node, else over a connection with the
    /// parameters in headers. The second value is the inbound proxy's load (running and queued requests), if known.
    async fn send_attempt(
        &self,
        endpoint: &Endpoint,
        attempt: Attempt,
        deadline: Nanos,
    ) -> (UpstreamOutcome, Option<f64>) {
        let Attempt { rejections, has_affinity, is_large, fencing_token, .. } = attempt;
        let (node, now) = (&self.node, self.node.clock.now());
        let (caller, is_remote) = (node.caller_header(), endpoint.inbound_proxy != node.inbound_address());
        let (message, upstream_id, target_at) = (&self.message, &*endpoint.upstream_id, self.target_at);
        let member_share = self
            .route
            .share
            .as_ref()
            .map(|share| MemberShare { member: share.member.clone(), share: share.concurrency });
        let request = InboundRequest {
            message,
            upstream_id,
            caller: &caller,
            rejections,
            has_affinity,
            is_retry: attempt.is_retry || self.caller_is_retry,
            is_nested: self.is_nested,
            is_large,
            is_remote,
            fencing_token,
            target_at,
            deadline,
            member_share,
        };
        if !is_remote {
            let outcome = node.inbound.forward(request).await;
            return (outcome, Some(node.inbound.load() as f64));
        }
        let time_left_ms = deadline.saturating_sub(now) / MS;
        if time_left_ms == 0 {
            return (UpstreamOutcome::NotSent, None);
        }
        let mut added_headers = HeaderMap::new();
        added_headers.insert(TIME_LEFT_MS, HeaderValue::from(time_left_ms));
        if let Ok(id) = HeaderValue::try_from(&*endpoint.upstream_id) {
            added_headers.insert(TARGET_UPSTREAM, id);
        }
        if let Ok(value) = HeaderValue::try_from(request.format_parameters(now)) {
            added_headers.insert(REQUEST_PARAMETERS, value);
        }
        if let Some(Ok(value)) =
            fencing_token.map(|fencing_token| HeaderValue::try_from(fencing_token.to_header()))
        {
            added_headers.insert(FENCING_TOKEN, value);
        }
        added_headers.insert(CALLER_SERVICE, caller);
        node.inbound.record_outgoing_bytes(message.body_length.unwrap_or(0));
        // Only inbound proxies set this header: a response without it is not from one.
        let is_from_inbound_proxy = |head: &Parts| head.headers.contains_key(&ATTEMPT_OUTCOME);
        let outcome = match node
            .connection_pool(endpoint.inbound_proxy)
            .exchange(&self.message, &added_headers, deadline, None, is_from_inbound_proxy)
            .await
        {
            Ok((head, body)) => {
                let value = header_str(&head.headers, &ATTEMPT_OUTCOME).to_owned();
                let (outcome_name, load) = inbound::parse_outcome_header(&value);
                return (UpstreamOutcome::from_wire_name(outcome_name, head, body), load);
            }
            Err(ExchangeError::ConnectFailed) => UpstreamOutcome::ConnectFailed,
            Err(ExchangeError::NotSent) => UpstreamOutcome::NotSent,
            Err(ExchangeError::Reset) => UpstreamOutcome::Reset,
            Err(ExchangeError::TimedOut) => UpstreamOutcome::TimedOut,
        };
        (outcome, None)
    }
}
