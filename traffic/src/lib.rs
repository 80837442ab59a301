//! What proxies count and decide about the requests that pass through them.
//!
//! - [`retry_budget`], [`retry_shares`], [`outcome_counts`] and [`budget_reports`]: attempts, retries and outcomes;
//! - [`admission`], [`large_response_pacer`] and [`idle_limit`]: which requests wait, run or are sent first;
//! - [`outlier_detection`], [`lease_circuit_breaker`] and [`canary`]: verdicts on upstreams, on the control plane and on
//!   new editions of members' routes.
//!
//! Invariants: this crate does no I/O, reads no clock and draws no randomness; callers pass the time in.

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
