//! The section `limits`.

use toml::de::DeTable;

use super::super::ResourceLimits;
use super::{SettingsReader, fields};

impl SettingsReader<'_> {
    pub(super) fn read_limits(&mut self, file: &DeTable) -> ResourceLimits {
        let section = self.section(file, fields::LIMITS);
        let cpu_share = self.optional_in(section, fields::CPU_SHARE, Self::read_positive_number);
        let cores = self.optional_in(section, fields::CORES, Self::read_positive_number);
        let memory_mb = self.optional_in(section, fields::MEMORY_MB, Self::read_positive_integer);
        let file_descriptors =
            self.optional_in(section, fields::FILE_DESCRIPTORS, Self::read_positive_integer);
        let link_mbps = self.optional_in(section, fields::LINK_MBPS, Self::read_positive_number);
        let disk_mb = self.optional_in(section, fields::DISK_MB, Self::read_integer);
        let defaults = ResourceLimits::default();
        ResourceLimits {
            cpu_share: cpu_share.unwrap_or(defaults.cpu_share),
            cores: cores.unwrap_or(defaults.cores),
            memory_mb: memory_mb.unwrap_or(defaults.memory_mb),
            file_descriptors: file_descriptors.unwrap_or(defaults.file_descriptors),
            link_mbps: link_mbps.unwrap_or(defaults.link_mbps),
            disk_mb: disk_mb.unwrap_or(defaults.disk_mb),
        }
    }
}
