//! The settings file of a mesh process (TOML). It owns reading and checking what a process is told about itself and its
//! machine, and must never let a value through that the rest could not run on, nor stop at the first that is wrong: all
//! faults are said at once, each with its line and place. Fields that are not known are ignored, as the file may grow.

use std::collections::BTreeMap;
use std::fmt;
use std::fs::File;
use std::io::Read;
use std::net::{IpAddr, SocketAddr};
use std::ops::Range;
use std::path::{Path, PathBuf};
use std::time::Duration;

use toml::Spanned;
use toml::de::{DeTable, DeValue};

/// Names the file where the command line doesn't.
const VARIABLE: &str = "OCHRESHED_SETTINGS";
/// A settings file is a page; whatever is longer is something else.
const MOST_BYTES: u64 = 1 << 20;
/// Faults of the notation that are said; what follows the first few is mostly their echo.
const MOST_SYNTAX: usize = 10;
/// Names travel in messages.
const MOST_NAME: usize = 255;
const MOST_PATH: usize = 4095;
/// Small enough that megabytes still count as bytes in 64 bits.
const MOST_NUMBER: f64 = 1e12;
/// Small enough to be added to any moment.
const MOST_SECS: f64 = 366.0 * 86_400.0;
/// Descriptors kept for what is neither a caller's connection nor one of ours to a door or upstream.
const SPARE: u64 = 300;
/// Of an attendant's memory, the part for bodies of reqs in hand.
const BODIES: f64 = 0.15;
/// As much of a wrong value is shown.
const MOST_SHOWN: usize = 60;

#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    pub station: String,
    pub role: String,
    pub class: String,
    pub serves: Vec<String>,
    pub ip: IpAddr,
    pub zone: String,
    pub region: String,
    /// The first and the last of the ports that are free for messages between balancers.
    pub inner_ports: (u16, u16),
    /// Control gates of a few machines, to begin with.
    pub seeds: Vec<SocketAddr>,
    /// Only on the very first start of the whole system, with empty disks.
    pub first_start: bool,
    /// Whether this machine is one of those that `tolerate` counts.
    pub counted: bool,
    pub data_dir: Option<PathBuf>,
    pub heartbeat_ms: u64,
    pub app: Option<SocketAddr>,
    pub line: Option<String>,
    /// The region of each zone.
    pub zones: BTreeMap<String, String>,
    pub inbound_gate: Option<SocketAddr>,
    pub outbound_gate: Option<SocketAddr>,
    pub ready_gate: Option<SocketAddr>,
    pub control_gate: Option<SocketAddr>,
    pub limits: Limits,
    pub tolerate: Tolerate,
    pub bounds: Bounds,
}

/// What this process may use of its machine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    pub cpu_share: f64,
    pub cores: f64,
    pub memory_mb: u64,
    pub fds: u64,
    pub link_mbps: f64,
    pub disk_mb: u64,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits { cpu_share: 0.2, cores: 1.0, memory_mb: 256, fds: 4096, link_mbps: 1000.0, disk_mb: 0 }
    }
}

/// What an attendant makes of its limits: connections, and bytes of bodies in hand.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BranchRoom {
    /// Callers of its gate, of its door, and of each of its two small gates.
    pub gate: usize,
    pub door: usize,
    pub small: usize,
    /// Connections to doors and to its upstream.
    pub doors: usize,
    pub upstream: usize,
    pub bodies: usize,
}

/// What a steward makes of its limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SortingRoom {
    pub control: usize,
    pub bodies: usize,
    /// Keys that are held at once, and the bytes of their answers together.
    pub claims: usize,
    pub answers: usize,
}

impl Limits {
    pub fn branch(&self) -> BranchRoom {
        let sockets = self.fds.saturating_sub(SPARE).max(64) as usize;
        let bodies = ((self.memory_mb as f64 * BODIES * 1e6) as usize).clamp(1 << 20, 1 << 29);
        BranchRoom {
            gate: (sockets / 3).max(16),
            door: (sockets / 4).max(16),
            small: (sockets / 32).max(16),
            doors: sockets / 4,
            upstream: sockets / 8,
            bodies,
        }
    }

