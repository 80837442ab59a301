//! What an instance knew, as bytes: a head with format, length and checksum, then the list as discovery told it and the
//! words on srvs that others had told. It owns what is taken for a snapshot, and must never take one that is torn, damaged,
//! another's or of a newer build for its own.

use std::net::SocketAddr;

use ochreshed::{EndpointState, ListedEndpoint};
use ochreshed_replica::stamp::Stamp;
use ochreshed_replica::status::StampedStatus;
use serde::{Deserialize, Serialize};

const MAGIC: [u8; 8] = *b"ochresnp";
const FORMAT: u16 = 1;
/// Magic, format, length of the body, and the CRC-32C over these and the body.
const HEAD: usize = 8 + 2 + 4 + 4;
/// No list that there is comes near it.
pub const MOST: usize = 16 << 20;

/// An entry of the list as discovery told it here.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    pub srv: String,
    /// It drains; what is gone has no entry.
    pub drains: bool,
    pub came_up: Option<u64>,
    pub weight: f64,
    pub site: String,
    pub cell: u64,
    /// Where it is reached from this instance.
    pub address: SocketAddr,
}

impl Entry {
    pub fn of(listed: &ListedEndpoint, address: SocketAddr) -> Entry {
        Entry {
            srv: listed.name.to_string(),
            drains: listed.state != EndpointState::Up,
            came_up: listed.started_at,
            weight: listed.weight,
            site: listed.site.to_string(),
            cell: listed.cell,
            address,
        }
    }

