//! What the balancers of a fleet know, held in common. [`stamp`] tells which news of a list is newer, also when discovery
//! has lost its state and counts anew; [`status`] holds what was heard of srvs (drains, departures, returns) so that one
//! that is heeded once is never unheard; [`outcomes`] holds what each instance counts, which only it writes; [`store`] puts them
//! together: deltas to pass on, digests, what differs. Nothing here does I/O or reads a clock, and no machine's clock is
//! trusted for order; it knows and never decides.

pub mod outcomes;
pub mod stamp;
pub mod status;
pub mod store;

/// Nanoseconds on a clock of the caller's, which never goes back.
pub type Nanos = u64;
