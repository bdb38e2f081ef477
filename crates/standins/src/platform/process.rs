//! Runs an instance as a separate process.

use anyhow::{Context, Result};
use rustix::process::{Pid, Signal, kill_process};
use std::fs::File;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};

/// Returns an address with a free port that the kernel chose. Its loopback IP is used by this
/// process alone, so no other process takes the port before the program has started.
///
/// # Panics
/// If no port can be bound.
pub fn free_address() -> SocketAddr {
    static NEXT_HOST: AtomicU8 = AtomicU8::new(1);
    let [second_octet, third_octet] = [
        std::process::id() / 250 % 250 + 1,
        std::process::id() % 250 + 1,
    ];
    let host = NEXT_HOST.fetch_add(1, Ordering::Relaxed);
    let ip = format!("127.{second_octet}.{third_octet}.{host}:0");
    let listener = TcpListener::bind(ip).expect("binding a free port");
    listener.local_addr().expect("reading the bound address")
}

/// Maximum time for which a revoked API key is still accepted, in milliseconds.
pub const REVOKE_MS: u64 = 3_000;
/// Window of the workspaces' allotments, in seconds.
pub const QUOTA_WINDOW_S: u64 = 8;
/// Units that a workspace may use in a window beyond its allotment plus a tenth of it.
pub const QUOTA_SLACK: u32 = 2_000;
/// Retries for each request, for the whole fleet.
pub const RETRY_RATIO: f64 = 0.2;
/// Retries in a window independent of the number of requests, for the whole fleet.
pub const RETRY_SLACK: f64 = 52.0;
/// The window of the retry budget, in seconds.
pub const RETRY_WINDOW_S: f64 = 10.0;

/// Parameters of an instance's process.
#[derive(Debug, Clone)]
pub struct ProcessConfig {
    /// Path of the instance's executable.
    pub executable: PathBuf,
    /// Name of the instance, unique within this process.
    pub name: String,
    /// Address of the metadata store.
    pub store: SocketAddr,
    /// Grace period from SIGTERM to the exit, in seconds.
    pub grace_s: f64,
    /// Command line arguments.
    pub arguments: Vec<String>,
    /// Destination of the process's standard output, i.e. of its log lines.
    pub output: Output,
}

/// Destination of an instance's log lines.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// The log lines are discarded.
    Null,
    /// A pipe that nothing reads.
    Unread,
    /// The log lines are appended to this file.
    File(PathBuf),
}

/// Returns the status code of the readiness probe at an address; `None` without an answer.
pub fn readiness_status(address: SocketAddr) -> Option<u16> {
    TcpStream::connect(address).ok()?;
    let probe = b"GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    super::caller::fetch(address, probe).map(|answer| answer.status)
}

/// A running instance; dropping it kills the process.
#[derive(Debug)]
pub struct InstanceProcess {
    /// The child process.
    pub child: Child,
    /// The address that callers connect to.
    pub callers_address: SocketAddr,
    /// The address of the load balancer's readiness probe.
    pub readiness_address: SocketAddr,
    config: ProcessConfig,
    settings_path: PathBuf,
}

impl Drop for InstanceProcess {
    fn drop(&mut self) {
        // Fails if the process has already exited, which is fine.
        let _ = self.child.kill();
        let _ = self.child.wait();
        // If this fails, the file only wastes disk space.
        let _ = std::fs::remove_file(&self.settings_path);
    }
}

fn spawn(config: &ProcessConfig, settings_path: &PathBuf) -> Result<Child> {
    let output = match &config.output {
        Output::Null => Stdio::null(),
        Output::Unread => Stdio::piped(),
        Output::File(path) => {
            let log_file = File::options().create(true).append(true).open(path);
            Stdio::from(log_file.with_context(|| format!("opening {}", path.display()))?)
        }
    };
    Command::new(&config.executable)
        .args(&config.arguments)
        .env("PASSWAY_BOOT", settings_path)
        .stdout(output)
        .stderr(Stdio::null())
        .spawn()
        .with_context(|| format!("starting {}", config.executable.display()))
}

impl InstanceProcess {
    /// Starts an instance on addresses that the kernel chooses; doesn't wait until it is ready.
    ///
    /// # Errors
    /// If the settings file cannot be written or the process cannot be started.
    pub fn start(config: ProcessConfig) -> Result<Self> {
        let (callers_address, readiness_address, peers) =
            (free_address(), free_address(), free_address());
        let text = format!(
            "node_name = \"{}\"\nzone = \"hall0\"\nip = \"{}\"\ninternal_ports = [{}, 1]\n\
            [listen_addrs]\nfrontend = \"{callers_address}\"\nready = \"{readiness_address}\"\n\
            [bounds]\ngrace_s = {}\nretry_budget_ratio = {RETRY_RATIO}\nretry_slack = {RETRY_SLACK}\n\
            retry_window_s = {RETRY_WINDOW_S}\nlease_ms = 3000\nstrict_revoke = true\nrevoke_ms = {REVOKE_MS}\n\
            quota_window_s = {QUOTA_WINDOW_S}\nquota_overage = 0.1\nquota_slack = {QUOTA_SLACK}\n\
            [platform]\naddress = \"{}\"\nttl_min_ms = 1000\n",
            config.name,
            peers.ip(),
            peers.port(),
            config.grace_s,
            config.store,
        );
        let file_name = format!("passway-{}-{}.toml", config.name, std::process::id());
        let settings_path = std::env::temp_dir().join(file_name);
        std::fs::write(&settings_path, text).context("writing the settings file")?;
        let child = spawn(&config, &settings_path)?;
        Ok(Self {
            child,
            callers_address,
            readiness_address,
            config,
            settings_path,
        })
    }

    /// Starts the process again after it has exited, with the same settings and addresses.
    ///
    /// # Errors
    /// If the process cannot be started.
    pub fn restart(&mut self) -> Result<()> {
        self.child = spawn(&self.config, &self.settings_path)?;
        Ok(())
    }

    /// Sends a signal; without effect if the process has exited.
    pub fn signal(&self, signal: Signal) {
        let _ = kill_process(Pid::from_child(&self.child), signal);
    }

    /// Returns the status code of the readiness probe; `None` without an answer.
    pub fn readiness_status(&self) -> Option<u16> {
        readiness_status(self.readiness_address)
    }

    /// Returns the resident memory, in bytes; 0 if the process has exited.
    pub fn resident_bytes(&self) -> usize {
        let status = format!("/proc/{}/status", self.child.id());
        let status = std::fs::read_to_string(status).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kilobytes = line.and_then(|value| value.split_whitespace().next()?.parse().ok());
        kilobytes.map_or(0, |kilobytes: usize| kilobytes << 10)
    }
}