    pub fn listed(&self) -> ListedEndpoint {
        ListedEndpoint {
            name: self.srv.as_str().into(),
            state: if self.drains { EndpointState::Draining } else { EndpointState::Up },
            started_at: self.came_up,
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
    /// Grows with each that the instance writes.
    pub number: u64,
    /// On the machine's own clock, in nanoseconds since 1970: for how old it is, never for which of two is newer.
    pub written: u64,
    /// Of the list: discovery's version, in the count of the balancers.
    pub stamp: Stamp,
    pub list: Vec<Entry>,
    /// What was heard of srvs that drain or are gone, and what is forgotten.
    pub words: Vec<(String, StampedStatus)>,
    pub floor: Stamp,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Wrong {
    /// Too short, too long, or not begun as ours are.
    NotOurs,
    /// Its end is missing, or something stands behind it.
    Torn,
    Checksum,
    /// Of a build that writes another format.
    Format(u16),
    /// Its body can't be read.
    Unreadable,
    /// Of another fleet or another instance, which it names.
    Foreign(String),
    /// Written later than now, by so many seconds: the clock went back.
    Future(u64),
}

impl std::fmt::Display for Wrong {
    fn fmt(&self, to: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Wrong::NotOurs => write!(to, "no snapshot"),
            Wrong::Torn => write!(to, "not whole"),
            Wrong::Checksum => write!(to, "damaged: its checksum is another"),
            Wrong::Format(format) => write!(to, "of format {format}, which this build does not know"),
            Wrong::Unreadable => write!(to, "its checksum is right and its body can't be read"),
            Wrong::Foreign(whose) => write!(to, "of {whose}"),
            Wrong::Future(seconds) => write!(to, "written {seconds} s from now"),
        }
    }
}

impl Snapshot {
    pub fn write(&self) -> Vec<u8> {
        // Plain values: writing them to memory does not fail.
        let body = postcard::to_stdvec(self).unwrap_or_default();
        let mut bytes = Vec::with_capacity(HEAD + body.len());
        bytes.extend_from_slice(&MAGIC);
        bytes.extend_from_slice(&FORMAT.to_le_bytes());
        bytes.extend_from_slice(&(body.len() as u32).to_le_bytes());
        let sum = crc32c::crc32c_append(crc32c::crc32c(&bytes), &body);
        bytes.extend_from_slice(&sum.to_le_bytes());
        bytes.extend_from_slice(&body);
        bytes
    }

    /// Reads one, whosever it is.
    pub fn read(bytes: &[u8]) -> Result<Snapshot, Wrong> {
        if bytes.len() < HEAD || bytes.len() > MOST || bytes[..8] != MAGIC {
            return Err(Wrong::NotOurs);
        }
        let format = u16::from_le_bytes([bytes[8], bytes[9]]);
        if format != FORMAT {
            return Err(Wrong::Format(format));
        }
        let length = u32::from_le_bytes([bytes[10], bytes[11], bytes[12], bytes[13]]) as usize;
        let body = &bytes[HEAD..];
        if body.len() != length {
            return Err(Wrong::Torn);
        }
        if bytes[14..HEAD] != crc32c::crc32c_append(crc32c::crc32c(&bytes[..14]), body).to_le_bytes() {
            return Err(Wrong::Checksum);
        }
        postcard::from_bytes(body).map_err(|_| Wrong::Unreadable)
    }

    /// Reads one of this instance of this fleet, at this time of the machine's clock.
    pub fn own(bytes: &[u8], fleet: &str, instance: &str, now: u64) -> Result<Snapshot, Wrong> {
        let snapshot = Snapshot::read(bytes)?;
        if snapshot.fleet != fleet || snapshot.instance != instance {
            return Err(Wrong::Foreign(format!("{} of fleet {}", snapshot.instance, snapshot.fleet)));
        }
        match snapshot.written.saturating_sub(now) / 1_000_000_000 {
            // Clocks are set right by a little all day.
            0..=60 => Ok(snapshot),
            ahead => Err(Wrong::Future(ahead)),
        }
    }
}

#[cfg(test)]
pub(crate) mod tests {
    use ochreshed_replica::status::ServerStatus;
    use proptest::prelude::*;

    use super::*;

    pub fn snapshot(number: u64) -> Snapshot {
        let entry = |at: u64| Entry {
            srv: format!("s{at}"),
            drains: at.is_multiple_of(5),
            came_up: at.is_multiple_of(3).then_some(at),
            weight: 1.5,
            site: "a".into(),
            cell: at,
            address: SocketAddr::from(([127, 0, 0, 1], 7)),
        };
        let stamp = Stamp { epoch: 1, version: 40 + number };
        Snapshot {
            fleet: "shop".into(),
            instance: "n1".into(),
            number,
            written: 1_000_000_000_000 + number,
            stamp,
            list: (0..20 + number % 7).map(entry).collect(),
            words: vec![("gone".into(), StampedStatus { stamp, status: ServerStatus::Gone })],
            floor: Stamp::default(),
        }
    }

    #[test]
    fn it_is_read_as_written_by_its_own_instance_only() {
        let (bytes, now) = (snapshot(3).write(), 2_000_000_000_000);
        assert_eq!(Snapshot::own(&bytes, "shop", "n1", now), Ok(snapshot(3)));
        assert_eq!(Snapshot::own(&bytes, "shop", "n2", now), Err(Wrong::Foreign("n1 of fleet shop".into())));
        assert!(matches!(Snapshot::own(&bytes, "bank", "n1", now), Err(Wrong::Foreign(_))));
        assert_eq!(Snapshot::own(&bytes, "shop", "n1", 100_000_000_000), Err(Wrong::Future(900)));
        let mut newer = bytes.clone();
        newer[8] = 2;
        assert_eq!(Snapshot::read(&newer), Err(Wrong::Format(2)));
        assert_eq!(Snapshot::read(&[bytes.clone(), vec![0]].concat()), Err(Wrong::Torn));
        assert_eq!(Snapshot::read(b"{}"), Err(Wrong::NotOurs));
    }

    #[test]
    fn an_entry_is_the_lists() {
        let entry = &snapshot(0).list[5];
        let again = Entry::of(&entry.listed(), entry.address);
        assert_eq!((&again, entry.listed().state), (entry, EndpointState::Draining));
    }

    proptest! {
        #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

        #[test]
        fn damaged_or_cut_it_is_refused(at in any::<prop::sample::Index>(), flip in 1..=255u8, cut in any::<prop::sample::Index>()) {
            let whole = snapshot(1).write();
            let mut bytes = whole.clone();
            let at = at.index(bytes.len());
            bytes[at] ^= flip;
            prop_assert!(Snapshot::read(&bytes).is_err());
            prop_assert!(Snapshot::read(&whole[..cut.index(whole.len())]).is_err());
        }

        #[test]
        fn any_bytes_behind_a_right_head_are_one_or_an_error(body in prop::collection::vec(any::<u8>(), 0..400)) {
            let mut bytes = snapshot(1).write()[..10].to_vec();
            bytes.extend_from_slice(&(body.len() as u32).to_le_bytes());
            let sum = crc32c::crc32c_append(crc32c::crc32c(&bytes), &body);
            bytes.extend_from_slice(&sum.to_le_bytes());
            bytes.extend_from_slice(&body);
            if let Ok(read) = Snapshot::read(&bytes) {
                prop_assert!(read.list.len() + read.words.len() <= body.len());
            }
        }
    }
}
