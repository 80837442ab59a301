//! Reads documents by hand from JSON values: the timetable, and the parts that members' documents have in common with it.
//! It owns their bounds and what counts as valid. It must never take in a part of a document, nor panic, whatever the
//! bytes are.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

use jzon::JsonValue;

use super::refusal::quoted;
use super::{Configuration, Limits, Name, Refusal, RefusalReason, RepeatPolicy, Route, Service, bare};

const MOST_BYTES: usize = 32 << 20;
pub(crate) const MOST_ENTRIES: usize = 20_000;
/// Read values take far more memory than their text, so their number is bounded before any is read.
const MOST_VALUES: usize = 1_000_000;
pub(super) const MOST_DIGITS: usize = 400;
const MOST_IN_SPLIT: usize = 1_000;
const MOST_REFUSALS: usize = 100;
const NAME_BYTES: usize = 256;
pub const SESSION_BYTES: usize = 64;
/// Fields of a connection or of a body, which no person has.
const NOT_SESSION: [&str; 11] = [
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
const PREFIX_BYTES: usize = 1_024;
/// About 31 years; sums of such times stay far from overflow.
pub(crate) const MOST_MS: u64 = 1_000_000_000_000;
const MOST_SHARE: u64 = 1_000_000_000_000;
const MOST_SIZE: u64 = 1_000_000_000_000_000;

/// A document that is valid as a whole, or all that is wrong with it, in its order.
pub(crate) fn whole<D>(
    bytes: &[u8],
    read: impl FnOnce(&mut Reader, &JsonValue) -> Option<D>,
) -> Result<D, Vec<Refusal>> {
    let document = parse(bytes).map_err(|why| vec![Refusal { place: "document".into(), why }])?;
    let mut reader = Reader::default();
    match read(&mut reader, &document) {
        Some(read) if reader.refusals.is_empty() => Ok(read),
        _ => Err(reader.finish()),
    }
}

fn parse(bytes: &[u8]) -> Result<JsonValue, RefusalReason> {
    if bytes.len() > MOST_BYTES {
        return Err(RefusalReason::Long(MOST_BYTES));
    }
    measure(bytes)?;
    let text = std::str::from_utf8(bytes).map_err(|_| RefusalReason::NotUtf8)?;
    jzon::parse(text).map_err(|error| match error {
        jzon::Error::UnexpectedCharacter { ch, line, column } => RefusalReason::Stray { ch, line, column },
        jzon::Error::UnexpectedEndOfJson => RefusalReason::CutShort,
        jzon::Error::ExceededDepthLimit => RefusalReason::Deep,
        jzon::Error::FailedUtf8Parsing => RefusalReason::NotUtf8,
        jzon::Error::WrongType(_) => RefusalReason::Not("JSON"),
    })
}

/// Bounds what reading would take: the values, and the digits of a number (the parser's exponent can overflow).
fn measure(bytes: &[u8]) -> Result<(), RefusalReason> {
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
            return Err(RefusalReason::Digits);
        }
        if values > MOST_VALUES {
            return Err(RefusalReason::Many(MOST_VALUES));
        }
    }
    Ok(())
}

/// A field that is there; null counts as absent.
pub(crate) fn field<'v>(value: &'v JsonValue, key: &str) -> Option<&'v JsonValue> {
    value.as_object()?.get(key).filter(|found| !found.is_null())
}

/// The entry being read, for telling a place.
#[derive(Clone, Copy)]
pub(crate) struct Entry<'v> {
    /// The list that it stands in; empty for the document itself.
    pub list: &'static str,
    pub index: usize,
    pub category: &'v str,
    pub name: &'v str,
    /// Where in the entry its fields stand.
    pub within: &'static str,
    pub fields: &'v JsonValue,
}

