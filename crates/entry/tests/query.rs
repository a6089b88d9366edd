//! Queries over HTTP with a simulated fleet: complete answers, and one test for
//! each way in which a shard can fail.

mod common;

use std::{sync::Arc, time::Duration};

use assert_matches::assert_matches;
use base::{Missing, Outcome, Snapshot};
use documents::Preference;
use rocket::{
    http::{Header, Status},
    local::asynchronous::Client,
};
use serde_json::Value;

use crate::common::{Behaviour, Fleet, FleetShape, INDEX, service, target};

async fn post(client: &Client, headers: &[(&'static str, &'static str)]) -> (Status, Value) {
    let mut req = client.post("/v1/services/planeador-01/query").body("wax");
    for (name, value) in headers {
        req.add_header(Header::new(*name, *value));
    }
    let response = req.dispatch().await;
    let status = response.status();
    let body = response.into_string().await.unwrap();
    (status, serde_json::from_str(&body).unwrap())
}

async fn client(fleet: &Fleet) -> Client {
    base::invariant::panic_when_broken();
    Client::untracked(entry::callers_rocket(fleet.entry())).await.unwrap()
}

#[tokio::test(start_paused = true)]
async fn answers_from_every_shard_with_snapshot_and_coverage() {
    let fleet = Fleet::new(&FleetShape::default());
    let (status, body) = post(&client(&fleet).await, &[]).await;
    assert_eq!(status, Status::Ok);
    assert_eq!(body["snapshot"], "1.5");
    assert_eq!(body["coverage"], serde_json::json!({"answered": 2, "total": 2, "missing": []}));
    assert_eq!(body["parts"][1], serde_json::json!({"shard": 1, "body": "shard 1"}));
}

#[tokio::test(start_paused = true)]
async fn prefers_targets_of_its_own_domain() {
    let fleet = Fleet::new(&FleetShape::default());
    post(&client(&fleet).await, &[]).await;
    let runs = fleet.with(|it| it.runs.clone());
    assert!(runs.iter().all(|(owner, ..)| owner.as_str() == "a-1"), "{runs:?}");
}

#[tokio::test(start_paused = true)]
async fn an_answer_from_another_snapshot_never_counts() {
    let fleet = Fleet::new(&FleetShape { domains: vec!["a"], ..FleetShape::default() });
    let other = Snapshot { index: 6, ..INDEX };
    fleet.set(target(1, "a"), Behaviour::AnswerFrom(other));
    let (status, body) = post(&client(&fleet).await, &[("godwityard-min-coverage", "0.5")]).await;
    assert_eq!(status, Status::Ok);
    let missing = serde_json::json!([{"shard": 1, "reason": "wrong_snapshot"}]);
    assert_eq!(body["coverage"]["missing"], missing);
    assert_eq!(body["parts"].as_array().unwrap().len(), 1);
}

#[tokio::test(start_paused = true)]
async fn a_part_for_another_shard_never_counts() {
    let fleet = Fleet::new(&FleetShape { domains: vec!["a"], ..FleetShape::default() });
    fleet.set(target(0, "a"), Behaviour::WrongShard);
    let (_, body) = post(&client(&fleet).await, &[("godwityard-min-coverage", "0.5")]).await;
    let missing = serde_json::json!([{"shard": 0, "reason": "wrong_id"}]);
    assert_eq!(body["coverage"]["missing"], missing);
}

#[tokio::test(start_paused = true)]
async fn a_duplicate_answer_counts_once() {
    let fleet = Fleet::new(&FleetShape::default());
    fleet.set(target(0, "a"), Behaviour::AnswerTwice);
    let (_, body) = post(&client(&fleet).await, &[]).await;
    assert_eq!(body["coverage"]["answered"], 2);
    assert_eq!(body["parts"].as_array().unwrap().len(), 2);
}

