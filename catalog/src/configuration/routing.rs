//! A configuration that is valid as a whole, and the search for the route of a request.
//!
//! Invariants: a configuration does not change once it is read; no two of its routes have the same host and prefix.

use std::borrow::Cow;
use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

use super::model::{Limits, Name, Route, Service};

/// One version of the operators' configuration, checked as a whole.
#[derive(Clone, Debug)]
pub struct Configuration {
    /// The version, which goes up with each change.
    pub version: u64,
    routes: Vec<Arc<Route>>,
    services: BTreeMap<Name, Service>,
    limits: Limits,
    /// The routes by host, shared with configurations that are overlaid on this one and have the same routes for a host.
    hosts: HashMap<Name, Arc<HostRoutes>>,
}

impl Configuration {
    /// A configuration of routes of which no two have the same host and prefix.
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

    /// This configuration with further routes, of which no two have the same host and prefix. A route replaces the one of
    /// this configuration at its host and prefix; all others are added at the end. The routes of other hosts are shared.
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
            let mut host_routes =
                self.hosts.get(&host).map_or_else(HostRoutes::default, |known| HostRoutes::clone(known));
            host_routes.replace(&routes);
            configuration.hosts.insert(host, Arc::new(host_routes));
        }
        configuration
    }

    /// The route of this host with the longest prefix of the path, which is given without its query.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        self.hosts.get(&*normalized_host(host))?.find(path)
    }

    /// All routes in the document's order.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.routes.iter()
    }

    /// The service of this name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// All services in the order of their names.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.values()
    }

    /// The limits on what clients send.
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Whether a request for this host and path may run at this service.
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

/// The routes of one host, in the order in which they are searched.
#[derive(Clone, Debug, Default)]
struct HostRoutes {
    /// The routes whose prefix ends with a slash, in the order of their prefixes.
    directories: Vec<Arc<Route>>,
    /// All other routes, the longest prefix first. The operators' documents are said to have none.
    partial: Vec<Arc<Route>>,
    /// An upper bound on the length of the directories' prefixes.
    max_directory_bytes: usize,
}

impl HostRoutes {
    fn new(routes: &[Arc<Route>]) -> HostRoutes {
        let mut host_routes = HostRoutes::default();
        host_routes.replace(routes);
        host_routes
    }

    /// Adds routes in place of those with the same prefixes.
    fn replace(&mut self, routes: &[Arc<Route>]) {
        let prefixes: HashSet<&str> = routes.iter().map(|route| &*route.prefix).collect();
        // The bound stays as it is: a larger one only costs time.
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

    /// Looks up the path up to each of its slashes, the last one first.
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

/// A host as routes have it: in lowercase, without a port.
pub(super) fn normalized_host(host: &str) -> Cow<'_, str> {
    let name = match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => {
            // The last colon of an IPv6 address without brackets does not begin a port.
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
