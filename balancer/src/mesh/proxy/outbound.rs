//! The gate: reqs of the clients and the upstream of this machine. It owns the way of a req from its head to its one
//! final answer: route, service, key, the module's steps, the dispatches. It must never decide where a req goes (the
//! module does), let one go on that the configuration in force here forbids, or hold back an answer it has.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use hyper::header::{HOST, HeaderMap, HeaderName, HeaderValue, RETRY_AFTER};
use hyper::http::response::Parts;
use hyper::{Response, StatusCode};
use ochreshed::{How, Name, Nanos, Req, seconds};
use ochreshed_catalog::configuration::{RepeatPolicy, Route};
use ochreshed_catalog::traffic_reports::{OutcomeCounts, RouteEdition};
use ochreshed_consensus::messages::{CoreResponse, LeaseKey, LeaseOutcome, LeaseToken, StoredResponse};
use ochreshed_traffic::admission::MemberShare;
use tokio::sync::oneshot;

use crate::body::Message;
use crate::link::held;
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
/// What an answer may need on its way back to the client.
const RESPONSE_MARGIN: Nanos = 12 * MS;
/// A body of an answer that is longer is not kept with its key.
const MAX_STORED_RESPONSE_BYTES: usize = 64 * 1024;
/// How a client is told to come back where the module says nothing of it.
const DEFAULT_RETRY_AFTER: Nanos = 100 * MS;
/// A large answer is not begun with less time than this before the process gives up what is inside.
const MIN_LARGE_RESPONSE_TIME: Nanos = 2_400 * MS;
/// Nobody is told to come back sooner: a burst that is refused at once would be here again at once.
const MIN_RETRY_AFTER: Nanos = 10 * MS;

/// What a req came to here.
enum RequestOutcome {
    Response(Parts, ResponseBody),
    /// It has not run and never will.
    NotRun(Nanos),
    /// It may have run.
    MayHaveRun {
        late: bool,
    },
}

pub async fn handle_request(node: Arc<Node>, received: ReceivedRequest) -> Response<ResponseBody> {
    let headers = received.request.headers();
    let Some(id) = headers.get(&ID).cloned() else {
        return plain_response(400, "no Ochreshed-Consignment-Id");
    };
    let Some(configuration) = node.configuration.load_full() else { return deny(300 * MS) };
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
    let at = received.received_at;
    let call = node.nested_call(&id);
    let limits = configuration.limits();
    let slow = Duration::from_millis(limits.header_timeout_ms.max(left));
    let read = listener::read_message(received, &node.bodies, node.clock, limits.max_body_bytes, slow).await;
    let (mut message, room) = match read {
        Ok(read) => read,
        Err(RequestError(status, line)) => return plain_response(status, line),
    };
    for name in [&ADDRESSEE, &CALLER, &TERMS, &SESSION_FENCE, &WAY] {
        message.head.headers_mut().remove(name);
    }
    let ends_by = node.shutdown_deadline();
    if route.repeat_policy == RepeatPolicy::LargeResponse && ends_by < at + MIN_LARGE_RESPONSE_TIME {
        return deny(DEFAULT_RETRY_AFTER);
    }
    let ends = (at + left.min(route.deadline_ms) * MS).min(ends_by).saturating_sub(RESPONSE_MARGIN);
    let target = (at + route.latency_target_ms * MS)
        .saturating_sub(node.time_used_ms(&route, left) * MS + RESPONSE_MARGIN);
    // A call keeps its caller's slot taken, and is of use for as long as that waits.
    let target = if call.is_some() { target.max(at + route.deadline_ms * MS * 7 / 10) } else { target };
    let again = call == Some(true);
    let message = Arc::new(message);
    let (branch_of, route_of, call) = (node.clone(), route.clone(), call.is_some());
    let edition = configuration.edition(&route);
    let in_flight = RequestInFlight {
        node: branch_of,
        route: route_of,
        edition,
        message,
        ends,
        at,
        target,
        again,
        call,
        key,
        person,
    };
    let answer = match key.filter(|_| route.repeat_policy == RepeatPolicy::Keyed) {
        Some(key) => {
            // Goes on to its end though its client goes: its outcome is its key's.
            let (send, got) = oneshot::channel();
            tokio::spawn(async move {
                let (_room, _inside) = (room, RequestGuard::new(&in_flight.node));
                let _ = send.send(keyed(in_flight, key).await);
            });
            got.await.unwrap_or_else(|_| plain_response(502, "it may have run"))
        }
        None => in_flight.run().await.into_answer(),
    };
    let mut answer = answer;
    if !answer.headers().contains_key(&ID) {
        answer.headers_mut().insert(ID, id);
    }
    answer
}

