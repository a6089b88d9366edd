//! Routes that are added in a storm, beside a source that is silent for some hosts at times,
//! readers that are behind, and hosts that start: no host may call a route unknown that is
//! due, and each one that hears from the source must be able to.

use std::time::Duration;

use base::Time;
use forward::{
    FeedProgress, Provenance,
    route::{ConfigurationView, UnknownRoute},
    source_calls::{CallLimits, follower_wait},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

const DUE: Duration = Duration::from_millis(3_000);

/// Time of one run, and from one step to the next.
const RUN_MS: u64 = 60_000;
const STEP_MS: u64 = 10;

const SEEDS: u64 = 50;

/// Hosts that ask the source, hosts that ask one of those, and hosts that ask a host of any
/// kind for its state.
const READERS: usize = 2;
const FOLLOWERS: usize = 3;
const LEARNERS: usize = 2;

/// Time within which hosts follow the source again after its return.
const RECOVERY: Duration = Duration::from_millis(4_000);

/// Time from one call to the next.
const PAUSE_MS: u64 = 250;

/// Time after its wait after which a call that is lost is given up.
const SLACK_MS: u64 = 250;

#[derive(Clone, Copy, Debug, Default)]
struct Host {
    version: u64,
    progress: FeedProgress,
    origin: Option<usize>,
    /// Time of the call that waits.
    called_ms: Option<u64>,
    next_call_ms: u64,
    /// Whether the call that waits is lost.
    is_lost: bool,
    cut_off_until_ms: u64,
}

impl Host {
    /// What it knows if it hears of no other host's version.
    fn view(&self, now: Time) -> ConfigurationView {
        ConfigurationView { version: self.version, age: self.progress.age(now), elsewhere: 0 }
    }
}

/// Returns how long an origin waits before it answers a call without changes.
fn wait_ms(host: usize) -> u64 {
    let wait = if host < READERS {
        CallLimits::new(RECOVERY).for_reader().wait
    } else {
        follower_wait(DUE)
    };
    wait.as_millis() as u64
}

struct Run {
    rng: SmallRng,
    now_ms: u64,
    /// Time at which each version was published, the first one at 0.
    published_ms: Vec<u64>,
    next_publication_ms: u64,
    hosts: Vec<Host>,
    absent: u64,
    uncertain: u64,
}

impl Run {
    fn new(seed: u64) -> Run {
        let mut run = Run {
            rng: SmallRng::seed_from_u64(seed),
            now_ms: 0,
            published_ms: vec![0],
            next_publication_ms: 0,
            hosts: vec![Host::default(); READERS + FOLLOWERS + LEARNERS],
            absent: 0,
            uncertain: 0,
        };
        run.hosts.iter_mut().for_each(|it| it.next_call_ms = run.rng.random_range(0..PAUSE_MS));
        run
    }

    fn now(&self) -> Time {
        Time::from_millis(self.now_ms)
    }

    fn newest(&self) -> u64 {
        self.published_ms.len() as u64
    }

    fn play(&mut self) {
        while self.now_ms < RUN_MS {
            self.publish();
            for host in 0..self.hosts.len() {
                self.disturb(host);
                self.step(host);
            }
            self.check();
            self.now_ms += STEP_MS;
        }
    }

    fn publish(&mut self) {
        if self.now_ms < self.next_publication_ms {
            return;
        }
        self.published_ms.push(self.now_ms);
        let is_storm = self.rng.random_bool(0.7);
        let pause = if is_storm { 50..500 } else { 2_000..9_000 };
        self.next_publication_ms = self.now_ms + self.rng.random_range(pause);
    }

    /// Cuts the host off from its origin, or starts it anew.
    fn disturb(&mut self, host: usize) {
        let now_ms = self.now_ms;
        if self.rng.random_bool(0.000_5) {
            let cut_ms = self.rng.random_range(100..15_000);
            self.hosts[host].cut_off_until_ms = now_ms + cut_ms;
        }
        if self.rng.random_bool(0.000_2) {
            self.hosts[host] = Host { next_call_ms: now_ms + PAUSE_MS, ..Host::default() };
        }
        let it = &mut self.hosts[host];
        it.is_lost |= now_ms < it.cut_off_until_ms;
    }

    fn step(&mut self, host: usize) {
        let (now_ms, now) = (self.now_ms, self.now());
        let Some(called_ms) = self.hosts[host].called_ms else {
            if now_ms >= self.hosts[host].next_call_ms {
                self.call(host);
            }
            return;
        };
        let it = self.hosts[host];
        if it.is_lost {
            if now_ms >= called_ms + wait_ms(host) + SLACK_MS {
                self.hosts[host].progress.record_failure(now);
                self.end_call(host);
            }
            return;
        }
        let (version, behind, provenance) = self.offer(it.origin);
        // State of a host is not waited for.
        let is_asked_for_state = host >= READERS + FOLLOWERS;
        if version <= it.version && now_ms < called_ms + wait_ms(host) && !is_asked_for_state {
            return;
        }
        if let Some(behind) = behind {
            self.hosts[host].progress.record_complete(now.ago(behind), provenance);
        }
        self.hosts[host].version = it.version.max(version);
        self.end_call(host);
    }

    fn call(&mut self, host: usize) {
        let origin = match host {
            _ if host < READERS => None,
            _ if host < READERS + FOLLOWERS => Some(self.rng.random_range(0..READERS)),
            _ => Some(self.rng.random_range(0..READERS + FOLLOWERS)),
        };
        let (now_ms, now) = (self.now_ms, self.now());
        let it = &mut self.hosts[host];
        it.progress.record_call(now, Duration::from_millis(wait_ms(host)), Duration::ZERO);
        (it.origin, it.called_ms) = (origin, Some(now_ms));
        it.is_lost = now_ms < it.cut_off_until_ms;
    }

    fn end_call(&mut self, host: usize) {
        let it = &mut self.hosts[host];
        (it.called_ms, it.next_call_ms) = (None, self.now_ms + PAUSE_MS);
    }

    /// Returns the version of an origin, and by how much it says that it may be behind.
    fn offer(&self, origin: Option<usize>) -> (u64, Option<Duration>, Provenance) {
        let Some(host) = origin.map(|it| &self.hosts[it]) else {
            return (self.newest(), Some(Duration::ZERO), Provenance::Source);
        };
        (host.version, host.progress.age(self.now()), Provenance::Unknown)
    }

    fn check(&mut self) {
        let now = self.now();
        for (host, it) in self.hosts.iter().enumerate() {
            if UnknownRoute::new(it.view(now), DUE) == UnknownRoute::Uncertain {
                self.uncertain += 1;
                continue;
            }
            self.absent += 1;
            // The first version that it doesn't have adds a route.
            let Some(published_ms) = self.published_ms.get(it.version as usize) else { continue };
            let since = now.since(Time::from_millis(*published_ms));
            assert!(since <= DUE, "host {host} at {} ms lacks a route of {since:?}", self.now_ms);
        }
    }
}

/// Guards against requests refused with 404 though their route is there.
#[test]
fn no_host_calls_a_route_unknown_that_is_due() {
    for seed in 0..SEEDS {
        let mut run = Run::new(seed);
        run.play();
        assert!(run.uncertain > 0, "seed {seed}: no host was ever out of touch");
        assert!(run.absent > 0, "seed {seed}: no host could ever tell");
    }
}

/// Hosts that are not disturbed can always tell, a follower with the lag of its reader too.
#[test]
fn a_host_that_hears_from_the_source_can_tell_that_a_route_is_unknown() {
    let mut run = Run::new(1);
    while run.now_ms < RUN_MS {
        run.publish();
        for host in 0..READERS + FOLLOWERS {
            run.step(host);
        }
        run.now_ms += STEP_MS;
        let hosts = run.hosts[..READERS + FOLLOWERS].iter();
        let views = hosts.map(|it| it.view(run.now()));
        for view in views.filter(|_| run.now_ms > DUE.as_millis() as u64) {
            assert_eq!(UnknownRoute::new(view, DUE), UnknownRoute::Absent, "{view:?}");
        }
    }
}

#[test]
fn a_later_version_elsewhere_may_have_the_route() {
    let view = ConfigurationView { version: 7, age: Some(Duration::ZERO), elsewhere: 7 };
    assert_eq!(UnknownRoute::new(view, DUE), UnknownRoute::Absent);
    let view = ConfigurationView { elsewhere: 9, ..view };
    assert_eq!(UnknownRoute::new(view, DUE), UnknownRoute::Uncertain);
}
