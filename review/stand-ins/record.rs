//! The record of a run: what was sent, answered and run, with the seconds since its start.

use std::{
    fs::File,
    io::Write,
    sync::{Arc, Mutex},
    time::Instant,
};

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &str) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self { file: Arc::new(Mutex::new(file)), start: Instant::now() }
    }

    pub fn line(&self, text: &str) {
        let seconds = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{seconds:9.3} s  {text}");
    }
}
