//! Tests of parsing call names.

use super::{AdminCall, MemberCall};

#[test]
fn calls_are_found_by_their_names() {
    let calls = [
        ("timetable.read", AdminCall::ReadConfiguration),
        ("timetable.replace", AdminCall::ReplaceConfiguration),
        ("sessions.count", AdminCall::CountSessions),
        ("sessions.show", AdminCall::Session),
        ("sessions.move", AdminCall::Session),
        ("sessions.forget", AdminCall::Session),
        ("members.read", AdminCall::ReadMemberRegister),
        ("members.replace", AdminCall::ReplaceMemberRegister),
        ("member.read", AdminCall::Member(MemberCall::Read)),
        ("member.history", AdminCall::Member(MemberCall::History)),
        ("member.status", AdminCall::Member(MemberCall::Status)),
        ("member.plan", AdminCall::Member(MemberCall::Plan)),
        ("member.replace", AdminCall::Member(MemberCall::Replace)),
        ("member.undo", AdminCall::Member(MemberCall::RestorePrevious)),
        ("member.settle", AdminCall::Member(MemberCall::PromoteCanary)),
        ("member.withdraw", AdminCall::Member(MemberCall::WithdrawCanary)),
        ("member.burn", AdminCall::UnknownMemberCall),
        ("members.burn", AdminCall::UnknownMemberCall),
        ("nodes.list", AdminCall::Query),
        ("", AdminCall::Query),
    ];
    for (name, call) in calls {
        assert_eq!(AdminCall::from_name(name), call, "{name}");
    }
}

#[test]
fn only_changes_count_against_the_limit() {
    let changes = [
        MemberCall::Replace,
        MemberCall::RestorePrevious,
        MemberCall::PromoteCanary,
        MemberCall::WithdrawCanary,
    ];
    let reads = [MemberCall::Read, MemberCall::History, MemberCall::Status, MemberCall::Plan];
    assert!(changes.iter().all(|call| call.is_change()));
    assert!(!reads.iter().any(|call| call.is_change()));
}
