//! Accounts for messages, bytes, wake-ups and processor time by cause, and for the load of a machine by second.

use ochreshed_catalog::internal_rpc::{InternalRequest, InternalResponse, WatchResponse};
use ochreshed_consensus::messages::{CoreRequest, MessageBody};
use serde::Serialize;

use crate::{Nanos, S};

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cause {
    /// Heartbeats between stewards.
    #[serde(rename = "beats")]
    Heartbeats,
    /// Watches of attendants that end without updates; they serve as heartbeats.
    #[serde(rename = "asks")]
    WatchRequests,
    /// Watches that carry a record or follow updates, and the updates.
    #[serde(rename = "rows")]
    RecordUpdates,
    /// Watches between stewards, with the ages of all records.
    #[serde(rename = "spread")]
    PeerWatches,
    Configurations,
    #[serde(rename = "claims")]
    Leases,
    /// Membership ballots, and the state sent to a new member.
    #[serde(rename = "views")]
    Membership,
    /// Timers, suspect checks and the disk.
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

    /// `had_updates`: the last response contained updates.
    pub fn of_request(request: &InternalRequest, had_updates: bool) -> Cause {
        match request {
            InternalRequest::Watch(watch) if watch.from_replica => Cause::PeerWatches,
            InternalRequest::Watch(watch) if watch.record.is_some() || had_updates => Cause::RecordUpdates,
            InternalRequest::Watch(_) => Cause::WatchRequests,
            InternalRequest::Core(CoreRequest::AcquireLease { .. } | CoreRequest::CompleteLease { .. }) => {
                Cause::Leases
            }
            InternalRequest::Core(CoreRequest::StoreTombstone(_) | CoreRequest::FindTombstone(_)) => {
                Cause::RecordUpdates
            }
            InternalRequest::Core(_)
            | InternalRequest::Configuration(_)
            | InternalRequest::Registers(_)
            | InternalRequest::AppliedEditions(_) => Cause::Configurations,
            InternalRequest::ReplicaMessage(message) => match message.body {
                MessageBody::Heartbeat { .. } => Cause::Heartbeats,
                MessageBody::RequestLeases(_)
                | MessageBody::LeaseVotes(_)
                | MessageBody::CompleteLeases(_)
                | MessageBody::StoreQuorumWrites(_)
                | MessageBody::QuorumWritesStored(_) => Cause::Leases,
                MessageBody::FindTombstones(_) | MessageBody::TombstonesFound(_) => Cause::RecordUpdates,
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

    /// `request`: the cause of the request that it answers.
    pub fn of_response(response: &InternalResponse, request: Cause) -> Cause {
        match response {
            InternalResponse::Watch(response) if request != Cause::PeerWatches && has_updates(response) => {
                Cause::RecordUpdates
            }
            InternalResponse::Watch(_) if request == Cause::RecordUpdates => Cause::WatchRequests,
            _ => request,
        }
    }
}

pub fn has_updates(response: &WatchResponse) -> bool {
    !response.records.is_empty() || response.suspects.is_some()
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct UsageSum {
    /// Sent and received.
    pub messages: f64,
    pub bytes: f64,
    pub wakes: f64,
    /// Nanoseconds of one core.
    pub processor: f64,
}

/// Resource usage of one machine.
#[derive(Clone, Debug, Default)]
pub struct ResourceUsage {
    pub sums: [UsageSum; CAUSES.len()],
    second: u64,
    /// Processor nanoseconds, bytes sent and bytes received: in the current second, in the worst second and in total.
    current_second: [f64; 3],
    pub peak_second: [f64; 3],
    pub total: [f64; 3],
    /// Longest wait for the processor.
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

    pub fn record_wakeups(&mut self, cause: Cause, count: usize) {
        self.sums[cause as usize].wakes += count as f64;
    }

    pub fn record_work(&mut self, now: Nanos, cause: Cause, duration: Nanos) {
        self.sums[cause as usize].processor += duration as f64;
        self.add_to_second(now, 0, duration as f64);
    }
}
