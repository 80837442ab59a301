//! The operators' timetable: routes, services and limits of one version, read by hand from JSON values and checked
//! whole. It owns what counts as valid and which route a request takes. It must never take in a part of a document,
//! never change one once read, and never panic, whatever the bytes are.

use std::borrow::Cow;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::fmt;
use std::sync::Arc;

use jzon::JsonValue;

/// One text, kept once however many entries name it.
pub type Name = Arc<str>;

const MOST_BYTES: usize = 32 << 20;
const MOST_ENTRIES: usize = 20_000;
/// Read values take far more memory than their text, so their number is bounded before any is read.
const MOST_VALUES: usize = 1_000_000;
const MOST_DIGITS: usize = 400;
const MOST_IN_SPLIT: usize = 1_000;
const MOST_REFUSALS: usize = 100;
const NAME_BYTES: usize = 256;
const SESSION_BYTES: usize = 64;
const NOT_SESSION: [&str; 13] = [
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
    "date",
    "x-call-id",
];
const PREFIX_BYTES: usize = 1_024;
/// About 31 years; sums of such times stay far from overflow.
const MOST_MS: u64 = 1_000_000_000_000;
const MOST_SHARE: u64 = 1_000_000_000_000;
const MOST_SIZE: u64 = 1_000_000_000_000_000;

/// What may be repeated on a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    Resendable,
    OnceOnly,
    Registered,
    OutboundPost,
}

impl Kind {
    /// Whether a request may run more than once.
    pub fn repeatable(self) -> bool {
        matches!(self, Kind::Resendable | Kind::OutboundPost)
    }

    fn from_word(word: &str) -> Option<Kind> {
        [Kind::Resendable, Kind::OnceOnly, Kind::Registered, Kind::OutboundPost]
            .into_iter()
            .find(|kind| kind.word() == word)
    }

    fn word(self) -> &'static str {
        match self {
            Kind::Resendable => "resendable",
            Kind::OnceOnly => "once_only",
            Kind::Registered => "registered",
            Kind::OutboundPost => "outbound_post",
        }
    }
}

