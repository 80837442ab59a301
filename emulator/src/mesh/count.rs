//! What goes to whose account: messages, bytes, wake-ups and processor by cause, and each second's load of a machine.
//! It owns the books and must never change what happens.

use ochreshed_catalog::internal_rpc::{InternalRequest, InternalResponse, WatchResponse};
use ochreshed_consensus::messages::{CoreRequest, MessageBody};
use serde::Serialize;

use crate::{Nanos, S};

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cause {
    /// Stewards to each other: I am there.
    Beats,
    /// Attendants' asks that no news answers: their heartbeats.
    Asks,
    /// Asks that tell a row or follow news, and the news.
    Rows,
    /// Stewards' asks for each other's rows, with the ages of all.
    Spread,
    Configurations,
    Claims,
    /// Ballots, and what a new member is told.
    Views,
    /// Timers, looks, the disk.
    Clock,
}

pub const CAUSES: [Cause; 8] = [
    Cause::Beats,
    Cause::Asks,
    Cause::Rows,
    Cause::Spread,
    Cause::Configurations,
    Cause::Claims,
    Cause::Views,
    Cause::Clock,
];

impl Cause {
    /// `follows`: the last reply told of news.
    pub fn of_ask(ask: &InternalRequest, follows: bool) -> Cause {
        match ask {
            InternalRequest::Watch(news) if news.from_replica => Cause::Spread,
            InternalRequest::Watch(news) if news.record.is_some() || follows => Cause::Rows,
            InternalRequest::Watch(_) => Cause::Asks,
            InternalRequest::Core(CoreRequest::AcquireLease { .. } | CoreRequest::CompleteLease { .. }) => {
                Cause::Claims
            }
            InternalRequest::Core(_)
            | InternalRequest::Configuration(_)
            | InternalRequest::Registers(_)
            | InternalRequest::AppliedEditions(_) => Cause::Configurations,
            InternalRequest::ReplicaMessage(letter) => match letter.body {
                MessageBody::Heartbeat { .. } => Cause::Beats,
                MessageBody::RequestLeases(_)
                | MessageBody::LeaseVotes(_)
                | MessageBody::CompleteLeases(_) => Cause::Claims,
                MessageBody::StoreConfiguration(_)
                | MessageBody::FetchConfiguration { .. }
                | MessageBody::ConfigurationStored { .. } => Cause::Configurations,
                MessageBody::RegisterPaxos(_) => Cause::Configurations,
                MessageBody::StoreRegisters(_) | MessageBody::FetchRegisters { .. } => Cause::Configurations,
                MessageBody::RegistersStored { .. } | MessageBody::ListRegisters(_) => Cause::Configurations,
                _ => Cause::Views,
            },
        }
    }

    /// `ask`: that of what it answers.
    pub fn of_reply(reply: &InternalResponse, ask: Cause) -> Cause {
        match reply {
            InternalResponse::Watch(news) if ask != Cause::Spread && is_news(news) => Cause::Rows,
            InternalResponse::Watch(_) if ask == Cause::Rows => Cause::Asks,
            _ => ask,
        }
    }
}

pub fn is_news(reply: &WatchResponse) -> bool {
    !reply.records.is_empty() || reply.suspects.is_some()
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Sum {
    /// Sent and taken.
    pub messages: f64,
    pub bytes: f64,
    pub wakes: f64,
    /// Nanoseconds of a whole core.
    pub processor: f64,
}

/// One machine's books.
#[derive(Clone, Debug, Default)]
pub struct Books {
    pub sums: [Sum; CAUSES.len()],
    second: u64,
    /// Of the second under way: processor's nanoseconds, bytes out and in; and of the worst ones.
    now: [f64; 3],
    pub worst: [f64; 3],
    pub total: [f64; 3],
    /// The longest wait for the processor.
    pub wait: Nanos,
}

impl Books {
    pub fn clear(&mut self) {
        *self = Books { second: self.second, ..Books::default() };
    }

    fn add(&mut self, now: Nanos, which: usize, amount: f64) {
        if now / S != self.second {
            self.second = now / S;
            self.now = [0.0; 3];
        }
        self.now[which] += amount;
        self.total[which] += amount;
        self.worst[which] = self.worst[which].max(self.now[which]);
    }

    pub fn message(&mut self, now: Nanos, cause: Cause, bytes: u64, out: bool) {
        let sum = &mut self.sums[cause as usize];
        sum.messages += 1.0;
        sum.bytes += bytes as f64;
        self.add(now, if out { 1 } else { 2 }, bytes as f64);
    }

    pub fn wake(&mut self, cause: Cause, many: usize) {
        self.sums[cause as usize].wakes += many as f64;
    }

    pub fn work(&mut self, now: Nanos, cause: Cause, takes: Nanos) {
        self.sums[cause as usize].processor += takes as f64;
        self.add(now, 0, takes as f64);
    }
}
