//! Types that replicas of the control plane exchange with each other, with proxies and operators, and keep on disk.
//!
//! Main types: `Message` between replicas, `CoreRequest` and `CoreResponse` for callers, `LogRecord` on disk, `Effect`
//! for the caller of a core.
//!
//! Invariants: everything here is encoded as CBOR by serde, by the names of fields and variants. Disks and processes of
//! earlier versions use the tags given by `serde(rename)`, so a tag never changes; `tests/frozen_forms.rs` checks them.

/// Converts a struct to and from a tuple of its fields, which is the form in which it is encoded.
macro_rules! encoded_as_tuple {
    ($type:ident { $($field:ident: $field_type:ty),+ $(,)? }) => {
        impl From<($($field_type),+)> for $type {
            fn from(($($field),+): ($($field_type),+)) -> $type {
                $type { $($field),+ }
            }
        }

        impl From<$type> for ($($field_type),+) {
            fn from(record: $type) -> ($($field_type),+) {
                ($(record.$field),+)
            }
        }
    };
}

mod effects;
mod leases;
mod membership;
mod quorum_writes;
mod records;
mod registers;
mod replicas;
mod requests;
mod sessions;
mod tombstones;

pub use effects::{CoreEvent, Effect};
pub use leases::{
    Lease, LeaseCompletion, LeaseEntry, LeaseKey, LeaseOutcome, LeaseRequest, LeaseToken, LeaseVote,
    LeaseVoteReply, StoredResponse,
};
pub use membership::{AcceptedMembership, Ballot, Membership, MembershipBallotState, ReplicaId};
pub use quorum_writes::{QuorumWrite, QuorumWriteRequest};
pub use records::{LogRecord, PersistedState};
pub use registers::{
    AcceptedValue, AcceptorState, NamedRegister, ProposalNumber, RegisterName, RegisterPaxosMessage,
    RegisterRevision, RegisterValue, Revision,
};
pub use replicas::{Message, MessageBody};
pub use requests::{CoreRequest, CoreResponse};
pub use sessions::{
    CommittedSession, SessionBinding, SessionEntry, SessionId, SessionMessage, SessionOwner,
    SessionOwnership, SessionRecord, SessionRequest,
};
pub use tombstones::{TombstoneId, TombstoneQuery, TombstoneReply};
