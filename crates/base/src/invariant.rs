//! Invariant checks, which also run in release builds.
//!
//! A broken invariant is counted, for a metric, and passed to the installed
//! reporter, which logs it. The process then continues, since one wrong request
//! does less harm than a crashed host. After [`panic_when_broken`] the check also
//! panics, so that a randomised run stops at the first broken invariant.

use std::sync::{
    OnceLock,
    atomic::{AtomicBool, AtomicU64, Ordering},
};

type Reporter = fn(name: &'static str, detail: &str);

static BROKEN_COUNT: AtomicU64 = AtomicU64::new(0);
static PANIC_WHEN_BROKEN: AtomicBool = AtomicBool::new(false);
static REPORTER: OnceLock<Reporter> = OnceLock::new();

/// Checks an invariant and evaluates to whether it holds.
///
/// `always!(condition, "invariant-name", "format {}", args)`
#[macro_export]
macro_rules! always {
    ($condition:expr, $name:literal $(,)?) => {
        $crate::always!($condition, $name, "")
    };
    ($condition:expr, $name:literal, $($detail:tt)+) => {{
        let holds: bool = $condition;
        if !holds {
            $crate::invariant::report_broken($name, &format!($($detail)+));
        }
        holds
    }};
}

/// Returns how many broken invariants this process has counted.
pub fn broken_count() -> u64 {
    BROKEN_COUNT.load(Ordering::Relaxed)
}

/// Makes every broken invariant panic, for tests and randomised runs.
pub fn panic_when_broken() {
    PANIC_WHEN_BROKEN.store(true, Ordering::Relaxed);
}

/// Installs the function that reports broken invariants. Later calls have no
/// effect.
pub fn set_reporter(reporter: Reporter) {
    let _ = REPORTER.set(reporter);
}

#[doc(hidden)]
#[cold]
pub fn report_broken(name: &'static str, detail: &str) {
    BROKEN_COUNT.fetch_add(1, Ordering::Relaxed);
    if let Some(report) = REPORTER.get() {
        report(name, detail);
    }
    if PANIC_WHEN_BROKEN.load(Ordering::Relaxed) {
        panic!("invariant broken: {name}: {detail}");
    }
}
