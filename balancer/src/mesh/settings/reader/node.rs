//! The top-level fields of the file: name, role, location and seeds of the process.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;

use toml::de::DeTable;

use super::super::PortRange;
use super::super::bounds::MAX_DURATION_SECONDS;
use super::{SettingsIssue, SettingsReader, TomlValue, fields};

const DEFAULT_HEARTBEAT_INTERVAL_MS: u64 = 1500;

/// The top-level fields. A required field is `None` if an issue was recorded for it.
pub(super) struct NodeSection {
    pub name: Option<String>,
    pub role: Option<String>,
    pub class: String,
    pub serves: Vec<String>,
    pub ip: Option<IpAddr>,
    pub zone: Option<String>,
    pub region: Option<String>,
    pub zone_regions: BTreeMap<String, String>,
    pub internal_ports: Option<PortRange>,
    pub seeds: Vec<SocketAddr>,
    pub bootstrap: bool,
    pub counted: bool,
    pub data_dir: Option<PathBuf>,
    pub heartbeat_interval_ms: u64,
    pub service: Option<String>,
}

impl SettingsReader<'_> {
    pub(super) fn read_node(&mut self, file: &DeTable) -> NodeSection {
        let zone = self.required(file, fields::ZONE, Self::read_name);
        let zones = self.optional(file, fields::ZONE_REGIONS, Self::read_zone_regions);
        let mut zone_regions = zones.unwrap_or_default();
        let region = self.read_region(file, zone.as_deref(), &mut zone_regions);
        let heartbeat = self.optional(file, fields::HEARTBEAT_INTERVAL_MS, Self::read_interval_ms);
        NodeSection {
            name: self.required(file, fields::NODE_NAME, Self::read_name),
            role: self.required(file, fields::ROLE, Self::read_name),
            class: self.optional(file, fields::NODE_CLASS, Self::read_name).unwrap_or_default(),
            serves: self.optional(file, fields::SERVES, Self::read_names).unwrap_or_default(),
            ip: self.required(file, fields::IP, Self::read_ip),
            zone,
            region,
            zone_regions,
            internal_ports: self.required(file, fields::INTERNAL_PORTS, Self::read_port_range),
            seeds: self.optional(file, fields::SEEDS, Self::read_socket_addresses).unwrap_or_default(),
            bootstrap: self.optional(file, fields::BOOTSTRAP, Self::read_bool).unwrap_or(false),
            counted: self.optional(file, fields::COUNTED, Self::read_bool).unwrap_or(false),
            data_dir: self.optional(file, fields::DATA_DIR, Self::read_path),
            heartbeat_interval_ms: heartbeat.unwrap_or(DEFAULT_HEARTBEAT_INTERVAL_MS),
            service: self.optional(file, fields::SERVICE, Self::read_name),
        }
    }

    /// Reads the region of the process. If `zones` lists the zone of the process, both must name the same region.
    fn read_region(
        &mut self,
        file: &DeTable,
        zone: Option<&str>,
        zone_regions: &mut BTreeMap<String, String>,
    ) -> Option<String> {
        let region_of_zone = zone.and_then(|zone| zone_regions.get(zone)).cloned();
        let Some(value) = file.get(fields::REGION) else {
            if region_of_zone.is_none() {
                self.issues.push(SettingsIssue::missing(fields::REGION));
            }
            return region_of_zone;
        };
        let region = self.read_name(fields::REGION, value)?;
        if let Some(expected) = region_of_zone.filter(|expected| *expected != region) {
            self.reject(fields::REGION, value, &format!("wants {expected}, as the zones say"));
            return None;
        }
        if let Some(zone) = zone {
            zone_regions.insert(zone.to_owned(), region.clone());
        }
        Some(region)
    }

    fn read_zone_regions(&mut self, field: &str, value: &TomlValue) -> Option<BTreeMap<String, String>> {
        let table = self.accept(field, value, value.get_ref().as_table(), "wants a table")?;
        let mut regions = BTreeMap::new();
        for (zone, region) in table {
            let name = zone.get_ref().as_ref();
            let field = format!("{field}.{}", name.escape_debug());
            self.check_zone_name(&field, name, zone.span());
            if let Some(region) = self.read_name(&field, region) {
                regions.insert(name.to_owned(), region);
            }
        }
        Some(regions)
    }

    fn read_port_range(&mut self, field: &str, value: &TomlValue) -> Option<PortRange> {
        let pair = value.get_ref().as_array().filter(|ports| ports.len() == 2);
        self.accept(field, value, pair, "wants a list of two ports")?;
        let ports = self.read_list(field, value, Self::read_port)?;
        // The list is shorter if a port was invalid; its issue is already recorded.
        let [first, last] = ports[..] else { return None };
        let range = (first <= last).then_some(PortRange { first, last });
        self.accept(field, value, range, "wants the lower port first")
    }

    fn read_interval_ms(&mut self, field: &str, value: &TomlValue) -> Option<u64> {
        let interval_ms = self.read_positive_integer(field, value)?;
        let in_range = interval_ms as f64 <= MAX_DURATION_SECONDS * 1000.0;
        self.accept(field, value, in_range.then_some(interval_ms), "wants a time of less than a year")
    }
}
