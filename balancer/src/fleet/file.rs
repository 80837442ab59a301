//! The operator's own file of a fleet (TOML). It owns reading and checking it, and must never let a file through of which
//! a line was not understood: all that is wrong is said at once, each with its place.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::Range;
use std::path::{Path, PathBuf};

use toml::Spanned;
use toml::de::{DeTable, DeValue};

const MOST_NAME: usize = 64;
const MOST_SEEDS: usize = 100;
/// Lines there are.
const LINES: [&str; 5] = ["fleet", "listen", "seeds", "reach", "snapshots"];

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetFile {
    /// Instances of another fleet are not heard.
    pub fleet: String,
    /// Where this instance speaks with others, by UDP and TCP.
    pub listen: SocketAddr,
    /// Some of the others, to begin with.
    pub seeds: Vec<SocketAddr>,
    /// Where an instance is reached from here, by its name, if not where it listens.
    pub reach: BTreeMap<String, SocketAddr>,
    /// The folder for snapshots of what this instance knows; none are written without.
    pub snapshots: Option<PathBuf>,
}

impl FleetFile {
    /// Reads and checks it; the error says where and what.
    pub fn read(path: &Path, peers_allowed: bool) -> Result<FleetFile, String> {
        let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
        let mut wrong = Vec::new();
        let file = FleetFile::parse(&text).map_err(|lines| wrong = lines).ok();
        if !peers_allowed {
            wrong.push("the settings don't allow messages between instances (/Limits/Peers)".into());
        }
        match file.filter(|_| wrong.is_empty()) {
            Some(file) => Ok(file),
            None => Err(format!("{}: {}", path.display(), wrong.join("; "))),
        }
    }

    fn parse(text: &str) -> Result<FleetFile, Vec<String>> {
        let table = DeTable::parse(text).map_err(|e| vec![e.to_string().trim_end().replace('\n', " ")])?;
        let mut wrong = Wrong { text, lines: Vec::new() };
        let (mut fleet, mut listen, mut seeds, mut reach, mut snapshots) =
            (None, None, Vec::new(), BTreeMap::new(), None);
        for (key, value) in table.get_ref() {
            match (key.get_ref().as_ref(), value.get_ref()) {
                ("fleet", DeValue::String(name)) if named(name) => fleet = Some(name.to_string()),
                ("fleet", _) => wrong.at(value.span(), format!("fleet: a name of 1 to {MOST_NAME} bytes")),
                ("listen", _) => {
                    listen = wrong
                        .address(value, "listen: the address and port that others reach this instance at");
                }
                ("seeds", DeValue::Array(all)) if all.len() <= MOST_SEEDS => {
                    seeds = all
                        .iter()
                        .filter_map(|seed| wrong.address(seed, "seeds: an address and port"))
                        .collect();
                }
                ("seeds", _) => {
                    wrong.at(value.span(), format!("seeds: a list of {MOST_SEEDS} addresses at the most"))
                }
                ("reach", DeValue::Table(all)) => {
                    for (name, value) in all {
                        let of = name.get_ref().as_ref();
                        if !named(of) {
                            wrong.at(name.span(), format!("reach: names of 1 to {MOST_NAME} bytes"));
                        }
                        if let Some(address) =
                            wrong.address(value, &format!("reach.{of}: an address and port"))
                        {
                            reach.insert(of.to_owned(), address);
                        }
                    }
                }
                ("reach", _) => wrong.at(value.span(), "reach: a table of names and addresses".into()),
                ("snapshots", DeValue::String(folder)) if !folder.is_empty() => {
                    snapshots = Some(PathBuf::from(folder.as_ref()));
                }
                ("snapshots", _) => wrong.at(value.span(), "snapshots: a folder".into()),
                (other, _) => wrong.at(key.span(), format!("there is no {other}{}", nearest(other))),
            }
        }
        for name in ["fleet", "listen"].into_iter().filter(|name| !table.get_ref().contains_key(*name)) {
            wrong.lines.push((0, format!("{name} is missing")));
        }
        match (fleet, listen) {
            (Some(fleet), Some(listen)) if wrong.lines.is_empty() => {
                Ok(FleetFile { fleet, listen, seeds, reach, snapshots })
            }
            _ => Err(wrong.said()),
        }
    }
}

