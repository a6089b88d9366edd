use super::{AnswerFaults, CallOutcome, read};

const KEY: &str = "call-0-1";

fn part(shard: u32, snapshot: &str, key: &str) -> String {
    let body = format!(r#"{{\"shard\":{shard},\"snapshot\":\"{snapshot}\",\"key\":\"{key}\"}}"#);
    format!(r#"{{"shard":{shard},"body":"{body}"}}"#)
}

fn answer(answered: u32, missing: &str, parts: &[String]) -> String {
    format!(
        r#"{{"request":"r","snapshot":"1.5","coverage":{{"answered":{answered},"total":2,
        "missing":[{missing}]}},"parts":[{}]}}"#,
        parts.join(",")
    )
}

fn faults(body: &str) -> AnswerFaults {
    read(200, body.as_bytes(), KEY, |map| (map == 1).then_some(2)).1
}

#[test]
fn complete_and_partial_answers_pass() {
    let complete = answer(2, "", &[part(0, "1.5", KEY), part(1, "1.5", KEY)]);
    assert_eq!(faults(&complete), AnswerFaults::default());
    let partial = answer(1, r#"{"shard":1,"reason":"deadline"}"#, &[part(0, "1.5", KEY)]);
    assert_eq!(faults(&partial), AnswerFaults::default());
}

#[test]
fn false_coverage_is_detected() {
    let overstated = answer(2, "", &[part(0, "1.5", KEY)]);
    assert!(faults(&overstated).false_coverage);
    let unlisted = answer(1, "", &[part(0, "1.5", KEY)]);
    assert!(faults(&unlisted).false_coverage);
    let duplicated = answer(2, "", &[part(0, "1.5", KEY), part(0, "1.5", KEY)]);
    assert!(faults(&duplicated).false_coverage);
}

#[test]
fn mixed_snapshots_and_crossed_answers_are_detected() {
    let mixed = answer(2, "", &[part(0, "1.5", KEY), part(1, "1.4", KEY)]);
    assert!(faults(&mixed).mixed_snapshots);
    let crossed = answer(2, "", &[part(0, "1.5", KEY), part(1, "1.5", "call-0-2")]);
    assert!(faults(&crossed).crossed);
}

#[test]
fn refusals_keep_their_outcome() {
    let body = br#"{"request":"r","status":503,"reason":"overloaded","outcome":"not_run"}"#;
    let (actual, _) = read(503, body, KEY, |_| None);
    let reason = "overloaded".to_owned();
    let outcome = "not_run".to_owned();
    assert_eq!(actual, CallOutcome::Refused { status: 503, reason, outcome });
}
