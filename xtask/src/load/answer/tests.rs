use super::{Checks, Verdict, read};

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

fn checks(body: &str) -> Checks {
    read(200, body.as_bytes(), KEY, |map| (map == 1).then_some(2)).1
}

#[test]
fn whole_and_partial_answers_pass() {
    let whole = answer(2, "", &[part(0, "1.5", KEY), part(1, "1.5", KEY)]);
    assert_eq!(checks(&whole), Checks::default());
    let partial = answer(1, r#"{"shard":1,"reason":"deadline"}"#, &[part(0, "1.5", KEY)]);
    assert_eq!(checks(&partial), Checks::default());
}

#[test]
fn coverage_lies_are_seen() {
    let overstated = answer(2, "", &[part(0, "1.5", KEY)]);
    assert!(checks(&overstated).coverage_lie);
    let unnamed = answer(1, "", &[part(0, "1.5", KEY)]);
    assert!(checks(&unnamed).coverage_lie);
    let twice = answer(2, "", &[part(0, "1.5", KEY), part(0, "1.5", KEY)]);
    assert!(checks(&twice).coverage_lie);
}

#[test]
fn mixed_snapshots_and_crossed_answers_are_seen() {
    let mixed = answer(2, "", &[part(0, "1.5", KEY), part(1, "1.4", KEY)]);
    assert!(checks(&mixed).mixed_snapshots);
    let crossed = answer(2, "", &[part(0, "1.5", KEY), part(1, "1.5", "call-0-2")]);
    assert!(checks(&crossed).crossed);
}

#[test]
fn refusals_keep_their_outcome() {
    let body = br#"{"request":"r","status":503,"reason":"overloaded","outcome":"not_run"}"#;
    let (verdict, _) = read(503, body, KEY, |_| None);
    let reason = "overloaded".to_owned();
    let outcome = "not_run".to_owned();
    assert_eq!(verdict, Verdict::Refused { status: 503, reason, outcome });
}
