//! The words that the mesh's processes say to each other and keep on disk. It owns their shapes and must never decide.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

mod session;

pub use session::*;

/// A steward: where others reach it for calls between the system's own processes, and the life of its disk. The
/// disk of a very first start is 0; one that came empty later has a number drawn by chance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Station {
    pub at: SocketAddr,
    pub disk: u64,
}

/// Who votes in the core. Numbers only go up; two views of one number are never both decided.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    pub number: u64,
    /// Sorted.
    pub members: Vec<Station>,
    /// The members of the view before, sorted, where this one can be undone.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub base: Vec<Station>,
    /// It goes back to the members of the one before the last, all of whom vote at once.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub undone: bool,
}

impl View {
    /// One that follows none.
    pub fn first(number: u64, mut members: Vec<Station>) -> View {
        members.sort();
        members.dedup();
        View { number, members, base: Vec::new(), undone: false }
    }
}

/// An operator's configuration as it was sent. Sheets are ordered by version, then by digest.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sheet {
    pub version: u64,
    pub digest: u64,
    #[serde(with = "serde_bytes")]
    pub bytes: Vec<u8>,
}

impl Sheet {
    pub fn new(version: u64, bytes: Vec<u8>) -> Sheet {
        Sheet { version, digest: xxhash_rust::xxh3::xxh3_64(&bytes), bytes }
    }

    pub fn rank(&self) -> (u64, u64) {
        (self.version, self.digest)
    }

    /// Whether the bytes are those of the digest.
    pub fn is_whole(&self) -> bool {
        self.digest == xxhash_rust::xxh3::xxh3_64(&self.bytes)
    }
}

/// The name of a paper.
pub type Name = Arc<str>;

/// A named sheet. Each name has its own line of versions, and none waits for another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Paper {
    pub name: Name,
    pub sheet: Arc<Sheet>,
}

/// A tracking key, hashed.
pub type Key = u128;

/// One claim of a key. Whoever claims draws a new one for every req, and never uses one again that it freed. 0 is
/// nobody's: a steward holds a key under it when two others told it of different claims and it cannot know better.
pub type Token = u64;

/// The answer of the one run of a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    pub status: u16,
    /// Names and values as the upstream gave them, hop fields left out.
    pub headers: Vec<(String, String)>,
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
}

/// What came of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// Its holder may have handed it to an upstream, and nothing more is known.
    Open,
    /// It may have run and nobody will ever know its answer.
    Unknown,
    /// It ran; this is what it answered.
    Done(Arc<Answer>),
}

/// What a steward holds of a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    pub token: Token,
    /// How long the req that claimed had left, in ms.
    pub left_ms: u32,
    pub outcome: Outcome,
}

/// What goes to disk, in this order. All of it is safe once the write that held it has returned.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// The view that holds, and what was promised and accepted of the next one.
    Ballots(Ballots),
    Sheet(Arc<Sheet>),
    Claim(Key, Claim),
    Free(Key, Token),
    Paper(Paper),
    Session(Session, Entry),
    SessionOver(Session),
    /// All versions of registers that are being decided, in the place of those written before.
    VersionBallots(Vec<VersionBallot>),
}

/// A steward's part in deciding the view that follows the one it holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ballots {
    pub me: Station,
    pub view: View,
    /// It has caught up in that view and may vote. Where it is no member: it voted until that view began.
    pub voter: bool,
    pub promised: Ballot,
    pub accepted: Option<(Ballot, View)>,
    /// It has told another in this view what it holds.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub told_new: bool,
    /// It never will.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub barred: bool,
}

/// A try to decide a view: higher ones win, and no two stewards use the same.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Ballot {
    pub round: u64,
    pub by: u64,
}

/// Numbers a proposal for a version of a register. One of a later epoch is higher than all of earlier ones, whatever
/// their rounds: majorities of two epochs that are not next to each other need not meet, so a ballot of an earlier one may
/// bind nobody in a later one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ProposalNumber {
    /// Of the membership in which it was begun.
    pub epoch: u64,
    pub ballot: Ballot,
}

