//! The encoding of an instance's snapshot: a header with format, length and checksum, then the list as discovery sent
//! it and the statuses of servers that other instances reported.
//!
//! Invariant: a snapshot that is torn, damaged, from another instance or in an unknown format is never accepted.

use std::net::SocketAddr;

use ochreshed::{EndpointState, ListedEndpoint};
use ochreshed_replica::stamp::Stamp;
use ochreshed_replica::status::StampedStatus;
use serde::{Deserialize, Serialize};

const MAGIC: [u8; 8] = *b"ochresnp";
const FORMAT_VERSION: u16 = 1;
/// Magic, format version, length of the body, and the CRC-32C over these and the body.
const HEADER_BYTES: usize = 8 + 2 + 4 + 4;
/// Far more than the longest list in use needs.
pub const MAX_SNAPSHOT_BYTES: usize = 16 << 20;

/// An entry of the list that discovery sent to this instance. Servers that are gone have no entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SnapshotEntry {
    pub server: String,
    pub draining: bool,
    /// When the server's process last started, in nanoseconds; none if that is long ago.
    pub started_at: Option<u64>,
    pub weight: f64,
    pub site: String,
    pub cell: u64,
    /// The address at which this instance reaches the server.
    pub address: SocketAddr,
}

impl SnapshotEntry {
    pub fn from_listed(listed: &ListedEndpoint, address: SocketAddr) -> SnapshotEntry {
        SnapshotEntry {
            server: listed.name.to_string(),
            draining: listed.state != EndpointState::Up,
            started_at: listed.started_at,
            weight: listed.weight,
            site: listed.site.to_string(),
            cell: listed.cell,
            address,
        }
    }

    pub fn to_listed(&self) -> ListedEndpoint {
        ListedEndpoint {
            name: self.server.as_str().into(),
            state: if self.draining { EndpointState::Draining } else { EndpointState::Up },
            started_at: self.started_at,
            weight: self.weight,
            site: self.site.as_str().into(),
            cell: self.cell,
        }
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    pub fleet: String,
    pub instance: String,
    /// Increases with each snapshot that the instance writes.
    pub sequence: u64,
    /// The system time of writing, in nanoseconds since 1970. It only serves to estimate the age, never to order
    /// snapshots.
    pub written_at_unix_ns: u64,
    /// The stamp of the list.
    pub stamp: Stamp,
    pub entries: Vec<SnapshotEntry>,
    /// The statuses of servers that are draining or gone.
    pub statuses: Vec<(String, StampedStatus)>,
    /// The floor of the status table.
    pub floor: Stamp,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SnapshotError {
    /// Too short, too long, or with another magic number.
    NotASnapshot,
    /// The body is truncated, or followed by other bytes.
    LengthMismatch,
    ChecksumMismatch,
    /// Written by a build with another format version.
    UnsupportedFormat(u16),
    /// The checksum matches, but the body does not decode.
    UndecodableBody,
    /// From another instance or fleet, which it names.
    OtherOwner(String),
    /// Written this many seconds in the future: the system clock was set back.
    WrittenInFuture(u64),
}

/// `ochreshed snapshot` prints these texts.
impl std::fmt::Display for SnapshotError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            SnapshotError::NotASnapshot => write!(formatter, "no snapshot"),
            SnapshotError::LengthMismatch => write!(formatter, "not whole"),
            SnapshotError::ChecksumMismatch => write!(formatter, "damaged: its checksum is another"),
            SnapshotError::UnsupportedFormat(format) => {
                write!(formatter, "of format {format}, which this build does not know")
            }
            SnapshotError::UndecodableBody => {
                write!(formatter, "its checksum is right and its body can't be read")
            }
            SnapshotError::OtherOwner(owner) => write!(formatter, "of {owner}"),
            SnapshotError::WrittenInFuture(seconds) => write!(formatter, "written {seconds} s from now"),
        }
    }
}

impl Snapshot {
    pub fn encode(&self) -> Vec<u8> {
        // Serializing plain values to memory does not fail.
        let body = postcard::to_stdvec(self).unwrap_or_default();
        let mut bytes = Vec::with_capacity(HEADER_BYTES + body.len());
        bytes.extend_from_slice(&MAGIC);
        bytes.extend_from_slice(&FORMAT_VERSION.to_le_bytes());
        bytes.extend_from_slice(&(body.len() as u32).to_le_bytes());
        let checksum = crc32c::crc32c_append(crc32c::crc32c(&bytes), &body);
        bytes.extend_from_slice(&checksum.to_le_bytes());
        bytes.extend_from_slice(&body);
        bytes
    }

    /// Decodes a snapshot of any instance.
    pub fn decode(bytes: &[u8]) -> Result<Snapshot, SnapshotError> {
        if bytes.len() < HEADER_BYTES || bytes.len() > MAX_SNAPSHOT_BYTES || bytes[..8] != MAGIC {
            return Err(SnapshotError::NotASnapshot);
        }
        let format = u16::from_le_bytes([bytes[8], bytes[9]]);
        if format != FORMAT_VERSION {
            return Err(SnapshotError::UnsupportedFormat(format));
        }
        let length = u32::from_le_bytes([bytes[10], bytes[11], bytes[12], bytes[13]]) as usize;
        let body = &bytes[HEADER_BYTES..];
        if body.len() != length {
            return Err(SnapshotError::LengthMismatch);
        }
        let checksum = crc32c::crc32c_append(crc32c::crc32c(&bytes[..14]), body);
        if bytes[14..HEADER_BYTES] != checksum.to_le_bytes() {
            return Err(SnapshotError::ChecksumMismatch);
        }
        postcard::from_bytes(body).map_err(|_| SnapshotError::UndecodableBody)
    }

