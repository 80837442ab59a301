//! The outbound proxy: takes the requests of this node's clients and the nested calls of its upstream.
//!
//! The way of a request: [`handle_request`] finds its route in the configuration in force, reads the body and computes the
//! deadline. A request with an idempotency key takes a lease first (`run_with_lease`). `RequestInFlight::run` then draws a
//! service and carries out the scheduler's actions: each attempt goes to the inbound proxy of the chosen endpoint, and its
//! outcome goes back to the decision module, until there is one final answer for the client.
//!
//! Main types: `RequestInFlight` (one request with its deadline and its session), `Attempt` (what differs between its
//! attempts), `RequestOutcome` (what it came to).
//!
//! Invariants:
//! - Where an attempt goes is decided by the decision module alone, never here.
//! - A request that the configuration in force on this node forbids is not forwarded.
//! - An answer that has arrived is returned at once; nothing here delays it.
//! - A client is told that its request has not run only if that is certain. (On a repeatable route an upstream's own error
//!   response is passed on as it is, since running twice does no harm there.)

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
use crate::mesh::proxy::headers::{ADDRESSEE, CALLER, ID, KEY, LEFT, SESSION_FENCE, TERMS, WAY};
use crate::mesh::proxy::inbound::UpstreamOutcome;
use crate::mesh::proxy::inbound_request::{InboundRequest, MAX_TIME_LEFT_MS};
use crate::mesh::proxy::lease_client;
use crate::mesh::proxy::listener::{self, ReceivedRequest, RequestError, header_str, plain_response};
use crate::mesh::proxy::node::{Node, RequestGuard};
use crate::mesh::proxy::request_scheduler::{
    self, Endpoint, RequestScheduler, ScheduledRequest, SchedulerAction,
};
use crate::mesh::proxy::session_affinity::{self, BoundSession};

const MS: Nanos = 1_000_000;
/// Time kept back from the deadline for the answer's way back to the client.
const RESPONSE_MARGIN: Nanos = 12 * MS;
/// Longest response body, in bytes, that is stored with its lease. A longer one completes the lease as indeterminate.
const MAX_STORED_RESPONSE_BYTES: usize = 64 * 1024;
/// `Retry-After` of a rejection for which the decision module gives no time.
const DEFAULT_RETRY_AFTER: Nanos = 100 * MS;
/// A request with a large response is rejected if this process shuts down sooner than this after it was received, since
/// its response would be cut off.
const MIN_LARGE_RESPONSE_TIME: Nanos = 2_400 * MS;
/// Added to the time after which a client is told to retry: a burst of requests that is rejected at once would otherwise
/// return at once.
const MIN_RETRY_AFTER: Nanos = 10 * MS;

/// What a request came to at this outbound proxy.
enum RequestOutcome {
    /// An upstream's response, successful or not.
    Response(Parts, ResponseBody),
    /// It has not run and never will. The client may retry after this time; 0 stands for [`DEFAULT_RETRY_AFTER`].
    NotRun(Nanos),
    /// It may have run, and there is no response that tells.
    MayHaveRun {
        /// Its deadline has passed: the client gets 504 instead of 502.
        late: bool,
    },
}

