//! The module's actor. It owns the module with the reqs in hand and tells peers and the list what the module
//! decided. It must never decide anything itself, and never wait for a peer: what a mailbox can't take has
//! not been sent.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};

use hyper::Response;
use ochreshed::{Balancer, DispatchOutcome, Event, ListedEndpoint, Name, Nanos, RequestContext};
use ochreshed_policy_runtime::{Action, DispatchResult, PolicyRuntime};
use ochreshed_replica::outcomes::OutcomeCounts;
use tokio::sync::mpsc::error::TrySendError;
use tokio::sync::mpsc::{self, OwnedPermit};
use tokio::sync::oneshot;
use tokio::time::sleep_until;
use tower::Service;
use tracing::info;

use crate::body::{Message, Reply};
use crate::clock::Clock;
use crate::list::{self, Entry};
use crate::peer::{self, Job};

pub enum Mail {
    Take {
        req: RequestContext,
        message: Arc<Message>,
        reply: oneshot::Sender<Answer>,
    },
    /// The client of this req has gone.
    Left(u64),
    /// The last byte of a long req has come, and goes to the srv.
    Written {
        id: u64,
        number: usize,
    },
    Ended {
        id: u64,
        number: usize,
        how: DispatchOutcome,
        at: Nanos,
        /// How long its body took to come, if that was waited for.
        waited: Nanos,
        answer: Option<Response<Reply>>,
    },
    Probed {
        srv: Name,
        how: DispatchOutcome,
        took: Nanos,
    },
    List {
        whole: bool,
        old: bool,
        /// Discovery's, for the fleet.
        version: u64,
        entries: Vec<Entry>,
    },
    ListFailed,
    /// What others of the fleet have seen at a srv.
    Others {
        srv: Name,
        rule_set: Name,
        how: DispatchOutcome,
        times: u16,
    },
}

/// What dispatches came to here, by srv and rule set, for the others; gathered only where instances speak.
pub type Evidence = Arc<Mutex<HashMap<(Name, Name), OutcomeCounts>>>;

/// The one final answer to a req.
pub enum Answer {
    Done(Response<Reply>),
    Deny { come_back: Nanos },
    Abort,
}

/// A req for the module and the message to carry. Its id is given here.
pub type Offer = (RequestContext, Message);

/// The decisions as a service, for whatever protocol stands before them.
#[derive(Clone)]
pub struct Decisions {
    mail: mpsc::Sender<Mail>,
    ids: Arc<AtomicU64>,
}

impl Decisions {
    pub fn new(mail: mpsc::Sender<Mail>) -> Decisions {
        Decisions { mail, ids: Arc::default() }
    }
}

/// Tells the module that a client has gone, if its answer is dropped before it came. The place in the mailbox
/// is kept from the start: this news must not get lost in a crowd.
struct Leaver(Option<(OwnedPermit<Mail>, u64)>);

impl Drop for Leaver {
    fn drop(&mut self) {
        if let Some((place, id)) = self.0.take() {
            place.send(Mail::Left(id));
        }
    }
}

impl Service<Offer> for Decisions {
    type Response = Answer;
    type Error = &'static str;
    type Future = Pin<Box<dyn Future<Output = Result<Answer, &'static str>> + Send>>;

    fn poll_ready(&mut self, _: &mut Context) -> Poll<Result<(), &'static str>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, (mut req, message): Offer) -> Self::Future {
        let (mail, id) = (self.mail.clone(), self.ids.fetch_add(1, Relaxed));
        req.id = id;
        Box::pin(async move {
            const OVER: &str = "the module has ended";
            let place = mail.clone().reserve_owned().await.map_err(|_| OVER)?;
            let (reply, answer) = oneshot::channel();
            let take = Mail::Take { req, message: Arc::new(message), reply };
            mail.send(take).await.map_err(|_| OVER)?;
            let mut leaver = Leaver(Some((place, id)));
            let answer = answer.await.map_err(|_| OVER);
            leaver.0 = None;
            answer
        })
    }
}

/// What is kept of a req beside what the module needs.
struct Taken {
    message: Arc<Message>,
    once: bool,
    reply: Option<oneshot::Sender<Answer>>,
    sent_at: Nanos,
    recall: Option<oneshot::Sender<()>>,
    /// Where its last dispatch went, and its rule set, where that is gathered.
    went: Option<(Name, Name)>,
    rule_set: Name,
}

/// Srvs and rule sets of which outcomes are gathered at once: they are taken over ten times a second.
const MOST_COUNTED: usize = 1_000;