#[tokio::test(start_paused = true)]
async fn a_refused_subquery_goes_to_another_replica() {
    let fleet = Fleet::new(&FleetShape::default());
    fleet.set(target(0, "a"), Behaviour::Fail(Missing::TargetLeaving, Outcome::NotRun));
    let (status, _) = post(&client(&fleet).await, &[]).await;
    assert_eq!(status, Status::Ok);
    assert_eq!(fleet.with(|it| it.runs.len()), 3);
}

#[tokio::test(start_paused = true)]
async fn an_unreachable_owner_is_replaced_by_its_standby() {
    let fleet = Fleet::new(&FleetShape { domains: vec!["a"], ..FleetShape::default() });
    fleet.with(|it| it.unreachable.insert("a-1".into()));
    let (status, _) = post(&client(&fleet).await, &[]).await;
    assert_eq!(status, Status::Ok);
    let runs = fleet.with(|it| it.runs.clone());
    assert!(runs.iter().all(|(owner, ..)| owner.as_str() == "a-2"), "{runs:?}");
}

#[tokio::test(start_paused = true)]
async fn too_little_coverage_by_the_deadline_is_refused_as_may_have_run() {
    let fleet = Fleet::new(&FleetShape { domains: vec!["a"], ..FleetShape::default() });
    fleet.set(target(0, "a"), Behaviour::Silent);
    let (status, body) = post(&client(&fleet).await, &[]).await;
    assert_eq!(status, Status::GatewayTimeout);
    assert_eq!(body["reason"], "deadline_passed");
    assert_eq!(body["outcome"], "may_have_run");
    assert_eq!(fleet.with(|it| it.cancelled.len()), 1);
}

#[tokio::test(start_paused = true)]
async fn a_request_that_no_target_took_is_refused_as_not_run() {
    let fleet = Fleet::new(&FleetShape { shards: 1, domains: vec!["a"], ..FleetShape::default() });
    fleet.set(target(0, "a"), Behaviour::Fail(Missing::Shed, Outcome::NotRun));
    let (status, body) = post(&client(&fleet).await, &[]).await;
    assert_eq!(status, Status::ServiceUnavailable);
    assert_eq!(body["reason"], "overloaded");
    assert_eq!(body["outcome"], "not_run");
}

#[tokio::test(start_paused = true)]
async fn a_request_that_owners_lack_capacity_for_may_be_retried() {
    let fleet = Fleet::new(&FleetShape { shards: 1, ..FleetShape::default() });
    for domain in ["a", "b", "c"] {
        let refused = Behaviour::Fail(Missing::Deadline, Outcome::NotRun);
        fleet.set(target(0, domain), refused);
    }
    let client = client(&fleet).await;
    let response = client.post("/v1/services/planeador-01/query").body("wax").dispatch().await;
    assert_eq!(response.headers().get_one("retry-after"), Some("1"));
    let body: Value = serde_json::from_str(&response.into_string().await.unwrap()).unwrap();
    assert_eq!((&body["reason"], &body["outcome"]), (&"overloaded".into(), &"not_run".into()));
}

#[tokio::test(start_paused = true)]
async fn restarts_on_a_newer_snapshot_when_the_pinned_one_is_gone() {
    let fleet = Fleet::new(&FleetShape { domains: vec!["a"], ..FleetShape::default() });
    let client = client(&fleet).await;
    post(&client, &[]).await;
    let newer = Snapshot { index: 6, ..INDEX };
    fleet.with(|it| it.held.values_mut().for_each(|it| *it = vec![newer]));
    let (status, body) = post(&client, &[]).await;
    assert_eq!((status, body["snapshot"].as_str()), (Status::Ok, Some("1.6")));
}

