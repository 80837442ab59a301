//! The order of discovery's lists.
//!
//! Discovery numbers its versions, and starts from a small number again when it has lost its state; then a smaller
//! number is newer. So versions are grouped into epochs, which the instances themselves count.
//!
//! Invariant: the order never depends on a clock.

use serde::{Deserialize, Serialize};

/// A version of discovery's list and its epoch. The greater one is newer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Stamp {
    pub epoch: u32,
    pub version: u64,
}

/// Assigns epochs to the versions that discovery reports to this instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct EpochTracker {
    /// The newest stamp that this instance has from discovery itself.
    discovery_stamp: Stamp,
    /// The newest epoch that any instance has reported.
    newest_epoch: u32,
}

impl EpochTracker {
    /// Records a version that discovery has just reported to this instance, and returns its stamp.
    ///
    /// A version smaller than the previous one means that discovery has started anew. The first instance to see that
    /// begins an epoch; an instance that has already received a stamp of that epoch enters it.
    pub fn record_discovery_version(&mut self, version: u64) -> Stamp {
        let restarted = version < self.discovery_stamp.version;
        let epoch = if restarted {
            self.newest_epoch.max(self.discovery_stamp.epoch + 1)
        } else {
            self.discovery_stamp.epoch
        };
        self.discovery_stamp = Stamp { epoch, version };
        self.newest_epoch = self.newest_epoch.max(epoch);
        self.discovery_stamp
    }

    /// Records the stamp of a status from another instance or from a snapshot. A stamp of its own changes nothing.
    ///
    /// If its epoch is later and its version not smaller than the own one, the own version belongs to that epoch too. This covers
    /// an instance that started after discovery had lost its state and so never sees the version decrease.
    pub fn observe_stamp(&mut self, stamp: Stamp) {
        self.newest_epoch = self.newest_epoch.max(stamp.epoch);
        if stamp.epoch > self.discovery_stamp.epoch && stamp.version >= self.discovery_stamp.version {
            self.discovery_stamp.epoch = stamp.epoch;
        }
    }

    /// Restores the newest stamp from before a restart of the process.
    pub fn restore(&mut self, discovery_stamp: Stamp) {
        self.discovery_stamp = self.discovery_stamp.max(discovery_stamp);
        self.newest_epoch = self.newest_epoch.max(discovery_stamp.epoch);
    }

    pub fn discovery_stamp(&self) -> Stamp {
        self.discovery_stamp
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_decreasing_version_begins_one_epoch() {
        let (mut a, mut b, mut late) =
            (EpochTracker::default(), EpochTracker::default(), EpochTracker::default());
        for tracker in [&mut a, &mut b, &mut late] {
            assert_eq!(tracker.record_discovery_version(41), Stamp { epoch: 0, version: 41 });
        }
        // Both see the restart before they hear from each other, and begin the same epoch.
        assert_eq!(
            (a.record_discovery_version(2), b.record_discovery_version(3)),
            (Stamp { epoch: 1, version: 2 }, Stamp { epoch: 1, version: 3 })
        );
        // An instance that hears of the epoch first enters it.
        late.observe_stamp(a.discovery_stamp());
        assert_eq!(late.record_discovery_version(4), Stamp { epoch: 1, version: 4 });
        assert!(
            late.discovery_stamp() > b.discovery_stamp()
                && b.discovery_stamp() > Stamp { epoch: 0, version: 41 }
        );
    }

    /// Guards against a restarted process whose updates the other instances reject as outdated for ever.
    #[test]
    fn an_instance_that_starts_after_the_restart_of_discovery_enters_its_epoch() {
        let mut started = EpochTracker::default();
        assert_eq!(started.record_discovery_version(5), Stamp { epoch: 0, version: 5 });
        started.observe_stamp(Stamp { epoch: 1, version: 6 });
        assert_eq!(started.record_discovery_version(7), Stamp { epoch: 1, version: 7 });
        // An instance with a version from before the restart stays in its epoch until discovery reports a smaller
        // version.
        let mut old = EpochTracker::default();
        old.record_discovery_version(41);
        old.observe_stamp(Stamp { epoch: 1, version: 6 });
        assert_eq!(
            (old.discovery_stamp(), old.record_discovery_version(8)),
            (Stamp { epoch: 0, version: 41 }, Stamp { epoch: 1, version: 8 })
        );
    }
}
