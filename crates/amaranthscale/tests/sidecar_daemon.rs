//! The sidecar as a process of its own.
#![expect(
    clippy::unwrap_used,
    reason = "fixtures fail by panicking, like the tests that use them"
)]

#[path = "support/sidecar_support.rs"]
mod sidecar_support;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use amaranthscale::connection::PeerClient;
use amaranthscale_core::ResultCode;
use amaranthscale_core::wire::Dispatch;
use nix::sys::wait::{WaitPidFlag, WaitStatus, waitpid};
use nix::unistd::Pid;
use sidecar_support::{Bench, FakeBackend, FakeTable, bench, hello, new_entry, open, whole};
use tempfile::NamedTempFile;

/// How long a sidecar is frozen: shorter than the silence at which its entry drops the connection.
const FROZEN: Duration = Duration::from_millis(400);

const PROGRAM: &str = env!("CARGO_BIN_EXE_amaranth-sidecar");

/// A sidecar's process; it is killed with the test.
struct Daemon {
    child: Child,
    address: SocketAddr,
    stdout: BufReader<std::process::ChildStdout>,
}

impl Daemon {
    fn start(settings: &Path) -> Self {
        let mut child = Command::new(PROGRAM)
            .arg("--config")
            .arg(settings)
            .args(["--listen", "127.0.0.1:0"])
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let mut stdout = BufReader::new(child.stdout.take().unwrap());
        let mut line = String::new();
        stdout.read_line(&mut line).unwrap();
        let address = line.trim().strip_prefix("listening ").unwrap();
        Self {
            address: address.parse().unwrap(),
            child,
            stdout,
        }
    }

    fn terminate(&self) {
        self.signal("TERM");
    }

    /// Freezes the process, and waits until all of its threads stand still: one that had not yet
    /// would take what is sent next, as if nothing had frozen.
    fn freeze(&self) {
        self.signal("STOP");
        let process = Pid::from_raw(i32::try_from(self.child.id()).unwrap());
        let status = waitpid(process, Some(WaitPidFlag::WUNTRACED)).unwrap();
        assert!(matches!(status, WaitStatus::Stopped(..)), "{status:?}");
    }

    fn signal(&self, name: &str) {
        let process = self.child.id().to_string();
        let kill = Command::new("kill").args(["-s", name, &process]).status();
        assert!(kill.unwrap().success());
    }

    async fn until_leaving(&self, entry: &PeerClient) {
        while !hello(entry, self.address).await.is_leaving {
            tokio::task::yield_now().await;
        }
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn settings(backend: &FakeBackend, table: &FakeTable) -> NamedTempFile {
    let mut file = NamedTempFile::new().unwrap();
    write!(
        file,
        "[sidecar]\nhost = weighbridge-1\nregion = delta-south\nzone = north-yard\n\
         service = scalehouse\nbackend = {}\nplatform = {}\n[queue]\nslots = 1\n\
         paid_reserve_slots = 0\n",
        backend.address(),
        table.address()
    )
    .unwrap();
    file
}

async fn attempt_for(bench: &Bench, daemon: &Daemon, path: &str) -> Dispatch {
    let stamp = hello(&bench.entry, daemon.address).await;
    Dispatch {
        incarnation: stamp.incarnation,
        ..bench.attempt(1, path)
    }
}

#[test]
fn checks_its_settings() {
    let mut file = NamedTempFile::new().unwrap();
    write!(file, "[sidecar]\nhost = weighbridge-1\nslots = many\n").unwrap();

    let checked = Command::new(PROGRAM)
        .arg("--config")
        .arg(file.path())
        .arg("--check")
        .output()
        .unwrap();

    assert_eq!(checked.status.code(), Some(2));
    assert!(!checked.stderr.is_empty());
}

#[test]
fn lists_its_settings() {
    let listed = Command::new(PROGRAM)
        .arg("--print-settings")
        .output()
        .unwrap();

    let listed = String::from_utf8(listed.stdout).unwrap();
    assert!(listed.contains("paid_reserve_slots"), "{listed}");
}

/// The platform replaces a host and sends its sidecar SIGTERM while a summary streams.
/// The caseworker must get the whole summary. The process takes nothing new, lets the stream end
/// and exits cleanly, having printed nothing but its address.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn sigterm_lets_a_stream_end() {
    let bench = bench().await;
    let file = settings(&bench.backend, &bench.table);
    let mut daemon = Daemon::start(file.path());
    let dispatch = attempt_for(&bench, &daemon, "/stream").await;
    let mut frames = open(&bench.entry, daemon.address, &dispatch).await;
    frames.next().await.unwrap();

    daemon.terminate();
    daemon.until_leaving(&bench.entry).await;
    bench.backend.let_go();
    let rest = whole(frames, dispatch.attempt, 1).await;
    let exit = daemon.child.wait().unwrap();

    assert_eq!(rest.code(), ResultCode::Complete);
    assert!(exit.success());
    let mut more = String::new();
    daemon.stdout.read_to_string(&mut more).unwrap();
    assert_eq!(more, "");
}

/// A backend server hangs while its sidecar drains, and the operator loses patience.
/// The second SIGTERM ends the process, which says by its exit status that work was left.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn second_sigterm_ends_the_drain() {
    let bench = bench().await;
    let file = settings(&bench.backend, &bench.table);
    let mut daemon = Daemon::start(file.path());
    let dispatch = attempt_for(&bench, &daemon, "/held").await;
    let entry = new_entry();
    let _frames = open(&entry, daemon.address, &dispatch).await;
    bench.backend.called(1).await;

    daemon.terminate();
    daemon.until_leaving(&entry).await;
    daemon.terminate();
    let exit = daemon.child.wait().unwrap();

    assert!(!exit.success());
}

/// A host freezes with an attempt in its sidecar's socket, and wakes when all is over.
/// The entry has long sent the work elsewhere. The sidecar wakes believing that the attempt has
/// just come in, but its expiry has passed on the sidecar's own clock, and it does not run.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn frozen_sidecar_does_not_start_what_has_expired() {
    let bench = bench().await;
    let file = settings(&bench.backend, &bench.table);
    let daemon = Daemon::start(file.path());
    let mut dispatch = attempt_for(&bench, &daemon, "/echo").await;
    dispatch.expiry = hello(&bench.entry, daemon.address)
        .await
        .clock
        .plus(FROZEN / 2);

    daemon.freeze();
    let (frames, ()) = tokio::join!(open(&bench.entry, daemon.address, &dispatch), async {
        tokio::time::sleep(FROZEN).await;
        daemon.signal("CONT");
    });
    let refused = whole(frames, dispatch.attempt, 0).await;

    assert_eq!(refused.code(), ResultCode::AttemptExpired);
    assert!(bench.backend.calls().is_empty());
}