#[tokio::test(start_paused = true)]
async fn bad_requests_are_refused_with_a_typed_body() {
    let fleet = Fleet::new(&FleetShape::default());
    let client = client(&fleet).await;
    let cases = [
        ("godwityard-deadline-ms", "soon", 400, "bad_request"),
        ("godwityard-deadline-ms", "1", 400, "deadline_too_short"),
        ("godwityard-min-coverage", "1.5", 400, "bad_request"),
        ("godwityard-min-coverage", "NaN", 400, "bad_request"),
    ];
    for (name, value, code, reason) in cases {
        let (status, body) = post(&client, &[(name, value)]).await;
        assert_eq!((status.code, body["reason"].as_str()), (code, Some(reason)), "{name}: {value}");
        assert_eq!(body["outcome"], "not_run");
    }
    let response = client.post("/v1/services/nobody/query").body("").dispatch().await;
    assert_eq!(response.status(), Status::NotFound);
    let response = client.get("/v1/nothing").dispatch().await;
    let body: Value = serde_json::from_str(&response.into_string().await.unwrap()).unwrap();
    assert_matches!(body["reason"].as_str(), Some("bad_request"));
}

#[tokio::test(start_paused = true)]
async fn a_body_over_the_limit_is_refused() {
    let fleet = Fleet::new(&FleetShape::default());
    let client = client(&fleet).await;
    let body = "x".repeat(service().max_body_bytes as usize + 1);
    let response = client.post("/v1/services/planeador-01/query").body(body).dispatch().await;
    assert_eq!(response.status(), Status::PayloadTooLarge);
    assert_eq!(fleet.with(|it| it.runs.len()), 0);
}

#[tokio::test(start_paused = true)]
async fn readiness_follows_the_state() {
    let fleet = Fleet::new(&FleetShape::default());
    let cx = fleet.entry();
    let client = Client::untracked(entry::callers_rocket(cx.clone())).await.unwrap();
    assert_eq!(client.get("/readyz").dispatch().await.status(), Status::ServiceUnavailable);
    entry::learn_all_pools(&cx).await;
    assert_eq!(client.get("/readyz").dispatch().await.status(), Status::Ok);
    fleet.with(|it| it.not_ready = Some("no configuration yet".to_owned()));
    assert_eq!(client.get("/readyz").dispatch().await.status(), Status::ServiceUnavailable);
    assert_eq!(client.get("/healthz").dispatch().await.status(), Status::Ok);
}

/// Guards against a host that never becomes ready because all targets of one pool
/// are down.
#[tokio::test(start_paused = true)]
async fn a_dead_pool_does_not_keep_a_host_unready() {
    let fleet = Fleet::new(&FleetShape::default());
    fleet.with(|it| it.held.clear());
    let cx = fleet.entry();
    entry::learn_all_pools(&cx).await;
    let client = Client::untracked(entry::callers_rocket(cx)).await.unwrap();
    assert_eq!(client.get("/readyz").dispatch().await.status(), Status::Ok);
}

#[tokio::test(start_paused = true)]
async fn the_previous_map_serves_until_every_shard_holds_the_new_one() {
    let fleet = Fleet::new(&FleetShape { domains: vec!["a"], ..FleetShape::default() });
    let client = client(&fleet).await;
    post(&client, &[]).await;
    let redrawn = FleetShape { shards: 3, map: 2, domains: vec!["a"], ..FleetShape::default() };
    let new = Snapshot { map: 2, index: 1 };
    fleet.with(|it| {
        it.configuration = Arc::new(common::configuration(&redrawn));
        it.held.insert(target(0, "a"), vec![INDEX, new]);
    });
    tokio::time::sleep(Duration::from_secs(2)).await;
    let (status, body) = post(&client, &[]).await;
    assert_eq!((status, body["snapshot"].as_str()), (Status::Ok, Some("1.5")));
    assert_eq!(body["coverage"]["total"], 2);
    fleet.with(|it| {
        it.held.insert(target(1, "a"), vec![INDEX, new]);
        it.held.insert(target(2, "a"), vec![new]);
    });
    tokio::time::sleep(Duration::from_secs(2)).await;
    post(&client, &[]).await;
    tokio::time::sleep(Duration::from_millis(200)).await;
    let (status, body) = post(&client, &[]).await;
    assert_eq!((status, body["snapshot"].as_str()), (Status::Ok, Some("2.1")));
    assert_eq!(body["coverage"], serde_json::json!({"answered": 3, "total": 3, "missing": []}));
}