/// What a replica has promised and accepted for one version of a register, above the version that it holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionBallot {
    /// The register; empty for the operator's configuration.
    pub name: Name,
    pub version: u64,
    pub promised: ProposalNumber,
    pub accepted: Option<(ProposalNumber, Arc<Sheet>)>,
}

/// One message of the single-decree agreement on the content of one version of a register.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum VersionMessage {
    /// Asks for the promise to accept nothing below this ballot.
    Prepare {
        name: Name,
        version: u64,
        number: ProposalNumber,
    },
    /// The promise, with what was accepted so far.
    Promise {
        name: Name,
        version: u64,
        number: ProposalNumber,
        accepted: Option<(ProposalNumber, Arc<Sheet>)>,
    },
    /// Asks for this content to be accepted.
    Accept {
        name: Name,
        number: ProposalNumber,
        sheet: Arc<Sheet>,
    },
    Accepted {
        name: Name,
        version: u64,
        number: ProposalNumber,
    },
    /// A higher ballot was promised.
    Outbid {
        name: Name,
        version: u64,
        number: ProposalNumber,
        promised: ProposalNumber,
    },
    /// The sender holds this version or a later one, which was decided.
    Superseded {
        name: Name,
        version: u64,
        number: ProposalNumber,
        /// The digest of the content decided for that version, where the sender knows it.
        digest: Option<u64>,
    },
}

/// What a disk held at the start.
#[derive(Clone, Debug, Default)]
pub struct Saved {
    pub ballots: Option<Ballots>,
    pub version_ballots: Vec<VersionBallot>,
    pub sheet: Option<Arc<Sheet>>,
    pub claims: Vec<(Key, Claim)>,
    /// The highest of each name.
    pub papers: Vec<Paper>,
    pub sessions: Vec<(Session, Entry)>,
}

/// What an attendant or an operator wants of the core.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Want {
    /// The right to run this key's req. Answered with `Granted`, or with what the first one's claim came to.
    Claim {
        key: Key,
        token: Token,
        left_ms: u32,
    },
    /// The one that claimed tells what came of it. `None`: it has not run and never will under this token, to be told
    /// as well after `Held` or `Unsure`. Any other only where the claim was granted: it is taken as proof of that.
    Settle {
        key: Key,
        token: Token,
        outcome: Option<Outcome>,
    },
    /// A configuration that was read and found valid.
    Replace(Arc<Sheet>),
    /// The newest configuration.
    Read,
    /// A paper that was read and found valid. `Full` where it is too long or there are too many.
    Paper(Paper),
    /// The newest paper of that name.
    ReadPaper(Name),
    Session(Session, Wish),
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Got {
    /// Nobody else can hold this key; it is safe on more than half of the core's disks.
    Granted,
    /// Another claim holds it; `Open` when the wait for its outcome was over first.
    Held(Outcome),
    /// Settled, or taken: safe where that is promised.
    Taken,
    Newest(Option<Arc<Sheet>>),
    /// Other content was decided under that version; this one is not and never will be in force.
    Conflict,
    /// There is no room for it. It was not taken, and another steward may yet hold it if it was sent there.
    Full,
    /// What a session has come to; nothing where nobody has it.
    Session(Option<Agreed>),
    /// The core could not be had in time. A claim may or may not be held under the token.
    Unsure,
}

