//! Which news of a list is newer. Discovery counts versions, and starts anew when it has lost its state: then a smaller
//! number is newer. So versions stand in epochs, which the balancers count themselves. It owns that order and must never
//! go by a clock.

use serde::{Deserialize, Serialize};

/// A version in its epoch; the greater one is newer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Stamp {
    pub epoch: u32,
    pub version: u64,
}

/// What an instance knows of discovery's counting.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct EpochTracker {
    /// The newest that this instance was told by discovery itself.
    own: Stamp,
    /// The newest epoch that anybody has told of.
    epoch: u32,
}

impl EpochTracker {
    /// Discovery itself has answered with this version, after the one before: the stamp of that news.
    ///
    /// Smaller than the one before: it counts anew. Whoever sees that first begins an epoch; who sees it after hearing of that
    /// one's epoch enters it.
    pub fn record_discovery_version(&mut self, version: u64) -> Stamp {
        let anew = version < self.own.version;
        let epoch = if anew { self.epoch.max(self.own.epoch + 1) } else { self.own.epoch };
        self.own = Stamp { epoch, version };
        self.epoch = self.epoch.max(epoch);
        self.own
    }

    /// Another instance has passed on news of this stamp. Of a later epoch, and no version before ours: ours is of that count
    /// too. Guards against a process that started after discovery had lost its state: it never sees a version fall.
    pub fn observe_peer_stamp(&mut self, stamp: Stamp) {
        self.epoch = self.epoch.max(stamp.epoch);
        if stamp.epoch > self.own.epoch && stamp.version >= self.own.version {
            self.own.epoch = stamp.epoch;
        }
    }

    /// What this instance had been told before it started anew.
    pub fn restore(&mut self, own: Stamp) {
        self.own = self.own.max(own);
        self.epoch = self.epoch.max(own.epoch);
    }

    pub fn discovery_stamp(&self) -> Stamp {
        self.own
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_version_that_falls_begins_an_epoch_once() {
        let (mut a, mut b, mut late) =
            (EpochTracker::default(), EpochTracker::default(), EpochTracker::default());
        for counting in [&mut a, &mut b, &mut late] {
            assert_eq!(counting.record_discovery_version(41), Stamp { epoch: 0, version: 41 });
        }
        // Both see that it counts anew, neither has heard of the other: the same epoch.
        assert_eq!(
            (a.record_discovery_version(2), b.record_discovery_version(3)),
            (Stamp { epoch: 1, version: 2 }, Stamp { epoch: 1, version: 3 })
        );
        // One that hears of it first enters that epoch.
        late.observe_peer_stamp(a.discovery_stamp());
        assert_eq!(late.record_discovery_version(4), Stamp { epoch: 1, version: 4 });
        assert!(
            late.discovery_stamp() > b.discovery_stamp()
                && b.discovery_stamp() > Stamp { epoch: 0, version: 41 }
        );
    }

    /// Guards against a restarted process whose news the others take for older than what they hold, for ever.
    #[test]
    fn one_that_starts_after_the_count_began_anew_enters_its_epoch() {
        let mut started = EpochTracker::default();
        assert_eq!(started.record_discovery_version(5), Stamp { epoch: 0, version: 5 });
        started.observe_peer_stamp(Stamp { epoch: 1, version: 6 });
        assert_eq!(started.record_discovery_version(7), Stamp { epoch: 1, version: 7 });
        // One that still has the old count stays in it until discovery itself tells it a smaller version.
        let mut old = EpochTracker::default();
        old.record_discovery_version(41);
        old.observe_peer_stamp(Stamp { epoch: 1, version: 6 });
        assert_eq!(
            (old.discovery_stamp(), old.record_discovery_version(8)),
            (Stamp { epoch: 0, version: 41 }, Stamp { epoch: 1, version: 8 })
        );
    }
}
