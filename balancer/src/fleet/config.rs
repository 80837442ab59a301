//! The fleet configuration file (TOML).
//!
//! Unknown settings and invalid values are errors. All errors in a file are reported together, each with its
//! line.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::Range;
use std::path::{Path, PathBuf};

use toml::Spanned;
use toml::de::{DeTable, DeValue};

const MAX_NAME_BYTES: usize = 64;
const MAX_SEEDS: usize = 100;
/// The settings that exist.
const SETTINGS: [&str; 5] = ["fleet", "listen", "seeds", "reach", "snapshots"];

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetConfig {
    /// The name of the fleet; messages from instances of another fleet are ignored.
    pub fleet: String,
    /// The UDP and TCP address for messages between instances.
    pub listen: SocketAddr,
    /// Addresses of some other instances, for the first contact.
    pub seeds: Vec<SocketAddr>,
    /// Addresses of instances by name, where they differ from the ones that the instances listen at.
    pub reach: BTreeMap<String, SocketAddr>,
    /// The folder for snapshots; without it none are written.
    pub snapshots: Option<PathBuf>,
}

impl FleetConfig {
    /// Reads and checks the file. The error names the file and everything that is wrong in it.
    pub fn read(path: &Path, peers_allowed: bool) -> Result<FleetConfig, String> {
        let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
        let mut errors = Vec::new();
        let config = FleetConfig::parse(&text).map_err(|found| errors = found).ok();
        if !peers_allowed {
            errors.push("the settings don't allow messages between instances (/Limits/Peers)".into());
        }
        match config.filter(|_| errors.is_empty()) {
            Some(config) => Ok(config),
            None => Err(format!("{}: {}", path.display(), errors.join("; "))),
        }
    }

    fn parse(text: &str) -> Result<FleetConfig, Vec<String>> {
        let table = DeTable::parse(text).map_err(|e| vec![e.to_string().trim_end().replace('\n', " ")])?;
        let mut errors = ConfigErrors { text, found: Vec::new() };
        let (mut fleet, mut listen, mut seeds, mut reach, mut snapshots) =
            (None, None, Vec::new(), BTreeMap::new(), None);
        for (key, value) in table.get_ref() {
            match (key.get_ref().as_ref(), value.get_ref()) {
                ("fleet", DeValue::String(name)) if is_valid_name(name) => fleet = Some(name.to_string()),
                ("fleet", _) => {
                    errors.add(value.span(), format!("fleet: a name of 1 to {MAX_NAME_BYTES} bytes"))
                }
                ("listen", _) => {
                    listen = errors
                        .address(value, "listen: the address and port that others reach this instance at");
                }
                ("seeds", DeValue::Array(all)) if all.len() <= MAX_SEEDS => {
                    seeds = all
                        .iter()
                        .filter_map(|seed| errors.address(seed, "seeds: an address and port"))
                        .collect();
                }
                ("seeds", _) => {
                    errors.add(value.span(), format!("seeds: a list of {MAX_SEEDS} addresses at the most"))
                }
                ("reach", DeValue::Table(all)) => {
                    for (name, value) in all {
                        let instance = name.get_ref().as_ref();
                        if !is_valid_name(instance) {
                            errors.add(name.span(), format!("reach: names of 1 to {MAX_NAME_BYTES} bytes"));
                        }
                        if let Some(address) =
                            errors.address(value, &format!("reach.{instance}: an address and port"))
                        {
                            reach.insert(instance.to_owned(), address);
                        }
                    }
                }
                ("reach", _) => errors.add(value.span(), "reach: a table of names and addresses".into()),
                ("snapshots", DeValue::String(folder)) if !folder.is_empty() => {
                    snapshots = Some(PathBuf::from(folder.as_ref()));
                }
                ("snapshots", _) => errors.add(value.span(), "snapshots: a folder".into()),
                (other, _) => {
                    errors.add(key.span(), format!("unknown setting {other}{}", suggest_setting(other)))
                }
            }
        }
        for name in ["fleet", "listen"].into_iter().filter(|name| !table.get_ref().contains_key(*name)) {
            errors.found.push((0, format!("{name} is missing")));
        }
        match (fleet, listen) {
            (Some(fleet), Some(listen)) if errors.found.is_empty() => {
                Ok(FleetConfig { fleet, listen, seeds, reach, snapshots })
            }
            _ => Err(errors.into_lines()),
        }
    }
}

