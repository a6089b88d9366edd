//! HTTP API of the platform and its control API.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use rocket::{
    Build, Request, Rocket, State, delete, get,
    http::{ContentType, Header, Status},
    post, put,
    request::{FromRequest, Outcome},
    response::{Responder, Response},
    routes,
    serde::json::Json,
};

use base::Revision;

use super::store::{Host, Index, Outage, ReplicaFaults, Store};
use crate::server::new_rocket;

/// Longest time for which a watch waits for a change.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(60);

struct ReplicaNumber(usize);

/// Request guard of read requests: counts the call and applies the replica's
/// outage.
struct ReplicaRead {
    store: Store,
    replica: usize,
}

#[derive(rocket::serde::Serialize)]
#[serde(crate = "rocket::serde")]
struct Hosts {
    hosts: Vec<Host>,
}

struct DocumentText {
    text: String,
    revision: Revision,
}

pub fn rocket(store: Store, replica: usize, address: SocketAddr) -> Rocket<Build> {
    new_rocket(address)
        .manage(store)
        .manage(ReplicaNumber(replica))
        .mount("/v1", routes![documents, document, hosts])
        .mount("/control", routes![put_document, delete_document, restore])
        .mount("/control", routes![set_hosts, set_replica_faults, calls, revision])
}

#[get("/documents?<after>&<epoch>&<wait_ms>")]
async fn documents(
    read: ReplicaRead,
    after: Option<u64>,
    epoch: Option<u64>,
    wait_ms: Option<u64>,
) -> Result<Json<Index>, Status> {
    let wait = Duration::from_millis(wait_ms.unwrap_or(0)).min(MAX_WATCH_WAIT);
    let after = Revision::in_epoch(epoch.unwrap_or(0), after.unwrap_or(0));
    let after = after.ok_or(Status::BadRequest)?;
    Ok(Json(read.store.watch(read.replica, after, wait).await))
}

#[get("/documents/<kind>/<name>")]
fn document(read: ReplicaRead, kind: &str, name: &str) -> Option<DocumentText> {
    let (text, revision) = read.store.document(read.replica, &format!("{kind}/{name}"))?;
    Some(DocumentText { text: text.to_string(), revision })
}

#[get("/hosts")]
fn hosts(read: ReplicaRead) -> Json<Hosts> {
    Json(Hosts { hosts: read.store.hosts() })
}

#[put("/documents/<key..>", data = "<text>")]
fn put_document(store: &State<Store>, key: PathBuf, text: String) -> String {
    store.write(&key.to_string_lossy(), Some(&text)).to_string()
}

#[delete("/documents/<key..>")]
fn delete_document(store: &State<Store>, key: PathBuf) -> String {
    store.write(&key.to_string_lossy(), None).to_string()
}

/// Discards all revisions after the given one and begins a new epoch.
#[post("/restore/<revision>")]
fn restore(store: &State<Store>, revision: u64) -> Status {
    store.restore(revision);
    Status::NoContent
}

#[put("/hosts?<lag_ms>", data = "<hosts>")]
fn set_hosts(store: &State<Store>, lag_ms: Option<u64>, hosts: Json<Vec<Host>>) -> Status {
    store.set_hosts(hosts.into_inner(), Duration::from_millis(lag_ms.unwrap_or(0)));
    Status::NoContent
}

#[put("/replicas/<number>", data = "<change>")]
fn set_replica_faults(store: &State<Store>, number: usize, change: Json<ReplicaFaults>) -> Status {
    store.set_replica_faults(number, change.into_inner());
    Status::NoContent
}

/// Returns the number of read requests to all replicas so far, including those
/// that met an outage and watches that still wait.
#[get("/calls")]
fn calls(store: &State<Store>) -> String {
    store.calls().to_string()
}

#[get("/revision")]
fn revision(store: &State<Store>) -> String {
    store.revision().to_string()
}

#[rocket::async_trait]
impl<'r> FromRequest<'r> for ReplicaRead {
    type Error = ();

    async fn from_request(req: &'r Request<'_>) -> Outcome<Self, ()> {
        let store = req.rocket().state::<Store>();
        let replica = req.rocket().state::<ReplicaNumber>();
        let (Some(store), Some(replica)) = (store, replica) else {
            return Outcome::Error((Status::InternalServerError, ()));
        };
        store.count_call();
        match store.outage(replica.0) {
            Outage::None => {
                Outcome::Success(ReplicaRead { store: store.clone(), replica: replica.0 })
            }
            Outage::Refuse => Outcome::Error((Status::ServiceUnavailable, ())),
            Outage::Hang => std::future::pending().await,
        }
    }
}

impl<'r> Responder<'r, 'static> for DocumentText {
    fn respond_to(self, req: &'r Request<'_>) -> rocket::response::Result<'static> {
        Response::build_from(self.text.respond_to(req)?)
            .header(ContentType::new("application", "yaml"))
            .header(Header::new("godwityard-revision", self.revision.number().to_string()))
            .header(Header::new("godwityard-epoch", self.revision.epoch().to_string()))
            .ok()
    }
}
