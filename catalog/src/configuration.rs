//! The operators' configuration: routes, services and limits of one version.
//!
//! [`Configuration::read`] reads the operators' document as a whole or returns each [`Refusal`], and
//! [`Configuration::route`] finds the [`Route`] of a request. [`differences`] shows operators what a change would do.
//!
//! Invariants: a document is taken as a whole or not at all, and a configuration does not change once it is read.

pub(crate) mod differences;
pub(crate) mod document;
pub(crate) mod field_names;
mod model;
pub(crate) mod read;
pub(crate) mod refusal;
mod routing;

pub use differences::{differences, differences_by_location};
pub use model::{Limits, MemberShares, Name, RepeatPolicy, Route, Service, WeightedService};
pub use refusal::{Refusal, RefusalReason};
pub use routing::Configuration;
