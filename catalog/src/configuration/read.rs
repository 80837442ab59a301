//! Reads the operators' configuration, and routes, which members' documents contain as well.
//!
//! The field names of the documents (`depot`, `lane_prefix`, `post_class` and so on) occur only in `field_names`, in
//! this module and in texts for operators; the resulting types use standard terms.
//!
//! Invariants: a document is accepted as a whole or refused; no input causes a panic.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

use jzon::JsonValue;

use super::document::{DocumentEntries, DocumentReader, Entry, MAX_ENTRIES, field, read_document};
use super::field_names;
use super::model::{Limits, Name, RepeatPolicy, Route, Service, WeightedService};
use super::refusal::{Refusal, RefusalReason, quoted};
use super::routing::{Configuration, normalized_host};

const MAX_WEIGHTED_SERVICES: usize = 1_000;
const MAX_SESSION_HEADER_BYTES: usize = 64;
/// Headers that describe a connection or a body and cannot identify a session.
const RESERVED_HEADERS: [&str; 11] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "host",
    "content-length",
    "content-type",
    "expect",
];
/// Headers with this prefix are set by the proxies themselves.
const OWN_HEADER_PREFIX: &str = "ochreshed-";
const MAX_PATH_BYTES: usize = 1_024;
const MAX_WEIGHT: u64 = 1_000_000_000_000;
const MAX_SIZE_BYTES: u64 = 1_000_000_000_000_000;

const ROUTES: &str = "routes";
const SERVICES: &str = "mail_lines";
const LIMITS: &str = "limits";

/// The name of a repeat policy in the documents.
pub(super) fn repeat_policy_name(policy: RepeatPolicy) -> &'static str {
    match policy {
        RepeatPolicy::Repeatable => "resendable",
        RepeatPolicy::OnceOnly => "once_only",
        RepeatPolicy::Keyed => "registered",
        RepeatPolicy::LargeResponse => "outbound_post",
    }
}

/// The repeat policy with this name in the documents.
fn repeat_policy(name: &str) -> Option<RepeatPolicy> {
    let policies =
        [RepeatPolicy::Repeatable, RepeatPolicy::OnceOnly, RepeatPolicy::Keyed, RepeatPolicy::LargeResponse];
    policies.into_iter().find(|policy| repeat_policy_name(*policy) == name)
}

impl Configuration {
    /// Reads a configuration, or returns all errors in document order.
    pub fn read(bytes: &[u8]) -> Result<Configuration, Vec<Refusal>> {
        read_document(bytes, read_configuration)
    }
}

fn read_configuration(reader: &mut DocumentReader, document: &JsonValue) -> Option<Configuration> {
    let DocumentEntries { version, entries } = reader.entries(document, "consignments", MAX_ENTRIES)?;
    let mut builder = ConfigurationBuilder::new(known_services(reader, entries));
    for (index, value) in entries.iter().enumerate() {
        if let Some(entry) = read_entry(reader, index, value) {
            builder.add(reader, &entry);
        }
    }
    let limits = builder.limits.unwrap_or_default();
    Some(Configuration::new(version?, builder.routes, builder.services, limits))
}

/// The names of all services. They are collected first because services may be listed after the routes that use them.
fn known_services(reader: &mut DocumentReader, entries: &[JsonValue]) -> HashSet<Name> {
    let mut known = HashSet::new();
    for entry in entries {
        let category = field(entry, "category").and_then(JsonValue::as_str);
        let label = field(entry, "label");
        let name = label.and_then(|label| field(label, "name")).and_then(JsonValue::as_str);
        if let (Some(SERVICES), Some(name)) = (category, name) {
            known.insert(reader.intern(name));
        }
    }
    known
}

/// The entries of a configuration that have been read so far.
struct ConfigurationBuilder {
    known_services: HashSet<Name>,
    routes: Vec<Arc<Route>>,
    /// The index of the entry with each host and prefix.
    route_locations: HashMap<(Name, Name), usize>,
    services: BTreeMap<Name, Service>,
    limits: Option<Limits>,
}

impl ConfigurationBuilder {
    fn new(known_services: HashSet<Name>) -> ConfigurationBuilder {
        ConfigurationBuilder {
            known_services,
            routes: Vec::new(),
            route_locations: HashMap::new(),
            services: BTreeMap::new(),
            limits: None,
        }
    }

    fn add(&mut self, reader: &mut DocumentReader, entry: &Entry) {
        match entry.category {
            ROUTES => self.add_route(reader, entry),
            SERVICES => self.add_service(reader, entry),
            _ => self.add_limits(reader, entry),
        }
    }

