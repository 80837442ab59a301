//! Configurations on their way to attendants: packed once for all that have the same one before, as what differs, in
//! few bytes. It owns which older ones are kept for that. It must never let a text through that differs from what the
//! core agreed on: its digest is checked where it is opened.

use std::collections::VecDeque;
use std::fmt;
use std::io::{Read, Write};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use serde::{Deserialize, Serialize};

use crate::delta::{self, DeltaOp};
use ochreshed_consensus::messages::{RegisterValue, Revision};

/// So many older ones are kept, of so many bytes together at most.
const KEPT: usize = 4;
const KEPT_BYTES: usize = 16 << 20;
/// So many packed ones are kept.
const PACKED: usize = 6;
/// An opened one has no more bytes than this.
const MOST: u64 = 64 << 20;

fn held<T>(lock: &Mutex<T>) -> MutexGuard<'_, T> {
    lock.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A configuration, or what differs between it and an older one.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ConfigurationUpdate {
    #[serde(rename = "rank")]
    pub revision: Revision,
    /// The one it goes out from; Revision::NONE where it is whole.
    #[serde(rename = "from")]
    pub base: Revision,
    #[serde(rename = "packed", with = "serde_bytes")]
    pub compressed: Vec<u8>,
}

#[derive(Debug, PartialEq, Eq)]
pub enum UpdateError {
    /// It goes out from one that is not here.
    BaseMismatch,
    /// It can't be opened, or what it makes is not what was meant.
    Corrupt,
}

impl fmt::Display for UpdateError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            UpdateError::BaseMismatch => "goes out from another one",
            UpdateError::Corrupt => "can't be opened",
        })
    }
}

impl ConfigurationUpdate {
    fn pack(sheet: &RegisterValue, from: Option<&RegisterValue>) -> Option<ConfigurationUpdate> {
        let pieces = match from {
            Some(from) => delta::between(&from.bytes, &sheet.bytes),
            None => vec![DeltaOp::Insert(sheet.bytes.clone())],
        };
        let mut plain = Vec::new();
        ciborium::into_writer(&pieces, &mut plain).ok()?;
        let mut packer = DeflateEncoder::new(Vec::new(), Compression::fast());
        packer.write_all(&plain).ok()?;
        let from = from.map_or(Revision::NONE, RegisterValue::revision);
        Some(ConfigurationUpdate {
            revision: sheet.revision(),
            base: from,
            compressed: packer.finish().ok()?,
        })
    }

    /// The configuration that it holds, made out of the one that is here.
    pub fn open(&self, here: Option<&RegisterValue>) -> Result<RegisterValue, UpdateError> {
        let old = match here {
            _ if self.base == Revision::NONE => &[][..],
            Some(here) if here.revision() == self.base => &here.bytes,
            _ => return Err(UpdateError::BaseMismatch),
        };
        let mut plain = Vec::new();
        let read = DeflateDecoder::new(&self.compressed[..]).take(MOST).read_to_end(&mut plain);
        read.map_err(|_| UpdateError::Corrupt)?;
        let pieces: Vec<DeltaOp> = ciborium::from_reader(&plain[..]).map_err(|_| UpdateError::Corrupt)?;
        let bytes = delta::apply(old, &pieces, self.revision.digest).ok_or(UpdateError::Corrupt)?;
        Ok(RegisterValue { version: self.revision.version, digest: self.revision.digest, bytes })
    }
}

/// What a steward has at hand for attendants.
#[derive(Default)]
pub struct UpdateCache(Mutex<Kept>);

#[derive(Default)]
struct Kept {
    /// The newest last.
    sheets: VecDeque<Arc<RegisterValue>>,
    packed: VecDeque<Arc<ConfigurationUpdate>>,
}

impl UpdateCache {
    /// This one is safe now.
    pub fn note(&self, sheet: &Arc<RegisterValue>) {
        let mut kept = held(&self.0);
        if kept.sheets.back().is_some_and(|last| last.revision() >= sheet.revision()) {
            return;
        }
        kept.sheets.push_back(sheet.clone());
        let bytes = |sheets: &VecDeque<Arc<RegisterValue>>| {
            sheets.iter().map(|sheet| sheet.bytes.len()).sum::<usize>()
        };
        while kept.sheets.len() > 1 && (kept.sheets.len() > KEPT || bytes(&kept.sheets) > KEPT_BYTES) {
            kept.sheets.pop_front();
        }
        let newest = sheet.revision();
        kept.packed.retain(|parcel| parcel.revision == newest);
    }

    /// The newest one, for who has that one; nothing when it has the newest. Takes time where nobody had asked so before.
    pub fn newest(&self, have: Revision) -> Option<Arc<ConfigurationUpdate>> {
        let (sheet, from) = {
            let kept = held(&self.0);
            let sheet = kept.sheets.back().filter(|sheet| sheet.revision() > have)?.clone();
            let from = kept.sheets.iter().find(|sheet| sheet.revision() == have).cloned();
            let out_from = from.as_ref().map_or(Revision::NONE, |from| from.revision());
            let ready = kept.packed.iter().find(|parcel| parcel.base == out_from);
            if let Some(ready) = ready.filter(|ready| ready.revision == sheet.revision()) {
                return Some(ready.clone());
            }
            (sheet, from)
        };
        let parcel = Arc::new(ConfigurationUpdate::pack(&sheet, from.as_deref())?);
        let mut kept = held(&self.0);
        kept.packed.push_back(parcel.clone());
        if kept.packed.len() > PACKED {
            kept.packed.pop_front();
        }
        Some(parcel)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn sheet(version: u64, routes: usize) -> Arc<RegisterValue> {
        let text: String =
            (0..routes).map(|at| format!(r#"{{"route":"r-{at}","version":{}}},"#, at % 9)).collect();
        Arc::new(RegisterValue::new(version, format!("r{version} {text}").into_bytes()))
    }

    #[test]
    fn each_gets_what_differs_from_what_it_has_and_opens_it_to_the_same() {
        let parcels = UpdateCache::default();
        let all: Vec<Arc<RegisterValue>> =
            (1..8).map(|version| sheet(version, 500 + version as usize)).collect();
        all.iter().for_each(|sheet| parcels.note(sheet));
        let newest = all.last().expect("one");
        assert!(parcels.newest(newest.revision()).is_none());
        // Whoever has one that is no longer kept, or none, gets it whole.
        for (have, whole) in
            [(None, true), (Some(&all[0]), true), (Some(&all[4]), false), (Some(&all[5]), false)]
        {
            let rank = have.map_or(Revision::NONE, |have| have.revision());
            let parcel = parcels.newest(rank).expect("a parcel");
            assert_eq!(parcel.base == Revision::NONE, whole);
            assert!(whole || parcel.compressed.len() < 300, "{} bytes", parcel.compressed.len());
            assert_eq!(parcel.open(have.map(|have| &**have)).as_ref(), Ok(&**newest));
        }
        let parcel = parcels.newest(all[5].revision()).expect("a parcel");
        assert_eq!(parcel.open(Some(&all[4])), Err(UpdateError::BaseMismatch));
        let mut spoilt = (*parcel).clone();
        spoilt.revision.digest ^= 1;
        assert_eq!(spoilt.open(Some(&all[5])), Err(UpdateError::Corrupt));
        spoilt.compressed.truncate(5);
        assert_eq!(spoilt.open(Some(&all[5])), Err(UpdateError::Corrupt));
    }
}
