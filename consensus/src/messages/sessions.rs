//! Sessions that move between outbound proxies: which proxy owns a session, which upstream it is bound to, requests
//! that change either, and messages between replicas.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::leases::LeaseToken;

/// Identifies a session: a hash of its service, the header's name and the header's value. The value itself is never
/// sent.
pub type SessionId = u128;

/// The upstream that a session's requests go to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionBinding {
    /// The incarnation of the upstream.
    #[serde(rename = "id")]
    pub upstream_id: String,
    /// The address of the upstream's inbound proxy.
    #[serde(rename = "door")]
    pub inbound_proxy: SocketAddr,
}

/// An outbound proxy, and the term in which it acquired the session.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SessionOwner {
    /// The address at which other nodes reach the proxy.
    #[serde(rename = "gate")]
    pub outbound_proxy: SocketAddr,
    /// The term of the change that made it the owner.
    #[serde(rename = "since")]
    pub since_term: u64,
}

/// The owner of a session, and the upstream that it is bound to.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionOwnership {
    /// The upstream that the session is bound to, if any.
    #[serde(rename = "tie", default, skip_serializing_if = "Option::is_none")]
    pub binding: Option<SessionBinding>,
    /// `None` after an operator removed the session.
    #[serde(rename = "holder", default, skip_serializing_if = "Option::is_none")]
    pub owner: Option<SessionOwner>,
    /// The previous owner, if any.
    #[serde(rename = "before", default, skip_serializing_if = "Option::is_none")]
    pub previous_owner: Option<SessionOwner>,
}

/// A committed change of a session. Each change has a higher term than the one before; each term belongs to one token.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommittedSession {
    /// The term of the change.
    #[serde(rename = "epoch")]
    pub term: u64,
    /// The token of the proposal that has the term.
    pub token: LeaseToken,
    /// The ownership after the change.
    #[serde(rename = "holding")]
    pub ownership: SessionOwnership,
}

/// A replica's record of a session.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionRecord {
    /// The replica accepts nothing of a lower term, and in this term nothing of another token.
    #[serde(rename = "epoch")]
    pub term: u64,
    /// The token that the term belongs to; 0 stands for none.
    pub token: LeaseToken,
    /// The change accepted last, whether or not it was committed.
    #[serde(rename = "taken", default, skip_serializing_if = "Option::is_none")]
    pub accepted: Option<CommittedSession>,
}

/// A request to change or read a session.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SessionRequest {
    /// The proxy wants to own the session, and keeps it if it already does.
    #[serde(rename = "Take")]
    Acquire {
        /// The proxy that wants to own the session.
        #[serde(rename = "gate")]
        outbound_proxy: SocketAddr,
        /// The latest term of an owner that inbound proxies know of.
        #[serde(rename = "above")]
        above_term: u64,
    },
    /// The owner binds the session to another upstream, provided that it is still bound to the current one.
    #[serde(rename = "Tie")]
    Bind {
        /// The owner, with the term in which it acquired the session.
        #[serde(rename = "holder")]
        owner: SessionOwner,
        /// Id of the upstream that the owner believes the session to be bound to, if any.
        #[serde(rename = "was")]
        current_upstream_id: Option<String>,
        /// The upstream that the session is to be bound to.
        #[serde(rename = "tie")]
        binding: SessionBinding,
    },
    /// The owner has used the session. Answered from the state of the receiving replica, which may be outdated.
    Renew(SessionOwner),
    /// Reads the committed state.
    Read,
    /// Removes the owner and the binding: the next proxy acquires the session unbound, in a later term.
    #[serde(rename = "Drop")]
    Forget,
}

/// A message between replicas about a session. Answers carry the `call` of the request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SessionMessage {
    /// Requests the promise to accept no lower term.
    #[serde(rename = "Ask")]
    Prepare {
        /// The number of the call that the answer belongs to.
        call: u64,
        /// The session.
        session: SessionId,
        /// The term of the change.
        #[serde(rename = "epoch")]
        term: u64,
        /// The token of the proposal that has the term.
        token: LeaseToken,
    },
    /// The promise, with the change that the sender accepted last.
    #[serde(rename = "Heard")]
    Promise {
        /// The number of the call that the answer belongs to.
        call: u64,
        /// The term of the change.
        #[serde(rename = "epoch")]
        term: u64,
        /// The change that the sender accepted last, if any.
        #[serde(rename = "taken")]
        accepted: Option<CommittedSession>,
    },
    /// Asks the receiver to store a change.
    #[serde(rename = "Hold")]
    Accept {
        /// The number of the call that the answer belongs to.
        call: u64,
        /// The session.
        session: SessionId,
        /// The change.
        #[serde(rename = "agreed")]
        change: CommittedSession,
    },
    /// The change is durable on the sender's disk.
    #[serde(rename = "Held")]
    Accepted {
        /// The number of the call that the answer belongs to.
        call: u64,
        /// The term of the change.
        #[serde(rename = "epoch")]
        term: u64,
    },
    /// The sender has promised a higher term, or this term to another token.
    #[serde(rename = "Outbid")]
    Preempted {
        /// The number of the call that the answer belongs to.
        call: u64,
        /// The term of the change.
        #[serde(rename = "epoch")]
        term: u64,
    },
    /// The session was used.
    Renew(SessionId),
}

/// A session with its record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(SessionId, SessionRecord)", into = "(SessionId, SessionRecord)")]
pub struct SessionEntry {
    /// The session.
    pub session: SessionId,
    /// The replica's record of it.
    pub record: SessionRecord,
}

encoded_as_tuple!(SessionEntry { session: SessionId, record: SessionRecord });
