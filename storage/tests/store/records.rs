//! Log records to be persisted.

use std::net::SocketAddr;
use std::sync::Arc;

use ochreshed_consensus::messages::{
    AcceptedMembership, AcceptedValue, AcceptorState, Ballot, Lease, LeaseOutcome, LeaseToken, LogRecord,
    Membership, MembershipBallotState, NamedRegister, ProposalNumber, RegisterValue, ReplicaId,
    StoredResponse,
};

pub fn membership_ballot(round: u64) -> MembershipBallotState {
    let replica = ReplicaId { address: SocketAddr::from(([10, 0, 0, 1], 4_000)), disk_id: 7 };
    let membership = Membership {
        epoch: round,
        members: vec![replica; round as usize % 4],
        previous_members: vec![replica],
        rolled_back: true,
    };
    let promised = Ballot { round, proposer: 3 };
    let accepted = Some(AcceptedMembership { ballot: promised, membership: membership.clone() });
    MembershipBallotState {
        replica,
        membership,
        voter: true,
        promised,
        accepted,
        served_snapshot: true,
        barred_from_serving: round.is_multiple_of(2),
    }
}

pub fn register_acceptors(version: u64) -> LogRecord {
    let promised = ProposalNumber { epoch: version / 2, ballot: Ballot { round: version, proposer: 9 } };
    let value = Arc::new(RegisterValue::new(version, vec![version as u8; 40]));
    let accepted = version.is_multiple_of(2).then_some(AcceptedValue { number: promised, value });
    let acceptor = AcceptorState { register: "m/a".into(), version, promised, accepted };
    LogRecord::RegisterAcceptors(vec![acceptor; version as usize % 3])
}

pub fn configuration(version: u64) -> LogRecord {
    let bytes = format!("{{\"version\":{version}}}").into_bytes();
    LogRecord::Configuration(Arc::new(RegisterValue::new(version, bytes)))
}

pub fn named_register(name: &str, version: u64) -> LogRecord {
    let value = Arc::new(RegisterValue::new(version, format!("{name} {version}").into_bytes()));
    LogRecord::Register(NamedRegister { name: name.into(), value })
}

/// A lease that is pending, or completed by a response of this length.
pub fn lease(token: LeaseToken, response_bytes: Option<usize>) -> Lease {
    let response = |bytes| StoredResponse {
        status: 200,
        headers: vec![("content-type".to_owned(), "text/plain".to_owned())],
        body: vec![token as u8; bytes],
    };
    let outcome = response_bytes
        .map_or(LeaseOutcome::Pending, |bytes| LeaseOutcome::Completed(Arc::new(response(bytes))));
    Lease { token, time_left_ms: 1_500, outcome }
}
