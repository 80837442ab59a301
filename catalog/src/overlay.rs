//! Applies members' routes as an overlay on the platform's configuration.
//!
//! [`apply_overlay`] produces the [`EffectiveConfiguration`] of a node. [`check_document`] and [`plan_change`] evaluate
//! a change before it is accepted, and [`effective_document`] selects the version of a member's document that a node
//! applies while a canary runs.
//!
//! Invariants: a member's document never changes another member's routes, nor the platform's routes outside the
//! member's scopes; all nodes with the same documents derive the same configuration.

use std::collections::BTreeMap;
use std::fmt;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

use thiserror::Error;
use xxhash_rust::xxh3::xxh3_64;

use crate::configuration::refusal::escaped_name;
use crate::configuration::{
    Configuration, MemberShares, Name, Route, WeightedService, differences_by_location, field_names,
};
use crate::members::{Member, MemberDocument, MemberRegister};

/// The documents in effect, by member name.
pub type MemberDocuments = BTreeMap<Name, Arc<MemberDocument>>;

/// The maximum number of listed violations of one member; further ones are only counted.
const MAX_VIOLATIONS: usize = 100;

/// The configuration in effect, including members' routes.
#[derive(Clone, Debug)]
pub struct EffectiveConfiguration {
    /// The platform's configuration with the members' routes overlaid.
    pub configuration: Configuration,
    /// The violations in the members' documents, ordered by member name and then in document order.
    pub violations: Vec<MemberViolation>,
}

/// A part of a member's document that is applied with restrictions, or not at all.
///
/// There is none for a document that [`check_document`] accepted under the same configuration and register.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberViolation {
    /// The member's name.
    pub member: Name,
    /// The violation.
    pub violation: OverlayViolation,
}

impl fmt::Display for MemberViolation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.member, self.violation)
    }
}

/// A part of a document that exceeds the member's permissions or limits.
#[derive(Clone, Debug, PartialEq)]
pub struct OverlayViolation {
    /// The route; `None` if the violation concerns the document as a whole.
    pub route: Option<RoutePosition>,
    /// The field of the route by its name in the documents; empty for the route as a whole.
    pub field: &'static str,
    /// The exceeded limit.
    pub exceeded: ExceededLimit,
}

/// A route of a member's document.
#[derive(Clone, Debug, PartialEq)]
pub struct RoutePosition {
    /// The index in the document.
    pub index: usize,
    /// The route's name.
    pub name: Name,
}

impl fmt::Display for OverlayViolation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.route {
            None => f.write_str(self.field)?,
            Some(RoutePosition { index, name }) => {
                write!(f, "routes[{index}] ({})", escaped_name(name))?;
                let dot = if self.field.is_empty() { "" } else { "." };
                write!(f, "{dot}{}", self.field)?;
            }
        }
        write!(f, ": {}", self.exceeded)
    }
}

/// The limit of a member that a document exceeds, and the consequence.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum ExceededLimit {
    /// The register has no such member; none of its routes is applied.
    #[error("is of no member that the register names")]
    UnknownMember,
    /// The route, with this host and prefix, is outside the member's scopes and is not applied.
    #[error("{0:?} is in no place of this member")]
    OutsideScopes(String),
    /// The member's maximum number of routes is reached; this one is not applied.
    #[error("comes after this member's limit of {max} routes")]
    TooManyRoutes {
        /// The member's limit.
        max: usize,
    },
    /// The value is above the maximum, which is applied instead.
    #[error("{value} is above this member's limit of {max}")]
    AboveMaximum {
        /// The value in the document.
        value: u64,
        /// The member's limit.
        max: u64,
    },
    /// The priority is higher than the member's highest, which is applied instead.
    #[error("{priority} is a higher rank than this member's, {highest} (0 is the highest)")]
    PriorityTooHigh {
        /// The priority in the document.
        priority: u32,
        /// The member's highest priority, which is a higher number.
        highest: u32,
    },
    /// The member may not use the service, which gets no requests.
    #[error("{:?} is not among this member's services", &**.0)]
    ServiceNotAllowed(Name),
    /// The platform has no such service.
    #[error("{:?} is not among the platform's services", &**.0)]
    UnknownService(Name),
    /// No service with a weight above 0 is left; the route is not applied.
    #[error("no service is left with a share")]
    NoService,
    /// The number of violations that are not listed.
    #[error("has {0} more like these")]
    MoreViolations(usize),
}

