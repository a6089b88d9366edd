//! What was sent, answered and run, with the time since the start.

use std::{
    fs,
    path::PathBuf,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

#[derive(Clone)]
pub struct Record {
    started: Instant,
    path: Arc<PathBuf>,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Record {
    pub fn new(folder: &str) -> Record {
        let path = PathBuf::from(folder).join("record.txt");
        Record { started: Instant::now(), path: Arc::new(path), lines: Arc::default() }
    }

    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Adds a line to the record.
    pub fn note(&self, text: &str) {
        let line = format!("{:8.3} {text}", self.now().as_secs_f64());
        self.lines.lock().unwrap().push(line);
    }

    /// Adds a line to the record and prints it.
    pub fn line(&self, text: &str) {
        println!("{:8.3} {text}", self.now().as_secs_f64());
        self.note(text);
    }

    pub fn write(&self) {
        let text = self.lines.lock().unwrap().join("\n") + "\n";
        if let Err(err) = fs::write(&*self.path, text) {
            eprintln!("cannot write the record: {err}");
        }
    }
}
