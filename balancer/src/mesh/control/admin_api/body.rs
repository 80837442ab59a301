//! Receives the bodies of operators' calls.
//!
//! Invariants: a body longer than [`MAX_BODY_BYTES`] is rejected, before it is read if its length is declared.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::Semaphore;

use super::response::AdminResponse;
use crate::clock::Clock;
use crate::mesh::proxy::listener::{self, ReceivedRequest};

/// The maximum length of a body.
const MAX_BODY_BYTES: u64 = 32 << 20;
/// Timeout for the first part of a body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Reads the body of a call. The error is the response to the call. `bodies` limits the total memory of bodies that are
/// being read.
pub async fn read_body(
    received: ReceivedRequest,
    bodies: &Arc<Semaphore>,
    clock: Clock,
) -> Result<Vec<u8>, AdminResponse> {
    let (message, _permit) =
        listener::read_message(received, bodies, clock, MAX_BODY_BYTES, BODY_TIMEOUT).await?;
    Ok(listener::read_body(message, MAX_BODY_BYTES).await?)
}
