//! Each part's lines carry its prefix.

use std::sync::{Arc, Mutex};

use slog::{Drain, Logger, OwnedKVList, Record, info, o};
use telemetry::{Part, part_logger};

/// Keeps messages.
struct Keep(Arc<Mutex<Vec<String>>>);

impl Drain for Keep {
    type Ok = ();
    type Err = slog::Never;

    fn log(&self, record: &Record<'_>, _: &OwnedKVList) -> Result<(), slog::Never> {
        self.0.lock().unwrap().push(record.msg().to_string());
        Ok(())
    }
}

fn check(part: Part, expected: &str) {
    let kept = Arc::default();
    let root = Logger::root(Keep(Arc::clone(&kept)), o!());
    info!(part_logger(&root, part), "target {} chosen", 7; "key" => "value");
    assert_eq!(*kept.lock().unwrap(), [expected]);
}

#[test]
fn prefix_names_the_part() {
    check(Part::Entry, "entry: target 7 chosen");
    check(Part::Owner, "owner: target 7 chosen");
}
