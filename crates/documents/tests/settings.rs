//! Tests the defaults and every field of settings, and the findings on invalid
//! ones.

use std::{path::PathBuf, time::Duration};

use documents::{
    cross_check_settings,
    model::{
        EarlyRefusal, FairTurns, Hedging, LogFormat, LogLevel, OwnerMode, PolicySettings, WarmUp,
    },
    parse_file, parse_settings,
};

const MINIMAL: &str = r#"
host: bajio-a-1
domain: bajio-a
region: bajio
fleet: arriaga
callers: "127.0.0.1:20101"
admin: "127.0.0.1:20201"
peers: "127.0.0.1:20301"
platform: {addresses: ["127.0.0.1:20001"]}
"#;

const OPTIONAL: &str = r#"
advertise: "192.0.2.7:20301"
seeds:
  - {host: bajio-b-1, domain: bajio-b, address: "127.0.0.1:20303"}
admin-token-file: token
fleet-secret-file: /run/secret
grace-ms: 4000
balancer-lag-ms: 0
workers: 4
log: {format: terminal, level: debug}
policy:
  owners: direct
  fair-turns: first-come-first-served
  warm-up: false
  early-refusal: false
  hedging: fixed
  hedge-delay-ms: 7
  extra-load-budget: 0.1
"#;

#[test]
fn minimal_settings_take_the_defaults() {
    let settings = parse_settings("settings.yaml", MINIMAL).unwrap();
    assert_eq!(settings.host.as_str(), "bajio-a-1");
    assert_eq!(settings.platform.addresses, ["127.0.0.1:20001".parse().unwrap()]);
    assert!(settings.seeds.is_empty());
    assert_eq!(settings.advertise, settings.peers);
    assert_eq!(settings.grace, Duration::from_secs(30));
    assert_eq!(settings.balancer_lag, Duration::from_secs(2));
    assert_eq!(settings.workers, 2);
    assert_eq!(settings.log.format, LogFormat::Json);
    assert_eq!(settings.log.level, LogLevel::Info);
    assert_eq!(settings.policy, PolicySettings::default());
}

#[test]
fn every_field_can_be_set() {
    let settings = parse_settings("settings.yaml", &format!("{MINIMAL}{OPTIONAL}")).unwrap();
    assert_eq!(settings.advertise, "192.0.2.7:20301".parse().unwrap());
    assert_eq!(settings.seeds[0].address, "127.0.0.1:20303".parse().unwrap());
    assert_eq!(settings.admin_token_file, Some(PathBuf::from("token")));
    assert_eq!(settings.fleet_secret_file, Some(PathBuf::from("/run/secret")));
    assert_eq!(settings.grace, Duration::from_secs(4));
    assert_eq!(settings.balancer_lag, Duration::ZERO);
    assert_eq!(settings.workers, 4);
    assert_eq!(settings.log.format, LogFormat::Terminal);
    assert_eq!(settings.log.level, LogLevel::Debug);
    let policy = PolicySettings {
        owners: OwnerMode::Direct,
        fair_turns: FairTurns::FirstComeFirstServed,
        warm_up: WarmUp::Off,
        early_refusal: EarlyRefusal::Off,
        hedging: Hedging::Fixed(Duration::from_millis(7)),
        extra_load_budget: 0.1,
    };
    assert_eq!(settings.policy, policy);
}

#[test]
fn mistakes_in_all_sections_are_found_together() {
    let text = r#"
host: bajio-a-1
domain: bajio-a
region: bajio
fleet: arriaga
callers: 20101
admin: "127.0.0.1:0"
peers: "127.0.0.1:20301"
platform: {addresses: ["127.0.0.1:20001", 5], retries: 3}
seeds:
  - {host: bajio-b-1, domain: bajio-b}
log: {level: loud}
policy: {hedge-delay-ms: 5, extra-load-budget: -1}
"#;
    let findings = parse_settings("settings.yaml", text).unwrap_err();
    let found: Vec<_> = findings.iter().map(|it| (it.place.line, &*it.message)).collect();
    assert_eq!(
        found,
        [
            (6, "`callers` is a whole number"),
            (7, "`admin` is not an address: \"127.0.0.1:0\""),
            (9, "an item of `addresses` is a whole number"),
            (9, "unknown field `retries`"),
            (11, "the field `address` is missing"),
            (12, "`level` cannot be \"loud\""),
            (13, "`hedge-delay-ms` has no effect here"),
            (13, "`extra-load-budget` is -1, out of range"),
        ]
    );
}

#[test]
fn one_address_cannot_serve_two_purposes() {
    let text = MINIMAL.replace("20201", "20101");
    let findings = parse_settings("settings.yaml", &text).unwrap_err();
    let found: Vec<_> = findings.iter().map(ToString::to_string).collect();
    assert_eq!(
        found,
        ["settings.yaml:7:8: the address \"127.0.0.1:20101\" is used twice (hint: `callers`, \
          `admin` and `peers` each need a port of their own)"]
    );
}

#[test]
fn two_hosts_cannot_share_a_name_or_an_address() {
    let (one, _) = parse_file("one", MINIMAL);
    let (two, findings) = parse_file("two", &MINIMAL.replace("203", "213"));
    assert!(findings.is_empty(), "{findings}");
    let settings = [one.settings, two.settings].concat();
    let findings = cross_check_settings(&settings);
    let found: Vec<_> = findings.iter().map(|it| (it.place.line, &*it.message)).collect();
    assert_eq!(
        found,
        [
            (2, "two settings have the host bajio-a-1"),
            (6, "two settings have the address 127.0.0.1:20101"),
            (7, "two settings have the address 127.0.0.1:20201"),
        ]
    );
}

#[test]
fn two_hosts_cannot_be_reached_by_one_address() {
    let other = MINIMAL.replace("bajio-a-1", "bajio-a-2").replace("127.0.0.1:20", "127.0.0.2:20");
    let (one, _) = parse_file("one", MINIMAL);
    let (two, findings) = parse_file("two", &format!("{other}advertise: \"127.0.0.1:20301\"\n"));
    assert!(findings.is_empty(), "{findings}");
    let findings = cross_check_settings(&[one.settings, two.settings].concat());
    let found: Vec<_> = findings.iter().map(|it| &*it.message).collect();
    assert_eq!(found, ["two settings have the address 127.0.0.1:20301"]);
}

#[test]
fn grace_must_exceed_the_balancer_lag() {
    let text = format!("{MINIMAL}grace-ms: 2000\n");
    let findings = parse_settings("settings.yaml", &text).unwrap_err();
    let found: Vec<_> = findings.iter().map(|it| &*it.message).collect();
    assert_eq!(found, ["`balancer-lag-ms` (2000) is not below `grace-ms` (2000)"]);
}
