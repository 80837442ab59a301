//! The members of a platform: the register, in which the platform names them with what is given to each, and the
//! document in which a member keeps its own routes. It owns how both are read and what is valid in each by itself;
//! whether a member's routes stay within what is given to it is decided by `lay`. It must never take in a part of a
//! document, nor panic, whatever the bytes are.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use jzon::JsonValue;

use crate::configuration::changes::{Fact, compare, paired};
use crate::configuration::read::{self, Entry, MOST_ENTRIES, MOST_MS, Reader, cut, field};
use crate::configuration::{Name, Refusal, RefusalReason, Route};

/// The most members of a register.
pub const MOST_MEMBERS: usize = 1_000;
/// The most routes that a register may give to all its members together.
pub const MOST_ROUTES: u64 = 200_000;
const MOST_PLACES: usize = 1_000;
const MOST_SERVICES: usize = 1_000;
const MOST_NAME: usize = 60;

/// What a member may do at most. All of it holds on every node at all times.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MemberLimits {
    /// Routes laid at once, 1 to 10,000.
    pub routes: usize,
    /// Upstreams that one try of a client may be sent to, 1 or above.
    pub tries: u32,
    /// The longest deadline and target, in ms.
    pub deadline_ms: u64,
    /// The highest rank; 0 is the highest of all, so this is the least number.
    pub rank: u32,
    /// Of each service's allowance of repeats, 0 to 1.
    pub retry_share: f64,
    /// Of each upstream's slots, 0 to 1.
    pub slot_share: f64,
    /// Changes that are taken in a minute, 1 to 10,000.
    pub changes_per_minute: u32,
    /// How long a trial runs before it is settled or withdrawn, in s, 1 to 86,400.
    pub trial_s: u32,
}

impl Default for MemberLimits {
    fn default() -> MemberLimits {
        MemberLimits {
            routes: 100,
            tries: 2,
            deadline_ms: 2_000,
            rank: 1,
            retry_share: 0.2,
            slot_share: 0.5,
            changes_per_minute: 30,
            trial_s: 30,
        }
    }
}

/// Where a member's routes may stand: a host, and a prefix that begins and ends with a slash.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    /// Lowercase, without a port.
    pub host: Name,
    pub prefix: Name,
}

impl Place {
    pub fn holds(&self, host: &str, prefix: &str) -> bool {
        *self.host == *host && prefix.starts_with(&*self.prefix)
    }
}

#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// 1 to 60 letters, digits, dots, dashes and underscores.
    pub name: Name,
    /// Of the key that its calls bear.
    pub key_sha256: [u8; 32],
    /// In the document's order. None of them lies within another member's.
    pub places: Vec<Place>,
    /// The services that its routes may name.
    pub services: BTreeSet<Name>,
    pub limits: MemberLimits,
}

impl Member {
    /// Whether a route at this host and prefix stands in one of its places.
    pub fn owns(&self, host: &str, prefix: &str) -> bool {
        self.places.iter().any(|place| place.holds(host, prefix))
    }
}

/// The platform's word on its members, of one edition, whole and checked.
#[derive(Clone, Debug, Default)]
pub struct MemberRegister {
    pub version: u64,
    members: BTreeMap<Name, Arc<Member>>,
}

impl MemberRegister {
    /// Reads a whole register, or tells all that is wrong with it. At most 32 MiB, `MOST_MEMBERS` members, and
    /// `MOST_ROUTES` routes given to all together.
    pub fn read(bytes: &[u8]) -> Result<MemberRegister, Vec<Refusal>> {
        read::whole(bytes, register)
    }

    pub fn member(&self, name: &str) -> Option<&Arc<Member>> {
        self.members.get(name)
    }

    /// In the order of their names.
    pub fn members(&self) -> impl Iterator<Item = &Arc<Member>> {
        self.members.values()
    }
}

