//! Reads the register of members and the members' documents.
//!
//! Invariants: a document is accepted as a whole or refused; no input causes a panic. A member's routes are checked
//! against the register in `overlay`, not here.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use jzon::JsonValue;

use super::{Member, MemberDocument, MemberLimits, MemberRegister, RouteScope};
use crate::configuration::document::{
    DocumentEntries, DocumentReader, Entry, MAX_DURATION_MS, MAX_ENTRIES, field, read_document,
};
use crate::configuration::read::{read_host, read_prefix, read_route};
use crate::configuration::refusal::escaped_name;
use crate::configuration::{Name, Refusal, RefusalReason, field_names};

/// The maximum number of members in a register.
pub const MAX_MEMBERS: usize = 1_000;
/// The maximum sum of the route limits of all members in a register.
pub const MAX_ROUTES: u64 = 200_000;
const MAX_SCOPES: usize = 1_000;
const MAX_SERVICES: usize = 1_000;
const MAX_MEMBER_NAME_BYTES: usize = 60;
const DIGEST_HEX_DIGITS: usize = 64;

impl MemberRegister {
    /// Reads a register, or returns all errors. A register has at most 32 MiB and [`MAX_MEMBERS`] members, whose route
    /// limits add up to at most [`MAX_ROUTES`].
    pub fn read(bytes: &[u8]) -> Result<MemberRegister, Vec<Refusal>> {
        read_document(bytes, read_register)
    }
}

impl MemberDocument {
    /// Reads a document, or returns all errors. A document has at most 32 MiB and 20,000 routes.
    pub fn read(bytes: &[u8]) -> Result<MemberDocument, Vec<Refusal>> {
        read_document(bytes, read_member_document)
    }
}

fn read_member_document(reader: &mut DocumentReader, document: &JsonValue) -> Option<MemberDocument> {
    let DocumentEntries { version, entries } = reader.entries(document, field_names::ROUTES, MAX_ENTRIES)?;
    let whole_document = Entry::new("", 0, document);
    // After an invalid share, the routes are still read, so that their errors are reported too.
    let canary_share = match whole_document.get(field_names::CANARY_SHARE) {
        None => None,
        share => read_share(reader, &whole_document, field_names::CANARY_SHARE, share),
    };
    let mut routes = Vec::with_capacity(entries.len());
    let mut locations = HashMap::new();
    for (index, value) in entries.iter().enumerate() {
        let Some(entry) = read_named_entry(reader, field_names::ROUTES, index, value) else { continue };
        let Some(route) = read_route(reader, &entry, None) else { continue };
        match locations.insert(route.location(), index) {
            Some(other) => {
                let reason = RefusalReason::Duplicate { list: field_names::ROUTES, entry: other };
                reader.refuse_field::<()>(&entry, field_names::PREFIX, reason);
            }
            None => routes.push(Arc::new(route)),
        }
    }
    Some(MemberDocument { version: version?, canary_share, routes })
}

fn read_register(reader: &mut DocumentReader, document: &JsonValue) -> Option<MemberRegister> {
    let DocumentEntries { version, entries } = reader.entries(document, field_names::MEMBERS, MAX_MEMBERS)?;
    let mut members: BTreeMap<Name, Arc<Member>> = BTreeMap::new();
    let mut indices: HashMap<Name, usize> = HashMap::new();
    let mut scopes = ScopeOwners::default();
    let mut allowed_routes = 0;
    for (index, value) in entries.iter().enumerate() {
        let Some(entry) = read_named_entry(reader, field_names::MEMBERS, index, value) else { continue };
        let Some(member) = read_member(reader, &entry) else { continue };
        if let Some(other) = indices.insert(member.name.clone(), index) {
            let reason = RefusalReason::Duplicate { list: field_names::MEMBERS, entry: other };
            reader.refuse_field::<()>(&entry, "name", reason);
            continue;
        }
        allowed_routes += member.limits.max_routes as u64;
        scopes.add(reader, &entry, &member);
        members.insert(member.name.clone(), Arc::new(member));
    }
    scopes.check_nesting(reader);
    if allowed_routes > MAX_ROUTES {
        return reader.refuse(RefusalReason::TooMany { max: MAX_ROUTES as usize }, || {
            "members.limits.routes, all together".into()
        });
    }
    Some(MemberRegister { version: version?, members })
}

/// Reads an entry that is an object and has a name.
fn read_named_entry<'v>(
    reader: &mut DocumentReader,
    list: &'static str,
    index: usize,
    value: &'v JsonValue,
) -> Option<Entry<'v>> {
    let entry = Entry::new(list, index, value);
    if !value.is_object() {
        return reader.refuse_field(&entry, "", RefusalReason::WrongType("an object"));
    }
    let name = reader.name(&entry, "name", entry.get("name"))?;
    Some(Entry { name, ..entry })
}

