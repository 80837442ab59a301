//! The control plane's role.

pub mod admin_api;
pub mod budget_reports;
pub mod member_documents;
pub mod metrics;
pub mod recovery_time;
mod replica;

pub use replica::run;