/// A member's own word on its routes, of one edition. It is whole and valid by itself; what of it may be laid is
/// decided by `lay`.
#[derive(Clone, Debug)]
pub struct MemberDocument {
    /// Above that of the member's document before it.
    pub version: u64,
    /// The share of nodes that try it first, 0 to 1; all take it at once where there is none.
    pub canary_share: Option<f64>,
    /// In the document's order, no two at one place, none with a share of what all have in common. Their services are
    /// names only: whether there are such is not known here.
    pub routes: Vec<Arc<Route>>,
}

impl MemberDocument {
    /// Reads a whole document, or tells all that is wrong with it. At most 32 MiB and 20,000 routes.
    pub fn read(bytes: &[u8]) -> Result<MemberDocument, Vec<Refusal>> {
        read::whole(bytes, document)
    }
}

/// What an operator would see change from one register to another, a line for each field.
pub fn differences(old: &MemberRegister, new: &MemberRegister) -> Vec<String> {
    let mut lines = Vec::new();
    let edition = |register: &MemberRegister| Some(vec![("edition", format!("r{}", register.version))]);
    compare(&mut lines, "register", edition(old), edition(new));
    for (name, old, new) in paired(old.members.clone(), new.members.clone()) {
        let facts = |member: Arc<Member>| facts(&member);
        compare(&mut lines, &format!("member {name}"), old.map(facts), new.map(facts));
    }
    lines
}

/// Of the digest of the key its beginning is told.
fn facts(member: &Member) -> Vec<Fact> {
    let listed = |all: Vec<String>| format!("[{}]", all.join(", "));
    let places = member.places.iter().map(|place| format!("{}{}", place.host, place.prefix)).collect();
    let limits = &member.limits;
    let key: String = member.key_sha256.iter().take(4).map(|byte| format!("{byte:02x}")).collect();
    vec![
        ("key_sha256", format!("{key}...")),
        ("places", listed(places)),
        ("services", listed(member.services.iter().map(ToString::to_string).collect())),
        ("routes", limits.routes.to_string()),
        ("tries", limits.tries.to_string()),
        ("deadline_ms", limits.deadline_ms.to_string()),
        ("rank", limits.rank.to_string()),
        ("retry_share", limits.retry_share.to_string()),
        ("slot_share", limits.slot_share.to_string()),
        ("changes_per_minute", limits.changes_per_minute.to_string()),
        ("trial_s", limits.trial_s.to_string()),
    ]
}

fn document(reader: &mut Reader, document: &JsonValue) -> Option<MemberDocument> {
    let (version, entries) = reader.document(document, "routes", MOST_ENTRIES)?;
    let top = Entry::new("", 0, document);
    // Where it is wrong that is told, and the routes are read all the same.
    let trial = top.get("trial").and_then(|_| share(reader, &top, "trial", top.get("trial")));
    let (mut routes, mut places) = (Vec::with_capacity(entries.len()), HashMap::new());
    for (index, value) in entries.iter().enumerate() {
        let Some(entry) = named(reader, "routes", index, value) else { continue };
        let Some(route) = reader.route(&entry) else { continue };
        match places.insert((route.host.clone(), route.prefix.clone()), index) {
            Some(other) => {
                reader.wrong::<()>(&entry, "lane_prefix", RefusalReason::Same("routes", other));
            }
            None => routes.push(Arc::new(route)),
        }
    }
    Some(MemberDocument { version: version?, canary_share: trial, routes })
}

fn register(reader: &mut Reader, document: &JsonValue) -> Option<MemberRegister> {
    let (version, entries) = reader.document(document, "members", MOST_MEMBERS)?;
    let mut members: BTreeMap<Name, Arc<Member>> = BTreeMap::new();
    let mut numbers: HashMap<Name, usize> = HashMap::new();
    let mut taken = Taken::default();
    let mut routes = 0;
    for (index, value) in entries.iter().enumerate() {
        let Some(entry) = named(reader, "members", index, value) else { continue };
        let Some(member) = member(reader, &entry) else { continue };
        if let Some(other) = numbers.insert(member.name.clone(), index) {
            reader.wrong::<()>(&entry, "name", RefusalReason::Same("members", other));
            continue;
        }
        routes += member.limits.routes as u64;
        taken.add(reader, &entry, &member);
        members.insert(member.name.clone(), Arc::new(member));
    }
    taken.check(reader);
    if routes > MOST_ROUTES {
        return reader.refuse(RefusalReason::Many(MOST_ROUTES as usize), || {
            "members.limits.routes, all together".into()
        });
    }
    Some(MemberRegister { version: version?, members })
}

