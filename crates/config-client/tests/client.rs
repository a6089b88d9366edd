//! Tests the platform client against canned responses on a loopback socket.

use std::time::Duration;

use assert_matches::assert_matches;
use base::Revision;
use config_client::{HttpPlatform, Platform, PlatformError};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};

/// Returns a client of a server that sends `response` to one request.
async fn client_with_response(response: String) -> HttpPlatform {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let client = HttpPlatform::new(listener.local_addr().unwrap()).unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut buf = [0; 4_096];
        let _ = stream.read(&mut buf).await;
        let _ = stream.write_all(response.as_bytes()).await;
    });
    client
}

fn http_response(status: &str, headers: &str, body: &str) -> String {
    let len = body.len();
    format!(
        "HTTP/1.1 {status}\r\ncontent-length: {len}\r\n{headers}connection: close\r\n\r\n{body}"
    )
}

#[tokio::test]
async fn index_lists_changes_and_deletions() {
    let body = r#"{"revision":9,"documents":[
        {"key":"service/a","revision":8,"deleted":false},
        {"key":"pool/b","revision":9,"deleted":true}]}"#;
    let client = client_with_response(http_response("200 OK", "", body)).await;
    let index = client.read_index(Revision(7), Duration::ZERO).await.unwrap();
    assert_eq!(index.revision, Revision(9));
    let entries: Vec<_> =
        index.entries.iter().map(|it| (&*it.key, it.revision.0, it.deleted)).collect();
    assert_eq!(entries, [("service/a", 8, false), ("pool/b", 9, true)]);
}

#[tokio::test]
async fn document_comes_with_its_revision() {
    let client =
        client_with_response(http_response("200 OK", "godwityard-revision: 5\r\n", "kind: domain"))
            .await;
    let document = client.read_document("domain/a").await.unwrap().unwrap();
    assert_eq!((document.revision, &*document.text), (Revision(5), "kind: domain"));
}

/// Guards against a restored platform whose changes are taken for older ones.
#[tokio::test]
async fn revisions_of_a_later_epoch_are_later() {
    let body = r#"{"epoch":2,"revision":5,"documents":[
        {"key":"service/a","epoch":2,"revision":5},{"key":"pool/b","epoch":1,"revision":4}]}"#;
    let client = client_with_response(http_response("200 OK", "", body)).await;
    let index = client.read_index(Revision(90), Duration::ZERO).await.unwrap();
    let parts = |it: Revision| (it.epoch(), it.number());
    assert_eq!(parts(index.revision), (2, 5));
    let entries: Vec<_> = index.entries.iter().map(|it| parts(it.revision)).collect();
    assert_eq!(entries, [(2, 5), (1, 4)]);
    assert!(index.entries.iter().all(|it| it.revision > Revision(90)));
    let headers = "godwityard-revision: 5\r\ngodwityard-epoch: 2\r\n";
    let client = client_with_response(http_response("200 OK", headers, "kind: domain")).await;
    let document = client.read_document("domain/a").await.unwrap().unwrap();
    assert_eq!(document.revision, index.revision);
}

#[tokio::test]
async fn a_revision_that_is_out_of_range_is_refused() {
    let body = r#"{"epoch":1,"revision":1099511627776,"documents":[]}"#;
    let client = client_with_response(http_response("200 OK", "", body)).await;
    let index = client.read_index(Revision(7), Duration::ZERO).await;
    assert_matches!(index, Err(PlatformError::Malformed(_)));
}

#[tokio::test]
async fn absent_document_is_none() {
    let client = client_with_response(http_response("404 Not Found", "", "")).await;
    assert_matches!(client.read_document("domain/a").await, Ok(None));
}

#[tokio::test]
async fn document_without_revision_is_refused() {
    let client = client_with_response(http_response("200 OK", "", "kind: domain")).await;
    assert_matches!(client.read_document("domain/a").await, Err(PlatformError::Malformed(_)));
}

#[tokio::test]
async fn hosts_with_bad_names_are_refused() {
    let body = r#"{"hosts":[{"host":"A b","domain":"d","address":"127.0.0.1:1","state":"live"}]}"#;
    let client = client_with_response(http_response("200 OK", "", body)).await;
    assert_matches!(client.read_hosts().await, Err(PlatformError::Malformed(_)));
}

#[tokio::test]
async fn outage_is_an_error() {
    let client = client_with_response(http_response("503 Service Unavailable", "", "")).await;
    assert_matches!(client.read_hosts().await, Err(PlatformError::Status(503)));
    let client =
        client_with_response("HTTP/1.1 200 OK\r\ncontent-length: 99\r\n\r\n{".to_owned()).await;
    assert_matches!(client.read_hosts().await, Err(PlatformError::Unreachable(_)));
}
