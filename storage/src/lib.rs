//! What a replica of the control plane keeps on disk, and how it is read at the start. Modules: `store` (the folder as a
//! whole), under it `ballots` (membership and version ballots), `registers` (the operator's configuration and named
//! registers) and `lease_log` (leases on keys, sessions); `frame` (checksummed frames), `folder` (calls to the file
//! system, which tests replace by a simulated disk), `error`.

mod error;
mod folder;
mod frame;
mod store;

pub use error::StoreError;
pub use store::Store;
pub use store::registers::history;
