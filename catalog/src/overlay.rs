//! Lays the routes of a platform's members over its timetable. It owns what of a member's document is laid: what the
//! register gives to that member, in full, and nothing else. It also owns what is said of a change before it is taken
//! (`check`, `plan`), and which nodes try one first. It must never let a member's document alter another's routes, nor
//! one of the platform's outside that member's places; and all that hold the same documents lay the same.

use std::collections::BTreeMap;
use std::fmt;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64;

use crate::configuration::read::cut;
use crate::configuration::{Configuration, Name, Route, Share, by_place};
use crate::members::{Member, MemberDocument, MemberRegister};

/// The documents in force, each under its member's name.
pub type MemberDocuments = BTreeMap<Name, Arc<MemberDocument>>;

/// Of each member no more trims are told than this.
const MOST_TOLD: usize = 100;

/// What is in force where these documents are held.
#[derive(Clone, Debug)]
pub struct EffectiveConfiguration {
    pub configuration: Configuration,
    /// In the order of the members' names, of each in its document's order.
    pub violations: Vec<MemberViolation>,
}

/// What of a member's document is not laid as it was written. None arises from a document that `check` passed under
/// the same timetable and register.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberViolation {
    pub member: Name,
    pub violation: OverlayViolation,
}

impl fmt::Display for MemberViolation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.member, self.violation)
    }
}

/// What of a document goes beyond what its member was given, and where it stands.
#[derive(Clone, Debug, PartialEq)]
pub struct OverlayViolation {
    /// The route's number in the document and its name; none where it is the document as a whole.
    pub route: Option<(usize, Name)>,
    pub field: &'static str,
    pub exceeded: ExceededLimit,
}

impl fmt::Display for OverlayViolation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.route {
            None => f.write_str(self.field)?,
            Some((index, name)) => {
                write!(f, "routes[{index}] ({})", cut(name))?;
                let dot = if self.field.is_empty() { "" } else { "." };
                write!(f, "{dot}{}", self.field)?;
            }
        }
        write!(f, ": {}", self.exceeded)
    }
}

#[derive(Clone, Debug, PartialEq)]
pub enum ExceededLimit {
    /// The register names no such member: none of its routes is laid.
    NoMember,
    /// The route stands in no place of this member: it is not laid.
    Place(String),
    /// The member has this many routes already: this one is not laid.
    Routes(usize),
    /// Above the limit, which is laid instead.
    Above { is: u64, most: u64 },
    /// A higher rank than the member's, which is laid instead.
    Rank { is: u32, least: u32 },
    /// A service that is not among the member's: it gets none of the reqs.
    NotOwned(Name),
    /// A service that the timetable doesn't have: it gets none of the reqs.
    Unknown(Name),
    /// No service is left with a share: the route is not laid.
    NoService,
    /// Further cuts than those told.
    More(usize),
}

impl fmt::Display for ExceededLimit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ExceededLimit::NoMember => f.write_str("is of no member that the register names"),
            ExceededLimit::Place(place) => write!(f, "{place:?} is in no place of this member"),
            ExceededLimit::Routes(most) => write!(f, "comes after this member's limit of {most} routes"),
            ExceededLimit::Above { is, most } => write!(f, "{is} is above this member's limit of {most}"),
            ExceededLimit::Rank { is, least } => {
                write!(f, "{is} is a higher rank than this member's, {least} (0 is the highest)")
            }
            ExceededLimit::NotOwned(name) => write!(f, "{:?} is not among this member's services", &**name),
            ExceededLimit::Unknown(name) => write!(f, "{:?} is not among the platform's services", &**name),
            ExceededLimit::NoService => f.write_str("no service is left with a share"),
            ExceededLimit::More(count) => write!(f, "has {count} more like these"),
        }
    }
}

/// Lays each member's document over the platform's timetable, as far as the register gives it room now. A member's
/// route stands in the stead of one of the platform's at the same host and prefix. What goes beyond the member's room is
/// lowered to it or left out, and told. Depends on nothing but what is given.
pub fn overlay(
    base: &Configuration,
    register: &MemberRegister,
    docs: &MemberDocuments,
) -> EffectiveConfiguration {
    let (mut over, mut trims) = (Vec::new(), Vec::new());
    for (name, doc) in docs {
        let (routes, cuts) = fit(base, register, name, doc);
        over.extend(routes);
        trims.extend(
            cuts.told().into_iter().map(|cut| MemberViolation { member: name.clone(), violation: cut }),
        );
    }
    EffectiveConfiguration { configuration: base.overlaid(over), violations: trims }
}

/// All that goes beyond what the member is given by this timetable and register, with its place. A change is taken only
/// if there is nothing.
pub fn check(
    base: &Configuration,
    register: &MemberRegister,
    member: &str,
    doc: &MemberDocument,
) -> Vec<OverlayViolation> {
    fit(base, register, member, doc).1.told()
}

/// What a member's change would do, were it in force everywhere now.
#[derive(Clone, Debug)]
pub struct OverlayPlan {
    /// A line for each field of a route that changes.
    pub changes: Vec<String>,
    /// RefusalReason the change would be refused; none if it would be taken.
    pub forbidden: Vec<OverlayViolation>,
    /// What is trimmed now, of all members, before the change.
    pub trims: Vec<MemberViolation>,
}

