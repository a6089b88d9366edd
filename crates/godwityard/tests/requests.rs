//! `query`, `ticket` and `execute`: the request that is sent, the output, and the
//! exit code of each kind of answer.

mod support;

use std::net::TcpListener;

use crate::support::{FakeHost, RunOutput, godwityard};

const FULL_ANSWER: &str = r#"{"request":"0af3","snapshot":"1.5","coverage":{"answered":2,"total":2,
    "missing":[]},"parts":[{"shard":0,"body":"a"},{"shard":1,"body_hex":"ff00"}],"new-field":1}"#;
const PARTIAL_ANSWER: &str = r#"{"request":"0af3","snapshot":"1.5","coverage":{"answered":1,"total":2,
    "missing":[{"shard":1,"reason":"deadline"}]},"parts":[{"shard":0,"body":"a"}]}"#;

fn run(host: &FakeHost, args: &[&str]) -> RunOutput {
    let address = host.address.to_string();
    godwityard(&[args, &["--address", &address]].concat())
}

#[test]
fn full_answer_is_printed() {
    let host = FakeHost::with_answer("200 OK", FULL_ANSWER);
    let options = ["--deadline-ms", "250", "--min-coverage", "0.5", "--shard", "1"];
    let ran = run(&host, &[&["query", "planeador-01", "velas"], &options[..]].concat());
    assert_eq!(ran.code, 0, "{}", ran.err);
    let lines = [
        "request   0af3",
        "snapshot  1.5",
        "coverage  2 of 2 shards",
        "shard 0: a",
        "shard 1: 0xff00",
    ];
    assert_eq!(ran.out.lines().collect::<Vec<_>>(), lines);
    let request = host.request();
    assert!(request.starts_with("post /v1/services/planeador-01/query http/1.1\r\n"), "{request}");
    assert!(request.contains("godwityard-deadline-ms: 250\r\n"), "{request}");
    assert!(request.contains("godwityard-min-coverage: 0.5\r\n"), "{request}");
    assert!(request.contains("godwityard-shard: 1\r\n"), "{request}");
    assert!(request.ends_with("\r\n\r\nvelas"), "{request}");
}

#[test]
fn partial_answer_lists_missing_shards() {
    let host = FakeHost::with_answer("200 OK", PARTIAL_ANSWER);
    let ran = run(&host, &["query", "planeador-01"]);
    assert_eq!(ran.code, 4, "{}", ran.err);
    assert!(ran.out.contains("missing   shard 1: deadline\n"), "{}", ran.out);
}

#[test]
fn answer_without_coverage_is_partial() {
    let host = FakeHost::with_answer("200 OK", "{}");
    assert_eq!(run(&host, &["query", "planeador-01"]).code, 4);
}

#[test]
fn refusal_exit_code_depends_on_outcome() {
    let cases = [("not_run", 1), ("may_have_run", 5), ("", 5)];
    for (outcome, code) in cases {
        let body = format!(r#"{{"reason":"overloaded","outcome":"{outcome}","detail":"busy"}}"#);
        let host = FakeHost::with_answer("503 Service Unavailable\r\nretry-after: 3", &body);
        let ran = run(&host, &["query", "planeador-01"]);
        assert_eq!(ran.code, code, "{outcome}");
        assert!(ran.out.contains("refused   overloaded (503)\n"), "{}", ran.out);
        assert!(ran.out.contains("retry     after 3 s\n"), "{}", ran.out);
    }
}

#[test]
fn ticket_is_printed_alone_and_sent_unchanged() {
    let ticket = "bajio-a-1.7.00112233445566778899aabbccddeeff";
    let host = FakeHost::with_answer("200 OK", &format!(r#"{{"ticket":"{ticket}"}}"#));
    let ran = run(&host, &["ticket", "bodega-01"]);
    assert_eq!((ran.code, ran.out.trim()), (0, ticket));
    assert!(host.request().starts_with("post /v1/services/bodega-01/tickets "));

    let host = FakeHost::with_answer("200 OK", FULL_ANSWER);
    let ran = run(&host, &["execute", "bodega-01", "order", "--ticket", ticket, "--shard", "1"]);
    assert_eq!(ran.code, 0, "{}", ran.err);
    let request = host.request();
    assert!(request.starts_with("post /v1/services/bodega-01/execute "), "{request}");
    assert!(request.contains(&format!("godwityard-ticket: {ticket}\r\n")), "{request}");
    assert!(request.contains("godwityard-shard: 1\r\n"), "{request}");
}

#[test]
fn lost_answer_means_may_have_run_and_is_not_retried() {
    let host = FakeHost::without_answer();
    let ran = run(&host, &["execute", "bodega-01", "order", "--ticket", "t"]);
    assert_eq!(ran.code, 5, "{}", ran.err);
    assert!(ran.err.contains("no complete answer received"), "{}", ran.err);
    assert!(host.request().ends_with("order"));

    let host = FakeHost::with_answer("502 Bad Gateway", "<html>");
    assert_eq!(run(&host, &["execute", "bodega-01", "--ticket", "t"]).code, 5);
}

#[test]
fn unreachable_host_exits_with_3() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    drop(listener);
    let ran = godwityard(&["query", "planeador-01", "--address", &address]);
    assert_eq!(ran.code, 3, "{}", ran.err);
    assert!(ran.err.contains(&address), "{}", ran.err);
}

#[test]
fn json_output_is_the_unchanged_body() {
    let host = FakeHost::with_answer("200 OK", FULL_ANSWER);
    let ran = run(&host, &["query", "planeador-01", "--json"]);
    let printed: serde_json::Value = serde_json::from_str(&ran.out).unwrap();
    assert_eq!(printed, serde_json::from_str::<serde_json::Value>(FULL_ANSWER).unwrap());
}

#[test]
fn wrong_usage_exits_with_2() {
    let cases: &[&[&str]] = &[
        &[],
        &["dance"],
        &["query"],
        &["query", "Not A Name"],
        &["query", "a", "--address", "localhost"],
        &["query", "a", "--min-coverage", "2"],
        &["query", "a", "body", "--file", "also"],
        &["query", "a", "--file", "/nonexistent/file"],
        &["execute", "a", "--ticket", "two words"],
        &["status", "everything"],
        &["explain", "0af3"],
        &["check"],
        &["check", "/nonexistent/file"],
    ];
    for args in cases {
        let ran = godwityard(args);
        assert_eq!(ran.code, 2, "{args:?}: {}", ran.err);
        assert!(!ran.err.is_empty() && ran.out.is_empty(), "{args:?}");
    }
}

#[test]
fn help_and_version_succeed() {
    let ran = godwityard(&["--help"]);
    assert_eq!(ran.code, 0);
    assert!(ran.out.contains("Error codes"), "{}", ran.out);
    let ran = godwityard(&["version"]);
    assert_eq!((ran.code, ran.out), (0, format!("godwityard {}\n", env!("CARGO_PKG_VERSION"))));
}
