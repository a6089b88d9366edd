use std::fs;

use crate::{deployment::workspace_folder, scenario::Scenario};

#[test]
fn shipped_scenarios_parse_and_last_at_most_20_s() {
    for entry in fs::read_dir(workspace_folder().join("bench")).unwrap() {
        let path = entry.unwrap().path();
        let scenario = Scenario::read(&path).unwrap_or_else(|err| panic!("{err:#}"));
        let millis = scenario.settle_ms + scenario.duration_ms;
        assert!(millis <= 20_000, "{}: {millis} ms", path.display());
    }
}

#[test]
fn unknown_key_is_rejected_with_its_line() {
    let text = "title: t\ndeployment: bajio\nduration-ms: 1\nload: []\nduraton: 2\n";
    let err = Scenario::parse(text).unwrap_err().to_string();
    assert!(err.contains("duraton") && err.contains("5"), "{err}");
}

#[test]
fn scenario_without_deployment_and_pools_is_rejected() {
    assert!(Scenario::parse("title: t\nduration-ms: 1\nload: []\n").is_err());
}
