//! Log lines that never block the process.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, Sender, channel};

use amaranthscale::process::BoundedLogWriter;

/// An output whose writes wait for a gate.
struct GatedOutput {
    gate: Receiver<()>,
    written: Sender<String>,
}

impl Write for GatedOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        // All writes pass once the gate's sender is dropped.
        let _ = self.gate.recv();
        let text = String::from_utf8_lossy(bytes).into_owned();
        self.written.send(text).map_err(io::Error::other)?;
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Nobody reads the standard output of a gateway. Its requests must continue, and once it is read
/// again, a line must report how many lines are missing.
#[test]
fn a_stalled_reader_loses_lines_without_blocking() {
    let (open, gate) = channel();
    let (written, lines) = channel();
    let mut log = BoundedLogWriter::start(GatedOutput { gate, written }).unwrap();

    for number in 0..20_000 {
        writeln!(log, "line {number}").unwrap();
    }
    drop(open);
    let first = lines.recv().unwrap();
    while !lines.recv().unwrap().contains("line 4000") {}
    writeln!(log, "last").unwrap();

    assert_eq!(first, "line 0\n");
    let rest: Vec<_> = std::iter::from_fn(|| lines.recv().ok())
        .take_while(|line| line != "last\n")
        .collect();
    let dropped = rest
        .iter()
        .find(|line| line.starts_with("log: lines dropped count="));
    assert!(dropped.is_some(), "{rest:?}");
}

#[test]
fn lines_are_written_whole_however_they_are_split() {
    let (open, gate) = channel();
    let (written, lines) = channel();
    let mut log = BoundedLogWriter::start(GatedOutput { gate, written }).unwrap();
    drop(open);

    log.write_all(b"one ").unwrap();
    log.write_all(b"line\ntwo\nthr").unwrap();
    log.write_all(b"ee\n").unwrap();

    let written: Vec<_> = (0..3).map(|_| lines.recv().unwrap()).collect();
    assert_eq!(written, ["one line\n", "two\n", "three\n"]);
}
