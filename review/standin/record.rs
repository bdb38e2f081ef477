//! The record of a case: what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    begun_at: Instant,
}

impl Record {
    pub fn create(path: &str) -> Self {
        Self {
            file: Arc::new(Mutex::new(File::create(path).expect("creating record.txt"))),
            begun_at: Instant::now(),
        }
    }

    pub fn begun_at(&self) -> Instant {
        self.begun_at
    }

    /// Appends a line with the time since the begin.
    pub fn line(&self, text: &str) {
        let at = self.begun_at.elapsed().as_secs_f64();
        let mut file = self.file.lock().expect("locking the record");
        let _ = writeln!(file, "{at:8.3} s  {text}");
    }
}
