use std::time::Duration;

use super::{
    Days, LoadSize, Logs, Options, Program, Programs, Settings, parse_seeds,
    plan::{self, Action, Size},
    record::{Record, Recorder},
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
        Days::Upgrade,
        Days::Keys,
        Days::Restored,
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

#[test]
fn an_upgrade_replaces_each_host_once() {
    let drawn = plan::draw(Days::Upgrade, 5, SIZE);
    let orders = drawn.iter().filter_map(|(_, it)| match it {
        Action::ReplaceHosts { order, .. } => Some(order),
        _ => None,
    });
    let mut replaced: Vec<usize> = orders.flatten().copied().collect();
    replaced.sort_unstable();
    assert_eq!(replaced, (0..SIZE.hosts).collect::<Vec<_>>());
}

/// Guards against cases of an earlier build that count as those of the one under test.
#[test]
fn a_host_runs_the_program_of_its_last_start() {
    let [old, new] = ["old", "new"].map(|it| Program::new(it, "".into()).name);
    let recorder = Recorder::new();
    recorder.host_started(0, &old);
    let first = recorder.now();
    std::thread::sleep(Duration::from_millis(5));
    recorder.host_started(0, &new);
    recorder.host_started(1, &old);
    let record: Record = recorder.snapshot();
    assert_eq!(record.program(0, first), Some(&old));
    assert_eq!(record.program(0, recorder.now()), Some(&new));
    assert_eq!(record.program(1, recorder.now()), Some(&old));
    assert_eq!(record.program(2, first), None);
}

#[test]
fn a_second_program_goes_with_an_upgrade_only() {
    let program = Program::new("first", std::env::current_exe().expect("this program"));
    for (days, has_next) in [(Days::Upgrade, false), (Days::Mixed, true)] {
        let programs = Programs { first: program.clone(), next: has_next.then(|| program.clone()) };
        let settings = Settings {
            seeds: vec![1],
            hosts: 6,
            seconds: 60,
            days,
            cpu_share: None,
            load: LoadSize::default(),
            logs: Logs::new(None),
        };
        let err = Options { programs, settings }.check().expect_err("refused");
        assert!(err.to_string().contains("--days upgrade"), "{err}");
    }
}
