//! Deliberate violations of the core's rules. A test sets one of them to show that it detects the violation.
//!
//! Invariants: nothing outside tests sets a mutation; without one the core keeps every rule.

/// A rule of the core that is broken on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// Lease votes of another epoch are counted.
    CountStaleLeaseVotes,
    /// A new member votes before it has caught up.
    VoteBeforeCaughtUp,
    /// Lease votes are sent before the lease is durable.
    SendLeaseVotesBeforePersist,
    /// Half of the members counts as a majority.
    TakeHalfForMajority,
    /// A replica that gets no majority in time releases the lease on its own initiative.
    ReleaseOnTimeout,
    /// Of two pending leases on one key, a new member keeps the one that it received first.
    KeepFirstOfConflictingLeases,
    /// A read returns a value that is stored here and not known to be committed.
    ReadUncommittedValue,
    /// A proposer ignores which membership other replicas have accepted.
    IgnoreAcceptedMembership,
    /// Snapshots are served and taken across epochs.
    ServeSnapshotInAnyEpoch,
    /// A write is acknowledged before a majority stores it.
    AcknowledgeUncommittedWrite,
    /// A lease is released under any token.
    ReleaseUnderAnyToken,
    /// A lease is dropped together with its response.
    EvictLeaseWithResponse,
    /// A replica takes part in a rollback after it served its snapshot.
    RollBackAfterServing,
    /// A replica serves its snapshot after it promised a rollback.
    ServeAfterRollbackPromise,
    /// A new member ignores the registers of a snapshot.
    IgnoreRegistersOfSnapshot,
    /// Acknowledgements of replicas without a vote are counted.
    CountAcknowledgementsOfNonVoters,
    /// The acknowledgement of one register is counted for all of them.
    CountAcknowledgementForAllRegisters,
    /// A replica acknowledges a register before it is durable.
    AcknowledgeBeforePersist,
    /// An acceptor gives one term of a session to two tokens.
    GiveSessionTermToTwoTokens,
    /// An acceptor stores a session's change of a term lower than it has promised.
    AcceptLowerSessionTerm,
    /// A change of a session follows the earliest change that is reported instead of the latest.
    FollowEarliestSessionChange,
    /// A new member ignores the sessions of a snapshot.
    IgnoreSessionsOfSnapshot,
    /// Replies about sessions are sent before the change is durable.
    SendSessionRepliesBeforePersist,
    /// Content is stored that was not decided for its version.
    StoreUndecidedValue,
    /// A write is rejected though its content was decided.
    RejectDecidedContent,
    /// A snapshot leaves out what was accepted for undecided versions.
    OmitAcceptedValuesFromSnapshot,
    /// An acceptor ignores its promise for a version of a register.
    IgnoreRegisterPromise,
    /// An acceptor takes part for a version of a register that it already stores.
    AcceptStoredVersion,
    /// A proposer ignores which content other replicas have accepted for a version.
    IgnoreAcceptedValue,
    /// A read is answered without a majority.
    ReadWithoutMajority,
    /// Acknowledgements of the configuration that were sent in another epoch are counted.
    CountStaleAcknowledgements,
    /// A leaving replica stops at once.
    StopAtOnce,
    /// Proposal numbers of registers leave out the epoch.
    NumberWithoutEpoch,
    /// A new member ignores promises of sessions.
    IgnoreSessionPromises,
    /// A quorum write is acknowledged before a majority stores it.
    AcknowledgeWriteBeforeMajority,
    /// A replica reports a quorum write before it is durable.
    ReportWritesBeforePersist,
    /// A replica without a vote reports quorum writes.
    ReportWritesWithoutVote,
    /// A tombstone is said not to exist without a majority.
    FindTombstoneWithoutMajority,
    /// A new member ignores the tombstones of a snapshot.
    IgnoreTombstonesOfSnapshot,
}

impl Mutation {
    /// Every mutation, in the order of declaration.
    pub const ALL: [Mutation; 39] = [
        Mutation::CountStaleLeaseVotes,
        Mutation::VoteBeforeCaughtUp,
        Mutation::SendLeaseVotesBeforePersist,
        Mutation::TakeHalfForMajority,
        Mutation::ReleaseOnTimeout,
        Mutation::KeepFirstOfConflictingLeases,
        Mutation::ReadUncommittedValue,
        Mutation::IgnoreAcceptedMembership,
        Mutation::ServeSnapshotInAnyEpoch,
        Mutation::AcknowledgeUncommittedWrite,
        Mutation::ReleaseUnderAnyToken,
        Mutation::EvictLeaseWithResponse,
        Mutation::RollBackAfterServing,
        Mutation::ServeAfterRollbackPromise,
        Mutation::IgnoreRegistersOfSnapshot,
        Mutation::CountAcknowledgementsOfNonVoters,
        Mutation::CountAcknowledgementForAllRegisters,
        Mutation::AcknowledgeBeforePersist,
        Mutation::GiveSessionTermToTwoTokens,
        Mutation::AcceptLowerSessionTerm,
        Mutation::FollowEarliestSessionChange,
        Mutation::IgnoreSessionsOfSnapshot,
        Mutation::SendSessionRepliesBeforePersist,
        Mutation::StoreUndecidedValue,
        Mutation::RejectDecidedContent,
        Mutation::OmitAcceptedValuesFromSnapshot,
        Mutation::IgnoreRegisterPromise,
        Mutation::AcceptStoredVersion,
        Mutation::IgnoreAcceptedValue,
        Mutation::ReadWithoutMajority,
        Mutation::CountStaleAcknowledgements,
        Mutation::StopAtOnce,
        Mutation::NumberWithoutEpoch,
        Mutation::IgnoreSessionPromises,
        Mutation::AcknowledgeWriteBeforeMajority,
        Mutation::ReportWritesBeforePersist,
        Mutation::ReportWritesWithoutVote,
        Mutation::FindTombstoneWithoutMajority,
        Mutation::IgnoreTombstonesOfSnapshot,
    ];
}
