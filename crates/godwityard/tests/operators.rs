//! `check`, `status` and `explain` without `--log`.

mod support;

use std::{fs, path::PathBuf};

use assert_matches::assert_matches;
use serde_json::Value;

use crate::support::{FakeHost, RunOutput, godwityard};

/// Returns an empty folder that only `test` uses.
fn temp_dir(test: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(test);
    let _ = fs::remove_dir_all(&path);
    fs::create_dir_all(&path).unwrap();
    path
}

fn example(name: &str) -> String {
    format!("{}/../../examples/{name}", env!("CARGO_MANIFEST_DIR"))
}

fn run(host: &FakeHost, args: &[&str]) -> RunOutput {
    let admin = host.address.to_string();
    godwityard(&[args, &["--admin", &admin]].concat())
}

#[test]
fn examples_pass_check() {
    let paths = ["bajio", "qc-est", "settings.yaml"].map(example);
    let ran = godwityard(&["check", &paths[0], &paths[1], &paths[2]]);
    assert_eq!(ran.code, 0, "{}", ran.out);
    assert_eq!(
        ran.out,
        "no findings; valid in 19 files: 104 services, 8 pools, 6 domains, 13 settings files\n"
    );
}

#[test]
fn check_reports_findings_of_all_files() {
    let temp_dir = temp_dir("findings-of-all-files");
    let sub = temp_dir.join("sub");
    fs::create_dir(&sub).unwrap();
    fs::write(temp_dir.join("a.yaml"), "kind: domain\nname: A\n").unwrap();
    fs::write(sub.join("b.yml"), "kind: domain\nname: b\nregion: r\nstate: of\n").unwrap();
    fs::write(temp_dir.join("c.yaml"), b"kind: \xff").unwrap();
    fs::write(temp_dir.join("notes.txt"), "not a document").unwrap();

    let ran = godwityard(&["check", temp_dir.to_str().unwrap()]);
    assert_eq!(ran.code, 1, "{}", ran.err);
    let prefix = format!("{}/", temp_dir.display());
    let lines: Vec<_> = ran.out.lines().map(|it| it.replace(&prefix, "")).collect();
    assert_matches!(&lines[..], [region, name, encoding, state, summary] => {
        assert!(region.starts_with("a.yaml:1:1: the field `region` is missing"), "{region}");
        assert!(name.starts_with("a.yaml:2:7: `name` is not a valid name"), "{name}");
        assert!(encoding.starts_with("c.yaml: the file is not UTF-8 text"), "{encoding}");
        assert!(state.starts_with("sub/b.yml:4:8: `state` cannot be \"of\""), "{state}");
        assert!(summary.starts_with("4 findings; "), "{summary}");
    });

    let ran = godwityard(&["check", "--json", temp_dir.to_str().unwrap()]);
    assert_eq!(ran.code, 1);
    let report: Value = serde_json::from_str(&ran.out).unwrap();
    assert_eq!(report["findings"].as_array().unwrap().len(), 4);
    assert_eq!(report["findings"][1]["column"], 7);
}

#[test]
fn status_shows_fields_and_tables() {
    let body = r#"{"host":"bajio-a-1","ready":true,"findings":[],
        "hosts":[{"host":"bajio-a-1","revision":7,"load":0.123456},
                 {"alive":false,"host":"bajio-b-1"}]}"#;
    let host = FakeHost::with_answer("200 OK", body);
    let ran = run(&host, &["status"]);
    assert_eq!(ran.code, 0, "{}", ran.err);
    let lines: Vec<_> = ran.out.lines().collect();
    assert!(lines.contains(&"host      bajio-a-1"), "{}", ran.out);
    assert!(lines.contains(&"findings  -"), "{}", ran.out);
    assert!(lines.contains(&"  host       load   revision  alive"), "{}", ran.out);
    assert!(lines.contains(&"  bajio-a-1  0.123  7         -"), "{}", ran.out);
    assert!(lines.contains(&"  bajio-b-1  -      -         false"), "{}", ran.out);
    assert!(host.request().starts_with("get /v1/status http/1.1\r\n"));
}

#[test]
fn token_file_is_sent_as_bearer_token() {
    let file = temp_dir("token-file").join("token");
    fs::write(&file, "s3cret\n").unwrap();
    let host = FakeHost::with_answer("200 OK", "[]");
    let ran = run(&host, &["status", "targets", "--token-file", file.to_str().unwrap()]);
    assert_eq!(ran.code, 0, "{}", ran.err);
    let request = host.request();
    assert!(request.starts_with("get /v1/targets "), "{request}");
    assert!(request.contains("authorization: bearer s3cret\r\n"), "{request}");
}

#[test]
fn failed_admin_request_exits_with_3() {
    let host = FakeHost::with_answer("401 Unauthorized", r#"{"detail":"token needed"}"#);
    let ran = run(&host, &["status"]);
    assert_eq!(ran.code, 3);
    assert!(ran.err.contains("401 Unauthorized: token needed"), "{}", ran.err);
    assert_eq!(run(&FakeHost::without_answer(), &["status"]).code, 3);
}

#[test]
fn explain_requests_decisions_by_id() {
    let id = "00112233445566778899aabbccddeeff";
    let host =
        FakeHost::with_answer("200 OK", r#"{"decisions":["pinned 1.5","answered \u001b[2J"]}"#);
    let ran = run(&host, &["explain", id]);
    assert_eq!(ran.code, 0, "{}", ran.err);
    assert!(!ran.out.contains('\u{1b}'), "{}", ran.out);
    assert!(host.request().starts_with(&format!("get /v1/explain/{id} ")));
}