/// What stewards say to each other. Every message goes with the sender's view number.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Letter {
    pub from: Station,
    pub view: u64,
    pub body: Body,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Body {
    /// Told all the time: the sender is there, whether it votes, what it holds, whether it is about to leave.
    Beat {
        voter: bool,
        sheet: (u64, u64),
        safe: (u64, u64),
        leaving: bool,
        /// Told where views are to be spread over zones.
        #[serde(default, skip_serializing_if = "String::is_empty")]
        zone: String,
        /// Tells of all papers that the sender holds: the same number, the same papers. 0 where it holds none.
        #[serde(default, skip_serializing_if = "none")]
        papers: u128,
    },
    /// The view that the sender holds.
    Holds(View),
    /// Ballots on the view that follows that of the letter.
    Prepare(Ballot),
    Promise {
        ballot: Ballot,
        accepted: Option<(Ballot, View)>,
    },
    Accept(Ballot, View),
    Accepted(Ballot),
    /// A ballot on going back to the members of the view before, and the promise of one that has told nobody in this
    /// view what it holds, and won't.
    Bar(Ballot),
    Barred {
        ballot: Ballot,
        accepted: Option<(Ballot, View)>,
    },
    /// A higher ballot was promised.
    Outbid(Ballot),
    /// Claims of keys to be held, and how each of them went.
    Grant(Vec<(u64, Key, Token, u32)>),
    Granted(Vec<(u64, Grant)>),
    Settle(Vec<(Key, Token, Option<Outcome>)>),
    /// A configuration to be held.
    Hold(Arc<Sheet>),
    /// Asks for a configuration newer than the one of this rank. A voter also says what it holds, with that `ask`.
    WantSheet {
        ask: u64,
        have: (u64, u64),
    },
    /// The rank of the one that a voter holds now, safe on disk. `ask` is 0 where nobody asked.
    Held {
        ask: u64,
        rank: (u64, u64),
    },
    /// One that is new in a view asks for all that is held, from a place on, and gets it in parts.
    WantState {
        from: u128,
        round: u64,
        /// It has been told all claims, and asks for the papers from this name on.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        papers: Option<Name>,
    },
    State {
        round: u64,
        part: Vec<(Key, Claim)>,
        next: Option<u128>,
        sheet: Option<Arc<Sheet>>,
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        sessions: Vec<(Session, Entry)>,
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        papers: Vec<Paper>,
        /// The name from which on papers are still to be told; told with and after the last part of the claims.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        next_paper: Option<Name>,
        /// What was accepted for versions that are being decided; told with the last part of the claims.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        version_ballots: Vec<VersionBallot>,
    },
    Sessions(Vec<Said>),
    Version(VersionMessage),
    /// Papers to be held.
    HoldPapers(Vec<Paper>),
    /// Asks for papers newer than these. A voter also says what it holds of these names, with that `ask`.
    WantPapers {
        ask: u64,
        have: Vec<(Name, (u64, u64))>,
    },
    /// The ranks of those that the sender holds, safe on disk. `ask` is 0 where nobody asked.
    PapersHeld {
        ask: u64,
        voter: bool,
        ranks: Vec<(Name, (u64, u64))>,
        /// There are more from this name on, where a list was asked for.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        next: Option<Name>,
    },
    /// Asks for the ranks of all papers from this name on, and gets as many as fit a letter.
    ListPapers(Name),
}

impl Letter {
    /// Whether all content in it is what its digests say. To be asked of whatever came from another process, before it
    /// is heard: what is held is told on, and kept on disk under its digest.
    pub fn is_whole(&self) -> bool {
        let whole = |sheet: &Arc<Sheet>| sheet.is_whole();
        let papers_whole = |papers: &[Paper]| papers.iter().all(|paper| whole(&paper.sheet));
        match &self.body {
            Body::Hold(sheet) => whole(sheet),
            Body::HoldPapers(papers) => papers_whole(papers),
            Body::State { sheet, papers, version_ballots, .. } => {
                let accepted = version_ballots.iter().filter_map(|ballot| ballot.accepted.as_ref());
                sheet.iter().all(whole) && papers_whole(papers) && accepted.map(|(_, sheet)| sheet).all(whole)
            }
            Body::Version(VersionMessage::Accept { sheet, .. }) => whole(sheet),
            Body::Version(VersionMessage::Promise { accepted: Some((_, sheet)), .. }) => whole(sheet),
            _ => true,
        }
    }
}

fn none(papers: &u128) -> bool {
    *papers == 0
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Grant {
    Yes,
    /// Another token holds it.
    No(Claim),
    /// This token was freed; it is never to be used again.
    Freed,
}

/// What is to be done, in the order given.
#[derive(Clone, Debug)]
pub enum Act {
    Write(Record),
    /// Once all that was to be written before it is safe on disk. May be to oneself.
    Send(SocketAddr, Letter),
    /// At once.
    Now(SocketAddr, Letter),
    Answer {
        call: u64,
        got: Got,
    },
    Log(String),
}
