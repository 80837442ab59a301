//! The log of leases and of sessions: segments that are only appended to, and how live records move on so that the oldest
//! segment can be removed. It must never append behind bytes that were not synced, nor remove a segment out of order.

use super::*;

/// A frame takes no more records once it has so many bytes: few are read again to move a claim.
const FRAME: usize = 64 << 10;
/// Names of more digits are none of ours: numbers never come near it.
const MOST_NUMBER: u32 = 999_999_999;
/// A session's last record is the one that holds, whoever had it written.
const ANY: LeaseToken = 0;

/// When segments end and when the live claims of the oldest move on.
#[derive(Clone, Copy)]
pub(super) struct Limits {
    /// A segment that is longer is not appended to.
    pub(crate) segment: u64,
    /// Beyond this many bytes, claims move while the live ones are less than a quarter.
    pub(crate) some: u64,
    /// Beyond this many, while they are less than half.
    pub(crate) many: u64,
    /// With more segments than this, in any case.
    pub(crate) segments: usize,
    /// So much of the oldest segment is gone through with each write.
    pub(crate) step: u64,
}

pub(super) const LIMITS: Limits =
    Limits { segment: 4 << 20, some: 8 << 20, many: 64 << 20, segments: 32, step: FRAME as u64 };

pub(super) struct Segment {
    /// On disk.
    pub(crate) len: u64,
    /// Safe; what stands behind is the rest of a failed or torn write.
    pub(crate) whole: u64,
    pub(crate) live: usize,
}

/// Where the live claim of a key stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Place {
    pub(crate) token: LeaseToken,
    pub(crate) segment: u32,
    /// Its frame.
    pub(crate) at: u32,
    pub(crate) size: u32,
}

/// What a record that is safe changes.
pub(super) enum Mark {
    Put(LeaseKey, Place),
    Free(LeaseKey, LeaseToken),
}

pub(super) type Logged = (Vec<(LeaseKey, Lease)>, Vec<(SessionId, SessionRecord)>);

impl Store {
    pub(super) fn segment_bytes(&self) -> u64 {
        self.segments.values().map(|segment| segment.len).sum()
    }

    pub(super) fn read_claims(&mut self) -> Result<Logged, StoreError> {
        let listed = self.list(CLAIMS)?;
        self.tidy(CLAIMS, &listed);
        let numbers: BTreeMap<u32, u64> =
            listed.iter().filter_map(|(name, len)| Some((number_of(name)?, *len))).collect();
        let (mut claims, mut sessions) = (HashMap::new(), BTreeMap::new());
        for (number, len) in numbers {
            self.next = number + 1;
            let name = segment_name(number);
            let bytes = self.read(&name)?;
            // Guards against telling what was never synced: it could be gone at the next loss of power, after others
            // were told of it.
            self.sync(&name)?;
            self.segments.insert(number, Segment { len, whole: 0, live: 0 });
            let mut at = 0;
            while let Some(payload) = frame(number, &bytes, at) {
                let Some(records) = records(payload) else { break };
                for (record, size) in records {
                    let Some(mark) = mark(&record, number, at, size) else { continue };
                    self.apply(mark);
                    match record {
                        LogRecord::Lease(key, claim) => {
                            claims.insert(key, claim);
                        }
                        LogRecord::LeaseReleased(key, _) if !self.live.contains_key(&key) => {
                            claims.remove(&key);
                        }
                        LogRecord::Session(session, entry) => drop(sessions.insert(session, entry)),
                        LogRecord::SessionEnded(session) => drop(sessions.remove(&session)),
                        _ => {}
                    }
                }
                at += HEAD + payload.len();
            }
            if let Some(segment) = self.segments.get_mut(&number) {
                segment.whole = at as u64;
            }
            if at < bytes.len() {
                self.found.push(format!("{name}: {at} of {} bytes are whole", bytes.len()));
            }
        }
        let mut claims: Vec<(LeaseKey, Lease)> = claims.into_iter().collect();
        claims.sort_unstable_by_key(|(key, _)| *key);
        Ok((claims, sessions.into_iter().collect()))
    }

