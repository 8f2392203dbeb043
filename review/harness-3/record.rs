//! The record of a case: what was sent, answered and run.

use std::{
    fs::File,
    io::{BufWriter, Write},
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<BufWriter<File>>>,
    started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        let file = File::create(path).expect("record.txt can be written");
        Record { file: Arc::new(Mutex::new(BufWriter::new(file))), started: Instant::now() }
    }

    /// Returns the time since the start, in milliseconds.
    pub fn millis(&self) -> u128 {
        self.started.elapsed().as_millis()
    }

    /// Writes a line with the time since the start.
    pub fn line(&self, text: &str) {
        let millis = self.millis();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{millis:7} {text}");
        let _ = file.flush();
    }

    /// Writes a line, and prints it.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}
