//! Non-idempotent requests over HTTP. Guards against a second run when callers
//! send again or disconnect, links fail, minters restart or targets fail.

mod common;

use std::time::Duration;

use base::{Missing, Outcome};
use entry::EntryCx;
use rocket::{
    http::{Header, Status},
    local::asynchronous::Client,
};
use serde_json::Value;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use crate::common::{Behaviour, Fleet, FleetShape, service, target};

struct Entry {
    client: Client,
    cx: EntryCx<Fleet, Fleet>,
}

async fn entry(fleet: &Fleet) -> Entry {
    base::invariant::panic_when_broken();
    let cx = fleet.entry();
    let client = Client::untracked(entry::callers_rocket(cx.clone())).await.unwrap();
    Entry { client, cx }
}

impl Entry {
    async fn mint(&self) -> String {
        let response = self.client.post("/v1/services/planeador-01/tickets").dispatch().await;
        assert_eq!(response.status(), Status::Ok);
        let body: Value = serde_json::from_str(&response.into_string().await.unwrap()).unwrap();
        assert!(body["expires_in_ms"].as_u64().unwrap() > 0);
        body["ticket"].as_str().unwrap().to_owned()
    }

    async fn execute(&self, ticket: &str) -> (Status, Value) {
        self.execute_body(ticket, "12 tapers").await
    }

    async fn execute_body(&self, ticket: &str, body: &str) -> (Status, Value) {
        let req = self.client.post("/v1/services/planeador-01/execute");
        let req = req.header(Header::new("godwityard-ticket", ticket.to_owned()));
        let response = req.header(Header::new("godwityard-shard", "0")).body(body).dispatch().await;
        let status = response.status();
        let body = response.into_string().await.unwrap();
        (status, serde_json::from_str(&body).unwrap())
    }
}

fn runs(fleet: &Fleet) -> usize {
    fleet.with(|it| it.runs.len())
}

#[tokio::test(start_paused = true)]
async fn runs_once_and_returns_the_record_to_a_resend() {
    let fleet = Fleet::new(&FleetShape::default());
    let entry = entry(&fleet).await;
    let ticket = entry.mint().await;
    let (status, first) = entry.execute(&ticket).await;
    assert_eq!(status, Status::Ok);
    assert_eq!(first["parts"], serde_json::json!([{"shard": 0, "body": "shard 0"}]));
    assert_eq!(entry.execute(&ticket).await, (Status::Ok, first));
    assert_eq!(runs(&fleet), 1);
    assert!(fleet.with(|it| it.runs.iter().all(|(.., is_idempotent)| !is_idempotent)));
}

#[tokio::test(start_paused = true)]
async fn a_resend_joins_the_run_in_flight() {
    let fleet = Fleet::new(&FleetShape::default());
    fleet.set(target(0, "a"), Behaviour::AnswerAfter(Duration::from_millis(50)));
    let entry = entry(&fleet).await;
    let ticket = entry.mint().await;
    let (first, second) = tokio::join!(entry.execute(&ticket), entry.execute(&ticket));
    assert_eq!(first, second);
    assert_eq!((first.0, runs(&fleet)), (Status::Ok, 1));
}

#[tokio::test(start_paused = true)]
async fn another_host_forwards_the_request_to_the_minter() {
    let minter_fleet = Fleet::for_host(&FleetShape::default(), "a-1", "a");
    let minter = entry(&minter_fleet).await;
    let other_fleet = Fleet::for_host(&FleetShape::default(), "b-1", "b");
    other_fleet.with(|it| it.minters.insert("a-1".into(), minter.cx.clone()));
    let other = entry(&other_fleet).await;
    let ticket = minter.mint().await;
    // The reply is lost on the way back, and the caller sends again.
    other_fleet.with(|it| it.loses_replies = true);
    let (status, body) = other.execute(&ticket).await;
    assert_eq!(status, Status::ServiceUnavailable);
    assert_eq!(body["reason"], "minter_unreachable");
    assert_eq!(body["outcome"], "may_have_run");
    other_fleet.with(|it| it.loses_replies = false);
    assert_eq!(other.execute(&ticket).await.0, Status::Ok);
    assert_eq!(minter.execute(&ticket).await.0, Status::Ok);
    assert_eq!((runs(&minter_fleet), runs(&other_fleet)), (1, 0));
}

