//! The answer to an operator's call.
//!
//! Main types: [`AdminResponse`], and [`QueryOutcome`] for a query that may have to wait for a drain.
//!
//! Invariants: an answer of status 200 is JSON; any other is one or more lines of plain text.

use std::net::SocketAddr;

use hyper::Response;
use hyper::header::{HeaderValue, RETRY_AFTER};
use serde::Serialize;

use super::request::AdminRequestError;
use crate::mesh::control::member_error::MemberError;
use crate::mesh::proxy::connection_pool::ResponseBody;
use crate::mesh::proxy::listener::{self, RequestError, plain_response};

/// The answer to an operator's call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdminResponse {
    /// JSON, with status 200.
    Json(String),
    Error {
        status: u16,
        message: String,
        /// After how many seconds the call may be repeated.
        retry_after_s: Option<u64>,
    },
}

/// What a query comes to on one snapshot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QueryOutcome {
    Answered(AdminResponse),
    /// The upstream to be drained still serves: its proxy is to be asked, and the query repeated on a new snapshot.
    DrainPending {
        inbound_proxy: SocketAddr,
        upstream_id: String,
    },
}

impl AdminResponse {
    /// An error that says nothing about when to repeat the call.
    #[must_use]
    pub fn error(status: u16, message: impl Into<String>) -> AdminResponse {
        AdminResponse::Error { status, message: message.into(), retry_after_s: None }
    }

    /// The event loop did not answer in time.
    #[must_use]
    pub fn busy() -> AdminResponse {
        AdminResponse::error(503, "busy: ask again")
    }

    /// A value as JSON.
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
