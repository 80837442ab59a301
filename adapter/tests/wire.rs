//! Replies to the simulator's events, and errors for invalid input.

use expect_test::{Expect, expect};
use ochreshed_adapter::serve;

const SETTINGS: &str = r#"{"NInstances":1,"Tier":0,"Tiers":["one"],"Discovery":"ask","New":{"Key":1},"Limits":{"MaxDispatches":3},"RuleSets":[{"Name":"quote","Effect":"repeatable","ResponseTarget":1000.0,"TardyUtility":0.25,"Utility":3.0,"Window":5000.0}]}"#;

/// The start of an instance with two endpoints, then `rest` in the same batch.
fn batch_with_start(rest: &str) -> String {
    format!(
        "turn\tAtTime=1000.25\nstart\tBalancer=3\tRngSeed=9\tProfileData={SETTINGS}\npool\tRef=0\tLines=2\n\
         upstream\tCondition=up\tCapacityHint=1\tHall=perth\tUpstream=10.0.0.1:80\n\
         upstream\tCondition=draining\tHall=perth\tUpstream=10.0.0.2:80\n\
         fleet\tBalancer=3\tHow=Persisted\tSeqNo=1\tRef=0\n{rest}"
    )
}

/// Compares the reply without its timers.
fn check_actions(input: &str, expected: Expect) {
    let mut out = Vec::new();
    let result = serve(input.as_bytes(), &mut out);
    let out = String::from_utf8(out).expect("text");
    let is_timer = |line: &&str| line.starts_with("wake_at");
    let lines: Vec<&str> = out.lines().filter(|line| !is_timer(line)).collect();
    expected.assert_eq(&format!("{}\n{result:?}\n", lines.join("\n")));
}

