//! Summary of a settings file.

use std::net::SocketAddr;
use std::path::Path;

use super::formatting::{UNKNOWN, printable_name};
use crate::mesh::settings::{
    FaultTolerance, OperatingBounds, ProxyCapacity, ReplicaCapacity, ResourceLimits, Settings, SettingsIssue,
};

/// Lines of text with a label each.
#[derive(Default)]
struct SummaryPage(String);

impl SummaryPage {
    fn add(&mut self, label: &str, text: String) {
        self.0 += &format!("{label:<14}{text}\n");
    }

    fn add_listener(&mut self, label: &str, address: Option<SocketAddr>, clients: usize) {
        self.add(label, format!("{}, {clients} callers", format_address(address)));
    }
}

/// Summarizes the settings and the capacities derived from them.
pub fn summarize(settings: &Settings) -> String {
    let mut page = SummaryPage::default();
    add_node(&mut page, settings);
    add_fault_tolerance(&mut page, &settings.fault_tolerance);
    add_limits(&mut page, &settings.limits);
    match settings.check_proxy() {
        Ok(()) => add_proxy(&mut page, settings, settings.limits.proxy_capacity()),
        Err(missing) => page.add("attendant", format!("no: without {}", format_field_names(&missing))),
    }
    match settings.check_replica() {
        Ok(()) => add_replica(&mut page, settings, settings.limits.replica_capacity()),
        Err(missing) => page.add("steward", format!("no: without {}", format_field_names(&missing))),
    }
    add_bounds(&mut page, &settings.bounds);
    page.0
}

fn add_node(page: &mut SummaryPage, settings: &Settings) {
    let (name, role) = (printable_name(&settings.node_name), printable_name(&settings.role));
    let (zone, region) = (printable_name(&settings.zone), printable_name(&settings.region));
    let (first, last) = (settings.internal_ports.first, settings.internal_ports.last);
    let bootstrap = if settings.bootstrap { "yes: an empty disk begins a mesh" } else { "no" };
    page.add("station", format!("{name}, role {role}"));
    page.add("place", format!("{} in {zone}, {region}", settings.ip));
    page.add("inner ports", format!("{first} to {last}; calls between our processes go to {first}"));
    page.add("seeds", join_or_none(settings.seeds.iter().map(ToString::to_string)));
    page.add("first start", bootstrap.to_owned());
}

fn add_fault_tolerance(page: &mut SummaryPage, tolerance: &FaultTolerance) {
    let FaultTolerance { machines, zones, regions } = tolerance;
    let voters = machines.saturating_mul(2).saturating_add(1);
    let text = format!("{machines} machines, {zones} zones, {regions} regions; {voters} stewards vote");
    page.add("may be lost", text);
}

fn add_limits(page: &mut SummaryPage, limits: &ResourceLimits) {
    let ResourceLimits { cpu_share, memory_mb, file_descriptors, disk_mb, .. } = limits;
    let text = format!(
        "{cpu_share} of a core, {memory_mb} MB of memory, {file_descriptors} descriptors, {disk_mb} MB of disk"
    );
    page.add("limits", text);
}

fn add_proxy(page: &mut SummaryPage, settings: &Settings, capacity: ProxyCapacity) {
    let upstream = format_address(settings.upstream_address);
    let service = settings.service.as_deref().map_or(UNKNOWN.to_owned(), printable_name);
    let (to_peers, to_upstream) = (capacity.peer_connections, capacity.upstream_connections);
    page.add("attendant", "yes".to_owned());
    page.add_listener("  gate", settings.outbound_listen, capacity.outbound_clients);
    page.add_listener("  door", settings.inbound_listen, capacity.inbound_clients);
    page.add_listener("  ready", settings.readiness_listen, capacity.control_clients);
    page.add_listener("  control", settings.control_listen, capacity.control_clients);
    page.add("  upstream", format!("{upstream} of {service}"));
    page.add("  out", format!("{to_peers} connections to doors, {to_upstream} to the upstream"));
    page.add("  bodies", format!("{} bytes of reqs in hand", capacity.body_bytes));
}

fn add_replica(page: &mut SummaryPage, settings: &Settings, capacity: ReplicaCapacity) {
    let data_dir = settings.data_dir.as_deref().unwrap_or(Path::new(UNKNOWN));
    let ReplicaCapacity { leases, response_cache_bytes, .. } = capacity;
    page.add("steward", "yes".to_owned());
    page.add_listener("  control", settings.control_listen, capacity.control_clients);
    page.add("  disk", printable_name(&data_dir.to_string_lossy()));
    page.add("  bodies", format!("{} bytes of timetables in hand", capacity.body_bytes));
    page.add("  claims", format!("{leases} keys at once, {response_cache_bytes} bytes of their answers"));
}

fn add_bounds(page: &mut SummaryPage, bounds: &OperatingBounds) {
    let OperatingBounds { drain_timeout, shutdown_grace, idempotency_window, .. } = bounds;
    let OperatingBounds { retry_ratio, retry_window, retry_slack, .. } = bounds;
    page.add("bounds", format!("drain {drain_timeout:?}, grace {shutdown_grace:?}"));
    page.add("", format!("a key runs once within {idempotency_window:?}"));
    page.add("", format!("retries {retry_ratio} in {retry_window:?} and {retry_slack} more, as told"));
}

fn format_field_names(issues: &[SettingsIssue]) -> String {
    join_or_none(issues.iter().map(|issue| issue.field.clone()))
}

fn join_or_none(items: impl Iterator<Item = String>) -> String {
    let items: Vec<String> = items.collect();
    if items.is_empty() { "none".to_owned() } else { items.join(", ") }
}

fn format_address(address: Option<SocketAddr>) -> String {
    address.map_or(UNKNOWN.to_owned(), |address| address.to_string())
}
