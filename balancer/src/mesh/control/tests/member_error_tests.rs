//! Tests of the status codes and texts of rejected calls, which operators' tools match.

use std::time::Duration;

use super::MemberError;

#[test]
fn each_error_has_its_status_and_text() {
    let retry_after = Duration::from_millis(39_500);
    let errors = [
        (MemberError::UnknownCall, 404, "no such call here"),
        (MemberError::Unauthorized, 401, "this is not the key of a member by that name"),
        (MemberError::RateLimited { max_per_minute: 2, retry_after }, 429, "more than 2 changes in a minute"),
        (MemberError::IncompleteDocument, 400, "the document did not come whole"),
        (MemberError::invalid(["one", "two"]), 400, "one\ntwo"),
        (MemberError::NoDocument, 404, "none was ever taken"),
        (MemberError::NoConfiguration, 409, "there is no timetable yet"),
        (MemberError::VersionTaken, 409, "another document was taken under this edition"),
        (MemberError::VersionTooLow { highest_version: 7 }, 409, "edition: r7 was taken already"),
        (MemberError::NoCanary, 409, "no trial runs"),
        (MemberError::NothingSettled, 409, "nothing was ever settled"),
        (MemberError::NoEarlierDocument, 409, "this steward has no earlier document on its disk"),
        (MemberError::EarlierDocumentUnreadable, 409, "the earlier document can't be read"),
        (MemberError::CapacityExceeded, 413, "too long, or the core holds too many documents"),
        (MemberError::UnreadableDocument, 503, "what the core holds is of a build that differs"),
        (MemberError::DiskUnreadable, 503, "the disk can't be read now"),
        (MemberError::NoQuorum, 503, "more than half of the core is not reached"),
        (MemberError::NotCommitted, 503, "not safe on more than half of the core yet: send it again"),
    ];
    for (error, status, text) in errors {
        assert_eq!((error.status(), error.to_string().as_str()), (status, text));
        let rate_limited = matches!(error, MemberError::RateLimited { .. });
        assert_eq!(error.retry_after_s(), rate_limited.then_some(40), "{text}");
    }
}
