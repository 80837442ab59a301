use expect_test::expect;
use ochreshed_catalog::configuration::Configuration;

use super::response;
use crate::http_client::serve_responses;
use crate::mesh::operator_client::call::OperatorClient;
use crate::mesh::operator_client::documents;

#[test]
fn checks_a_configuration_before_it_is_sent() {
    let folder = std::env::temp_dir().join(format!("ochreshed-client-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let file = folder.join("r7.json");
    let limits = r#"{"category":"limits","label":{},"manifest":{}}"#;
    let good = |version: &str| format!(r#"{{"edition":"{version}","consignments":[{limits}]}}"#);
    let write = |text: &str| std::fs::write(&file, text).expect("written");
    let outcome = |responses: Vec<Vec<u8>>| {
        let at = serve_responses(responses);
        let client = OperatorClient { replicas: &[at], json: false };
        let done = documents::replace::<Configuration>(&client, &file);
        let done = done.map(|_| "done".to_owned()).unwrap_or_else(|why| why.to_string());
        done.replace(&at.to_string(), "AT").replace(&folder.display().to_string(), "DIR")
    };
    let mut all = Vec::new();
    write(
        r#"{"edition":"7","consignments":[{"category":"routes","label":{"name":"r-1"},"manifest":{"tries":0}}]}"#,
    );
    all.push(outcome(Vec::new()));
    write(&good("r7"));
    all.push(outcome(vec![response(200, "{}"), response(200, &good("r7"))]));
    all.push(outcome(vec![response(200, "{}"), response(200, &good("r9"))]));
    all.push(outcome(vec![response(200, "{}"), response(200, &(good("r7") + " "))]));
    all.push(outcome(vec![response(200, "{}"), response(503, "not reached")]));
    all.push(outcome(vec![response(503, "not safe yet")]));
    all.push(outcome(vec![response(400, "edition: is missing\nlimits: is wrong")]));
    let at = serve_responses(vec![response(200, &good("r9"))]);
    let client = OperatorClient { replicas: &[at], json: false };
    all.push(documents::diff::<Configuration>(&client, &file).unwrap_or_else(|why| why.to_string()));
    std::fs::remove_dir_all(&folder).expect("removed");
    all.push(outcome(Vec::new()));
    expect![[r#"
            DIR/r7.json: refused, 7 errors
              edition: is "7", not r and a number
              consignments[0] (routes r-1).manifest.depot: is missing
              consignments[0] (routes r-1).manifest.lane_prefix: is missing
              consignments[0] (routes r-1).manifest.route_kind: is missing
              consignments[0] (routes r-1).manifest.deadline_ms: is missing
              consignments[0] (routes r-1).manifest.tries: is not above 0
              consignments[0] (routes r-1).manifest: has neither line nor split
            --
            done
            --
            AT acknowledged r7, but r9 holds: nothing has changed
            --
            AT acknowledged r7, but another r7 holds: give this one a higher number
            --
            AT acknowledged r7; reading back what holds failed: AT: 503: not reached
            --
            AT: 503: not safe yet
            it may still come into force: send it again, unchanged
            --
            AT: 400: edition: is missing
              limits: is wrong
            --
            timetable: edition from r9 to r7
            1 differences between r9, in force, and r7
            r7 is not above r9: sent like this it would change nothing

            --
            DIR/r7.json: No such file or directory (os error 2)"#]]
    .assert_eq(&all.join("\n--\n"));
}
