//! Structured log lines that never block the process.
//!
//! A stalled reader of standard output would stall every request that logs. Lines go through a
//! bounded queue to a thread of their own; lines that do not fit are dropped and counted, and the
//! count is logged with the next line that fits.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::{SystemTime, UNIX_EPOCH};

use log::LevelFilter;

/// Most lines that wait for the writer: some seconds of a busy process, about 1 MB.
const MAX_QUEUED_LINES: usize = 4_096;

/// Passes whole lines to a writer thread without waiting for it.
#[derive(Debug)]
pub struct BoundedLogWriter {
    lines: SyncSender<Vec<u8>>,
    buffer: Vec<u8>,
    dropped: AtomicU64,
}

impl BoundedLogWriter {
    /// Starts the thread that writes to an output.
    pub fn start(output: impl Write + Send + 'static) -> io::Result<Self> {
        let (lines, queued) = sync_channel(MAX_QUEUED_LINES);
        std::thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_lines(&queued, output))?;
        Ok(Self {
            lines,
            buffer: Vec::new(),
            dropped: AtomicU64::new(0),
        })
    }

    fn send(&self, line: Vec<u8>) {
        let dropped = self.dropped.load(Ordering::Relaxed);
        if dropped > 0 {
            let count = format!("log: lines dropped count={dropped}\n");
            if self.lines.try_send(count.into_bytes()).is_ok() {
                self.dropped.fetch_sub(dropped, Ordering::Relaxed);
            }
        }
        if self.lines.try_send(line).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

impl Write for BoundedLogWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.buffer.extend_from_slice(bytes);
        while let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
            let rest = self.buffer.split_off(end + 1);
            let line = std::mem::replace(&mut self.buffer, rest);
            self.send(line);
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_lines(queued: &Receiver<Vec<u8>>, mut output: impl Write) {
    while let Ok(line) = queued.recv() {
        // Without a reader the lines are lost, and there is nowhere to report it.
        let _ = output.write_all(&line).and_then(|()| output.flush());
    }
}

/// Starts structured logging to standard output through a bounded queue.
///
/// If the writer thread cannot be started, the process logs to standard output directly.
pub fn start_bounded_logging(level: LevelFilter) {
    let mut builder = env_logger::Builder::new();
    builder.filter_level(level).parse_default_env();
    builder.format(|out, record| {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let at_ms = since_epoch.unwrap_or_default().as_millis();
        write!(out, "{at_ms} {} {}", record.level(), record.args())?;
        let mut key_values = KeyValueWriter { out };
        record
            .key_values()
            .visit(&mut key_values)
            .map_err(io::Error::other)?;
        writeln!(out)
    });
    match BoundedLogWriter::start(io::stdout()) {
        Ok(lines) => builder.target(env_logger::Target::Pipe(Box::new(lines))),
        Err(_error) => builder.target(env_logger::Target::Stdout),
    };
    builder.init();
}

struct KeyValueWriter<'a, W: Write> {
    out: &'a mut W,
}

impl<'kvs, W: Write> log::kv::VisitSource<'kvs> for KeyValueWriter<'_, W> {
    fn visit_pair(
        &mut self,
        key: log::kv::Key<'kvs>,
        value: log::kv::Value<'kvs>,
    ) -> Result<(), log::kv::Error> {
        let value = value.to_string();
        let written = if value.contains([' ', '"', '=']) {
            write!(self.out, " {key}={value:?}")
        } else {
            write!(self.out, " {key}={value}")
        };
        written.map_err(log::kv::Error::from)
    }
}