impl fmt::Display for Kind {
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
    pub kind: Kind,
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
pub struct Timetable {
    pub version: u64,
    routes: Vec<Arc<Route>>,
    services: BTreeMap<Name, Service>,
    limits: Limits,
    hosts: HashMap<Name, Host>,
}

impl Timetable {
    /// Reads a whole configuration, or tells what is wrong with it, in the document's order.
    pub fn read(bytes: &[u8]) -> Result<Timetable, Vec<Refusal>> {
        let document = parse(bytes).map_err(|why| vec![Refusal { place: "document".into(), why }])?;
        let mut reader = Reader::default();
        let read = reader.document(&document);
        match read {
            Some(timetable) if reader.refusals.is_empty() => Ok(timetable),
            _ => Err(reader.finish()),
        }
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

/// Something that makes a configuration invalid, and where it stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    pub place: String,
    pub why: Why,
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.place, self.why)
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Why {
    /// More bytes than the number given.
    Long(usize),
    /// More entries or values than the number given.
    Many(usize),
    NotUtf8,
    CutShort,
    Stray {
        ch: char,
        line: usize,
        column: usize,
    },
    Deep,
    /// A number of more digits than any has.
    Digits,
    Missing,
    /// Not of the kind named.
    Not(&'static str),
    Empty,
    /// Holds a control character.
    Control,
    Version(String),
    NoSlash,
    /// No name of a header, or too long for one.
    NoField,
    /// One that is ours, or belongs to a connection.
    OurField,
    /// A health path that can't stand in a request.
    Path,
    Kind(String),
    NotPositive,
    Negative,
    Fraction,
    Above(u64),
    /// Neither `line` nor `split`.
    NoLine,
    /// A split whose shares come to nothing.
    NoShare,
    Unknown(String),
    /// The entry of this number has the same host and prefix.
    SamePlace(usize),
    /// Given before, and otherwise.
    Twice,
    /// Further refusals than those told.
    More(usize),
}

impl fmt::Display for Why {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Why::Long(most) => write!(f, "is longer than {most} bytes"),
            Why::Many(most) => write!(f, "holds more than {most}"),
            Why::NotUtf8 => f.write_str("is not UTF-8"),
            Why::CutShort => f.write_str("ends too early"),
            Why::Stray { ch, line, column } => {
                write!(f, "is no JSON: {ch:?} at line {line}, column {column}")
            }
            Why::Deep => f.write_str("is nested too deeply"),
            Why::Digits => write!(f, "has a number of more than {MOST_DIGITS} digits"),
            Why::Missing => f.write_str("is missing"),
            Why::Not(kind) => write!(f, "is not {kind}"),
            Why::Empty => f.write_str("is empty"),
            Why::Control => f.write_str("holds a control character"),
            Why::Version(text) => write!(f, "is {text}, not r and a number"),
            Why::NoSlash => f.write_str("does not begin with a slash"),
            Why::NoField => write!(f, "is no header's name of up to {SESSION_BYTES} characters"),
            Why::OurField => f.write_str("is a header that no client sets for itself"),
            Why::Path => f.write_str("is no path that can be asked for"),
            Why::Kind(text) => {
                write!(f, "is {text}, none of resendable, once_only, registered, outbound_post")
            }
            Why::NotPositive => f.write_str("is not above 0"),
            Why::Negative => f.write_str("is below 0"),
            Why::Fraction => f.write_str("is not a whole number"),
            Why::Above(most) => write!(f, "is above {most}"),
            Why::NoLine => f.write_str("has neither line nor split"),
            Why::NoShare => f.write_str("has shares that come to 0"),
            Why::Unknown(name) => write!(f, "names {name}, which is not among the mail_lines"),
            Why::SamePlace(other) => write!(f, "has the host and the prefix of consignments[{other}]"),
            Why::Twice => f.write_str("is given twice, and not alike"),
            Why::More(count) => write!(f, "has {count} more errors"),
        }
    }
}

/// A stranger's text as it may stand in a line of a log.
fn quoted(text: &str) -> String {
    const MOST: usize = 64;
    match text.char_indices().nth(MOST) {
        Some((end, _)) => format!("{:?}...", text.get(..end).unwrap_or_default()),
        None => format!("{text:?}"),
    }
}

fn parse(bytes: &[u8]) -> Result<JsonValue, Why> {
    if bytes.len() > MOST_BYTES {
        return Err(Why::Long(MOST_BYTES));
    }
    measure(bytes)?;
    let text = std::str::from_utf8(bytes).map_err(|_| Why::NotUtf8)?;
    jzon::parse(text).map_err(|error| match error {
        jzon::Error::UnexpectedCharacter { ch, line, column } => Why::Stray { ch, line, column },
        jzon::Error::UnexpectedEndOfJson => Why::CutShort,
        jzon::Error::ExceededDepthLimit => Why::Deep,
        jzon::Error::FailedUtf8Parsing => Why::NotUtf8,
        jzon::Error::WrongType(_) => Why::Not("JSON"),
    })
}

/// Bounds what reading would take: the values, and the digits of a number (the parser's exponent can overflow).
fn measure(bytes: &[u8]) -> Result<(), Why> {
    let (mut quote, mut escape, mut values, mut digits) = (false, false, 1, 0);
    for byte in bytes {
        if quote {
            match byte {
                _ if escape => escape = false,
                b'\\' => escape = true,
                b'"' => quote = false,
                _ => {}
            }
            continue;
        }
        digits = if byte.is_ascii_digit() { digits + 1 } else { 0 };
        match byte {
            b'"' => quote = true,
            b',' | b'[' | b'{' => values += 1,
            _ => {}
        }
        if digits > MOST_DIGITS {
            return Err(Why::Digits);
        }
        if values > MOST_VALUES {
            return Err(Why::Many(MOST_VALUES));
        }
    }
    Ok(())
}

/// A field that is there; null counts as absent.
fn field<'v>(value: &'v JsonValue, key: &str) -> Option<&'v JsonValue> {
    value.as_object()?.get(key).filter(|found| !found.is_null())
}

/// The entry being read, for telling a place.
#[derive(Clone, Copy)]
struct Entry<'v> {
    index: usize,
    category: &'v str,
    name: &'v str,
    manifest: &'v JsonValue,
}

