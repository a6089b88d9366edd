//! Messages are prefixed with the part that logs them.

use std::sync::{Arc, Mutex};

use slog::{Drain, Logger, OwnedKVList, Record, info, o};
use telemetry::{Part, part_logger};

/// Drain that records messages.
struct MessageRecorder(Arc<Mutex<Vec<String>>>);

impl Drain for MessageRecorder {
    type Ok = ();
    type Err = slog::Never;

    fn log(&self, record: &Record<'_>, _: &OwnedKVList) -> Result<(), slog::Never> {
        self.0.lock().unwrap().push(record.msg().to_string());
        Ok(())
    }
}

fn check_prefix(part: Part, expected: &str) {
    let messages = Arc::default();
    let root = Logger::root(MessageRecorder(Arc::clone(&messages)), o!());
    info!(part_logger(&root, part), "target {} chosen", 7; "key" => "value");
    assert_eq!(*messages.lock().unwrap(), [expected]);
}

#[test]
fn prefix_names_the_part() {
    check_prefix(Part::Entry, "entry: target 7 chosen");
    check_prefix(Part::Owner, "owner: target 7 chosen");
}
