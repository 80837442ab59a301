//! The settings file of a mesh process (TOML).
//!
//! [`Settings`] is a file that was read and validated. The operators' names of its fields (`station`, `vehicle_class`,
//! `counters`, `tolerate` and so on) are used only by [`reader`] and in messages. Problems in a file are reported as a
//! list of [`SettingsIssue`].
//!
//! Invariants:
//! - Every value in `Settings` was validated, so that the rest of the program can use it without further checks.
//! - Reading does not stop at the first issue: all of them are reported at once, each with its line and field.
//! - Unknown fields are ignored, so that later versions can add fields.

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

/// The environment variable with the path of the file, used if the command line names none.
const SETTINGS_PATH_VARIABLE: &str = "OCHRESHED_SETTINGS";
/// A settings file is about a page long, so a longer file is assumed to be something else and rejected.
const MAX_FILE_BYTES: u64 = 1 << 20;

/// The validated settings of a mesh process.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The name of this process in the deployment.
    pub node_name: String,
    /// The deployment's name for the role of this process; not interpreted.
    pub role: String,
    /// The deployment's class of this node; not interpreted.
    pub node_class: String,
    /// The deployment's names of what the node serves; not interpreted.
    pub serves: Vec<String>,
    /// The address of the machine.
    pub ip: IpAddr,
    /// The zone of the machine.
    pub zone: String,
    /// The region of the machine.
    pub region: String,
    /// The ports available for messages between mesh processes.
    pub internal_ports: PortRange,
    /// Control addresses of a few replicas, for bootstrapping.
    pub seeds: Vec<SocketAddr>,
    /// Whether a process with an empty disk may create a new mesh. Set only for the first start of the whole system.
    pub bootstrap: bool,
    /// Whether this machine counts toward `fault_tolerance`.
    pub counted: bool,
    /// The directory for a replica's persistent state.
    pub data_dir: Option<PathBuf>,
    /// The interval between heartbeats, in milliseconds.
    pub heartbeat_interval_ms: u64,
    /// The address of an attendant's local upstream.
    pub upstream_address: Option<SocketAddr>,
    /// The service that the upstream belongs to.
    pub service: Option<String>,
    /// The region of each zone.
    pub zone_regions: BTreeMap<String, String>,
    /// The listener for requests from other attendants to the upstream.
    pub inbound_listen: Option<SocketAddr>,
    /// The listener for requests from the local application.
    pub outbound_listen: Option<SocketAddr>,
    /// The listener for readiness checks.
    pub readiness_listen: Option<SocketAddr>,
    /// The listener for operators' calls.
    pub control_listen: Option<SocketAddr>,
    /// The resources of the machine that this process may use.
    pub limits: ResourceLimits,
    /// The simultaneous failures under which all guarantees hold.
    pub fault_tolerance: FaultTolerance,
    /// The operating bounds of the deployment.
    pub bounds: OperatingBounds,
}

/// An inclusive range of ports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PortRange {
    /// The lowest port.
    pub first: u16,
    /// The highest port, at least `first`.
    pub last: u16,
}

impl Settings {
    /// Returns the given path, or else the one in the environment.
    pub fn path(given: Option<PathBuf>) -> Result<PathBuf, SettingsError> {
        let from_environment = || std::env::var_os(SETTINGS_PATH_VARIABLE).map(PathBuf::from);
        let path = given.or_else(from_environment);
        path.filter(|path| !path.as_os_str().is_empty()).ok_or(SettingsError::NoFile)
    }

    /// Reads and validates a settings file.
    pub fn read(path: &Path) -> Result<Settings, SettingsError> {
        let unreadable = |reason| SettingsError::Unreadable { path: path.to_owned(), reason };
        let bytes = read_bounded(path).map_err(|error| unreadable(error.to_string()))?;
        if bytes.len() as u64 > MAX_FILE_BYTES {
            return Err(unreadable(format!("more than {MAX_FILE_BYTES} bytes are no settings")));
        }
        let text = decode_utf8(&bytes).map_err(|issue| SettingsError::Invalid(vec![issue]))?;
        Settings::parse(text).map_err(SettingsError::Invalid)
    }

    /// Parses and validates the text of a settings file. The error has all issues, ordered by line.
    pub fn parse(text: &str) -> Result<Settings, Vec<SettingsIssue>> {
        reader::read_settings(text)
    }

    /// Checks that the fields required by an attendant are present.
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

    /// Checks that the fields required by a control plane replica are present.
    pub fn check_replica(&self) -> Result<(), Vec<SettingsIssue>> {
        check_present(&[
            (fields::CONTROL_LISTEN, self.control_listen.is_some()),
            (fields::DATA_DIR, self.data_dir.is_some()),
        ])
    }
}

/// Reads up to one byte beyond the limit, so that the caller can detect a longer file.
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