fn read_member(reader: &mut DocumentReader, entry: &Entry) -> Option<Member> {
    // All fields are read before the first `?`, so that all errors are reported.
    let name = read_member_name(reader, entry);
    let key_sha256 = read_digest(reader, entry);
    let scopes = read_scopes(reader, entry);
    let services = read_service_names(reader, entry);
    let limits = read_limits(reader, entry);
    Some(Member {
        name: name?,
        key_sha256: key_sha256?,
        scopes: scopes?,
        services: services?,
        limits: limits?,
    })
}

/// Reads the member's name, which is used in URLs and in names of registers.
fn read_member_name(reader: &mut DocumentReader, entry: &Entry) -> Option<Name> {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b".-_".contains(&byte);
    if entry.name.len() > MAX_MEMBER_NAME_BYTES || !entry.name.bytes().all(is_allowed) {
        return reader.refuse_field(entry, "name", RefusalReason::InvalidMemberName);
    }
    Some(reader.intern(entry.name))
}

fn read_digest(reader: &mut DocumentReader, entry: &Entry) -> Option<[u8; 32]> {
    const FIELD: &str = field_names::KEY_DIGEST;
    let text = reader.text(entry, FIELD, entry.get(FIELD))?;
    if text.len() != DIGEST_HEX_DIGITS || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return reader.refuse_field(entry, FIELD, RefusalReason::InvalidDigest);
    }
    let mut digest = [0; 32];
    for (byte, pair) in digest.iter_mut().zip(text.as_bytes().chunks_exact(2)) {
        let digits = pair.iter().filter_map(|digit| char::from(*digit).to_digit(16));
        *byte = digits.fold(0, |sum, digit| sum << 4 | digit as u8);
    }
    Some(digest)
}

/// Reads a list of at most `max` values.
fn read_list<'v>(
    reader: &mut DocumentReader,
    entry: &Entry<'v>,
    field: &str,
    max: usize,
) -> Option<&'v [JsonValue]> {
    let Some(value) = entry.get(field) else {
        return reader.refuse_field(entry, field, RefusalReason::Missing);
    };
    match value.as_array() {
        None => reader.refuse_field(entry, field, RefusalReason::WrongType("a list")),
        Some(values) if values.len() > max => {
            reader.refuse_field(entry, field, RefusalReason::TooMany { max })
        }
        Some(values) => Some(values),
    }
}

fn read_scopes(reader: &mut DocumentReader, entry: &Entry) -> Option<Vec<RouteScope>> {
    let values = read_list(reader, entry, field_names::SCOPES, MAX_SCOPES)?;
    let mut scopes = Vec::with_capacity(values.len());
    for (index, value) in values.iter().enumerate() {
        scopes.extend(read_scope(reader, entry, &format!("places[{index}]"), value));
    }
    Some(scopes)
}

fn read_scope(
    reader: &mut DocumentReader,
    entry: &Entry,
    path: &str,
    value: &JsonValue,
) -> Option<RouteScope> {
    if !value.is_object() {
        return reader.refuse_field(entry, path, RefusalReason::WrongType("an object"));
    }
    let host = read_host(reader, entry, &format!("{path}.host"), field(value, "host"));
    let prefix_path = format!("{path}.prefix");
    let prefix = match field(value, "prefix") {
        None => Some(reader.intern("/")),
        prefix => read_prefix(reader, entry, &prefix_path, prefix),
    };
    if prefix.as_ref().is_some_and(|prefix| !prefix.ends_with('/')) {
        reader.refuse_field::<()>(entry, &prefix_path, RefusalReason::NoTrailingSlash);
    }
    Some(RouteScope { host: host?, prefix: prefix? })
}

fn read_service_names(reader: &mut DocumentReader, entry: &Entry) -> Option<BTreeSet<Name>> {
    let values = read_list(reader, entry, field_names::ALLOWED_SERVICES, MAX_SERVICES)?;
    let mut services = BTreeSet::new();
    for (index, value) in values.iter().enumerate() {
        if let Some(name) = reader.name(entry, &format!("services[{index}]"), Some(value)) {
            services.insert(reader.intern(name));
        }
    }
    Some(services)
}

