//! A replica's state of the platform's members outside the core: their documents, the versions in force at nodes, and
//! the rate limits of members' changes.
//!
//! Main types: [`MemberDirectory`] and [`ChangeLimiter`].
//!
//! Invariants: changes of different members never wait for each other; changes of one member run one at a time.

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

/// Rate-limits and serializes the changes of one member.
#[derive(Default)]
pub struct ChangeLimiter {
    /// Locked while a change is validated and committed, so that each is validated against the outcome of the previous
    /// one.
    pub serial: tokio::sync::Mutex<()>,
    recent: Mutex<VecDeque<Instant>>,
}

impl ChangeLimiter {
    /// Counts a change. The error is the time until the next change is allowed.
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

/// The members as known to this replica.
#[derive(Default)]
pub struct MemberDirectory {
    documents: Mutex<Arc<MemberDocumentStore>>,
    /// Versions in force by inbound proxy, as reported by the proxies.
    applied_editions: Mutex<HashMap<SocketAddr, AppliedEditions>>,
    /// When the member register was last read from the core because of an unknown key. Locked during the read, so that
    /// any number of unknown keys causes only one read at a time.
    pub register_refreshed_at: tokio::sync::Mutex<Option<Instant>>,
    change_limiters: Mutex<HashMap<Name, Arc<ChangeLimiter>>>,
}

impl MemberDirectory {
    /// Returns the current documents.
    #[must_use]
    pub fn documents(&self) -> Arc<MemberDocumentStore> {
        lock(&self.documents).clone()
    }

    /// Applies the registers that are newer than the stored ones.
    pub fn apply_registers(&self, registers: &[NamedRegister]) {
        let mut documents = lock(&self.documents);
        let mut updated = (**documents).clone();
        for register in registers {
            updated.apply(&register.name, &register.value);
        }
        *documents = Arc::new(updated);
    }

    /// Stores the versions that a node reports to be in force.
    pub fn store_applied_editions(&self, inbound_proxy: SocketAddr, applied: AppliedEditions) {
        lock(&self.applied_editions).insert(inbound_proxy, applied);
    }

    /// Removes nodes that are no longer known.
    pub fn retain_nodes(&self, is_known: impl Fn(SocketAddr) -> bool) {
        lock(&self.applied_editions).retain(|inbound_proxy, _| is_known(*inbound_proxy));
    }

    /// Returns the nodes that reported a version of the member's document, with that version.
    #[must_use]
    pub fn editions_by_node(&self, member: &str) -> Vec<(SocketAddr, MemberEdition)> {
        let applied_editions = lock(&self.applied_editions);
        let edition_of = |(inbound_proxy, applied): (&SocketAddr, &AppliedEditions)| {
            let edition = applied.iter().find(|edition| *edition.member == *member)?;
            Some((*inbound_proxy, MemberEdition { version: edition.version, canary: edition.canary }))
        };
        applied_editions.iter().filter_map(edition_of).collect()
    }

    /// Returns the limiter of one member's changes.
    pub fn change_limiter(&self, member: &Name) -> Arc<ChangeLimiter> {
        lock(&self.change_limiters).entry(member.clone()).or_default().clone()
    }
}

#[cfg(test)]
#[path = "tests/member_directory_tests.rs"]
mod member_directory_tests;