#[tokio::test(start_paused = true)]
async fn owners_that_recover_before_the_deadline_still_answer() {
    let fleet = Fleet::new(&FleetShape::default());
    let client = client(&fleet).await;
    post(&client, &[]).await;
    let hosts = ["a-1", "a-2", "b-1", "b-2", "c-1", "c-2"];
    fleet.with(|it| it.unreachable.extend(hosts.iter().map(|it| (*it).into())));
    let recover = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        fleet.with(|it| it.unreachable.clear());
    };
    let ((status, body), ()) = tokio::join!(post(&client, &[]), recover);
    assert_eq!(status, Status::Ok, "{body}");
}

#[tokio::test(start_paused = true)]
async fn a_shard_that_is_down_does_not_hold_up_the_others() {
    let fleet = Fleet::new(&FleetShape { domains: vec!["a"], ..FleetShape::default() });
    let client = client(&fleet).await;
    post(&client, &[]).await;
    fleet.with(|it| it.leaving.insert(target(1, "a")));
    tokio::time::sleep(Duration::from_secs(2)).await;
    post(&client, &[]).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    fleet.with(|it| it.unresponsive.insert("a-1".into()));
    let started = tokio::time::Instant::now();
    let (status, body) = post(&client, &[("godwityard-min-coverage", "0.5")]).await;
    assert_eq!((status, body["coverage"]["answered"].as_u64()), (Status::Ok, Some(1)));
    assert!(started.elapsed() < Duration::from_millis(20), "{:?}", started.elapsed());
}

#[tokio::test(start_paused = true)]
async fn a_request_waits_for_the_first_reported_snapshot() {
    let fleet = Fleet::new(&FleetShape { domains: vec!["a"], ..FleetShape::default() });
    let client = client(&fleet).await;
    let held = fleet.with(|it| std::mem::take(&mut it.held));
    let appear = async {
        tokio::time::sleep(Duration::from_millis(30)).await;
        fleet.with(|it| it.held = held);
    };
    let headers = [("godwityard-deadline-ms", "400")];
    let ((status, _), ()) = tokio::join!(post(&client, &headers), appear);
    assert_eq!(status, Status::Ok);
}

#[tokio::test(start_paused = true)]
async fn a_straggler_is_hedged_and_the_loser_is_cancelled() {
    let fleet = Fleet::new(&FleetShape::default());
    for shard in 0..2 {
        for domain in ["a", "b", "c"] {
            fleet.set(target(shard, domain), Behaviour::AnswerAfter(Duration::from_millis(4)));
        }
    }
    let client = client(&fleet).await;
    for _ in 0..40 {
        post(&client, &[]).await;
    }
    let before = fleet.with(|it| it.runs.len());
    fleet.set(target(0, "a"), Behaviour::Silent);
    let started = tokio::time::Instant::now();
    let (status, _) = post(&client, &[]).await;
    assert_eq!(status, Status::Ok);
    assert!(started.elapsed() < Duration::from_millis(20), "{:?}", started.elapsed());
    assert_eq!(fleet.with(|it| it.runs.len()), before + 3);
    assert_eq!(fleet.with(|it| it.cancelled.len()), 1);
}

#[tokio::test(start_paused = true)]
async fn a_shedding_pool_gets_no_hedges() {
    let fleet = Fleet::new(&FleetShape { shards: 1, ..FleetShape::default() });
    for domain in ["a", "b", "c"] {
        fleet.set(target(0, domain), Behaviour::AnswerAfter(Duration::from_millis(4)));
    }
    let client = client(&fleet).await;
    for _ in 0..40 {
        post(&client, &[]).await;
    }
    fleet.set(target(0, "a"), Behaviour::Fail(Missing::Shed, Outcome::NotRun));
    for _ in 0..4 {
        post(&client, &[]).await;
    }
    let before = fleet.with(|it| it.runs.len());
    fleet.set(target(0, "a"), Behaviour::AnswerAfter(Duration::from_millis(100)));
    assert_eq!(post(&client, &[]).await.0, Status::Ok);
    assert_eq!(fleet.with(|it| it.runs.len()), before + 1);
}