/// Adds an outcome to what the others are told.
fn note(evidence: &Evidence, (srv, rule_set): (Name, Name), how: DispatchOutcome, left: bool) {
    let mut all = evidence.lock().unwrap_or_else(PoisonError::into_inner);
    let key = (srv, rule_set);
    if all.len() >= MOST_COUNTED && !all.contains_key(&key) {
        return;
    }
    let counts = all.entry(key).or_default();
    let count = match how {
        DispatchOutcome::Done => &mut counts.succeeded,
        DispatchOutcome::Error => &mut counts.failed,
        DispatchOutcome::NoConnection | DispatchOutcome::Reset | DispatchOutcome::TimedOut => {
            &mut counts.lost
        }
        // Given up because its site answers nobody here.
        DispatchOutcome::Cancelled if !left => &mut counts.lost,
        DispatchOutcome::Cancelled
        | DispatchOutcome::Full
        | DispatchOutcome::NotSent
        | DispatchOutcome::Rejected => return,
    };
    *count = count.saturating_add(1);
}

/// Where a srv is reached, and the mailbox of its peer once something has been sent there. Peers of srvs that
/// are out of use end by themselves, so a long list costs what is in use of it.
struct Peer {
    address: SocketAddr,
    mail: Option<mpsc::Sender<peer::Mail>>,
}

pub struct Actor {
    clock: Clock,
    runtime: PolicyRuntime,
    /// The rule sets whose reqs must not run twice.
    once: HashSet<Name>,
    taken: HashMap<u64, Taken>,
    /// Reqs that may be over.
    touched: Vec<u64>,
    peers: HashMap<Name, Peer>,
    common: peer::Common,
    list: mpsc::Sender<list::Mail>,
    /// Told once, when the first list comes that is not the one from before the start.
    fresh: Option<oneshot::Sender<()>>,
    evidence: Option<Evidence>,
}

impl Actor {
    pub fn new(
        balancer: Balancer,
        once: HashSet<Name>,
        common: peer::Common,
        list: mpsc::Sender<list::Mail>,
        fresh: oneshot::Sender<()>,
        evidence: Option<Evidence>,
    ) -> Actor {
        let (clock, runtime) = (common.clock, PolicyRuntime::new(balancer));
        Actor {
            clock,
            runtime,
            once,
            taken: HashMap::new(),
            touched: Vec::new(),
            peers: HashMap::new(),
            common,
            list,
            fresh: Some(fresh),
            evidence,
        }
    }

    pub async fn run(mut self, mut mailbox: mpsc::Receiver<Mail>) {
        loop {
            let next = self.settle();
            tokio::select! {
                biased;
                mail = mailbox.recv() => {
                    let Some(mail) = mail else { return };
                    self.open(mail);
                    // What has come together is settled together.
                    while let Ok(mail) = mailbox.try_recv() {
                        self.open(mail);
                    }
                }
                () = sleep_until(self.clock.instant(next)) => {}
            }
        }
    }

    fn open(&mut self, mail: Mail) {
        let now = self.clock.now();
        match mail {
            Mail::Take { req, message, reply } => {
                let once = self.once.contains(&req.rule_set);
                let rule_set = req.rule_set.clone();
                let reply = Some(reply);
                let taken = Taken { message, once, reply, sent_at: now, recall: None, went: None, rule_set };
                self.taken.insert(req.id, taken);
                self.runtime.accept_request(now, req);
            }
            Mail::Left(id) => {
                self.runtime.handle_client_disconnected(now, id);
                self.touched.push(id);
            }
            Mail::Written { id, number } => self.runtime.handle_request_sent(now, id, number),
            Mail::Ended { id, number, how, at, waited, answer } => {
                let Some(taken) = self.taken.get_mut(&id) else { return };
                let took = at.saturating_sub(taken.sent_at + waited);
                taken.recall = None;
                if let (Some(evidence), Some(went)) = (&self.evidence, taken.went.take()) {
                    // One that its client left says nothing of the srv.
                    let left = taken.reply.as_ref().is_none_or(oneshot::Sender::is_closed);
                    note(evidence, went, how, left);
                }
                if let Some(answer) = answer {
                    taken.answer(Answer::Done(answer));
                }
                let end = DispatchResult {
                    outcome: how,
                    duration: took,
                    is_final: how == DispatchOutcome::Done,
                    load_report: &[],
                };
                self.runtime.handle_dispatch_ended(now, id, number, end);
                self.touched.push(id);
            }
            Mail::Probed { srv, how, took } => {
                self.runtime.handle_event(
                    now,
                    Event::ProbeEnded { endpoint: &srv, outcome: how, duration: took, load_report: &[] },
                );
            }
            Mail::List { whole, old, entries, .. } => self.follow_list(now, whole, old, entries),
            Mail::ListFailed => self.runtime.handle_event(now, Event::EndpointListFailed),
            Mail::Others { srv, rule_set, how, times } => {
                for _ in 0..times {
                    self.runtime.handle_event(
                        now,
                        Event::PeerDispatchEnded { endpoint: &srv, rule_set: &rule_set, outcome: how },
                    );
                }
            }
        }
    }