    fn add_route(&mut self, reader: &mut DocumentReader, entry: &Entry) {
        let Some(route) = read_route(reader, entry, Some(&self.known_services)) else { return };
        match self.route_locations.insert(route.location(), entry.index) {
            Some(other) => {
                let reason = RefusalReason::DuplicateLocation { entry: other };
                reader.refuse_field::<()>(&entry.whole(), "", reason);
            }
            None => self.routes.push(Arc::new(route)),
        }
    }

    /// Adds a service. A duplicate is accepted if it is equal.
    fn add_service(&mut self, reader: &mut DocumentReader, entry: &Entry) {
        let Some(service) = read_service(reader, entry) else { return };
        match self.services.get(&service.name) {
            Some(known) if *known != service => {
                reader.refuse_field::<()>(&entry.whole(), "", RefusalReason::Conflict);
            }
            _ => {
                self.services.insert(service.name.clone(), service);
            }
        }
    }

    /// Sets the limits. Duplicate limits are accepted if they are equal.
    fn add_limits(&mut self, reader: &mut DocumentReader, entry: &Entry) {
        let limits = read_limits(reader, entry);
        if self.limits.is_some_and(|known| known != limits) {
            reader.refuse_field::<()>(&entry.whole(), "", RefusalReason::Conflict);
        }
        self.limits = Some(limits);
    }
}

/// Reads the parts that all entries have in common. Also returns `None` for an unknown category, which is ignored.
fn read_entry<'v>(reader: &mut DocumentReader, index: usize, value: &'v JsonValue) -> Option<Entry<'v>> {
    let mut entry = Entry::new("consignments", index, value);
    if !value.is_object() {
        return reader.refuse_field(&entry, "", RefusalReason::WrongType("an object"));
    }
    let category = reader.text(&entry, "category", field(value, "category"))?;
    if ![ROUTES, SERVICES, LIMITS].contains(&category) {
        return None;
    }
    entry.category = category;
    let label = field(value, "label");
    if label.is_some_and(|label| !label.is_object()) {
        return reader.refuse_field(&entry, "label", RefusalReason::WrongType("an object"));
    }
    if category != LIMITS {
        let name = label.and_then(|label| field(label, "name"));
        entry.name = reader.name(&entry, "label.name", name)?;
    }
    match field(value, "manifest") {
        None => reader.refuse_field(&entry, "manifest", RefusalReason::Missing),
        Some(manifest) if !manifest.is_object() => {
            reader.refuse_field(&entry, "manifest", RefusalReason::WrongType("an object"))
        }
        Some(manifest) => Some(Entry { path: "manifest", fields: manifest, ..entry }),
    }
}

/// Reads a route. If `known_services` is given, the route may refer to no other services.
pub(crate) fn read_route(
    reader: &mut DocumentReader,
    entry: &Entry,
    known_services: Option<&HashSet<Name>>,
) -> Option<Route> {
    // All fields are read before the first `?`, so that all errors are reported.
    let host = read_host(reader, entry, field_names::HOST, entry.get(field_names::HOST));
    let prefix = read_prefix(reader, entry, field_names::PREFIX, entry.get(field_names::PREFIX));
    let repeat_policy = read_repeat_policy(reader, entry);
    let deadline_ms = reader.duration_ms(entry, field_names::DEADLINE, entry.get(field_names::DEADLINE));
    let latency_target_ms = match entry.get(field_names::LATENCY_TARGET) {
        None => deadline_ms,
        target => reader.duration_ms(entry, field_names::LATENCY_TARGET, target),
    };
    let priority = match entry.get(field_names::PRIORITY) {
        None => Some(0),
        class => reader.whole_number(entry, field_names::PRIORITY, class, 0, u32::MAX.into()),
    };
    let max_attempts = reader.whole_number(
        entry,
        field_names::MAX_ATTEMPTS,
        entry.get(field_names::MAX_ATTEMPTS),
        1,
        u32::MAX.into(),
    );
    let services = read_services(reader, entry, known_services);
    let session_header = match entry.get(field_names::SESSION_HEADER) {
        None => Some(None),
        header => read_session_header(reader, entry, header).map(Some),
    };
    Some(Route {
        name: reader.intern(entry.name),
        host: host?,
        prefix: prefix?,
        repeat_policy: repeat_policy?,
        deadline_ms: deadline_ms?,
        latency_target_ms: latency_target_ms?,
        priority: u32::try_from(priority?).ok()?,
        max_attempts: u32::try_from(max_attempts?).ok()?,
        services: services?,
        session_header: session_header?,
        share: None,
    })
}

