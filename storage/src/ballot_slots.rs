//! Ballot slots: the replica's promises and accepted values as an acceptor (Paxos), for the next membership and for
//! versions of registers.
//!
//! There are two slots, `ballots.0` and `ballots.1`, with one frame each. They are written alternately and in place,
//! with one sync per write, and the one with the higher write count is current. A frame holds the write count, the
//! ballot on the membership and, if there are any, the acceptors of register versions.
//!
//! Invariants:
//! - The current slot is never overwritten, so a torn write loses nothing that was durable.
//! - Both kinds of ballots are lost only together with the replica's identity: a replica that has lost a promise comes
//!   back under a new identity, so it can't break that promise.

use ochreshed_consensus::messages::{AcceptorState, MembershipBallotState};

use crate::data_directory::DataDirectory;
use crate::error::StoreError;
use crate::file_system::{FileEntry, ROOT_DIRECTORY};
use crate::frame::{FRAME_HEADER_BYTES, read_frame, seal_frame};
use crate::recovery_finding::RecoveryFinding;

const SLOT_PATHS: [&str; 2] = ["ballots.0", "ballots.1"];
/// The segment number in the checksum of a slot's frame; log segments begin at 1.
const SLOT_SEGMENT: u32 = 0;

/// The current acceptor state.
#[derive(Clone)]
pub(crate) struct BallotState {
    pub(crate) membership_ballot: MembershipBallotState,
    pub(crate) acceptors: Vec<AcceptorState>,
}

/// The content of one slot.
struct SlotContent {
    write_count: u64,
    state: BallotState,
}

/// Both slots, and the current state.
pub(crate) struct BallotSlots {
    /// The lengths of the files; 0 for a file that does not exist.
    file_bytes: [u64; 2],
    /// The index of the current slot.
    current_slot: usize,
    /// The write count of the current slot.
    write_count: u64,
    state: Option<BallotState>,
}

impl BallotSlots {
    /// Reads the slots and rewrites the current state. If no slot is intact, both are quarantined.
    pub(crate) fn open(directory: &mut DataDirectory) -> Result<BallotSlots, StoreError> {
        let entries = directory.list_and_clean(ROOT_DIRECTORY)?;
        let mut slots = BallotSlots { file_bytes: [0; 2], current_slot: 0, write_count: 0, state: None };
        let mut recovered: Option<BallotState> = None;
        for slot in 0..SLOT_PATHS.len() {
            let Some(content) = slots.read_slot(directory, &entries, slot)? else { continue };
            if recovered.is_none() || content.write_count > slots.write_count {
                slots.write_count = content.write_count;
                slots.current_slot = slot;
                recovered = Some(content.state);
            }
        }
        match recovered {
            // The state must be durable before it is used. A sync alone is not enough: after a failed sync in an
            // earlier process, a later sync may report success without writing the bytes.
            Some(state) => slots.write(directory, state)?,
            None => slots.quarantine_all(directory),
        }
        Ok(slots)
    }

    pub(crate) fn state(&self) -> Option<&BallotState> {
        self.state.as_ref()
    }

    pub(crate) fn disk_bytes(&self) -> u64 {
        self.file_bytes.iter().sum()
    }

    /// Replaces the parts of the state that are given, and syncs the result.
    pub(crate) fn persist(
        &mut self,
        directory: &mut DataDirectory,
        membership_ballot: Option<&MembershipBallotState>,
        acceptors: Option<&[AcceptorState]>,
    ) -> Result<(), StoreError> {
        let current = self.state.as_ref();
        let membership_ballot = membership_ballot
            .or_else(|| current.map(|state| &state.membership_ballot))
            .ok_or(StoreError::AcceptorsWithoutMembership)?;
        let acceptors =
            acceptors.or_else(|| current.map(|state| state.acceptors.as_slice())).unwrap_or_default();
        let state =
            BallotState { membership_ballot: membership_ballot.clone(), acceptors: acceptors.to_vec() };
        self.write(directory, state)
    }

    /// Reads a slot; `None` if there is none or it is not intact.
    fn read_slot(
        &mut self,
        directory: &mut DataDirectory,
        entries: &[FileEntry],
        slot: usize,
    ) -> Result<Option<SlotContent>, StoreError> {
        let path = SLOT_PATHS[slot];
        let Some(entry) = entries.iter().find(|entry| entry.name == path) else { return Ok(None) };
        self.file_bytes[slot] = entry.bytes;
        let bytes = directory.read_file(path)?;
        let content = read_frame(SLOT_SEGMENT, &bytes, 0).and_then(decode_slot);
        if content.is_none() {
            directory.report(RecoveryFinding::DamagedBallotSlot { path: path.to_owned() });
        }
        Ok(content)
    }

    fn quarantine_all(&mut self, directory: &mut DataDirectory) {
        for (path, bytes) in SLOT_PATHS.iter().zip(&mut self.file_bytes) {
            if *bytes > 0 {
                directory.quarantine(path, *bytes);
                *bytes = 0;
            }
        }
    }

    /// Writes and syncs the other slot, which then is the current one.
    fn write(&mut self, directory: &mut DataDirectory, state: BallotState) -> Result<(), StoreError> {
        let write_count = self.write_count.saturating_add(1);
        let bytes = encode_slot(write_count, &state)?;
        let slot = 1 - self.current_slot;
        let path = SLOT_PATHS[slot];
        directory.write_at(path, 0, &bytes)?;
        directory.sync_file(path)?;
        if self.file_bytes[slot] == 0 {
            directory.sync_directory(ROOT_DIRECTORY)?;
        }
        self.file_bytes[slot] = self.file_bytes[slot].max(bytes.len() as u64);
        self.current_slot = slot;
        self.write_count = write_count;
        self.state = Some(state);
        Ok(())
    }
}

/// Encodes the frame of a slot. Without acceptors it has the form that earlier versions, which have none, wrote.
fn encode_slot(write_count: u64, state: &BallotState) -> Result<Vec<u8>, StoreError> {
    let mut bytes = vec![0; FRAME_HEADER_BYTES];
    let BallotState { membership_ballot, acceptors } = state;
    let encoded = if acceptors.is_empty() {
        ciborium::into_writer(&(write_count, membership_ballot), &mut bytes)
    } else {
        ciborium::into_writer(&(write_count, membership_ballot, acceptors), &mut bytes)
    };
    encoded.map_err(|source| StoreError::Encode { source })?;
    seal_frame(SLOT_SEGMENT, &mut bytes, 0)?;
    Ok(bytes)
}

fn decode_slot(payload: &[u8]) -> Option<SlotContent> {
    decode_with_acceptors(payload).or_else(|| decode_without_acceptors(payload))
}

fn decode_with_acceptors(payload: &[u8]) -> Option<SlotContent> {
    let (write_count, membership_ballot, acceptors) = ciborium::from_reader(payload).ok()?;
    Some(SlotContent { write_count, state: BallotState { membership_ballot, acceptors } })
}

fn decode_without_acceptors(payload: &[u8]) -> Option<SlotContent> {
    let (write_count, membership_ballot) = ciborium::from_reader(payload).ok()?;
    Some(SlotContent { write_count, state: BallotState { membership_ballot, acceptors: Vec::new() } })
}
