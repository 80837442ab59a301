//! The documents of the platform's members as one process holds them: the member register, and for each member its
//! settled document, its canary and the highest version that was withdrawn.
//!
//! Main types: [`DocumentName`], the codec of the registers' names; [`MemberState`], what one member has; and
//! [`MemberDocumentStore`], all of them, from which a node's configuration is computed.
//!
//! Invariants: a document is never replaced by an older one, and never applied in part.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use ochreshed::Name;
use ochreshed_catalog::configuration::Configuration;
use ochreshed_catalog::members::{MemberDocument, MemberRegister};
use ochreshed_catalog::overlay::{self, EffectiveConfiguration};
use ochreshed_consensus::messages::{NamedRegister, RegisterName, RegisterValue, Revision};

const MEMBER_REGISTER: &str = "members";
const SETTLED_PREFIX: &str = "m/";
const CANARY_PREFIX: &str = "t/";
const WITHDRAWN_PREFIX: &str = "w/";

/// The register of the core that holds a document. Its text form is kept on disk and sent between processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DocumentName<'m> {
    /// The platform's register of members.
    MemberRegister,
    /// A member's document that is in force at all nodes.
    Settled(&'m str),
    /// A member's document that is in force at a share of the nodes.
    Canary(&'m str),
    /// The highest version of a member's canaries that was withdrawn.
    Withdrawn(&'m str),
}

impl<'m> DocumentName<'m> {
    /// The document that a register holds; `None` for a register of another kind.
    #[must_use]
    pub fn parse(register: &'m str) -> Option<DocumentName<'m>> {
        if register == MEMBER_REGISTER {
            return Some(DocumentName::MemberRegister);
        }
        let settled = register.strip_prefix(SETTLED_PREFIX).map(DocumentName::Settled);
        let canary = || register.strip_prefix(CANARY_PREFIX).map(DocumentName::Canary);
        let withdrawn = || register.strip_prefix(WITHDRAWN_PREFIX).map(DocumentName::Withdrawn);
        settled.or_else(canary).or_else(withdrawn)
    }

    /// The name of the register that holds the document.
    #[must_use]
    pub fn register(self) -> RegisterName {
        match self {
            DocumentName::MemberRegister => MEMBER_REGISTER.into(),
            DocumentName::Settled(member) => format!("{SETTLED_PREFIX}{member}").into(),
            DocumentName::Canary(member) => format!("{CANARY_PREFIX}{member}").into(),
            DocumentName::Withdrawn(member) => format!("{WITHDRAWN_PREFIX}{member}").into(),
        }
    }
}

/// The version of a member's document in force at a node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct MemberEdition {
    pub version: u64,
    /// The document is a canary.
    pub canary: bool,
}

/// The documents of one member.
#[derive(Clone, Debug, Default)]
pub struct MemberState {
    pub settled: Option<Arc<MemberDocument>>,
    pub canary: Option<Arc<MemberDocument>>,
    /// The highest version that was withdrawn.
    pub withdrawn_version: Option<u64>,
}

impl MemberState {
    /// The canary, unless it was settled, withdrawn or superseded.
    #[must_use]
    pub fn running_canary(&self) -> Option<&Arc<MemberDocument>> {
        self.canary.as_ref().filter(|canary| {
            let version = Some(canary.version);
            let settled_version = self.settled.as_ref().map(|settled| settled.version);
            version > settled_version && version > self.withdrawn_version
        })
    }

    /// The highest version that the member ever used; 0 if it has none.
    #[must_use]
    pub fn highest_version(&self) -> u64 {
        let version = |document: &Option<Arc<MemberDocument>>| document.as_ref().map_or(0, |doc| doc.version);
        let withdrawn_version = self.withdrawn_version.unwrap_or(0);
        version(&self.settled).max(version(&self.canary)).max(withdrawn_version)
    }
}

/// What is in force at one node.
#[derive(Clone, Debug)]
pub struct NodeConfiguration {
    pub effective: EffectiveConfiguration,
    pub editions: BTreeMap<Name, MemberEdition>,
}

/// The documents of all members.
#[derive(Clone, Debug, Default)]
pub struct MemberDocumentStore {
    revisions: BTreeMap<RegisterName, Revision>,
    pub member_register: Arc<MemberRegister>,
    pub members: BTreeMap<Name, MemberState>,
}

impl MemberDocumentStore {
    /// Applies a document if it is newer than the present one, and returns whether it is. A document that can't be read
    /// here counts as applied, so that it is not fetched again and again.
    pub fn apply(&mut self, register: &RegisterName, value: &RegisterValue) -> bool {
        if self.revision(register) >= value.revision() {
            return false;
        }
        self.revisions.insert(register.clone(), value.revision());
        match DocumentName::parse(register) {
            Some(DocumentName::MemberRegister) => match MemberRegister::read(&value.bytes) {
                Ok(member_register) => self.member_register = Arc::new(member_register),
                Err(errors) => log_unreadable(register, value.version, &errors[0]),
            },
            Some(DocumentName::Settled(member)) => {
                if let Some(document) = read_document(register, value) {
                    self.member_mut(member).settled = Some(document);
                }
            }
            Some(DocumentName::Canary(member)) => {
                if let Some(document) = read_document(register, value) {
                    self.member_mut(member).canary = Some(document);
                }
            }
            Some(DocumentName::Withdrawn(member)) => {
                self.member_mut(member).withdrawn_version = Some(value.version);
            }
            None => {}
        }
        true
    }

    fn member_mut(&mut self, member: &str) -> &mut MemberState {
        self.members.entry(member.into()).or_default()
    }

    /// The revision of the document that was applied last from this register; `Revision::NONE` if there was none.
    #[must_use]
    pub fn revision(&self, register: &str) -> Revision {
        self.revisions.get(register).copied().unwrap_or_default()
    }

    /// A digest of which documents are held; see [`digest_of_revisions`].
    #[must_use]
    pub fn digest(&self) -> u64 {
        digest_of_revisions(self.revisions.iter().map(|(register, revision)| (&**register, *revision)))
    }

    /// What is in force at the node of this inbound proxy: the platform's configuration overlaid by each member's settled
    /// document, or by its canary if that reaches the node.
    #[must_use]
    pub fn configuration_at(&self, base: &Configuration, inbound_proxy: SocketAddr) -> NodeConfiguration {
        let mut documents = overlay::MemberDocuments::new();
        let mut editions = BTreeMap::new();
        for (member, state) in &self.members {
            let (settled, canary) = (state.settled.as_ref(), state.canary.as_ref());
            let Some(document) =
                overlay::effective_document(inbound_proxy, member, settled, canary, state.withdrawn_version)
            else {
                continue;
            };
            let canary = settled.is_none_or(|settled| settled.version < document.version);
            editions.insert(member.clone(), MemberEdition { version: document.version, canary });
            documents.insert(member.clone(), document.clone());
        }
        let effective = overlay::apply_overlay(base, &self.member_register, &documents);
        NodeConfiguration { effective, editions }
    }

    /// The settled documents of all members that have one.
    #[must_use]
    pub fn settled_documents(&self) -> overlay::MemberDocuments {
        let settled = |(member, state): (&Name, &MemberState)| Some((member.clone(), state.settled.clone()?));
        self.members.iter().filter_map(settled).collect()
    }
}

/// Reads a member's document. The control plane validates documents with the same parser before it commits them, so one
/// that can't be read here was committed by another version of the program.
fn read_document(register: &str, value: &RegisterValue) -> Option<Arc<MemberDocument>> {
    match MemberDocument::read(&value.bytes) {
        Ok(document) => Some(Arc::new(document)),
        Err(errors) => {
            log_unreadable(register, value.version, &errors[0]);
            None
        }
    }
}

fn log_unreadable(register: &str, version: u64, error: &impl std::fmt::Display) {
    log::error!(
        "document not applied, this version can't read it: register={register} version={version} error={error}"
    );
}

/// A digest over the names and revisions of registers, whatever their order; 0 if there are none. Equal digests mean equal
/// documents.
pub fn digest_of_revisions<'n>(revisions: impl Iterator<Item = (&'n str, Revision)>) -> u64 {
    let digest = |(register, Revision { version, digest }): (&str, Revision)| {
        let bytes = [&version.to_be_bytes(), &digest.to_be_bytes(), register.as_bytes()].concat();
        xxhash_rust::xxh3::xxh3_64(&bytes)
    };
    revisions.map(digest).fold(0, u64::wrapping_add)
}

/// Those of the registers that the reader asks for and has only an older revision of. They are cut off once they exceed
/// `max_bytes`; the first one is sent whatever its length, so that a reader always gets on.
pub fn newer_registers<'r>(
    registers: impl Iterator<Item = &'r NamedRegister>,
    known: &[(RegisterName, Revision)],
    max_bytes: usize,
) -> Vec<NamedRegister> {
    let known: BTreeMap<&str, Revision> =
        known.iter().map(|(register, revision)| (&**register, *revision)).collect();
    let is_newer = |register: &&NamedRegister| {
        known.get(&*register.name).is_some_and(|revision| *revision < register.value.revision())
    };
    let mut bytes = 0;
    registers
        .filter(is_newer)
        .take_while(|register| {
            let bytes_before = bytes;
            bytes += register.value.bytes.len();
            bytes_before < max_bytes
        })
        .cloned()
        .collect()
}

#[cfg(test)]
#[path = "tests/member_documents_tests.rs"]
mod member_documents_tests;
