//! Distribution of configurations from the control plane to nodes as compressed deltas.
//!
//! A replica keeps the newest configurations in an [`UpdateCache`] and creates one [`ConfigurationUpdate`] for all
//! nodes with the same version. A node derives the new configuration from its current one with
//! [`ConfigurationUpdate::apply_to`].
//!
//! Invariants: applying an update yields exactly the committed configuration, which is verified by its digest.

use std::collections::VecDeque;
use std::io::{Read, Write};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use ochreshed_consensus::messages::{RegisterValue, Revision};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::delta::{self, DeltaOp};

/// The maximum number of kept versions, including the newest.
const MAX_CONFIGURATIONS: usize = 4;
/// The maximum total size of kept versions, unless the newest alone is larger.
const MAX_CONFIGURATION_BYTES: usize = 16 << 20;
/// The maximum number of kept updates to the newest version.
const MAX_UPDATES: usize = 6;
/// The maximum decompressed size of an update's operations.
const MAX_DECOMPRESSED_BYTES: u64 = 64 << 20;

/// A configuration, or its delta from an older one.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ConfigurationUpdate {
    /// The revision of the configuration.
    #[serde(rename = "rank")]
    pub revision: Revision,
    /// The revision of the older configuration; [`Revision::NONE`] if the update holds the whole configuration.
    #[serde(rename = "from")]
    pub base: Revision,
    /// The [`DeltaOp`]s as CBOR, deflated.
    #[serde(rename = "packed", with = "serde_bytes")]
    pub compressed: Vec<u8>,
}

/// Why an update can't be applied.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum UpdateError {
    /// The update is a delta from a different configuration than the given one.
    #[error("the update is based on a different configuration")]
    BaseMismatch,
    /// The update can't be decoded, or its result does not match the digest.
    #[error("the update is corrupt")]
    Corrupt,
}

impl ConfigurationUpdate {
    /// Creates the update to a configuration from an older one, or one with the whole configuration if `base` is
    /// `None`.
    fn new(configuration: &RegisterValue, base: Option<&RegisterValue>) -> Option<ConfigurationUpdate> {
        let ops = match base {
            Some(base) => delta::compute_delta(&base.bytes, &configuration.bytes),
            None => vec![DeltaOp::Insert(configuration.bytes.clone())],
        };
        let mut encoded = Vec::new();
        ciborium::into_writer(&ops, &mut encoded).ok()?;
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
        encoder.write_all(&encoded).ok()?;
        Some(ConfigurationUpdate {
            revision: configuration.revision(),
            base: revision_of(base),
            compressed: encoder.finish().ok()?,
        })
    }

    /// Applies the update to the current configuration and returns the new one.
    pub fn apply_to(&self, current: Option<&RegisterValue>) -> Result<RegisterValue, UpdateError> {
        let old = match current {
            _ if self.base == Revision::NONE => &[][..],
            Some(current) if current.revision() == self.base => &current.bytes,
            _ => return Err(UpdateError::BaseMismatch),
        };
        let Revision { version, digest } = self.revision;
        let bytes = delta::apply_delta(old, &self.ops()?, digest).ok_or(UpdateError::Corrupt)?;
        Ok(RegisterValue { version, digest, bytes })
    }

    fn ops(&self) -> Result<Vec<DeltaOp>, UpdateError> {
        let mut encoded = Vec::new();
        let mut decoder = DeflateDecoder::new(&self.compressed[..]).take(MAX_DECOMPRESSED_BYTES);
        decoder.read_to_end(&mut encoded).map_err(|_| UpdateError::Corrupt)?;
        ciborium::from_reader(&encoded[..]).map_err(|_| UpdateError::Corrupt)
    }
}

fn revision_of(configuration: Option<&RegisterValue>) -> Revision {
    configuration.map_or(Revision::NONE, RegisterValue::revision)
}

/// The newest configurations of a replica, and the updates that nodes have requested.
#[derive(Default)]
pub struct UpdateCache {
    state: Mutex<CacheState>,
}

#[derive(Default)]
struct CacheState {
    /// The newest configurations, newest last.
    configurations: VecDeque<Arc<RegisterValue>>,
    /// Updates to the newest configuration, most recently created last.
    updates: VecDeque<Arc<ConfigurationUpdate>>,
}

impl CacheState {
    fn configuration_bytes(&self) -> usize {
        self.configurations.iter().map(|configuration| configuration.bytes.len()).sum()
    }

    fn exceeds_limits(&self) -> bool {
        self.configurations.len() > MAX_CONFIGURATIONS || self.configuration_bytes() > MAX_CONFIGURATION_BYTES
    }
}

impl UpdateCache {
    fn lock(&self) -> MutexGuard<'_, CacheState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a committed configuration.
    pub fn add(&self, configuration: &Arc<RegisterValue>) {
        let mut state = self.lock();
        let newest = configuration.revision();
        if state.configurations.back().is_some_and(|last| last.revision() >= newest) {
            return;
        }
        state.configurations.push_back(configuration.clone());
        while state.configurations.len() > 1 && state.exceeds_limits() {
            state.configurations.pop_front();
        }
        state.updates.retain(|update| update.revision == newest);
    }

    /// Returns the update from this revision to the newest configuration; `None` if there is no newer one.
    ///
    /// Computes the update if it is not cached, which can take long, so this should not be called on an async executor.
    pub fn update_from(&self, current: Revision) -> Option<Arc<ConfigurationUpdate>> {
        let (configuration, base) = {
            let state = self.lock();
            let configuration = state.configurations.back().filter(|newest| newest.revision() > current)?;
            let base = state.configurations.iter().find(|kept| kept.revision() == current);
            let base_revision = revision_of(base.map(|base| &**base));
            let cached = state.updates.iter().find(|update| update.base == base_revision);
            if let Some(cached) = cached.filter(|cached| cached.revision == configuration.revision()) {
                return Some(cached.clone());
            }
            (configuration.clone(), base.cloned())
        };
        let update = Arc::new(ConfigurationUpdate::new(&configuration, base.as_deref())?);
        let mut state = self.lock();
        state.updates.push_back(update.clone());
        if state.updates.len() > MAX_UPDATES {
            state.updates.pop_front();
        }
        Some(update)
    }
}
