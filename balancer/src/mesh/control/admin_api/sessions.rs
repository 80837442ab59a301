//! Operators' calls on sessions at a steward: reading, moving and forgetting one, and figures. It owns their shape, in and
//! out. It must never be told the value that names a person: the client sends its hash.

use std::net::SocketAddr;

use ochreshed_consensus::core::SessionCounts;
use ochreshed_consensus::messages::{
    CommittedSession, CoreRequest, CoreResponse, SessionId, SessionOwner, SessionRequest,
};

/// What is wanted of one session: `sessions.show`, `sessions.forget`, and `sessions.move`, which wants the door `to` as
/// well; `of` is the session in hex.
pub fn read(uri: &hyper::Uri) -> Result<CoreRequest, &'static str> {
    let pairs = || uri.query().unwrap_or_default().split('&').filter_map(|pair| pair.split_once('='));
    let told = |name| pairs().find(|(other, _)| *other == name).map(|(_, value)| value);
    let of = told("of").filter(|of| of.len() <= 32).and_then(|of| SessionId::from_str_radix(of, 16).ok());
    let session = of.ok_or("of: is no session in up to 32 hex digits")?;
    let wish = match told("call") {
        Some("sessions.show") => SessionRequest::Read,
        Some("sessions.forget") => SessionRequest::Forget,
        _ => {
            let gate: Option<SocketAddr> = told("to").and_then(|to| to.parse().ok());
            SessionRequest::Acquire {
                outbound_proxy: gate.ok_or("to: is no address of a door")?,
                above_term: 0,
            }
        }
    };
    Ok(CoreRequest::Session(session, wish))
}

/// What came of it, as a status and a text: JSON with 200.
pub fn told(got: &CoreResponse) -> (u16, String) {
    let holder = |holder: Option<SessionOwner>| match holder {
        Some(holder) => {
            jzon::object! { "door": holder.outbound_proxy.to_string(), "since": holder.since_term }
        }
        None => jzon::Null,
    };
    match got {
        CoreResponse::Session(Some(CommittedSession { term: epoch, ownership: holding, .. })) => {
            let tie = match &holding.binding {
                Some(tie) => {
                    jzon::object! { "upstream": tie.upstream_id.as_str(), "door": tie.inbound_proxy.to_string() }
                }
                None => jzon::Null,
            };
            let page = jzon::object! {
                "epoch": *epoch,
                "holder": holder(holding.owner),
                "before": holder(holding.previous_owner),
                "tie": tie,
            };
            (200, jzon::stringify(page))
        }
        CoreResponse::Session(None) => (404, "nobody has that session".into()),
        _ => (503, "more than half of the core is not reached: ask again".into()),
    }
}

/// What one steward holds, and what was changed through it since its start.
pub fn counts(of: &SessionCounts) -> String {
    jzon::stringify(jzon::object! {
        "sessions": of.sessions, "moves": of.moves, "ties": of.ties, "dropped": of.dropped,
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_call_names_a_session_by_its_hash_and_a_move_its_door() {
        let read = |query: &str| read(&format!("/api/rpc?call=sessions.{query}").parse().expect("a path"));
        let door = SocketAddr::from(([127, 0, 0, 1], 8300));
        let wish = |query: &str| match read(query) {
            Ok(CoreRequest::Session(session, wish)) => Ok((session, wish)),
            Ok(_) => Err("another want"),
            Err(why) => Err(why),
        };
        assert_eq!(wish("show&of=ff"), Ok((255, SessionRequest::Read)));
        assert_eq!(wish("forget&of=0a"), Ok((10, SessionRequest::Forget)));
        let moved = SessionRequest::Acquire { outbound_proxy: door, above_term: 0 };
        assert_eq!(wish("move&of=1&to=127.0.0.1:8300"), Ok((1, moved)));
        for wrong in ["show", "show&of=", "show&of=person-7", "move&of=1", "move&of=1&to=here"] {
            assert!(wish(wrong).is_err(), "{wrong}");
        }
        assert!(wish(&format!("show&of={}", "f".repeat(33))).is_err());
    }
}
