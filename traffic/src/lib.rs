//! Request accounting and traffic decisions of proxies.
//!
//! - [`retry_budget`], [`retry_shares`], [`outcome_counts`] and [`budget_reports`]: counts of attempts, retries and
//!   outcomes;
//! - [`admission`], [`large_response_pacer`] and [`idle_limit`]: admission, pacing and reuse of connections;
//! - [`outlier_detection`], [`lease_circuit_breaker`] and [`canary`]: judge the health of upstreams, the
//!   availability of the control plane, and new versions of members' routes.
//!
//! Invariants: this crate does no I/O, reads no clock and draws no randomness; callers pass in the current time.

#![warn(missing_docs)]

pub mod admission;
pub mod budget_reports;
pub mod canary;
pub mod idle_limit;
pub mod large_response_pacer;
pub mod lease_circuit_breaker;
pub mod outcome_counts;
pub mod outlier_detection;
pub mod retry_budget;
pub mod retry_shares;
mod sliding_window;
