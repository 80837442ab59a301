//! The section `tolerate`.

use toml::de::DeTable;

use super::super::FaultTolerance;
use super::{SettingsReader, fields};

impl SettingsReader<'_> {
    pub(super) fn read_fault_tolerance(&mut self, file: &DeTable) -> FaultTolerance {
        let section = self.section(file, fields::FAULT_TOLERANCE);
        let machines = self.optional_in(section, fields::TOLERATED_MACHINES, Self::read_usize);
        let zones = self.optional_in(section, fields::TOLERATED_ZONES, Self::read_usize);
        let regions = self.optional_in(section, fields::TOLERATED_REGIONS, Self::read_usize);
        let defaults = FaultTolerance::default();
        FaultTolerance {
            machines: machines.unwrap_or(defaults.machines),
            zones: zones.unwrap_or(defaults.zones),
            regions: regions.unwrap_or(defaults.regions),
        }
    }
}
