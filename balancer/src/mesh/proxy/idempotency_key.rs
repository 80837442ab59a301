//! The idempotency key of a request, as its header has it.
//!
//! A key is bytes: whatever HTTP allows in a header's value guards the request, in any encoding. A request without the header
//! names no operation that it could repeat: it is one of its own and runs at most once.

use std::fmt;

use hyper::header::HeaderMap;
use ochreshed_consensus::messages::LeaseKey;

use crate::mesh::proxy::headers::IDEMPOTENCY_KEY;
use crate::mesh::proxy::lease_client::hash_key;

/// Why a request's key can't guard it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyError {
    Empty,
    /// There is more than one, and it is unknown which one a repeat will bear.
    Ambiguous,
}

impl fmt::Display for KeyError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            KeyError::Empty => "the Ochreshed-Tracking-Key is empty",
            KeyError::Ambiguous => "more than one Ochreshed-Tracking-Key",
        })
    }
}

/// The key of a request, hashed for its lease; `None` if it has none.
pub fn from_headers(headers: &HeaderMap) -> Result<Option<LeaseKey>, KeyError> {
    let mut values = headers.get_all(&IDEMPOTENCY_KEY).iter();
    let Some(key) = values.next() else { return Ok(None) };
    let key = key.as_bytes().trim_ascii();
    if values.next().is_some() {
        return Err(KeyError::Ambiguous);
    }
    if key.is_empty() {
        return Err(KeyError::Empty);
    }
    Ok(Some(hash_key(key)))
}