    pub fn sorting(&self) -> SortingRoom {
        let memory = self.memory_mb as usize;
        SortingRoom {
            control: 256,
            bodies: (memory * 1_000_000 / 5).clamp(40 << 20, 1 << 29),
            claims: (memory * 400).max(10_000),
            answers: (memory * 1_000_000 / 5).max(4 << 20),
        }
    }
}

/// What may be lost together while every rule still holds: this many counted machines, or zones, or regions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tolerate {
    pub machines: usize,
    pub zones: usize,
    pub regions: usize,
}

impl Default for Tolerate {
    fn default() -> Tolerate {
        Tolerate { machines: 1, zones: 0, regions: 0 }
    }
}

/// The figures of the rules in force.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    pub seed_lag: Duration,
    pub reuse_after: Duration,
    pub touch: Duration,
    pub receipt: Duration,
    pub catch_up: Duration,
    pub drain: Duration,
    pub grace: Duration,
    pub lost: Duration,
    pub timetable: Duration,
    pub back: Duration,
    pub stretch: Duration,
    pub retry_ratio: f64,
    pub retry_window: Duration,
    pub retry_slack: f64,
    pub stamp_window: Duration,
    pub recover: Duration,
}

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds {
            seed_lag: Duration::from_secs(3),
            reuse_after: Duration::from_secs(2),
            touch: Duration::from_millis(3000),
            receipt: Duration::from_millis(4000),
            catch_up: Duration::from_secs(4),
            drain: Duration::from_millis(2000),
            grace: Duration::from_secs(6),
            lost: Duration::from_millis(200),
            timetable: Duration::from_millis(2000),
            back: Duration::from_millis(250),
            stretch: Duration::from_millis(5000),
            retry_ratio: 0.2,
            retry_window: Duration::from_secs(10),
            retry_slack: 60.0,
            stamp_window: Duration::from_secs(60),
            recover: Duration::from_secs(15),
        }
    }
}

/// Where a figure of the bounds belongs, and what it is given in.
enum Figure<'a> {
    Secs(&'a mut Duration),
    Millis(&'a mut Duration),
    Plain(&'a mut f64),
}

impl Bounds {
    /// None for a name that is not known.
    fn figure(&mut self, name: &str) -> Option<Figure<'_>> {
        Some(match name {
            "seed_lag_s" => Figure::Secs(&mut self.seed_lag),
            "reuse_after_s" => Figure::Secs(&mut self.reuse_after),
            "touch_ms" => Figure::Millis(&mut self.touch),
            "receipt_ms" => Figure::Millis(&mut self.receipt),
            "catch_up_s" => Figure::Secs(&mut self.catch_up),
            "drain_ms" => Figure::Millis(&mut self.drain),
            "grace_s" => Figure::Secs(&mut self.grace),
            "lost_ms" => Figure::Millis(&mut self.lost),
            "timetable_ms" => Figure::Millis(&mut self.timetable),
            "back_ms" => Figure::Millis(&mut self.back),
            "stretch_ms" => Figure::Millis(&mut self.stretch),
            "retry_ratio" => Figure::Plain(&mut self.retry_ratio),
            "retry_window_s" => Figure::Secs(&mut self.retry_window),
            "retry_slack" => Figure::Plain(&mut self.retry_slack),
            "stamp_window_s" => Figure::Secs(&mut self.stamp_window),
            "recover_s" => Figure::Secs(&mut self.recover),
            _ => return None,
        })
    }

    /// Takes one `name=value`; the error is what it wants.
    fn take(&mut self, name: &str, value: &str) -> Result<(), &'static str> {
        let Some(figure) = self.figure(name) else { return Ok(()) };
        let told = value.parse::<f64>().ok().filter(|told| (0.0..=MOST_NUMBER).contains(told));
        let told = told.ok_or("wants a number, zero or above")?;
        let (place, secs) = match figure {
            Figure::Plain(place) => {
                *place = told;
                return Ok(());
            }
            Figure::Secs(place) => (place, told),
            Figure::Millis(place) => (place, told / 1000.0),
        };
        if secs > MOST_SECS {
            return Err("wants a time of less than a year");
        }
        if secs == 0.0 && name == "retry_window_s" {
            return Err("wants a time above zero");
        }
        *place = Duration::try_from_secs_f64(secs).map_err(|_| "wants a time")?;
        Ok(())
    }
}

