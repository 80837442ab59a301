//! Tests of `session_affinity`.

use super::*;

#[test]
fn a_session_is_named_by_all_three_and_each_by_itself() {
    let names = [
        session_id("cobro", "X-Person", "17"),
        session_id("cobro", "X-Person", "18"),
        session_id("cobro", "X-Other", "17"),
        session_id("booking", "X-Person", "17"),
        session_id("cobr", "oX-Person", "17"),
    ];
    assert_eq!(names.iter().collect::<BTreeSet<_>>().len(), names.len());
    assert_eq!(names[0], session_id("cobro", "x-person", "17"));
}