    pub(super) fn append(&mut self, records: &[LogRecord]) -> Result<(), StoreError> {
        let room = |number| self.segments.get(&number).filter(|segment| segment.whole < self.limits.segment);
        let (number, from, fresh) = match self.tail.and_then(|number| Some((number, room(number)?.whole))) {
            Some((number, whole)) => (number, whole, false),
            None => (self.next, 0, true),
        };
        if number > MOST_NUMBER {
            return Err(StoreError::TooLong);
        }
        let (moving, moved) = self.movable(number);
        let batch =
            Batch::new(number, from, moving.iter().chain(records), matches!(self.sessions, Sessions::Here))?;
        let name = segment_name(number);
        let written = self.put(&name, from, fresh, &batch.bytes);
        let len = from + batch.bytes.len() as u64;
        match (written, self.segments.get_mut(&number)) {
            // Whatever was written of a new segment, the next try empties it: none of it was safe.
            (Err(why), None) => {
                self.sweep();
                return Err(why);
            }
            (Err(why), Some(segment)) => {
                (segment.len, self.tail) = (len, None);
                self.sweep();
                return Err(why);
            }
            (Ok(()), Some(segment)) => (segment.len, segment.whole) = (len, len),
            (Ok(()), None) => {
                self.segments.insert(number, Segment { len, whole: len, live: 0 });
                (self.tail, self.next, self.removed) = (Some(number), number + 1, false);
            }
        }
        for mark in batch.marks {
            self.apply(mark);
        }
        self.moved = moved;
        self.sweep();
        Ok(())
    }

    /// One write, one sync; a new segment costs two calls more.
    pub(super) fn put(&mut self, name: &str, from: u64, fresh: bool, bytes: &[u8]) -> Result<(), StoreError> {
        let failed = |why| StoreError::Write(name.to_owned(), why);
        if fresh {
            self.files.cut(name, 0).map_err(failed)?;
        }
        self.files.write(name, from, bytes).map_err(failed)?;
        self.sync(name)?;
        if fresh { self.sync_folder(CLAIMS) } else { Ok(()) }
    }

    pub(super) fn apply(&mut self, mark: Mark) {
        let gone = match mark {
            Mark::Put(key, place) => {
                self.live_bytes += u64::from(place.size);
                if let Some(segment) = self.segments.get_mut(&place.segment) {
                    segment.live += 1;
                }
                self.live.insert(key, place)
            }
            Mark::Free(key, token) if self.live.get(&key).is_some_and(|place| place.token == token) => {
                self.live.remove(&key)
            }
            Mark::Free(..) => None,
        };
        if let Some(place) = gone {
            self.live_bytes = self.live_bytes.saturating_sub(u64::from(place.size));
            if let Some(segment) = self.segments.get_mut(&place.segment) {
                segment.live = segment.live.saturating_sub(1);
            }
        }
    }

    /// Live claims of the oldest segment that are to be written once more, ahead of what is new, and how far they have
    /// moved on then. None when there is no need.
    pub(super) fn movable(&mut self, tail: u32) -> (Vec<LogRecord>, u64) {
        let (all, live) = (self.segment_bytes(), self.live_bytes);
        let need = all > self.limits.some && all / 4 > live
            || all > self.limits.many && all / 2 > live
            || self.segments.len() > self.limits.segments;
        let (from, step) = (self.moved, self.limits.step);
        let Some((&number, oldest)) = self.segments.first_key_value() else { return (Vec::new(), from) };
        let left = oldest.whole.saturating_sub(from);
        if !need || number == tail || oldest.live == 0 || left == 0 {
            return (Vec::new(), from);
        }
        let (end, name) = (oldest.whole, segment_name(number));
        let mut bytes = match self.files.read(&name, from, left.min(step)) {
            Ok(bytes) => bytes,
            // It can wait.
            Err(_) => return (Vec::new(), from),
        };
        let first = length(&bytes, 0).map_or(0, |len| (HEAD + len) as u64);
        if first > bytes.len() as u64 && first <= left {
            match self.files.read(&name, from, first) {
                Ok(more) => bytes = more,
                Err(_) => return (Vec::new(), from),
            }
        }
        let (mut moving, mut at) = (Vec::new(), 0);
        while let Some(payload) = frame(number, &bytes, at) {
            let Some(records) = records(payload) else { break };
            let here = from + at as u64;
            moving.extend(records.into_iter().map(|(record, _)| record).filter(|record| {
                match record {
                    LogRecord::Lease(key, claim) => self.live.get(key).is_some_and(|place| {
                        place.segment == number && u64::from(place.at) == here && place.token == claim.token
                    }),
                    LogRecord::Session(session, _) => self
                        .live
                        .get(session)
                        .is_some_and(|place| place.segment == number && u64::from(place.at) == here),
                    _ => false,
                }
            }));
            at += HEAD + payload.len();
        }
        // It was whole once and isn't any more; what follows is not to be had.
        if at == 0 { (moving, end) } else { (moving, from + at as u64) }
    }

