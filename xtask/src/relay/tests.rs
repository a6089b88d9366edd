use std::{net::SocketAddr, time::Duration};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpSocket, TcpStream, UdpSocket},
    time::timeout,
};

use super::{LinkState, Peer, Relay};

/// Timeout for events that must occur; reached only by a hang.
const HANG_TIMEOUT: Duration = Duration::from_secs(20);
/// Time to wait for data that must not arrive.
const SILENCE_WAIT: Duration = Duration::from_millis(50);

struct TestHost {
    peer: Peer,
    listener: TcpListener,
    socket: UdpSocket,
}

/// Creates a host's sockets at an IP that no other test uses. The relay listens
/// for it at a second IP, which no other test uses either.
async fn test_host(domain: &str, ip: [u8; 4]) -> TestHost {
    let listener = TcpListener::bind(SocketAddr::from((ip, 0))).await.unwrap();
    let bind_address = listener.local_addr().unwrap();
    let socket = UdpSocket::bind(bind_address).await.unwrap();
    let [net, site, test, host] = ip;
    let advertised = SocketAddr::from(([net, site, test, host + 100], bind_address.port()));
    TestHost { peer: Peer { domain: domain.into(), advertised, bind_address }, listener, socket }
}

async fn connect(from: &TestHost, to: &TestHost) -> TcpStream {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind(SocketAddr::new(from.peer.bind_address.ip(), 0)).unwrap();
    socket.connect(to.peer.advertised).await.unwrap()
}

async fn accept(test_host: &TestHost) -> TcpStream {
    timeout(HANG_TIMEOUT, test_host.listener.accept()).await.unwrap().unwrap().0
}

async fn expect(stream: &mut TcpStream, text: &[u8]) {
    let mut buf = vec![0; text.len()];
    timeout(HANG_TIMEOUT, stream.read_exact(&mut buf)).await.unwrap().unwrap();
    assert_eq!(buf, text);
}

async fn expect_nothing(stream: &mut TcpStream) {
    let mut buf = [0; 1];
    assert!(timeout(SILENCE_WAIT, stream.read(&mut buf)).await.is_err());
}

#[tokio::test]
async fn silent_link_delivers_pending_data_when_healed() {
    let (a, b) = (test_host("a", [127, 9, 1, 1]).await, test_host("b", [127, 9, 1, 2]).await);
    let relay = Relay::start(&[a.peer.clone(), b.peer.clone()], &[]).await.unwrap();
    let mut client = connect(&a, &b).await;
    client.write_all(b"one").await.unwrap();
    let mut server = accept(&b).await;
    expect(&mut server, b"one").await;
    relay.isolate("b").unwrap();
    client.write_all(b"two").await.unwrap();
    expect_nothing(&mut server).await;
    relay.heal();
    expect(&mut server, b"two").await;
}

#[tokio::test]
async fn cut_link_closes_and_refuses_connections() {
    let (a, b) = (test_host("a", [127, 9, 2, 1]).await, test_host("b", [127, 9, 2, 2]).await);
    let relay = Relay::start(&[a.peer.clone(), b.peer.clone()], &[]).await.unwrap();
    let mut client = connect(&a, &b).await;
    client.write_all(b"one").await.unwrap();
    expect(&mut accept(&b).await, b"one").await;
    relay.set_link("a", "b", LinkState::Cut, Duration::ZERO).unwrap();
    for mut stream in [client, connect(&a, &b).await] {
        let read = timeout(HANG_TIMEOUT, stream.read(&mut [0; 1])).await.unwrap();
        assert!(!matches!(read, Ok(1..)));
    }
}

#[tokio::test]
async fn existing_connections_stay_silent_while_new_ones_pass() {
    let (a, b) = (test_host("a", [127, 9, 3, 1]).await, test_host("b", [127, 9, 3, 2]).await);
    let relay = Relay::start(&[a.peer.clone(), b.peer.clone()], &[]).await.unwrap();
    let mut old_client = connect(&a, &b).await;
    old_client.write_all(b"one").await.unwrap();
    let mut old_server = accept(&b).await;
    expect(&mut old_server, b"one").await;
    relay.set_all_links(LinkState::SilentExisting, Duration::ZERO).unwrap();
    let mut new_client = connect(&a, &b).await;
    new_client.write_all(b"two").await.unwrap();
    expect(&mut accept(&b).await, b"two").await;
    relay.heal();
    old_client.write_all(b"three").await.unwrap();
    expect_nothing(&mut old_server).await;
}

#[tokio::test]
async fn datagrams_have_the_advertised_address_as_source() {
    let (a, b) = (test_host("a", [127, 9, 4, 1]).await, test_host("b", [127, 9, 4, 2]).await);
    let relay = Relay::start(&[a.peer.clone(), b.peer.clone()], &[]).await.unwrap();
    let mut buf = [0; 8];
    a.socket.send_to(b"one", b.peer.advertised).await.unwrap();
    let (len, from) = timeout(HANG_TIMEOUT, b.socket.recv_from(&mut buf)).await.unwrap().unwrap();
    assert_eq!((&buf[..len], from), (&b"one"[..], a.peer.advertised));
    relay.set_link("a", "b", LinkState::Silent, Duration::ZERO).unwrap();
    a.socket.send_to(b"two", b.peer.advertised).await.unwrap();
    assert!(timeout(SILENCE_WAIT, b.socket.recv_from(&mut buf)).await.is_err());
}
