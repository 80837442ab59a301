use expect_test::expect;
use ochreshed_catalog::configuration::Configuration;

use super::response;
use crate::http_client::serve_responses;
use crate::mesh::operator_client::call::OperatorClient;
use crate::mesh::operator_client::documents;

#[test]
fn validates_a_configuration_and_reads_it_back() {
    let directory = std::env::temp_dir().join(format!("ochreshed-client-{}", std::process::id()));
    std::fs::create_dir_all(&directory).expect("create the directory");
    let file = directory.join("r7.json");
    let limits = r#"{"category":"limits","label":{},"manifest":{}}"#;
    let valid = |version: &str| format!(r#"{{"edition":"{version}","consignments":[{limits}]}}"#);
    let write = |text: &str| std::fs::write(&file, text).expect("write the file");
    let outcome = |responses: Vec<Vec<u8>>| {
        let replica = serve_responses(responses);
        let client = OperatorClient { replicas: &[replica], json: false };
        let result = documents::replace_document::<Configuration>(&client, &file);
        let result = result.map(|_| "done".to_owned()).unwrap_or_else(|error| error.to_string());
        result.replace(&replica.to_string(), "REPLICA").replace(&directory.display().to_string(), "DIR")
    };
    let mut outcomes = Vec::new();
    write(
        r#"{"edition":"7","consignments":[{"category":"routes","label":{"name":"r-1"},"manifest":{"tries":0}}]}"#,
    );
    outcomes.push(outcome(Vec::new()));
    write(&valid("r7"));
    outcomes.push(outcome(vec![response(200, "{}"), response(200, &valid("r7"))]));
    outcomes.push(outcome(vec![response(200, "{}"), response(200, &valid("r9"))]));
    outcomes.push(outcome(vec![response(200, "{}"), response(200, &(valid("r7") + " "))]));
    outcomes.push(outcome(vec![response(200, "{}"), response(503, "not reached")]));
    outcomes.push(outcome(vec![response(503, "not safe yet")]));
    outcomes.push(outcome(vec![response(400, "edition: is missing\nlimits: is wrong")]));
    let replica = serve_responses(vec![response(200, &valid("r9"))]);
    let client = OperatorClient { replicas: &[replica], json: false };
    outcomes.push(
        documents::diff_document::<Configuration>(&client, &file).unwrap_or_else(|error| error.to_string()),
    );
    std::fs::remove_dir_all(&directory).expect("remove the directory");
    outcomes.push(outcome(Vec::new()));
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
            REPLICA acknowledged r7, but r9 holds: nothing has changed
            --
            REPLICA acknowledged r7, but another r7 holds: give this one a higher number
            --
            REPLICA acknowledged r7; reading back what holds failed: REPLICA: 503: not reached
            --
            REPLICA: 503: not safe yet
            it may still come into force: send it again, unchanged
            --
            REPLICA: 400: edition: is missing
              limits: is wrong
            --
            timetable: edition from r9 to r7
            1 differences between r9, in force, and r7
            r7 is not above r9: sent like this it would change nothing

            --
            DIR/r7.json: No such file or directory (os error 2)"#]]
    .assert_eq(&outcomes.join("\n--\n"));
}
