//! What was sent, answered and run, with the time since the start of the script.

use std::{
    fs::File,
    io::Write,
    sync::Mutex,
    time::{Duration, Instant},
};

pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn new(path: &str) -> Record {
        let file = File::create(path).expect("the record is created");
        Record { start: Instant::now(), file: Mutex::new(file) }
    }

    pub fn elapsed(&self) -> Duration {
        self.start.elapsed()
    }

    pub fn line(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{at:9.3} s  {text}");
    }
}
