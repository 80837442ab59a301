//! The operators' names for the fields of the settings file.

/// Names the whole file in issues that belong to no field.
pub const WHOLE_FILE: &str = "the file";

pub const NODE_NAME: &str = "station";
pub const ROLE: &str = "role";
pub const NODE_CLASS: &str = "vehicle_class";
pub const SERVES: &str = "serves";
pub const IP: &str = "ip";
pub const ZONE: &str = "zone";
pub const REGION: &str = "region";
pub const ZONE_REGIONS: &str = "zones";
pub const INTERNAL_PORTS: &str = "inner_ports";
pub const SEEDS: &str = "seed_stations";
pub const BOOTSTRAP: &str = "first_start";
pub const COUNTED: &str = "counted";
pub const DATA_DIR: &str = "data_dir";
pub const HEARTBEAT_INTERVAL_MS: &str = "heartbeat_ms";
pub const UPSTREAM_ADDRESS: &str = "app";
pub const SERVICE: &str = "line";
pub const BOUNDS: &str = "bounds";

pub const LISTENERS: &str = "counters";
pub const INBOUND_LISTEN: &str = "counters.inbound_gate";
pub const OUTBOUND_LISTEN: &str = "counters.outbound_gate";
pub const READINESS_LISTEN: &str = "counters.ready_gate";
pub const CONTROL_LISTEN: &str = "counters.control_gate";

pub const LIMITS: &str = "limits";
pub const CPU_SHARE: &str = "limits.cpu_share";
pub const CORES: &str = "limits.cores";
pub const MEMORY_MB: &str = "limits.memory_mb";
pub const FILE_DESCRIPTORS: &str = "limits.fds";
pub const LINK_MBPS: &str = "limits.link_mbps";
pub const DISK_MB: &str = "limits.disk_mb";

pub const FAULT_TOLERANCE: &str = "tolerate";
pub const TOLERATED_MACHINES: &str = "tolerate.machines";
pub const TOLERATED_ZONES: &str = "tolerate.zones";
pub const TOLERATED_REGIONS: &str = "tolerate.regions";
