//! What a process asks of the world while it handles one thing: calls, replies, timers, work. It owns the numbers of
//! calls and must never carry anything out itself.

use std::net::SocketAddr;

use ochreshed_catalog::endpoints::RecordVersion;
use ochreshed_catalog::internal_rpc::{InternalRequest, InternalResponse};
use ochreshed_consensus::messages::Revision;
use ochreshed_consensus::messages::{LeaseKey, LeaseToken, Message};

use super::resource_usage::Cause;
use crate::Nanos;

#[derive(Clone, Debug)]
pub enum Timer {
    CoreTick,
    CheckSuspects,
    RefreshPeers,
    WatchPeer(SocketAddr),
    /// An ask has waited long enough for news.
    WatchDue(u64),
    NotifyWatches,
    DiskSynced,
    /// A call has waited long enough for its reply.
    RequestTimeout(u64),
    /// One of an attendant's asks goes out.
    SendWatch(usize),
    UpstreamStep(UpstreamStep),
    HedgeLease(u64),
    RequestDone(u64),
    CompleteLease(u64),
}

/// What comes of an upstream, in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamStep {
    Drain,
    Stop,
    /// Its attendant's machine goes as well.
    ShutDown,
    Kill,
    Start,
    EndSlowStart,
}

/// What the world is told for its usage.
#[derive(Clone, Debug)]
pub enum Observation {
    ConfigurationReplaced(Revision, bool),
    ConfigurationRead {
        floor: Revision,
        found: Revision,
    },
    ConfigurationApplied(Revision),
    /// Of whose row this attendant now has this rank.
    RecordUpdated(SocketAddr, RecordVersion),
    /// Whom this attendant holds for quiet may have changed.
    SuspectsUpdated,
    DrainStarted(RecordVersion),
    /// After so long, to the claim of that number.
    LeaseGranted(LeaseKey, LeaseToken, Nanos, u64),
    LeaseReleased(LeaseKey, LeaseToken),
    /// A claim got no answer that counts.
    LeaseUnanswered,
}

pub enum ProcessEffect {
    Request {
        to: SocketAddr,
        id: u64,
        ask: Box<InternalRequest>,
        follows: bool,
    },
    Response {
        to: usize,
        id: u64,
        reply: InternalResponse,
        ask: Cause,
    },
    StartTimer(Nanos, Timer),
    /// As soon as the processor has done all that it has.
    RunWhenIdle(Timer),
    SyncDisk,
    ProcessRecords(Cause, usize),
    CheckWatches(usize),
    Observe(Observation),
}

pub struct ProcessContext {
    pub now: Nanos,
    pub last_request_id: u64,
    pub effects: Vec<ProcessEffect>,
}

impl ProcessContext {
    /// Sends a call; its number.
    pub fn send_request(&mut self, to: SocketAddr, ask: InternalRequest, follows: bool) -> u64 {
        self.last_request_id += 1;
        self.effects.push(ProcessEffect::Request {
            to,
            id: self.last_request_id,
            ask: Box::new(ask),
            follows,
        });
        self.last_request_id
    }

    pub fn send_message(&mut self, to: SocketAddr, letter: Message) {
        self.effects.push(ProcessEffect::Request {
            to,
            id: 0,
            ask: Box::new(InternalRequest::ReplicaMessage(letter)),
            follows: false,
        });
    }

    pub fn send_response(&mut self, to: usize, id: u64, reply: InternalResponse, ask: Cause) {
        self.effects.push(ProcessEffect::Response { to, id, reply, ask });
    }

    pub fn start_timer(&mut self, after: Nanos, timer: Timer) {
        self.effects.push(ProcessEffect::StartTimer(after, timer));
    }

    pub fn run_when_idle(&mut self, timer: Timer) {
        self.effects.push(ProcessEffect::RunWhenIdle(timer));
    }

    pub fn sync_disk(&mut self) {
        self.effects.push(ProcessEffect::SyncDisk);
    }

    pub fn process_records(&mut self, cause: Cause, many: usize) {
        self.effects.push(ProcessEffect::ProcessRecords(cause, many));
    }

    pub fn check_watches(&mut self, many: usize) {
        self.effects.push(ProcessEffect::CheckWatches(many));
    }

    pub fn observe(&mut self, note: Observation) {
        self.effects.push(ProcessEffect::Observe(note));
    }
}
