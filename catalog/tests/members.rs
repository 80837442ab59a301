//! Tests of reading the register of members and members' documents: refusals and their locations.

use expect_test::expect;
use ochreshed_catalog::members::{MemberDocument, MemberLimits, MemberRegister};

const REGISTER: &str = r#"{"edition":"r3","members":[
{"name":"banco-norte","key_sha256":"00112233445566778899aabbccddeeff00112233445566778899AABBCCDDEEFF","places":[{"host":"Norte.example:80"},{"host":"comum.example","prefix":"/norte/"}],"services":["agenda","marcacoes"],"limits":{"routes":200,"retry_share":0.25}},
{"name":"banco-sul","key_sha256":"ff112233445566778899aabbccddeeff00112233445566778899aabbccddeeff","places":[{"host":"comum.example","prefix":"/sul/"}],"services":["agenda"]}]}"#;
const DOC: &str = r#"{"edition":"r7","trial":0.25,"routes":[
{"name":"cart","depot":"norte.example","lane_prefix":"/cart/","route_kind":"resendable","deadline_ms":500,"target_ms":200,"post_class":2,"line":"agenda","tries":2},
{"name":"list","depot":"norte.example","lane_prefix":"/list/","route_kind":"once_only","deadline_ms":500,"post_class":1,"split":[{"line":"agenda","share":9},{"line":"any","share":1}],"tries":1}]}"#;

#[test]
fn reads_the_complete_examples() {
    let register = MemberRegister::read(REGISTER.as_bytes()).expect("a register");
    let norte = register.member("banco-norte").expect("a member");
    assert_eq!(norte.limits, MemberLimits { max_routes: 200, retry_share: 0.25, ..MemberLimits::default() });
    assert_eq!((norte.key_sha256[1], norte.key_sha256[31]), (0x11, 0xff));
    assert!(norte.owns("norte.example", "/") && norte.owns("comum.example", "/norte/x"));
    assert!(!norte.owns("comum.example", "/norte") && !norte.owns("comum.example", "/sul/"));
    let doc = MemberDocument::read(DOC.as_bytes()).expect("a document");
    assert_eq!((register.version, doc.version, doc.canary_share, doc.routes.len()), (3, 7, Some(0.25), 2));
    assert!(doc.routes.iter().all(|route| route.share.is_none()));
}

/// Lists the result for each case, in which one part of the text, which must occur, is replaced by another.
fn case_results(text: &str, cases: &[(&str, &str)], read: fn(&[u8]) -> String) -> String {
    let case_result = |(from, to): &(&str, &str)| {
        assert!(text.contains(from), "{from}");
        format!("{from} -> {to}\n    {}\n", read(text.replacen(from, to, 1).as_bytes()))
    };
    cases.iter().map(case_result).collect()
}

fn result_text<T>(result: Result<T, Vec<ochreshed_catalog::configuration::Refusal>>) -> String {
    match result {
        Ok(_) => "valid".into(),
        Err(refusals) => refusals.iter().map(ToString::to_string).collect::<Vec<_>>().join("; "),
    }
}