fn deny(come_back: Nanos) -> Response<ResponseBody> {
    let mut answer = plain_response(503, "not run: come back");
    let back = if come_back == 0 { DEFAULT_RETRY_AFTER } else { MIN_RETRY_AFTER + come_back };
    if let Ok(value) = HeaderValue::try_from(format!("{:.3}", seconds(back))) {
        answer.headers_mut().insert(RETRY_AFTER, value);
    }
    answer
}

impl RequestOutcome {
    fn into_answer(self) -> Response<ResponseBody> {
        match self {
            RequestOutcome::Response(mut head, flow) => {
                head.headers.remove(&WAY);
                Response::from_parts(head, flow)
            }
            RequestOutcome::NotRun(come_back) => deny(come_back),
            RequestOutcome::MayHaveRun { late: true } => {
                plain_response(504, "its time is over; it may have run")
            }
            RequestOutcome::MayHaveRun { late: false } => plain_response(502, "it may have run"),
        }
    }
}

/// A req with a key: claimed first, run if it was granted, answered from the first one's answer if not.
async fn keyed(in_flight: RequestInFlight, key: LeaseKey) -> Response<ResponseBody> {
    let node = in_flight.node.clone();
    let token: LeaseToken = node.new_token();
    let now = node.clock.now();
    let left = in_flight.ends.saturating_sub(now);
    let wait = held(&node.lease_breaker).wait(now, left, node.quorum_unreachable());
    let left_ms = (left / MS).min(u64::from(u32::MAX)) as u32;
    let within = Duration::from_nanos(wait);
    let got = lease_client::acquire_lease(&node.replicas, &node.rpc, (key, token), left_ms, within).await;
    match got {
        CoreResponse::Unavailable => {
            let ended = node.clock.now();
            held(&node.lease_breaker).unanswered(ended, ended - now);
        }
        _ => held(&node.lease_breaker).answered(),
    }
    let settle = |outcome| {
        lease_client::complete_lease(node.replicas.clone(), node.rpc.clone(), (key, token), outcome)
    };
    match got {
        CoreResponse::LeaseGranted => {}
        other => {
            // The claim may stand at some of the core: it is given back, and never used.
            settle(None);
            return match other {
                CoreResponse::LeaseHeld(LeaseOutcome::Completed(answer)) => replay(&answer),
                CoreResponse::LeaseHeld(LeaseOutcome::Pending) => {
                    plain_response(409, "a req with this key is at work")
                }
                CoreResponse::LeaseHeld(LeaseOutcome::Indeterminate) => {
                    plain_response(502, "a req with this key may have run")
                }
                _ => deny(200 * MS),
            };
        }
    }
    match in_flight.run().await {
        RequestOutcome::Response(head, ResponseBody::Buffered(body)) => {
            let bytes =
                http_body_util::BodyExt::collect(body).await.map(|body| body.to_bytes()).unwrap_or_default();
            if bytes.len() <= MAX_STORED_RESPONSE_BYTES {
                settle(Some(LeaseOutcome::Completed(Arc::new(kept(&head, &bytes)))));
            } else {
                settle(Some(LeaseOutcome::Indeterminate));
            }
            RequestOutcome::Response(head, ResponseBody::of(bytes)).into_answer()
        }
        RequestOutcome::NotRun(come_back) => {
            settle(None);
            deny(come_back)
        }
        other => {
            settle(Some(LeaseOutcome::Indeterminate));
            other.into_answer()
        }
    }
}

