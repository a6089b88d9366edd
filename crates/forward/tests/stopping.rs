//! Requests that come in during a planned stop, at each moment of it.

use std::time::Duration;

use base::Time;
use forward::stopping::Stop;

const BEGUN: Time = Time::from_millis(7_000);

fn stops() -> impl Iterator<Item = (Stop, u64)> {
    [0, 500, 2_000, 6_000, 30_000]
        .into_iter()
        .map(|limit| (Stop::new(BEGUN, Duration::from_millis(limit)), limit))
}

/// Guards against requests that are taken late in a stop and cut at its end.
#[test]
fn a_request_that_is_taken_late_ends_before_the_process_whatever_its_work() {
    for (stop, limit) in stops() {
        for after in (0..=limit).step_by(7) {
            let now = BEGUN + Duration::from_millis(after);
            for time_limit in [0, 60, 500, 1_200, 5_000].map(Duration::from_millis) {
                let is_late = now >= stop.serves_until();
                let ends_in_time = now + time_limit <= stop.ends_at();
                assert_eq!(stop.takes(time_limit, now), !is_late || ends_in_time);
            }
        }
    }
}

/// The balancer takes up to two seconds to notice, and a host that ends sooner than its
/// last answers would cut them.
#[test]
fn a_stop_has_time_for_the_balancer_and_for_the_last_answers() {
    for (stop, limit) in stops() {
        let limit = Duration::from_millis(limit);
        assert!(stop.serves_until() >= BEGUN + Duration::from_millis(2_001).min(limit / 2));
        assert!(stop.accepts_until() <= stop.ends_at());
        assert!(stop.ends_at() <= stop.exits_at());
        assert!(stop.exits_at() <= BEGUN + limit);
    }
    let (stop, _) = stops().nth(3).expect("a stop of six seconds");
    // Between the two a process that runs late still sends its answers.
    assert!(stop.ends_at() < stop.exits_at());
    assert!(stop.exits_at() < BEGUN + Duration::from_millis(6_000));
    assert!(stop.serves_until() < stop.accepts_until());
}
