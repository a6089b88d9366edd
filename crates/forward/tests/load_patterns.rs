//! Simulates the load patterns that `forward` answers, on virtual time, some of
//! them with and without the mechanism in question.

mod model;

use std::time::Duration;

use model::{Load, Slow, simulate};

const SEEDS: u64 = 5;

/// Extra sends per part allowed in users' deployments.
const MAX_EXTRA: f64 = 0.2;

/// Slowdown of a target that answers nothing.
const SILENT: f64 = f64::INFINITY;

/// Returns a lasting slowdown of a target by `factor`.
fn slow(shard: usize, replica: usize, factor: f64) -> Slow {
    let (from, until) = (Duration::from_secs(5), Duration::from_secs(60));
    Slow { shard, replica, from, until, factor }
}

fn pauses() -> Load {
    Load {
        pause: Duration::from_millis(150),
        pause_period: Duration::from_millis(3_600),
        ..Load::default()
    }
}

#[test]
fn pauses_under_wide_fan_out_do_not_make_queries_late() {
    for seed in 1..=SEEDS {
        let load = Load { seed, shards: 30, min_shards: 27, ..pauses() };
        let hedged = simulate(&load);
        let unhedged = simulate(&Load { retry_ratio: 0.0, ..load });
        assert!(hedged.in_time_share() >= 0.95, "seed {seed}: {hedged:?}");
        assert!(
            hedged.missing_parts < unhedged.missing_parts,
            "seed {seed}: {hedged:?} {unhedged:?}"
        );
        assert!(hedged.extra_share() <= MAX_EXTRA, "seed {seed}: {hedged:?}");
    }
}

#[test]
fn a_burst_with_pauses_is_served_in_time() {
    for seed in 1..=SEEDS {
        let burst = Some((Duration::from_secs(10), Duration::from_secs(15), 1.7));
        let load = Load { seed, burst, queries_per_s: 40.0, ..pauses() };
        let report = simulate(&load);
        assert!(report.in_time_share() >= 0.95, "seed {seed}: {report:?}");
        assert_eq!(report.unserved, 0, "seed {seed}");
    }
}

#[test]
fn a_shard_whose_targets_are_all_silent_is_left_out_in_time() {
    for seed in 1..=SEEDS {
        let load = Load { seed, slow: vec![slow(3, 0, SILENT), slow(3, 1, SILENT)], ..pauses() };
        let report = simulate(&load);
        assert!(report.in_time_share() >= 0.95, "seed {seed}: {report:?}");
    }
}

#[test]
fn more_silent_shards_than_may_be_missing_end_queries_before_their_timeout() {
    let slow = (0..4).flat_map(|shard| [slow(shard, 0, SILENT), slow(shard, 1, SILENT)]).collect();
    let report = simulate(&Load { slow, ..pauses() });
    assert!(report.unserved > 0, "{report:?}");
    assert_eq!(report.in_time + report.late + report.unserved, report.queries, "{report:?}");
    // Only queries with sends in flight when the targets fell silent time out.
    assert!(report.timed_out * 10 < report.unserved, "{report:?}");
}

#[test]
fn work_moves_away_from_targets_that_turn_slow() {
    for seed in 1..=SEEDS {
        let load = Load {
            seed,
            slow: (0..8).map(|shard| slow(shard, 0, 8.0)).collect(),
            ..Load::default()
        };
        let report = simulate(&load);
        assert!(report.in_time_share() >= 0.95, "seed {seed}: {report:?}");
        let missing = report.missing_parts as f64 / report.parts as f64;
        assert!(missing < 0.02, "seed {seed}: {report:?}");
    }
}

/// After a partition a single target of each shard is left, whose capacity is less
/// than the load from all hosts. If all queries were accepted, fewer would be
/// answered in time.
#[test]
fn accepted_queries_are_in_time_under_overload() {
    for seed in 1..=SEEDS {
        let load = Load {
            seed,
            replicas: 1,
            slots: 3,
            work: Duration::from_millis(28),
            objective: Duration::from_millis(200),
            timeout: Duration::from_millis(1_200),
            queries_per_s: 40.0,
            others_per_s: 75.0,
            pause: Duration::from_millis(250),
            pause_period: Duration::from_secs(6),
            max_connections: 30,
            hosts: 6,
            ..Load::default()
        };
        let admitting = simulate(&load);
        let without_admission = simulate(&Load { has_admission: false, ..load });
        assert!(admitting.refused > 0, "seed {seed}: {admitting:?}");
        assert!(
            admitting.in_time > without_admission.in_time,
            "seed {seed}: {admitting:?} {without_admission:?}"
        );
        assert_eq!(admitting.timed_out, 0, "seed {seed}: {admitting:?}");
    }
}

/// Admission control must not refuse queries while targets have capacity.
#[test]
fn nothing_is_refused_without_overload() {
    for seed in 1..=SEEDS {
        let report = simulate(&Load { seed, ..pauses() });
        assert_eq!(report.refused, 0, "seed {seed}: {report:?}");
    }
}

/// One target of each of eight shards is eleven times slower, under a load that
/// almost saturates the other target.
#[test]
fn slow_targets_under_load_do_not_delay_parts() {
    for seed in 1..=SEEDS {
        let load = Load {
            seed,
            slow: (0..8).map(|shard| slow(shard, 0, 11.0)).collect(),
            queries_per_s: 80.0,
            max_connections: 12,
            ..pauses()
        };
        let report = simulate(&load);
        let unhedged = simulate(&Load { retry_ratio: 0.0, ..load });
        assert!(report.in_time_share() >= 0.95, "seed {seed}: {report:?}");
        let missing = report.missing_parts as f64 / report.parts as f64;
        assert!(missing < 0.02, "seed {seed}: {missing} {report:?}");
        assert!(
            report.missing_parts < unhedged.missing_parts,
            "seed {seed}: {report:?} {unhedged:?}"
        );
    }
}
