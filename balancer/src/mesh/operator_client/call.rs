//! Calls to the replicas of the control plane: [`OperatorClient`] tries them in order.
//!
//! Invariants:
//! - The next replica is tried only after a connection or server error. A client error (4xx) is final, because all
//!   replicas
//!   would return it.
//! - A call that is not idempotent is not sent to another replica once one may have applied it.

use std::net::SocketAddr;

use serde_json::Value;

use super::error::{CallFailure, ClientError};
use super::formatting::{percent_encode, printable_line};
use crate::http_client::{self, HttpClientError};

/// The maximum number of pages that are fetched for a list; a replica stores fewer rows than they hold.
const MAX_LIST_PAGES: usize = 40;
const STATUS_OK: u16 = 200;
/// Statuses from here on mean that the replica could not process the call; lower ones that it rejected the call.
const FIRST_SERVER_ERROR: u16 = 500;

/// Renders a JSON response as text.
pub type RenderFn = fn(&Value) -> String;

/// A client of the control plane's replicas.
#[derive(Clone, Copy)]
pub struct OperatorClient<'c> {
    /// Control addresses, in the order in which they are tried.
    pub replicas: &'c [SocketAddr],
    /// Whether responses are printed as JSON.
    pub json: bool,
}

/// An HTTP header of a call.
#[derive(Clone, Copy)]
pub struct CallHeader<'c> {
    /// The name.
    pub name: &'c str,
    /// The value, sent as is.
    pub value: &'c str,
}

/// A call to a replica.
#[derive(Clone, Copy)]
pub struct ReplicaCall<'c> {
    /// The name and parameters, encoded for the query string.
    pub name: &'c str,
    /// The body, which may be empty.
    pub body: &'c [u8],
    /// An additional header.
    pub header: Option<CallHeader<'c>>,
    /// Whether the call may be applied twice. If not, it is not sent to another replica once one may have applied it.
    pub idempotent: bool,
}

/// A response and the replica that sent it.
pub struct ReplicaResponse {
    /// The replica's control address.
    pub replica: SocketAddr,
    /// The body of the response.
    pub body: Vec<u8>,
}

impl<'c> ReplicaCall<'c> {
    /// Creates a call that only reads, without a body or an additional header.
    pub fn read(name: &'c str) -> ReplicaCall<'c> {
        ReplicaCall { name, body: &[], header: None, idempotent: true }
    }
}

impl ReplicaResponse {
    /// Returns the response as text.
    pub fn into_text(self) -> Result<String, ClientError> {
        String::from_utf8(self.body).map_err(|_| ClientError::ResponseNotUtf8)
    }
}

impl OperatorClient<'_> {
    /// Tries the replicas in order and returns the first successful response.
    pub fn call(&self, call: ReplicaCall) -> Result<ReplicaResponse, CallFailure> {
        let mut failure = CallFailure { reasons: Vec::new(), may_be_applied: false };
        for replica in self.replicas {
            if failure.may_be_applied && !call.idempotent {
                break;
            }
            match call_replica(*replica, call) {
                Ok((STATUS_OK, body)) => return Ok(ReplicaResponse { replica: *replica, body }),
                Ok((status, body)) => {
                    failure.reasons.push(format!("{replica}: {status}: {}", printable_reason(&body)));
                    if status < FIRST_SERVER_ERROR {
                        break;
                    }
                    failure.may_be_applied = true;
                }
                Err(error) => {
                    failure.may_be_applied |= !matches!(error, HttpClientError::ConnectFailed(_));
                    failure.reasons.push(format!("{replica}: {error}"));
                }
            }
        }
        Err(failure)
    }

    /// Sends a change. The error says if the change may still come into force, because a replica may have accepted it
    /// and replicated it.
    pub fn send_change(&self, call: ReplicaCall) -> Result<ReplicaResponse, CallFailure> {
        self.call(call).map_err(|mut failure| {
            if failure.may_be_applied {
                let advice = match call.idempotent {
                    true => "send it again, unchanged",
                    false => "see what holds before you send it again",
                };
                failure.reasons.push(format!("it may still come into force: {advice}"));
            }
            failure
        })
    }

    /// Fetches and renders the response to a call that has a single page.
    pub fn fetch_page(&self, call: &str, render: RenderFn) -> Result<String, ClientError> {
        let text = self.call(ReplicaCall::read(call))?.into_text()?;
        self.render(text, render)
    }

    /// Renders a response, or returns it unchanged if JSON is printed.
    pub fn render(&self, response: String, render: RenderFn) -> Result<String, ClientError> {
        if self.json { Ok(response) } else { Ok(render(&parse_json(&response)?)) }
    }

    /// Fetches all pages of a list from one replica and renders them together.
    pub fn fetch_list(&self, call: &str, rows: &str, render: RenderFn) -> Result<String, ClientError> {
        let response = self.call(ReplicaCall::read(call))?;
        let replica = [response.replica];
        let client = OperatorClient { replicas: &replica, json: self.json };
        let first = response.into_text()?;
        let mut list = parse_json(&first)?;
        let mut next = next_page_start(&list);
        if next.is_none() && self.json {
            return Ok(first);
        }
        for _ in 1..MAX_LIST_PAGES {
            let Some(after) = next else { break };
            let call = format!("{call}&after={}", percent_encode(&after));
            let page = client.call(ReplicaCall::read(&call))?.into_text()?;
            let page = parse_json(&page)?;
            next = next_page_start(&page);
            append_rows(&mut list, page, rows);
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

/// Sends one call to one replica and returns the status and body. All calls are POST requests.
fn call_replica(replica: SocketAddr, call: ReplicaCall) -> Result<(u16, Vec<u8>), HttpClientError> {
    let path = format!("/api/rpc?call={}", call.name);
    let header = call.header.map(|header| (header.name, header.value));
    http_client::request_with_header(replica, &path, Some(call.body), header)
}

/// Formats a replica's error message for a terminal.
fn printable_reason(body: &[u8]) -> String {
    let text = String::from_utf8_lossy(body);
    let lines: Vec<String> = text.trim().lines().map(printable_line).collect();
    if lines.is_empty() { "no word".to_owned() } else { lines.join("\n  ") }
}

/// Returns the start of the next page of a list; `None` on the last page.
fn next_page_start(list: &Value) -> Option<String> {
    list["next"].as_str().map(str::to_owned)
}

fn append_rows(list: &mut Value, mut page: Value, rows: &str) {
    if let (Some(list), Some(page)) = (list[rows].as_array_mut(), page[rows].as_array_mut()) {
        list.append(page);
    }
}
