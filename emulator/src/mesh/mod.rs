//! A mesh's control plane in simulated time: the stewards' core and office, the attendants' asks and lists, by the code
//! of `mesh/` that the balancer runs, with no I/O. It is built up from its parts: [`scenario`] has the file, [`steward`]
//! and [`gate`] the processes, [`context`] what they ask for, [`simulation`] links, processors, disks, loads and troubles,
//! [`count`] the usage, [`watch`] how long news take, [`audit`] what must hold, [`report`] what is told of it.

pub mod attendant;
pub mod audit;
pub mod process_context;
pub mod propagation;
pub mod report;
pub mod resource_usage;
pub mod scenario;
pub mod simulation;
pub mod steward;