/// Overlays the members' documents on the platform's configuration, restricted by the register.
///
/// A member's route replaces the platform's route with the same host and prefix. Values that exceed the member's limits
/// are lowered to the limit or omitted, and reported as violations. The result depends only on the arguments.
pub fn apply_overlay(
    base: &Configuration,
    register: &MemberRegister,
    documents: &MemberDocuments,
) -> EffectiveConfiguration {
    let mut routes = Vec::new();
    let mut violations = Vec::new();
    for (name, document) in documents {
        let restricted = restrict_document(base, register, name, document);
        routes.extend(restricted.routes);
        let of_member = |violation| MemberViolation { member: name.clone(), violation };
        violations.extend(restricted.violations.into_list().into_iter().map(of_member));
    }
    EffectiveConfiguration { configuration: base.overlaid(routes), violations }
}

/// Returns all violations of a member's document under this configuration and register. A change is accepted only if
/// there are none.
pub fn check_document(
    base: &Configuration,
    register: &MemberRegister,
    member: &str,
    document: &MemberDocument,
) -> Vec<OverlayViolation> {
    restrict_document(base, register, member, document).violations.into_list()
}

/// The effect that a change of a member's document would have if it were applied on all nodes now.
#[derive(Clone, Debug)]
pub struct OverlayPlan {
    /// The changes as text for operators, one line per changed field of a route.
    pub changes: Vec<String>,
    /// The violations for which the change would be refused; empty if it would be accepted.
    pub new_violations: Vec<OverlayViolation>,
    /// The violations of all members before the change.
    pub current_violations: Vec<MemberViolation>,
}

/// Compares the effective configurations before and after a change of one member's document.
pub fn plan_change(
    base: &Configuration,
    register: &MemberRegister,
    documents: &MemberDocuments,
    member: &str,
    document: &Arc<MemberDocument>,
) -> OverlayPlan {
    let before = apply_overlay(base, register, documents);
    let mut changed = documents.clone();
    changed.insert(member.into(), document.clone());
    let after = apply_overlay(base, register, &changed);
    OverlayPlan {
        changes: differences_by_location(before.configuration.routes(), after.configuration.routes()),
        new_violations: check_document(base, register, member, document),
        current_violations: before.violations,
    }
}

/// Whether the node with this inbound proxy runs a version of a member's document as a canary.
///
/// The nodes of a smaller share are a subset of those of a larger one; a share of 1 includes all nodes, 0 none. The
/// result is the same on every node and in every version of this program.
pub fn is_in_canary(inbound_proxy: SocketAddr, member: &str, version: u64, share: f64) -> bool {
    let ip = match inbound_proxy.ip() {
        IpAddr::V4(ip) => ip.to_ipv6_mapped(),
        IpAddr::V6(ip) => ip,
    };
    let mut bytes = Vec::with_capacity(26 + member.len());
    bytes.extend(ip.octets());
    bytes.extend(inbound_proxy.port().to_be_bytes());
    bytes.extend(version.to_be_bytes());
    bytes.extend(member.as_bytes());
    // Only as many bits as the mantissa of a float holds are used, so that the fraction is below 1.
    const MANTISSA_BITS: u32 = f64::MANTISSA_DIGITS;
    let hash = xxh3_64(&bytes) >> (u64::BITS - MANTISSA_BITS);
    let fraction = hash as f64 / (1u64 << MANTISSA_BITS) as f64;
    fraction < share
}

/// Selects the version of a member's document that the node with this inbound proxy applies.
///
/// All nodes apply the `promoted` version, except the nodes of a `canary` that is newer and was not rolled back.
/// `rolled_back` is the highest version that was rolled back.
pub fn effective_document<'d>(
    inbound_proxy: SocketAddr,
    member: &str,
    promoted: Option<&'d Arc<MemberDocument>>,
    canary: Option<&'d Arc<MemberDocument>>,
    rolled_back: Option<u64>,
) -> Option<&'d Arc<MemberDocument>> {
    let runs_here = |canary: &&Arc<MemberDocument>| {
        let version = Some(canary.version);
        let is_newer = version > promoted.map(|promoted| promoted.version) && version > rolled_back;
        let share = canary.canary_share.unwrap_or(1.0);
        is_newer && is_in_canary(inbound_proxy, member, canary.version, share)
    };
    canary.filter(runs_here).or(promoted)
}

/// The violations of one member's document.
#[derive(Default)]
struct Violations {
    listed: Vec<OverlayViolation>,
    /// The number of violations that are not listed.
    omitted: usize,
}

impl Violations {
    fn add_for_document(&mut self, exceeded: ExceededLimit) {
        self.add(OverlayViolation { route: None, field: "document", exceeded });
    }