impl Entry<'_> {
    fn place(&self, field: &str) -> String {
        let dot = if field.is_empty() { "" } else { "." };
        match (self.category, self.name) {
            ("", _) => format!("consignments[{}]{dot}{field}", self.index),
            (category, "") => format!("consignments[{}] ({category}){dot}{field}", self.index),
            (category, name) => {
                let name: String = name.chars().take(64).flat_map(char::escape_debug).collect();
                format!("consignments[{}] ({category} {name}){dot}{field}", self.index)
            }
        }
    }
}

/// Reads on past errors, so that an operator is told all of them. What returns `None` has told why, or was absent
/// where it may be.
#[derive(Default)]
struct Reader {
    names: HashSet<Name>,
    known: HashSet<Name>,
    refusals: Vec<Refusal>,
    more: usize,
}

impl Reader {
    fn finish(mut self) -> Vec<Refusal> {
        if self.more > 0 {
            self.refusals.push(Refusal { place: "document".into(), why: Why::More(self.more) });
        }
        self.refusals
    }

    /// The place is made only when it is told.
    fn refuse<T>(&mut self, why: Why, place: impl FnOnce() -> String) -> Option<T> {
        if self.refusals.len() < MOST_REFUSALS {
            self.refusals.push(Refusal { place: place(), why });
        } else {
            self.more += 1;
        }
        None
    }

    fn wrong<T>(&mut self, entry: &Entry, field: &str, why: Why) -> Option<T> {
        self.refuse(why, || entry.place(field))
    }

    fn name(&mut self, text: &str) -> Name {
        if let Some(name) = self.names.get(text) {
            return name.clone();
        }
        let name = Name::from(text);
        self.names.insert(name.clone());
        name
    }

    fn document(&mut self, document: &JsonValue) -> Option<Timetable> {
        if !document.is_object() {
            return self.refuse(Why::Not("an object"), || "document".into());
        }
        let version = self.version(field(document, "edition"));
        let entries = match field(document, "consignments") {
            None => return self.refuse(Why::Missing, || "consignments".into()),
            Some(list) => match list.as_array() {
                None => return self.refuse(Why::Not("a list"), || "consignments".into()),
                Some(entries) if entries.len() > MOST_ENTRIES => {
                    return self.refuse(Why::Many(MOST_ENTRIES), || "consignments".into());
                }
                Some(entries) => entries,
            },
        };
        // A service may stand after the routes that name it.
        for entry in entries {
            let category = field(entry, "category").and_then(JsonValue::as_str);
            let name =
                field(entry, "label").and_then(|label| field(label, "name")).and_then(JsonValue::as_str);
            if let (Some("mail_lines"), Some(name)) = (category, name) {
                let name = self.name(name);
                self.known.insert(name);
            }
        }
        let mut routes = Vec::new();
        let mut places = HashMap::new();
        let mut services = BTreeMap::new();
        let mut limits = None;
        for (index, entry) in entries.iter().enumerate() {
            let Some(entry) = self.entry(index, entry) else { continue };
            match entry.category {
                "routes" => {
                    if let Some(route) = self.route(&entry) {
                        let place = (route.host.clone(), route.prefix.clone());
                        match places.insert(place, index) {
                            Some(other) => {
                                self.wrong::<()>(&entry, "", Why::SamePlace(other));
                            }
                            None => routes.push(Arc::new(route)),
                        }
                    }
                }
                "mail_lines" => {
                    if let Some(service) = self.service(&entry) {
                        match services.get(&service.name) {
                            Some(before) if *before != service => {
                                self.wrong::<()>(&entry, "", Why::Twice);
                            }
                            _ => {
                                services.insert(service.name.clone(), service);
                            }
                        }
                    }
                }
                _ => {
                    let read = self.limits(&entry);
                    if limits.is_some_and(|before| before != read) {
                        self.wrong::<()>(&entry, "", Why::Twice);
                    }
                    limits = Some(read);
                }
            }
        }
        let mut hosts: HashMap<Name, Host> = HashMap::new();
        for route in &routes {
            hosts.entry(route.host.clone()).or_default().add(route);
        }
        hosts.values_mut().for_each(Host::order);
        hosts.shrink_to_fit();
        routes.shrink_to_fit();
        Some(Timetable { version: version?, routes, services, limits: limits.unwrap_or_default(), hosts })
    }