/// What is wrong in a settings file; what is missing stands in no line.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Fault {
    pub line: Option<usize>,
    pub place: String,
    pub why: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(line) = self.line {
            write!(f, "line {line}: ")?;
        }
        write!(f, "{}: {}", self.place, self.why)
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SettingsError {
    /// Neither the command line nor the variable names a file.
    NoFile,
    /// The file, and why it can't be read.
    Unreadable(PathBuf, String),
    Bad(Vec<Fault>),
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SettingsError::NoFile => write!(f, "no --settings FILE, and {VARIABLE} names none"),
            SettingsError::Unreadable(path, why) => write!(f, "{}: {why}", path.display()),
            SettingsError::Bad(faults) => {
                write!(f, "faults in the settings: {}", faults.len())?;
                faults.iter().try_for_each(|fault| write!(f, "\n  {fault}"))
            }
        }
    }
}

impl std::error::Error for SettingsError {}

impl Settings {
    /// The file that was given, or else the one that the environment names.
    pub fn path(given: Option<PathBuf>) -> Result<PathBuf, SettingsError> {
        let told = || std::env::var_os(VARIABLE).map(PathBuf::from);
        let path = given.or_else(told).filter(|path| !path.as_os_str().is_empty());
        path.ok_or(SettingsError::NoFile)
    }

    pub fn read(path: &Path) -> Result<Settings, SettingsError> {
        let unreadable = |why: String| SettingsError::Unreadable(path.to_owned(), why);
        let mut bytes = Vec::new();
        let file = File::open(path).map_err(|e| unreadable(e.to_string()))?;
        file.take(MOST_BYTES + 1).read_to_end(&mut bytes).map_err(|e| unreadable(e.to_string()))?;
        if bytes.len() as u64 > MOST_BYTES {
            return Err(unreadable(format!("more than {MOST_BYTES} bytes are no settings")));
        }
        let text = std::str::from_utf8(&bytes).map_err(|e| {
            let line = 1 + bytes.iter().take(e.valid_up_to()).filter(|byte| **byte == b'\n').count();
            let fault = Fault { line: Some(line), place: "the file".into(), why: "is not UTF-8 here".into() };
            SettingsError::Bad(vec![fault])
        })?;
        Settings::parse(text).map_err(SettingsError::Bad)
    }

    /// All the faults there are, in the order of their lines.
    pub fn parse(text: &str) -> Result<Settings, Vec<Fault>> {
        let mut reading = Reading::new(text);
        let (table, errors) = DeTable::parse_recoverable(text);
        for error in errors.iter().take(MOST_SYNTAX) {
            reading.at(error.span(), "the file", error.message().replace('\n', ", "));
        }
        // A table that was guessed from what is left would only add faults that are none.
        let settings = if errors.is_empty() { reading.settings(table.get_ref()) } else { None };
        let mut faults = reading.faults;
        match settings {
            Some(settings) if faults.is_empty() => Ok(settings),
            _ => {
                faults.sort();
                Err(faults)
            }
        }
    }

    /// What an attendant can't do without.
    pub fn need_branch(&self) -> Result<(), Vec<Fault>> {
        wanting(&[
            ("counters.inbound_gate", self.inbound_gate.is_some()),
            ("counters.outbound_gate", self.outbound_gate.is_some()),
            ("counters.ready_gate", self.ready_gate.is_some()),
            ("counters.control_gate", self.control_gate.is_some()),
            ("app", self.app.is_some()),
            ("line", self.line.is_some()),
        ])
    }