/// Answers one request of a client or of the upstream on this node.
///
/// Answers that are made here: 400 without a request id, 404 without a route, what [`listener::read_message`] rejects, 409
/// while the lease on its key is pending, 502 or 504 if it may have run, and 503 with `Retry-After` if it has not run.
/// Each answer carries the request's id.
pub async fn handle_request(node: Arc<Node>, received: ReceivedRequest) -> Response<ResponseBody> {
    let headers = received.request.headers();
    let Some(id) = headers.get(&ID).cloned() else {
        return plain_response(400, "no Ochreshed-Consignment-Id");
    };
    let Some(configuration) = node.configuration.load_full() else { return rejection_response(300 * MS) };
    let host = header_str(headers, &HOST).to_owned();
    let path = received.request.uri().path().to_owned();
    let Some(route) = configuration.route(&host, &path).cloned() else {
        return plain_response(404, "no such route");
    };
    let person = route
        .session_header
        .as_ref()
        .and_then(|name| headers.get(&**name))
        .and_then(|value| value.to_str().ok());
    let person = person.filter(|person| !person.is_empty()).map(str::to_owned);
    let left = header_str(headers, &LEFT).parse::<u64>().unwrap_or(route.deadline_ms).min(MAX_TIME_LEFT_MS);
    let key = Some(header_str(headers, &KEY)).filter(|key| !key.is_empty()).map(lease_client::hash_key);
    let received_at = received.received_at;
    let nested_call = node.nested_call(&id);
    let limits = configuration.limits();
    let slow = Duration::from_millis(limits.header_timeout_ms.max(left));
    let read = listener::read_message(received, &node.bodies, node.clock, limits.max_body_bytes, slow).await;
    let (mut message, room) = match read {
        Ok(read) => read,
        Err(RequestError(status, reason)) => return plain_response(status, reason),
    };
    for name in [&ADDRESSEE, &CALLER, &TERMS, &SESSION_FENCE, &WAY] {
        message.head.headers_mut().remove(name);
    }
    let ends_by = node.shutdown_deadline();
    if route.repeat_policy == RepeatPolicy::LargeResponse && ends_by < received_at + MIN_LARGE_RESPONSE_TIME {
        return rejection_response(DEFAULT_RETRY_AFTER);
    }
    let deadline =
        (received_at + left.min(route.deadline_ms) * MS).min(ends_by).saturating_sub(RESPONSE_MARGIN);
    let target = (received_at + route.latency_target_ms * MS)
        .saturating_sub(node.time_used_ms(&route, left) * MS + RESPONSE_MARGIN);
    // A nested call keeps its caller's slot occupied, and its answer is of use for as long as the caller waits. It is
    // therefore not late before seven tenths of the route's deadline have passed.
    let target = if nested_call.is_some() {
        target.max(received_at + route.deadline_ms * MS * 7 / 10)
    } else {
        target
    };
    let in_flight = RequestInFlight {
        node: node.clone(),
        route: route.clone(),
        edition: configuration.edition(&route),
        message: Arc::new(message),
        deadline,
        received_at,
        target,
        caller_is_retry: nested_call == Some(true),
        is_nested: nested_call.is_some(),
        key,
        person,
    };
    let mut answer = match key.filter(|_| route.repeat_policy == RepeatPolicy::Keyed) {
        Some(key) => {
            // Runs in its own task, so that it is not cancelled when its client disconnects: its outcome must complete the
            // lease, from which later requests with the same key are answered.
            let (send, answered) = oneshot::channel();
            tokio::spawn(async move {
                let (_room, _inside) = (room, RequestGuard::new(&in_flight.node));
                let _ = send.send(run_with_lease(in_flight, key).await);
            });
            answered.await.unwrap_or_else(|_| plain_response(502, "it may have run"))
        }
        None => in_flight.run().await.into_answer(),
    };
    if !answer.headers().contains_key(&ID) {
        answer.headers_mut().insert(ID, id);
    }
    answer
}

/// 503 with `Retry-After`: the request has not run and may be sent again after `retry_after`.
fn rejection_response(retry_after: Nanos) -> Response<ResponseBody> {
    let mut answer = plain_response(503, "not run: come back");
    let back = if retry_after == 0 { DEFAULT_RETRY_AFTER } else { MIN_RETRY_AFTER + retry_after };
    if let Ok(value) = HeaderValue::try_from(format!("{:.3}", to_seconds(back))) {
        answer.headers_mut().insert(RETRY_AFTER, value);
    }
    answer
}

impl RequestOutcome {
    fn into_answer(self) -> Response<ResponseBody> {
        match self {
            RequestOutcome::Response(mut head, body) => {
                head.headers.remove(&WAY);
                Response::from_parts(head, body)
            }
            RequestOutcome::NotRun(retry_after) => rejection_response(retry_after),
            RequestOutcome::MayHaveRun { late: true } => {
                plain_response(504, "its time is over; it may have run")
            }
            RequestOutcome::MayHaveRun { late: false } => plain_response(502, "it may have run"),
        }
    }
}

