//! The record of what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// A file with one line for each event; clones write to the same file.
#[derive(Clone)]
pub struct Record(Arc<(Mutex<File>, Instant)>);

impl Record {
    pub fn create(path: &str) -> Self {
        let file = File::create(path).expect("the record");
        Self(Arc::new((Mutex::new(file), Instant::now())))
    }

    /// Writes a line with the seconds since the start of the case.
    pub fn line(&self, text: &str) {
        let seconds = self.0.1.elapsed().as_secs_f64();
        let mut file = self.0.0.lock().unwrap();
        let _ = writeln!(file, "{seconds:8.3} {text}");
    }
}
