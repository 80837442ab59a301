//! Requests and responses between the processes of the mesh, and their framing.
//!
//! A process sends an [`InternalRequest`] and receives an [`InternalResponse`]. Each is sent in a [`Frame`], which
//! [`encode_frame`] writes as a length followed by CBOR. [`WatchRequest`] and [`WatchResponse`] carry frequently
//! changing state: endpoint records, versions of the configuration and of registers, suspects, drain requests and
//! reports.
//!
//! Invariants: the encoding stays compatible with older versions. Fields and variants keep the names under which they
//! were first sent, and newer fields are omitted if they have their default value.

use std::net::SocketAddr;
use std::ops::Not;
use std::sync::Arc;

use ochreshed_consensus::messages::{
    CoreRequest, CoreResponse, Message, NamedRegister, RegisterName, Revision,
};
use serde::{Deserialize, Serialize};

use crate::configuration_update::ConfigurationUpdate;
use crate::endpoints::{EndpointRecord, TablePosition};
use crate::traffic_reports::{BudgetReport, EditionOutcomes, RouteEdition};

/// The maximum size of a frame, excluding the length prefix.
pub const MAX_FRAME_BYTES: usize = 40 << 20;

/// A request from one process to another.
#[derive(Debug, Serialize, Deserialize)]
pub enum InternalRequest {
    /// Long-polls a replica for changes.
    #[serde(rename = "News")]
    Watch(WatchRequest),
    /// Requests a decision of the control plane.
    Core(CoreRequest),
    /// Carries a message between replicas; there is no response.
    #[serde(rename = "Letter")]
    ReplicaMessage(Message),
    /// Requests the newest configuration. The sender has this revision.
    #[serde(rename = "Sheet")]
    Configuration(Revision),
    /// Requests the registers with these names that are newer than these revisions.
    #[serde(rename = "Papers")]
    Registers(RegisterRevisions),
    /// Requests the edition of a member's routes that each node has reported as applied.
    #[serde(rename = "Carried")]
    AppliedEditions(RegisterName),
}

/// The response to the [`InternalRequest`] of the same name.
#[derive(Debug, Serialize, Deserialize)]
pub enum InternalResponse {
    /// The changes.
    #[serde(rename = "News")]
    Watch(Box<WatchResponse>),
    /// The control plane's answer.
    Core(CoreResponse),
    /// The newest configuration; `None` if the requester has it.
    #[serde(rename = "Sheet")]
    Configuration(Option<Arc<ConfigurationUpdate>>),
    /// As many newer registers as fit into one response, at least one if there is any.
    #[serde(rename = "Papers")]
    Registers(Vec<NamedRegister>),
    /// The edition of the member's routes on each node.
    #[serde(rename = "Carried")]
    AppliedEditions(Vec<NodeEdition>),
}

/// Revisions of registers by name.
pub type RegisterRevisions = Vec<(RegisterName, Revision)>;

/// The editions of members' routes that are applied on one node.
pub type AppliedEditions = Vec<RouteEdition>;

/// The edition of one member's routes that is applied on a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(SocketAddr, u64, bool)", into = "(SocketAddr, u64, bool)")]
pub struct NodeEdition {
    /// The node's inbound proxy.
    pub inbound_proxy: SocketAddr,
    /// The version of the member's document.
    pub version: u64,
    /// Whether it runs as a canary on this node.
    pub canary: bool,
}

impl From<(SocketAddr, u64, bool)> for NodeEdition {
    fn from((inbound_proxy, version, canary): (SocketAddr, u64, bool)) -> NodeEdition {
        NodeEdition { inbound_proxy, version, canary }
    }
}

impl From<NodeEdition> for (SocketAddr, u64, bool) {
    fn from(edition: NodeEdition) -> (SocketAddr, u64, bool) {
        (edition.inbound_proxy, edition.version, edition.canary)
    }
}