/// Runs a request with an idempotency key under a lease. If another request holds the lease, this one does not run and
/// is answered from what is known of the other's outcome.
async fn run_with_lease(in_flight: RequestInFlight, key: LeaseKey) -> Response<ResponseBody> {
    let node = in_flight.node.clone();
    let token: LeaseToken = node.new_token();
    let now = node.clock.now();
    let left = in_flight.deadline.saturating_sub(now);
    let wait = lock(&node.lease_breaker).wait(now, left, node.quorum_unreachable());
    let left_ms = (left / MS).min(u64::from(u32::MAX)) as u32;
    let within = Duration::from_nanos(wait);
    let response =
        lease_client::acquire_lease(&node.replicas, &node.rpc, (key, token), left_ms, within).await;
    match response {
        CoreResponse::Unavailable => {
            let ended = node.clock.now();
            lock(&node.lease_breaker).unanswered(ended, ended - now);
        }
        _ => lock(&node.lease_breaker).answered(),
    }
    let complete = |outcome| {
        lease_client::complete_lease(node.replicas.clone(), node.rpc.clone(), (key, token), outcome)
    };
    match response {
        CoreResponse::LeaseGranted => {}
        other => {
            // Some replicas may have granted the lease though no quorum is known to. It is released, and the token is
            // never used.
            complete(None);
            return match other {
                CoreResponse::LeaseHeld(LeaseOutcome::Completed(answer)) => replay_stored(&answer),
                CoreResponse::LeaseHeld(LeaseOutcome::Pending) => {
                    plain_response(409, "a req with this key is at work")
                }
                CoreResponse::LeaseHeld(LeaseOutcome::Indeterminate) => {
                    plain_response(502, "a req with this key may have run")
                }
                _ => rejection_response(200 * MS),
            };
        }
    }
    match in_flight.run().await {
        RequestOutcome::Response(head, ResponseBody::Buffered(body)) => {
            let bytes =
                http_body_util::BodyExt::collect(body).await.map(|body| body.to_bytes()).unwrap_or_default();
            if bytes.len() <= MAX_STORED_RESPONSE_BYTES {
                complete(Some(LeaseOutcome::Completed(Arc::new(stored_response(&head, &bytes)))));
            } else {
                complete(Some(LeaseOutcome::Indeterminate));
            }
            RequestOutcome::Response(head, ResponseBody::of(bytes)).into_answer()
        }
        RequestOutcome::NotRun(retry_after) => {
            complete(None);
            rejection_response(retry_after)
        }
        other => {
            complete(Some(LeaseOutcome::Indeterminate));
            other.into_answer()
        }
    }
}

/// The response as it is stored with its lease: without the headers that belong to this one exchange. Headers whose
/// values aren't visible ASCII are left out.
fn stored_response(head: &Parts, body: &[u8]) -> StoredResponse {
    let text = |(name, value): (&HeaderName, &HeaderValue)| {
        Some((name.as_str().to_owned(), value.to_str().ok()?.to_owned()))
    };
    let ours = [&ID, &WAY];
    let headers = head.headers.iter().filter(|(name, _)| !ours.contains(name)).filter_map(text).collect();
    StoredResponse { status: head.status.as_u16(), headers, body: body.to_vec() }
}

/// A stored response as an answer to another request with the same key.
fn replay_stored(answer: &StoredResponse) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::of(answer.body.clone()));
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    for (name, value) in &answer.headers {
        if let (Ok(name), Ok(value)) = (HeaderName::try_from(name), HeaderValue::try_from(value)) {
            response.headers_mut().append(name, value);
        }
    }
    response
}

/// Whether a status tells the client that the request has not run and never will.
fn promises_not_run(status: StatusCode) -> bool {
    matches!(status.as_u16(), 408 | 421 | 429 | 503)
}

/// Whether a response counts as a success for the decision module, the session binding and the outcome counts.
fn is_success(head: &Parts) -> bool {
    !head.status.is_server_error() && !promises_not_run(head.status)
}

/// What an inbound proxy is told about one attempt of a request.
#[derive(Clone, Copy)]
struct Attempt {
    /// How many inbound proxies have rejected the request before. Starts at 1 for a large response, so that the first
    /// inbound proxy may queue it: it is better served near than soon.
    rejections: u32,
    /// Its session is bound to this upstream, so that it rather waits for a slot than goes elsewhere.
    has_affinity: bool,
    /// An earlier attempt was sent.
    is_retry: bool,
    /// Its response is a large one.
    large: bool,
    /// Its session and the term since which this proxy owns it; none without a session.
    fencing_token: Option<FencingToken>,
}

