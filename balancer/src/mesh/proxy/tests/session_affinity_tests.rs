//! Tests of session affinity.

use super::*;

#[test]
fn session_ids_depend_on_service_header_and_value_separately() {
    let ids = [
        session_id("cobro", "X-Person", "17"),
        session_id("cobro", "X-Person", "18"),
        session_id("cobro", "X-Other", "17"),
        session_id("booking", "X-Person", "17"),
        session_id("cobr", "oX-Person", "17"),
    ];
    assert_eq!(ids.iter().collect::<BTreeSet<_>>().len(), ids.len());
    assert_eq!(ids[0], session_id("cobro", "x-person", "17"));
    // Values are bytes in any encoding.
    let encodings = ["Mu\u{f1}oz".as_bytes(), b"Mu\xf1oz", b"Mu\xf2oz"];
    let ids: BTreeSet<_> = encodings.map(|value| session_id("cobro", "x-person", value)).into();
    assert_eq!(ids.len(), encodings.len());
}
