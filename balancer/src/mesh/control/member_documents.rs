//! The papers on members as one process holds them, read: the register, and each member's settled document, its trial
//! and the highest edition withdrawn. It owns their names and what of them is in force at a node. It must never go back
//! to an older paper, nor take one in part.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use ochreshed::Name;
use ochreshed_consensus::messages::Revision;
use ochreshed_consensus::messages::{NamedRegister, RegisterValue};
use ochreshed_mesh::configuration::Configuration;
use ochreshed_mesh::members::{MemberDocument, MemberRegister};
use ochreshed_mesh::overlay::{self, EffectiveConfiguration};

/// The register's name; a member's documents are named by a letter and the member.
pub const REGISTER: &str = "members";

pub fn settled(member: &str) -> Name {
    format!("m/{member}").into()
}

pub fn trial(member: &str) -> Name {
    format!("t/{member}").into()
}

pub fn withdrawn(member: &str) -> Name {
    format!("w/{member}").into()
}

/// A member's edition at a node, and whether it is on trial there.
pub type Editions = BTreeMap<Name, (u64, bool)>;

/// What one member has.
#[derive(Clone, Debug, Default)]
pub struct Own {
    pub settled: Option<Arc<MemberDocument>>,
    pub trial: Option<Arc<MemberDocument>>,
    pub withdrawn: Option<u64>,
}

impl Own {
    /// The trial that runs, if one does.
    pub fn running(&self) -> Option<&Arc<MemberDocument>> {
        self.trial.as_ref().filter(|trial| {
            let edition = Some(trial.version);
            edition > self.settled.as_ref().map(|settled| settled.version) && edition > self.withdrawn
        })
    }

    /// No edition above this was ever taken.
    pub fn highest(&self) -> u64 {
        let of = |doc: &Option<Arc<MemberDocument>>| doc.as_ref().map_or(0, |doc| doc.version);
        of(&self.settled).max(of(&self.trial)).max(self.withdrawn.unwrap_or(0))
    }
}

#[derive(Clone, Debug, Default)]
pub struct Docs {
    ranks: BTreeMap<Name, Revision>,
    pub register: Arc<MemberRegister>,
    pub own: BTreeMap<Name, Own>,
}

impl Docs {
    /// Takes a paper, if it is a later one; says whether it was. One that can't be read here is not asked for again.
    pub fn take(&mut self, name: &Name, sheet: &RegisterValue) -> bool {
        if self.rank(name) >= sheet.revision() {
            return false;
        }
        self.ranks.insert(name.clone(), sheet.revision());
        let refused = |why: String| log::error!("paper {name} r{} is refused here: {why}", sheet.version);
        let doc = || match MemberDocument::read(&sheet.bytes) {
            Ok(doc) => Some(Arc::new(doc)),
            // The core checks by the same reader; this is a build that differs.
            Err(why) => {
                refused(why[0].to_string());
                None
            }
        };
        match name.split_once('/') {
            None if **name == *REGISTER => match MemberRegister::read(&sheet.bytes) {
                Ok(register) => self.register = Arc::new(register),
                Err(why) => refused(why[0].to_string()),
            },
            Some(("m", member)) => {
                if let Some(doc) = doc() {
                    self.own.entry(member.into()).or_default().settled = Some(doc);
                }
            }
            Some(("t", member)) => {
                if let Some(doc) = doc() {
                    self.own.entry(member.into()).or_default().trial = Some(doc);
                }
            }
            Some(("w", member)) => {
                self.own.entry(member.into()).or_default().withdrawn = Some(sheet.version);
            }
            _ => {}
        }
        true
    }

    pub fn rank(&self, name: &str) -> Revision {
        self.ranks.get(name).copied().unwrap_or_default()
    }

    /// The same number, the same papers; 0 where there are none.
    pub fn number(&self) -> u64 {
        number(self.ranks.iter().map(|(name, rank)| (&**name, *rank)))
    }

    /// What is in force at the node with this door, and which editions that are.
    pub fn laid(&self, base: &Configuration, door: SocketAddr) -> (EffectiveConfiguration, Editions) {
        let (mut docs, mut editions) = (overlay::MemberDocuments::new(), Editions::new());
        for (member, own) in &self.own {
            let (settled, trial) = (own.settled.as_ref(), own.trial.as_ref());
            let Some(doc) = overlay::in_force(door, member, settled, trial, own.withdrawn) else { continue };
            let tries = settled.is_none_or(|settled| settled.version < doc.version);
            editions.insert(member.clone(), (doc.version, tries));
            docs.insert(member.clone(), doc.clone());
        }
        (overlay::overlay(base, &self.register, &docs), editions)
    }

    /// The settled documents of all members.
    pub fn settled(&self) -> overlay::MemberDocuments {
        let doc = |(member, own): (&Name, &Own)| Some((member.clone(), own.settled.clone()?));
        self.own.iter().filter_map(doc).collect()
    }
}

pub fn number<'n>(ranks: impl Iterator<Item = (&'n str, Revision)>) -> u64 {
    let of = |(name, Revision { version, digest }): (&str, Revision)| {
        let bytes = [&version.to_be_bytes(), &digest.to_be_bytes(), name.as_bytes()].concat();
        xxhash_rust::xxh3::xxh3_64(&bytes)
    };
    ranks.map(of).fold(0, u64::wrapping_add)
}

/// Those of these papers that another has not, as many as go in one answer, and at least one.
pub fn newer<'p>(
    papers: impl Iterator<Item = &'p NamedRegister>,
    have: &[(Name, Revision)],
    most: usize,
) -> Vec<NamedRegister> {
    let have: BTreeMap<&str, Revision> = have.iter().map(|(name, rank)| (&**name, *rank)).collect();
    let mut bytes = 0;
    papers
        .filter(|paper| have.get(&*paper.name).is_some_and(|rank| *rank < paper.value.revision()))
        .take_while(|paper| {
            let before = bytes;
            bytes += paper.value.bytes.len();
            before < most
        })
        .cloned()
        .collect()
}
