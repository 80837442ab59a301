//! Intervals, timeouts and bounds that the parts of the core share.
//!
//! Main types: `Nanos`.
//!
//! Invariants: everything that other processes can make grow has a bound here or beside its owner.

use crate::messages::LeaseToken;

/// A point in time or a duration in nanoseconds. Points in time count from an origin that the caller chooses and keeps
/// for the lifetime of the core; the core never reads a clock.
pub type Nanos = u64;

/// One millisecond.
pub(super) const MS: Nanos = 1_000_000;

/// The time from one heartbeat to the next.
pub(super) const HEARTBEAT_INTERVAL: Nanos = 250 * MS;

/// The longest time that the caller may wait from one tick to the next.
pub(super) const MAX_TICK_INTERVAL: Nanos = 50 * MS;

/// A peer that was silent for longer than this may have missed messages, so lease updates are sent to it again.
pub(super) const MISSED_MESSAGES_AFTER: Nanos = 600 * MS;

/// A peer counts as reachable if it was heard within this time.
pub(super) const REACHABLE_WINDOW: Nanos = 1000 * MS;

/// A peer that is not a member is removed after this silence.
pub(super) const FORGET_PEER_AFTER: Nanos = 30_000 * MS;

/// Requests that were not answered are sent again after this time.
pub(super) const RETRY_INTERVAL: Nanos = 120 * MS;

/// The same information is sent to the same peer no more often than this.
pub(super) const MIN_SEND_INTERVAL: Nanos = 100 * MS;

/// Further replicas are ignored once this many are known, which bounds memory.
pub(super) const MAX_PEERS: usize = 256;

/// Longer zone names are truncated.
pub(super) const MAX_ZONE_BYTES: usize = 255;

/// Pending calls on leases, sessions and tombstones that wait for votes; further requests for leases and tombstones are
/// answered `Unavailable`.
pub(super) const MAX_VOTING_CALLS: usize = 16_384;

/// Pending calls on all registers together; further ones are answered `Unavailable`.
pub(super) const MAX_REGISTER_CALLS: usize = 256;

/// A message holds at most this many items.
pub(super) const MAX_ITEMS_PER_MESSAGE: usize = 256;

/// The payloads of a message's items together don't exceed this size, unless it holds only one item.
pub(super) const MAX_MESSAGE_BYTES: usize = 512 * 1024;

/// The name of the register that holds the operator's configuration.
pub(super) const CONFIGURATION: &str = "";

/// The token of a lease or term that has no holder.
pub(super) const NO_HOLDER: LeaseToken = 0;
