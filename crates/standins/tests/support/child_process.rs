//! Programs that a test starts, signals and ends.

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

/// Bound on the wait for a line or an exit; generous, since tests share a busy machine.
const WAIT_LIMIT: Duration = Duration::from_mins(1);
/// Start of the line that tells where a program listens.
const LISTENING: &str = "listening ";

/// A program that this test started; killed when dropped.
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

    /// Starts a command, for instance with an environment of its own, and waits like [`Self::start`].
    pub fn start_command(mut command: Command) -> io::Result<Self> {
        command.stdin(Stdio::null()).stdout(Stdio::piped());
        let mut child = command.spawn()?;
        let stdout = child.stdout.take().ok_or(io::ErrorKind::BrokenPipe)?;
        let (sender, lines) = channel();
        thread::spawn(move || forward_lines(stdout, &sender));
        let unspecified = SocketAddr::from(([0, 0, 0, 0], 0));
        // Built before the wait, so that a program that never gets ready is killed as well.
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

    /// URL of a path on it.
    pub fn url(&self, path: impl AsRef<str>) -> String {
        format!("http://{}{}", self.address, path.as_ref())
    }

    /// Id of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Waits for a line that begins with `prefix` and ends with an address.
    pub fn wait_for_address(&self, prefix: &str) -> io::Result<SocketAddr> {
        let rest = self.wait_for_line(prefix)?;
        rest.trim().parse().map_err(io::Error::other)
    }

    /// Waits for a line that begins with `prefix`; tells the rest of it.
    pub fn wait_for_line(&self, prefix: &str) -> io::Result<String> {
        loop {
            let line = self.lines.recv_timeout(WAIT_LIMIT);
            let line = line.map_err(|error| no_line(prefix, error))?;
            if let Some(rest) = line.strip_prefix(prefix) {
                return Ok(rest.to_owned());
            }
        }
    }

    /// Kills it (SIGKILL), as a host that vanishes would, and waits for its end.
    pub fn kill(&mut self) -> io::Result<ExitStatus> {
        self.child.kill()?;
        self.child.wait()
    }

    /// Freezes it (SIGSTOP), and waits until it stands still: the signal takes its time.
    pub fn pause(&mut self) -> io::Result<()> {
        self.signal(Signal::SIGSTOP)?;
        match waitpid(self.pid()?, Some(WaitPidFlag::WUNTRACED))? {
            WaitStatus::Stopped(..) => Ok(()),
            other => Err(io::Error::other(format!("not frozen: {other:?}"))),
        }
    }

    /// Lets it go on (SIGCONT).
    pub fn resume(&mut self) -> io::Result<()> {
        self.signal(Signal::SIGCONT)
    }

    /// Asks it to end in good order (SIGTERM).
    pub fn terminate(&mut self) -> io::Result<()> {
        self.signal(Signal::SIGTERM)
    }

    /// Waits for its end; an error after a generous bound.
    pub fn wait(&mut self) -> io::Result<ExitStatus> {
        // Its standard output closes as it ends, so the wait is on an event.
        loop {
            match self.lines.recv_timeout(WAIT_LIMIT) {
                Ok(_) => {}
                Err(RecvTimeoutError::Disconnected) => return self.child.wait(),
                Err(RecvTimeoutError::Timeout) => return Err(io::ErrorKind::TimedOut.into()),
            }
        }
    }

    /// Signals it, unless it has ended: its id may by then belong to another process.
    fn signal(&mut self, signal: Signal) -> io::Result<()> {
        if let Some(status) = self.child.try_wait()? {
            return Err(io::Error::other(format!("ended before {signal}: {status}")));
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
        // Fails only if it has ended already, which is what is wanted.
        let _ = self.kill();
    }
}

/// Path of a program of another package, built beside this test.
pub fn sibling_program(name: &str) -> io::Result<PathBuf> {
    let test = env::current_exe()?;
    // Tests lie in `target/<profile>/deps`, programs one folder above.
    let folder = test.parent().and_then(Path::parent);
    let program = folder.ok_or(io::ErrorKind::NotFound)?.join(name);
    if program.is_file() {
        return Ok(program);
    }
    let told = format!(
        "{} is missing: run `cargo build --workspace --bins` first",
        program.display()
    );
    Err(io::Error::new(io::ErrorKind::NotFound, told))
}

fn forward_lines(stdout: ChildStdout, lines: &Sender<String>) {
    for line in BufReader::new(stdout).lines().map_while(Result::ok) {
        // The test may be over; the program's output is still drained, lest it block.
        let _ = lines.send(line);
    }
}

fn no_line(prefix: &str, error: RecvTimeoutError) -> io::Error {
    let told = match error {
        RecvTimeoutError::Timeout => "did not come in time",
        RecvTimeoutError::Disconnected => "did not come before the program's end",
    };
    io::Error::other(format!("line {prefix:?} {told}"))
}
