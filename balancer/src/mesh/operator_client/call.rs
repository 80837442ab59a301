//! Calls to the replicas of the control plane: [`OperatorClient`] asks them one after the other.
//!
//! Invariants:
//! - Only a replica that could not answer is passed over; a refusal is final, because the others would refuse as well.
//! - A call that must not be applied twice is sent to no further replica once one may have applied it.

use std::net::SocketAddr;

use serde_json::Value;

use super::error::{CallFailure, ClientError};
use super::formatting::{percent_encode, printable_line};
use crate::http_client::{self, HttpClientError};

/// The most responses that a list is put together of. A replica keeps no more rows.
const MAX_LIST_RESPONSES: usize = 40;
const STATUS_OK: u16 = 200;
/// From this status on, a replica could not answer; below it, it refused.
const FIRST_SERVER_ERROR: u16 = 500;

/// Makes a page of a response.
pub type RenderPage = fn(&Value) -> String;

/// Which replicas are asked, and how their answers are printed.
#[derive(Clone, Copy)]
pub struct OperatorClient<'c> {
    /// Control addresses, in the order in which they are asked.
    pub replicas: &'c [SocketAddr],
    /// Whether answers are printed as JSON.
    pub json: bool,
}

/// A header of a call.
#[derive(Clone, Copy)]
pub struct CallHeader<'c> {
    /// Its name.
    pub name: &'c str,
    /// Its value, which is sent as it is.
    pub value: &'c str,
}

/// A call and what goes with it.
#[derive(Clone, Copy)]
pub struct ReplicaCall<'c> {
    /// The name and its parameters, as they stand in the query.
    pub name: &'c str,
    /// The body, which may be empty.
    pub body: &'c [u8],
    /// A header beside those that every call has.
    pub header: Option<CallHeader<'c>>,
    /// Whether the call may be applied twice. If not, no other replica is asked once one may have applied it.
    pub idempotent: bool,
}

/// A response, and the replica that gave it.
pub struct ReplicaResponse {
    /// The replica's control address.
    pub replica: SocketAddr,
    /// The body of the response.
    pub body: Vec<u8>,
}

impl<'c> ReplicaCall<'c> {
    /// A call that reads, without a body or further header.
    pub fn read(name: &'c str) -> ReplicaCall<'c> {
        ReplicaCall { name, body: &[], header: None, idempotent: true }
    }
}

impl ReplicaResponse {
    /// The response as text.
    pub fn into_text(self) -> Result<String, ClientError> {
        String::from_utf8(self.body).map_err(|_| ClientError::ResponseNotUtf8)
    }
}

impl OperatorClient<'_> {
    /// Asks one replica after the other, and gives the first successful response.
    pub fn call(&self, call: ReplicaCall) -> Result<ReplicaResponse, CallFailure> {
        let mut failure = CallFailure { reasons: Vec::new(), possibly_applied: false };
        for replica in self.replicas {
            if failure.possibly_applied && !call.idempotent {
                break;
            }
            match call_replica(*replica, call) {
                Ok((STATUS_OK, body)) => return Ok(ReplicaResponse { replica: *replica, body }),
                Ok((status, body)) => {
                    failure.reasons.push(format!("{replica}: {status}: {}", printable_reason(&body)));
                    if status < FIRST_SERVER_ERROR {
                        break;
                    }
                    failure.possibly_applied = true;
                }
                Err(error) => {
                    failure.possibly_applied |= !matches!(error, HttpClientError::ConnectFailed(_));
                    failure.reasons.push(format!("{replica}: {error}"));
                }
            }
        }
        Err(failure)
    }

    /// Sends a change. A failure says whether the change may still come into force, because one replica may have taken
    /// it and others get it from there.
    pub fn send_change(&self, call: ReplicaCall) -> Result<ReplicaResponse, CallFailure> {
        self.call(call).map_err(|mut failure| {
            if failure.possibly_applied {
                let advice = match call.idempotent {
                    true => "send it again, unchanged",
                    false => "see what holds before you send it again",
                };
                failure.reasons.push(format!("it may still come into force: {advice}"));
            }
            failure
        })
    }

    /// The page of a call that is answered in one response.
    pub fn fetch_page(&self, call: &str, render: RenderPage) -> Result<String, ClientError> {
        let text = self.call(ReplicaCall::read(call))?.into_text()?;
        self.render(text, render)
    }

    /// The page of a response, or the response itself where JSON is printed.
    pub fn render(&self, response: String, render: RenderPage) -> Result<String, ClientError> {
        if self.json { Ok(response) } else { Ok(render(&parse_json(&response)?)) }
    }

    /// The page of a list that may come in several responses, all of them from the replica that gave the first.
    pub fn fetch_list(&self, call: &str, rows: &str, render: RenderPage) -> Result<String, ClientError> {
        let response = self.call(ReplicaCall::read(call))?;
        let replica = [response.replica];
        let same_replica = OperatorClient { replicas: &replica, json: self.json };
        let first = response.into_text()?;
        let mut list = parse_json(&first)?;
        let mut next = next_row(&list);
        if next.is_none() && self.json {
            return Ok(first);
        }
        for _ in 1..MAX_LIST_RESPONSES {
            let Some(after) = next else { break };
            let call = format!("{call}&after={}", percent_encode(&after));
            let more = same_replica.call(ReplicaCall::read(&call))?.into_text()?;
            let more = parse_json(&more)?;
            next = next_row(&more);
            append_rows(&mut list, more, rows);
        }
        if let Some(list) = list.as_object_mut() {
            list.insert("next".into(), next.map_or(Value::Null, Value::from));
        }
        if self.json { Ok(list.to_string()) } else { Ok(render(&list)) }
    }
}

/// Parses a response as JSON.
pub fn parse_json(text: &str) -> Result<Value, ClientError> {
    serde_json::from_str(text).map_err(ClientError::ResponseNotJson)
}

/// Makes one call of one replica: its status and body. All calls of a replica are POST.
fn call_replica(replica: SocketAddr, call: ReplicaCall) -> Result<(u16, Vec<u8>), HttpClientError> {
    let path = format!("/api/rpc?call={}", call.name);
    let header = call.header.map(|header| (header.name, header.value));
    http_client::request_with_header(replica, &path, Some(call.body), header)
}

/// What a replica says of a call that it did not carry out, fit for a terminal.
fn printable_reason(body: &[u8]) -> String {
    let text = String::from_utf8_lossy(body);
    let lines: Vec<String> = text.trim().lines().map(printable_line).collect();
    if lines.is_empty() { "no word".to_owned() } else { lines.join("\n  ") }
}

/// Where the next response of a list begins; the last one says nothing.
fn next_row(list: &Value) -> Option<String> {
    list["next"].as_str().map(str::to_owned)
}

fn append_rows(list: &mut Value, mut more: Value, rows: &str) {
    if let (Some(list), Some(more)) = (list[rows].as_array_mut(), more[rows].as_array_mut()) {
        list.append(more);
    }
}
