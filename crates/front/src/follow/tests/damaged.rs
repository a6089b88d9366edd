use std::time::Duration;

use forward::{Position, customers::StatedProof, readers::Origin};
use proptest::{collection::vec, prelude::*};

use crate::{
    SharedCx,
    follow::{
        Batch, Feed, Item,
        calls::{Answer, Call},
        wire,
    },
    tests::damage::{
        address, configuration, cx, fixed_seed, mutated, mutations, number, report, use_state,
    },
};

fn full_batches() -> [(Feed, Batch); 2] {
    let targets = vec![
        Item::Target(report("t1")),
        Item::Target(report("t2")),
        Item::TargetRemoved("t3".into()),
    ];
    let operations = vec![
        Item::Configuration(configuration()),
        Item::Evacuated("other".into()),
        Item::EvacuationEnded("third".into()),
    ];
    let (age, behind) = (Some(Duration::from_millis(40)), Duration::from_millis(1_700));
    let proof = Some(StatedProof { age: Duration::from_millis(2_000), version: 7 });
    let position = Position { epoch: Some(2), revision: 7 };
    let of = |items| Batch { items, position, age, behind: Some(behind), proof };
    [(Feed::Targets, of(targets)), (Feed::Operations, of(operations))]
}

/// Applies a batch to what this host has: as a complete read first, then as changes.
fn take(cx: &SharedCx, feed: Feed, batch: &Batch, delay: Duration) {
    let after = cx.change_logs.of(feed).progress().position().unwrap_or_default();
    for call in [Call::Read, Call::Changes { after, wait: Duration::ZERO }] {
        let called = cx.clock.now();
        let answer = Answer { call, called, is_late: false, delay, batch: batch.clone() };
        // A damaged batch may be of another epoch.
        let _ = crate::follow::take(cx, feed, Origin::Host(address(10)), answer);
    }
}

proptest! {
    #![proptest_config(fixed_seed())]

    #[test]
    fn damaged_batches_are_applied_or_refused(all in vec(mutations(), 1..4)) {
        let cx = cx();
        for (feed, batch) in full_batches() {
            let bytes = wire::encode(&batch).expect("encoded");
            for mutations in &all {
                if let Ok((batch, _)) = wire::decode(&mutated(&bytes, mutations)) {
                    take(&cx, feed, &batch, Duration::ZERO);
                }
            }
        }
        use_state(&cx);
    }

    #[test]
    fn numbers_of_any_size_in_batches_are_applied(numbers in vec(number(), 5)) {
        let cx = cx();
        for (feed, batch) in full_batches() {
            let ms = |it| Duration::from_millis(numbers[it]);
            let position = Position { revision: numbers[0], ..batch.position };
            let batch = Batch { position, age: Some(ms(1)), behind: Some(ms(2)), ..batch };
            let bytes = wire::encode(&batch).expect("encoded");
            let (read, _) = wire::decode(&bytes).expect("decoded");
            take(&cx, feed, &read, ms(3));
            let position = Position { revision: numbers[4], ..read.position };
            take(&cx, feed, &Batch { position, ..read }, Duration::ZERO);
        }
        use_state(&cx);
    }
}