/// A long poll for changes, with the state that the requester already has.
#[derive(Debug, Serialize, Deserialize)]
pub struct WatchRequest {
    /// The requesting node's record, if the replica may not have it.
    #[serde(rename = "row")]
    pub record: Option<EndpointRecord>,
    /// The requesting node's inbound proxy, if the replica has its record.
    #[serde(rename = "door")]
    pub inbound_proxy: Option<SocketAddr>,
    /// The position of the requester in the changes of the replica's table.
    #[serde(rename = "mark")]
    pub position: TablePosition,
    /// The revision of the configuration that the requester has or is fetching.
    #[serde(rename = "sheet")]
    pub configuration: Revision,
    /// The version of the [`SuspectList`] that the requester has.
    #[serde(rename = "quiet")]
    pub suspects_version: u64,
    /// The time after which the request is answered even if nothing has changed, in milliseconds.
    #[serde(rename = "hold_ms")]
    pub max_wait_ms: u32,
    /// Whether the requester is a replica; the response then has the times since nodes were last heard from.
    #[serde(rename = "steward")]
    pub from_replica: bool,
    /// The requesting node's report, if it has changed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub report: Option<BudgetReport>,
    /// The outcomes of the report.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[serde(rename = "members")]
    pub outcomes: EditionOutcomes,
    /// The digest of the last [`RegisterList`] that the requester received; 0 for none.
    #[serde(default, skip_serializing_if = "is_zero")]
    #[serde(rename = "papers")]
    pub registers_digest: u64,
    /// The editions of members' routes that are applied on the requesting node, if they have changed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "carried")]
    pub applied_editions: Option<AppliedEditions>,
    /// Whether the requester is a replica that needs only the reports.
    #[serde(default, skip_serializing_if = "Not::not")]
    #[serde(rename = "gather")]
    pub reports_only: bool,
}

/// The changes since the state in a [`WatchRequest`].
#[derive(Debug, Serialize, Deserialize)]
pub struct WatchResponse {
    /// The position in the replica's table after these records.
    #[serde(rename = "mark")]
    pub position: TablePosition,
    /// The records that have changed.
    #[serde(rename = "rows")]
    pub records: Vec<EndpointRecord>,
    /// The revision of the newest committed configuration, if the requester has an older one.
    #[serde(rename = "sheet")]
    pub configuration: Option<Revision>,
    /// The replicas of the control plane.
    #[serde(rename = "stewards")]
    pub replicas: Vec<SocketAddr>,
    /// The suspected nodes, if they have changed.
    #[serde(rename = "quiet")]
    pub suspects: Option<SuspectList>,
    /// Whether the replica is in contact with a majority of the control plane.
    #[serde(rename = "settled")]
    pub has_quorum: bool,
    /// The known incarnation of the requesting node.
    #[serde(rename = "life")]
    pub known_incarnation: Option<u64>,
    /// The time since each node was last heard from, in milliseconds; only sent to replicas.
    #[serde(rename = "ages")]
    pub last_heard_ms_ago: Vec<(SocketAddr, u32)>,
    /// Requests to drain upstreams. Replicas are sent those of the changed records; a node is sent its own until its
    /// record reports that the upstream is draining.
    #[serde(default)]
    pub drains: Vec<DrainRequest>,
    /// The reports of nodes, if they were requested.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "told")]
    pub reports: Option<Box<CollectedReports>>,
    /// The committed registers, if the requester has a different digest.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "papers")]
    pub registers: Option<RegisterList>,
    /// The outcomes of the reports, by inbound proxy.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[serde(rename = "members")]
    pub outcomes: Vec<(SocketAddr, EditionOutcomes)>,
    /// Whether the replica handles requests on tombstones. Earlier versions close connections on which one arrives.
    #[serde(default, skip_serializing_if = "Not::not")]
    pub supports_tombstones: bool,
}

fn is_zero(digest: &u64) -> bool {
    *digest == 0
}

/// The nodes that a replica has not heard from recently.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u64, Vec<SocketAddr>)", into = "(u64, Vec<SocketAddr>)")]
pub struct SuspectList {
    /// Increases with each change of the list.
    pub version: u64,
    /// The inbound proxies of the nodes.
    pub inbound_proxies: Vec<SocketAddr>,
}

impl From<(u64, Vec<SocketAddr>)> for SuspectList {
    fn from((version, inbound_proxies): (u64, Vec<SocketAddr>)) -> SuspectList {
        SuspectList { version, inbound_proxies }
    }
}

impl From<SuspectList> for (u64, Vec<SocketAddr>) {
    fn from(suspects: SuspectList) -> (u64, Vec<SocketAddr>) {
        (suspects.version, suspects.inbound_proxies)
    }
}

