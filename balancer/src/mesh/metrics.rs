//! A role's own figures as text (OpenMetrics), for operators' tools that fetch them now and then: `GET /metrics` at the
//! control gate. It owns their names and help texts. It must never cost anything while nobody fetches them.

use hyper::Response;
use hyper::header::HeaderValue;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::ConstCounter;
use prometheus_client::metrics::gauge::ConstGauge;
use prometheus_client::registry::Registry;

use crate::mesh::proxy::connection_pool::ResponseBody;
use crate::mesh::proxy::listener::plain_response;

/// Where they are fetched.
pub const PATH: &str = "/metrics";
const CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// The figures of one fetch.
pub struct Figures(Registry);

impl Figures {
    /// Their names begin with the program's and the role's.
    pub fn of(role: &str) -> Figures {
        Figures(Registry::with_prefix(format!("ochreshed_{role}")))
    }

    /// What goes up and down.
    pub fn gauge(mut self, name: &str, help: &str, value: f64) -> Figures {
        self.0.register(name, help, ConstGauge::new(value));
        self
    }

    /// What only goes up in a life of the process.
    pub fn counter(mut self, name: &str, help: &str, value: u64) -> Figures {
        self.0.register(name, help, ConstCounter::new(value));
        self
    }

    pub fn page(self) -> Response<ResponseBody> {
        let mut text = String::new();
        if encode(&mut text, &self.0).is_err() {
            return plain_response(500, "the figures can't be written");
        }
        let mut answer = Response::new(ResponseBody::of(text));
        answer.headers_mut().insert("content-type", HeaderValue::from_static(CONTENT_TYPE));
        answer
    }
}

#[cfg(test)]
mod tests {
    use http_body_util::BodyExt;

    use super::*;

    #[tokio::test]
    async fn figures_are_told_with_their_role_and_help() {
        let page = Figures::of("steward")
            .gauge("epoch", "Number of the membership", 3.0)
            .counter("disk_writes", "Syncs of the disk", 7)
            .page();
        assert_eq!(page.headers()["content-type"], CONTENT_TYPE);
        let text = page.into_body().collect().await.expect("a body").to_bytes();
        let text = std::str::from_utf8(&text).expect("text");
        let lines: Vec<&str> = text.lines().collect();
        assert_eq!(
            lines,
            [
                "# HELP ochreshed_steward_epoch Number of the membership.",
                "# TYPE ochreshed_steward_epoch gauge",
                "ochreshed_steward_epoch 3.0",
                "# HELP ochreshed_steward_disk_writes Syncs of the disk.",
                "# TYPE ochreshed_steward_disk_writes counter",
                "ochreshed_steward_disk_writes_total 7",
                "# EOF",
            ]
        );
    }
}