fn named(name: &str) -> bool {
    (1..=MOST_NAME).contains(&name.len())
}

/// What is wrong in a file, with the line that it stands in; what is missing stands in none.
struct Wrong<'a> {
    text: &'a str,
    lines: Vec<(usize, String)>,
}

impl Wrong<'_> {
    fn at(&mut self, span: Range<usize>, what: String) {
        let line = 1 + self.text[..span.start.min(self.text.len())].matches('\n').count();
        self.lines.push((line, what));
    }

    /// An address that a message can be sent to.
    fn address(&mut self, value: &Spanned<DeValue<'_>>, what: &str) -> Option<SocketAddr> {
        let told = &self.text[value.span()];
        let address = value.get_ref().as_str().and_then(|text| text.parse::<SocketAddr>().ok());
        let address = address.filter(|address| !address.ip().is_unspecified() && address.port() > 0);
        if address.is_none() {
            self.at(value.span(), format!("{what}; {told} is none"));
        }
        address
    }

    fn said(mut self) -> Vec<String> {
        self.lines.sort();
        let said = |(line, what)| if line > 0 { format!("line {line}: {what}") } else { what };
        self.lines.into_iter().map(said).collect()
    }
}

/// The line that was probably meant.
fn nearest(name: &str) -> String {
    let near = LINES.iter().map(|line| (strsim::levenshtein(name, line), line)).min();
    near.filter(|(distance, _)| *distance <= 3).map_or(String::new(), |(_, line)| format!("; {line} is near"))
}

#[cfg(test)]
mod tests {
    use super::*;

    const RIGHT: &str = "fleet = \"shop\"\nlisten = \"127.0.0.1:7001\"\nseeds = [\"127.0.0.1:7002\"]\n[reach]\nn3 = \"127.0.0.1:7003\"\n";

    fn wrong(from: &str, to: &str) -> Vec<String> {
        FleetFile::parse(&RIGHT.replace(from, to)).expect_err(to)
    }

    #[test]
    fn what_is_wrong_is_named_with_its_line() {
        let right = FleetFile::parse(RIGHT).expect("right");
        assert_eq!((right.seeds.len(), right.reach.len()), (1, 1));
        let example = FleetFile::parse(include_str!("../../../deploy/fleet.toml"));
        assert!(example.is_ok_and(|example| example.snapshots.is_some()), "the example");
        assert_eq!(wrong("seeds", "seed"), ["line 3: there is no seed; seeds is near"]);
        assert_eq!(wrong("seeds", "moons"), ["line 3: there is no moons"]);
        assert_eq!(wrong("\"shop\"", "\"\""), ["line 1: fleet: a name of 1 to 64 bytes"]);
        assert_eq!(wrong("\"shop\"", "7"), ["line 1: fleet: a name of 1 to 64 bytes"]);
        assert_eq!(wrong("127.0.0.1:7002", "here"), ["line 3: seeds: an address and port; \"here\" is none"]);
        assert_eq!(
            wrong("127.0.0.1:7003", "::0"),
            ["line 5: reach.n3: an address and port; \"::0\" is none"]
        );
        assert!(wrong("127.0.0.1:7001", "0.0.0.0:7001")[0].starts_with("line 2: listen: the address"));
        assert!(wrong("fleet = \"shop\"", "fleet = ")[0].contains("line 1"), "no TOML");
    }

    #[test]
    fn all_that_is_wrong_is_said_at_once() {
        let text = "listn = \"127.0.0.1:7001\"\nseeds = [\"x\", \"127.0.0.1:0\"]\nreach = 3\n";
        let lines = FleetFile::parse(text).expect_err("wrong");
        assert_eq!(
            lines[..3],
            ["fleet is missing", "listen is missing", "line 1: there is no listn; listen is near"]
        );
        assert_eq!(
            lines[3..].iter().map(|line| &line[..6]).collect::<Vec<_>>(),
            ["line 2", "line 2", "line 3"]
        );
    }
}
