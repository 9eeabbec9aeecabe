//! Memory and processor time of a process, from `/proc`.

use std::fs;
use std::io;

/// Memory and processor time of a process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct ProcessUsage {
    /// Processor time since the start, over all threads.
    pub(super) cpu_ns: u64,
    /// Resident memory, with program text that is shared between processes.
    pub(super) resident_kib: u64,
    /// Resident memory that is not shared.
    pub(super) anonymous_kib: u64,
}

impl ProcessUsage {
    /// Reads the usage of a process.
    pub(super) fn of(id: u32) -> io::Result<Self> {
        let status = fs::read_to_string(format!("/proc/{id}/status"))?;
        Ok(Self {
            cpu_ns: cpu_ns(id)?,
            resident_kib: kib(&status, "VmRSS:"),
            anonymous_kib: kib(&status, "RssAnon:"),
        })
    }
}

/// Sums the threads' times: the kernel's time of a whole process has a resolution of 10 ms, which
/// is more than an idle process uses in a second.
fn cpu_ns(id: u32) -> io::Result<u64> {
    let mut total_ns = 0;
    for thread in fs::read_dir(format!("/proc/{id}/task"))? {
        let Ok(text) = fs::read_to_string(thread?.path().join("schedstat")) else {
            // The thread has ended since the directory was read.
            continue;
        };
        let first = text.split_whitespace().next();
        total_ns += first.and_then(|ns| ns.parse::<u64>().ok()).unwrap_or(0);
    }
    Ok(total_ns)
}

fn kib(status: &str, name: &str) -> u64 {
    let line = status.lines().find_map(|line| line.strip_prefix(name));
    let number = line.and_then(|line| line.split_whitespace().next());
    number.and_then(|number| number.parse().ok()).unwrap_or(0)
}
