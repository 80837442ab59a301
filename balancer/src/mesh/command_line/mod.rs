//! The command line of the mesh's subcommands. It owns their words, options and help texts, and must never take a line of
//! which a part was not understood, nor do anything itself: what is asked for is handed on, and words of the older
//! program are left to it.

use std::convert::Infallible;
use std::ffi::{OsStr, OsString};
use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;

use pico_args::Arguments;

use super::hollow;

/// The mesh's part of `ochreshed help`.
pub const HELP: &str = "    ochreshed attendant [--settings FILE]
                                      serve a branch of the mesh until SIGTERM
    ochreshed steward [--settings FILE]
                                      serve a sorting machine of the mesh until SIGTERM
    ochreshed settings [--settings FILE]
                                      read and check the settings of a mesh process, say what they amount to, and exit
    ochreshed hollow --count N --inner PORT --seed ADDRESS
                                      load a mesh with attendants that have no data plane, to measure its control plane
    ochreshed nodes --at ADDRESS      the stewards and attendants that the steward there knows
    ochreshed upstreams --at ADDRESS  the servers of each line, and how they do
    ochreshed timetable read|replace FILE|history|diff FILE --at ADDRESS
                                      the timetable in force, a new one, those before, or what a new one would change
    ochreshed members read|replace FILE|diff FILE --at ADDRESS
                                      the register of members, a new one, or what a new one would change
    ochreshed member NAME read|plan FILE|replace FILE|diff FILE|status|history|undo|settle|withdraw
                     --key FILE --at ADDRESS
                                      a member's own routes, and how a change of them stands
    ochreshed keys [KEY] --at ADDRESS how a tracking key stands, or how many are open, unknown and done
    ochreshed budget --at ADDRESS     what is known of the allowance for retries
    ochreshed session show|move|forget ID --service S --header H --at ADDRESS
                                      where a person's session is; have another gate take it; begin it anew
    ochreshed drain UPSTREAM --at ADDRESS
                                      send nothing new to that server
                                      each of these has --help; without --settings OCHRESHED_SETTINGS names the file
";

const HELP_ATTENDANT: &str = "\
ochreshed attendant [--settings FILE]

Serves a branch of the mesh, its app and its gates, until SIGTERM.

    --settings FILE    the settings (TOML); without it OCHRESHED_SETTINGS names the file
    -h, --help         this page
";

const HELP_STEWARD: &str = "\
ochreshed steward [--settings FILE]

Serves a sorting machine of the mesh, which keeps the timetable and the registry, until SIGTERM.

    --settings FILE    the settings (TOML); without it OCHRESHED_SETTINGS names the file
    -h, --help         this page
";

const HELP_SETTINGS: &str = "\
ochreshed settings [--settings FILE]

Reads and checks the settings of a mesh process, and prints what they amount to or all that is wrong with them.

    --settings FILE    the settings (TOML); without it OCHRESHED_SETTINGS names the file
    -h, --help         this page
";

const HELP_HOLLOW: &str = "\
ochreshed hollow --count N --inner PORT --seed ADDRESS [--seed ADDRESS] [--first K] [--services S]

Loads a mesh of one's own with N attendants in one process that watch, send heartbeats, report and claim keys, and have
no data plane. Not for a mesh in service: their upstreams do not exist, and requests sent there fail.

Commands on standard input, a line each: changes N (records that change a second), claims N (keys a second), figures
(prints: figures ATTENDANTS RECORDS CLAIMS MISSED MEAN_US), end. Prints `version V MS` once all have a configuration.

    --count N          how many attendants, 1 to 5000
    --inner PORT       the first of the mesh's inner_ports
    --seed ADDRESS     the control gate of a steward, as 10.1.0.13:8306
    --first K          the number of the first one, where several processes load one mesh; 0 without it
    --services S       how many services their upstreams are of, 1 to 1000; 10 without it
    -h, --help         this page
";

const HELP_NODES: &str = "\
ochreshed nodes --at ADDRESS [--at ADDRESS] [--json]