#[tokio::test(start_paused = true)]
async fn with_latency_preferred_enough_shards_are_an_answer_before_the_deadline() {
    let mut service = service();
    service.min_coverage = 0.5;
    let fleet = Fleet::new(&FleetShape { service, domains: vec!["a"], ..FleetShape::default() });
    let client = client(&fleet).await;
    for shard in 0..2 {
        fleet.set(target(shard, "a"), Behaviour::AnswerAfter(Duration::from_millis(4)));
    }
    for _ in 0..40 {
        post(&client, &[]).await;
    }
    fleet.set(target(0, "a"), Behaviour::Silent);
    let started = tokio::time::Instant::now();
    let (status, body) = post(&client, &[]).await;
    assert_eq!((status, body["coverage"]["answered"].as_u64()), (Status::Ok, Some(1)));
    assert!(started.elapsed() < Duration::from_millis(50), "{:?}", started.elapsed());
}

#[tokio::test(start_paused = true)]
async fn with_coverage_preferred_a_missing_shard_gets_the_remaining_time() {
    let mut service = service();
    service.prefer = Preference::Coverage;
    service.min_coverage = 0.5;
    let fleet = Fleet::new(&FleetShape { service, domains: vec!["a"], ..FleetShape::default() });
    let client = client(&fleet).await;
    fleet.set(target(0, "a"), Behaviour::Fail(Missing::Refused, Outcome::NotRun));
    let heal = async {
        tokio::time::sleep(Duration::from_millis(15)).await;
        fleet.with(|it| it.behaviours.clear());
    };
    let ((_, body), ()) = tokio::join!(post(&client, &[]), heal);
    assert_eq!(body["coverage"]["answered"], 2);
}

#[tokio::test(start_paused = true)]
async fn a_service_has_no_more_requests_in_flight_than_its_limit() {
    let mut service = service();
    service.max_in_flight = 1;
    let fleet = Fleet::new(&FleetShape { service, ..FleetShape::default() });
    let client = client(&fleet).await;
    fleet.set(target(0, "a"), Behaviour::AnswerAfter(Duration::from_millis(20)));
    let (first, second) = tokio::join!(post(&client, &[]), post(&client, &[]));
    assert_eq!((first.0, second.0), (Status::Ok, Status::TooManyRequests));
    assert_eq!(second.1["outcome"], "not_run");
    assert_eq!(post(&client, &[]).await.0, Status::Ok);
}

#[tokio::test(start_paused = true)]
async fn a_request_that_crashes_targets_gets_a_trial_and_is_then_refused() {
    let fleet = Fleet::new(&FleetShape::default());
    let client = client(&fleet).await;
    post(&client, &[]).await;
    for shard in 0..2 {
        for domain in ["a", "b", "c"] {
            let lost = Behaviour::Fail(Missing::ConnectionLost, Outcome::MayHaveRun);
            fleet.set(target(shard, domain), lost);
        }
    }
    let before = fleet.with(|it| it.runs.len());
    let (_, body) = post(&client, &[]).await;
    assert_eq!(body["reason"], "quarantined");
    assert_eq!(body["outcome"], "may_have_run");
    // Two first sends and one trial.
    assert_eq!(fleet.with(|it| it.runs.len()), before + 3);
    let (_, body) = post(&client, &[]).await;
    assert_eq!(body["reason"], "quarantined");
    // The second request reached no target, but the same request ran before.
    assert_eq!(body["outcome"], "may_have_run");
    assert_eq!(fleet.with(|it| it.runs.len()), before + 3);
}