fn kept(head: &Parts, body: &[u8]) -> StoredResponse {
    let text = |(name, value): (&HeaderName, &HeaderValue)| {
        Some((name.as_str().to_owned(), value.to_str().ok()?.to_owned()))
    };
    let ours = [&ID, &WAY];
    let headers = head.headers.iter().filter(|(name, _)| !ours.contains(name)).filter_map(text).collect();
    StoredResponse { status: head.status.as_u16(), headers, body: body.to_vec() }
}

fn replay(answer: &StoredResponse) -> Response<ResponseBody> {
    let mut again = Response::new(ResponseBody::of(answer.body.clone()));
    *again.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    for (name, value) in &answer.headers {
        if let (Ok(name), Ok(value)) = (HeaderName::try_from(name), HeaderValue::try_from(value)) {
            again.headers_mut().append(name, value);
        }
    }
    again
}

/// Whether a status says that the req has not run and never will.
fn promises(status: StatusCode) -> bool {
    matches!(status.as_u16(), 408 | 421 | 429 | 503)
}

/// Whether an answer is a good one.
fn well(head: &Parts) -> bool {
    !head.status.is_server_error() && !promises(head.status)
}

/// One attempt of a request, as the door is told of it.
#[derive(Clone, Copy)]
struct Attempt {
    /// How many doors have turned it away before.
    turned: u32,
    /// Its session lives there: it rather waits for a slot than goes elsewhere.
    tied: bool,
    /// It was sent before.
    again: bool,
    /// Its answer is a large one.
    large: bool,
    fencing_token: Option<FencingToken>,
}

/// A req on its way.
struct RequestInFlight {
    node: Arc<Node>,
    route: Arc<Route>,
    /// Whose routes it is counted with; none of the platform's.
    edition: Option<RouteEdition>,
    message: Arc<Message>,
    ends: Nanos,
    at: Nanos,
    /// When an answer is late.
    target: Nanos,
    /// It was called by a run that was sent again.
    again: bool,
    /// It was called by a run.
    call: bool,
    key: Option<LeaseKey>,
    /// What names its session.
    person: Option<String>,
}

impl RequestInFlight {
    async fn run(&self) -> RequestOutcome {
        let outcome = self.run_attempts().await;
        let well = matches!(&outcome, RequestOutcome::Response(head, _) if well(head));
        self.count(OutcomeCounts {
            succeeded: well.into(),
            failed: (!well).into(),
            ..OutcomeCounts::default()
        });
        outcome
    }

    fn count(&self, fared: impl Into<OutcomeCounts>) {
        if let Some(edition) = &self.edition {
            self.node.count_outcome(edition, fared.into());
        }
    }

