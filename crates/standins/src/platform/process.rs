//! An instance as a process of its own.

use anyhow::{Context, Result};
use rustix::process::{Pid, Signal, kill_process};
use std::fs::File;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};

/// A port that the kernel chose, on a loopback address that this process alone uses,
/// so that nobody takes the port between here and the program's start.
///
/// # Panics
/// If no port can be bound.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let [high, low] = [
        std::process::id() / 250 % 250 + 1,
        std::process::id() % 250 + 1,
    ];
    let last = NEXT.fetch_add(1, Ordering::Relaxed);
    let ip = format!("127.{high}.{low}.{last}:0");
    let listener = TcpListener::bind(ip).expect("bind");
    listener.local_addr().expect("address")
}

/// Time within which keys that were taken away stop.
pub const REVOKE_MS: u64 = 3_000;
/// Window of allotments, in seconds.
pub const QUOTA_WINDOW_S: u64 = 8;
/// Units that a workspace may use beyond its allotment in a window, beside a tenth of it.
pub const QUOTA_SLACK: u32 = 2_000;

/// What an instance is started with.
#[derive(Debug, Clone)]
pub struct ProcessConfig {
    /// The program's file.
    pub executable: PathBuf,
    /// The instance's name; no two of a process share one.
    pub name: String,
    /// Where it reaches the store.
    pub store: SocketAddr,
    /// Time from SIGTERM to the end, in seconds.
    pub grace_s: f64,
    /// More arguments.
    pub arguments: Vec<String>,
    /// Where its lines go.
    pub output: Output,
}

/// Where an instance's lines go.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// Nowhere.
    Null,
    /// Into a pipe that nobody reads.
    Unread,
    /// Behind what a file holds.
    File(PathBuf),
}

/// The process; it is killed when this is dropped.
#[derive(Debug)]
pub struct InstanceProcess {
    /// The process.
    pub child: Child,
    /// Where callers connect.
    pub callers_address: SocketAddr,
    /// Where the balancer asks.
    pub readiness_address: SocketAddr,
    plan: ProcessConfig,
    settings: PathBuf,
}

impl Drop for InstanceProcess {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
        // Left behind it only wastes room.
        let _ = std::fs::remove_file(&self.settings);
    }
}

fn spawn(plan: &ProcessConfig, settings: &PathBuf) -> Result<Child> {
    let output = match &plan.output {
        Output::Null => Stdio::null(),
        Output::Unread => Stdio::piped(),
        Output::File(path) => {
            let file = File::options().create(true).append(true).open(path);
            Stdio::from(file.with_context(|| format!("opening {}", path.display()))?)
        }
    };
    Command::new(&plan.executable)
        .args(&plan.arguments)
        .env("PASSWAY_BOOT", settings)
        .stdout(output)
        .stderr(Stdio::null())
        .spawn()
        .with_context(|| format!("starting {}", plan.executable.display()))
}

impl InstanceProcess {
    /// Starts an instance, without waiting for it, on addresses that the kernel chooses.
    ///
    /// # Errors
    /// If its files cannot be written or it cannot be started.
    pub fn start(plan: ProcessConfig) -> Result<Self> {
        let (callers_address, readiness_address, peers) =
            (free_address(), free_address(), free_address());
        let text = format!(
            "node_name = \"{}\"\nzone = \"hall0\"\nip = \"{}\"\ninternal_ports = [{}, 1]\n\
            [listen_addrs]\nfrontend = \"{callers_address}\"\nready = \"{readiness_address}\"\n\
            [bounds]\ngrace_s = {}\nretry_budget_ratio = 0.2\nretry_slack = 52\n\
            retry_window_s = 10\nlease_ms = 3000\nstrict_revoke = true\nrevoke_ms = {REVOKE_MS}\n\
            quota_window_s = {QUOTA_WINDOW_S}\nquota_overage = 0.1\nquota_slack = {QUOTA_SLACK}\n\
            [platform]\naddress = \"{}\"\nttl_min_ms = 1000\n",
            plan.name,
            peers.ip(),
            peers.port(),
            plan.grace_s,
            plan.store,
        );
        let file = format!("passway-{}-{}.toml", plan.name, std::process::id());
        let settings = std::env::temp_dir().join(file);
        std::fs::write(&settings, text).context("settings")?;
        let child = spawn(&plan, &settings)?;
        Ok(Self {
            child,
            callers_address,
            readiness_address,
            plan,
            settings,
        })
    }

    /// Starts it again after its end, on the same addresses.
    ///
    /// # Errors
    /// If it cannot be started.
    pub fn restart(&mut self) -> Result<()> {
        self.child = spawn(&self.plan, &self.settings)?;
        Ok(())
    }

    /// Sends a signal; one that has ended already hears nothing.
    pub fn signal(&self, signal: Signal) {
        let _ = kill_process(Pid::from_child(&self.child), signal);
    }

    /// What the balancer is told; `None` without an answer.
    pub fn readiness_status(&self) -> Option<u16> {
        TcpStream::connect(self.readiness_address).ok()?;
        let question = b"GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        super::caller::fetch(self.readiness_address, question).map(|answer| answer.status)
    }

    /// Resident memory, in bytes; 0 of a process that has ended.
    pub fn resident_bytes(&self) -> usize {
        let status = format!("/proc/{}/status", self.child.id());
        let status = std::fs::read_to_string(status).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kilobytes = line.and_then(|rest| rest.split_whitespace().next()?.parse().ok());
        kilobytes.map_or(0, |kilobytes: usize| kilobytes << 10)
    }
}
