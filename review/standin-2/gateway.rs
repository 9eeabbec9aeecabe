//! Starts the project's gateway as the deploy file does.

use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Connection;

/// Ids of the processes that were started and may still run.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

pub struct Gateway {
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    first_port: u16,
    zone: String,
    memory_mb: u32,
    store: SocketAddr,
    root: String,
    folder: PathBuf,
    child: Option<Child>,
    starts: usize,
}

impl Gateway {
    pub fn new(number: usize, zone: &str, memory_mb: u32, store: SocketAddr, root: &str) -> Self {
        let folder = base_folder().join(number.to_string());
        fs::create_dir_all(&folder).unwrap();
        let (front, ready, first_port) = free_ports();
        Self {
            name: format!("front-{zone}-{number}"),
            front: format!("127.0.0.1:{front}").parse().unwrap(),
            ready: format!("127.0.0.1:{ready}").parse().unwrap(),
            first_port,
            zone: zone.to_owned(),
            memory_mb,
            store,
            root: root.to_owned(),
            folder,
            child: None,
            starts: 0,
        }
    }

    /// Starts the process with the command of the deploy file. If another program has taken its ports
    /// meanwhile, it gets others.
    pub fn start(&mut self) -> Result<(), String> {
        for _ in 0..5 {
            self.spawn()?;
            thread::sleep(Duration::from_millis(150));
            let has_ended = |child: &mut Child| child.try_wait().is_ok_and(|ended| ended.is_some());
            if !self.child.as_mut().is_some_and(has_ended) {
                return Ok(());
            }
            self.kill();
            let (front, ready, first_port) = free_ports();
            self.front.set_port(front);
            self.ready.set_port(ready);
            self.first_port = first_port;
        }
        Err("the gateway ends at its start".to_owned())
    }

    fn spawn(&mut self) -> Result<(), String> {
        let settings = self.folder.join("boot.conf");
        fs::write(&settings, self.settings()).map_err(|error| error.to_string())?;
        self.starts += 1;
        let log = File::create(self.folder.join(format!("{}.log", self.starts)))
            .map_err(|error| error.to_string())?;
        let errors = log.try_clone().map_err(|error| error.to_string())?;
        let variable = |name: &str| std::env::var(name).unwrap_or_default();
        let child = Command::new("target/release/amaranth-gateway")
            .arg("gateway")
            .current_dir(&self.root)
            .env_clear()
            .env("PATH", variable("PATH"))
            .env("HOME", variable("HOME"))
            .env("AMARANTHSCALE_BOOT", &settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .map_err(|error| error.to_string())?;
        RUNNING.lock().unwrap().push(child.id());
        self.child = Some(child);
        Ok(())
    }

    /// Waits until the process says that it is ready.
    pub fn until_ready(&self, longest: Duration) -> bool {
        let started = Instant::now();
        while started.elapsed() < longest {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    pub fn is_ready(&self) -> bool {
        let Ok(mut connection) = Connection::open(self.ready) else {
            return false;
        };
        let _ = connection.stream.set_read_timeout(Some(Duration::from_secs(1)));
        connection.write(b"GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n");
        connection.head().is_some_and(|head| head.status() == 200)
    }

    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Memory in use, in bytes.
    pub fn memory(&self) -> Option<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.id()?)).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
        let kilobytes: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
        Some(kilobytes * 1024)
    }

    /// Ends the process as the platform does with one that exceeds its memory.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            RUNNING.lock().unwrap().retain(|id| *id != child.id());
        }
    }

    fn settings(&self) -> String {
        let Self { name, front, ready, first_port, zone, memory_mb, store, .. } = self;
        let (last_port, bootstrap) = (first_port + 1, self.starts == 0);
        format!(
            "node_name={name}\nrole=gateway\nmachine_class=front\nserves=front\nip=127.0.0.1\n\
            zone={zone}\nregion=delta-south\nzones.{zone}=delta-south\nbind.front={front}\n\
            bind.ready={ready}\nport_range={first_port},{last_port}\nbootstrap={bootstrap}\n\
            in_tolerance=false\nlimits.cpu_share=0.19\nlimits.cores=1\nlimits.memory_mb={memory_mb}\n\
            limits.max_fds=4100\nlimits.bandwidth_mbps=1000.0\nlimits.disk_mb=0\n\
            discovery=platform\nentry=vip\nheartbeat_ms=1200\n\
            contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform,stages\n\
            bounds.seed_lag_s=3\nbounds.addr_reuse_s=2\nbounds.stable_ms=3000\nbounds.ack_ms=4000\n\
            bounds.catch_up_s=4\nbounds.drain_ms=2000\nbounds.grace_s=8\nbounds.loss_slack_ms=200\n\
            bounds.config_apply_ms=2000\nbounds.rollback_slack_ms=250\nbounds.stretch_max_ms=5000\n\
            bounds.strict_revoke=true\nbounds.revoke_ms=5000\nbounds.retry_budget_ratio=0.2\n\
            bounds.budget_window_s=10\nbounds.retry_slack=56\nbounds.recover_s=12\nbounds.pass_ms=120\n\
            bounds.again_s=9.9\nplatform.addr={store}\nplatform.form=table\nplatform.writes_per_s=400\n\
            platform.reads_per_s=2000\nplatform.tx_ms=5.0\nplatform.part_writes_s=200\n\
            platform.row_bytes=65536\nplatform.across=false\nplatform.history_s=20\n\
            platform.blob_bytes=8388608\nplatform.blob_ms=25.0\nplatform.blob_mb_s=80.0\n"
        )
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}

fn base_folder() -> PathBuf {
    std::env::temp_dir().join(format!("standin-2-{}", std::process::id()))
}

/// Ends all processes that were started, and removes their files.
pub fn kill_all() {
    for id in RUNNING.lock().unwrap().drain(..) {
        let _ = Command::new("kill").arg("-KILL").arg(id.to_string()).status();
    }
    if std::env::var("KEEP_LOGS").is_err() {
        let _ = fs::remove_dir_all(base_folder());
    }
}

/// A port for clients, one for the readiness check, and the first of two neighbouring ones. All are
/// below those that outgoing connections get.
fn free_ports() -> (u16, u16, u16) {
    static TRIED: AtomicU32 = AtomicU32::new(0);
    loop {
        let tried = TRIED.fetch_add(1, Ordering::Relaxed);
        let seed = std::process::id().wrapping_mul(7_919).wrapping_add(tried.wrapping_mul(4));
        let first = 12_000 + u16::try_from(seed % 4_500).unwrap_or(0) * 4;
        let bind = |port: u16| TcpListener::bind(format!("127.0.0.1:{port}"));
        if (first..first + 4).map(bind).all(|bound| bound.is_ok()) {
            return (first + 2, first + 3, first);
        }
    }
}
