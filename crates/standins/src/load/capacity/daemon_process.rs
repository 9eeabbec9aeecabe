//! A daemon that runs as a process of its own.

use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};

use super::capacity_error::CapacityError;
use super::process_usage::ProcessUsage;

/// What the first line of a daemon's output starts with.
const LISTENING: &str = "listening ";

/// A daemon that runs as a process of its own; dropping it ends this process and no other.
#[derive(Debug)]
pub(super) struct DaemonProcess {
    child: Child,
    address: SocketAddr,
}

impl DaemonProcess {
    /// Starts a daemon, without waiting for it.
    pub(super) fn launch(program: &Path, settings: &Path) -> Result<Child, CapacityError> {
        let child = Command::new(program)
            .arg("--config")
            .arg(settings)
            .env_remove("RUST_LOG")
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()?;
        Ok(child)
    }

    /// Reads where a launched daemon listens.
    pub(super) fn listening(mut child: Child, program: &Path) -> Result<Self, CapacityError> {
        let address = announced(&mut child)?;
        let address = address.ok_or_else(|| {
            let _ = child.kill();
            CapacityError::NotStarted(program.display().to_string())
        })?;
        Ok(Self { child, address })
    }

    /// Address that the daemon has announced.
    pub(super) const fn address(&self) -> SocketAddr {
        self.address
    }

    /// What the process has used since it started.
    pub(super) fn usage(&self) -> io::Result<ProcessUsage> {
        ProcessUsage::of(self.child.id())
    }
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        // A daemon that has ended of its own accord cannot be ended again.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn announced(child: &mut Child) -> io::Result<Option<SocketAddr>> {
    let Some(stdout) = child.stdout.as_mut() else {
        return Ok(None);
    };
    let mut line = String::new();
    BufReader::new(stdout).read_line(&mut line)?;
    let address = line.trim().strip_prefix(LISTENING);
    Ok(address.and_then(|address| address.parse().ok()))
}