Prints the stewards and attendants that the steward knows, who votes, and how long ago each was heard.

    --at ADDRESS       the control gate of a steward, as 10.1.0.13:8306; of several, the first that answers is asked
    --json             print JSON
    -h, --help         this page
";

const HELP_UPSTREAMS: &str = "\
ochreshed upstreams --at ADDRESS [--at ADDRESS] [--json]

Prints the servers of each line, and how they do.

    --at ADDRESS       the control gate of a steward, as 10.1.0.13:8306; of several, the first that answers is asked
    --json             print JSON
    -h, --help         this page
";

const HELP_TIMETABLE: &str = "\
ochreshed timetable read --at ADDRESS [--at ADDRESS] [--json]
ochreshed timetable replace FILE --at ADDRESS [--at ADDRESS] [--json]
ochreshed timetable history --at ADDRESS [--at ADDRESS] [--json]
ochreshed timetable diff FILE --at ADDRESS [--at ADDRESS] [--json]

Prints the timetable in force, puts the one of FILE in its place, prints the editions on the disk of the steward that
answers, or prints what the one of FILE would change. FILE is checked before anything is sent; - is the standard input.

    --at ADDRESS       the control gate of a steward, as 10.1.0.13:8306; of several, the first that answers is asked
    --json             print JSON
    -h, --help         this page
";

const HELP_MEMBERS: &str = "\
ochreshed members read --at ADDRESS [--at ADDRESS] [--json]
ochreshed members replace FILE --at ADDRESS [--at ADDRESS] [--json]
ochreshed members diff FILE --at ADDRESS [--at ADDRESS] [--json]

Prints the platform's register of members, puts the one of FILE in its place, or prints what the one of FILE would
change. FILE is checked before anything is sent; - is the standard input.

    --at ADDRESS       the control gate of a steward, as 10.1.0.13:8306; of several, the first that answers is asked
    --json             print JSON
    -h, --help         this page
";

const HELP_MEMBER: &str = "\
ochreshed member NAME read --key FILE --at ADDRESS [--at ADDRESS] [--json]
ochreshed member NAME plan FILE --key FILE --at ADDRESS [--at ADDRESS] [--json]
ochreshed member NAME replace FILE --key FILE --at ADDRESS [--at ADDRESS] [--json]
ochreshed member NAME diff FILE --key FILE --at ADDRESS [--at ADDRESS] [--json]
ochreshed member NAME status|history|undo|settle|withdraw --key FILE --at ADDRESS [--at ADDRESS] [--json]

The routes of the member NAME:
    read               print its document in force
    plan FILE          print what the document of FILE would change and what forbids it; ends with 1 if anything does
    replace FILE       put the document of FILE in its place; where it has a trial, on a share of the nodes first
    diff FILE          print how the document of FILE differs from the one in force
    status             print the editions in force, what is trimmed, and which nodes have which edition
    history            print the editions on the disk of the steward that answers
    undo               withdraw the running trial, or put the document before the current one in force again
    settle             put the running trial in force everywhere, now
    withdraw           take the running trial back, now
FILE is checked before anything is sent; - is the standard input.

    --key FILE         where the member's key stands, alone on a line; it is sent to the steward
    --at ADDRESS       the control gate of a steward, as 10.1.0.13:8306; of several, the first that answers is asked
    --json             print JSON
    -h, --help         this page
";

const HELP_KEYS: &str = "\
ochreshed keys [KEY] --at ADDRESS [--at ADDRESS] [--json]

Prints how the tracking key KEY stands at the steward that answers, or without one how many are open, unknown and done
there, and the age of the oldest open one. A KEY that begins with - goes after --.

    --at ADDRESS       the control gate of a steward, as 10.1.0.13:8306; of several, the first that answers is asked
    --json             print JSON
    -h, --help         this page
";

const HELP_BUDGET: &str = "\
ochreshed budget --at ADDRESS [--at ADDRESS] [--json]

