//! The policy parameters read from JSON facts. Operators write the facts, and the policy looks parameters up by
//! name: a change to either name would silently make a setting ineffective.

use expect_test::{Expect, expect};
use ochreshed::ParameterValue;
use ochreshed_policy_runtime::parameters;

fn check(facts_json: &str, expected: Expect) {
    let parameters = match parameters::parse_parameters(facts_json) {
        Ok(parameters) => parameters,
        Err(error) => return expected.assert_eq(&format!("{error}\n")),
    };
    let mut lines = String::new();
    for (name, value) in &parameters {
        match value {
            ParameterValue::List(items) => items.iter().enumerate().for_each(|(index, item)| {
                item.iter()
                    .for_each(|(field, value)| lines += &format!("{name}[{index}].{field}: {value:?}\n"));
            }),
            value => lines += &format!("{name}: {value:?}\n"),
        }
    }
    expected.assert_eq(&lines);
}

#[test]
fn each_setting_becomes_the_parameter_of_its_name() {
    check(
        r#"{
            "NInstances": 3, "Me": 2, "Tier": 1, "Tiers": ["a", "b"], "Locality": "perth",
            "ExcessUtility": 0.5, "UtilityBy": "request", "Discovery": "ask", "Unknown": 1,
            "FamilyInfo": {"PassesDeadline": true},
            "Limits": {
                "MaxDispatches": 4, "Cancelling": true, "Probes": false, "RetryAfter": true,
                "MaxRetryAfter": 1500.5, "MaxOpen": 100, "ConnIdle": 60000, "ConnectTimeout": 250
            },
            "Guarantees": {
                "AnswerSlack": 5, "AskWithin": 20, "Cold": 30000, "ColdShare": 0.2, "DrainGrace": 10000,
                "Fall": 2000, "FallMultiple": 3
            },
            "Prices": {"LateFail": 0.1, "Probe": 0.01, "CrossZone": 0.02},
            "Goal": {"SlowEnd": 0.99, "MissAllowed": 0.001, "Nines": 4},
            "Report": {"Fields": ["depth", "x", "concurrent", "load_share", "mean_ms", "tps", "err_ps"]},
            "RuleSets": [{
                "Name": "quote", "ResponseTarget": 1000, "ClientTimeout": 3000, "Effect": "once",
                "DedupScope": "zone", "Window": 5000, "Utility": 3, "TardyUtility": 0.25
            }],
            "Tenants": [{"Name": "acme", "QuotaPerS": 10, "Share": 0.5}]
        }"#,
        expect![[r#"
            answer_slack: Duration(5000000)
            ask_within: Duration(20000000)
            cold: Duration(30000000000)
            cold_share: Number(0.2)
            come_back_passed: Flag(true)
            connect_timeout: Duration(250000000)
            connection_idle: Duration(60000000000)
            customers[0].name: Text("acme")
            customers[0].share: Number(0.5)
            customers[0].share_per_s: Number(10.0)
            drain_grace: Duration(10000000000)
            excess_utility: Number(0.5)
            fall: Duration(2000000000)
            fall_multiple: Number(3.0)
            goal_nines: Number(4.0)
            goal_tail: Number(0.99)
            goal_tail_allowed: Number(0.001)
            instances: Number(3.0)
            list_mode: Text("ask")
            max_come_back: Duration(1500500000)
            max_dispatches: Number(4.0)
            max_open: Number(100.0)
            may_probe: Flag(false)
            may_recall: Flag(true)
            me: Number(2.0)
            price_crossing: Number(0.02)
            price_late: Number(0.1)
            price_probe: Number(0.01)
            report_busy: Number(3.0)
            report_done_per_s: Number(5.0)
            report_errors_per_s: Number(6.0)
            report_in_flight: Number(2.0)
            report_queue: Number(0.0)
            report_time: Number(4.0)
            rule_sets[0].client_timeout: Duration(3000000000)
            rule_sets[0].effect: Text("non-replayable")
            rule_sets[0].group: Text("site")
            rule_sets[0].late_utility: Number(0.25)
            rule_sets[0].name: Text("quote")
            rule_sets[0].response_target: Duration(1000000000)
            rule_sets[0].utility: Number(3.0)
            rule_sets[0].window: Duration(5000000000)
            site: Text("perth")
            tier: Number(1.0)
            tiers: Number(2.0)
            time_left_passed: Flag(true)
            utility_by: Text("req")
        "#]],
    );
}

#[test]
fn the_words_for_effects_and_utility_are_translated() {
    check(
        r#"{"UtilityBy": "work", "RuleSets": [
            {"Effect": "repeatable"}, {"Effect": "by_key"}, {"Effect": "once"}, {"Effect": "zone"},
            {"Effect": "request"}, {"Effect": "other"}, {"DedupScope": "all"}
        ]}"#,
        expect![[r#"
            rule_sets[0].effect: Text("replayable")
            rule_sets[1].effect: Text("uniqued")
            rule_sets[2].effect: Text("non-replayable")
            rule_sets[3].effect: Text("site")
            rule_sets[4].effect: Text("req")
            rule_sets[5].effect: Text("other")
            rule_sets[6].group: Text("all")
            tiers: Number(1.0)
            utility_by: Text("work")
        "#]],
    );
}

#[test]
fn missing_and_null_settings_are_left_out_and_durations_are_rounded_and_not_negative() {
    check(
        r#"{"Tier": null, "Guarantees": {"Cold": -1, "Fall": 0.0000015}}"#,
        expect![[r#"
        cold: Duration(0)
        fall: Duration(2)
        tiers: Number(1.0)
    "#]],
    );
}

#[test]
fn unreadable_settings_are_named_in_the_error() {
    check(
        "{",
        expect![[r#"
        settings: EOF while parsing an object at line 1 column 1
    "#]],
    );
    check(
        "[]",
        expect![[r#"
        settings: not an object
    "#]],
    );
    check(
        r#"{"Guarantees": {"Cold": "1 s"}}"#,
        expect![[r#"
        settings: /Guarantees/Cold can't be read
    "#]],
    );
    check(
        r#"{"RuleSets": [{"Name": 1}]}"#,
        expect![[r#"
        settings: /Name can't be read
    "#]],
    );
}