/// Reads the name of a header that is set by clients and forwarded to the upstream unchanged.
fn read_session_header(
    reader: &mut DocumentReader,
    entry: &Entry,
    value: Option<&JsonValue>,
) -> Option<Name> {
    const FIELD: &str = field_names::SESSION_HEADER;
    let text = reader.name(entry, FIELD, value)?.to_ascii_lowercase();
    let is_token_byte = |byte: u8| byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte);
    if text.is_empty() || text.len() > MAX_SESSION_HEADER_BYTES || !text.bytes().all(is_token_byte) {
        let reason = RefusalReason::InvalidHeaderName { max_bytes: MAX_SESSION_HEADER_BYTES };
        return reader.refuse_field(entry, FIELD, reason);
    }
    if text.starts_with(OWN_HEADER_PREFIX) || RESERVED_HEADERS.contains(&&*text) {
        return reader.refuse_field(entry, FIELD, RefusalReason::ReservedHeader);
    }
    Some(reader.intern(&text))
}

/// Reads and normalizes a host.
pub(crate) fn read_host(
    reader: &mut DocumentReader,
    entry: &Entry,
    field: &str,
    value: Option<&JsonValue>,
) -> Option<Name> {
    let text = reader.name(entry, field, value)?;
    let host = normalized_host(text);
    if host.is_empty() {
        return reader.refuse_field(entry, field, RefusalReason::Empty);
    }
    Some(reader.intern(&host))
}

/// Reads a path prefix.
pub(crate) fn read_prefix(
    reader: &mut DocumentReader,
    entry: &Entry,
    field: &str,
    value: Option<&JsonValue>,
) -> Option<Name> {
    let text = read_path(reader, entry, field, value)?;
    if text.chars().any(char::is_control) {
        return reader.refuse_field(entry, field, RefusalReason::ControlCharacter);
    }
    Some(reader.intern(text))
}

/// Reads the path of a health check, which is copied verbatim into the request line.
fn read_health_path(reader: &mut DocumentReader, entry: &Entry) -> Option<String> {
    const FIELD: &str = field_names::HEALTH_PATH;
    let text = read_path(reader, entry, FIELD, entry.get(FIELD))?;
    if !text.bytes().all(|byte| byte.is_ascii_graphic()) {
        return reader.refuse_field(entry, FIELD, RefusalReason::InvalidPath);
    }
    Some(text.to_string())
}

fn read_path<'v>(
    reader: &mut DocumentReader,
    entry: &Entry,
    field: &str,
    value: Option<&'v JsonValue>,
) -> Option<&'v str> {
    let text = reader.text(entry, field, value)?;
    if !text.starts_with('/') {
        return reader.refuse_field(entry, field, RefusalReason::NoLeadingSlash);
    }
    if text.len() > MAX_PATH_BYTES {
        return reader.refuse_field(entry, field, RefusalReason::TooLong { max_bytes: MAX_PATH_BYTES });
    }
    Some(text)
}

fn read_repeat_policy(reader: &mut DocumentReader, entry: &Entry) -> Option<RepeatPolicy> {
    const FIELD: &str = field_names::REPEAT_POLICY;
    let text = reader.text(entry, FIELD, entry.get(FIELD))?;
    repeat_policy(text)
        .or_else(|| reader.refuse_field(entry, FIELD, RefusalReason::UnknownRouteKind(quoted(text))))
}

/// Reads the services of a route with their weights. If both `line` and `split` are given, the split takes precedence,
/// but the service of the line must still be known.
fn read_services(
    reader: &mut DocumentReader,
    entry: &Entry,
    known_services: Option<&HashSet<Name>>,
) -> Option<Vec<WeightedService>> {
    let (line, split) = (entry.get(field_names::SINGLE_SERVICE), entry.get(field_names::WEIGHTED_SERVICES));
    if line.is_none() && split.is_none() {
        return reader.refuse_field(entry, "", RefusalReason::NoService);
    }
    let single = match line {
        None => None,
        line => {
            let name = read_service_name(reader, entry, field_names::SINGLE_SERVICE, line, known_services)?;
            Some(WeightedService { name, weight: 1.0 })
        }
    };
    match split {
        None => Some(single.into_iter().collect()),
        Some(split) => read_split(reader, entry, split, known_services),
    }
}

fn read_service_name(
    reader: &mut DocumentReader,
    entry: &Entry,
    field: &str,
    value: Option<&JsonValue>,
    known_services: Option<&HashSet<Name>>,
) -> Option<Name> {
    let text = reader.name(entry, field, value)?;
    let Some(known) = known_services else { return Some(reader.intern(text)) };
    match known.get(text) {
        Some(name) => Some(name.clone()),
        None => reader.refuse_field(entry, field, RefusalReason::UnknownService(quoted(text))),
    }
}

