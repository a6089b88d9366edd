//! Messages between hosts that share keys, and those of strangers.

mod support;

use std::{net::SocketAddr, rc::Rc, time::Duration};

use assert_matches::assert_matches;
use front::{MessageKind, PeerKeys, PeerKeysError};
use support::{
    Reply, TestHost, announce, ok, own_address, report, run, source::ScriptedSource, target,
};
use tokio::time::sleep;

const OLD: &[u8] = b"0123456789abcdef";
const NEW: &[u8] = b"another key, of other bytes";

fn keys(keys: &[&[u8]]) -> PeerKeys {
    PeerKeys::new(keys.iter().map(|it| it.to_vec()).collect()).expect("valid keys")
}

fn host(peers: SocketAddr, seeds: &[SocketAddr], host_keys: &[&[u8]]) -> TestHost {
    let host_keys = keys(host_keys);
    TestHost::start_with(peers, seeds.to_vec(), |it| it.peer_keys(host_keys))
}

#[test]
fn only_whole_messages_of_the_same_kind_and_key_are_authentic() {
    let old = keys(&[OLD]);
    let mut signed = b"a message".to_vec();
    old.sign(MessageKind::Digest, &mut signed);
    assert_eq!(old.verify(MessageKind::Digest, &signed), Some(&b"a message"[..]));
    assert_eq!(old.verify(MessageKind::State, &signed), None);
    assert_eq!(keys(&[NEW]).verify(MessageKind::Digest, &signed), None);
    assert_eq!(keys(&[NEW, OLD]).verify(MessageKind::Digest, &signed), Some(&b"a message"[..]));
    for len in 0..signed.len() {
        assert_eq!(old.verify(MessageKind::Digest, &signed[..len]), None, "{len} bytes");
    }
    for index in 0..signed.len() {
        let mut changed = signed.clone();
        changed[index] ^= 1;
        assert_eq!(old.verify(MessageKind::Digest, &changed), None, "byte {index}");
    }
    let none = PeerKeys::default();
    assert_eq!(none.verify(MessageKind::Digest, b"plain"), Some(&b"plain"[..]));
}

#[test]
fn unusable_keys_are_refused() {
    let short = PeerKeys::new(vec![b"short".to_vec()]);
    assert_matches!(short, Err(PeerKeysError::TooShort(5)));
    let many = PeerKeys::new(vec![OLD.to_vec(), NEW.to_vec(), OLD.to_vec()]);
    assert_matches!(many, Err(PeerKeysError::TooMany(3)));
    let missing = PeerKeys::read(&["/no/such/file".into()]);
    assert_matches!(missing, Err(PeerKeysError::Io { .. }));
}

/// While a key is replaced, hosts sign with either and accept both.
#[test]
fn hosts_with_a_key_in_common_exchange_digests_and_state() {
    run(async {
        let one = target(vec![Reply::Bytes(ok("sig", "yes"))]).await;
        let (first, second) = (own_address(), own_address());
        let mut informed = host(first, &[second], &[NEW, OLD]);
        informed.single(forward::Repeat::Idempotent);
        let source = Rc::new(ScriptedSource::default());
        source.list(report("s", "t1", one.address));
        informed.follow_targets(&source);
        let learner = host(second, &[first], &[OLD, NEW]);
        while !learner.cx.is_ready() {
            sleep(Duration::from_millis(20)).await;
        }
        assert_eq!(learner.cx.version(), 1);
    });
}

#[test]
fn digests_of_strangers_are_rejected_and_counted() {
    run(async {
        let (first, second) = (own_address(), own_address());
        let keyed = host(first, &[], &[OLD]);
        let _stranger = host(second, &[first], &[NEW]);
        keyed.wait_for_hosts(1).await;
        while keyed.gauge("front_rejected_digests_total").await.is_none_or(|it| it < 3) {
            announce(keyed.peers, own_address()).await;
            sleep(Duration::from_millis(50)).await;
        }
        assert_eq!(keyed.gauge("front_hosts").await, Some(1));
    });
}

/// OPERATIONS says how the first key is given to a fleet.
#[test]
fn a_host_without_keys_sees_hosts_that_are_to_have_them() {
    run(async {
        let (first, second) = (own_address(), own_address());
        let plain = host(first, &[], &[]);
        let keyed = host(second, &[first], &[OLD]);
        plain.wait_for_hosts(2).await;
        while keyed.gauge("front_rejected_digests_total").await.is_none_or(|it| it < 1) {
            sleep(Duration::from_millis(20)).await;
        }
    });
}
