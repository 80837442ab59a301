//! The operators' configuration: routes, services and limits.
//!
//! [`Configuration::read`] parses the operators' document or returns every [`Refusal`], and [`Configuration::route`]
//! finds the [`Route`] of a request. [`differences()`] describes a change for operators.
//!
//! Invariants: a document is accepted as a whole or refused, and a configuration is immutable once it is read.

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
