//! Measures the time to log one `request: ended` line, without notes and with
//! notes on twelve parts.

#![allow(clippy::print_stderr, reason = "standard output carries the log")]

use std::{hint::black_box, time::Instant};

use slog::info;
use telemetry::buffered::buffered_logger;

const LINES: u32 = 200_000;

/// Number of lines between two flushes; a reader that keeps up accepts them all.
const LINES_PER_FLUSH: u32 = 200;

const PART_NOTE: &str = "mixa72j/i-f96e684f0e not answered yet at 107 ms, sent 2; ";

fn main() {
    for (name, notes) in [("usual", String::new()), ("twelve notes", PART_NOTE.repeat(12))] {
        let (log, buffer) = buffered_logger("front-bajio-a-1");
        let started = Instant::now();
        for line in 0..LINES {
            info!(log, "request: ended";
                "id" => "9c41d07be2a35f68", "route" => "r-wx4ryx2", "version" => 25,
                "status" => 200, "verdict" => "answer", "took_ms" => 107,
                "parts" => 20, "missing" => 0, "extra_sends" => 1, "notes" => black_box(&notes));
            if line % LINES_PER_FLUSH == 0 {
                buffer.flush();
            }
        }
        let per_line = started.elapsed() / LINES;
        eprintln!("{name}: {per_line:?} per line");
    }
}
