//! What goes to whose account: messages, bytes, wake-ups and processor by cause, and each second's load of a machine.
//! It owns the usage and must never change what happens.

use ochreshed_catalog::internal_rpc::{InternalRequest, InternalResponse, WatchResponse};
use ochreshed_consensus::messages::{CoreRequest, MessageBody};
use serde::Serialize;

use crate::{Nanos, S};

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cause {
    /// Stewards to each other: I am there.
    #[serde(rename = "beats")]
    Heartbeats,
    /// Attendants' asks that no news answers: their heartbeats.
    #[serde(rename = "asks")]
    WatchRequests,
    /// Asks that tell a row or follow news, and the news.
    #[serde(rename = "rows")]
    RecordUpdates,
    /// Stewards' asks for each other's rows, with the ages of all.
    #[serde(rename = "spread")]
    PeerWatches,
    Configurations,
    #[serde(rename = "claims")]
    Leases,
    /// Ballots, and what a new member is told.
    #[serde(rename = "views")]
    Membership,
    /// Timers, looks, the disk.
    #[serde(rename = "clock")]
    Timers,
}

pub const CAUSES: [Cause; 8] = [
    Cause::Heartbeats,
    Cause::WatchRequests,
    Cause::RecordUpdates,
    Cause::PeerWatches,
    Cause::Configurations,
    Cause::Leases,
    Cause::Membership,
    Cause::Timers,
];

impl Cause {
    /// The name of this cause in reports.
    pub fn label(self) -> &'static str {
        match self {
            Cause::Heartbeats => "beats",
            Cause::WatchRequests => "asks",
            Cause::RecordUpdates => "rows",
            Cause::PeerWatches => "spread",
            Cause::Configurations => "configurations",
            Cause::Leases => "claims",
            Cause::Membership => "views",
            Cause::Timers => "clock",
        }
    }

    /// `follows`: the last reply told of news.
    pub fn of_request(ask: &InternalRequest, follows: bool) -> Cause {
        match ask {
            InternalRequest::Watch(news) if news.from_replica => Cause::PeerWatches,
            InternalRequest::Watch(news) if news.record.is_some() || follows => Cause::RecordUpdates,
            InternalRequest::Watch(_) => Cause::WatchRequests,
            InternalRequest::Core(CoreRequest::AcquireLease { .. } | CoreRequest::CompleteLease { .. }) => {
                Cause::Leases
            }
            InternalRequest::Core(_)
            | InternalRequest::Configuration(_)
            | InternalRequest::Registers(_)
            | InternalRequest::AppliedEditions(_) => Cause::Configurations,
            InternalRequest::ReplicaMessage(letter) => match letter.body {
                MessageBody::Heartbeat { .. } => Cause::Heartbeats,
                MessageBody::RequestLeases(_)
                | MessageBody::LeaseVotes(_)
                | MessageBody::CompleteLeases(_) => Cause::Leases,
                MessageBody::StoreConfiguration(_)
                | MessageBody::FetchConfiguration { .. }
                | MessageBody::ConfigurationStored { .. } => Cause::Configurations,
                MessageBody::RegisterPaxos(_) => Cause::Configurations,
                MessageBody::StoreRegisters(_) | MessageBody::FetchRegisters { .. } => Cause::Configurations,
                MessageBody::RegistersStored { .. } | MessageBody::ListRegisters(_) => Cause::Configurations,
                _ => Cause::Membership,
            },
        }
    }

    /// `ask`: that of what it answers.
    pub fn of_response(reply: &InternalResponse, ask: Cause) -> Cause {
        match reply {
            InternalResponse::Watch(news) if ask != Cause::PeerWatches && has_updates(news) => {
                Cause::RecordUpdates
            }
            InternalResponse::Watch(_) if ask == Cause::RecordUpdates => Cause::WatchRequests,
            _ => ask,
        }
    }
}

pub fn has_updates(reply: &WatchResponse) -> bool {
    !reply.records.is_empty() || reply.suspects.is_some()
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct UsageSum {
    /// Sent and taken.
    pub messages: f64,
    pub bytes: f64,
    pub wakes: f64,
    /// Nanoseconds of a whole core.
    pub processor: f64,
}

/// One machine's usage.
#[derive(Clone, Debug, Default)]
pub struct ResourceUsage {
    pub sums: [UsageSum; CAUSES.len()],
    second: u64,
    /// Of the second under way: processor's nanoseconds, bytes out and in; and of the worst ones.
    current_second: [f64; 3],
    pub peak_second: [f64; 3],
    pub total: [f64; 3],
    /// The longest wait for the processor.
    pub max_wait: Nanos,
}

impl ResourceUsage {
    pub fn clear(&mut self) {
        *self = ResourceUsage { second: self.second, ..ResourceUsage::default() };
    }

    fn add_to_second(&mut self, now: Nanos, which: usize, amount: f64) {
        if now / S != self.second {
            self.second = now / S;
            self.current_second = [0.0; 3];
        }
        self.current_second[which] += amount;
        self.total[which] += amount;
        self.peak_second[which] = self.peak_second[which].max(self.current_second[which]);
    }

    pub fn record_message(&mut self, now: Nanos, cause: Cause, bytes: u64, out: bool) {
        let sum = &mut self.sums[cause as usize];
        sum.messages += 1.0;
        sum.bytes += bytes as f64;
        self.add_to_second(now, if out { 1 } else { 2 }, bytes as f64);
    }

    pub fn record_wakeups(&mut self, cause: Cause, many: usize) {
        self.sums[cause as usize].wakes += many as f64;
    }

    pub fn record_work(&mut self, now: Nanos, cause: Cause, takes: Nanos) {
        self.sums[cause as usize].processor += takes as f64;
        self.add_to_second(now, 0, takes as f64);
    }
}