    fn add_for_route(&mut self, index: usize, route: &Route, field: &'static str, exceeded: ExceededLimit) {
        let route = Some(RoutePosition { index, name: route.name.clone() });
        self.add(OverlayViolation { route, field, exceeded });
    }

    fn add(&mut self, violation: OverlayViolation) {
        if self.listed.len() < MAX_VIOLATIONS {
            self.listed.push(violation);
        } else {
            self.omitted += 1;
        }
    }

    fn into_list(mut self) -> Vec<OverlayViolation> {
        if self.omitted > 0 {
            let exceeded = ExceededLimit::MoreViolations(self.omitted);
            self.listed.push(OverlayViolation { route: None, field: "document", exceeded });
        }
        self.listed
    }
}

/// A member's routes as restricted by the register, with the violations.
#[derive(Default)]
struct RestrictedRoutes {
    routes: Vec<Arc<Route>>,
    violations: Violations,
}

fn restrict_document(
    base: &Configuration,
    register: &MemberRegister,
    name: &str,
    document: &MemberDocument,
) -> RestrictedRoutes {
    let mut restricted = RestrictedRoutes::default();
    let Some(member) = register.member(name) else {
        restricted.violations.add_for_document(ExceededLimit::UnknownMember);
        return restricted;
    };
    let limits = &member.limits;
    let share = Arc::new(MemberShares {
        member: member.name.clone(),
        retry: limits.retry_share,
        concurrency: limits.concurrency_share,
    });
    for (index, route) in document.routes.iter().enumerate() {
        let add_violation = |field, exceeded| {
            restricted.violations.add_for_route(index, route, field, exceeded);
        };
        let Some(allowed) = restrict_route(base, member, route, add_violation) else { continue };
        if restricted.routes.len() < limits.max_routes {
            restricted.routes.push(Arc::new(Route { share: Some(share.clone()), ..allowed }));
        } else {
            let exceeded = ExceededLimit::TooManyRoutes { max: limits.max_routes };
            restricted.violations.add_for_route(index, route, "", exceeded);
        }
    }
    restricted
}

/// Restricts a route to the member's limits. Returns `None` if the route may not be applied at all.
fn restrict_route(
    base: &Configuration,
    member: &Member,
    route: &Route,
    mut add_violation: impl FnMut(&'static str, ExceededLimit),
) -> Option<Route> {
    let limits = &member.limits;
    if !member.owns(&route.host, &route.prefix) {
        let location = format!("{}{}", route.host, route.prefix);
        add_violation(field_names::PREFIX, ExceededLimit::OutsideScopes(location));
        return None;
    }
    let mut cap_value = |field, value: u64, max: u64| {
        if value > max {
            add_violation(field, ExceededLimit::AboveMaximum { value, max });
        }
        value.min(max)
    };
    let max_attempts =
        cap_value(field_names::MAX_ATTEMPTS, route.max_attempts.into(), limits.max_attempts.into());
    let deadline_ms = cap_value(field_names::DEADLINE, route.deadline_ms, limits.max_deadline_ms);
    let latency_target_ms =
        cap_value(field_names::LATENCY_TARGET, route.latency_target_ms, limits.max_deadline_ms);
    if route.priority < limits.highest_priority {
        let (priority, highest) = (route.priority, limits.highest_priority);
        add_violation(field_names::PRIORITY, ExceededLimit::PriorityTooHigh { priority, highest });
    }
    let services = allowed_services(base, member, route, &mut add_violation);
    if !services.iter().any(|service| service.weight > 0.0) {
        add_violation(field_names::WEIGHTED_SERVICES, ExceededLimit::NoService);
        return None;
    }
    Some(Route {
        deadline_ms,
        latency_target_ms,
        priority: route.priority.max(limits.highest_priority),
        max_attempts: u32::try_from(max_attempts).unwrap_or(limits.max_attempts),
        services,
        ..route.clone()
    })
}

/// The services of the route that the member may use and the platform has.
fn allowed_services(
    base: &Configuration,
    member: &Member,
    route: &Route,
    add_violation: &mut impl FnMut(&'static str, ExceededLimit),
) -> Vec<WeightedService> {
    let mut allowed = Vec::with_capacity(route.services.len());
    for service in &route.services {
        let name = &service.name;
        if !member.services.contains(name) {
            add_violation(field_names::WEIGHTED_SERVICES, ExceededLimit::ServiceNotAllowed(name.clone()));
        } else if base.service(name).is_none() {
            add_violation(field_names::WEIGHTED_SERVICES, ExceededLimit::UnknownService(name.clone()));
        } else {
            allowed.push(service.clone());
        }
    }
    allowed
}
