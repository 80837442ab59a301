//! Tests of `session_affinity`.

use super::*;

#[test]
fn a_session_is_named_by_all_three_and_each_by_itself() {
    let names = [
        name("cobro", "X-Person", "17"),
        name("cobro", "X-Person", "18"),
        name("cobro", "X-Other", "17"),
        name("booking", "X-Person", "17"),
        name("cobr", "oX-Person", "17"),
    ];
    assert_eq!(names.iter().collect::<BTreeSet<_>>().len(), names.len());
    assert_eq!(names[0], name("cobro", "x-person", "17"));
}