    fn version(&mut self, value: Option<&JsonValue>) -> Option<u64> {
        let place = || "edition".to_string();
        let Some(value) = value else { return self.refuse(Why::Missing, place) };
        let Some(text) = value.as_str() else { return self.refuse(Why::Not("text"), place) };
        let digits = text.strip_prefix('r').unwrap_or_default();
        if !digits.bytes().all(|byte| byte.is_ascii_digit()) {
            return self.refuse(Why::Version(quoted(text)), place);
        }
        match digits.parse() {
            Ok(version) => Some(version),
            Err(_) => self.refuse(Why::Version(quoted(text)), place),
        }
    }

    /// What every entry has in common; `None` too for a category that isn't known here.
    fn entry<'v>(&mut self, index: usize, value: &'v JsonValue) -> Option<Entry<'v>> {
        let mut entry = Entry { index, category: "", name: "", manifest: value };
        if !value.is_object() {
            return self.wrong(&entry, "", Why::Not("an object"));
        }
        let category = self.text(&entry, "category", field(value, "category"))?;
        if !["routes", "mail_lines", "limits"].contains(&category) {
            return None;
        }
        entry.category = category;
        let label = field(value, "label");
        if label.is_some_and(|label| !label.is_object()) {
            return self.wrong(&entry, "label", Why::Not("an object"));
        }
        if category != "limits" {
            let name = label.and_then(|label| field(label, "name"));
            entry.name = self.word(&entry, "label.name", name)?;
        }
        match field(value, "manifest") {
            None => self.wrong(&entry, "manifest", Why::Missing),
            Some(manifest) if !manifest.is_object() => self.wrong(&entry, "manifest", Why::Not("an object")),
            Some(manifest) => Some(Entry { manifest, ..entry }),
        }
    }

    fn route(&mut self, entry: &Entry) -> Option<Route> {
        let get = |key| field(entry.manifest, key);
        // Each field is read before any is missed, so that all errors are told.
        let host = self.host(entry, get("depot"));
        let prefix = self.prefix(entry, get("lane_prefix"));
        let kind = self.kind(entry, get("route_kind"));
        let deadline_ms = self.ms(entry, "manifest.deadline_ms", get("deadline_ms"));
        let target_ms = match get("target_ms") {
            None => deadline_ms,
            some => self.ms(entry, "manifest.target_ms", some),
        };
        let rank = match get("post_class") {
            None => Some(0),
            some => self.whole(entry, "manifest.post_class", some, 0, u32::MAX.into()),
        };
        let tries = self.whole(entry, "manifest.tries", get("tries"), 1, u32::MAX.into());
        let lines = self.lines(entry, get("line"), get("split"));
        let session = match get("session") {
            None => Some(None),
            some => self.session(entry, some).map(Some),
        };
        Some(Route {
            name: self.name(entry.name),
            host: host?,
            prefix: prefix?,
            kind: kind?,
            deadline_ms: deadline_ms?,
            target_ms: target_ms?,
            rank: u32::try_from(rank?).ok()?,
            tries: u32::try_from(tries?).ok()?,
            lines: lines?,
            session: session?,
        })
    }

    fn host(&mut self, entry: &Entry, value: Option<&JsonValue>) -> Option<Name> {
        let text = self.word(entry, "manifest.depot", value)?;
        let host = bare(text);
        if host.is_empty() {
            return self.wrong(entry, "manifest.depot", Why::Empty);
        }
        Some(self.name(&host))
    }

    fn prefix(&mut self, entry: &Entry, value: Option<&JsonValue>) -> Option<Name> {
        const FIELD: &str = "manifest.lane_prefix";
        let text = self.text(entry, FIELD, value)?;
        if !text.starts_with('/') {
            return self.wrong(entry, FIELD, Why::NoSlash);
        }
        if text.len() > PREFIX_BYTES {
            return self.wrong(entry, FIELD, Why::Long(PREFIX_BYTES));
        }
        if text.chars().any(char::is_control) {
            return self.wrong(entry, FIELD, Why::Control);
        }
        Some(self.name(text))
    }

    /// A field that clients set and that goes on to the upstream as it came.
    fn session(&mut self, entry: &Entry, value: Option<&JsonValue>) -> Option<Name> {
        const FIELD: &str = "manifest.session";
        let text = self.word(entry, FIELD, value)?.to_ascii_lowercase();
        let sign = |b: u8| b.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&b);
        if text.is_empty() || text.len() > SESSION_BYTES || !text.bytes().all(sign) {
            return self.wrong(entry, FIELD, Why::NoField);
        }
        if text.starts_with("ochreshed-") || NOT_SESSION.contains(&&*text) {
            return self.wrong(entry, FIELD, Why::OurField);
        }
        Some(self.name(&text))
    }

    fn kind(&mut self, entry: &Entry, value: Option<&JsonValue>) -> Option<Kind> {
        const FIELD: &str = "manifest.route_kind";
        let text = self.text(entry, FIELD, value)?;
        match Kind::from_word(text) {
            None => self.wrong(entry, FIELD, Why::Kind(quoted(text))),
            kind => kind,
        }
    }

    /// Where both are given the split holds, but the line must be known all the same: the route names it.
    fn lines(
        &mut self,
        entry: &Entry,
        line: Option<&JsonValue>,
        split: Option<&JsonValue>,
    ) -> Option<Vec<(Name, f64)>> {
        if line.is_none() && split.is_none() {
            return self.wrong(entry, "manifest", Why::NoLine);
        }
        let line = match line {
            None => None,
            some => Some((self.line(entry, "manifest.line", some)?, 1.0)),
        };
        match split {
            None => Some(line.into_iter().collect()),
            Some(split) => self.split(entry, split),
        }
    }

    fn line(&mut self, entry: &Entry, place: &str, value: Option<&JsonValue>) -> Option<Name> {
        let text = self.word(entry, place, value)?;
        match self.known.get(text) {
            Some(name) => Some(name.clone()),
            None => self.wrong(entry, place, Why::Unknown(quoted(text))),
        }
    }

    fn split(&mut self, entry: &Entry, value: &JsonValue) -> Option<Vec<(Name, f64)>> {
        const FIELD: &str = "manifest.split";
        let Some(parts) = value.as_array() else { return self.wrong(entry, FIELD, Why::Not("a list")) };
        if parts.is_empty() {
            return self.wrong(entry, FIELD, Why::Empty);
        }
        if parts.len() > MOST_IN_SPLIT {
            return self.wrong(entry, FIELD, Why::Many(MOST_IN_SPLIT));
        }
        let mut lines: Vec<(Name, f64)> = Vec::with_capacity(parts.len());
        let mut whole = true;
        for (index, part) in parts.iter().enumerate() {
            let place = |key: &str| format!("{FIELD}[{index}]{key}");
            if !part.is_object() {
                self.wrong::<()>(entry, &place(""), Why::Not("an object"));
                whole = false;
                continue;
            }
            let line = self.line(entry, &place(".line"), field(part, "line"));
            let share = self.number(entry, &place(".share"), field(part, "share"), MOST_SHARE);
            match (line, share) {
                (Some(line), Some(share)) => match lines.iter_mut().find(|(name, _)| *name == line) {
                    Some((_, sum)) => *sum += share,
                    None => lines.push((line, share)),
                },
                _ => whole = false,
            }
        }
        if !whole {
            return None;
        }
        if lines.iter().all(|(_, share)| *share == 0.0) {
            return self.wrong(entry, FIELD, Why::NoShare);
        }
        lines.shrink_to_fit();
        Some(lines)
    }

    fn service(&mut self, entry: &Entry) -> Option<Service> {
        let get = |key| field(entry.manifest, key);
        let health = self.health(entry, get("health"));
        let berth_cap = self.whole(entry, "manifest.berth_cap", get("berth_cap"), 1, u32::MAX.into());
        let dedupes = match get("dedupes") {
            None => Some(false),
            Some(value) => match value.as_bool() {
                None => self.wrong(entry, "manifest.dedupes", Why::Not("true or false")),
                some => some,
            },
        };
        Some(Service {
            name: self.name(entry.name),
            health: health?,
            berth_cap: u32::try_from(berth_cap?).ok()?,
            dedupes: dedupes?,
        })
    }

    /// It goes into a request's first line as it is.
    fn health(&mut self, entry: &Entry, value: Option<&JsonValue>) -> Option<String> {
        const FIELD: &str = "manifest.health";
        let text = self.text(entry, FIELD, value)?;
        if !text.starts_with('/') {
            return self.wrong(entry, FIELD, Why::NoSlash);
        }
        if text.len() > PREFIX_BYTES {
            return self.wrong(entry, FIELD, Why::Long(PREFIX_BYTES));
        }
        if !text.bytes().all(|byte| byte.is_ascii_graphic()) {
            return self.wrong(entry, FIELD, Why::Path);
        }
        Some(text.to_string())
    }

    /// A field that is wrong is told, and its default stands in for it.
    fn limits(&mut self, entry: &Entry) -> Limits {
        let get = |key| field(entry.manifest, key);
        let mut limits = Limits::default();
        if let size @ Some(_) = get("label_bytes") {
            let read = self.whole(entry, "manifest.label_bytes", size, 1, MOST_SIZE);
            limits.label_bytes = read.unwrap_or(limits.label_bytes);
        }
        if let size @ Some(_) = get("parcel_bytes") {
            let read = self.whole(entry, "manifest.parcel_bytes", size, 0, MOST_SIZE);
            limits.parcel_bytes = read.unwrap_or(limits.parcel_bytes);
        }
        if let time @ Some(_) = get("label_ms") {
            limits.label_ms = self.ms(entry, "manifest.label_ms", time).unwrap_or(limits.label_ms);
        }
        if let time @ Some(_) = get("idle_ms") {
            limits.idle_ms = self.ms(entry, "manifest.idle_ms", time).unwrap_or(limits.idle_ms);
        }
        limits
    }

    fn text<'v>(&mut self, entry: &Entry, place: &str, value: Option<&'v JsonValue>) -> Option<&'v str> {
        let Some(value) = value else { return self.wrong(entry, place, Why::Missing) };
        match value.as_str() {
            None => self.wrong(entry, place, Why::Not("text")),
            text => text,
        }
    }

    /// A text that names something.
    fn word<'v>(&mut self, entry: &Entry, place: &str, value: Option<&'v JsonValue>) -> Option<&'v str> {
        let text = self.text(entry, place, value)?;
        if text.is_empty() {
            self.wrong(entry, place, Why::Empty)
        } else if text.len() > NAME_BYTES {
            self.wrong(entry, place, Why::Long(NAME_BYTES))
        } else if text.chars().any(char::is_control) {
            self.wrong(entry, place, Why::Control)
        } else {
            Some(text)
        }
    }

    /// A number from 0 to `most`.
    fn number(&mut self, entry: &Entry, place: &str, value: Option<&JsonValue>, most: u64) -> Option<f64> {
        let Some(value) = value else { return self.wrong(entry, place, Why::Missing) };
        let Some(number) = value.as_number() else { return self.wrong(entry, place, Why::Not("a number")) };
        let (positive, mantissa, exponent) = number.as_parts();
        let Ok(size) = format!("{mantissa}e{exponent}").parse::<f64>() else {
            return self.wrong(entry, place, Why::Not("a number"));
        };
        // A minus before a number too small to hold is still a minus.
        if !positive && mantissa > 0 {
            return self.wrong(entry, place, Why::Negative);
        }
        // Every bound is far below the whole numbers that a float can't tell apart.
        if size > most as f64 {
            return self.wrong(entry, place, Why::Above(most));
        }
        Some(size)
    }

    fn whole(
        &mut self,
        entry: &Entry,
        place: &str,
        value: Option<&JsonValue>,
        least: u64,
        most: u64,
    ) -> Option<u64> {
        let number = self.number(entry, place, value, most)?;
        if number.fract() != 0.0 {
            return self.wrong(entry, place, Why::Fraction);
        }
        if (number as u64) < least {
            return self.wrong(entry, place, Why::NotPositive);
        }
        Some(number as u64)
    }

    /// A time above 0, in whole milliseconds; a fraction is dropped.
    fn ms(&mut self, entry: &Entry, place: &str, value: Option<&JsonValue>) -> Option<u64> {
        let number = self.number(entry, place, value, MOST_MS)?;
        if number <= 0.0 {
            return self.wrong(entry, place, Why::NotPositive);
        }
        Some((number as u64).max(1))
    }
}

