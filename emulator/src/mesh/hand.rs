//! What a process asks of the world while it handles one thing: calls, replies, timers, work. It owns the numbers of
//! calls and must never carry anything out itself.

use std::net::SocketAddr;

use ochreshed_catalog::endpoints::RecordVersion;
use ochreshed_catalog::internal_rpc::{InternalRequest, InternalResponse};
use ochreshed_consensus::messages::Revision;
use ochreshed_consensus::messages::{LeaseKey, LeaseToken, Message};

use super::count::Cause;
use crate::Nanos;

#[derive(Clone, Debug)]
pub enum Timer {
    Wake,
    Look,
    Others,
    AskOther(SocketAddr),
    /// An ask has waited long enough for news.
    Held(u64),
    Tell,
    Synced,
    /// A call has waited long enough for its reply.
    Late(u64),
    /// One of an attendant's asks goes out.
    Request(usize),
    Turn(Step),
    Hedge(u64),
    Ran(u64),
    Settle(u64),
}

/// What comes of an upstream, in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    Drain,
    End,
    /// Its attendant's machine goes as well.
    Leave,
    Kill,
    Join,
    Warm,
}

/// What the world is told for its books.
#[derive(Clone, Debug)]
pub enum Note {
    Replaced(Revision, bool),
    Read {
        floor: Revision,
        found: Revision,
    },
    InForce(Revision),
    /// Of whose row this attendant now has this rank.
    Row(SocketAddr, RecordVersion),
    /// Whom this attendant holds for quiet may have changed.
    Quiet,
    Draining(RecordVersion),
    /// After so long, to the claim of that number.
    Granted(LeaseKey, LeaseToken, Nanos, u64),
    Freed(LeaseKey, LeaseToken),
    /// A claim got no answer that counts.
    Unsure,
}

pub enum Out {
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
    After(Nanos, Timer),
    /// As soon as the processor has done all that it has.
    Turn(Timer),
    Sync,
    Rows(Cause, usize),
    Readers(usize),
    Note(Note),
}

pub struct Hand {
    pub now: Nanos,
    pub ids: u64,
    pub out: Vec<Out>,
}

impl Hand {
    /// Sends a call; its number.
    pub fn ask(&mut self, to: SocketAddr, ask: InternalRequest, follows: bool) -> u64 {
        self.ids += 1;
        self.out.push(Out::Request { to, id: self.ids, ask: Box::new(ask), follows });
        self.ids
    }

    pub fn post(&mut self, to: SocketAddr, letter: Message) {
        self.out.push(Out::Request {
            to,
            id: 0,
            ask: Box::new(InternalRequest::ReplicaMessage(letter)),
            follows: false,
        });
    }

    pub fn reply(&mut self, to: usize, id: u64, reply: InternalResponse, ask: Cause) {
        self.out.push(Out::Response { to, id, reply, ask });
    }

    pub fn timer(&mut self, after: Nanos, timer: Timer) {
        self.out.push(Out::After(after, timer));
    }

    pub fn turn(&mut self, timer: Timer) {
        self.out.push(Out::Turn(timer));
    }

    pub fn sync(&mut self) {
        self.out.push(Out::Sync);
    }

    pub fn rows(&mut self, cause: Cause, many: usize) {
        self.out.push(Out::Rows(cause, many));
    }

    pub fn readers(&mut self, many: usize) {
        self.out.push(Out::Readers(many));
    }

    pub fn note(&mut self, note: Note) {
        self.out.push(Out::Note(note));
    }
}