/// What changes between what is laid now and what would be with this document of the member instead of its own.
pub fn plan(
    base: &Configuration,
    register: &MemberRegister,
    docs: &MemberDocuments,
    member: &str,
    doc: &Arc<MemberDocument>,
) -> OverlayPlan {
    let before = overlay(base, register, docs);
    let mut changed = docs.clone();
    changed.insert(member.into(), doc.clone());
    let after = overlay(base, register, &changed);
    OverlayPlan {
        changes: by_place(before.configuration.routes(), after.configuration.routes()),
        forbidden: check(base, register, member, doc),
        trims: before.violations,
    }
}

/// Whether the node whose door is at this address tries a member's edition first. Of two shares the larger one reaches
/// all nodes that the smaller one does; 1 reaches all, 0 none. Alike on every node and in every version.
pub fn is_in_canary(door: SocketAddr, member: &str, edition: u64, share: f64) -> bool {
    let ip = match door.ip() {
        IpAddr::V4(ip) => ip.to_ipv6_mapped(),
        IpAddr::V6(ip) => ip,
    };
    let mut bytes = Vec::with_capacity(26 + member.len());
    bytes.extend(ip.octets());
    bytes.extend(door.port().to_be_bytes());
    bytes.extend(edition.to_be_bytes());
    bytes.extend(member.as_bytes());
    // As many bits as a float holds, so that the part is below 1.
    let part = (xxh3_64(&bytes) >> 11) as f64 / (1u64 << 53) as f64;
    part < share
}

/// A member's document in force at the node with this door. `settled` holds everywhere; a `trial` above it that was not
/// withdrawn holds on the nodes that it reaches. `withdrawn` is the highest edition that was.
pub fn in_force<'d>(
    door: SocketAddr,
    member: &str,
    settled: Option<&'d Arc<MemberDocument>>,
    trial: Option<&'d Arc<MemberDocument>>,
    withdrawn: Option<u64>,
) -> Option<&'d Arc<MemberDocument>> {
    let runs = trial.filter(|trial| {
        let edition = Some(trial.version);
        let later = edition > settled.map(|settled| settled.version) && edition > withdrawn;
        later && is_in_canary(door, member, trial.version, trial.canary_share.unwrap_or(1.0))
    });
    runs.or(settled)
}

/// What was cut of one member's document.
#[derive(Default)]
struct Cuts {
    cuts: Vec<OverlayViolation>,
    more: usize,
}

impl Cuts {
    fn add(&mut self, route: Option<(usize, &Route)>, field: &'static str, over: ExceededLimit) {
        if self.cuts.len() < MOST_TOLD {
            let route = route.map(|(index, route)| (index, route.name.clone()));
            self.cuts.push(OverlayViolation { route, field, exceeded: over });
        } else {
            self.more += 1;
        }
    }

    fn told(mut self) -> Vec<OverlayViolation> {
        if self.more > 0 {
            self.cuts.push(OverlayViolation {
                route: None,
                field: "document",
                exceeded: ExceededLimit::More(self.more),
            });
        }
        self.cuts
    }
}

/// The routes of a member's document as they are laid, and what was cut of it.
fn fit(
    base: &Configuration,
    register: &MemberRegister,
    name: &str,
    doc: &MemberDocument,
) -> (Vec<Arc<Route>>, Cuts) {
    let (mut routes, mut cuts) = (Vec::new(), Cuts::default());
    let Some(member) = register.member(name) else {
        cuts.add(None, "document", ExceededLimit::NoMember);
        return (routes, cuts);
    };
    let limits = &member.limits;
    let share = Share { member: member.name.clone(), retry: limits.retry_share, slots: limits.slot_share };
    let share = Arc::new(share);
    for (index, route) in doc.routes.iter().enumerate() {
        let Some(fitted) = fit_route(base, member, index, route, &mut cuts) else { continue };
        if routes.len() < limits.routes {
            routes.push(Arc::new(Route { share: Some(share.clone()), ..fitted }));
        } else {
            cuts.add(Some((index, route)), "", ExceededLimit::Routes(limits.routes));
        }
    }
    (routes, cuts)
}

/// A route lowered to what its member is given; none where nothing of it may be laid.
fn fit_route(
    base: &Configuration,
    member: &Member,
    index: usize,
    route: &Route,
    cuts: &mut Cuts,
) -> Option<Route> {
    let limits = &member.limits;
    let mut cut = |field, over| cuts.add(Some((index, route)), field, over);
    if !member.owns(&route.host, &route.prefix) {
        cut("lane_prefix", ExceededLimit::Place(format!("{}{}", route.host, route.prefix)));
        return None;
    }
    let mut lower = |field, is: u64, most: u64| {
        if is > most {
            cut(field, ExceededLimit::Above { is, most });
        }
        is.min(most)
    };
    let tries = lower("tries", route.tries.into(), limits.tries.into());
    let deadline_ms = lower("deadline_ms", route.deadline_ms, limits.deadline_ms);
    let target_ms = lower("target_ms", route.target_ms, limits.deadline_ms);
    if route.rank < limits.rank {
        cut("post_class", ExceededLimit::Rank { is: route.rank, least: limits.rank });
    }
    let mut lines = Vec::with_capacity(route.lines.len());
    for (name, share) in &route.lines {
        if !member.services.contains(name) {
            cut("split", ExceededLimit::NotOwned(name.clone()));
        } else if base.service(name).is_none() {
            cut("split", ExceededLimit::Unknown(name.clone()));
        } else {
            lines.push((name.clone(), *share));
        }
    }
    if !lines.iter().any(|(_, share)| *share > 0.0) {
        cut("split", ExceededLimit::NoService);
        return None;
    }
    Some(Route {
        deadline_ms,
        target_ms,
        rank: route.rank.max(limits.rank),
        tries: u32::try_from(tries).unwrap_or(limits.tries),
        lines,
        ..route.clone()
    })
}