/// Reads the parts of a split. The weights of a repeated service are added.
fn read_split(
    reader: &mut DocumentReader,
    entry: &Entry,
    value: &JsonValue,
    known_services: Option<&HashSet<Name>>,
) -> Option<Vec<WeightedService>> {
    const FIELD: &str = field_names::WEIGHTED_SERVICES;
    let Some(parts) = value.as_array() else {
        return reader.refuse_field(entry, FIELD, RefusalReason::WrongType("a list"));
    };
    if parts.is_empty() {
        return reader.refuse_field(entry, FIELD, RefusalReason::Empty);
    }
    if parts.len() > MAX_WEIGHTED_SERVICES {
        return reader.refuse_field(entry, FIELD, RefusalReason::TooMany { max: MAX_WEIGHTED_SERVICES });
    }
    let mut services: Vec<WeightedService> = Vec::with_capacity(parts.len());
    let mut all_valid = true;
    for (index, part) in parts.iter().enumerate() {
        let path = format!("{FIELD}[{index}]");
        let Some(part) = read_split_part(reader, entry, &path, part, known_services) else {
            all_valid = false;
            continue;
        };
        match services.iter_mut().find(|known| known.name == part.name) {
            Some(known) => known.weight += part.weight,
            None => services.push(part),
        }
    }
    if !all_valid {
        return None;
    }
    if services.iter().all(|service| service.weight == 0.0) {
        return reader.refuse_field(entry, FIELD, RefusalReason::ZeroWeights);
    }
    services.shrink_to_fit();
    Some(services)
}

fn read_split_part(
    reader: &mut DocumentReader,
    entry: &Entry,
    path: &str,
    part: &JsonValue,
    known_services: Option<&HashSet<Name>>,
) -> Option<WeightedService> {
    if !part.is_object() {
        return reader.refuse_field(entry, path, RefusalReason::WrongType("an object"));
    }
    let name = read_service_name(
        reader,
        entry,
        &format!("{path}.line"),
        field(part, field_names::SINGLE_SERVICE),
        known_services,
    );
    let weight = reader.number(entry, &format!("{path}.share"), field(part, "share"), MAX_WEIGHT);
    Some(WeightedService { name: name?, weight: weight? })
}

fn read_service(reader: &mut DocumentReader, entry: &Entry) -> Option<Service> {
    let health_path = read_health_path(reader, entry);
    let max_connections = reader.whole_number(
        entry,
        field_names::MAX_CONNECTIONS,
        entry.get(field_names::MAX_CONNECTIONS),
        1,
        u32::MAX.into(),
    );
    let deduplicates = match entry.get(field_names::DEDUPLICATES) {
        None => Some(false),
        Some(value) => value.as_bool().or_else(|| {
            reader.refuse_field(entry, field_names::DEDUPLICATES, RefusalReason::WrongType("true or false"))
        }),
    };
    Some(Service {
        name: reader.intern(entry.name),
        health_path: health_path?,
        max_connections: u32::try_from(max_connections?).ok()?,
        deduplicates: deduplicates?,
    })
}

/// Reads the limits. An invalid field is refused and replaced by its default.
fn read_limits(reader: &mut DocumentReader, entry: &Entry) -> Limits {
    let mut limits = Limits::default();
    if let size @ Some(_) = entry.get(field_names::MAX_HEADER_BYTES) {
        let read = reader.whole_number(entry, field_names::MAX_HEADER_BYTES, size, 1, MAX_SIZE_BYTES);
        limits.max_header_bytes = read.unwrap_or(limits.max_header_bytes);
    }
    if let size @ Some(_) = entry.get(field_names::MAX_BODY_BYTES) {
        let read = reader.whole_number(entry, field_names::MAX_BODY_BYTES, size, 0, MAX_SIZE_BYTES);
        limits.max_body_bytes = read.unwrap_or(limits.max_body_bytes);
    }
    if let time @ Some(_) = entry.get(field_names::HEADER_TIMEOUT) {
        let read = reader.duration_ms(entry, field_names::HEADER_TIMEOUT, time);
        limits.header_timeout_ms = read.unwrap_or(limits.header_timeout_ms);
    }
    if let time @ Some(_) = entry.get(field_names::IDLE_TIMEOUT) {
        let read = reader.duration_ms(entry, field_names::IDLE_TIMEOUT, time);
        limits.idle_timeout_ms = read.unwrap_or(limits.idle_timeout_ms);
    }
    limits
}