fn is_valid_name(name: &str) -> bool {
    (1..=MAX_NAME_BYTES).contains(&name.len())
}

/// The errors in a file, each with its line number; 0 for a missing setting.
struct ConfigErrors<'a> {
    text: &'a str,
    found: Vec<(usize, String)>,
}

impl ConfigErrors<'_> {
    fn add(&mut self, span: Range<usize>, what: String) {
        let line = 1 + self.text[..span.start.min(self.text.len())].matches('\n').count();
        self.found.push((line, what));
    }

    /// Reads an address that a message can be sent to.
    fn address(&mut self, value: &Spanned<DeValue<'_>>, what: &str) -> Option<SocketAddr> {
        let value_text = &self.text[value.span()];
        let address = value.get_ref().as_str().and_then(|text| text.parse::<SocketAddr>().ok());
        let address = address.filter(|address| !address.ip().is_unspecified() && address.port() > 0);
        if address.is_none() {
            self.add(value.span(), format!("{what}; {value_text} is none"));
        }
        address
    }

    fn into_lines(mut self) -> Vec<String> {
        self.found.sort();
        let render = |(line, what)| if line > 0 { format!("line {line}: {what}") } else { what };
        self.found.into_iter().map(render).collect()
    }
}

/// Suggests the setting that was probably meant.
fn suggest_setting(name: &str) -> String {
    let nearest = SETTINGS.iter().map(|setting| (strsim::levenshtein(name, setting), setting)).min();
    nearest
        .filter(|(distance, _)| *distance <= 3)
        .map_or(String::new(), |(_, setting)| format!("; did you mean {setting}?"))
}

#[cfg(test)]
mod tests {
    use super::*;

    const VALID: &str = "fleet = \"shop\"\nlisten = \"127.0.0.1:7001\"\nseeds = [\"127.0.0.1:7002\"]\n[reach]\nn3 = \"127.0.0.1:7003\"\n";

    fn errors_after_replacing(from: &str, to: &str) -> Vec<String> {
        FleetConfig::parse(&VALID.replace(from, to)).expect_err(to)
    }

    #[test]
    fn each_error_is_reported_with_its_line() {
        let valid = FleetConfig::parse(VALID).expect("valid");
        assert_eq!((valid.seeds.len(), valid.reach.len()), (1, 1));
        let example = FleetConfig::parse(include_str!("../../../deploy/fleet.toml"));
        assert!(example.is_ok_and(|example| example.snapshots.is_some()), "the example");
        assert_eq!(
            errors_after_replacing("seeds", "seed"),
            ["line 3: unknown setting seed; did you mean seeds?"]
        );
        assert_eq!(errors_after_replacing("seeds", "moons"), ["line 3: unknown setting moons"]);
        assert_eq!(errors_after_replacing("\"shop\"", "\"\""), ["line 1: fleet: a name of 1 to 64 bytes"]);
        assert_eq!(errors_after_replacing("\"shop\"", "7"), ["line 1: fleet: a name of 1 to 64 bytes"]);
        assert_eq!(
            errors_after_replacing("127.0.0.1:7002", "here"),
            ["line 3: seeds: an address and port; \"here\" is none"]
        );
        assert_eq!(
            errors_after_replacing("127.0.0.1:7003", "::0"),
            ["line 5: reach.n3: an address and port; \"::0\" is none"]
        );
        assert!(
            errors_after_replacing("127.0.0.1:7001", "0.0.0.0:7001")[0]
                .starts_with("line 2: listen: the address")
        );
        assert!(errors_after_replacing("fleet = \"shop\"", "fleet = ")[0].contains("line 1"), "no TOML");
    }

    #[test]
    fn all_errors_are_reported_together() {
        let text = "listn = \"127.0.0.1:7001\"\nseeds = [\"x\", \"127.0.0.1:0\"]\nreach = 3\n";
        let lines = FleetConfig::parse(text).expect_err("wrong");
        assert_eq!(
            lines[..3],
            ["fleet is missing", "listen is missing", "line 1: unknown setting listn; did you mean listen?"]
        );
        assert_eq!(
            lines[3..].iter().map(|line| &line[..6]).collect::<Vec<_>>(),
            ["line 2", "line 2", "line 3"]
        );
    }
}
