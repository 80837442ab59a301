//! Tests of parsing calls on sessions.

use std::net::SocketAddr;

use ochreshed_consensus::messages::{CoreRequest, SessionRequest};

use super::parse_session_call;

#[test]
fn a_call_names_a_session_by_its_hash_and_a_move_its_target() {
    let parse =
        |query: &str| parse_session_call(&format!("/api/rpc?call=sessions.{query}").parse().expect("a path"));
    let target = SocketAddr::from(([127, 0, 0, 1], 8300));
    let request = |query: &str| match parse(query) {
        Ok(CoreRequest::Session(session, request)) => Ok((session, request)),
        Ok(_) => Err("another request".to_owned()),
        Err(error) => Err(error.to_string()),
    };
    assert_eq!(request("show&of=ff"), Ok((255, SessionRequest::Read)));
    assert_eq!(request("forget&of=0a"), Ok((10, SessionRequest::Forget)));
    let moved = SessionRequest::Acquire { outbound_proxy: target, above_term: 0 };
    assert_eq!(request("move&of=1&to=127.0.0.1:8300"), Ok((1, moved)));
    for wrong in ["show", "show&of=", "show&of=person-7", "move&of=1", "move&of=1&to=here"] {
        assert!(request(wrong).is_err(), "{wrong}");
    }
    assert!(request(&format!("show&of={}", "f".repeat(33))).is_err());
}