#[test]
fn a_request_is_sent_and_a_repeated_outcome_ignored() {
    let more = "submit\tBalancer=3\tRequestId=7\tBudget=240.5\tKind=quote\nend\n\
                turn\tAtTime=1018.75\n\
                response\tBalancer=3\tRequestId=7\tCopy=0\tUpstream=10.0.0.1:80\tHow=Ok\tDuration=18.5\tClosed=1\n\
                response\tBalancer=3\tRequestId=7\tCopy=0\tUpstream=10.0.0.1:80\tHow=Ok\tDuration=18.5\tClosed=1\n\
                client_gone\tBalancer=3\tRequestId=7\nend\n";
    check_actions(
        &batch_with_start(more),
        expect![[r#"
        issue	Balancer=3	RequestId=7	Upstream=10.0.0.1:80	StopAt=1240.750000
        end
        end
        Ok(())
    "#]],
    );
}

#[test]
fn a_request_that_timed_out_is_answered_if_its_outcome_is_not_closed() {
    let more = "submit\tBalancer=3\tRequestId=7\tBudget=240.5\tKind=quote\nend\n\
                turn\tAtTime=1240.75\n\
                response\tBalancer=3\tRequestId=7\tCopy=0\tUpstream=10.0.0.1:80\tHow=TimedOut\tDuration=240.5\nend\n";
    check_actions(
        &batch_with_start(more),
        expect![[r#"
        issue	Balancer=3	RequestId=7	Upstream=10.0.0.1:80	StopAt=1240.750000
        end
        push_back	Balancer=3	RequestId=7	Pause=0.000000
        end
        Ok(())
    "#]],
    );
}

#[test]
fn unknown_events_are_ignored_and_a_stopped_instance_may_start_again() {
    let more = "novel\tBalancer=3\tThing=1\npeer\tBalancer=3\tNeighbour=1\tBytes=-\nstop\tBalancer=3\n";
    let restart =
        batch_with_start("end\n").split_once('\n').map(|(_, rest)| rest.to_string()).expect("lines");
    check_actions(
        &batch_with_start(&format!("{more}{restart}")),
        expect![[r#"
        end
        Ok(())
    "#]],
    );
}

#[test]
fn a_stopped_instance_gets_no_more_requests() {
    check_actions(
        &batch_with_start(
            "stop\tBalancer=3\nsubmit\tBalancer=3\tRequestId=7\tBudget=240.5\tKind=quote\nend\n",
        ),
        expect![[r#"
            end
            Ok(())
        "#]],
    );
}

#[test]
fn invalid_settings_break_only_their_instance() {
    check_actions(
        "turn\tAtTime=1.5\nstart\tBalancer=1\tRngSeed=9\tProfileData={\"Tier\":\nend\n\
         turn\tAtTime=2\nstart\tBalancer=1\tRngSeed=9\tProfileData={\"Tier\":\"x\"}\nend\n",
        expect![[r#"
            broken	Balancer=1	Message=settings: EOF while parsing a value at line 1 column 8
            end
            broken	Balancer=1	Message=settings: /Tier has the wrong type
            end
            Ok(())
        "#]],
    );
}

#[test]
fn protocol_errors_end_the_adapter() {
    check_actions(
        "turn\tAtTime=1\nsubmit\tBalancer=3\n",
        expect![[r#"

        Err("line 3: input ends within a batch")
    "#]],
    );
    check_actions(
        "turn\tAtTime=1\nend",
        expect![[r#"

            Err("line 2: input ends within a line")
        "#]],
    );
    check_actions(
        "hello\n",
        expect![[r#"

        Err("line 1: expected turn, found hello")
    "#]],
    );
    check_actions(
        "turn\tAtTime=soon\nend\n",
        expect![[r#"

        Err("line 1: AtTime is not a time")
    "#]],
    );
    check_actions(
        "turn\tAtTime=1\nsubmit\tBalancer\nend\n",
        expect![[r#"

        Err("line 2: 'Balancer' is not name=value")
    "#]],
    );
    check_actions(
        &batch_with_start("response\tBalancer=3\tRequestId=7\tCopy=0\tHow=Odd\tDuration=1\nend\n"),
        expect![[r#"

        Err("line 7: How=Odd is not a dispatch outcome")
    "#]],
    );
    check_actions(
        "turn\tAtTime=1\npool\tRef=0\tLines=1\nend\n",
        expect![[r#"

        Err("line 3: expected upstream, found end")
    "#]],
    );
}

/// Compares the reply with its timers.
fn check_all_lines(input: &str, expected: Expect) {
    let mut out = Vec::new();
    let result = serve(input.as_bytes(), &mut out);
    let out = String::from_utf8(out).expect("text");
    expected.assert_eq(&format!("{out}{result:?}\n"));
}

#[test]
fn each_event_is_answered_with_the_actions_of_the_policy() {
    let settings = r#"{"NInstances":1,"Tier":0,"Tiers":["one"],"Discovery":"ask","Limits":{"MaxDispatches":3,"Cancelling":true},"RuleSets":[{"Name":"pay","Effect":"once","ResponseTarget":1000.0}]}"#;
    let input = format!(
        "turn\tAtTime=1000.25\nstart\tBalancer=3\tRngSeed=9\tProfileData={settings}\npool\tRef=5\tLines=1\n\
         upstream\tCondition=up\tCapacityHint=1\tCameUp=1\tHall=perth\tStripe=1\tUpstream=10.0.0.1:80\n\
         fleet\tBalancer=3\tHow=Complete\tSeqNo=1\tRef=5\nend\n\
         turn\tAtTime=1001\n\
         submit\tBalancer=3\tRequestId=7\tBudget=240.5\tKind=pay\tOrg=acme\tAgainByClient=1\tCostGuess=3\n\
         submit\tBalancer=3\tRequestId=8\tBudget=240.5\tKind=pay\nend\n\
         turn\tAtTime=1002\nbegun\tBalancer=3\tRequestId=7\tCopy=0\n\
         client_gone\tBalancer=3\tRequestId=7\nend\n\
         turn\tAtTime=1003\n\
         response\tBalancer=3\tRequestId=8\tCopy=0\tHow=ResetByPeer\tDuration=2\tClosed=0\tStats=1,2\n\
         ping_result\tBalancer=3\tUpstream=10.0.0.1:80\tHow=Ok\tDuration=1\tStats=1,2\nend\n\
         turn\tAtTime=1004\nfleet\tBalancer=3\tHow=Error\nend\n\
         turn\tAtTime=9000\ntick_due\tBalancer=3\tCtx=0\nend\n\
         turn\tAtTime=9001\nfleet\tBalancer=3\tHow=Partial\tRef=5\nend\n"
    );
    check_all_lines(
        &input,
        expect![[r#"
        wake_at	Balancer=3	Ctx=0	In=637.456723
        end
        issue	Balancer=3	RequestId=7	Upstream=10.0.0.1:80	StopAt=1241.500000
        issue	Balancer=3	RequestId=8	Upstream=10.0.0.1:80	StopAt=1241.500000
        wake_at	Balancer=3	Ctx=0	In=250.000000
        end
        recall	Balancer=3	RequestId=7	Copy=0
        end
        respond_error	Balancer=3	RequestId=8
        end
        end
        watch	Balancer=3	Enable=1
        wake_at	Balancer=3	Ctx=0	In=250.000000
        end
        end
        Ok(())
    "#]],
    );
}

#[test]
fn invalid_lists_probes_and_lines_end_the_adapter() {
    check_all_lines(
        &batch_with_start("ping_result\tBalancer=3\tUpstream=10.0.0.1:80\tHow=Odd\tDuration=1\nend\n"),
        expect![[r#"
            Err("line 7: How=Odd is not a dispatch outcome")
        "#]],
    );
    check_all_lines(
        &batch_with_start("fleet\tBalancer=3\tHow=Odd\nend\n"),
        expect![[r#"
        Err("line 7: How=Odd is not a list status")
    "#]],
    );
    check_all_lines(
        &batch_with_start("fleet\tBalancer=3\tHow=Complete\tRef=9\nend\n"),
        expect![[r#"
        Err("line 7: fleet refers to an unknown pool")
    "#]],
    );
    check_all_lines(
        &batch_with_start("fleet\tBalancer=3\nend\n"),
        expect![[r#"
        Err("line 7: fleet lacks How")
    "#]],
    );
    check_all_lines(
        &batch_with_start("submit\tBalancer=x\nend\n"),
        expect![[r#"
        Err("line 7: Balancer=x is not a whole number")
    "#]],
    );
    check_all_lines(
        "turn\tAtTime=1\npool\tRef=0\tLines=1\n",
        expect![[r#"
        Err("line 3: input ends within a pool")
    "#]],
    );
    check_all_lines(
        "\tAtTime=1\n",
        expect![[r#"
        Err("line 1: line has no name")
    "#]],
    );
    check_all_lines(
        "turn\tAtTime=1\nstart\tBalancer=1\tRngSeed=9\tProfileData={\"RuleSets\":[{\"Name\":1}]}\nend\n",
        expect![[r#"
            broken	Balancer=1	Message=settings: /Name has the wrong type
            end
            Ok(())
        "#]],
    );
}
