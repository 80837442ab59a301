//! The losses that the mesh is set up to survive: [`FaultTolerance`].

/// What may be lost at once while every rule still holds: this many counted machines, or zones, or regions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FaultTolerance {
    /// Counted machines.
    pub machines: usize,
    /// Whole zones.
    pub zones: usize,
    /// Whole regions.
    pub regions: usize,
}

impl Default for FaultTolerance {
    fn default() -> FaultTolerance {
        FaultTolerance { machines: 1, zones: 0, regions: 0 }
    }
}
