//! The settings file of a mesh process (TOML): what a process knows of itself and of its machine when it starts.
//!
//! [`Settings`] is a file that was read and checked. The operators' words for its fields (`station`, `vehicle_class`,
//! `counters`, `tolerate` and so on) appear in [`reader`] and in the texts shown, and nowhere behind it. What is wrong
//! with a file is a list of [`SettingsIssue`].
//!
//! Invariants:
//! - No value gets through that the rest of the program could not run on.
//! - Reading does not stop at the first issue: all of them are reported at once, each with its line and field.
//! - Unknown fields are ignored, because the file may grow.

mod bounds;
mod error;
mod limits;
mod reader;
mod tolerance;

use std::collections::BTreeMap;
use std::fs::File;
use std::io::Read;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};

pub use bounds::OperatingBounds;
pub use error::{SettingsError, SettingsIssue};
pub use limits::{ProxyCapacity, ReplicaCapacity, ResourceLimits};
pub use tolerance::FaultTolerance;

use reader::fields;

/// The environment variable that names the file where the command line does not.
const SETTINGS_VARIABLE: &str = "OCHRESHED_SETTINGS";
/// A settings file is about a page, so a longer file is taken for something else.
const MAX_FILE_BYTES: u64 = 1 << 20;

/// The checked settings of one mesh process.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The name of this process in the deployment.
    pub node_name: String,
    /// The role of this process as the deployment calls it; it is not interpreted.
    pub role: String,
    /// The deployment's class of this node; it is not interpreted.
    pub node_class: String,
    /// What the node serves, as the deployment calls it; it is not interpreted.
    pub serves: Vec<String>,
    /// The address of the machine.
    pub ip: IpAddr,
    /// The zone of the machine.
    pub zone: String,
    /// The region of the machine.
    pub region: String,
    /// The ports that are free for messages between the processes of the mesh.
    pub internal_ports: PortRange,
    /// Control addresses of a few replicas, to begin with.
    pub seeds: Vec<SocketAddr>,
    /// Whether a process with an empty disk may begin a new mesh. It is set only on the very first start of the whole
    /// system.
    pub bootstrap: bool,
    /// Whether this machine is one of those that `fault_tolerance` counts.
    pub counted: bool,
    /// The folder in which a replica keeps its state.
    pub data_dir: Option<PathBuf>,
    /// The interval between heartbeats, in milliseconds.
    pub heartbeat_interval_ms: u64,
    /// The address of the upstream beside an attendant.
    pub upstream_address: Option<SocketAddr>,
    /// The service that the upstream belongs to.
    pub service: Option<String>,
    /// The region of each zone.
    pub zone_regions: BTreeMap<String, String>,
    /// Where requests from other attendants to the upstream are accepted.
    pub inbound_listen: Option<SocketAddr>,
    /// Where requests of the local application are accepted.
    pub outbound_listen: Option<SocketAddr>,
    /// Where readiness is asked for.
    pub readiness_listen: Option<SocketAddr>,
    /// Where operators' calls are accepted.
    pub control_listen: Option<SocketAddr>,
    /// What this process may use of its machine.
    pub limits: ResourceLimits,
    /// What may be lost at once while every rule still holds.
    pub fault_tolerance: FaultTolerance,
    /// The figures of the rules in force.
    pub bounds: OperatingBounds,
}

/// A range of ports with both ends in it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PortRange {
    /// The lowest port.
    pub first: u16,
    /// The highest port, which is not below `first`.
    pub last: u16,
}

impl Settings {
    /// The file that was given, or else the one that the environment names.
    pub fn path(given: Option<PathBuf>) -> Result<PathBuf, SettingsError> {
        let from_environment = || std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from);
        let path = given.or_else(from_environment);
        path.filter(|path| !path.as_os_str().is_empty()).ok_or(SettingsError::NoFile)
    }

    /// Reads and checks a settings file.
    pub fn read(path: &Path) -> Result<Settings, SettingsError> {
        let unreadable = |reason| SettingsError::Unreadable { path: path.to_owned(), reason };
        let bytes = read_bounded(path).map_err(|error| unreadable(error.to_string()))?;
        if bytes.len() as u64 > MAX_FILE_BYTES {
            return Err(unreadable(format!("more than {MAX_FILE_BYTES} bytes are no settings")));
        }
        let text = decode_utf8(&bytes).map_err(|issue| SettingsError::Invalid(vec![issue]))?;
        Settings::parse(text).map_err(SettingsError::Invalid)
    }

    /// Checks the text of a settings file. The error has all issues, in the order of their lines.
    pub fn parse(text: &str) -> Result<Settings, Vec<SettingsIssue>> {
        reader::read_settings(text)
    }

    /// Reports what is missing that an attendant needs.
    pub fn check_proxy(&self) -> Result<(), Vec<SettingsIssue>> {
        check_present(&[
            (fields::INBOUND_LISTEN, self.inbound_listen.is_some()),
            (fields::OUTBOUND_LISTEN, self.outbound_listen.is_some()),
            (fields::READINESS_LISTEN, self.readiness_listen.is_some()),
            (fields::CONTROL_LISTEN, self.control_listen.is_some()),
            (fields::UPSTREAM_ADDRESS, self.upstream_address.is_some()),
            (fields::SERVICE, self.service.is_some()),
        ])
    }

    /// Reports what is missing that a replica of the control plane needs.
    pub fn check_replica(&self) -> Result<(), Vec<SettingsIssue>> {
        check_present(&[
            (fields::CONTROL_LISTEN, self.control_listen.is_some()),
            (fields::DATA_DIR, self.data_dir.is_some()),
        ])
    }
}

/// Reads one byte more than a file may have, so that a longer file shows.
fn read_bounded(path: &Path) -> std::io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    File::open(path)?.take(MAX_FILE_BYTES + 1).read_to_end(&mut bytes)?;
    Ok(bytes)
}

fn decode_utf8(bytes: &[u8]) -> Result<&str, SettingsIssue> {
    std::str::from_utf8(bytes).map_err(|error| {
        let valid = &bytes[..error.valid_up_to()];
        let line = 1 + valid.iter().filter(|byte| **byte == b'\n').count();
        SettingsIssue::at_line(line, fields::WHOLE_FILE, "is not UTF-8 here")
    })
}

fn check_present(fields: &[(&str, bool)]) -> Result<(), Vec<SettingsIssue>> {
    let missing = fields.iter().filter(|(_, present)| !present);
    let issues: Vec<_> = missing.map(|(field, _)| SettingsIssue::missing(field)).collect();
    if issues.is_empty() { Ok(()) } else { Err(issues) }
}

#[cfg(test)]
mod tests;
