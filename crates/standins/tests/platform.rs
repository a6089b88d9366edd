//! Tests documents, hosts, faults and call counts of the simulated platform.

use std::{net::SocketAddr, time::Duration};

use assert_matches::assert_matches;
use base::Revision;
use rocket::{http::Status, local::blocking::Client};
use standins::platform::{Host, HostState, Index, Outage, ReplicaFaults, Store, api};

fn client(store: &Store, replica: usize) -> Client {
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    Client::untracked(api::rocket(store.clone(), replica, address)).unwrap()
}

fn index(client: &Client, after: u64) -> Index {
    let response = client.get(format!("/v1/documents?after={after}")).dispatch();
    serde_json::from_str(&response.into_string().unwrap()).unwrap()
}

#[test]
fn each_write_and_deletion_gets_a_new_revision() {
    let store = Store::default();
    let client = client(&store, 0);
    client.put("/control/documents/service/a").body("kind: service").dispatch();
    client.put("/control/documents/pool/p").body("kind: pool").dispatch();
    client.delete("/control/documents/service/a").dispatch();
    let index = index(&client, 2);
    assert_eq!(index.revision, 3);
    assert_matches!(index.documents.as_slice(), [it] if it.key == "service/a" && it.deleted);
    assert_eq!(client.get("/v1/documents/service/a").dispatch().status(), Status::NotFound);
    let pool = client.get("/v1/documents/pool/p").dispatch();
    assert_eq!(pool.headers().get_one("godwityard-revision"), Some("2"));
    assert_eq!(store.calls(), 3);
}

#[test]
fn one_replica_may_be_stale_and_another_down() {
    let store = Store::default();
    store.write("service/a", Some("one"));
    store.write("service/a", Some("two"));
    store.set_replica_faults(0, ReplicaFaults { stale_at: Some(1), ..ReplicaFaults::default() });
    store.set_replica_faults(
        1,
        ReplicaFaults { outage: Outage::Refuse, ..ReplicaFaults::default() },
    );
    assert_eq!(index(&client(&store, 0), 0).revision, 1);
    let down = client(&store, 1).get("/v1/hosts").dispatch().status();
    assert_eq!(down, Status::ServiceUnavailable);
    assert_eq!(index(&client(&store, 2), 0).revision, 2);
}

#[test]
fn restore_reuses_revisions() {
    let store = Store::default();
    store.write("service/a", Some("one"));
    store.write("service/a", Some("two"));
    store.restore(1);
    assert_eq!(store.document(0, "service/a").unwrap().0.as_ref(), "one");
    let client = client(&store, 0);
    let restored = index(&client, 2);
    assert_eq!((restored.epoch, restored.revision, restored.documents.len()), (1, 1, 0));
    let written = store.write("service/a", Some("three"));
    assert_eq!((written.epoch(), written.number()), (1, 2));
    // Also for those who know the number 2 of before.
    let later = index(&client, 2);
    assert_matches!(later.documents.as_slice(), [it] if it.epoch == 1 && it.revision == 2);
    let text = client.get("/v1/documents/service/a").dispatch();
    assert_eq!(text.headers().get_one("godwityard-epoch"), Some("1"));
}

#[tokio::test]
async fn watch_ends_on_change_or_timeout() {
    let store = Store::default();
    let watch = store.watch(0, Revision(0), Duration::from_secs(30));
    let writer = store.clone();
    let write = async move { writer.write("service/a", Some("one")) };
    let (index, _) = tokio::join!(watch, write);
    assert_eq!(index.revision, 1);
    let index = store.watch(0, Revision(1), Duration::from_millis(1)).await;
    assert!(index.documents.is_empty());
}

#[test]
fn host_list_lags() {
    let store = Store::default();
    let host = Host {
        host: "bajio-a-1".to_owned(),
        domain: "bajio-a".to_owned(),
        address: "127.0.0.1:7201".to_owned(),
        state: HostState::Live,
    };
    store.set_hosts(vec![host.clone()], Duration::ZERO);
    store.set_hosts(Vec::new(), Duration::from_secs(600));
    assert_eq!(store.hosts(), [host]);
}
