//! The operators' timetable: routes, services and limits of one version, read by hand from JSON values and checked
//! whole (`read`), with what is refused (`refusal`) and what a change tells (`changes`). It owns which route a request
//! takes. It must never take in a part of a document, nor change one once read.

pub(crate) mod changes;
pub(crate) mod read;
mod refusal;

use std::borrow::Cow;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::fmt;
use std::sync::Arc;

pub use changes::{by_place, differences};
pub use refusal::{Refusal, RefusalReason};

/// One text, kept once however many entries name it.
pub type Name = Arc<str>;

/// What may be repeated on a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatPolicy {
    Resendable,
    OnceOnly,
    Registered,
    OutboundPost,
}

impl RepeatPolicy {
    /// Whether a request may run more than once.
    pub fn repeatable(self) -> bool {
        matches!(self, RepeatPolicy::Resendable | RepeatPolicy::OutboundPost)
    }

    fn from_word(word: &str) -> Option<RepeatPolicy> {
        [
            RepeatPolicy::Resendable,
            RepeatPolicy::OnceOnly,
            RepeatPolicy::Registered,
            RepeatPolicy::OutboundPost,
        ]
        .into_iter()
        .find(|kind| kind.word() == word)
    }

    fn word(self) -> &'static str {
        match self {
            RepeatPolicy::Resendable => "resendable",
            RepeatPolicy::OnceOnly => "once_only",
            RepeatPolicy::Registered => "registered",
            RepeatPolicy::OutboundPost => "outbound_post",
        }
    }
}

impl fmt::Display for RepeatPolicy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.word())
    }
}

#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    pub name: Name,
    /// Lowercase, without a port.
    pub host: Name,
    pub prefix: Name,
    pub kind: RepeatPolicy,
    pub deadline_ms: u64,
    pub target_ms: u64,
    /// 0 is the highest.
    pub rank: u32,
    /// The most upstreams one try of a client may be sent to.
    pub tries: u32,
    /// Each service once, with its share; their sum is above 0.
    pub lines: Vec<(Name, f64)>,
    /// The header that names a person's session, in lower case.
    pub session: Option<Name>,
    /// Whose route it is and what it may take of what all share; none for the platform's own.
    pub share: Option<Arc<Share>>,
}

/// What the reqs on a member's routes may take at most.
#[derive(Clone, Debug, PartialEq)]
pub struct Share {
    pub member: Name,
    /// Of a service's allowance of repeats, from 0 to 1.
    pub retry: f64,
    /// Of an upstream's slots, from 0 to 1; one slot is left to it at least.
    pub slots: f64,
}

impl Route {
    fn place(&self) -> (Name, Name) {
        (self.host.clone(), self.prefix.clone())
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    pub name: Name,
    /// The path that tells whether an upstream is well.
    pub health: String,
    /// The most connections one upstream takes from all callers together.
    pub berth_cap: u32,
    pub dedupes: bool,
}

/// What a client may send, and how long it may take or stay idle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    pub label_bytes: u64,
    pub parcel_bytes: u64,
    pub label_ms: u64,
    pub idle_ms: u64,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits { label_bytes: 16_384, parcel_bytes: 64 << 20, label_ms: 3_000, idle_ms: 15_000 }
    }
}

/// One version, whole and checked.
#[derive(Clone, Debug)]
pub struct Configuration {
    pub version: u64,
    routes: Vec<Arc<Route>>,
    services: BTreeMap<Name, Service>,
    limits: Limits,
    /// Shared with the versions laid over this one, where these have no other routes.
    hosts: HashMap<Name, Arc<Host>>,
}

impl Configuration {
    /// Reads a whole configuration, or tells what is wrong with it, in the document's order.
    pub fn read(bytes: &[u8]) -> Result<Configuration, Vec<Refusal>> {
        read::whole(bytes, read::Reader::timetable)
    }

    fn new(
        version: u64,
        mut routes: Vec<Arc<Route>>,
        services: BTreeMap<Name, Service>,
        limits: Limits,
    ) -> Configuration {
        let mut by_host: HashMap<Name, Host> = HashMap::new();
        for route in &routes {
            by_host.entry(route.host.clone()).or_default().add(route);
        }
        let ordered = |(name, mut host): (Name, Host)| {
            host.order();
            (name, Arc::new(host))
        };
        let hosts = by_host.into_iter().map(ordered).collect();
        routes.shrink_to_fit();
        Configuration { version, routes, services, limits, hosts }
    }

