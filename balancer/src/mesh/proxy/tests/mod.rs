//! Tests of the proxies on loopback, with scripted upstreams and replicas.

mod connection_pool_tests;
mod exchange_failures_tests;
mod outbound_tests;
mod request_scheduler_tests;