#[test]
fn refuses_each_error_of_a_register_with_its_location() {
    let cases = [
        (r#""edition":"r3""#, r#""edition":"3""#),
        (r#""members":["#, r#""member":["#),
        ("banco-sul", "banco-norte"),
        ("banco-sul", "banco/sul"),
        ("ff112233", "fg112233"),
        (r#""prefix":"/sul/""#, r#""prefix":"/norte/""#),
        (r#""prefix":"/sul/""#, r#""prefix":"/norte/x/""#),
        (r#""prefix":"/sul/""#, r#""prefix":"/""#),
        (r#""prefix":"/sul/""#, r#""prefix":"/norte""#),
        (r#""prefix":"/sul/""#, r#""prefix":"/norte2/""#),
        (r#""host":"comum.example","prefix":"/sul/""#, r#""prefix":"/sul/""#),
        (r#""services":["agenda"]"#, r#""services":"agenda""#),
        (r#""services":["agenda"]"#, r#""services":[]"#),
        (r#""services":["agenda"]"#, r#""services":[""]"#),
        (r#""limits":{"#, r#""limits":{"tries":0,"deadline_ms":1.5,"rank":-1,"slot_share":1.1,"trial_s":0,"#),
        (r#""routes":200"#, r#""routes":10001"#),
        (r#""limits":{"#, r#""limits":7,"x":{"#),
    ];
    expect![[r#"
        "edition":"r3" -> "edition":"3"
            edition: is "3", not r and a number
        "members":[ -> "member":[
            members: is missing
        banco-sul -> banco-norte
            members[1] (banco-norte).name: is that of members[0] too
        banco-sul -> banco/sul
            members[1] (banco/sul).name: is not 1 to 60 letters, digits, dots, dashes and underscores
        ff112233 -> fg112233
            members[1] (banco-sul).key_sha256: is not a SHA-256 in 64 hex digits
        "prefix":"/sul/" -> "prefix":"/norte/"
            members[1] (banco-sul).places[0]: lies within members[0] (banco-norte).places[1]
        "prefix":"/sul/" -> "prefix":"/norte/x/"
            members[1] (banco-sul).places[0]: lies within members[0] (banco-norte).places[1]
        "prefix":"/sul/" -> "prefix":"/"
            members[0] (banco-norte).places[1]: lies within members[1] (banco-sul).places[0]
        "prefix":"/sul/" -> "prefix":"/norte"
            members[1] (banco-sul).places[0].prefix: does not end with a slash; members[0] (banco-norte).places[1]: lies within members[1] (banco-sul).places[0]
        "prefix":"/sul/" -> "prefix":"/norte2/"
            valid
        "host":"comum.example","prefix":"/sul/" -> "prefix":"/sul/"
            members[1] (banco-sul).places[0].host: is missing
        "services":["agenda"] -> "services":"agenda"
            members[1] (banco-sul).services: is not a list
        "services":["agenda"] -> "services":[]
            valid
        "services":["agenda"] -> "services":[""]
            members[1] (banco-sul).services[0]: is empty
        "limits":{ -> "limits":{"tries":0,"deadline_ms":1.5,"rank":-1,"slot_share":1.1,"trial_s":0,
            members[0] (banco-norte).limits.tries: is not above 0; members[0] (banco-norte).limits.deadline_ms: is not a whole number; members[0] (banco-norte).limits.rank: is below 0; members[0] (banco-norte).limits.trial_s: is not above 0; members[0] (banco-norte).limits.slot_share: is above 1
        "routes":200 -> "routes":10001
            members[0] (banco-norte).limits.routes: is above 10000
        "limits":{ -> "limits":7,"x":{
            members[0] (banco-norte).limits: is not an object
    "#]].assert_eq(&case_results(REGISTER, &cases, |bytes| result_text(MemberRegister::read(bytes))));
    let many: Vec<String> = (0..21)
        .map(|n| {
            format!(
                r#"{{"name":"m{n}","key_sha256":"{}","places":[],"services":[],"limits":{{"routes":10000}}}}"#,
                "0".repeat(64)
            )
        })
        .collect();
    let many = format!(r#"{{"edition":"r1","members":[{}]}}"#, many.join(","));
    expect!["members.limits.routes, all together: holds more than 200000"]
        .assert_eq(&result_text(MemberRegister::read(many.as_bytes())));
}

#[test]
fn refuses_each_error_of_a_document_with_its_location() {
    let cases = [
        (r#""trial":0.25"#, r#""trial":1.25"#),
        (r#""trial":0.25"#, r#""trial":null"#),
        (r#""routes":["#, r#""consignments":["#),
        (r#""name":"cart","#, ""),
        ("0.25,\"routes\":[\n{\"name\":\"cart\",", "2,\"routes\":[{"),
        (r#""tries":2"#, r#""tries":0"#),
        ("/list/", "/cart/"),
        (r#"{"line":"any","share":1}"#, r#"{"line":"any"}"#),
        (r#""line":"agenda","tries":2"#, r#""tries":2"#),
        (r#"{"name":"cart""#, r#"7,{"name":"cart""#),
    ];
    expect![[r#"
        "trial":0.25 -> "trial":1.25
            trial: is above 1
        "trial":0.25 -> "trial":null
            valid
        "routes":[ -> "consignments":[
            routes: is missing
        "name":"cart", -> 
            routes[0].name: is missing
        0.25,"routes":[
        {"name":"cart", -> 2,"routes":[{
            trial: is above 1; routes[0].name: is missing
        "tries":2 -> "tries":0
            routes[0] (cart).tries: is not above 0
        /list/ -> /cart/
            routes[1] (list).lane_prefix: is that of routes[0] too
        {"line":"any","share":1} -> {"line":"any"}
            routes[1] (list).split[1].share: is missing
        "line":"agenda","tries":2 -> "tries":2
            routes[0] (cart): has neither line nor split
        {"name":"cart" -> 7,{"name":"cart"
            routes[0]: is not an object
    "#]]
    .assert_eq(&case_results(DOC, &cases, |bytes| result_text(MemberDocument::read(bytes))));
}
