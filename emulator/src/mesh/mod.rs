//! Simulates the control plane of a mesh: the consensus core and watch server of the stewards (the control-plane replicas)
//! and the watches, endpoint lists and leases of the attendants (the proxies of the machines), with the code that the
//! balancer runs and without I/O. [`scenario`] reads scenario files, [`steward`] and [`attendant`] are the processes,
//! [`process_context`] carries their effects, [`simulation`] has links, processors, disks, load and faults,
//! [`resource_usage`] accounts for work, [`propagation`] measures how long updates take, [`audit`] checks invariants and
//! [`report`] prints the results.

pub mod attendant;
pub mod audit;
pub mod process_context;
pub mod propagation;
pub mod report;
pub mod resource_usage;
pub mod scenario;
pub mod simulation;
pub mod steward;
