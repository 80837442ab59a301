//! Tests of `fencing`.

use super::*;

#[test]
fn a_gate_that_lost_a_session_does_not_pass_and_old_ones_are_forgotten() {
    let fence = FencingTable::default();
    let fencing_token = |session, since| FencingToken { session, since_term: since };
    assert_eq!(fence.check(1, fencing_token(1, 4)), Ok(()));
    assert_eq!(fence.check(2, fencing_token(1, 3)), Err(4));
    assert_eq!((fence.check(3, fencing_token(1, 4)), fence.check(4, fencing_token(1, 6))), (Ok(()), Ok(())));
    assert_eq!((fence.check(5, fencing_token(1, 5)), fence.check(5, fencing_token(2, 1))), (Err(6), Ok(())));
    for session in 3..MAX_SESSIONS as u128 + 10 {
        assert_eq!(fence.check(9, fencing_token(session, 9)), Ok(()));
    }
    // Of too many the oldest are gone, and all of them after their time.
    assert_eq!(
        (fence.check(10, fencing_token(1, 1)), fence.check(10, fencing_token(400, 8))),
        (Ok(()), Err(9))
    );
    assert_eq!(fence.check(10 + RETENTION, fencing_token(400, 8)), Ok(()));
    assert!(lock(&fence.0).sessions.len() < 3);
    assert_eq!(FencingToken::from_header(&fencing_token(7, 9).to_header()), Some(fencing_token(7, 9)));
    assert_eq!(
        (FencingToken::from_header("7"), FencingToken::from_header("x.1"), FencingToken::from_header("1.")),
        (None, None, None)
    );
}
