//! Frames round-trip through encoding, and malformed bytes never panic.

use base::{Incarnation, Revision};
use fleet::{
    MemberState, Message,
    assignment::GroupId,
    message::{
        Answer, Body, Claim, DocumentRecord, Documents, DomainDigest, Gossip, HostRevision, Record,
        Right, Role, Verdict,
    },
};
use peer::Frame;
use policy::request::{Death, SuspectNote};
use rand::{Rng, SeedableRng, rngs::SmallRng};

fn record(state: MemberState) -> Record {
    Record {
        host: "a-1".into(),
        domain: "a".into(),
        address: "127.0.0.1:7000".parse().unwrap(),
        incarnation: Incarnation(7),
        epoch: 3,
        state,
        is_leaving: true,
        is_serving: false,
        is_voter: true,
        seniority: 3,
    }
}

fn gossip() -> Gossip {
    Gossip {
        own: record(MemberState::Alive),
        members: 17,
        revision: Revision(9),
        is_confirmed: true,
        records: vec![record(MemberState::Dead), record(MemberState::Forgotten)],
        revisions: vec![HostRevision {
            host: 1,
            incarnation: Incarnation(2),
            revision: Revision(3),
        }],
    }
}

fn documents() -> Documents {
    let text = DocumentRecord {
        key: "pool/p".into(),
        revision: Revision(5),
        text: Some("kind: pool".into()),
    };
    let deleted = DocumentRecord { key: "pool/q".into(), revision: Revision(6), text: None };
    Documents {
        after: Revision(1),
        upto: Revision(6),
        revision: Revision(8),
        is_confirmed: false,
        records: vec![text, deleted],
    }
}

/// One message of each kind.
fn bodies() -> Vec<Body> {
    let address = "10.0.0.1:80".parse().unwrap();
    let right = Right { group: GroupId(4), role: Role::Standby };
    let answers = [
        Answer::Granted { was_released: false },
        Answer::Granted { was_released: true },
        Answer::Held,
        Answer::OtherVoters,
        Answer::Waiting,
    ];
    let verdicts = answers.map(|answer| Verdict { right, voters: 8, answer }).to_vec();
    vec![
        Body::Ping { seq: 1, gossip: gossip() },
        Body::Ack { seq: 2, gossip: gossip() },
        Body::PingRequest { seq: 3, address },
        Body::IndirectAck { seq: 4, address },
        Body::Digest { domains: vec![DomainDigest { domain: "b".into(), members: 5 }] },
        Body::Members { records: vec![record(MemberState::Left), record(MemberState::Suspect)] },
        Body::Announce { root: "a-2".into(), revision: Revision(6) },
        Body::Pull { after: Revision(7) },
        Body::Documents(documents()),
        Body::Claim { seq: 8, claims: vec![Claim { right, voters: 8 }] },
        Body::Verdict { seq: 9, verdicts },
        Body::Release { seq: 10, rights: vec![right] },
        Body::Borrow { seq: 11, groups: vec![GroupId(1), GroupId(2)] },
        Body::Loan { seq: 12, groups: vec![] },
    ]
}

fn notes() -> Frame {
    let death =
        Death { target: "t-1".into(), incarnation: Incarnation(9), shard: base::ShardId(2) };
    let suspect = SuspectNote {
        fingerprint: u64::MAX,
        deaths: vec![death],
        quarantine: Some(std::time::Duration::from_secs(3)),
        was_answered: false,
    };
    let cleared =
        SuspectNote { fingerprint: 1, deaths: vec![], quarantine: None, was_answered: true };
    Frame::Suspects(vec![suspect, cleared])
}

/// One frame of each kind, and one for each kind of fleet message.
fn frames() -> Vec<Frame> {
    let frame =
        |body| Frame::Fleet(Message { sender: "a-1".into(), incarnation: Incarnation(3), body });
    bodies().into_iter().map(frame).chain([notes()]).collect()
}

fn check_round_trip(frame: &Frame) -> Vec<u8> {
    let bytes = frame.encode();
    assert_eq!(Frame::decode(&bytes).unwrap(), *frame);
    bytes
}

#[test]
fn every_kind_round_trips() {
    for frame in frames() {
        check_round_trip(&frame);
    }
}

#[test]
fn corrupted_bytes_never_panic() {
    let mut rng = SmallRng::seed_from_u64(11);
    for frame in frames() {
        let bytes = check_round_trip(&frame);
        for _ in 0..2_000 {
            let mut bytes = bytes.clone();
            let i = rng.random_range(0..bytes.len());
            bytes[i] = rng.random();
            bytes.truncate(rng.random_range(0..=bytes.len()));
            let _ = Frame::decode(&bytes);
        }
    }
}
