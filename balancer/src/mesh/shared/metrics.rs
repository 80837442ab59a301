//! The metrics of a role in the OpenMetrics text format: `GET /metrics` at the control listener.
//!
//! Main type: [`MetricsPage`], which a role fills for each scrape. The role defines the names and help texts.
//!
//! Invariants: nothing is computed or stored between scrapes, so metrics cost nothing unless they are scraped.

use hyper::Response;
use hyper::header::HeaderValue;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::{ConstCounter, Counter};
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::ConstGauge;
use prometheus_client::registry::Registry;

use crate::mesh::proxy::connection_pool::ResponseBody;
use crate::mesh::proxy::listener::plain_response;

/// The path of the metrics endpoint.
pub const PATH: &str = "/metrics";
/// The media type that OpenMetrics prescribes for its text format.
pub const CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// The metrics of one scrape, in the order in which they were added.
pub struct MetricsPage(Registry);

impl MetricsPage {
    /// Creates an empty page. Metric names get the prefix `ochreshed_{role}_`.
    #[must_use]
    pub fn for_role(role: &str) -> MetricsPage {
        MetricsPage(Registry::with_prefix(format!("ochreshed_{role}")))
    }

    /// Adds a gauge.
    #[must_use]
    pub fn gauge(mut self, name: &str, help: &str, value: f64) -> MetricsPage {
        self.0.register(name, help, ConstGauge::new(value));
        self
    }

    /// Adds a counter.
    #[must_use]
    pub fn counter(mut self, name: &str, help: &str, value: u64) -> MetricsPage {
        self.0.register(name, help, ConstCounter::new(value));
        self
    }

    /// Adds a counter with one value for each set of labels.
    #[must_use]
    pub fn labelled_counter(
        mut self,
        name: &str,
        help: &str,
        values: impl IntoIterator<Item = (Vec<(&'static str, &'static str)>, u64)>,
    ) -> MetricsPage {
        let family = Family::<Vec<(&'static str, &'static str)>, Counter>::default();
        for (labels, value) in values {
            family.get_or_create(&labels).inc_by(value);
        }
        self.0.register(name, help, family);
        self
    }

    /// Encodes the page as the response to the scrape.
    pub fn into_response(self) -> Response<ResponseBody> {
        let mut text = String::new();
        if encode(&mut text, &self.0).is_err() {
            return plain_response(500, "the figures can't be written");
        }
        let mut response = Response::new(ResponseBody::from_bytes(text));
        response.headers_mut().insert("content-type", HeaderValue::from_static(CONTENT_TYPE));
        response
    }
}

#[cfg(test)]
#[path = "tests/metrics_tests.rs"]
mod metrics_tests;
