//! The effects that the caller of the core has to carry out.
//!
//! Main types: `Effect`, `CoreEvent`.
//!
//! Invariants: the caller carries out effects in the order in which the core returned them.

use std::fmt;
use std::net::SocketAddr;

use super::membership::{Membership, ReplicaId};
use super::records::LogRecord;
use super::replicas::Message;
use super::requests::CoreResponse;

/// Something that the caller of the core has to do, in the order given.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Writes the record to the log. Later effects of the same batch need not wait for it unless they say so.
    Persist(LogRecord),
    /// Sends the message once all records persisted before are durable. The receiver may be the replica itself.
    SendAfterPersist(SocketAddr, Message),
    /// Sends the message at once.
    SendNow(SocketAddr, Message),
    /// Answers the request with this call number.
    Respond {
        /// The call number of the request.
        call: u64,
        /// The answer.
        response: CoreResponse,
    },
    /// Reports an event for the log. It changes nothing.
    Log(CoreEvent),
}

/// An event in a core, for logs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CoreEvent {
    /// The replica started with what its disk held.
    Started {
        /// The replica.
        replica: ReplicaId,
        /// Whether it votes.
        voter: bool,
        /// The membership of its epoch.
        membership: Membership,
    },
    /// The replica adopted another membership.
    MembershipChanged {
        /// Whether it votes in the new epoch.
        voter: bool,
        /// The new membership.
        membership: Membership,
    },
    /// The replica has caught up and votes.
    CaughtUp {
        /// Its epoch.
        epoch: u64,
    },
}

impl fmt::Display for CoreEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CoreEvent::Started { replica, voter, membership } => write!(
                f,
                "replica started: replica={replica} epoch={} voter={voter} members={}",
                membership.epoch,
                MemberList(&membership.members)
            ),
            CoreEvent::MembershipChanged { voter, membership } => write!(
                f,
                "membership changed: epoch={} voter={voter} members={} rolled_back={}",
                membership.epoch,
                MemberList(&membership.members),
                membership.rolled_back
            ),
            CoreEvent::CaughtUp { epoch } => write!(f, "caught up: epoch={epoch}"),
        }
    }
}

/// Members as a log line shows them: separated by commas, without spaces.
struct MemberList<'a>(&'a [ReplicaId]);

impl fmt::Display for MemberList<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, member) in self.0.iter().enumerate() {
            if index > 0 {
                f.write_str(",")?;
            }
            write!(f, "{member}")?;
        }
        Ok(())
    }
}
