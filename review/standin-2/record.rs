//! The record of what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::sync::{Mutex, OnceLock};
use std::time::Instant;

static STARTED: OnceLock<Instant> = OnceLock::new();
static FILE: OnceLock<Mutex<File>> = OnceLock::new();

pub fn open(path: &str) {
    STARTED.get_or_init(Instant::now);
    let file = File::create(path).expect("the record can be written");
    FILE.get_or_init(|| Mutex::new(file));
}

/// Seconds since the start.
pub fn now() -> f64 {
    STARTED.get_or_init(Instant::now).elapsed().as_secs_f64()
}

pub fn line(text: &str) {
    let line = format!("{:8.3} {text}\n", now());
    print!("{line}");
    if let Some(file) = FILE.get() {
        let _ = file.lock().unwrap().write_all(line.as_bytes());
    }
}
