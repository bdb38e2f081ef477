//! An instance of passway as a separate process, with the command of the deploy file.

use crate::http::{call, free_address};
use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// The command of `deploy/system.toml`; it runs at the root of the repository.
const COMMAND: &str = "target/release/passway-instance";

pub struct Instance {
    pub name: String,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    child: Child,
    settings: PathBuf,
    log: PathBuf,
}

impl Drop for Instance {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn spawn(settings: &Path, log: &Path) -> Child {
    let log = File::options()
        .create(true)
        .append(true)
        .open(log)
        .expect("opening a log");
    Command::new(COMMAND)
        .env("PASSWAY_BOOT", settings)
        .stdout(Stdio::from(log.try_clone().expect("cloning a log")))
        .stderr(Stdio::from(log))
        .spawn()
        .expect("starting passway-instance")
}

impl Instance {
    /// Starts instance `number` of a small deployment; `bounds` are lines of the settings.
    pub fn start(number: u8, zone: &str, store: SocketAddr, bounds: &str, folder: &Path) -> Self {
        let ip = [127, 0, 0, 10 + number];
        let (callers, ready, control) = (free_address(ip), free_address(ip), free_address(ip));
        let (peers, last) = (free_address(ip).port(), free_address(ip).port());
        let name = format!("frontend-{zone}-{number}");
        let ip = callers.ip();
        let text = format!(
            "node_name = \"{name}\"\nrole = \"instance\"\nmachine_class = \"frontend\"\n\
             serves = [\"frontend\"]\nip = \"{ip}\"\nzone = \"{zone}\"\nregion = \"home\"\n\
             internal_ports = [{peers},{last}]\nbootstrap = true\ndiscovery = \"platform\"\n\
             heartbeat_ms = 1200\n[zones]\nhall-a = \"home\"\nhall-b = \"home\"\nhall-c = \"home\"\n\
             [listen_addrs]\nfrontend = \"{callers}\"\nready = \"{ready}\"\ncontrol = \"{control}\"\n\
             [limits]\ncpu_share = 0.25\ncpu_cores = 1\nmemory_mb = 260\nmax_fds = 4100\n\
             [bounds]\n{bounds}\n\
             [platform]\naddress = \"{store}\"\nform = \"kv\"\nwrites_per_s = 400\n\
             reads_per_s = 2000\nhistory_s = 20\nvalue_bytes = 1048576\nttl_min_ms = 1000\n"
        );
        let settings = folder.join(format!("{name}.toml"));
        std::fs::write(&settings, text).expect("writing settings");
        let log = folder.join(format!("{name}.log"));
        Self {
            child: spawn(&settings, &log),
            name,
            callers,
            ready,
            settings,
            log,
        }
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Kills the process and starts it again after a delay with the same settings.
    pub fn kill_and_restart(&mut self, delay: Duration) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        std::thread::sleep(delay);
        self.child = spawn(&self.settings, &self.log);
    }

    /// Waits until the readiness probe is answered with 200.
    pub fn wait_until_ready(&self, patience: Duration) -> bool {
        let until = Instant::now() + patience;
        let probe = b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        while Instant::now() < until {
            let answer = call(self.ready, probe, Duration::from_secs(1));
            if answer.is_some_and(|(answer, _)| answer.status() == 200) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Resident memory in bytes.
    pub fn resident_bytes(&self) -> usize {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.pid()));
        let status = status.unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kilobytes = line.and_then(|value| value.split_whitespace().next()?.parse().ok());
        kilobytes.map_or(0, |kilobytes: usize| kilobytes << 10)
    }
}
