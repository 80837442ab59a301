//! What a process may use of its machine, and how it divides that: [`ResourceLimits`], [`ProxyCapacity`] and
//! [`ReplicaCapacity`].

/// File descriptors reserved for what is neither a client's connection nor one of our own to an attendant or upstream.
const RESERVED_FILE_DESCRIPTORS: u64 = 300;
/// The part of an attendant's memory for bodies of requests in flight.
const BODY_MEMORY_SHARE: f64 = 0.15;
const BYTES_PER_MB: usize = 1_000_000;
/// The fewest sockets that an attendant is planned with, however few descriptors it may have.
const MIN_ATTENDANT_SOCKETS: u64 = 64;
/// The fewest connections that each listener of an attendant accepts.
const MIN_LISTENER_CONNECTIONS: usize = 16;
const MIN_ATTENDANT_BODY_BYTES: usize = 1 << 20;
const MAX_BODY_BYTES: usize = 1 << 29;
/// One configuration of the greatest size must fit in a replica's body memory.
const MIN_REPLICA_BODY_BYTES: usize = 40 << 20;
const REPLICA_CONTROL_CONNECTIONS: usize = 256;
const LEASES_PER_MB: usize = 400;
const MIN_LEASES: usize = 10_000;
const MIN_RESPONSE_CACHE_BYTES: usize = 4 << 20;

/// What this process may use of its machine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ResourceLimits {
    /// The part of one core that the process may use.
    pub cpu_share: f64,
    /// How many cores the machine has.
    pub cores: f64,
    /// Memory in megabytes of 1,000,000 bytes.
    pub memory_mb: u64,
    /// Open file descriptors.
    pub file_descriptors: u64,
    /// The link's speed in megabits per second.
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

/// How an attendant divides its limits into connections and memory for bodies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProxyCapacity {
    /// Clients of the outbound listener.
    pub outbound_clients: usize,
    /// Clients of the inbound listener.
    pub inbound_clients: usize,
    /// Clients of the readiness listener, and as many of the control listener.
    pub control_clients: usize,
    /// Connections to inbound listeners of other attendants.
    pub peer_connections: usize,
    /// Connections to the upstream beside the attendant.
    pub upstream_connections: usize,
    /// Bytes of the bodies of requests in flight.
    pub body_bytes: usize,
}

/// How a replica of the control plane divides its limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplicaCapacity {
    /// Clients of the control listener.
    pub control_clients: usize,
    /// Bytes of the configurations that are being received or sent.
    pub body_bytes: usize,
    /// Leases that are held at once.
    pub leases: usize,
    /// Bytes of all stored responses together.
    pub response_cache_bytes: usize,
}

impl ResourceLimits {
    /// What an attendant makes of these limits.
    pub fn proxy_capacity(&self) -> ProxyCapacity {
        let available = self.file_descriptors.saturating_sub(RESERVED_FILE_DESCRIPTORS);
        let sockets = available.max(MIN_ATTENDANT_SOCKETS) as usize;
        let body_bytes = (self.memory_mb as f64 * BODY_MEMORY_SHARE * BYTES_PER_MB as f64) as usize;
        ProxyCapacity {
            outbound_clients: (sockets / 3).max(MIN_LISTENER_CONNECTIONS),
            inbound_clients: (sockets / 4).max(MIN_LISTENER_CONNECTIONS),
            control_clients: (sockets / 32).max(MIN_LISTENER_CONNECTIONS),
            peer_connections: sockets / 4,
            upstream_connections: sockets / 8,
            body_bytes: body_bytes.clamp(MIN_ATTENDANT_BODY_BYTES, MAX_BODY_BYTES),
        }
    }

    /// What a replica of the control plane makes of these limits.
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