    /// What a steward can't do without.
    pub fn need_sorting(&self) -> Result<(), Vec<Fault>> {
        wanting(&[
            ("counters.control_gate", self.control_gate.is_some()),
            ("data_dir", self.data_dir.is_some()),
        ])
    }
}

fn wanting(needs: &[(&str, bool)]) -> Result<(), Vec<Fault>> {
    let missing = needs.iter().filter(|(_, there)| !there).map(|(place, _)| missing(place));
    let faults: Vec<_> = missing.collect();
    if faults.is_empty() { Ok(()) } else { Err(faults) }
}

fn missing(place: &str) -> Fault {
    Fault { line: None, place: place.to_owned(), why: "is missing".into() }
}

type Told<'a> = Spanned<DeValue<'a>>;

/// One reading of a file. Each of its readers says what is wrong with a value and gives none in its stead.
struct Reading<'a> {
    text: &'a str,
    /// Where lines end.
    ends: Vec<usize>,
    faults: Vec<Fault>,
}

impl<'a> Reading<'a> {
    fn new(text: &'a str) -> Reading<'a> {
        let ends = text.match_indices('\n').map(|(at, _)| at).collect();
        Reading { text, ends, faults: Vec::new() }
    }

    fn at(&mut self, span: Option<Range<usize>>, place: &str, why: String) {
        let line = span.map(|span| 1 + self.ends.partition_point(|end| *end < span.start));
        self.faults.push(Fault { line, place: place.to_owned(), why });
    }

    /// A fault of a value, which is shown as it stands in the file.
    fn not<T>(&mut self, place: &str, value: &Told, wants: &str) -> Option<T> {
        let told = self.text.get(value.span()).unwrap_or_default().replace('\n', " ");
        let mut shown: String = told.chars().take(MOST_SHOWN).collect();
        if shown.len() < told.len() {
            shown.push_str("...");
        }
        self.at(Some(value.span()), place, format!("{wants}, not {shown}"));
        None
    }

    fn settings(&mut self, all: &DeTable) -> Option<Settings> {
        let station = self.must(all, "station", Self::word);
        let role = self.must(all, "role", Self::word);
        let class = self.may(all, "vehicle_class", Self::word).unwrap_or_default();
        let serves = self.may(all, "serves", Self::words).unwrap_or_default();
        let ip = self.must(all, "ip", Self::ip);
        let zone = self.must(all, "zone", Self::word);
        let mut zones = self.may(all, "zones", Self::zones).unwrap_or_default();
        let region = self.region(all, zone.as_deref(), &mut zones);
        let inner_ports = self.must(all, "inner_ports", Self::ports);
        let seeds = self.may(all, "seed_stations", Self::addresses).unwrap_or_default();
        let first_start = self.may(all, "first_start", Self::truth).unwrap_or(false);
        let counted = self.may(all, "counted", Self::truth).unwrap_or(false);
        let data_dir = self.may(all, "data_dir", Self::folder);
        let heartbeat_ms = self.may(all, "heartbeat_ms", Self::heartbeat).unwrap_or(1500);
        let app = self.may(all, "app", Self::address);
        let line = self.may(all, "line", Self::word);
        let bounds = self.may(all, "bounds", Self::bounds).unwrap_or_default();
        let none = DeTable::new();
        let counters = self.table(all, "counters").unwrap_or(&none);
        let inbound_gate = self.may_in(counters, "counters", "inbound_gate", Self::address);
        let outbound_gate = self.may_in(counters, "counters", "outbound_gate", Self::address);
        let ready_gate = self.may_in(counters, "counters", "ready_gate", Self::address);
        let control_gate = self.may_in(counters, "counters", "control_gate", Self::address);
        self.apart(&[
            ("app", app, all.get("app")),
            ("counters.inbound_gate", inbound_gate, counters.get("inbound_gate")),
            ("counters.outbound_gate", outbound_gate, counters.get("outbound_gate")),
            ("counters.ready_gate", ready_gate, counters.get("ready_gate")),
            ("counters.control_gate", control_gate, counters.get("control_gate")),
        ]);
        let limits = self.limits(self.table(all, "limits").unwrap_or(&none));
        let tolerate = self.tolerate(self.table(all, "tolerate").unwrap_or(&none));
        for name in ["counters", "limits", "tolerate"] {
            if let Some(value) = all.get(name).filter(|value| !value.get_ref().is_table()) {
                self.not::<()>(name, value, "wants a table");
            }
        }
        Some(Settings {
            station: station?,
            role: role?,
            class,
            serves,
            ip: ip?,
            zone: zone?,
            region: region?,
            inner_ports: inner_ports?,
            seeds,
            first_start,
            counted,
            data_dir,
            heartbeat_ms,
            app,
            line,
            zones,
            inbound_gate,
            outbound_gate,
            ready_gate,
            control_gate,
            limits,
            tolerate,
            bounds,
        })
    }

    /// The region of the process, which the zones may tell as well; they must not differ.
    fn region(
        &mut self,
        all: &DeTable,
        zone: Option<&str>,
        zones: &mut BTreeMap<String, String>,
    ) -> Option<String> {
        let of_zone = zone.and_then(|zone| zones.get(zone)).cloned();
        let Some(value) = all.get("region") else {
            if of_zone.is_none() {
                self.faults.push(missing("region"));
            }
            return of_zone;
        };
        let region = self.word("region", value)?;
        match of_zone {
            Some(of_zone) if of_zone != region => {
                self.not("region", value, &format!("wants {of_zone}, as the zones say"))
            }
            Some(_) => Some(region),
            None => {
                if let Some(zone) = zone {
                    zones.insert(zone.to_owned(), region.clone());
                }
                Some(region)
            }
        }
    }

    fn limits(&mut self, all: &DeTable) -> Limits {
        let usual = Limits::default();
        Limits {
            cpu_share: self.may_in(all, "limits", "cpu_share", Self::above_zero).unwrap_or(usual.cpu_share),
            cores: self.may_in(all, "limits", "cores", Self::above_zero).unwrap_or(usual.cores),
            memory_mb: self.may_in(all, "limits", "memory_mb", Self::count).unwrap_or(usual.memory_mb),
            fds: self.may_in(all, "limits", "fds", Self::count).unwrap_or(usual.fds),
            link_mbps: self.may_in(all, "limits", "link_mbps", Self::above_zero).unwrap_or(usual.link_mbps),
            disk_mb: self.may_in(all, "limits", "disk_mb", Self::whole).unwrap_or(usual.disk_mb),
        }
    }

    fn tolerate(&mut self, all: &DeTable) -> Tolerate {
        let usual = Tolerate::default();
        Tolerate {
            machines: self.may_in(all, "tolerate", "machines", Self::size).unwrap_or(usual.machines),
            zones: self.may_in(all, "tolerate", "zones", Self::size).unwrap_or(usual.zones),
            regions: self.may_in(all, "tolerate", "regions", Self::size).unwrap_or(usual.regions),
        }
    }

    /// Two listeners can't share an address.
    fn apart(&mut self, all: &[(&str, Option<SocketAddr>, Option<&Told>)]) {
        for (nth, (place, address, value)) in all.iter().enumerate() {
            let same = all[..nth].iter().find(|(_, other, _)| other.is_some() && other == address);
            if let (Some((other, ..)), Some(value)) = (same, value) {
                self.not::<()>(place, value, &format!("wants an address other than that of {other}"));
            }
        }
    }

    fn may<T>(
        &mut self,
        all: &DeTable,
        name: &str,
        read: fn(&mut Self, &str, &Told) -> Option<T>,
    ) -> Option<T> {
        all.get(name).and_then(|value| read(self, name, value))
    }

    fn may_in<T>(
        &mut self,
        all: &DeTable,
        of: &str,
        name: &str,
        read: fn(&mut Self, &str, &Told) -> Option<T>,
    ) -> Option<T> {
        all.get(name).and_then(|value| read(self, &format!("{of}.{name}"), value))
    }

    fn must<T>(
        &mut self,
        all: &DeTable,
        name: &str,
        read: fn(&mut Self, &str, &Told) -> Option<T>,
    ) -> Option<T> {
        if !all.contains_key(name) {
            self.faults.push(missing(name));
        }
        self.may(all, name, read)
    }

    fn table<'t, 'd>(&self, all: &'t DeTable<'d>, name: &str) -> Option<&'t DeTable<'d>> {
        all.get(name).and_then(|value| value.get_ref().as_table())
    }

    fn word(&mut self, place: &str, value: &Told) -> Option<String> {
        match value.get_ref().as_str() {
            Some(word) if named(word) => Some(word.to_owned()),
            _ => self.not(place, value, &format!("wants a name of 1 to {MOST_NAME} printable bytes")),
        }
    }

    fn truth(&mut self, place: &str, value: &Told) -> Option<bool> {
        value.get_ref().as_bool().or_else(|| self.not(place, value, "wants true or false"))
    }

    fn ip(&mut self, place: &str, value: &Told) -> Option<IpAddr> {
        let ip = value.get_ref().as_str().and_then(|text| text.parse::<IpAddr>().ok());
        ip.filter(one_machine).or_else(|| self.not(place, value, "wants the IP number of a machine"))
    }

    fn address(&mut self, place: &str, value: &Told) -> Option<SocketAddr> {
        let address = value.get_ref().as_str().and_then(|text| text.parse::<SocketAddr>().ok());
        let address = address.filter(|address| one_machine(&address.ip()) && address.port() > 0);
        address.or_else(|| self.not(place, value, "wants an IP number and a port"))
    }

    fn folder(&mut self, place: &str, value: &Told) -> Option<PathBuf> {
        match value.get_ref().as_str() {
            Some(path) if (1..=MOST_PATH).contains(&path.len()) && !path.contains('\0') => {
                Some(PathBuf::from(path))
            }
            _ => self.not(place, value, "wants a folder"),
        }
    }

    /// Reads every item, and gives those that can be read.
    fn list<T>(
        &mut self,
        place: &str,
        value: &Told,
        read: fn(&mut Self, &str, &Told) -> Option<T>,
    ) -> Option<Vec<T>> {
        let Some(all) = value.get_ref().as_array() else { return self.not(place, value, "wants a list") };
        let each = all.iter().enumerate();
        Some(each.filter_map(|(nth, item)| read(self, &format!("{place}[{nth}]"), item)).collect())
    }

    fn words(&mut self, place: &str, value: &Told) -> Option<Vec<String>> {
        self.list(place, value, Self::word)
    }

    fn addresses(&mut self, place: &str, value: &Told) -> Option<Vec<SocketAddr>> {
        self.list(place, value, Self::address)
    }

    fn ports(&mut self, place: &str, value: &Told) -> Option<(u16, u16)> {
        match value.get_ref().as_array() {
            Some(both) if both.len() == 2 => {}
            _ => return self.not(place, value, "wants a list of two ports"),
        }
        match self.list(place, value, Self::port)?[..] {
            [first, last] if first <= last => Some((first, last)),
            [_, _] => self.not(place, value, "wants the lower port first"),
            // What is no port was said.
            _ => None,
        }
    }

    fn port(&mut self, place: &str, value: &Told) -> Option<u16> {
        let port = number(value).filter(|port| port.fract() == 0.0 && (1.0..=65_535.0).contains(port));
        port.map(|port| port as u16).or_else(|| self.not(place, value, "wants a port, 1 to 65535"))
    }

    fn zones(&mut self, place: &str, value: &Told) -> Option<BTreeMap<String, String>> {
        let Some(all) = value.get_ref().as_table() else { return self.not(place, value, "wants a table") };
        let mut zones = BTreeMap::new();
        for (zone, region) in all {
            let name = zone.get_ref().as_ref();
            let place = format!("{place}.{}", name.escape_debug());
            if !named(name) {
                let why = format!("wants zones with names of 1 to {MOST_NAME} printable bytes");
                self.at(Some(zone.span()), &place, why);
            }
            if let Some(region) = self.word(&place, region) {
                zones.insert(name.to_owned(), region);
            }
        }
        Some(zones)
    }

    fn bounds(&mut self, place: &str, value: &Told) -> Option<Bounds> {
        let Some(all) = value.get_ref().as_array() else { return self.not(place, value, "wants a list") };
        let (mut bounds, mut seen) = (Bounds::default(), Vec::new());
        for (nth, item) in all.iter().enumerate() {
            let pair = item.get_ref().as_str().and_then(|text| text.split_once('='));
            let Some((name, told)) = pair.map(|(name, told)| (name.trim(), told.trim())) else {
                self.not::<()>(&format!("{place}[{nth}]"), item, "wants name=value as text");
                continue;
            };
            if bounds.figure(name).is_none() {
                continue;
            }
            let place = format!("{place}.{name}");
            if seen.contains(&name) {
                self.not::<()>(&place, item, "wants to be told once");
            }
            seen.push(name);
            if let Err(wants) = bounds.take(name, told) {
                self.not::<()>(&place, item, wants);
            }
        }
        Some(bounds)
    }

    fn above_zero(&mut self, place: &str, value: &Told) -> Option<f64> {
        let told = number(value).filter(|told| *told > 0.0 && *told <= MOST_NUMBER);
        told.or_else(|| self.not(place, value, "wants a number above zero"))
    }

    /// A whole number, zero or above. `256.0` is one.
    fn whole(&mut self, place: &str, value: &Told) -> Option<u64> {
        let told = number(value).filter(|told| told.fract() == 0.0 && (0.0..=MOST_NUMBER).contains(told));
        told.map(|told| told as u64).or_else(|| self.not(place, value, "wants a whole number, zero or above"))
    }

    fn count(&mut self, place: &str, value: &Told) -> Option<u64> {
        match self.whole(place, value)? {
            0 => self.not(place, value, "wants a whole number above zero"),
            told => Some(told),
        }
    }

    fn size(&mut self, place: &str, value: &Told) -> Option<usize> {
        let told = self.whole(place, value)?;
        usize::try_from(told).ok().or_else(|| self.not(place, value, "wants a smaller number"))
    }

    fn heartbeat(&mut self, place: &str, value: &Told) -> Option<u64> {
        match self.count(place, value)? {
            told if told as f64 > MOST_SECS * 1000.0 => {
                self.not(place, value, "wants a time of less than a year")
            }
            told => Some(told),
        }
    }
}

fn named(word: &str) -> bool {
    (1..=MOST_NAME).contains(&word.len()) && !word.chars().any(char::is_control)
}

/// Whether it can be the IP number of one machine.
fn one_machine(ip: &IpAddr) -> bool {
    let broadcast = matches!(ip, IpAddr::V4(ip) if ip.is_broadcast());
    !ip.is_unspecified() && !ip.is_multicast() && !broadcast
}

/// Whole numbers and fractions alike. NaN and the infinite pass here, and fail in whatever range is asked for.
fn number(value: &Told) -> Option<f64> {
    match value.get_ref() {
        DeValue::Integer(whole) => {
            i64::from_str_radix(whole.as_str(), whole.radix()).ok().map(|whole| whole as f64)
        }
        DeValue::Float(fraction) => fraction.as_str().parse().ok(),
        _ => None,
    }
}

#[cfg(test)]
mod tests;