/// An entry that is an object and has a name.
fn named<'v>(
    reader: &mut Reader,
    list: &'static str,
    index: usize,
    value: &'v JsonValue,
) -> Option<Entry<'v>> {
    let entry = Entry::new(list, index, value);
    if !value.is_object() {
        return reader.wrong(&entry, "", RefusalReason::Not("an object"));
    }
    let name = reader.word(&entry, "name", entry.get("name"))?;
    Some(Entry { name, ..entry })
}

fn member(reader: &mut Reader, entry: &Entry) -> Option<Member> {
    // Each field is read before any is missed, so that all errors are told.
    let name = name(reader, entry);
    let key_sha256 = digest(reader, entry);
    let places = places(reader, entry);
    let services = services(reader, entry);
    let limits = limits(reader, entry);
    Some(Member {
        name: name?,
        key_sha256: key_sha256?,
        places: places?,
        services: services?,
        limits: limits?,
    })
}

/// It stands in calls and in the names of papers.
fn name(reader: &mut Reader, entry: &Entry) -> Option<Name> {
    let fits = |byte: u8| byte.is_ascii_alphanumeric() || b".-_".contains(&byte);
    if entry.name.len() > MOST_NAME || !entry.name.bytes().all(fits) {
        return reader.wrong(entry, "name", RefusalReason::Name);
    }
    Some(reader.name(entry.name))
}

fn digest(reader: &mut Reader, entry: &Entry) -> Option<[u8; 32]> {
    const FIELD: &str = "key_sha256";
    let text = reader.text(entry, FIELD, entry.get(FIELD))?;
    let mut digest = [0; 32];
    if text.len() != 64 || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return reader.wrong(entry, FIELD, RefusalReason::Digest);
    }
    for (byte, pair) in digest.iter_mut().zip(text.as_bytes().chunks_exact(2)) {
        let digits = pair.iter().filter_map(|digit| char::from(*digit).to_digit(16));
        *byte = digits.fold(0, |sum, digit| sum << 4 | digit as u8);
    }
    Some(digest)
}

/// A list that is there, of no more than so many.
fn list<'v>(reader: &mut Reader, entry: &Entry<'v>, field: &str, most: usize) -> Option<&'v [JsonValue]> {
    let Some(value) = entry.get(field) else { return reader.wrong(entry, field, RefusalReason::Missing) };
    match value.as_array() {
        None => reader.wrong(entry, field, RefusalReason::Not("a list")),
        Some(all) if all.len() > most => reader.wrong(entry, field, RefusalReason::Many(most)),
        Some(all) => Some(all),
    }
}

fn places(reader: &mut Reader, entry: &Entry) -> Option<Vec<Place>> {
    let all = list(reader, entry, "places", MOST_PLACES)?;
    let mut places = Vec::with_capacity(all.len());
    for (index, value) in all.iter().enumerate() {
        let at = |key: &str| format!("places[{index}]{key}");
        if !value.is_object() {
            reader.wrong::<()>(entry, &at(""), RefusalReason::Not("an object"));
            continue;
        }
        let host = reader.host(entry, &at(".host"), field(value, "host"));
        let prefix = match field(value, "prefix") {
            None => Some(reader.name("/")),
            some => reader.prefix(entry, &at(".prefix"), some),
        };
        if prefix.as_ref().is_some_and(|prefix| !prefix.ends_with('/')) {
            reader.wrong::<()>(entry, &at(".prefix"), RefusalReason::NoLastSlash);
        }
        if let (Some(host), Some(prefix)) = (host, prefix) {
            places.push(Place { host, prefix });
        }
    }
    Some(places)
}