/// Reads the limits. An invalid field is refused and replaced by its default.
fn read_limits(reader: &mut DocumentReader, entry: &Entry) -> Option<MemberLimits> {
    let mut limits = MemberLimits::default();
    let Some(fields) = entry.get("limits") else { return Some(limits) };
    if !fields.is_object() {
        return reader.refuse_field(entry, "limits", RefusalReason::WrongType("an object"));
    }
    let entry = &Entry { path: "limits", fields, ..*entry };
    let mut whole_number = |key: &str, min: u64, max: u64, default: u64| match entry.get(key) {
        None => default,
        value => reader.whole_number(entry, key, value, min, max).unwrap_or(default),
    };
    limits.max_routes = whole_number(field_names::MAX_ROUTES, 1, 10_000, limits.max_routes as u64) as usize;
    limits.max_attempts =
        whole_number(field_names::MAX_ATTEMPTS, 1, u32::MAX.into(), limits.max_attempts.into()) as u32;
    limits.max_deadline_ms = whole_number(field_names::DEADLINE, 1, MAX_DURATION_MS, limits.max_deadline_ms);
    limits.highest_priority =
        whole_number(field_names::HIGHEST_PRIORITY, 0, u32::MAX.into(), limits.highest_priority.into())
            as u32;
    limits.changes_per_minute =
        whole_number(field_names::CHANGES_PER_MINUTE, 1, 10_000, limits.changes_per_minute.into()) as u32;
    limits.canary_duration_s =
        whole_number(field_names::CANARY_DURATION, 1, 86_400, limits.canary_duration_s.into()) as u32;
    let mut share = |key: &str, default: f64| match entry.get(key) {
        None => default,
        value => read_share(reader, entry, key, value).unwrap_or(default),
    };
    limits.retry_share = share(field_names::RETRY_SHARE, limits.retry_share);
    limits.concurrency_share = share(field_names::CONCURRENCY_SHARE, limits.concurrency_share);
    Some(limits)
}

/// Reads a number from 0 to 1.
fn read_share(
    reader: &mut DocumentReader,
    entry: &Entry,
    field: &str,
    value: Option<&JsonValue>,
) -> Option<f64> {
    reader.number(entry, field, value, 1)
}

/// A scope of a member with its location in the register.
#[derive(Clone, Copy)]
struct OwnedScope<'v> {
    /// The member's entry.
    entry: Entry<'v>,
    /// The index among the member's scopes.
    index: usize,
}

impl OwnedScope<'_> {
    /// The location of the scope in the register.
    fn location(&self) -> String {
        format!("members[{}] ({}).places[{}]", self.entry.index, escaped_name(self.entry.name), self.index)
    }

    fn refuse_overlap(&self, reader: &mut DocumentReader, location: String) {
        let field = format!("places[{}]", self.index);
        reader.refuse_field::<()>(&self.entry, &field, RefusalReason::OverlapsScope(location));
    }
}

/// The members' scopes by host and prefix, to find those that overlap.
#[derive(Default)]
struct ScopeOwners<'v> {
    by_host: HashMap<Name, BTreeMap<Name, OwnedScope<'v>>>,
}

impl<'v> ScopeOwners<'v> {
    /// Adds a member's scopes and refuses those that are equal to another member's.
    fn add(&mut self, reader: &mut DocumentReader, entry: &Entry<'v>, member: &Member) {
        for (index, scope) in member.scopes.iter().enumerate() {
            let owned = OwnedScope { entry: *entry, index };
            let by_prefix = self.by_host.entry(scope.host.clone()).or_default();
            match by_prefix.get(&scope.prefix) {
                Some(other) if other.entry.index != entry.index => {
                    owned.refuse_overlap(reader, other.location());
                }
                _ => {
                    by_prefix.insert(scope.prefix.clone(), owned);
                }
            }
        }
    }

    /// Refuses each scope that lies within a larger one of another member, and reports the smallest of these.
    fn check_nesting(&self, reader: &mut DocumentReader) {
        let mut nested: Vec<(OwnedScope, String)> = self.by_host.values().flat_map(nested_scopes).collect();
        nested.sort_by_key(|(scope, _)| (scope.entry.index, scope.index));
        for (scope, outer) in nested {
            scope.refuse_overlap(reader, outer);
        }
    }
}

/// The scopes of one host that lie within another member's scope, with the location of the smallest such scope.
fn nested_scopes<'v>(by_prefix: &BTreeMap<Name, OwnedScope<'v>>) -> Vec<(OwnedScope<'v>, String)> {
    let mut nested = Vec::new();
    // Prefixes are sorted, so a scope follows all scopes that enclose it, and all scopes in between are enclosed by
    // them too.
    let mut enclosing: Vec<(&Name, &OwnedScope)> = Vec::new();
    for (prefix, scope) in by_prefix {
        while enclosing.pop_if(|(outer, _)| !prefix.starts_with(&***outer)).is_some() {}
        let is_of_other_member = |(_, outer): &&(&Name, &OwnedScope)| outer.entry.index != scope.entry.index;
        if let Some((_, outer)) = enclosing.iter().rev().find(is_of_other_member) {
            nested.push((*scope, outer.location()));
        }
        enclosing.push((prefix, scope));
    }
    nested
}