#[tokio::test(start_paused = true)]
async fn an_unreachable_minter_leaves_the_outcome_unknown() {
    let fleet = Fleet::new(&FleetShape::default());
    let entry = entry(&fleet).await;
    let ticket = "gone-1.3.000000000000000000000000000000ff";
    let (status, body) = entry.execute(ticket).await;
    assert_eq!(status, Status::ServiceUnavailable);
    assert_eq!(body["outcome"], "may_have_run");
    assert_eq!(runs(&fleet), 0);
}

#[tokio::test(start_paused = true)]
async fn a_restarted_minter_never_runs_an_old_ticket() {
    let fleet = Fleet::new(&FleetShape::default());
    let ticket = entry(&fleet).await.mint().await;
    let restarted = entry(&fleet).await;
    let (status, body) = restarted.execute(&ticket).await;
    assert_eq!((status, body["reason"].as_str()), (Status::Conflict, Some("ticket_unknown")));
    assert_eq!(body["outcome"], "may_have_run");
    assert_eq!(runs(&fleet), 0);
}

#[tokio::test(start_paused = true)]
async fn work_that_may_have_run_is_not_sent_again() {
    let fleet = Fleet::new(&FleetShape::default());
    let lost = Behaviour::Fail(Missing::ConnectionLost, Outcome::MayHaveRun);
    fleet.set(target(0, "a"), lost);
    let entry = entry(&fleet).await;
    let ticket = entry.mint().await;
    let (_, body) = entry.execute(&ticket).await;
    assert_eq!(body["outcome"], "may_have_run");
    assert_eq!(entry.execute(&ticket).await.1["outcome"], "may_have_run");
    assert_eq!(runs(&fleet), 1);
}

#[tokio::test(start_paused = true)]
async fn work_that_certainly_did_not_run_goes_to_another_replica() {
    let fleet = Fleet::new(&FleetShape::default());
    fleet.set(target(0, "a"), Behaviour::Fail(Missing::TargetLeaving, Outcome::NotRun));
    let entry = entry(&fleet).await;
    let ticket = entry.mint().await;
    assert_eq!(entry.execute(&ticket).await.0, Status::Ok);
}

#[tokio::test(start_paused = true)]
async fn a_straggler_is_not_hedged() {
    let fleet = Fleet::new(&FleetShape::default());
    fleet.set(target(0, "a"), Behaviour::Silent);
    let entry = entry(&fleet).await;
    let ticket = entry.mint().await;
    let (status, body) = entry.execute(&ticket).await;
    assert_eq!(status, Status::GatewayTimeout);
    assert_eq!(body["outcome"], "may_have_run");
    assert_eq!((runs(&fleet), fleet.with(|it| it.cancelled.len())), (1, 0));
}

#[tokio::test(start_paused = true)]
async fn a_refusal_after_the_run_does_not_say_not_run() {
    let fleet = Fleet::new(&FleetShape::default());
    let entry = entry(&fleet).await;
    let ticket = entry.mint().await;
    entry.execute(&ticket).await;
    let body = "x".repeat(service().max_body_bytes as usize + 1);
    let (status, body) = entry.execute_body(&ticket, &body).await;
    assert_eq!(status, Status::PayloadTooLarge);
    assert_eq!(body["outcome"], "may_have_run");
    // Another body under a used ticket is refused, and does not run.
    let (status, body) = entry.execute_body(&ticket, "24 tapers").await;
    assert_eq!((status, body["outcome"].as_str()), (Status::BadRequest, Some("may_have_run")));
    assert_eq!(runs(&fleet), 1);
}

