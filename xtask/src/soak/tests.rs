use std::time::Duration;

use super::{
    Days, parse_seeds,
    plan::{self, Size},
};

const SIZE: Size = Size { hosts: 30, targets: 40, time: Duration::from_secs(120) };

#[test]
fn a_seed_draws_the_same_timeline_again_and_another_seed_another_one() {
    for days in [
        Days::Changes,
        Days::Silence,
        Days::Late,
        Days::Readers,
        Days::Stops,
        Days::Stated,
        Days::Mixed,
    ] {
        let drawn = plan::draw(days, 7, SIZE);
        assert!(!drawn.is_empty(), "{days:?}");
        assert_eq!(drawn, plan::draw(days, 7, SIZE), "{days:?}");
        assert_ne!(drawn, plan::draw(days, 8, SIZE), "{days:?}");
    }
}

#[test]
fn a_timeline_is_in_order_and_leaves_the_end_calm() {
    let drawn = plan::draw(Days::Mixed, 3, SIZE);
    assert!(drawn.is_sorted_by_key(|(at, _)| *at));
    assert!(drawn.iter().all(|(at, _)| *at < SIZE.time - plan::CALM));
}

#[test]
fn seeds_are_a_number_or_a_range_that_holds_its_end() {
    assert_eq!(parse_seeds("7"), Ok(vec![7]));
    assert_eq!(parse_seeds("3..5"), Ok(vec![3, 4, 5]));
    for odd in ["", "x", "5..3", "1..", "0..1000000"] {
        assert!(parse_seeds(odd).is_err(), "{odd}");
    }
}

#[test]
fn days_that_do_not_exist_are_an_error_that_names_those_that_do() {
    let err = "storm".parse::<Days>().unwrap_err();
    assert!(err.contains("storm") && err.contains("silence"), "{err}");
}
