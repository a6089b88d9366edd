//! The operators' HTTP interface with a simulated fleet.

mod common;

use std::sync::Arc;

use entry::EntryCx;
use rocket::{
    http::{Header, Status},
    local::asynchronous::Client,
};
use serde_json::Value;

use crate::common::{Fleet, FleetShape};

async fn get(client: &Client, path: &str) -> (Status, Value) {
    let response = client.get(path.to_owned()).dispatch().await;
    let status = response.status();
    let body = response.into_string().await.unwrap();
    (status, serde_json::from_str(&body).unwrap())
}

async fn admin(cx: &EntryCx<Fleet, Fleet>) -> Client {
    Client::untracked(entry::admin_rocket(cx.clone())).await.unwrap()
}

#[tokio::test(start_paused = true)]
async fn shows_state_and_explains_a_recent_request() {
    let fleet = Fleet::new(&FleetShape::default());
    let cx = fleet.entry();
    entry::learn_all_pools(&cx).await;
    let callers = Client::untracked(entry::callers_rocket(cx.clone())).await.unwrap();
    let response = callers.post("/v1/services/planeador-01/query").body("wax").dispatch().await;
    let answer: Value = serde_json::from_str(&response.into_string().await.unwrap()).unwrap();
    let client = admin(&cx).await;

    let (_, status) = get(&client, "/v1/status").await;
    assert_eq!((&status["ready"], &status["revision"]), (&true.into(), &1.into()));
    let (_, targets) = get(&client, "/v1/targets").await;
    assert_eq!(targets.as_array().unwrap().len(), 6);
    assert_eq!(targets[0]["status"]["snapshots"], serde_json::json!(["1.5"]));
    assert_eq!(targets[0]["owner"], "a-1");
    let (_, services) = get(&client, "/v1/services").await;
    assert_eq!(services[0]["share_of_work"], 1.0);
    let (_, domains) = get(&client, "/v1/domains").await;
    assert_eq!(domains[0]["targets_usable"], 2);
    let (_, decisions) = get(&client, "/v1/decisions").await;
    assert_eq!(decisions[0]["request"], answer["request"]);

    let path = format!("/v1/explain/{}", answer["request"].as_str().unwrap());
    let (status, explained) = get(&client, &path).await;
    assert_eq!(status, Status::Ok);
    assert_eq!(explained["attempts"].as_array().unwrap().len(), 2);
    assert_eq!(explained["attempts"][0]["kind"], "first");
    assert_eq!(get(&client, "/v1/explain/xyz").await.0, Status::BadRequest);
    let unknown = format!("/v1/explain/{:032x}", 1);
    assert_eq!(get(&client, &unknown).await.0, Status::NotFound);
}

#[tokio::test(start_paused = true)]
async fn asks_for_the_token_if_one_is_set() {
    let fleet = Fleet::new(&FleetShape::default());
    let cx = fleet.entry_builder().admin_token(Some(Arc::from("s3cret"))).build();
    let client = admin(&cx).await;
    assert_eq!(get(&client, "/v1/status").await.0, Status::Unauthorized);
    for (token, status) in [("Bearer wrong!", 401), ("s3cret", 401), ("Bearer s3cret", 200)] {
        let req = client.get("/v1/status").header(Header::new("authorization", token));
        assert_eq!(req.dispatch().await.status().code, status, "{token}");
    }
}