impl<'v> Entry<'v> {
    /// One whose fields stand in itself.
    pub fn new(list: &'static str, index: usize, fields: &'v JsonValue) -> Entry<'v> {
        Entry { list, index, category: "", name: "", within: "", fields }
    }

    /// The entry itself, for what is wrong with none of its fields.
    fn all(self) -> Entry<'v> {
        Entry { within: "", ..self }
    }

    pub fn get(&self, key: &str) -> Option<&'v JsonValue> {
        field(self.fields, key)
    }

    fn place(&self, field: &str) -> String {
        let named = match (self.category, self.name) {
            ("", "") => String::new(),
            ("", name) => format!(" ({})", cut(name)),
            (category, "") => format!(" ({category})"),
            (category, name) => format!(" ({category} {})", cut(name)),
        };
        let entry = if self.list.is_empty() {
            String::new()
        } else {
            format!("{}[{}]{named}", self.list, self.index)
        };
        let steps = [&entry, self.within, field].into_iter().filter(|step| !step.is_empty());
        steps.collect::<Vec<_>>().join(".")
    }
}

/// A name as it may stand in a place.
pub(crate) fn cut(name: &str) -> String {
    name.chars().take(64).flat_map(char::escape_debug).collect()
}

/// Reads on past errors, so that an operator is told all of them. What returns `None` has told why, or was absent
/// where it may be.
#[derive(Default)]
pub(crate) struct Reader {
    names: HashSet<Name>,
    /// The services that may be named; any, where there is none.
    known: Option<HashSet<Name>>,
    refusals: Vec<Refusal>,
    more: usize,
}

impl Reader {
    fn finish(mut self) -> Vec<Refusal> {
        if self.more > 0 {
            self.refusals.push(Refusal { place: "document".into(), why: RefusalReason::More(self.more) });
        }
        self.refusals
    }

    /// The place is made only when it is told.
    pub fn refuse<T>(&mut self, why: RefusalReason, place: impl FnOnce() -> String) -> Option<T> {
        if self.refusals.len() < MOST_REFUSALS {
            self.refusals.push(Refusal { place: place(), why });
        } else {
            self.more += 1;
        }
        None
    }

    pub fn wrong<T>(&mut self, entry: &Entry, field: &str, why: RefusalReason) -> Option<T> {
        self.refuse(why, || entry.place(field))
    }

    pub fn name(&mut self, text: &str) -> Name {
        if let Some(name) = self.names.get(text) {
            return name.clone();
        }
        let name = Name::from(text);
        self.names.insert(name.clone());
        name
    }