/// An operator's request to drain an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(SocketAddr, String, u32)", into = "(SocketAddr, String, u32)")]
pub struct DrainRequest {
    /// The inbound proxy of the upstream's node.
    pub inbound_proxy: SocketAddr,
    /// The identity of the upstream's process.
    pub upstream_id: String,
    /// How long an older version keeps the request, in milliseconds.
    pub ttl_ms: u32,
}

impl From<(SocketAddr, String, u32)> for DrainRequest {
    fn from((inbound_proxy, upstream_id, ttl_ms): (SocketAddr, String, u32)) -> DrainRequest {
        DrainRequest { inbound_proxy, upstream_id, ttl_ms }
    }
}

impl From<DrainRequest> for (SocketAddr, String, u32) {
    fn from(drain: DrainRequest) -> (SocketAddr, String, u32) {
        (drain.inbound_proxy, drain.upstream_id, drain.ttl_ms)
    }
}

/// The committed registers by name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u64, RegisterRevisions)", into = "(u64, RegisterRevisions)")]
pub struct RegisterList {
    /// The digest of the list, for detecting changes.
    pub digest: u64,
    /// The revision of each register.
    pub revisions: RegisterRevisions,
}

impl From<(u64, RegisterRevisions)> for RegisterList {
    fn from((digest, revisions): (u64, RegisterRevisions)) -> RegisterList {
        RegisterList { digest, revisions }
    }
}

impl From<RegisterList> for (u64, RegisterRevisions) {
    fn from(registers: RegisterList) -> (u64, RegisterRevisions) {
        (registers.digest, registers.revisions)
    }
}

/// The reports that nodes have sent to one replica.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "CollectedReportsForm", into = "CollectedReportsForm")]
pub struct CollectedReports {
    /// The newest report of each node.
    pub reports: Vec<CollectedReport>,
    /// The time from the start of the replica's process to full service, in milliseconds; `None` until then.
    pub recovery_ms: Option<u32>,
}

/// The serialized form of [`CollectedReports`].
type CollectedReportsForm = (Vec<CollectedReport>, Option<u32>);

impl From<CollectedReportsForm> for CollectedReports {
    fn from((reports, recovery_ms): CollectedReportsForm) -> CollectedReports {
        CollectedReports { reports, recovery_ms }
    }
}

impl From<CollectedReports> for CollectedReportsForm {
    fn from(collected: CollectedReports) -> CollectedReportsForm {
        (collected.reports, collected.recovery_ms)
    }
}

/// The report of one node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(SocketAddr, u32, BudgetReport)", into = "(SocketAddr, u32, BudgetReport)")]
pub struct CollectedReport {
    /// The node's inbound proxy.
    pub inbound_proxy: SocketAddr,
    /// The time since the node sent the report, in milliseconds.
    pub age_ms: u32,
    /// The report.
    pub report: BudgetReport,
}

impl From<(SocketAddr, u32, BudgetReport)> for CollectedReport {
    fn from((inbound_proxy, age_ms, report): (SocketAddr, u32, BudgetReport)) -> CollectedReport {
        CollectedReport { inbound_proxy, age_ms, report }
    }
}

impl From<CollectedReport> for (SocketAddr, u32, BudgetReport) {
    fn from(collected: CollectedReport) -> (SocketAddr, u32, BudgetReport) {
        (collected.inbound_proxy, collected.age_ms, collected.report)
    }
}

/// A request or response with a correlation ID.
#[derive(Serialize, Deserialize)]
pub struct Frame<T> {
    /// The same for a request and its response; 0 if no response is expected.
    pub id: u64,
    /// The request or response.
    #[serde(rename = "say")]
    pub payload: T,
}

/// Encodes a frame: its length as four bytes in network byte order, then CBOR. Returns `None` if it would be longer
/// than [`MAX_FRAME_BYTES`].
#[must_use]
pub fn encode_frame<T: Serialize>(frame: &T) -> Option<Vec<u8>> {
    const LENGTH_BYTES: usize = size_of::<u32>();
    let mut bytes = vec![0; LENGTH_BYTES];
    ciborium::into_writer(frame, &mut bytes).ok()?;
    let length = bytes.len() - LENGTH_BYTES;
    if length > MAX_FRAME_BYTES {
        return None;
    }
    let length = u32::try_from(length).ok()?;
    bytes[..LENGTH_BYTES].copy_from_slice(&length.to_be_bytes());
    Some(bytes)
}