Prints what all gates have sent, sent again and not sent again for want of allowance, by service, in the budget's
window, and what the rules leave.

    --at ADDRESS       the control gate of a steward, as 10.1.0.13:8306; of several, the first that answers is asked
    --json             print JSON
    -h, --help         this page
";

const HELP_SESSION: &str = "\
ochreshed session count --at ADDRESS [--at ADDRESS] [--json]
ochreshed session show ID --service S --header H --at ADDRESS [--at ADDRESS] [--json]
ochreshed session move ID --to DOOR --service S --header H --at ADDRESS [--at ADDRESS] [--json]
ochreshed session forget ID --service S --header H --at ADDRESS [--at ADDRESS] [--json]

Prints how many sessions the steward holds, or where the one is whose header H says ID to the service S; has the gate
of the machine with the inbound gate DOOR take it; or drops it, so that its next req is tied anew. ID is hashed here
and not sent. An ID that begins with - goes after --.

    --service S        the line that the route sends to
    --header H         the header that the route names as its session
    --to DOOR          the inbound gate of the machine that is to have it
    --at ADDRESS       the control gate of a steward, as 10.1.0.13:8306; of several, the first that answers is asked
    --json             print JSON
    -h, --help         this page
";

const HELP_DRAIN: &str = "\
ochreshed drain UPSTREAM --at ADDRESS [--at ADDRESS] [--json]

Has nothing new sent to the server UPSTREAM; what it was sent is let finish. It lasts until that server starts again,
and can't be taken back.

    --at ADDRESS       the control gate of a steward, as 10.1.0.13:8306; of several, the first that answers is asked
    --json             print JSON
    -h, --help         this page
";

/// The mesh's words and their help.
const WORDS: [(&str, &str); 13] = [
    ("attendant", HELP_ATTENDANT),
    ("steward", HELP_STEWARD),
    ("settings", HELP_SETTINGS),
    ("hollow", HELP_HOLLOW),
    ("nodes", HELP_NODES),
    ("upstreams", HELP_UPSTREAMS),
    ("timetable", HELP_TIMETABLE),
    ("members", HELP_MEMBERS),
    ("member", HELP_MEMBER),
    ("keys", HELP_KEYS),
    ("budget", HELP_BUDGET),
    ("session", HELP_SESSION),
    ("drain", HELP_DRAIN),
];
/// What the older command line answers to.
const OLDER: [&str; 6] = ["serve", "fleet", "snapshot", "check", "version", "help"];
const VERBS: [&str; 4] = ["read", "replace", "history", "diff"];
const MEMBERS_VERBS: [&str; 3] = ["read", "replace", "diff"];
const MEMBER_VERBS: [&str; 9] =
    ["read", "plan", "replace", "diff", "status", "history", "undo", "settle", "withdraw"];
const KEY: &str = "--key";
const SETTINGS: &str = "--settings";
const AT: &str = "--at";
const SEED: &str = "--seed";
const COUNT: &str = "--count";
const INNER: &str = "--inner";
const FIRST: &str = "--first";
const SERVICES: &str = "--services";
const JSON: &str = "--json";
const SERVICE: &str = "--service";
const HEADER: &str = "--header";
const TO: &str = "--to";
const SESSION_VERBS: [&str; 4] = ["count", "show", "move", "forget"];

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    Attendant { settings: Option<PathBuf> },
    Steward { settings: Option<PathBuf> },
    Settings { settings: Option<PathBuf> },
    Hollow(hollow::Wanted),
    Client { at: Vec<SocketAddr>, json: bool, what: What },
}

/// What an operator asks of a steward.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum What {
    Nodes,
    Upstreams,
    TimetableRead,
    TimetableReplace(PathBuf),
    TimetableHistory,
    TimetableDiff(PathBuf),
    /// One key, or all.
    Keys(Option<String>),
    /// One session, or figures of all.
    Session(Option<SessionCall>),
    Budget,
    Drain(String),
    Members(Register),
    Member {
        name: String,
        what: Own,
        key: Option<PathBuf>,
    },
}