/// A request that has been received and has no final answer yet.
struct RequestInFlight {
    node: Arc<Node>,
    route: Arc<Route>,
    /// The edition of the member's routes with which it is counted; none on a route of the platform.
    edition: Option<RouteEdition>,
    message: Arc<RequestMessage>,
    /// No attempt goes on after this time. It leaves [`RESPONSE_MARGIN`] before the client's own deadline.
    deadline: Nanos,
    received_at: Nanos,
    /// When an answer is late by the route's latency target.
    target: Nanos,
    /// It is a nested call of a run that was itself a retry.
    caller_is_retry: bool,
    /// It is a nested call: a run of the upstream on this node waits for it.
    is_nested: bool,
    /// Hash of its idempotency key, also on routes that take no lease.
    key: Option<LeaseKey>,
    /// Value of the session header that its route names; none if the route names none or the value is empty.
    person: Option<String>,
}

impl RequestInFlight {
    /// Runs it to its final outcome, and counts that outcome for the member whose route it came by.
    async fn run(&self) -> RequestOutcome {
        let outcome = self.run_attempts().await;
        let succeeded = matches!(&outcome, RequestOutcome::Response(head, _) if is_success(head));
        self.count(OutcomeCounts {
            succeeded: succeeded.into(),
            failed: (!succeeded).into(),
            ..OutcomeCounts::default()
        });
        outcome
    }

    /// Counts for the member's edition; does nothing on a route of the platform.
    fn count(&self, counts: impl Into<OutcomeCounts>) {
        if let Some(edition) = &self.edition {
            self.node.count_outcome(edition, counts.into());
        }
    }