fn services(reader: &mut Reader, entry: &Entry) -> Option<BTreeSet<Name>> {
    let all = list(reader, entry, "services", MOST_SERVICES)?;
    let mut services = BTreeSet::new();
    for (index, value) in all.iter().enumerate() {
        if let Some(name) = reader.word(entry, &format!("services[{index}]"), Some(value)) {
            services.insert(reader.name(name));
        }
    }
    Some(services)
}

fn limits(reader: &mut Reader, entry: &Entry) -> Option<MemberLimits> {
    let mut limits = MemberLimits::default();
    let Some(given) = entry.get("limits") else { return Some(limits) };
    if !given.is_object() {
        return reader.wrong(entry, "limits", RefusalReason::Not("an object"));
    }
    let entry = &Entry { within: "limits", fields: given, ..*entry };
    // A field that is wrong is told; its default stands in for it until the register is refused.
    let mut whole = |key: &str, least: u64, most: u64, default: u64| match entry.get(key) {
        None => default,
        some => reader.whole(entry, key, some, least, most).unwrap_or(default),
    };
    limits.routes = whole("routes", 1, 10_000, limits.routes as u64) as usize;
    limits.tries = whole("tries", 1, u32::MAX.into(), limits.tries.into()) as u32;
    limits.deadline_ms = whole("deadline_ms", 1, MOST_MS, limits.deadline_ms);
    limits.rank = whole("rank", 0, u32::MAX.into(), limits.rank.into()) as u32;
    limits.changes_per_minute =
        whole("changes_per_minute", 1, 10_000, limits.changes_per_minute.into()) as u32;
    limits.trial_s = whole("trial_s", 1, 86_400, limits.trial_s.into()) as u32;
    let mut part = |key: &str, default: f64| match entry.get(key) {
        None => default,
        some => share(reader, entry, key, some).unwrap_or(default),
    };
    limits.retry_share = part("retry_share", limits.retry_share);
    limits.slot_share = part("slot_share", limits.slot_share);
    Some(limits)
}

/// A number from 0 to 1.
fn share(reader: &mut Reader, entry: &Entry, key: &str, value: Option<&JsonValue>) -> Option<f64> {
    reader.number(entry, key, value, 1)
}

/// Whose each place is.
#[derive(Default)]
struct Taken<'v> {
    by_host: HashMap<Name, BTreeMap<Name, (Entry<'v>, usize)>>,
}

impl<'v> Taken<'v> {
    /// Tells a place that another member has as well.
    fn add(&mut self, reader: &mut Reader, entry: &Entry<'v>, member: &Member) {
        for (number, place) in member.places.iter().enumerate() {
            let of_host = self.by_host.entry(place.host.clone()).or_default();
            match of_host.get(&place.prefix) {
                Some((other, at)) if other.index != entry.index => {
                    let why = RefusalReason::Within(told(other, *at));
                    reader.wrong::<()>(entry, &format!("places[{number}]"), why);
                }
                _ => {
                    of_host.insert(place.prefix.clone(), (*entry, number));
                }
            }
        }
    }

    /// Tells each place that lies within a larger one of another member, with the least of these.
    fn check(&self, reader: &mut Reader) {
        let mut found: Vec<(&Entry, usize, String)> = Vec::new();
        for of_host in self.by_host.values() {
            // In their order each prefix stands behind all that begin it, and nothing else between them.
            let mut around: Vec<(&Name, &Entry, usize)> = Vec::new();
            for (prefix, (entry, number)) in of_host {
                while around.pop_if(|(larger, ..)| !prefix.starts_with(&***larger)).is_some() {}
                let others = around.iter().rev();
                if let Some((_, other, at)) = others.clone().find(|(_, other, _)| other.index != entry.index)
                {
                    found.push((entry, *number, told(other, *at)));
                }
                around.push((prefix, entry, *number));
            }
        }
        found.sort_by_key(|(entry, number, _)| (entry.index, *number));
        for (entry, number, other) in found {
            reader.wrong::<()>(entry, &format!("places[{number}]"), RefusalReason::Within(other));
        }
    }
}

fn told(entry: &Entry, number: usize) -> String {
    format!("members[{}] ({}).places[{number}]", entry.index, cut(entry.name))
}
