//! The members of a platform: the register with the permissions and limits of each member, and the documents with
//! members' own routes.
//!
//! [`MemberRegister::read`] and [`MemberDocument::read`] validate each document on its own. [`crate::overlay`] checks a
//! member's routes against the register.
//!
//! Invariants: a document is accepted as a whole or refused, and no scope of a member lies within another member's.

mod read;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::configuration::differences::{DisplayedField, pair_by_key, push_differences};
use crate::configuration::{Name, Route, field_names};

pub use read::{MAX_MEMBERS, MAX_ROUTES};

/// The limits on one member's routes and changes, which every node enforces.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MemberLimits {
    /// The maximum number of routes in effect at once, 1 to 10,000; by default 100.
    pub max_routes: usize,
    /// The maximum number of attempts of one request, 1 or above; by default 2.
    pub max_attempts: u32,
    /// The maximum deadline and latency target, in milliseconds; by default 2 s.
    pub max_deadline_ms: u64,
    /// The highest priority that a route may have, which is the lowest allowed number, as 0 is the highest priority; by
    /// default 1.
    pub highest_priority: u32,
    /// The share of each service's retry budget, 0 to 1; by default 0.2.
    pub retry_share: f64,
    /// The share of each upstream's concurrency limit, 0 to 1; by default 0.5.
    pub concurrency_share: f64,
    /// The maximum number of accepted changes per minute, 1 to 10,000; by default 30.
    pub changes_per_minute: u32,
    /// How long a canary runs before it is promoted or rolled back, in seconds, 1 to 86,400; by default 30.
    pub canary_duration_s: u32,
}

impl Default for MemberLimits {
    fn default() -> MemberLimits {
        MemberLimits {
            max_routes: 100,
            max_attempts: 2,
            max_deadline_ms: 2_000,
            highest_priority: 1,
            retry_share: 0.2,
            concurrency_share: 0.5,
            changes_per_minute: 30,
            canary_duration_s: 30,
        }
    }
}

/// A part of the platform's URLs in which a member may have routes.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RouteScope {
    /// The host in lowercase, without a port.
    pub host: Name,
    /// A path prefix that begins and ends with a slash.
    pub prefix: Name,
}

impl RouteScope {
    /// Whether a route at this host and prefix lies in the scope.
    pub fn contains(&self, host: &str, prefix: &str) -> bool {
        *self.host == *host && prefix.starts_with(&*self.prefix)
    }
}

/// A member of the platform with its permissions and limits.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// The name: 1 to 60 letters, digits, dots, dashes and underscores.
    pub name: Name,
    /// The SHA-256 digest of the key that authenticates the member's calls.
    pub key_sha256: [u8; 32],
    /// The scopes of its routes in document order. None of them lies within another member's.
    pub scopes: Vec<RouteScope>,
    /// The services that its routes may use.
    pub services: BTreeSet<Name>,
    /// The limits on its routes and changes.
    pub limits: MemberLimits,
}

impl Member {
    /// Whether a route at this host and prefix lies in one of the member's scopes.
    pub fn owns(&self, host: &str, prefix: &str) -> bool {
        self.scopes.iter().any(|scope| scope.contains(host, prefix))
    }
}

/// One validated version of the register of members.
#[derive(Clone, Debug, Default)]
pub struct MemberRegister {
    /// The version, which increases with each change.
    pub version: u64,
    members: BTreeMap<Name, Arc<Member>>,
}

impl MemberRegister {
    /// The member with this name.
    pub fn member(&self, name: &str) -> Option<&Arc<Member>> {
        self.members.get(name)
    }

    /// All members, ordered by name.
    pub fn members(&self) -> impl Iterator<Item = &Arc<Member>> {
        self.members.values()
    }
}

/// One version of one member's routes, valid on its own.
#[derive(Clone, Debug)]
pub struct MemberDocument {
    /// The version, higher than that of the member's previous document.
    pub version: u64,
    /// The share of nodes on which the document first runs as a canary, 0 to 1; `None` if it takes effect on all nodes
    /// at once.
    pub canary_share: Option<f64>,
    /// The routes in document order, of which no two have the same host and prefix. Their services are not checked for
    /// existence, and [`Route::share`] is not set.
    pub routes: Vec<Arc<Route>>,
}

/// Lists the differences between two registers for operators, one line per changed field.
pub fn differences(old: &MemberRegister, new: &MemberRegister) -> Vec<String> {
    let mut lines = Vec::new();
    let version = |register: &MemberRegister| vec![DisplayedField::version(register.version)];
    push_differences(&mut lines, "register", Some(version(old)), Some(version(new)));
    for (name, old, new) in pair_by_key(old.members.clone(), new.members.clone()) {
        let fields = |member: Arc<Member>| member_fields(&member);
        push_differences(&mut lines, &format!("member {name}"), old.map(fields), new.map(fields));
    }
    lines
}

fn member_fields(member: &Member) -> Vec<DisplayedField> {
    let list = |values: Vec<String>| format!("[{}]", values.join(", "));
    let scopes = member.scopes.iter().map(|scope| format!("{}{}", scope.host, scope.prefix)).collect();
    let services = member.services.iter().map(ToString::to_string).collect();
    // The first bytes of the digest are enough to distinguish keys.
    let key: String = member.key_sha256.iter().take(4).map(|byte| format!("{byte:02x}")).collect();
    let limits = &member.limits;
    vec![
        DisplayedField::new(field_names::KEY_DIGEST, format!("{key}...")),
        DisplayedField::new(field_names::SCOPES, list(scopes)),
        DisplayedField::new(field_names::ALLOWED_SERVICES, list(services)),
        DisplayedField::new(field_names::MAX_ROUTES, limits.max_routes),
        DisplayedField::new(field_names::MAX_ATTEMPTS, limits.max_attempts),
        DisplayedField::new(field_names::DEADLINE, limits.max_deadline_ms),
        DisplayedField::new(field_names::HIGHEST_PRIORITY, limits.highest_priority),
        DisplayedField::new(field_names::RETRY_SHARE, limits.retry_share),
        DisplayedField::new(field_names::CONCURRENCY_SHARE, limits.concurrency_share),
        DisplayedField::new(field_names::CHANGES_PER_MINUTE, limits.changes_per_minute),
        DisplayedField::new(field_names::CANARY_DURATION, limits.canary_duration_s),
    ]
}