    fn follow_list(&mut self, now: Nanos, whole: bool, old: bool, entries: Vec<Entry>) {
        if whole {
            let listed: HashSet<&Name> = entries.iter().map(|(listed, _)| &listed.name).collect();
            self.peers.retain(|name, _| listed.contains(name));
        }
        for (listed, address) in &entries {
            if listed.state == ochreshed::EndpointState::Gone {
                self.peers.remove(&listed.name);
            } else if self.peers.get(&listed.name).is_none_or(|peer| peer.address != *address) {
                self.peers.insert(listed.name.clone(), Peer { address: *address, mail: None });
            }
        }
        if !old && let Some(fresh) = self.fresh.take() {
            // Nobody waits for it at an ordinary start.
            let _ = fresh.send(());
        }
        let entries: Vec<ListedEndpoint> = entries.into_iter().map(|(listed, _)| listed).collect();
        self.runtime.handle_event(
            now,
            Event::EndpointsListed { is_complete: whole, is_stale: old, endpoints: &entries },
        );
    }

    /// Does what the module wants done; answers with the time it is asked again.
    fn settle(&mut self) -> Nanos {
        loop {
            let now = self.clock.now();
            let next = self.runtime.run_due_work(now);
            let mut unsent = Vec::new();
            for act in self.runtime.take_actions() {
                self.act(now, act, &mut unsent);
            }
            if unsent.is_empty() {
                self.forget();
                let counts = self.runtime.count_endpoints();
                self.common.figures.stand((counts.listed, counts.avoided));
                return next;
            }
            for (id, number) in unsent {
                let end = DispatchResult {
                    outcome: DispatchOutcome::NotSent,
                    duration: 0,
                    is_final: false,
                    load_report: &[],
                };
                self.runtime.handle_dispatch_ended(now, id, number, end);
            }
        }
    }

    fn act(&mut self, now: Nanos, act: Action, unsent: &mut Vec<(u64, usize)>) {
        match act {
            Action::Send { request_id: id, dispatch_index: number, endpoint: srv, give_up_at: give_up } => {
                if !self.send(now, id, number, &srv, give_up) {
                    unsent.push((id, number));
                }
            }
            Action::CancelDispatch { request_id: id, .. } => {
                let recall = self.taken.get_mut(&id).and_then(|taken| taken.recall.take());
                // One that has just ended needs no recall.
                recall.map(|recall| recall.send(()));
            }
            Action::Deny { request_id: id, retry_after: come_back } => {
                self.answer(id, Answer::Deny { come_back })
            }
            Action::Abort { request_id: id } => self.answer(id, Answer::Abort),
            // With wishes enough in its mailbox the list is asked anyway.
            Action::WatchEndpoints => drop(self.list.try_send(list::Mail::Watch)),
            Action::FetchEndpoints => drop(self.list.try_send(list::Mail::Fetch)),
            Action::Probe(srv) => drop(self.post(&srv, peer::Mail::Probe(now + 1_000_000_000))),
            Action::CloseIdleConnections(srv) => self.shut(&srv),
            Action::Log(line) => info!("{line}"),
        }
    }

    fn send(&mut self, now: Nanos, id: u64, number: usize, srv: &Name, give_up: Nanos) -> bool {
        let Some(taken) = self.taken.get_mut(&id) else { return false };
        let (recall, recalled) = oneshot::channel();
        let (message, once) = (taken.message.clone(), taken.once);
        let job = Job { id, number, give_up, message, once, recalled };
        (taken.sent_at, taken.recall) = (now, Some(recall));
        taken.went = self.evidence.as_ref().map(|_| (srv.clone(), taken.rule_set.clone()));
        self.post(srv, peer::Mail::Send(job))
    }

    /// Sends mail to a srv's peer, which is started if there is none: the first time, and where the last one has
    /// ended for want of use.
    fn post(&mut self, srv: &Name, mut mail: peer::Mail) -> bool {
        let Some(peer) = self.peers.get_mut(srv) else { return false };
        if let Some(mailbox) = &peer.mail {
            match mailbox.try_send(mail) {
                Ok(()) => return true,
                Err(TrySendError::Full(_)) => return false,
                Err(TrySendError::Closed(back)) => mail = back,
            }
        }
        let mailbox = peer.mail.insert(peer::start(srv.clone(), peer.address, self.common.clone()));
        mailbox.try_send(mail).is_ok()
    }