    /// Removes the oldest segment if it is of no use any more. After a failed write as well: it may be room that lacks.
    /// When it fails it is tried again with the next write.
    pub(super) fn sweep(&mut self) {
        let Some((&number, oldest)) = self.segments.first_key_value() else { return };
        let (len, live) = (oldest.len, oldest.live);
        if self.tail == Some(number) || live > 0 && self.moved < oldest.whole {
            return;
        }
        if self.removed && self.files.sync_folder(CLAIMS).is_err() {
            return;
        }
        self.removed = false;
        let name = segment_name(number);
        if live > 0 {
            self.put_aside(&name, len);
            self.live.retain(|_, place| place.segment != number);
            self.live_bytes = self.live.values().map(|place| u64::from(place.size)).sum();
        } else if self.files.remove(&name).is_err_and(|why| why.kind() != ErrorKind::NotFound) {
            return;
        }
        self.segments.remove(&number);
        (self.moved, self.removed) = (0, true);
    }
}

/// The frames of one write, and what they change once they are safe.
struct Batch {
    bytes: Vec<u8>,
    marks: Vec<Mark>,
}

impl Batch {
    fn new<'a>(
        number: u32,
        from: u64,
        records: impl Iterator<Item = &'a LogRecord>,
        sessions: bool,
    ) -> Result<Batch, StoreError> {
        let mut batch = Batch { bytes: Vec::new(), marks: Vec::new() };
        let mut start = None;
        for record in records {
            let (key, token) = match record {
                LogRecord::Lease(key, claim) => (*key, claim.token),
                LogRecord::LeaseReleased(key, token) => (*key, *token),
                LogRecord::Session(session, _) | LogRecord::SessionEnded(session) if sessions => {
                    (*session, ANY)
                }
                _ => continue,
            };
            let at = *start.get_or_insert_with(|| {
                batch.bytes.extend_from_slice(&[0; HEAD]);
                batch.bytes.len() - HEAD
            });
            let before = batch.bytes.len();
            ciborium::into_writer(record, &mut batch.bytes)
                .map_err(|why| StoreError::Form(why.to_string()))?;
            let size = u32::try_from(batch.bytes.len() - before).map_err(|_| StoreError::TooLong)?;
            let place = u32::try_from(from + at as u64).map_err(|_| StoreError::TooLong)?;
            batch.marks.push(match record {
                LogRecord::Lease(..) | LogRecord::Session(..) => {
                    Mark::Put(key, Place { token, segment: number, at: place, size })
                }
                _ => Mark::Free(key, token),
            });
            if batch.bytes.len() - at >= FRAME {
                close(number, &mut batch.bytes, at)?;
                start = None;
            }
        }
        if let Some(at) = start {
            close(number, &mut batch.bytes, at)?;
        }
        Ok(batch)
    }
}

fn mark(record: &LogRecord, segment: u32, at: usize, size: usize) -> Option<Mark> {
    match record {
        LogRecord::Lease(key, claim) => {
            let (at, size) = (u32::try_from(at).ok()?, u32::try_from(size).ok()?);
            Some(Mark::Put(*key, Place { token: claim.token, segment, at, size }))
        }
        LogRecord::Session(session, _) => {
            let (at, size) = (u32::try_from(at).ok()?, u32::try_from(size).ok()?);
            Some(Mark::Put(*session, Place { token: ANY, segment, at, size }))
        }
        LogRecord::LeaseReleased(key, token) => Some(Mark::Free(*key, *token)),
        LogRecord::SessionEnded(session) => Some(Mark::Free(*session, ANY)),
        LogRecord::MembershipBallot(_)
        | LogRecord::Configuration(_)
        | LogRecord::Register(_)
        | LogRecord::RegisterAcceptors(_) => None,
    }
}

pub(super) fn segment_name(number: u32) -> String {
    format!("{CLAIMS}/{number:06}")
}

pub(super) fn number_of(name: &str) -> Option<u32> {
    let number: u32 = name.parse().ok()?;
    (number <= MOST_NUMBER && name == format!("{number:06}")).then_some(number)
}
