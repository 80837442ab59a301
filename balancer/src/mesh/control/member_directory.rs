//! What a replica keeps of the platform's members besides the core: their documents, which nodes run which version, and
//! how often each member has made changes.
//!
//! Main types: [`MemberDirectory`] and [`ChangeLimiter`].
//!
//! Invariants: one member's changes never wait for another's; changes of one member run one at a time.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use ochreshed::Name;
use ochreshed_catalog::internal_rpc::AppliedEditions;
use ochreshed_consensus::messages::NamedRegister;
use tokio::time::Instant;

use crate::connection::lock;
use crate::mesh::shared::member_documents::{MemberDocumentStore, MemberEdition};

const CHANGE_WINDOW: Duration = Duration::from_secs(60);

/// Limits and serializes the changes of one member.
#[derive(Default)]
pub struct ChangeLimiter {
    /// Held while a change is checked and committed, so that each is checked against the outcome of the one before.
    pub serial: tokio::sync::Mutex<()>,
    recent: Mutex<VecDeque<Instant>>,
}

impl ChangeLimiter {
    /// Counts a change; the error is the time after which there is room for another one.
    pub fn admit(&self, max_per_minute: u32) -> Result<(), Duration> {
        let now = Instant::now();
        let mut recent = lock(&self.recent);
        while recent.front().is_some_and(|change| now.duration_since(*change) >= CHANGE_WINDOW) {
            recent.pop_front();
        }
        match recent.front() {
            Some(oldest) if recent.len() >= max_per_minute as usize => {
                Err(CHANGE_WINDOW - now.duration_since(*oldest))
            }
            _ => {
                recent.push_back(now);
                Ok(())
            }
        }
    }
}

/// The members as this replica knows them.
#[derive(Default)]
pub struct MemberDirectory {
    documents: Mutex<Arc<MemberDocumentStore>>,
    /// By inbound proxy, as the proxies reported.
    applied_editions: Mutex<HashMap<SocketAddr, AppliedEditions>>,
    /// When the member register was last read from the core for a key that is not known here. Locked during the read,
    /// so that any number of unknown keys causes one read at a time.
    pub register_refreshed: tokio::sync::Mutex<Option<Instant>>,
    change_limiters: Mutex<HashMap<Name, Arc<ChangeLimiter>>>,
}

impl MemberDirectory {
    /// The documents as of now.
    #[must_use]
    pub fn documents(&self) -> Arc<MemberDocumentStore> {
        lock(&self.documents).clone()
    }

    /// Applies those of the registers that are newer than what is held.
    pub fn apply_registers(&self, registers: &[NamedRegister]) {
        let mut documents = lock(&self.documents);
        let mut updated = (**documents).clone();
        for register in registers {
            updated.apply(&register.name, &register.value);
        }
        *documents = Arc::new(updated);
    }

    /// Stores which versions a node reports to be in force.
    pub fn store_applied_editions(&self, inbound_proxy: SocketAddr, applied: AppliedEditions) {
        lock(&self.applied_editions).insert(inbound_proxy, applied);
    }

    /// Forgets the nodes that are not known any more.
    pub fn retain_nodes(&self, is_known: impl Fn(SocketAddr) -> bool) {
        lock(&self.applied_editions).retain(|inbound_proxy, _| is_known(*inbound_proxy));
    }

    /// The nodes that reported a version of the member's document to be in force.
    #[must_use]
    pub fn editions_by_node(&self, member: &str) -> Vec<(SocketAddr, MemberEdition)> {
        let applied_editions = lock(&self.applied_editions);
        let edition_of = |(inbound_proxy, applied): (&SocketAddr, &AppliedEditions)| {
            let edition = applied.iter().find(|edition| *edition.member == *member)?;
            Some((*inbound_proxy, MemberEdition { version: edition.version, canary: edition.canary }))
        };
        applied_editions.iter().filter_map(edition_of).collect()
    }

    /// The limiter of one member's changes.
    pub fn change_limiter(&self, member: &Name) -> Arc<ChangeLimiter> {
        lock(&self.change_limiters).entry(member.clone()).or_default().clone()
    }
}

#[cfg(test)]
#[path = "tests/member_directory_tests.rs"]
mod member_directory_tests;
