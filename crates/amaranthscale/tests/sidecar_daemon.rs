//! The sidecar as a separate process.
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
use sidecar_support::{
    FakeBackend, FakeTable, Fixture, fixture, hello, new_entry, open, read_to_end,
};
use tempfile::NamedTempFile;

/// Time for which a sidecar is frozen; shorter than the timeout after which its entry drops the
/// connection.
const FREEZE_DURATION: Duration = Duration::from_millis(400);

const PROGRAM: &str = env!("CARGO_BIN_EXE_amaranth-sidecar");

/// A sidecar's process, killed on drop.
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

    /// Freezes the process and waits until all of its threads have stopped; a thread still running
    /// would process the next message.
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

    async fn wait_until_leaving(&self, entry: &PeerClient) {
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

async fn attempt_for(fixture: &Fixture, daemon: &Daemon, path: &str) -> Dispatch {
    let stamp = hello(&fixture.entry, daemon.address).await;
    Dispatch {
        incarnation: stamp.incarnation,
        ..fixture.attempt(1, path)
    }
}

#[test]
fn check_reports_invalid_settings() {
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
fn print_settings_lists_all_keys() {
    let listed = Command::new(PROGRAM)
        .arg("--print-settings")
        .output()
        .unwrap();

    let listed = String::from_utf8(listed.stdout).unwrap();
    assert!(listed.contains("paid_reserve_slots"), "{listed}");
}

/// Guards against a truncated stream when the platform replaces a host and sends SIGTERM to its
/// sidecar. The process must refuse new attempts, let the stream end and exit with success, having
/// printed nothing but its address.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn sigterm_waits_for_a_stream_to_end() {
    let fixture = fixture().await;
    let file = settings(&fixture.backend, &fixture.table);
    let mut daemon = Daemon::start(file.path());
    let dispatch = attempt_for(&fixture, &daemon, "/stream").await;
    let mut frames = open(&fixture.entry, daemon.address, &dispatch).await;
    frames.next().await.unwrap();

    daemon.terminate();
    daemon.wait_until_leaving(&fixture.entry).await;
    fixture.backend.release_call();
    let rest = read_to_end(frames, dispatch.attempt, 1).await;
    let exit = daemon.child.wait().unwrap();

    assert_eq!(rest.code(), ResultCode::Complete);
    assert!(exit.success());
    let mut more = String::new();
    daemon.stdout.read_to_string(&mut more).unwrap();
    assert_eq!(more, "");
}

/// A backend server hangs while its sidecar drains. A second SIGTERM must end the process with an
/// exit status that shows unfinished work.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn second_sigterm_ends_the_drain() {
    let fixture = fixture().await;
    let file = settings(&fixture.backend, &fixture.table);
    let mut daemon = Daemon::start(file.path());
    let dispatch = attempt_for(&fixture, &daemon, "/held").await;
    let entry = new_entry();
    let _frames = open(&entry, daemon.address, &dispatch).await;
    fixture.backend.wait_for_calls(1).await;

    daemon.terminate();
    daemon.wait_until_leaving(&entry).await;
    daemon.terminate();
    let exit = daemon.child.wait().unwrap();

    assert!(!exit.success());
}

/// Guards against starting an attempt that waited in the socket of a frozen sidecar while its entry
/// sent the work elsewhere. After the freeze the attempt seems to have just arrived, but it must
/// not run because its expiry has passed on the sidecar's clock.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn frozen_sidecar_does_not_start_an_expired_attempt() {
    let fixture = fixture().await;
    let file = settings(&fixture.backend, &fixture.table);
    let daemon = Daemon::start(file.path());
    let mut dispatch = attempt_for(&fixture, &daemon, "/echo").await;
    dispatch.expiry = hello(&fixture.entry, daemon.address)
        .await
        .clock
        .plus(FREEZE_DURATION / 2);

    daemon.freeze();
    let (frames, ()) = tokio::join!(open(&fixture.entry, daemon.address, &dispatch), async {
        tokio::time::sleep(FREEZE_DURATION).await;
        daemon.signal("CONT");
    });
    let refused = read_to_end(frames, dispatch.attempt, 0).await;

    assert_eq!(refused.code(), ResultCode::AttemptExpired);
    assert!(fixture.backend.calls().is_empty());
}