    async fn run_attempts(&self) -> RequestOutcome {
        let Some(line) = self.node.choose_service(&self.route) else {
            return RequestOutcome::NotRun(DEFAULT_RETRY_AFTER);
        };
        let large = self.route.repeat_policy == RepeatPolicy::LargeResponse;
        let Some(scheduler) = self.node.scheduler(&line, &self.route) else {
            return RequestOutcome::NotRun(DEFAULT_RETRY_AFTER);
        };
        let mut bound = self.session(&scheduler, &line, !large).await;
        let fencing_token = bound.as_ref().map(|bound| bound.token);
        let _at_work = fencing_token
            .zip(self.key)
            .map(|(fencing_token, key)| session_affinity::track_key(&self.node, fencing_token.session, key));
        let rule_set: Name = request_scheduler::route_class(&self.route).as_str().into();
        let mut req = Req::new(0, rule_set, "".into(), self.at, self.ends);
        req.again = self.again;
        req.coming = self.message.long.is_some();
        req.tie = bound
            .as_ref()
            .and_then(|bound| bound.binding.as_ref())
            .map(|binding| binding.upstream_id.as_str().into());
        let mut scheduled = scheduler.schedule(req);
        let mut last: Option<(Parts, ResponseBody)> = None;
        // A large answer is wanted from near: the first door may let it wait already.
        let (mut ran, mut sent, mut turned) = (false, 0, u32::from(large));
        let mut over = pin!(self.node.aborted());
        loop {
            let step = tokio::select! {
                biased;
                () = &mut over => None,
                step = scheduled.steps.recv() => step,
            };
            match step {
                Some(SchedulerAction::Send { number, srv, give_up }) => {
                    if sent >= self.route.max_attempts {
                        break;
                    }
                    let began = self.node.clock.now();
                    let Some(place) = scheduler.endpoint(&srv) else {
                        scheduled.attempt_ended(number, How::NotSent, 0, false, None);
                        continue;
                    };
                    if let Some(bound) = bound.as_mut().filter(|_| !large)
                        && !session_affinity::attempt_starting(&self.node, &scheduler, bound, &place).await
                    {
                        // It comes again, and finds where its person is.
                        scheduled.attempt_ended(number, How::NotSent, 0, false, None);
                        scheduled.finish();
                        break;
                    }
                    self.count(scheduled.attempt_started());
                    let tied = bound.as_ref().is_some_and(|bound| bound.is_bound_to(&place.upstream_id));
                    let attempt = Attempt { turned, tied, again: sent > 0, large, fencing_token };
                    let Some((end, inside)) = self.dispatch(&mut scheduled, &place, attempt, give_up).await
                    else {
                        ran = true;
                        scheduled.attempt_ended(number, How::Recalled, 0, false, None);
                        continue;
                    };
                    sent += u32::from(!matches!(end, UpstreamOutcome::Rejected | UpstreamOutcome::Fenced(_)));
                    if matches!(end, UpstreamOutcome::Rejected) {
                        turned += 1;
                        self.count(OutcomeCounts { rejected: 1, ..OutcomeCounts::default() });
                    }
                    let took = self.node.clock.now() - began;
                    let how = match end {
                        UpstreamOutcome::Responded(head, flow) if well(&head) => {
                            scheduled.attempt_ended(number, How::Done, took, true, inside);
                            if let Some(bound) = bound.as_ref().filter(|_| !large) {
                                session_affinity::attempt_succeeded(&self.node, bound, &place);
                            }
                            return RequestOutcome::Response(head, flow);
                        }
                        UpstreamOutcome::Responded(head, flow) => {
                            ran = true;
                            // It may have run, and such an answer would promise that it did not.
                            let untrue = !self.route.repeat_policy.repeatable() && promises(head.status);
                            last = (!untrue).then_some((head, flow));
                            How::Error
                        }
                        UpstreamOutcome::UpstreamFull | UpstreamOutcome::Gone => How::Full,
                        UpstreamOutcome::Rejected => How::Turned,
                        UpstreamOutcome::Fenced(known) => {
                            // Its session went on elsewhere: this is a late one, and whoever means it comes again.
                            fencing_token
                                .into_iter()
                                .for_each(|fencing_token| self.node.sessions().fenced(fencing_token, known));
                            scheduled.attempt_ended(number, How::Turned, took, false, inside);
                            scheduled.finish();
                            break;
                        }
                        UpstreamOutcome::ConnectFailed => How::NoConnection,
                        UpstreamOutcome::NotSent => How::NotSent,
                        UpstreamOutcome::Reset => {
                            ran = true;
                            How::Reset
                        }
                        UpstreamOutcome::TimedOut => {
                            ran = true;
                            How::TimedOut
                        }
                    };
                    scheduled.attempt_ended(number, how, took, false, inside);
                }
                Some(SchedulerAction::Cancel) => {}
                Some(SchedulerAction::Reject { come_back }) => {
                    self.count(scheduled.finish());
                    if last.is_none() && !ran {
                        return RequestOutcome::NotRun(come_back);
                    }
                    break;
                }
                Some(SchedulerAction::Fail) | None => {
                    self.count(scheduled.finish());
                    break;
                }
            }
        }
        let late = self.node.clock.now() >= self.ends;
        match last {
            // The upstream's own word on it, where it has one.
            Some((head, flow)) => RequestOutcome::Response(head, flow),
            None if !ran => RequestOutcome::NotRun(DEFAULT_RETRY_AFTER),
            None => RequestOutcome::MayHaveRun { late },
        }
    }