    /// Decodes a snapshot of the given instance. `now_unix_ns` is the system time.
    pub fn decode_for_instance(
        bytes: &[u8],
        fleet: &str,
        instance: &str,
        now_unix_ns: u64,
    ) -> Result<Snapshot, SnapshotError> {
        let snapshot = Snapshot::decode(bytes)?;
        if snapshot.fleet != fleet || snapshot.instance != instance {
            return Err(SnapshotError::OtherOwner(format!(
                "{} of fleet {}",
                snapshot.instance, snapshot.fleet
            )));
        }
        match snapshot.written_at_unix_ns.saturating_sub(now_unix_ns) / 1_000_000_000 {
            // System clocks are often corrected by small steps.
            0..=60 => Ok(snapshot),
            ahead_s => Err(SnapshotError::WrittenInFuture(ahead_s)),
        }
    }
}

#[cfg(test)]
pub(crate) mod tests {
    use ochreshed_replica::status::ServerStatus;
    use proptest::prelude::*;

    use super::*;

    pub fn snapshot(sequence: u64) -> Snapshot {
        let entry = |number: u64| SnapshotEntry {
            server: format!("s{number}"),
            draining: number.is_multiple_of(5),
            started_at: number.is_multiple_of(3).then_some(number),
            weight: 1.5,
            site: "a".into(),
            cell: number,
            address: SocketAddr::from(([127, 0, 0, 1], 7)),
        };
        let stamp = Stamp { epoch: 1, version: 40 + sequence };
        Snapshot {
            fleet: "shop".into(),
            instance: "n1".into(),
            sequence,
            written_at_unix_ns: 1_000_000_000_000 + sequence,
            stamp,
            entries: (0..20 + sequence % 7).map(entry).collect(),
            statuses: vec![("gone".into(), StampedStatus { stamp, status: ServerStatus::Gone })],
            floor: Stamp::default(),
        }
    }

    #[test]
    fn a_snapshot_is_accepted_by_its_own_instance_only() {
        let (bytes, now) = (snapshot(3).encode(), 2_000_000_000_000);
        assert_eq!(Snapshot::decode_for_instance(&bytes, "shop", "n1", now), Ok(snapshot(3)));
        assert_eq!(
            Snapshot::decode_for_instance(&bytes, "shop", "n2", now),
            Err(SnapshotError::OtherOwner("n1 of fleet shop".into()))
        );
        assert!(matches!(
            Snapshot::decode_for_instance(&bytes, "bank", "n1", now),
            Err(SnapshotError::OtherOwner(_))
        ));
        assert_eq!(
            Snapshot::decode_for_instance(&bytes, "shop", "n1", 100_000_000_000),
            Err(SnapshotError::WrittenInFuture(900))
        );
        let mut newer = bytes.clone();
        newer[8] = 2;
        assert_eq!(Snapshot::decode(&newer), Err(SnapshotError::UnsupportedFormat(2)));
        assert_eq!(Snapshot::decode(&[bytes.clone(), vec![0]].concat()), Err(SnapshotError::LengthMismatch));
        assert_eq!(Snapshot::decode(b"{}"), Err(SnapshotError::NotASnapshot));
    }

    #[test]
    fn an_entry_converts_to_a_listed_server_and_back() {
        let entry = &snapshot(0).entries[5];
        let converted = SnapshotEntry::from_listed(&entry.to_listed(), entry.address);
        assert_eq!((&converted, entry.to_listed().state), (entry, EndpointState::Draining));
    }

    proptest! {
        #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

        #[test]
        fn a_damaged_or_truncated_snapshot_is_rejected(
            at in any::<prop::sample::Index>(), flip in 1..=255u8, cut in any::<prop::sample::Index>(),
        ) {
            let intact = snapshot(1).encode();
            let mut bytes = intact.clone();
            let at = at.index(bytes.len());
            bytes[at] ^= flip;
            prop_assert!(Snapshot::decode(&bytes).is_err());
            prop_assert!(Snapshot::decode(&intact[..cut.index(intact.len())]).is_err());
        }

        #[test]
        fn any_body_with_a_valid_header_decodes_or_is_an_error(body in prop::collection::vec(any::<u8>(), 0..400)) {
            let mut bytes = snapshot(1).encode()[..10].to_vec();
            bytes.extend_from_slice(&(body.len() as u32).to_le_bytes());
            let checksum = crc32c::crc32c_append(crc32c::crc32c(&bytes), &body);
            bytes.extend_from_slice(&checksum.to_le_bytes());
            bytes.extend_from_slice(&body);
            if let Ok(read) = Snapshot::decode(&bytes) {
                prop_assert!(read.entries.len() + read.statuses.len() <= body.len());
            }
        }
    }
}