    /// This version with these routes, no two of one place, over its own: one at the host and prefix of its own stands
    /// in its stead, all others are added behind. Hosts that none is of stay as they are.
    pub(crate) fn overlaid(&self, over: Vec<Arc<Route>>) -> Configuration {
        let mut laid = self.clone();
        let mut by_host: HashMap<Name, Vec<Arc<Route>>> = HashMap::new();
        for route in &over {
            by_host.entry(route.host.clone()).or_default().push(route.clone());
        }
        let mut added: HashMap<(Name, Name), Arc<Route>> =
            over.iter().map(|route| (route.place(), route.clone())).collect();
        for route in laid.routes.iter_mut().filter(|route| by_host.contains_key(&route.host)) {
            if let Some(instead) = added.remove(&route.place()) {
                *route = instead;
            }
        }
        laid.routes.extend(over.into_iter().filter(|route| added.contains_key(&route.place())));
        for (name, over) in by_host {
            let mut host = self.hosts.get(&name).map_or_else(Host::default, |host| Host::clone(host));
            host.remove(&over.iter().map(|route| &*route.prefix).collect());
            over.iter().for_each(|route| host.add(route));
            host.order();
            laid.hosts.insert(name, Arc::new(host));
        }
        laid
    }

    /// The route with the longest prefix of this host that begins the path. The path comes without its query.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        self.hosts.get(&*bare(host))?.find(path)
    }

    /// In the document's order.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.routes.iter()
    }

    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// In the order of their names.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.values()
    }

    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Whether this version lets a request for this place run at this service.
    pub fn allows(&self, host: &str, path: &str, line: &str) -> bool {
        self.route(host, path)
            .is_some_and(|route| route.lines.iter().any(|(name, share)| &**name == line && *share > 0.0))
    }
}

/// The routes of one host.
#[derive(Clone, Debug, Default)]
struct Host {
    /// Those whose prefix ends with a slash, in the order of their prefixes.
    slashed: Vec<Arc<Route>>,
    /// All others, the longest prefix first. The page says there are none.
    plain: Vec<Arc<Route>>,
    /// The longest prefix among the slashed.
    longest: usize,
}

impl Host {
    fn add(&mut self, route: &Arc<Route>) {
        if route.prefix.ends_with('/') {
            self.longest = self.longest.max(route.prefix.len());
            self.slashed.push(route.clone());
        } else {
            self.plain.push(route.clone());
        }
    }

    /// The longest prefix stays counted: it only bounds a search.
    fn remove(&mut self, prefixes: &HashSet<&str>) {
        self.slashed.retain(|route| !prefixes.contains(&*route.prefix));
        self.plain.retain(|route| !prefixes.contains(&*route.prefix));
    }

    fn order(&mut self) {
        self.slashed.sort_by(|a, b| a.prefix.cmp(&b.prefix));
        self.slashed.shrink_to_fit();
        self.plain.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        self.plain.shrink_to_fit();
    }

    fn find(&self, path: &str) -> Option<&Arc<Route>> {
        let slashed = self.find_slashed(path.as_bytes());
        let least = slashed.map_or(0, |route| route.prefix.len());
        let longer = |route: &&Arc<Route>| route.prefix.len() > least && path.starts_with(&*route.prefix);
        self.plain.iter().find(longer).or(slashed)
    }

    /// Tries what the path has before each of its slashes, from the longest.
    fn find_slashed(&self, path: &[u8]) -> Option<&Arc<Route>> {
        let mut left = &path[..path.len().min(self.longest)];
        while let Some(slash) = left.iter().rposition(|byte| *byte == b'/') {
            let prefix = &left[..=slash];
            if let Ok(at) = self.slashed.binary_search_by(|route| route.prefix.as_bytes().cmp(prefix)) {
                return self.slashed.get(at);
            }
            left = &left[..slash];
        }
        None
    }
}

/// A host as routes are kept by it: lowercase, without a port.
fn bare(host: &str) -> Cow<'_, str> {
    let name = match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => {
            // The colons of a bare address of IPv6 are no port's.
            if name.contains(':') && !name.ends_with(']') { host } else { name }
        }
        _ => host,
    };
    if name.bytes().any(|byte| byte.is_ascii_uppercase()) {
        Cow::Owned(name.to_ascii_lowercase())
    } else {
        Cow::Borrowed(name)
    }
}
