//! The record of what was sent, answered and run.

use std::{
    fs::File,
    io::Write,
    sync::{Arc, Mutex},
    time::Instant,
};

/// A file of lines with the time since the start; clones share it.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &str) -> std::io::Result<Record> {
        Ok(Record { file: Arc::new(Mutex::new(File::create(path)?)), start: Instant::now() })
    }

    pub fn line(&self, text: String) {
        let at = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        // The record is for readers; the verdict doesn't depend on it.
        let _ = writeln!(file, "{at:9.3} {text}");
    }

    /// Writes a line to the record and to the standard output.
    pub fn say(&self, text: String) {
        println!("{text}");
        self.line(text);
    }
}