    /// The session of the person that it is of, where its route names one.
    async fn session(&self, scheduler: &RequestScheduler, line: &Name, ties: bool) -> Option<BoundSession> {
        let (header, person) = (self.route.session_header.as_ref()?, self.person.as_ref()?);
        session_affinity::acquire(
            &self.node,
            scheduler,
            session_affinity::session_id(line, header, person),
            ties,
        )
        .await
    }

    /// One dispatch, and how many reqs its door has inside; nothing if the module recalled it.
    async fn dispatch(
        &self,
        scheduled: &mut ScheduledRequest,
        place: &Endpoint,
        attempt: Attempt,
        give_up: Nanos,
    ) -> Option<(UpstreamOutcome, Option<f64>)> {
        let work = self.send(place, attempt, give_up.min(self.ends));
        let mut over = pin!(self.node.aborted());
        tokio::pin!(work);
        loop {
            tokio::select! {
                end = &mut work => return Some(end),
                step = scheduled.steps.recv() => match step {
                    // Silence alone is no reason to break one off: its machine must be quiet to others too, and
                    // the req be one that may run again.
                    Some(SchedulerAction::Cancel) if self.route.repeat_policy.repeatable() && self.node.is_suspected(&place.inbound_proxy) => {
                        return None;
                    }
                    None => return None,
                    Some(_) => {}
                },
                () = &mut over => return None,
            }
        }
    }

    async fn send(&self, place: &Endpoint, attempt: Attempt, until: Nanos) -> (UpstreamOutcome, Option<f64>) {
        let Attempt { turned, tied, large, fencing_token, .. } = attempt;
        let (node, again, now) = (&self.node, attempt.again || self.again, self.node.clock.now());
        let (caller, away) = (node.caller_header(), place.inbound_proxy != node.inbound_address());
        let (message, meant, target) = (&self.message, &*place.upstream_id, self.target);
        let part = self
            .route
            .share
            .as_ref()
            .map(|of| MemberShare { member: of.member.clone(), share: of.concurrency });
        let request = InboundRequest {
            message,
            meant,
            caller: &caller,
            turned,
            tied,
            again,
            call: self.call,
            large,
            away,
            fencing_token,
            target,
            until,
            part,
        };
        if !away {
            let end = node.inbound.forward(request).await;
            return (end, Some(node.inbound.load() as f64));
        }
        let left = until.saturating_sub(now) / MS;
        if left == 0 {
            return (UpstreamOutcome::NotSent, None);
        }
        let mut fields = HeaderMap::new();
        fields.insert(LEFT, HeaderValue::from(left));
        if let Ok(id) = HeaderValue::try_from(&*place.upstream_id) {
            fields.insert(ADDRESSEE, id);
        }
        if let Ok(word) = HeaderValue::try_from(request.terms_header(now)) {
            fields.insert(TERMS, word);
        }
        if let Some(Ok(word)) =
            fencing_token.map(|fencing_token| HeaderValue::try_from(fencing_token.to_header()))
        {
            fields.insert(SESSION_FENCE, word);
        }
        fields.insert(CALLER, caller);
        node.inbound.note_outgoing_bytes(message.length.unwrap_or(0));
        let ours = |head: &Parts| head.headers.contains_key(&WAY);
        let end = match node
            .connection_pool(place.inbound_proxy)
            .exchange(&self.message, &fields, until, None, ours)
            .await
        {
            Ok((head, flow)) => {
                let word = header_str(&head.headers, &WAY).to_owned();
                let (word, inside) = word.split_once(' ').unwrap_or((&word, ""));
                return (UpstreamOutcome::from_word(word, head, flow), inside.parse().ok());
            }
            Err(ExchangeError::ConnectFailed) => UpstreamOutcome::ConnectFailed,
            Err(ExchangeError::NotSent) => UpstreamOutcome::NotSent,
            Err(ExchangeError::Reset) => UpstreamOutcome::Reset,
            Err(ExchangeError::TimedOut) => UpstreamOutcome::TimedOut,
        };
        (end, None)
    }
}