    fn shut(&self, srv: &Name) {
        if let Some(Peer { mail: Some(mailbox), .. }) = self.peers.get(srv) {
            // One with a full mailbox is not told: it is but a wish.
            let _ = mailbox.try_send(peer::Mail::Shut);
        }
    }

    fn answer(&mut self, id: u64, answer: Answer) {
        if let Some(taken) = self.taken.get_mut(&id) {
            taken.answer(answer);
        }
        self.touched.push(id);
    }

    /// Drops what is over, once all that the module wanted done for it has been. Guards against a deny that
    /// finds its reply gone: the client would be told that its req may have run.
    fn forget(&mut self) {
        for id in self.touched.drain(..) {
            if !self.runtime.has_request(id) {
                self.taken.remove(&id);
            }
        }
    }
}

impl Taken {
    fn answer(&mut self, answer: Answer) {
        if let Some(reply) = self.reply.take() {
            // Nobody listens once the client has gone.
            let _ = reply.send(answer);
        }
    }
}

#[cfg(test)]
mod tests {
    use std::time::Duration;

    use ochreshed::Parameters;
    use tokio::sync::Semaphore;

    use super::*;
    use crate::figures::Figures;

    fn actor() -> Actor {
        let (decisions, _) = mpsc::channel(8);
        let (list, _) = mpsc::channel(8);
        let common = peer::Common {
            clock: Clock::new(),
            decisions,
            sockets: Arc::new(Semaphore::new(8)),
            reuse: Arc::default(),
            large: Arc::new(Semaphore::new(8)),
            spare: 2,
            connect_timeout: Duration::from_millis(100),
            idle: 1_000_000_000,
            figures: Figures::new([]),
        };
        Actor::new(
            Balancer::new(1, 1, Parameters::new()),
            HashSet::new(),
            common,
            list,
            oneshot::channel().0,
            None,
        )
    }

    fn listed(number: u64) -> Entry {
        let srv = format!("s{number}").into();
        let (state, came_up, site) = (ochreshed::EndpointState::Up, None, "x".into());
        let listed = ListedEndpoint { name: srv, state, started_at: came_up, weight: 1.0, site, cell: 0 };
        (listed, SocketAddr::from(([127, 0, 0, 1], 9)))
    }

    #[tokio::test]
    async fn a_new_id_at_an_old_address_and_an_old_id_at_a_new_one_have_peers_of_their_own() {
        let mut actor = actor();
        let at = |number: u64, port: u16| (listed(number).0, SocketAddr::from(([127, 0, 0, 1], port)));
        actor.follow_list(2, true, false, vec![at(1, 9), at(2, 10)]);
        let probe = || peer::Mail::Probe(3);
        assert!(actor.post(&"s1".into(), probe()) && actor.post(&"s2".into(), probe()));
        let first = actor.peers["s2"].mail.clone().expect("a peer");
        // s1 has gone and s3 stands where it stood; s2 has moved.
        actor.follow_list(3, true, false, vec![at(3, 9), at(2, 11)]);
        assert!(!actor.post(&"s1".into(), probe()), "mail to one that has gone");
        assert!(actor.post(&"s3".into(), probe()) && actor.post(&"s2".into(), probe()));
        let second = actor.peers["s2"].mail.clone().expect("a peer");
        assert!(!second.same_channel(&first), "the peer of the address before");
    }

    #[tokio::test(start_paused = true)]
    async fn a_peer_stands_while_it_is_used_and_is_followed_by_another() {
        let mut actor = actor();
        actor.follow_list(2, true, false, (0..100).map(listed).collect());
        assert!(actor.peers.values().all(|peer| peer.mail.is_none()), "a peer that nobody uses");
        let (srv, probe) = ("s7".into(), || peer::Mail::Probe(3));
        assert!(actor.post(&srv, probe()));
        let first = actor.peers["s7"].mail.clone().expect("a peer");
        tokio::time::sleep(Duration::from_secs(29)).await;
        assert!(!first.is_closed());
        assert!(
            actor.post(&srv, probe())
                && actor.peers["s7"].mail.as_ref().is_some_and(|m| m.same_channel(&first))
        );
        tokio::time::sleep(Duration::from_secs(29)).await;
        assert!(!first.is_closed());
        tokio::time::sleep(Duration::from_secs(2)).await;
        assert!(first.is_closed());
        assert!(actor.post(&srv, probe()));
        assert!(
            actor.peers["s7"].mail.as_ref().is_some_and(|mail| !mail.is_closed()),
            "mail to one that has ended"
        );
        assert_eq!(actor.peers.values().filter(|peer| peer.mail.is_some()).count(), 1);
    }
}
