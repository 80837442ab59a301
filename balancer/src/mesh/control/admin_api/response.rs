//! Responses to operators' calls.
//!
//! Main types: [`AdminResponse`], and [`QueryOutcome`] for queries that may have to wait for a drain.
//!
//! Invariants: a response with status 200 is JSON; any other is one or more lines of plain text.

use std::net::SocketAddr;

use hyper::Response;
use hyper::header::{HeaderValue, RETRY_AFTER};
use serde::Serialize;

use super::request::AdminRequestError;
use crate::mesh::control::member_error::MemberError;
use crate::mesh::proxy::connection_pool::ResponseBody;
use crate::mesh::proxy::listener::{self, RequestError, plain_response};

/// The response to an operator's call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdminResponse {
    /// JSON, with status 200.
    Json(String),
    Error {
        status: u16,
        message: String,
        /// The value of `Retry-After` in seconds.
        retry_after_s: Option<u64>,
    },
}

/// The outcome of a query on one snapshot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QueryOutcome {
    Answered(AdminResponse),
    /// The upstream to be drained is still serving: its proxy must be requested to drain it, and the query repeated on
    /// a new snapshot.
    DrainPending {
        inbound_proxy: SocketAddr,
        upstream_id: String,
    },
}

impl AdminResponse {
    /// Creates an error without `Retry-After`.
    #[must_use]
    pub fn error(status: u16, message: impl Into<String>) -> AdminResponse {
        AdminResponse::Error { status, message: message.into(), retry_after_s: None }
    }

    /// Creates the error for an event loop that did not respond in time.
    #[must_use]
    pub fn busy() -> AdminResponse {
        AdminResponse::error(503, "busy: ask again")
    }

    /// Serializes a value as a JSON response.
    #[must_use]
    pub fn json(value: &impl Serialize) -> AdminResponse {
        match serde_json::to_string(value) {
            Ok(text) => AdminResponse::Json(text),
            Err(error) => AdminResponse::error(500, error.to_string()),
        }
    }
}

impl From<AdminRequestError> for AdminResponse {
    fn from(error: AdminRequestError) -> AdminResponse {
        AdminResponse::error(error.status(), error.to_string())
    }
}

impl From<MemberError> for AdminResponse {
    fn from(error: MemberError) -> AdminResponse {
        AdminResponse::Error {
            status: error.status(),
            message: error.to_string(),
            retry_after_s: error.retry_after_s(),
        }
    }
}

impl From<RequestError> for AdminResponse {
    fn from(RequestError(status, message): RequestError) -> AdminResponse {
        AdminResponse::error(status, message)
    }
}

impl From<AdminResponse> for Response<ResponseBody> {
    fn from(response: AdminResponse) -> Response<ResponseBody> {
        match response {
            AdminResponse::Json(text) => listener::json_response(200, text),
            AdminResponse::Error { status, message, retry_after_s } => {
                let mut response = plain_response(status, &message);
                if let Some(seconds) = retry_after_s {
                    response.headers_mut().insert(RETRY_AFTER, HeaderValue::from(seconds));
                }
                response
            }
        }
    }
}
