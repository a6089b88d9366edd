//! A quota of processor time for the hosts: a process that has used its part of a
//! period is stopped until the period ends.

use std::{
    mem::MaybeUninit,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use super::hosts::Host;

/// Period of the quota.
const PERIOD: Duration = Duration::from_millis(100);
/// Time between two looks at the processes.
const TICK: Duration = Duration::from_millis(5);

/// Holds each host to `share` of a core until `stop` is set.
pub fn spawn(hosts: Vec<Arc<Host>>, share: f64, stop: Arc<AtomicBool>) {
    thread::spawn(move || {
        while !stop.load(Ordering::Relaxed) {
            run_period(&hosts, PERIOD.mul_f64(share));
        }
    });
}

fn run_period(hosts: &[Arc<Host>], quota: Duration) {
    let end = Instant::now() + PERIOD;
    let pids: Vec<Option<u32>> = hosts.iter().map(|it| it.throttled_pid()).collect();
    let used: Vec<Option<Duration>> = pids.iter().map(|it| it.and_then(cpu_time)).collect();
    let mut stopped = vec![false; hosts.len()];
    while Instant::now() < end {
        thread::sleep(TICK);
        for (index, host) in hosts.iter().enumerate() {
            let (Some(pid), Some(before)) = (pids[index], used[index]) else { continue };
            let now = cpu_time(pid).unwrap_or(before);
            if !stopped[index] && now.saturating_sub(before) >= quota {
                host.throttle(true);
                stopped[index] = true;
            }
        }
    }
    for (host, _) in hosts.iter().zip(stopped).filter(|(_, it)| *it) {
        host.throttle(false);
    }
}

/// Returns the processor time that a process has used.
fn cpu_time(pid: u32) -> Option<Duration> {
    let pid = libc::pid_t::try_from(pid).ok()?;
    let mut clock = MaybeUninit::<libc::clockid_t>::uninit();
    let mut time = MaybeUninit::<libc::timespec>::uninit();
    // SAFETY: both calls write to the place that they are given, and it is read only
    // if they succeed.
    #[allow(unsafe_code)]
    let time = unsafe {
        if libc::clock_getcpuclockid(pid, clock.as_mut_ptr()) != 0
            || libc::clock_gettime(clock.assume_init(), time.as_mut_ptr()) != 0
        {
            return None;
        }
        time.assume_init()
    };
    Some(Duration::new(time.tv_sec.try_into().ok()?, time.tv_nsec.try_into().ok()?))
}
