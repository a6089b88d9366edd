//! Proper requests in all the forms that callers may choose: none is refused as
//! malformed.

mod support;

use std::time::Duration;

use forward::{CallerLimits, Repeat};
use support::{Reply, Target, TestHost, header, ok, read_message, run, status, target};
use tokio::{
    io::AsyncWriteExt,
    net::TcpStream,
    time::{Instant, sleep},
};

/// Time between two parts of a request.
const PAUSE: Duration = Duration::from_millis(30);

async fn served() -> (TestHost, Target) {
    let one = target(vec![Reply::Bytes(ok("s", "yes"))]).await;
    let mut host = TestHost::start();
    host.single(Repeat::Idempotent);
    host.list("s", "t1", &one);
    (host, one)
}

#[test]
fn requests_in_any_form_are_served() {
    let long_id = "f".repeat(4_000);
    let cases = [
        "GET /one/x HTTP/1.1\r\nhost: h\r\nx-id: q\r\n\r\n".to_owned(),
        "GET /one/ HTTP/1.1\r\nHost: H:8104\r\nX-Id: q\r\nX-Deadline: 300\r\n\r\n".to_owned(),
        "GET /one/%6f%2fx%00?a=%zz&b=/../c?d HTTP/1.1\r\nhost: h\r\nx-id: q\r\n\r\n".to_owned(),
        "GET /one//x/./y/../z HTTP/1.1\r\nhost: h\r\nx-id: q\r\n\r\n".to_owned(),
        "HEAD /one/x HTTP/1.1\r\nhost: h\r\nx-id: q\r\n\r\n".to_owned(),
        "OPTIONS /one/x HTTP/1.1\r\nhost: h\r\nx-id: q\r\n\r\n".to_owned(),
        "DELETE /one/x HTTP/1.1\r\nhost: h\r\nx-id: q\r\n\r\n".to_owned(),
        "POST /one/x HTTP/1.1\r\nhost: h\r\nx-id: q\r\n\r\n".to_owned(),
        "POST /one/x HTTP/1.1\r\nhost: h\r\nx-id: q\r\ncontent-length: 0\r\n\r\n".to_owned(),
        "POST /one/x HTTP/1.1\r\nhost: h\r\nx-id: q\r\ncontent-length: 3\r\n\r\nabc".to_owned(),
        "POST /one/x HTTP/1.1\r\nhost: h\r\nx-id: q\r\ntransfer-encoding: chunked\r\n\r\n\
         3\r\nabc\r\n3;a=b\r\ndef\r\n0\r\nx-trailer: 1\r\n\r\n"
            .to_owned(),
        "POST /one/x HTTP/1.1\r\nhost: h\r\nx-id: q\r\nexpect: 100-continue\r\n\
         content-length: 3\r\n\r\nabc"
            .to_owned(),
        "GET /one/x HTTP/1.0\r\nhost: h\r\nx-id: q\r\n\r\n".to_owned(),
        "GET /one/x HTTP/1.1\r\nhost: h\r\nx-id: q\r\nx-a: \u{e9}\r\n\r\n".to_owned(),
        format!("GET /one/x HTTP/1.1\r\nhost: h\r\nx-id: {long_id}\r\n\r\n"),
    ];
    run(async {
        let (host, one) = served().await;
        for (i, request) in cases.iter().enumerate() {
            let answer = host.exchange(request).await;
            let shown = &request[..request.len().min(200)];
            assert!(matches!(status(&answer), 100 | 200), "{shown}\n{answer}");
            while one.requests() < i + 1 {
                sleep(PAUSE).await;
            }
        }
    });
}

/// Guards against requests refused with 400 whose target is an absolute URI, which every
/// server has to take (RFC 9112, 3.2.2). Its host goes before the field `Host`.
#[test]
fn a_request_with_an_absolute_target_is_served() {
    run(async {
        let (host, one) = served().await;
        for (target, field) in [
            ("http://h/one/x?a=b", "h"),
            ("http://H:8104/one/x?a=b", "nobody"),
            ("HTTP://h/one/x?a=b", "h"),
        ] {
            let request = format!("GET {target} HTTP/1.1\r\nhost: {field}\r\nx-id: q\r\n\r\n");
            let answer = host.exchange(&request).await;
            assert_eq!(status(&answer), 200, "{request}{answer}");
            let received = one.received.borrow().last().cloned().unwrap_or_default();
            assert!(received.starts_with("GET /one/x?a=b HTTP/1.1\r\n"), "{received}");
            let named = header(&received, "host").unwrap_or_default().to_ascii_lowercase();
            assert!(named == "h" || named == "h:8104", "{received}");
        }
    });
}

