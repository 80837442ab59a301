use std::net::SocketAddr;

use expect_test::expect;

use super::response;
use crate::http_client::serve_responses;
use crate::mesh::operator_client::call::OperatorClient;
use crate::mesh::operator_client::{keys, upstreams};

#[test]
fn tries_replicas_until_one_succeeds() {
    let unreachable = SocketAddr::from(([127, 0, 0, 1], 1));
    let failing = serve_responses(vec![response(503, "more than half of the core is not reached\n"); 2]);
    let healthy = serve_responses(vec![response(200, r#"{"open":0}"#), response(404, "no such call here\n")]);
    let outcome = |replicas: &[SocketAddr]| match (OperatorClient { replicas, json: true })
        .fetch_page("keys.count", keys::render_counts)
    {
        Ok(page) => page,
        Err(error) => {
            let error = error
                .to_string()
                .replace(&failing.to_string(), "FAILING")
                .replace(&healthy.to_string(), "HEALTHY");
            error.replace(&unreachable.to_string(), "UNREACHABLE")
        }
    };
    let all = [
        outcome(&[unreachable, failing, healthy]),
        outcome(&[unreachable, failing]),
        outcome(&[healthy, unreachable]),
    ];
    expect![[r#"
            {"open":0}
            --
            UNREACHABLE: Connection refused (os error 111)
            FAILING: 503: more than half of the core is not reached
            --
            HEALTHY: 404: no such call here"#]]
    .assert_eq(&all.join("\n--\n"));
}

#[test]
fn joins_the_pages_of_a_list() {
    let first = r#"{"upstreams":[{"id":"i-1"}],"next":"10.1.0.8:8300"}"#;
    let replica = serve_responses(vec![
        response(200, first),
        response(200, r#"{"upstreams":[{"id":"i-2"}],"next":null}"#),
    ]);
    let client = OperatorClient { replicas: &[replica], json: true };
    let page = client
        .fetch_list("upstreams.list", "upstreams", upstreams::render_upstreams)
        .map_err(|error| error.to_string());
    assert_eq!(page.as_deref(), Ok(r#"{"next":null,"upstreams":[{"id":"i-1"},{"id":"i-2"}]}"#));
}
