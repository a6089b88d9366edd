mod damaged;

use std::time::Duration;

use assert_matches::assert_matches;
use base::{DomainName, TargetName};
use forward::{Configuration, Position, customers::StatedProof};

use super::{Batch, Item, wire};
use crate::{
    format::{FORMAT, FormatError},
    tests::{
        recorded::{C916687, FFD147A, FORMAT_1, Recorded, bytes},
        samples,
    },
};

/// Returns the batch of a build.
type Pick = fn(&Recorded) -> &'static str;

/// The batches that are recorded, and how to get them.
fn batches() -> [(Batch, Pick); 3] {
    let targets = samples::targets().into_iter().map(Item::Target);
    let removed = Item::TargetRemoved(TargetName::new("t3"));
    let operations = vec![
        Item::Configuration(samples::configuration()),
        Item::Evacuated(DomainName::new("bajio-c")),
        Item::EvacuationEnded(DomainName::new("bajio-b")),
    ];
    [
        (batch(targets.chain([removed]).collect()), |it| it.targets),
        (batch(operations), |it| it.operations),
        (batch(Vec::new()), |it| it.nothing),
    ]
}

fn batch(items: Vec<Item>) -> Batch {
    let (age, behind) = (Some(Duration::from_millis(40)), Some(Duration::from_millis(1_700)));
    let position = Position { epoch: None, revision: 41 };
    Batch { items, position, age, behind, proof: None }
}

fn assert_same(one: &Batch, other: &Batch) {
    assert_eq!(format!("{:?}", one.items), format!("{:?}", other.items));
    assert_eq!((one.position, one.age), (other.position, other.age));
}

#[test]
fn a_batch_says_by_how_much_its_reader_may_be_behind() {
    for (batch, recorded) in batches() {
        for build in [FFD147A, FORMAT_1] {
            let (read, tail) = wire::decode(&bytes(recorded(&build))).expect("decoded");
            assert_same(&read, &batch);
            assert_eq!(read.behind, batch.behind);
            assert_eq!(tail.unknown_kinds().count(), 0);
        }
    }
}

/// Guards against fleets of two builds that don't read each other's feeds.
#[test]
fn a_batch_of_an_older_build_is_read_as_before() {
    for (batch, recorded) in batches() {
        let (read, _) = wire::decode(&bytes(recorded(&C916687))).expect("decoded");
        assert_same(&read, &batch);
        assert_eq!(read.behind, None);
    }
}

/// Hosts of earlier builds decode what stands at the beginning, and ignore the rest.
#[test]
fn a_batch_begins_as_those_of_earlier_builds() {
    for (batch, recorded) in batches() {
        let encoded = wire::encode(&batch).expect("encoded");
        assert_eq!(encoded, bytes(recorded(&FORMAT_1)));
        for earlier in [C916687, FFD147A] {
            assert!(encoded.starts_with(&bytes(recorded(&earlier))));
        }
    }
}

/// Guards against followers that get a configuration without its customers, and against
/// followers of earlier builds that can't read it.
#[test]
fn the_customers_of_a_configuration_follow_behind_the_fixed_format() {
    let cfg = samples::configuration_with_customer();
    let later = Configuration { version: 8, ..samples::configuration() };
    let latest = Configuration { version: 9, ..cfg.clone() };
    let items = [cfg, later, latest].map(Item::Configuration).to_vec();
    let encoded = wire::encode(&batch(items.clone())).expect("encoded");
    let (read, tail) = wire::decode(&encoded).expect("decoded");
    assert_same(&read, &batch(items.clone()));
    assert_eq!(tail.unknown_kinds().count(), 0);
    let key = samples::KEY.as_bytes();
    assert!(!encoded.windows(key.len()).any(|it| it == key));
    let (earlier, _): (wire::WireBatch, _) = postcard::take_from_bytes(&encoded).expect("decoded");
    let fixed = postcard::to_stdvec(&earlier).expect("encoded");
    assert!(encoded.starts_with(&fixed));
    let without = batch(vec![items[1].clone()]);
    let whole = wire::encode(&without).expect("encoded");
    assert!(whole.len() < fixed.len());
    let no_customers = wire::decode(&whole).expect("decoded").0;
    assert_same(&no_customers, &without);
}

/// Guards against a proof that seems younger to a follower than it is, or that it takes for a
/// version that it doesn't have.
#[test]
fn a_batch_states_the_age_and_the_version_of_a_proof() {
    let proof = Some(StatedProof { age: Duration::from_micros(700_001), version: 7 });
    let stated = Batch { proof, ..batch(Vec::new()) };
    let (read, tail) = wire::decode(&wire::encode(&stated).expect("encoded")).expect("decoded");
    let rounded_up = StatedProof { age: Duration::from_millis(701), version: 7 };
    assert_eq!((read.proof, tail.unknown_kinds().count()), (Some(rounded_up), 0));
    let (read, _) = wire::decode(&bytes(FORMAT_1.nothing)).expect("decoded");
    assert_eq!(read.proof, None);
}

/// Guards against followers that can't tell a reader's revisions from those that the source
/// gave out before it was restored.
#[test]
fn a_batch_states_the_epoch_of_its_revision() {
    let position = Position { epoch: Some(3), revision: 41 };
    let stated = Batch { position, ..batch(Vec::new()) };
    let (read, tail) = wire::decode(&wire::encode(&stated).expect("encoded")).expect("decoded");
    assert_eq!((read.position, tail.unknown_kinds().count()), (position, 0));
    let (read, _) = wire::decode(&bytes(FORMAT_1.nothing)).expect("decoded");
    assert_eq!(read.position.epoch, None);
}

#[test]
fn fields_that_a_later_build_adds_to_a_batch_are_skipped() {
    for (batch, recorded) in batches() {
        let tail = [1, 1, 200, 1, 2, 7, 8, 9];
        let later = [&bytes(recorded(&FFD147A))[..], &tail].concat();
        let (read, tail) = wire::decode(&later).expect("decoded");
        assert_same(&read, &batch);
        assert_eq!(tail.unknown_kinds().collect::<Vec<_>>(), [200]);
    }
}

#[test]
fn a_batch_of_a_format_that_is_not_known_is_refused() {
    let format = FORMAT as u8 + 1;
    let later = [&bytes(FFD147A.targets)[..], &[format, 255]].concat();
    assert_matches!(wire::decode(&later), Err(FormatError::UnknownFormat(it)) if it == FORMAT + 1);
}

/// Cut where a part begins that earlier builds don't have, it is one of theirs.
#[test]
fn a_batch_that_is_cut_off_is_an_error() {
    for (_, recorded) in batches() {
        let whole = bytes(recorded(&FORMAT_1));
        let earlier = [C916687, FFD147A].map(|it| bytes(recorded(&it)).len());
        for cut in (0..whole.len()).filter(|it| !earlier.contains(it)) {
            assert!(wire::decode(&whole[..cut]).is_err(), "{cut}");
        }
    }
}