#[tokio::test(start_paused = true)]
async fn a_request_without_a_ticket_is_refused() {
    let fleet = Fleet::new(&FleetShape::default());
    let entry = entry(&fleet).await;
    let req = entry.client.post("/v1/services/planeador-01/execute").body("12 tapers");
    let response = req.dispatch().await;
    assert_eq!(response.status(), Status::PreconditionRequired);
    let body: Value = serde_json::from_str(&response.into_string().await.unwrap()).unwrap();
    assert_eq!(body["reason"], "ticket_missing");
    assert_eq!(body["outcome"], "not_run");
    assert_eq!(entry.execute("made-up").await.0, Status::BadRequest);
}

#[tokio::test(start_paused = true)]
async fn a_service_must_allow_non_idempotent_requests() {
    let mut service = service();
    service.allows_non_idempotent = false;
    let fleet = Fleet::new(&FleetShape { service, ..FleetShape::default() });
    let entry = entry(&fleet).await;
    let response = entry.client.post("/v1/services/planeador-01/tickets").dispatch().await;
    assert_eq!(response.status(), Status::BadRequest);
}

#[tokio::test(start_paused = true)]
async fn a_stopping_host_drains_minted_tickets() {
    let fleet = Fleet::new(&FleetShape::default());
    let entry = entry(&fleet).await;
    let ticket = entry.mint().await;
    entry.cx.stop();
    assert_eq!(entry.client.get("/readyz").dispatch().await.status(), Status::ServiceUnavailable);
    let response = entry.client.post("/v1/services/planeador-01/tickets").dispatch().await;
    assert_eq!(response.status(), Status::ServiceUnavailable);
    let drained = tokio::time::timeout(Duration::from_secs(1), entry.cx.drained());
    let (drained, executed) = tokio::join!(drained, async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        entry.execute(&ticket).await
    });
    assert_eq!((drained.is_ok(), executed.0), (true, Status::Ok));
}

/// Guards against a caller's disconnect that ends a run. It uses real sockets, as
/// these can be closed during a request.
#[tokio::test]
async fn a_disconnect_does_not_end_the_run() {
    let fleet = Fleet::new(&FleetShape::default());
    fleet.set(target(0, "a"), Behaviour::AnswerAfter(Duration::from_millis(60)));
    let entry = entry(&fleet).await;
    let ticket = entry.mint().await;
    let port = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap().port();
    let server = entry::callers_rocket(entry.cx.clone());
    let figment = server.figment().clone().merge(("port", port));
    let server = server.configure(figment).ignite().await.unwrap();
    let shutdown = server.shutdown();
    let serving = tokio::spawn(server.launch());
    let mut socket = connect(port).await;
    let head = "POST /v1/services/planeador-01/execute HTTP/1.1\r\nhost: a\r\n";
    let req = format!(
        "{head}content-length: 9\r\ngodwityard-shard: 0\r\ngodwityard-ticket: {ticket}\r\n\r\n12 tapers"
    );
    socket.write_all(req.as_bytes()).await.unwrap();
    while runs(&fleet) == 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    drop(socket);
    let (status, body) = entry.execute(&ticket).await;
    assert_eq!((status, body["coverage"]["answered"].as_u64()), (Status::Ok, Some(1)));
    assert_eq!(runs(&fleet), 1);
    shutdown.notify();
    serving.await.unwrap().unwrap();
}

async fn connect(port: u16) -> TcpStream {
    for _ in 0..200 {
        let Ok(mut socket) = TcpStream::connect(("127.0.0.1", port)).await else {
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        // Another process may have taken the port: check that this is the server
        // under test.
        socket.write_all(b"GET /healthz HTTP/1.1\r\nhost: a\r\n\r\n").await.unwrap();
        let mut buf = [0; 15];
        socket.read_exact(&mut buf).await.unwrap();
        assert_eq!(&buf, b"HTTP/1.1 200 OK");
        return socket;
    }
    panic!("the server did not start within 2 s");
}
