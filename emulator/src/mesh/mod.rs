//! A mesh's control plane in simulated time: the stewards' core and office, the attendants' asks and lists, by the code
//! of `mesh/` that the balancer runs, with no I/O. It is built up from its parts: [`scenario`] has the file, [`steward`]
//! and [`gate`] the processes, [`hand`] what they ask for, [`simulation`] links, processors, disks, loads and troubles,
//! [`count`] the books, [`watch`] how long news take, [`audit`] what must hold, [`report`] what is told of it.

pub mod audit;
pub mod count;
pub mod gate;
pub mod hand;
pub mod report;
pub mod scenario;
pub mod simulation;
pub mod steward;
pub mod watch;
