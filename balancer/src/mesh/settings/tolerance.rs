//! The failures that the mesh is configured to survive: [`FaultTolerance`].

/// The number of machines, zones or regions that may fail at the same time while all guarantees hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FaultTolerance {
    /// Machines that have `counted` set.
    pub machines: usize,
    /// Entire zones.
    pub zones: usize,
    /// Entire regions.
    pub regions: usize,
}

impl Default for FaultTolerance {
    fn default() -> FaultTolerance {
        FaultTolerance { machines: 1, zones: 0, regions: 0 }
    }
}