    /// The edition of a document and the entries of its list; these are read on where the edition is wrong.
    pub fn document<'v>(
        &mut self,
        document: &'v JsonValue,
        list: &'static str,
        most: usize,
    ) -> Option<(Option<u64>, &'v [JsonValue])> {
        if !document.is_object() {
            return self.refuse(RefusalReason::Not("an object"), || "document".into());
        }
        let version = self.version(field(document, "edition"));
        let Some(entries) = field(document, list) else {
            return self.refuse(RefusalReason::Missing, || list.into());
        };
        match entries.as_array() {
            None => self.refuse(RefusalReason::Not("a list"), || list.into()),
            Some(entries) if entries.len() > most => self.refuse(RefusalReason::Many(most), || list.into()),
            Some(entries) => Some((version, entries)),
        }
    }

    pub fn timetable(&mut self, document: &JsonValue) -> Option<Configuration> {
        let (version, entries) = self.document(document, "consignments", MOST_ENTRIES)?;
        // A service may stand after the routes that name it.
        let mut known = HashSet::new();
        for entry in entries {
            let category = field(entry, "category").and_then(JsonValue::as_str);
            let name =
                field(entry, "label").and_then(|label| field(label, "name")).and_then(JsonValue::as_str);
            if let (Some("mail_lines"), Some(name)) = (category, name) {
                known.insert(self.name(name));
            }
        }
        self.known = Some(known);
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
                                self.wrong::<()>(&entry.all(), "", RefusalReason::SamePlace(other));
                            }
                            None => routes.push(Arc::new(route)),
                        }
                    }
                }
                "mail_lines" => {
                    if let Some(service) = self.service(&entry) {
                        match services.get(&service.name) {
                            Some(before) if *before != service => {
                                self.wrong::<()>(&entry.all(), "", RefusalReason::Twice);
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
                        self.wrong::<()>(&entry.all(), "", RefusalReason::Twice);
                    }
                    limits = Some(read);
                }
            }
        }
        Some(Configuration::new(version?, routes, services, limits.unwrap_or_default()))
    }

    pub fn version(&mut self, value: Option<&JsonValue>) -> Option<u64> {
        let place = || "edition".to_string();
        let Some(value) = value else { return self.refuse(RefusalReason::Missing, place) };
        let Some(text) = value.as_str() else { return self.refuse(RefusalReason::Not("text"), place) };
        let digits = text.strip_prefix('r').unwrap_or_default();
        if !digits.bytes().all(|byte| byte.is_ascii_digit()) {
            return self.refuse(RefusalReason::Version(quoted(text)), place);
        }
        match digits.parse() {
            Ok(version) => Some(version),
            Err(_) => self.refuse(RefusalReason::Version(quoted(text)), place),
        }
    }

    /// What every entry has in common; `None` too for a category that isn't known here.
    fn entry<'v>(&mut self, index: usize, value: &'v JsonValue) -> Option<Entry<'v>> {
        let mut entry = Entry::new("consignments", index, value);
        if !value.is_object() {
            return self.wrong(&entry, "", RefusalReason::Not("an object"));
        }
        let category = self.text(&entry, "category", field(value, "category"))?;
        if !["routes", "mail_lines", "limits"].contains(&category) {
            return None;
        }
        entry.category = category;
        let label = field(value, "label");
        if label.is_some_and(|label| !label.is_object()) {
            return self.wrong(&entry, "label", RefusalReason::Not("an object"));
        }
        if category != "limits" {
            let name = label.and_then(|label| field(label, "name"));
            entry.name = self.word(&entry, "label.name", name)?;
        }
        match field(value, "manifest") {
            None => self.wrong(&entry, "manifest", RefusalReason::Missing),
            Some(manifest) if !manifest.is_object() => {
                self.wrong(&entry, "manifest", RefusalReason::Not("an object"))
            }
            Some(manifest) => Some(Entry { within: "manifest", fields: manifest, ..entry }),
        }
    }

    pub fn route(&mut self, entry: &Entry) -> Option<Route> {
        let get = |key| entry.get(key);
        // Each field is read before any is missed, so that all errors are told.
        let host = self.host(entry, "depot", get("depot"));
        let prefix = self.prefix(entry, "lane_prefix", get("lane_prefix"));
        let kind = self.kind(entry, get("route_kind"));
        let deadline_ms = self.ms(entry, "deadline_ms", get("deadline_ms"));
        let target_ms = match get("target_ms") {
            None => deadline_ms,
            some => self.ms(entry, "target_ms", some),
        };
        let rank = match get("post_class") {
            None => Some(0),
            some => self.whole(entry, "post_class", some, 0, u32::MAX.into()),
        };
        let tries = self.whole(entry, "tries", get("tries"), 1, u32::MAX.into());
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
            share: None,
        })
    }

    /// A field that clients set and that goes on to the upstream as it came.
    pub fn session(&mut self, entry: &Entry, value: Option<&JsonValue>) -> Option<Name> {
        const FIELD: &str = "session";
        let text = self.word(entry, FIELD, value)?.to_ascii_lowercase();
        let sign = |b: u8| b.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&b);
        if text.is_empty() || text.len() > SESSION_BYTES || !text.bytes().all(sign) {
            return self.wrong(entry, FIELD, RefusalReason::NoField);
        }
        if text.starts_with("ochreshed-") || NOT_SESSION.contains(&&*text) {
            return self.wrong(entry, FIELD, RefusalReason::OurField);
        }
        Some(self.name(&text))
    }

    pub fn host(&mut self, entry: &Entry, place: &str, value: Option<&JsonValue>) -> Option<Name> {
        let text = self.word(entry, place, value)?;
        let host = bare(text);
        if host.is_empty() {
            return self.wrong(entry, place, RefusalReason::Empty);
        }
        Some(self.name(&host))
    }

    pub fn prefix(&mut self, entry: &Entry, place: &str, value: Option<&JsonValue>) -> Option<Name> {
        let text = self.text(entry, place, value)?;
        if !text.starts_with('/') {
            return self.wrong(entry, place, RefusalReason::NoSlash);
        }
        if text.len() > PREFIX_BYTES {
            return self.wrong(entry, place, RefusalReason::Long(PREFIX_BYTES));
        }
        if text.chars().any(char::is_control) {
            return self.wrong(entry, place, RefusalReason::Control);
        }
        Some(self.name(text))
    }

    fn kind(&mut self, entry: &Entry, value: Option<&JsonValue>) -> Option<RepeatPolicy> {
        const FIELD: &str = "route_kind";
        let text = self.text(entry, FIELD, value)?;
        match RepeatPolicy::from_word(text) {
            None => self.wrong(entry, FIELD, RefusalReason::RepeatPolicy(quoted(text))),
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
            return self.wrong(entry, "", RefusalReason::NoLine);
        }
        let line = match line {
            None => None,
            some => Some((self.line(entry, "line", some)?, 1.0)),
        };
        match split {
            None => Some(line.into_iter().collect()),
            Some(split) => self.split(entry, split),
        }
    }

    fn line(&mut self, entry: &Entry, place: &str, value: Option<&JsonValue>) -> Option<Name> {
        let text = self.word(entry, place, value)?;
        let Some(known) = &self.known else { return Some(self.name(text)) };
        match known.get(text) {
            Some(name) => Some(name.clone()),
            None => self.wrong(entry, place, RefusalReason::Unknown(quoted(text))),
        }
    }

    fn split(&mut self, entry: &Entry, value: &JsonValue) -> Option<Vec<(Name, f64)>> {
        const FIELD: &str = "split";
        let Some(parts) = value.as_array() else {
            return self.wrong(entry, FIELD, RefusalReason::Not("a list"));
        };
        if parts.is_empty() {
            return self.wrong(entry, FIELD, RefusalReason::Empty);
        }
        if parts.len() > MOST_IN_SPLIT {
            return self.wrong(entry, FIELD, RefusalReason::Many(MOST_IN_SPLIT));
        }
        let mut lines: Vec<(Name, f64)> = Vec::with_capacity(parts.len());
        let mut whole = true;
        for (index, part) in parts.iter().enumerate() {
            let place = |key: &str| format!("{FIELD}[{index}]{key}");
            if !part.is_object() {
                self.wrong::<()>(entry, &place(""), RefusalReason::Not("an object"));
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
            return self.wrong(entry, FIELD, RefusalReason::NoShare);
        }
        lines.shrink_to_fit();
        Some(lines)
    }

    fn service(&mut self, entry: &Entry) -> Option<Service> {
        let get = |key| entry.get(key);
        let health = self.health(entry, get("health"));
        let berth_cap = self.whole(entry, "berth_cap", get("berth_cap"), 1, u32::MAX.into());
        let dedupes = match get("dedupes") {
            None => Some(false),
            Some(value) => match value.as_bool() {
                None => self.wrong(entry, "dedupes", RefusalReason::Not("true or false")),
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
        const FIELD: &str = "health";
        let text = self.text(entry, FIELD, value)?;
        if !text.starts_with('/') {
            return self.wrong(entry, FIELD, RefusalReason::NoSlash);
        }
        if text.len() > PREFIX_BYTES {
            return self.wrong(entry, FIELD, RefusalReason::Long(PREFIX_BYTES));
        }
        if !text.bytes().all(|byte| byte.is_ascii_graphic()) {
            return self.wrong(entry, FIELD, RefusalReason::Path);
        }
        Some(text.to_string())
    }

    /// A field that is wrong is told, and its default stands in for it.
    fn limits(&mut self, entry: &Entry) -> Limits {
        let get = |key| entry.get(key);
        let mut limits = Limits::default();
        if let size @ Some(_) = get("label_bytes") {
            let read = self.whole(entry, "label_bytes", size, 1, MOST_SIZE);
            limits.label_bytes = read.unwrap_or(limits.label_bytes);
        }
        if let size @ Some(_) = get("parcel_bytes") {
            let read = self.whole(entry, "parcel_bytes", size, 0, MOST_SIZE);
            limits.parcel_bytes = read.unwrap_or(limits.parcel_bytes);
        }
        if let time @ Some(_) = get("label_ms") {
            limits.label_ms = self.ms(entry, "label_ms", time).unwrap_or(limits.label_ms);
        }
        if let time @ Some(_) = get("idle_ms") {
            limits.idle_ms = self.ms(entry, "idle_ms", time).unwrap_or(limits.idle_ms);
        }
        limits
    }

    pub fn text<'v>(&mut self, entry: &Entry, place: &str, value: Option<&'v JsonValue>) -> Option<&'v str> {
        let Some(value) = value else { return self.wrong(entry, place, RefusalReason::Missing) };
        match value.as_str() {
            None => self.wrong(entry, place, RefusalReason::Not("text")),
            text => text,
        }
    }

    /// A text that names something.
    pub fn word<'v>(&mut self, entry: &Entry, place: &str, value: Option<&'v JsonValue>) -> Option<&'v str> {
        let text = self.text(entry, place, value)?;
        if text.is_empty() {
            self.wrong(entry, place, RefusalReason::Empty)
        } else if text.len() > NAME_BYTES {
            self.wrong(entry, place, RefusalReason::Long(NAME_BYTES))
        } else if text.chars().any(char::is_control) {
            self.wrong(entry, place, RefusalReason::Control)
        } else {
            Some(text)
        }
    }

    /// A number from 0 to `most`.
    pub fn number(
        &mut self,
        entry: &Entry,
        place: &str,
        value: Option<&JsonValue>,
        most: u64,
    ) -> Option<f64> {
        let Some(value) = value else { return self.wrong(entry, place, RefusalReason::Missing) };
        let Some(number) = value.as_number() else {
            return self.wrong(entry, place, RefusalReason::Not("a number"));
        };
        let (positive, mantissa, exponent) = number.as_parts();
        let Ok(size) = format!("{mantissa}e{exponent}").parse::<f64>() else {
            return self.wrong(entry, place, RefusalReason::Not("a number"));
        };
        // A minus before a number too small to hold is still a minus.
        if !positive && mantissa > 0 {
            return self.wrong(entry, place, RefusalReason::Negative);
        }
        // Every bound is far below the whole numbers that a float can't tell apart.
        if size > most as f64 {
            return self.wrong(entry, place, RefusalReason::Above(most));
        }
        Some(size)
    }

    pub fn whole(
        &mut self,
        entry: &Entry,
        place: &str,
        value: Option<&JsonValue>,
        least: u64,
        most: u64,
    ) -> Option<u64> {
        let number = self.number(entry, place, value, most)?;
        if number.fract() != 0.0 {
            return self.wrong(entry, place, RefusalReason::Fraction);
        }
        if (number as u64) < least {
            return self.wrong(entry, place, RefusalReason::NotPositive);
        }
        Some(number as u64)
    }

    /// A time above 0, in whole milliseconds; a fraction is dropped.
    pub fn ms(&mut self, entry: &Entry, place: &str, value: Option<&JsonValue>) -> Option<u64> {
        let number = self.number(entry, place, value, MOST_MS)?;
        if number <= 0.0 {
            return self.wrong(entry, place, RefusalReason::NotPositive);
        }
        Some((number as u64).max(1))
    }
}
