use std::net::SocketAddr;

use expect_test::expect;

use super::response;
use crate::http_client::serve_responses;
use crate::mesh::operator_client::call::OperatorClient;
use crate::mesh::operator_client::{keys, upstreams};

#[test]
fn asks_replicas_until_one_answers() {
    let dead = SocketAddr::from(([127, 0, 0, 1], 1));
    let busy = serve_responses(vec![response(503, "more than half of the core is not reached\n"); 2]);
    let well = serve_responses(vec![response(200, r#"{"open":0}"#), response(404, "no such call here\n")]);
    let outcome = |replicas: &[SocketAddr]| match (OperatorClient { replicas, json: true })
        .fetch_page("keys.count", keys::counts_page)
    {
        Ok(page) => page,
        Err(why) => {
            let why = why.to_string().replace(&busy.to_string(), "BUSY").replace(&well.to_string(), "WELL");
            why.replace(&dead.to_string(), "DEAD")
        }
    };
    let all = [outcome(&[dead, busy, well]), outcome(&[dead, busy]), outcome(&[well, dead])];
    expect![[r#"
            {"open":0}
            --
            DEAD: Connection refused (os error 111)
            BUSY: 503: more than half of the core is not reached
            --
            WELL: 404: no such call here"#]]
    .assert_eq(&all.join("\n--\n"));
}

#[test]
fn puts_a_list_together_from_its_responses() {
    let first = r#"{"upstreams":[{"id":"i-1"}],"next":"10.1.0.8:8300"}"#;
    let replica = serve_responses(vec![
        response(200, first),
        response(200, r#"{"upstreams":[{"id":"i-2"}],"next":null}"#),
    ]);
    let client = OperatorClient { replicas: &[replica], json: true };
    let page =
        client.fetch_list("upstreams.list", "upstreams", upstreams::page).map_err(|why| why.to_string());
    assert_eq!(page.as_deref(), Ok(r#"{"next":null,"upstreams":[{"id":"i-1"},{"id":"i-2"}]}"#));
}
