//! The words of the calls between the system's own processes, and their frames: CBOR behind its length. It owns their
//! shapes, which older programs read too, and must never decide.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::configuration_update::ConfigurationUpdate;
use crate::endpoints::{EndpointRecord, TablePosition};
use crate::traffic_reports::BudgetReport;
use crate::traffic_reports::EditionOutcomes;
use ochreshed_consensus::messages::Revision;
use ochreshed_consensus::messages::{CoreRequest, CoreResponse, Message, NamedRegister, RegisterName};

/// No frame is larger than this, in bytes.
pub const MOST_FRAME: usize = 40 << 20;

#[derive(Debug, Serialize, Deserialize)]
pub enum InternalRequest {
    #[serde(rename = "News")]
    Watch(WatchRequest),
    Core(CoreRequest),
    #[serde(rename = "Letter")]
    ReplicaMessage(Message),
    /// The newest configuration, from one that has the one of this rank.
    #[serde(rename = "Sheet")]
    Configuration(Revision),
    /// Registers of these names that are newer than these.
    #[serde(rename = "Papers")]
    Registers(Vec<(RegisterName, Revision)>),
    /// Which nodes told that they have which edition of a member's routes in force.
    #[serde(rename = "Carried")]
    AppliedEditions(RegisterName),
}

#[derive(Debug, Serialize, Deserialize)]
pub enum InternalResponse {
    #[serde(rename = "News")]
    Watch(Box<WatchResponse>),
    Core(CoreResponse),
    #[serde(rename = "Sheet")]
    Configuration(Option<Arc<ConfigurationUpdate>>),
    /// As many as go in one reply, and at least one if there are any.
    #[serde(rename = "Papers")]
    Registers(Vec<NamedRegister>),
    /// Doors, the edition there, and whether it is on trial.
    #[serde(rename = "Carried")]
    AppliedEditions(Vec<(SocketAddr, u64, bool)>),
}

/// What a process has, and wants to be told when there is more.
#[derive(Debug, Serialize, Deserialize)]
pub struct WatchRequest {
    /// An attendant's own row.
    #[serde(rename = "row")]
    pub record: Option<EndpointRecord>,
    /// An attendant's door, where its row is known.
    #[serde(rename = "door")]
    pub inbound_proxy: Option<SocketAddr>,
    #[serde(rename = "mark")]
    pub position: TablePosition,
    /// Of the configuration that it has or has just asked for.
    #[serde(rename = "sheet")]
    pub configuration: Revision,
    /// The number of the quiet ones that the asker has.
    #[serde(rename = "quiet")]
    pub suspects_version: u64,
    /// Answered after so long though there is no news.
    #[serde(rename = "hold_ms")]
    pub max_wait_ms: u32,
    /// A steward asks: it wants to know how long ago attendants were heard.
    #[serde(rename = "steward")]
    pub from_replica: bool,
    /// What an attendant tells of itself, where that has changed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub report: Option<BudgetReport>,
    /// What of that report goes beside it.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[serde(rename = "members")]
    pub outcomes: EditionOutcomes,
    /// The number of the papers that the asker was told of last; 0 where there were none.
    #[serde(default, skip_serializing_if = "is_none")]
    #[serde(rename = "papers")]
    pub registers_digest: u64,
    /// The editions of members' routes in force at an attendant, and whether they are on trial there, where that has
    /// changed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "carried")]
    pub applied_editions: Option<AppliedEditions>,
    /// A steward wants nothing but what was reported.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    #[serde(rename = "gather")]
    pub reports_only: bool,
}

#[derive(Debug, Serialize, Deserialize)]
pub struct WatchResponse {
    #[serde(rename = "mark")]
    pub position: TablePosition,
    #[serde(rename = "rows")]
    pub records: Vec<EndpointRecord>,
    /// Of the newest configuration that is safe, if the asker has an older one.
    #[serde(rename = "sheet")]
    pub configuration: Option<Revision>,
    #[serde(rename = "stewards")]
    pub replicas: Vec<SocketAddr>,
    /// CollectedReports when they have changed.
    #[serde(rename = "quiet")]
    pub suspects: Option<(u64, Vec<SocketAddr>)>,
    /// More than half of the core is heard here.
    #[serde(rename = "settled")]
    pub has_quorum: bool,
    /// The life under which the asker is known.
    #[serde(rename = "life")]
    pub known_incarnation: Option<u64>,
    #[serde(rename = "ages")]
    pub last_heard_ms_ago: Vec<(SocketAddr, u32)>,
    /// Doors whose upstream's life an operator wants drained, and the ms for which an older program keeps that; to
    /// stewards those of rows that changed, to an attendant its own until its row says that it was taken.
    #[serde(default)]
    pub drains: Vec<(SocketAddr, String, u32)>,
    /// What doors' attendants reported and how many ms ago, and the ms in which this steward came to full service; told
    /// where it was asked for.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "told")]
    pub reports: Option<Box<CollectedReports>>,
    /// The number of all papers that are safe, and their ranks, where it is another than the asker's.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "papers")]
    pub registers: Option<(u64, Vec<(RegisterName, Revision)>)>,
    /// What of those reports goes beside them, where there is any.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[serde(rename = "members")]
    pub outcomes: Vec<(SocketAddr, EditionOutcomes)>,
}

fn is_none(papers: &u64) -> bool {
    *papers == 0
}

/// The editions of members' routes in force at an attendant, and whether they are on trial there.
pub type AppliedEditions = Vec<(RegisterName, u64, bool)>;

/// BudgetReports by door with their ages in ms, and a steward's own time to full service in ms.
pub type CollectedReports = (Vec<(SocketAddr, u32, BudgetReport)>, Option<u32>);