/// What an operator would see change from one version to another, a line for each field.
pub fn differences(old: &Timetable, new: &Timetable) -> Vec<String> {
    let mut lines = Vec::new();
    let edition = |timetable: &Timetable| Some(vec![("edition", format!("r{}", timetable.version))]);
    compare(&mut lines, "timetable", edition(old), edition(new));
    for ((name, _), old, new) in paired(by_name(old), by_name(new)) {
        compare(&mut lines, &format!("route {name}"), old.map(route_facts), new.map(route_facts));
    }
    let (before, after) = (&old.services, &new.services);
    for (name, old, new) in paired(before.iter().collect(), after.iter().collect()) {
        compare(&mut lines, &format!("service {name}"), old.map(service_facts), new.map(service_facts));
    }
    compare(&mut lines, "limits", Some(limit_facts(&old.limits)), Some(limit_facts(&new.limits)));
    lines
}

/// A field and its value, as an operator reads them.
type Fact = (&'static str, String);

/// Routes by name; a name may stand for several, told apart by their order.
fn by_name(timetable: &Timetable) -> BTreeMap<(Name, usize), &Route> {
    let mut counts: HashMap<Name, usize> = HashMap::new();
    let mut routes = BTreeMap::new();
    for route in timetable.routes() {
        let count = counts.entry(route.name.clone()).or_default();
        *count += 1;
        routes.insert((route.name.clone(), *count), &**route);
    }
    routes
}

fn paired<K: Ord + Clone, V>(
    mut old: BTreeMap<K, V>,
    mut new: BTreeMap<K, V>,
) -> Vec<(K, Option<V>, Option<V>)> {
    let mut keys: Vec<K> = old.keys().chain(new.keys()).cloned().collect();
    keys.sort();
    keys.dedup();
    keys.into_iter().map(|key| (key.clone(), old.remove(&key), new.remove(&key))).collect()
}

fn compare(lines: &mut Vec<String>, what: &str, old: Option<Vec<Fact>>, new: Option<Vec<Fact>>) {
    let all = |facts: Vec<Fact>| -> String {
        let facts: Vec<String> = facts.into_iter().map(|(field, value)| format!("{field} {value}")).collect();
        facts.join(", ")
    };
    match (old, new) {
        (Some(old), Some(new)) => {
            // A field that is not given stands for none.
            let (old, mut new) = (old, new.into_iter().collect::<Vec<Fact>>());
            let mut differs = |field: &str, old: &str, new: &str| {
                if old != new {
                    lines.push(format!("{what}: {field} from {old} to {new}"));
                }
            };
            for (field, old) in old {
                let at = new.iter().position(|(other, _)| *other == field);
                differs(field, &old, &at.map_or_else(|| "none".into(), |at| new.remove(at).1));
            }
            new.iter().for_each(|(field, new)| differs(field, "none", new));
        }
        (Some(old), None) => lines.push(format!("{what} removed: {}", all(old))),
        (None, Some(new)) => lines.push(format!("{what} added: {}", all(new))),
        (None, None) => {}
    }
}

fn route_facts(route: &Route) -> Vec<Fact> {
    let lines: Vec<String> = route.lines.iter().map(|(name, share)| format!("{name} {share}")).collect();
    let mut facts = vec![
        ("depot", route.host.to_string()),
        ("lane_prefix", route.prefix.to_string()),
        ("route_kind", route.kind.to_string()),
        ("deadline_ms", route.deadline_ms.to_string()),
        ("target_ms", route.target_ms.to_string()),
        ("post_class", route.rank.to_string()),
        ("tries", route.tries.to_string()),
        ("lines", format!("[{}]", lines.join(", "))),
    ];
    facts.extend(route.session.iter().map(|session| ("session", session.to_string())));
    facts
}

fn service_facts(service: &Service) -> Vec<Fact> {
    vec![
        ("health", service.health.clone()),
        ("berth_cap", service.berth_cap.to_string()),
        ("dedupes", service.dedupes.to_string()),
    ]
}

fn limit_facts(limits: &Limits) -> Vec<Fact> {
    vec![
        ("label_bytes", limits.label_bytes.to_string()),
        ("parcel_bytes", limits.parcel_bytes.to_string()),
        ("label_ms", limits.label_ms.to_string()),
        ("idle_ms", limits.idle_ms.to_string()),
    ]
}