    /// Carries out the scheduler's actions until one of them is final, or the attempts or this process's time are used up.
    async fn run_attempts(&self) -> RequestOutcome {
        let Some(service) = self.node.choose_service(&self.route) else {
            return RequestOutcome::NotRun(DEFAULT_RETRY_AFTER);
        };
        let large = self.route.repeat_policy == RepeatPolicy::LargeResponse;
        let Some(scheduler) = self.node.scheduler(&service, &self.route) else {
            return RequestOutcome::NotRun(DEFAULT_RETRY_AFTER);
        };
        let mut bound = self.session(&scheduler, &service, !large).await;
        let fencing_token = bound.as_ref().map(|bound| bound.token);
        let _at_work = fencing_token
            .zip(self.key)
            .map(|(fencing_token, key)| session_affinity::track_key(&self.node, fencing_token.session, key));
        let route_class: Name = request_scheduler::route_class(&self.route).as_str().into();
        let mut request = RequestContext::new(0, route_class, "".into(), self.received_at, self.deadline);
        request.is_client_retry = self.caller_is_retry;
        request.body_pending = self.message.remainder.is_some();
        request.preferred_endpoint = bound
            .as_ref()
            .and_then(|bound| bound.binding.as_ref())
            .map(|binding| binding.upstream_id.as_str().into());
        let mut scheduled = scheduler.schedule(request);
        let mut last: Option<(Parts, ResponseBody)> = None;
        // Requests with large responses count as rejected once from the start, so that the first inbound proxy, which is a
        // near one, may already queue them instead of rejecting them.
        let (mut may_have_run, mut sent, mut rejections) = (false, 0, u32::from(large));
        let mut aborted = pin!(self.node.aborted());
        loop {
            let action = tokio::select! {
                biased;
                () = &mut aborted => None,
                action = scheduled.actions.recv() => action,
            };
            match action {
                Some(SchedulerAction::Send { number, srv, give_up }) => {
                    if sent >= self.route.max_attempts {
                        break;
                    }
                    let began = self.node.clock.now();
                    let Some(endpoint) = scheduler.endpoint(&srv) else {
                        scheduled.attempt_ended(number, DispatchOutcome::NotSent, 0, false, None);
                        continue;
                    };
                    if let Some(bound) = bound.as_mut().filter(|_| !large)
                        && !session_affinity::attempt_starting(&self.node, &scheduler, bound, &endpoint).await
                    {
                        // The session has moved to another owner or upstream. The client retries, and the retry finds it.
                        scheduled.attempt_ended(number, DispatchOutcome::NotSent, 0, false, None);
                        scheduled.finish();
                        break;
                    }
                    self.count(scheduled.attempt_started());
                    let has_affinity =
                        bound.as_ref().is_some_and(|bound| bound.is_bound_to(&endpoint.upstream_id));
                    let attempt =
                        Attempt { rejections, has_affinity, is_retry: sent > 0, large, fencing_token };
                    let Some((outcome, load)) =
                        self.dispatch(&mut scheduled, &endpoint, attempt, give_up).await
                    else {
                        may_have_run = true;
                        scheduled.attempt_ended(number, DispatchOutcome::Cancelled, 0, false, None);
                        continue;
                    };
                    sent +=
                        u32::from(!matches!(outcome, UpstreamOutcome::Rejected | UpstreamOutcome::Fenced(_)));
                    if matches!(outcome, UpstreamOutcome::Rejected) {
                        rejections += 1;
                        self.count(OutcomeCounts { rejected: 1, ..OutcomeCounts::default() });
                    }
                    let took = self.node.clock.now() - began;
                    let how = match outcome {
                        UpstreamOutcome::Responded(head, body) if is_success(&head) => {
                            scheduled.attempt_ended(number, DispatchOutcome::Done, took, true, load);
                            if let Some(bound) = bound.as_ref().filter(|_| !large) {
                                session_affinity::attempt_succeeded(&self.node, bound, &endpoint);
                            }
                            return RequestOutcome::Response(head, body);
                        }
                        UpstreamOutcome::Responded(head, body) => {
                            may_have_run = true;
                            // The attempt may have run. On a route that isn't repeatable, such a status would promise to the
                            // client that it has not, so that the response isn't passed on.
                            let untrue =
                                !self.route.repeat_policy.repeatable() && promises_not_run(head.status);
                            last = (!untrue).then_some((head, body));
                            DispatchOutcome::Error
                        }
                        UpstreamOutcome::UpstreamFull | UpstreamOutcome::Gone => DispatchOutcome::Full,
                        UpstreamOutcome::Rejected => DispatchOutcome::Rejected,
                        UpstreamOutcome::Fenced(known) => {
                            // Another proxy owns the session since a later term, so that this request comes too late. It
                            // ends here, and the client's retry goes to the new owner.
                            fencing_token
                                .into_iter()
                                .for_each(|fencing_token| self.node.sessions().fenced(fencing_token, known));
                            scheduled.attempt_ended(number, DispatchOutcome::Rejected, took, false, load);
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
                    scheduled.attempt_ended(number, how, took, false, load);
                }
                Some(SchedulerAction::Cancel) => {}
                Some(SchedulerAction::Reject { come_back: retry_after }) => {
                    self.count(scheduled.finish());
                    if last.is_none() && !may_have_run {
                        return RequestOutcome::NotRun(retry_after);
                    }
                    break;
                }
                Some(SchedulerAction::Fail) | None => {
                    self.count(scheduled.finish());
                    break;
                }
            }
        }
        let late = self.node.clock.now() >= self.deadline;
        match last {
            // An upstream's own error response tells the client more than one made here.
            Some((head, body)) => RequestOutcome::Response(head, body),
            None if !may_have_run => RequestOutcome::NotRun(DEFAULT_RETRY_AFTER),
            None => RequestOutcome::MayHaveRun { late },
        }
    }

    /// Acquires the session of the request; none if its route or its headers name none. `follows_binding` says whether the
    /// request goes to the upstream to which the session is bound.
    async fn session(
        &self,
        scheduler: &RequestScheduler,
        service: &Name,
        follows_binding: bool,
    ) -> Option<BoundSession> {
        let (header, person) = (self.route.session_header.as_ref()?, self.person.as_ref()?);
        session_affinity::acquire(
            &self.node,
            scheduler,
            session_affinity::session_id(service, header, person),
            follows_binding,
        )
        .await
    }

    /// Makes one attempt, ended by `give_up` or the deadline at the latest. Returns its outcome and the load that the
    /// inbound proxy reported; `None` if the attempt was cancelled or this process gives up its requests.
    async fn dispatch(
        &self,
        scheduled: &mut ScheduledRequest,
        endpoint: &Endpoint,
        attempt: Attempt,
        give_up: Nanos,
    ) -> Option<(UpstreamOutcome, Option<f64>)> {
        let work = self.send(endpoint, attempt, give_up.min(self.deadline));
        let mut aborted = pin!(self.node.aborted());
        tokio::pin!(work);
        loop {
            tokio::select! {
                outcome = &mut work => return Some(outcome),
                action = scheduled.actions.recv() => match action {
                    // That one attempt stays unanswered is no reason to cancel it: its node must be suspected by the
                    // replicas as well, and the request be one that may run twice.
                    Some(SchedulerAction::Cancel) if self.route.repeat_policy.repeatable() && self.node.is_suspected(&endpoint.inbound_proxy) => {
                        return None;
                    }
                    None => return None,
                    Some(_) => {}
                },
                () = &mut aborted => return None,
            }
        }
    }

    /// Forwards one attempt to the endpoint's inbound proxy: by a call if that is on this node, else over a connection with
    /// the terms in headers. The second value is the inbound proxy's load (running and queued requests), if it is known.
    async fn send(
        &self,
        endpoint: &Endpoint,
        attempt: Attempt,
        until: Nanos,
    ) -> (UpstreamOutcome, Option<f64>) {
        let Attempt { rejections, has_affinity, large, fencing_token, .. } = attempt;
        let (node, now) = (&self.node, self.node.clock.now());
        let (caller, away) = (node.caller_header(), endpoint.inbound_proxy != node.inbound_address());
        let (message, upstream_id, target) = (&self.message, &*endpoint.upstream_id, self.target);
        let share = self
            .route
            .share
            .as_ref()
            .map(|of| MemberShare { member: of.member.clone(), share: of.concurrency });
        let request = InboundRequest {
            message,
            upstream_id,
            caller: &caller,
            rejections,
            has_affinity,
            is_retry: attempt.is_retry || self.caller_is_retry,
            is_nested: self.is_nested,
            is_large: large,
            is_remote: away,
            fencing_token,
            target,
            deadline: until,
            member_share: share,
        };
        if !away {
            let outcome = node.inbound.forward(request).await;
            return (outcome, Some(node.inbound.load() as f64));
        }
        let left = until.saturating_sub(now) / MS;
        if left == 0 {
            return (UpstreamOutcome::NotSent, None);
        }
        let mut fields = HeaderMap::new();
        fields.insert(LEFT, HeaderValue::from(left));
        if let Ok(id) = HeaderValue::try_from(&*endpoint.upstream_id) {
            fields.insert(ADDRESSEE, id);
        }
        if let Ok(value) = HeaderValue::try_from(request.terms_header(now)) {
            fields.insert(TERMS, value);
        }
        if let Some(Ok(value)) =
            fencing_token.map(|fencing_token| HeaderValue::try_from(fencing_token.to_header()))
        {
            fields.insert(SESSION_FENCE, value);
        }
        fields.insert(CALLER, caller);
        node.inbound.note_outgoing_bytes(message.body_length.unwrap_or(0));
        // Only an inbound proxy sets this header: a response without it comes from somewhere else.
        let ours = |head: &Parts| head.headers.contains_key(&WAY);
        let outcome = match node
            .connection_pool(endpoint.inbound_proxy)
            .exchange(&self.message, &fields, until, None, ours)
            .await
        {
            Ok((head, body)) => {
                let value = header_str(&head.headers, &WAY).to_owned();
                let (outcome_word, load) = value.split_once(' ').unwrap_or((&value, ""));
                return (UpstreamOutcome::from_word(outcome_word, head, body), load.parse().ok());
            }
            Err(ExchangeError::ConnectFailed) => UpstreamOutcome::ConnectFailed,
            Err(ExchangeError::NotSent) => UpstreamOutcome::NotSent,
            Err(ExchangeError::Reset) => UpstreamOutcome::Reset,
            Err(ExchangeError::TimedOut) => UpstreamOutcome::TimedOut,
        };
        (outcome, None)
    }
}