/// What is asked of the register of members.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Register {
    Read,
    Replace(PathBuf),
    Diff(PathBuf),
}

/// What is asked of one member's own routes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Own {
    Read,
    Plan(PathBuf),
    Replace(PathBuf),
    Diff(PathBuf),
    Status,
    History,
    Undo,
    Settle,
    Withdraw,
}

/// A person's session, and what is to be done about it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SessionCall {
    pub verb: &'static str,
    pub id: String,
    pub service: String,
    pub header: String,
    pub to: Option<SocketAddr>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LineError {
    /// No error: the page that was asked for, for standard output.
    Help(&'static str),
    /// A first word that is nobody's, and the one of the mesh's that was probably meant.
    NoCommand(String, &'static str),
    /// Of that command, an option or word that it doesn't have.
    Left(&'static str, String, Option<&'static str>),
    /// Of that command, an option without its value.
    NoValue(&'static str, &'static str),
    /// Of that command, an option that is given more than once.
    Twice(&'static str, &'static str),
    /// Of that command, what it can't do without.
    Wants(&'static str, &'static str),
    /// Of that command, what is given as --at and is no address.
    NoAddress(&'static str, String),
    /// Of that command, an option with a value that it can't have.
    Value(&'static str, &'static str, String),
    /// Of that command, a word that is no text.
    NoText(&'static str, String),
}

impl fmt::Display for LineError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let command = match self {
            LineError::Help(page) => return f.write_str(page),
            LineError::NoCommand(word, near) => {
                return write!(f, "there is no command {word}; {near} is near; see `ochreshed help`");
            }
            LineError::Left(command, word, near) => {
                write!(f, "{command} has no {word}")?;
                if let Some(near) = near {
                    write!(f, "; {near} is near")?;
                }
                command
            }
            LineError::NoValue(command, option) => {
                write!(f, "{option} wants a value")?;
                command
            }
            LineError::Twice(command, option) => {
                write!(f, "{option} is given more than once")?;
                command
            }
            LineError::Wants(command, what) => {
                write!(f, "{command} wants {what}")?;
                command
            }
            LineError::NoAddress(command, told) => {
                write!(f, "--at wants an IP number and a port, and {told} is none")?;
                command
            }
            LineError::Value(command, option, told) => {
                write!(f, "{option} can't be {told}")?;
                command
            }
            LineError::NoText(command, told) => {
                write!(f, "{told} is no text in UTF-8")?;
                command
            }
        };
        write!(f, "; see `ochreshed {command} --help`")
    }
}

impl std::error::Error for LineError {}

/// What the words after the program's name ask for. None when the first is none of the mesh's, so that the older command
/// line takes over; a misspelt word that is nearer to one of the mesh's than to the older ones is answered here.
pub fn parse(mut args: Vec<OsString>) -> Option<Result<Command, LineError>> {
    let first = args.first()?.to_str()?.to_owned();
    let Some((command, help)) = WORDS.iter().find(|(name, _)| *name == first) else {
        let names = WORDS.iter().map(|(name, _)| *name);
        let near = nearest(&first, OLDER.into_iter().chain(names));
        let near = near.filter(|near| !OLDER.contains(near) && !first.starts_with('-'))?;
        return Some(Err(LineError::NoCommand(first, near)));
    };
    args.remove(0);
    Some(Line::new(command, args).command(help))
}

/// The words after a subcommand.
struct Line {
    command: &'static str,
    options: Arguments,
    /// Those after `--`, which are no options whatever they look like.
    plain: Vec<OsString>,
}

impl Line {
    fn new(command: &'static str, mut args: Vec<OsString>) -> Line {
        let ends = args.iter().position(|arg| arg == "--").unwrap_or(args.len());
        let plain = args.split_off(ends).into_iter().skip(1).collect();
        let options = args.into_iter().flat_map(apart).collect();
        Line { command, options: Arguments::from_vec(options), plain }
    }

    fn command(mut self, help: &'static str) -> Result<Command, LineError> {
        if self.options.contains(["-h", "--help"]) {
            return Err(LineError::Help(help));
        }
        match self.command {
            "attendant" => self.process(|settings| Command::Attendant { settings }),
            "steward" => self.process(|settings| Command::Steward { settings }),
            "settings" => self.process(|settings| Command::Settings { settings }),
            "hollow" => self.hollow(),
            _ => self.client(),
        }
    }

    fn process(mut self, of: fn(Option<PathBuf>) -> Command) -> Result<Command, LineError> {
        let command = self.command;
        let mut files = self.values(SETTINGS)?;
        if files.len() > 1 {
            return Err(LineError::Twice(command, SETTINGS));
        }
        let file = files.pop();
        let words = self.words(&[SETTINGS])?;
        nothing_left(command, words.into_iter())?;
        Ok(of(file.map(PathBuf::from)))
    }

    fn hollow(mut self) -> Result<Command, LineError> {
        let command = self.command;
        let told = self.values(SEED)?;
        let bad_seed = |told: &OsString| LineError::Value(command, SEED, told.to_string_lossy().into_owned());
        let seed = |told: &OsString| address(command, told).map_err(|_| bad_seed(told));
        let seeds = told.iter().map(seed).collect::<Result<Vec<_>, _>>()?;
        let count = self.number(COUNT, 1..=5_000)?.ok_or(LineError::Wants(command, COUNT))?;
        let inner = self.number(INNER, 1..=65_535)?.ok_or(LineError::Wants(command, INNER))?;
        let first = self.number(FIRST, 0..=1_000_000)?.unwrap_or(0);
        let services = self.number(SERVICES, 1..=1_000)?.unwrap_or(10);
        if seeds.is_empty() {
            return Err(LineError::Wants(command, SEED));
        }
        let words = self.words(&[SEED, COUNT, INNER, FIRST, SERVICES])?;
        nothing_left(command, words.into_iter())?;
        let inner = inner as u16;
        Ok(Command::Hollow(hollow::Wanted { count, first, seeds, inner, services }))
    }

    /// An option's number, which may be told once.
    fn number(
        &mut self,
        name: &'static str,
        within: std::ops::RangeInclusive<usize>,
    ) -> Result<Option<usize>, LineError> {
        let mut told = self.values(name)?;
        if told.len() > 1 {
            return Err(LineError::Twice(self.command, name));
        }
        let Some(text) = told.pop() else { return Ok(None) };
        let number = text.to_str().and_then(|text| text.parse().ok());
        let number = number.filter(|number| within.contains(number));
        let bad = || LineError::Value(self.command, name, text.to_string_lossy().into_owned());
        number.ok_or_else(bad).map(Some)
    }

    fn client(mut self) -> Result<Command, LineError> {
        let command = self.command;
        let mut json = false;
        while self.options.contains(JSON) {
            json = true;
        }
        let told = self.values(AT)?;
        let at = told.iter().map(|told| address(command, told)).collect::<Result<Vec<_>, _>>()?;
        let session = match command {
            "session" => [SERVICE, HEADER, TO].map(|option| self.values(option)),
            _ => [const { Ok(Vec::new()) }; 3],
        };
        let key = if command == "member" { self.values(KEY)? } else { Vec::new() };
        if key.len() > 1 {
            return Err(LineError::Twice(command, KEY));
        }
        let key = key.into_iter().next().map(PathBuf::from);
        let options: &[_] = match command {
            "member" => &[AT, JSON, KEY],
            "session" => &[AT, JSON, SERVICE, HEADER, TO],
            _ => &[AT, JSON],
        };
        let mut words = self.words(options)?.into_iter();
        let what = match command {
            "nodes" => What::Nodes,
            "upstreams" => What::Upstreams,
            "budget" => What::Budget,
            "keys" => {
                What::Keys(words.next().map(|key| text(command, key, "a KEY that is not empty")).transpose()?)
            }
            "session" => What::Session(session_call(command, session, &mut words)?),
            "drain" => {
                let upstream = words.next().ok_or(LineError::Wants(command, "an UPSTREAM"))?;
                What::Drain(text(command, upstream, "an UPSTREAM")?)
            }
            "members" => {
                let verb = words.next().unwrap_or_default();
                match verb.to_str() {
                    Some("read") => What::Members(Register::Read),
                    Some("replace") => What::Members(Register::Replace(file(command, &mut words, REPLACES)?)),
                    Some("diff") => What::Members(Register::Diff(file(command, &mut words, COMPARES)?)),
                    Some("") => return Err(LineError::Wants(command, "read, replace FILE or diff FILE")),
                    _ => return Err(left(command, &verb, &MEMBERS_VERBS)),
                }
            }
            "member" => {
                let name = words.next().ok_or(LineError::Wants(command, "the NAME of a member"))?;
                let name = text(command, name, "the NAME of a member")?;
                let what = own(command, &mut words)?;
                What::Member { name, what, key }
            }
            // Timetable, the only one left.
            _ => {
                let verb = words.next().unwrap_or_default();
                let mut file = |wants| file(command, &mut words, wants);
                match verb.to_str() {
                    Some("read") => What::TimetableRead,
                    Some("replace") => What::TimetableReplace(file(REPLACES)?),
                    Some("history") => What::TimetableHistory,
                    Some("diff") => What::TimetableDiff(file(COMPARES)?),
                    Some("") => {
                        return Err(LineError::Wants(command, "read, replace FILE, history or diff FILE"));
                    }
                    _ => return Err(left(command, &verb, &VERBS)),
                }
            }
        };
        nothing_left(command, words)?;
        if at.is_empty() {
            return Err(LineError::Wants(command, "--at ADDRESS, the control gate of a steward"));
        }
        Ok(Command::Client { at, json, what })
    }

    /// All that an option is given; a value doesn't look like an option.
    fn values(&mut self, option: &'static str) -> Result<Vec<OsString>, LineError> {
        let values = self.options.values_from_os_str(option, |told| Ok::<_, Infallible>(told.to_owned()));
        let values = values.map_err(|_| LineError::NoValue(self.command, option))?;
        if values.iter().any(|value| value.is_empty() || is_option(value)) {
            return Err(LineError::NoValue(self.command, option));
        }
        Ok(values)
    }

    /// What is no option, once all options were taken; `options` are those there are.
    fn words(self, options: &[&'static str]) -> Result<Vec<OsString>, LineError> {
        let mut words = self.options.finish();
        match words.iter().find(|word| is_option(word)) {
            Some(option) => Err(left(self.command, option, options)),
            None => {
                words.extend(self.plain);
                Ok(words)
            }
        }
    }
}

const REPLACES: &str = "a FILE to replace it with";
const COMPARES: &str = "a FILE to compare it with";

fn file(
    command: &'static str,
    words: &mut impl Iterator<Item = OsString>,
    wants: &'static str,
) -> Result<PathBuf, LineError> {
    match words.next() {
        Some(file) if !file.is_empty() => Ok(PathBuf::from(file)),
        _ => Err(LineError::Wants(command, wants)),
    }
}

fn own(command: &'static str, words: &mut impl Iterator<Item = OsString>) -> Result<Own, LineError> {
    let verb = words.next().unwrap_or_default();
    Ok(match verb.to_str() {
        Some("read") => Own::Read,
        Some("plan") => Own::Plan(file(command, words, "a FILE to plan with")?),
        Some("replace") => Own::Replace(file(command, words, REPLACES)?),
        Some("diff") => Own::Diff(file(command, words, COMPARES)?),
        Some("status") => Own::Status,
        Some("history") => Own::History,
        Some("undo") => Own::Undo,
        Some("settle") => Own::Settle,
        Some("withdraw") => Own::Withdraw,
        Some("") => {
            let wants = "read, plan FILE, replace FILE, diff FILE, status, history, undo, settle or withdraw";
            return Err(LineError::Wants(command, wants));
        }
        _ => return Err(left(command, &verb, &MEMBER_VERBS)),
    })
}

/// `--at=ADDRESS` is `--at ADDRESS`.
fn apart(arg: OsString) -> Vec<OsString> {
    let pair = arg.to_str().and_then(|arg| arg.split_once('='));
    match pair {
        Some((option, value)) if [AT, SETTINGS, KEY].contains(&option) => vec![option.into(), value.into()],
        _ => vec![arg],
    }
}

/// A single `-` is none, but the standard input.
fn is_option(word: &OsStr) -> bool {
    word.len() > 1 && word.to_string_lossy().starts_with('-')
}

fn address(command: &'static str, told: &OsStr) -> Result<SocketAddr, LineError> {
    let address = told.to_str().and_then(|told| told.parse::<SocketAddr>().ok());
    let address = address.filter(|address| !address.ip().is_unspecified() && address.port() > 0);
    address.ok_or_else(|| LineError::NoAddress(command, shown(told)))
}

fn text(command: &'static str, word: OsString, wants: &'static str) -> Result<String, LineError> {
    match word.into_string() {
        Ok(word) if word.is_empty() => Err(LineError::Wants(command, wants)),
        Ok(word) => Ok(word),
        Err(word) => Err(LineError::NoText(command, shown(&word))),
    }
}

fn session_call(
    command: &'static str,
    [service, header, to]: [Result<Vec<OsString>, LineError>; 3],
    words: &mut impl Iterator<Item = OsString>,
) -> Result<Option<SessionCall>, LineError> {
    let verb = words.next().ok_or(LineError::Wants(command, "count, show ID, move ID or forget ID"))?;
    let Some(verb) = SESSION_VERBS.into_iter().find(|known| verb == *known) else {
        return Err(left(command, &verb, &SESSION_VERBS));
    };
    if verb == "count" {
        return Ok(None);
    }
    let one = |told: Result<Vec<OsString>, LineError>, option, wants| {
        let mut told = told?;
        match (told.pop(), told.is_empty()) {
            (Some(told), true) => Ok(told),
            (None, _) => Err(LineError::Wants(command, wants)),
            _ => Err(LineError::Twice(command, option)),
        }
    };
    let id = words.next().ok_or(LineError::Wants(command, "an ID"))?;
    let id = text(command, id, "an ID that is not empty")?;
    let wants = "--service S, the line that the route sends to";
    let service = text(command, one(service, SERVICE, wants)?, wants)?;
    let wants = "--header H, which the route names";
    let header = text(command, one(header, HEADER, wants)?, wants)?;
    let to = match verb {
        "move" => Some(address(command, &one(to, TO, "--to DOOR, an inbound gate")?)?),
        _ => None,
    };
    Ok(Some(SessionCall { verb, id, service, header, to }))
}

/// Names all that is left.
fn nothing_left(command: &'static str, words: impl Iterator<Item = OsString>) -> Result<(), LineError> {
    let words: Vec<_> = words.map(|word| shown(&word)).collect();
    if words.is_empty() { Ok(()) } else { Err(LineError::Left(command, words.join(" "), None)) }
}

fn left(command: &'static str, word: &OsStr, there_are: &[&'static str]) -> LineError {
    let near = word.to_str().and_then(|word| nearest(word, there_are.iter().copied()));
    LineError::Left(command, shown(word), near)
}

/// Words from the line may hold anything, and go to a terminal.
fn shown(word: &OsStr) -> String {
    if word.is_empty() { "\"\"".into() } else { word.to_string_lossy().escape_debug().to_string() }
}

/// The one that was probably meant.
fn nearest(word: &str, all: impl Iterator<Item = &'static str>) -> Option<&'static str> {
    let (distance, near) = all.map(|one| (strsim::osa_distance(word, one), one)).min()?;
    (distance <= 2 && distance * 2 < near.len()).then_some(near)
}

#[cfg(test)]
mod tests;
