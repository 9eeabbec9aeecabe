//! Child processes that a test starts, signals and stops.

use std::env;
use std::ffi::OsStr;
use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdout, Command, ExitStatus, Stdio};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::thread;
use std::time::Duration;

use nix::sys::signal::{Signal, kill};
use nix::sys::wait::{WaitPidFlag, WaitStatus, waitpid};
use nix::unistd::Pid;

/// Timeout of the wait for a line or an exit; long, as tests may run on a busy host.
const WAIT_TIMEOUT: Duration = Duration::from_mins(1);
/// Prefix of the line with the address at which a program listens.
const LISTENING: &str = "listening ";

/// A child process of the test; killed when dropped.
#[derive(Debug)]
pub struct ChildProcess {
    child: Child,
    lines: Receiver<String>,
    address: SocketAddr,
}

impl ChildProcess {
    /// Starts a program and waits for its `listening` line.
    pub fn start(
        program: impl AsRef<Path>,
        arguments: impl IntoIterator<Item = impl AsRef<OsStr>>,
    ) -> io::Result<Self> {
        let mut command = Command::new(program.as_ref());
        command.args(arguments);
        Self::start_command(command)
    }

    /// Starts a command, for instance with its own environment, and waits like [`Self::start`].
    pub fn start_command(mut command: Command) -> io::Result<Self> {
        command.stdin(Stdio::null()).stdout(Stdio::piped());
        let mut child = command.spawn()?;
        let stdout = child.stdout.take().ok_or(io::ErrorKind::BrokenPipe)?;
        let (sender, lines) = channel();
        thread::spawn(move || forward_lines(stdout, &sender));
        let unspecified = SocketAddr::from(([0, 0, 0, 0], 0));
        // Built before the wait, so that a program that never becomes ready is killed on drop.
        let mut process = Self {
            child,
            lines,
            address: unspecified,
        };
        process.address = process.wait_for_address(LISTENING)?;
        Ok(process)
    }

    /// Address at which the program listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// URL of a path at the process's address.
    pub fn url(&self, path: impl AsRef<str>) -> String {
        format!("http://{}{}", self.address, path.as_ref())
    }

    /// Process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Waits for a line that consists of `prefix` and an address.
    pub fn wait_for_address(&self, prefix: &str) -> io::Result<SocketAddr> {
        let rest = self.wait_for_line(prefix)?;
        rest.trim().parse().map_err(io::Error::other)
    }

    /// Waits for a line that begins with `prefix` and returns the rest of it.
    pub fn wait_for_line(&self, prefix: &str) -> io::Result<String> {
        loop {
            let line = self.lines.recv_timeout(WAIT_TIMEOUT);
            let line = line.map_err(|error| missing_line(prefix, error))?;
            if let Some(rest) = line.strip_prefix(prefix) {
                return Ok(rest.to_owned());
            }
        }
    }

    /// Kills the process (SIGKILL), as if its host had failed, and waits for its exit.
    pub fn kill(&mut self) -> io::Result<ExitStatus> {
        self.child.kill()?;
        self.child.wait()
    }

    /// Pauses the process (SIGSTOP) and waits until it has stopped, as the signal is asynchronous.
    pub fn pause(&mut self) -> io::Result<()> {
        self.signal(Signal::SIGSTOP)?;
        match waitpid(self.pid()?, Some(WaitPidFlag::WUNTRACED))? {
            WaitStatus::Stopped(..) => Ok(()),
            other => Err(io::Error::other(format!("not paused: {other:?}"))),
        }
    }

    /// Resumes the process (SIGCONT).
    pub fn resume(&mut self) -> io::Result<()> {
        self.signal(Signal::SIGCONT)
    }

    /// Requests a graceful stop (SIGTERM).
    pub fn terminate(&mut self) -> io::Result<()> {
        self.signal(Signal::SIGTERM)
    }

    /// Waits for its exit; fails after one minute.
    pub fn wait(&mut self) -> io::Result<ExitStatus> {
        // The process's standard output closes when it exits, so no polling is needed.
        loop {
            match self.lines.recv_timeout(WAIT_TIMEOUT) {
                Ok(_) => {}
                Err(RecvTimeoutError::Disconnected) => return self.child.wait(),
                Err(RecvTimeoutError::Timeout) => return Err(io::ErrorKind::TimedOut.into()),
            }
        }
    }

    /// Signals the process unless it has exited: its id may then belong to another process.
    fn signal(&mut self, signal: Signal) -> io::Result<()> {
        if let Some(status) = self.child.try_wait()? {
            return Err(io::Error::other(format!(
                "exited before {signal}: {status}"
            )));
        }
        Ok(kill(self.pid()?, signal)?)
    }

    fn pid(&self) -> io::Result<Pid> {
        let id = i32::try_from(self.child.id()).map_err(io::Error::other)?;
        Ok(Pid::from_raw(id))
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        // Fails only if the process has already exited.
        let _ = self.kill();
    }
}

/// Path of a program of another package, built beside this test.
pub fn sibling_program(name: &str) -> io::Result<PathBuf> {
    let test = env::current_exe()?;
    // Test binaries are in `target/<profile>/deps`, programs one directory above.
    let directory = test.parent().and_then(Path::parent);
    let program = directory.ok_or(io::ErrorKind::NotFound)?.join(name);
    if program.is_file() {
        return Ok(program);
    }
    let message = format!(
        "{} is missing: run `cargo build --workspace --bins` first",
        program.display()
    );
    Err(io::Error::new(io::ErrorKind::NotFound, message))
}

fn forward_lines(stdout: ChildStdout, lines: &Sender<String>) {
    for line in BufReader::new(stdout).lines().map_while(Result::ok) {
        // The receiver may be gone; the output is still drained so that the program does not block.
        let _ = lines.send(line);
    }
}

fn missing_line(prefix: &str, error: RecvTimeoutError) -> io::Error {
    let reason = match error {
        RecvTimeoutError::Timeout => "was not printed in time",
        RecvTimeoutError::Disconnected => "was not printed before the program's end",
    };
    io::Error::other(format!("line {prefix:?} {reason}"))
}
