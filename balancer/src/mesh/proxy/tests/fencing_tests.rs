//! Tests of session fencing.

use super::*;

#[test]
fn a_former_owner_is_refused_and_old_sessions_are_forgotten() {
    let table = FencingTable::default();
    let fencing_token = |session, since_term| FencingToken { session, since_term };
    assert_eq!(table.check(1, fencing_token(1, 4)), Ok(()));
    assert_eq!(table.check(2, fencing_token(1, 3)), Err(4));
    assert_eq!((table.check(3, fencing_token(1, 4)), table.check(4, fencing_token(1, 6))), (Ok(()), Ok(())));
    assert_eq!((table.check(5, fencing_token(1, 5)), table.check(5, fencing_token(2, 1))), (Err(6), Ok(())));
    for session in 3..MAX_SESSIONS as u128 + 10 {
        assert_eq!(table.check(9, fencing_token(session, 9)), Ok(()));
    }
    // Above the limit the oldest sessions are forgotten, and all of them after the retention time.
    assert_eq!(
        (table.check(10, fencing_token(1, 1)), table.check(10, fencing_token(400, 8))),
        (Ok(()), Err(9))
    );
    assert_eq!(table.check(10 + RETENTION, fencing_token(400, 8)), Ok(()));
    assert!(lock(&table.0).sessions.len() < 3);
    assert_eq!(FencingToken::from_header(&fencing_token(7, 9).to_header()), Some(fencing_token(7, 9)));
    assert_eq!(
        (FencingToken::from_header("7"), FencingToken::from_header("x.1"), FencingToken::from_header("1.")),
        (None, None, None)
    );
}
