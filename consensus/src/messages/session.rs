//! The words of travelling sessions: what a record holds, what is wished of it, and what stewards say to each other
//! about it. It owns their shapes and must never decide. With no route that names a session none of them is said.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::Token;

/// Who a session is: its service, the header's name and its value, hashed. The value itself is never told.
pub type Session = u128;

/// The upstream that a person's instance lives in.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tie {
    /// The upstream's life.
    pub id: String,
    pub door: SocketAddr,
}

/// A gate, and the epoch at which it took the session.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Holder {
    /// Where its attendant is reached by others.
    pub gate: SocketAddr,
    pub since: u64,
}

/// What a session has come to.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holding {
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tie: Option<Tie>,
    /// The gate that has it; none after an operator dropped it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub holder: Option<Holder>,
    /// The one that had it before.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub before: Option<Holder>,
}

/// A holding as it was agreed: epochs go up with each change, and at one epoch there is one token.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Agreed {
    pub epoch: u64,
    pub token: Token,
    pub holding: Holding,
}

/// What a steward holds of a session.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Nothing of a lower epoch is taken any more, and at this one nothing of another token. Token 0 is nobody's.
    pub epoch: u64,
    pub token: Token,
    /// Taken last, whether or not more than half did.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub taken: Option<Agreed>,
}

/// What is wanted of a session.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Wish {
    /// The gate wants to have it, and keeps it if it has. `above`: doors know of a holder since that epoch.
    Take {
        gate: SocketAddr,
        above: u64,
    },
    /// The holder wants it tied to another upstream, where it is tied to none or still to the one of that id.
    Tie {
        holder: Holder,
        was: Option<String>,
        tie: Tie,
    },
    /// The holder has used it of late: answered with what the asked steward holds of it, which may be outdated.
    Renew(Holder),
    /// An operator reads it, or drops it: its next gate begins anew, under a later epoch.
    Read,
    Drop,
}

/// What stewards say to each other. Asks go with the number of the call, and so do answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Said {
    /// Takes nothing of a lower epoch from now on.
    Ask { call: u64, session: Session, epoch: u64, token: Token },
    /// It won't, and this is what it took last.
    Heard { call: u64, epoch: u64, taken: Option<Agreed> },
    /// To be held.
    Hold { call: u64, session: Session, agreed: Agreed },
    /// It is, safe on disk.
    Held { call: u64, epoch: u64 },
    /// A higher epoch, or another token at the same, was there first.
    Outbid { call: u64, epoch: u64 },
    /// It was used.
    Renew(Session),
}