/// Guards against requests refused with 431 though their head is within its limit: they have
/// more fields than the HTTP library takes by default. From a host that passes it on, a
/// request has the same fields and some more.
#[test]
fn a_request_with_many_header_fields_is_served() {
    let fields: String = (0..150).map(|it| format!("x-{it}: {it}\r\n")).collect();
    let request = format!("GET /one/x HTTP/1.1\r\nhost: h\r\nx-id: q\r\n{fields}");
    run(async {
        let (host, one) = served().await;
        let answer = host.exchange(&format!("{request}\r\n")).await;
        assert_eq!(status(&answer), 200, "{answer}");
        let mut stream = TcpStream::connect(host.peers).await.expect("connected");
        let request = format!("{request}relay-age-us: 0\r\nrelay-version: 1\r\n\r\n");
        stream.write_all(request.as_bytes()).await.expect("written");
        let answer = read_message(&mut stream).await.unwrap_or_default();
        assert_eq!(status(&answer), 200, "{answer}");
        assert!(one.received.borrow().iter().all(|it| header(it, "x-149").is_some()));
    });
}
/// Guards against connections that are reset under an answer: a request was refused before
/// its body had come in.
#[test]
fn a_refusal_reaches_a_caller_that_is_still_sending_its_body() {
    run(async {
        let (host, _one) = served().await;
        let mut stream = host.connect().await;
        let head = "POST /none/x HTTP/1.1\r\nhost: h\r\nx-id: q\r\ncontent-length: 3\r\n\r\n";
        stream.write_all(head.as_bytes()).await.expect("written");
        sleep(PAUSE).await;
        stream.write_all(b"abc").await.expect("written");
        sleep(PAUSE).await;
        let answer = read_message(&mut stream).await.unwrap_or_default();
        assert_eq!(status(&answer), 404);
        assert_eq!(header(&answer, "connection"), None, "{answer}");
        let request = "GET /one/x HTTP/1.1\r\nhost: h\r\nx-id: q\r\n\r\n";
        stream.write_all(request.as_bytes()).await.expect("written");
        let answer = read_message(&mut stream).await.unwrap_or_default();
        assert_eq!(status(&answer), 200, "{answer}");
    });
}

/// Same for a host that passes a request on: it must learn that the request did not run.
#[test]
fn a_senders_refusal_reaches_a_host_that_is_still_sending_the_body() {
    run(async {
        let (host, _one) = served().await;
        drop(host.connect().await);
        let mut stream = TcpStream::connect(host.peers).await.expect("connected");
        // The sender has an older version.
        let head = "POST /one/x HTTP/1.1\r\nhost: h\r\nx-id: q\r\ncontent-length: 3\r\n\
                    relay-age-us: 0\r\nrelay-version: 2\r\n\r\n";
        stream.write_all(head.as_bytes()).await.expect("written");
        sleep(PAUSE).await;
        stream.write_all(b"abc").await.expect("written");
        let answer = read_message(&mut stream).await.unwrap_or_default();
        assert_eq!(status(&answer), 503);
        assert_eq!(header(&answer, "relay-outcome").as_deref(), Some("not-run"));
        stream.write_all(head.as_bytes()).await.expect("written");
        stream.write_all(b"abc").await.expect("written");
        let answer = read_message(&mut stream).await.unwrap_or_default();
        assert_eq!(status(&answer), 503, "{answer}");
    });
}

/// A caller that sends no body is refused all the same, and told of the close.
#[test]
fn a_refusal_does_not_wait_for_a_body_that_never_comes() {
    for expectation in ["", "expect: 100-continue\r\n"] {
        run(async {
            let (host, _one) = served().await;
            let asked = Instant::now();
            let head = "POST /none/x HTTP/1.1\r\nhost: h\r\nx-id: q\r\ncontent-length: 3\r\n";
            let answer = host.exchange(&format!("{head}{expectation}\r\n")).await;
            assert_eq!(status(&answer), 404, "{answer}");
            assert_eq!(header(&answer, "connection").as_deref(), Some("close"));
            assert!(asked.elapsed() < Duration::from_secs(1), "{:?}", asked.elapsed());
        });
    }
}

/// Guards against requests refused with 431 on connections that were opened before the
/// limit was raised.
#[test]
fn a_kept_connection_gets_the_limits_of_the_configuration_in_force() {
    let field = "a".repeat(12_000);
    let long = format!("GET /one/x HTTP/1.1\r\nhost: h\r\nx-id: q\r\nx-a: {field}\r\n\r\n");
    let short = "GET /one/x HTTP/1.1\r\nhost: h\r\nx-id: q\r\n\r\n";
    run(async {
        let (mut host, _one) = served().await;
        let mut stream = host.connect().await;
        stream.write_all(short.as_bytes()).await.expect("written");
        assert_eq!(status(&read_message(&mut stream).await.unwrap_or_default()), 200);
        host.change_limits(CallerLimits { header_bytes: 32_768, ..CallerLimits::default() });
        // Callers leave connections that are closed.
        sleep(Duration::from_millis(300)).await;
        if stream.write_all(long.as_bytes()).await.is_ok()
            && let Some(answer) = read_message(&mut stream).await
        {
            assert_eq!(status(&answer), 200, "{answer}");
        }
        assert_eq!(status(&host.exchange(&long).await), 200);
    });
}