#[derive(Serialize, Deserialize)]
pub struct Frame<T> {
    /// 0: no reply is wanted.
    pub id: u64,
    #[serde(rename = "say")]
    pub payload: T,
}

/// A frame with its length before it; none where it would be larger than `MOST_FRAME`.
pub fn encode<T: Serialize>(say: &T) -> Option<Vec<u8>> {
    let mut bytes = vec![0; 4];
    ciborium::into_writer(say, &mut bytes).ok()?;
    let length = u32::try_from(bytes.len() - 4).ok().filter(|length| *length as usize <= MOST_FRAME)?;
    bytes[..4].copy_from_slice(&length.to_be_bytes());
    Some(bytes)
}

#[cfg(test)]
mod tests {
    use crate::traffic_reports::{AttemptCounts, ServiceAttempts};
    use crate::traffic_reports::{OutcomeCounts, RouteEdition};

    use super::*;

    /// Guards against letters that an older program doesn't read, or that cost more though no paper is held.
    #[test]
    fn without_papers_letters_are_as_they_were() {
        use ochreshed_consensus::messages::{Lease, LeaseKey, MessageBody, RegisterValue};
        #[derive(Debug, Serialize, Deserialize)]
        enum Older {
            Beat {
                voter: bool,
                sheet: Revision,
                safe: Revision,
                leaving: bool,
            },
            WantState {
                from: u128,
                round: u64,
            },
            State {
                round: u64,
                part: Vec<(LeaseKey, Lease)>,
                next: Option<u128>,
                sheet: Option<Arc<RegisterValue>>,
            },
        }
        let rank = Revision::new(3, u64::MAX);
        let older = [
            Older::Beat { voter: true, sheet: rank, safe: rank, leaving: false },
            Older::WantState { from: u128::MAX, round: 7 },
            Older::State { round: 7, part: Vec::new(), next: Some(9), sheet: None },
        ];
        let zone = String::new();
        let newer = [
            MessageBody::Heartbeat {
                voter: true,
                configuration: rank,
                committed_configuration: rank,
                leaving: false,
                zone,
                registers_digest: 0,
            },
            MessageBody::FetchSnapshot { from_key: u128::MAX, catch_up_id: 7, from_register: None },
            MessageBody::SnapshotChunk {
                catch_up_id: 7,
                leases: Vec::new(),
                next_key: Some(9),
                configuration: None,
                sessions: Vec::new(),
                registers: Vec::new(),
                next_register: None,
                acceptors: Vec::new(),
            },
        ];
        for (older, newer) in older.iter().zip(&newer) {
            let bytes = encode(older).expect("a frame");
            assert_eq!(encode(newer).as_ref(), Some(&bytes));
            let read: MessageBody = ciborium::from_reader(&bytes[4..]).expect("read");
            assert_eq!(encode(&read), Some(bytes));
        }
    }

    /// Guards against news that costs more than it did with each of an attendant's asks, a few a second.
    #[test]
    fn the_bytes_of_an_ask() {
        let door = SocketAddr::from(([10, 1, 0, 8], 8300));
        let bytes = |spending: Option<ServiceAttempts>| {
            let mark = TablePosition { incarnation: u64::MAX, sequence: 1_000 };
            let ask = WatchRequest {
                record: None,
                inbound_proxy: Some(door),
                position: mark,
                configuration: Revision::new(12, u64::MAX),
                suspects_version: 3,
                max_wait_ms: 500,
                from_replica: false,
                report: spending.map(|spending| BudgetReport {
                    services: spending,
                    recovery_ms: Some(812),
                    outcomes: EditionOutcomes::new(),
                }),
                outcomes: EditionOutcomes::new(),
                registers_digest: 0,
                applied_editions: None,
                reports_only: false,
            };
            encode(&Frame { id: 9_000, payload: InternalRequest::Watch(ask) }).map(|bytes| bytes.len())
        };
        let figures = AttemptCounts { first: 2_000, retried: 20, denied: 0 };
        let spent = ["huvo11a", "kafi81c", "wuno96b"].map(|name| (name.into(), figures));
        assert_eq!((bytes(None), bytes(Some(spent.to_vec()))), (Some(119), Some(176)));
    }

    /// Guards against a gate with members that an older steward can't read any more: it reads what it knows of.
    #[test]
    fn how_members_fared_goes_beside_what_older_programs_read() {
        #[derive(Deserialize)]
        struct Older {
            report: Option<BudgetReport>,
            gather: bool,
        }
        let of = RouteEdition { member: "norte".into(), version: 4, canary: true };
        let members: EditionOutcomes =
            vec![(of, OutcomeCounts { first: 9, failed: 2, ..OutcomeCounts::default() })];
        let report =
            BudgetReport { recovery_ms: Some(7), outcomes: members.clone(), ..BudgetReport::default() };
        let ask = WatchRequest {
            record: None,
            inbound_proxy: None,
            position: TablePosition::default(),
            configuration: Revision::new(1, 1),
            suspects_version: 0,
            max_wait_ms: 1,
            from_replica: false,
            report: Some(report),
            outcomes: members,
            registers_digest: 0,
            applied_editions: None,
            reports_only: true,
        };
        let mut bytes = Vec::new();
        ciborium::into_writer(&ask, &mut bytes).expect("written");
        let older: Older = ciborium::from_reader(&*bytes).expect("read");
        assert_eq!(
            (older.report, older.gather),
            (Some(BudgetReport { recovery_ms: Some(7), ..BudgetReport::default() }), true)
        );
        let newer: WatchRequest = ciborium::from_reader(&*bytes).expect("read");
        assert_eq!(newer.outcomes, ask.outcomes);
    }
}
