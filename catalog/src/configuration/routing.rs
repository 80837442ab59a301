//! A validated configuration and the lookup of the route for a request.
//!
//! Invariants: a configuration is immutable once it is read; no two of its routes have the same host and prefix.

use std::borrow::Cow;
use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

use super::model::{Limits, Name, Route, Service};

/// One validated version of the operators' configuration.
#[derive(Clone, Debug)]
pub struct Configuration {
    /// The version, which increases with each change.
    pub version: u64,
    routes: Vec<Arc<Route>>,
    services: BTreeMap<Name, Service>,
    limits: Limits,
    /// The routes by host. Overlaid configurations share the entries of hosts whose routes are unchanged.
    hosts: HashMap<Name, Arc<HostRoutes>>,
}

impl Configuration {
    /// Creates a configuration. No two routes may have the same host and prefix.
    pub(super) fn new(
        version: u64,
        mut routes: Vec<Arc<Route>>,
        services: BTreeMap<Name, Service>,
        limits: Limits,
    ) -> Configuration {
        routes.shrink_to_fit();
        let hosts = routes_by_host(&routes)
            .into_iter()
            .map(|(host, routes)| (host, Arc::new(HostRoutes::new(&routes))))
            .collect();
        Configuration { version, routes, services, limits, hosts }
    }

    /// Returns this configuration with additional routes, of which no two may have the same host and prefix. A route
    /// replaces the existing one with its host and prefix; all others are appended. The routes of other hosts are
    /// shared.
    #[must_use]
    pub(crate) fn overlaid(&self, overlay: Vec<Arc<Route>>) -> Configuration {
        let mut configuration = self.clone();
        let overlay_by_host = routes_by_host(&overlay);
        let mut added: HashMap<(Name, Name), Arc<Route>> =
            overlay.iter().map(|route| (route.location(), route.clone())).collect();
        let affected =
            configuration.routes.iter_mut().filter(|route| overlay_by_host.contains_key(&route.host));
        for route in affected {
            if let Some(replacement) = added.remove(&route.location()) {
                *route = replacement;
            }
        }
        configuration
            .routes
            .extend(overlay.into_iter().filter(|route| added.contains_key(&route.location())));
        for (host, routes) in overlay_by_host {
            let mut host_routes = self
                .hosts
                .get(&host)
                .map_or_else(HostRoutes::default, |existing| HostRoutes::clone(existing));
            host_routes.replace(&routes);
            configuration.hosts.insert(host, Arc::new(host_routes));
        }
        configuration
    }

    /// Finds the route of this host with the longest matching prefix of the path. The path must not include the query.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        self.hosts.get(&*normalized_host(host))?.find(path)
    }

    /// All routes in document order.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.routes.iter()
    }

    /// The service with this name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// All services, ordered by name.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.values()
    }

    /// The limits on client requests.
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Whether a request for this host and path may be sent to this service.
    pub fn allows_service(&self, host: &str, path: &str, service: &str) -> bool {
        self.route(host, path).is_some_and(|route| {
            route.services.iter().any(|weighted| &*weighted.name == service && weighted.weight > 0.0)
        })
    }
}

fn routes_by_host(routes: &[Arc<Route>]) -> HashMap<Name, Vec<Arc<Route>>> {
    let mut by_host: HashMap<Name, Vec<Arc<Route>>> = HashMap::new();
    for route in routes {
        by_host.entry(route.host.clone()).or_default().push(route.clone());
    }
    by_host
}

/// The routes of one host, in lookup order.
#[derive(Clone, Debug, Default)]
struct HostRoutes {
    /// The routes whose prefix ends with a slash, ordered by prefix.
    directories: Vec<Arc<Route>>,
    /// All other routes, longest prefix first. Operators' documents are not expected to contain any.
    partial: Vec<Arc<Route>>,
    /// An upper bound on the prefix length of `directories`.
    max_directory_bytes: usize,
}

impl HostRoutes {
    fn new(routes: &[Arc<Route>]) -> HostRoutes {
        let mut host_routes = HostRoutes::default();
        host_routes.replace(routes);
        host_routes
    }

    /// Adds routes and replaces those with the same prefixes.
    fn replace(&mut self, routes: &[Arc<Route>]) {
        let prefixes: HashSet<&str> = routes.iter().map(|route| &*route.prefix).collect();
        // The bound is not lowered: a larger one only costs time.
        self.directories.retain(|route| !prefixes.contains(&*route.prefix));
        self.partial.retain(|route| !prefixes.contains(&*route.prefix));
        for route in routes {
            self.add(route);
        }
        self.directories.sort_by(|a, b| a.prefix.cmp(&b.prefix));
        self.directories.shrink_to_fit();
        self.partial.sort_by_key(|route| Reverse(route.prefix.len()));
        self.partial.shrink_to_fit();
    }

    fn add(&mut self, route: &Arc<Route>) {
        if route.prefix.ends_with('/') {
            self.max_directory_bytes = self.max_directory_bytes.max(route.prefix.len());
            self.directories.push(route.clone());
        } else {
            self.partial.push(route.clone());
        }
    }

    fn find(&self, path: &str) -> Option<&Arc<Route>> {
        let directory = self.find_directory(path.as_bytes());
        let directory_bytes = directory.map_or(0, |route| route.prefix.len());
        let is_longer =
            |route: &&Arc<Route>| route.prefix.len() > directory_bytes && path.starts_with(&*route.prefix);
        self.partial.iter().find(is_longer).or(directory)
    }

    /// Looks up the part of the path up to each slash, starting with the last.
    fn find_directory(&self, path: &[u8]) -> Option<&Arc<Route>> {
        let mut rest = &path[..path.len().min(self.max_directory_bytes)];
        while let Some(slash) = rest.iter().rposition(|byte| *byte == b'/') {
            let prefix = &rest[..=slash];
            let found = self.directories.binary_search_by(|route| route.prefix.as_bytes().cmp(prefix));
            if let Ok(index) = found {
                return self.directories.get(index);
            }
            rest = &rest[..slash];
        }
        None
    }
}

/// Normalizes a host: lowercase, without a port.
pub(super) fn normalized_host(host: &str) -> Cow<'_, str> {
    let name = match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => {
            // In an IPv6 address without brackets, the last colon is not followed by a port.
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
