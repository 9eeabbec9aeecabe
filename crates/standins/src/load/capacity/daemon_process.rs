//! A daemon in a child process.

use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};

use super::capacity_error::CapacityError;
use super::process_usage::ProcessUsage;

/// Prefix of the first line of a daemon's output.
const ADDRESS_PREFIX: &str = "listening ";

/// A daemon in a child process; dropping it ends this process and no other.
#[derive(Debug)]
pub(super) struct DaemonProcess {
    child: Child,
    address: SocketAddr,
}

impl DaemonProcess {
    /// Starts a daemon without waiting until it listens.
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

    /// Waits until a launched daemon prints its listening address.
    pub(super) fn wait_until_listening(
        mut child: Child,
        program: &Path,
    ) -> Result<Self, CapacityError> {
        let address = read_address(&mut child)?;
        let address = address.ok_or_else(|| {
            let _ = child.kill();
            CapacityError::NotStarted(program.display().to_string())
        })?;
        Ok(Self { child, address })
    }

    /// Listening address that the daemon printed.
    pub(super) const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Resource usage of the process since it started.
    pub(super) fn usage(&self) -> io::Result<ProcessUsage> {
        ProcessUsage::of(self.child.id())
    }
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        // Fails for a daemon that has already ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn read_address(child: &mut Child) -> io::Result<Option<SocketAddr>> {
    let Some(stdout) = child.stdout.as_mut() else {
        return Ok(None);
    };
    let mut line = String::new();
    BufReader::new(stdout).read_line(&mut line)?;
    let address = line.trim().strip_prefix(ADDRESS_PREFIX);
    Ok(address.and_then(|address| address.parse().ok()))
}
