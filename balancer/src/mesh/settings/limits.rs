//! Resource limits of a process ([`ResourceLimits`]) and the capacities derived from them ([`ProxyCapacity`] and
//! [`ReplicaCapacity`]).

/// File descriptors reserved for anything but connections to clients, attendants and upstreams.
const RESERVED_FILE_DESCRIPTORS: u64 = 300;
/// The share of an attendant's memory for bodies of requests in flight.
const BODY_MEMORY_SHARE: f64 = 0.15;
const BYTES_PER_MB: usize = 1_000_000;
/// The lower limit of an attendant's sockets, whatever its limit of descriptors.
const MIN_PROXY_SOCKETS: u64 = 64;
/// The lower limit of connections at each listener of an attendant.
const MIN_LISTENER_CONNECTIONS: usize = 16;
const MIN_PROXY_BODY_BYTES: usize = 1 << 20;
const MAX_BODY_BYTES: usize = 1 << 29;
/// A configuration of the maximum size must fit into a replica's body memory.
const MIN_REPLICA_BODY_BYTES: usize = 40 << 20;
const REPLICA_CONTROL_CONNECTIONS: usize = 256;
/// Leases that a replica may hold per megabyte of its memory limit.
const LEASES_PER_MB: usize = 400;
const MIN_LEASES: usize = 10_000;
const MIN_RESPONSE_CACHE_BYTES: usize = 4 << 20;

/// The resources of the machine that this process may use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ResourceLimits {
    /// The share of one core that the process may use.
    pub cpu_share: f64,
    /// The number of cores of the machine.
    pub cores: f64,
    /// Memory in megabytes of 1,000,000 bytes.
    pub memory_mb: u64,
    /// The maximum number of open file descriptors.
    pub file_descriptors: u64,
    /// Link bandwidth in megabits per second.
    pub link_mbps: f64,
    /// Disk space in megabytes.
    pub disk_mb: u64,
}

impl Default for ResourceLimits {
    fn default() -> ResourceLimits {
        ResourceLimits {
            cpu_share: 0.2,
            cores: 1.0,
            memory_mb: 256,
            file_descriptors: 4096,
            link_mbps: 1000.0,
            disk_mb: 0,
        }
    }
}

/// The connections and the body memory of an attendant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProxyCapacity {
    /// Client connections at the outbound listener.
    pub outbound_clients: usize,
    /// Client connections at the inbound listener.
    pub inbound_clients: usize,
    /// Client connections at the readiness listener, and the same number at the control listener.
    pub control_clients: usize,
    /// Connections to inbound listeners of other attendants.
    pub peer_connections: usize,
    /// Connections to the local upstream.
    pub upstream_connections: usize,
    /// Memory for the bodies of requests in flight.
    pub body_bytes: usize,
}

/// The capacity of a control plane replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplicaCapacity {
    /// Client connections at the control listener.
    pub control_clients: usize,
    /// Memory for configurations that are being received or sent.
    pub body_bytes: usize,
    /// The maximum number of leases.
    pub leases: usize,
    /// The total size of stored responses.
    pub response_cache_bytes: usize,
}

impl ResourceLimits {
    /// Derives the capacity of an attendant.
    pub fn proxy_capacity(&self) -> ProxyCapacity {
        let available = self.file_descriptors.saturating_sub(RESERVED_FILE_DESCRIPTORS);
        let sockets = available.max(MIN_PROXY_SOCKETS) as usize;
        let body_bytes = (self.memory_mb as f64 * BODY_MEMORY_SHARE * BYTES_PER_MB as f64) as usize;
        ProxyCapacity {
            outbound_clients: (sockets / 3).max(MIN_LISTENER_CONNECTIONS),
            inbound_clients: (sockets / 4).max(MIN_LISTENER_CONNECTIONS),
            control_clients: (sockets / 32).max(MIN_LISTENER_CONNECTIONS),
            peer_connections: sockets / 4,
            upstream_connections: sockets / 8,
            body_bytes: body_bytes.clamp(MIN_PROXY_BODY_BYTES, MAX_BODY_BYTES),
        }
    }

    /// Derives the capacity of a control plane replica.
    pub fn replica_capacity(&self) -> ReplicaCapacity {
        let memory_mb = self.memory_mb as usize;
        let fifth_of_memory = memory_mb * BYTES_PER_MB / 5;
        ReplicaCapacity {
            control_clients: REPLICA_CONTROL_CONNECTIONS,
            body_bytes: fifth_of_memory.clamp(MIN_REPLICA_BODY_BYTES, MAX_BODY_BYTES),
            leases: (memory_mb * LEASES_PER_MB).max(MIN_LEASES),
            response_cache_bytes: fifth_of_memory.max(MIN_RESPONSE_CACHE_BYTES),
        }
    }
}
