//! Effects of a process while it handles one event: requests, responses, timers, work. The simulation carries them out
//! afterwards.

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
    /// A waiting watch is due to be answered.
    WatchDue(u64),
    NotifyWatches,
    DiskSynced,
    RequestTimeout(u64),
    SendWatch(usize),
    UpstreamStep(UpstreamStep),
    HedgeLease(u64),
    RequestDone(u64),
    CompleteLease(u64),
}

/// Life cycle of an upstream, in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamStep {
    Drain,
    Stop,
    /// The machine of its attendant leaves too.
    ShutDown,
    Kill,
    Start,
    EndSlowStart,
}

/// What a process reports to the auditor and the statistics.
#[derive(Clone, Debug)]
pub enum Observation {
    ConfigurationReplaced(Revision, bool),
    ConfigurationRead {
        floor: Revision,
        found: Revision,
    },
    ConfigurationApplied(Revision),
    /// The endpoint and the version of its record that this attendant now holds.
    RecordUpdated(SocketAddr, RecordVersion),
    /// The suspects of this attendant may have changed.
    SuspectsUpdated,
    DrainStarted(RecordVersion),
    /// Key, token, time since the request, and the number of the claim.
    LeaseGranted(LeaseKey, LeaseToken, Nanos, u64),
    LeaseReleased(LeaseKey, LeaseToken),
    /// No steward answered a lease request.
    LeaseUnanswered,
}

pub enum ProcessEffect {
    Request {
        to: SocketAddr,
        id: u64,
        request: Box<InternalRequest>,
        had_updates: bool,
    },
    Response {
        to: usize,
        id: u64,
        response: InternalResponse,
        request_cause: Cause,
    },
    StartTimer(Nanos, Timer),
    /// Fires when the processor has finished its work.
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
    /// Sends a request and returns its id.
    pub fn send_request(&mut self, to: SocketAddr, request: InternalRequest, had_updates: bool) -> u64 {
        self.last_request_id += 1;
        self.effects.push(ProcessEffect::Request {
            to,
            id: self.last_request_id,
            request: Box::new(request),
            had_updates,
        });
        self.last_request_id
    }

    pub fn send_message(&mut self, to: SocketAddr, message: Message) {
        self.effects.push(ProcessEffect::Request {
            to,
            id: 0,
            request: Box::new(InternalRequest::ReplicaMessage(message)),
            had_updates: false,
        });
    }

    pub fn send_response(&mut self, to: usize, id: u64, response: InternalResponse, request_cause: Cause) {
        self.effects.push(ProcessEffect::Response { to, id, response, request_cause });
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

    pub fn process_records(&mut self, cause: Cause, count: usize) {
        self.effects.push(ProcessEffect::ProcessRecords(cause, count));
    }

    pub fn check_watches(&mut self, count: usize) {
        self.effects.push(ProcessEffect::CheckWatches(count));
    }

    pub fn observe(&mut self, note: Observation) {
        self.effects.push(ProcessEffect::Observe(note));
    }
}
