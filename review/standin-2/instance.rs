//! A process of passway: `target/release/passway-instance`, as the deploy file runs it.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::http;

/// The program of the deploy file, relative to the repository's root.
const PROGRAM: &str = "target/release/passway-instance";

/// A running instance; it is killed when dropped.
pub struct Instance {
    child: Option<Child>,
    root: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    /// Names the process while it runs, so that run.sh can end it.
    pid_file: PathBuf,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
}

fn free_port(ip: &str) -> u16 {
    let listener = TcpListener::bind((ip, 0)).expect("a free port");
    listener.local_addr().expect("its address").port()
}

impl Instance {
    /// Writes the settings of an instance and starts it. `ip` is a loopback address of its own.
    pub fn start(root: &Path, folder: &Path, name: &str, ip: &str, store: SocketAddr) -> Self {
        let [callers, ready, control, peers] = [(); 4].map(|()| free_port(ip));
        let text = format!(
            r#"node_name = "{name}"
role = "instance"
machine_class = "frontend"
serves = ["frontend"]
ip = "{ip}"
zone = "hall-a"
region = "region-a"
internal_ports = [{peers},{peers}]
seed_nodes = []
bootstrap = true
counts_loss = false
discovery = "platform"
entry = "virtual_ip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","fleet","stream","engine","platform"]
[zones]
hall-a = "region-a"
[listen_addrs]
frontend = "{ip}:{callers}"
ready = "{ip}:{ready}"
control = "{ip}:{control}"
[limits]
cpu_share = 1.0
cpu_cores = 1
memory_mb = 260
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seed_lag_s = 3
addr_reuse_s = 2
contact_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
rollback_slack_ms = 250
skew_max_ms = 5000
retry_budget_ratio = 0.2
retry_window_s = 10
retry_slack = 52
recovery_s = 12
pass_ms = 120
retry_after_s = 0
require_fence = false
lease_ms = 3000
thaw_slack_ms = 300
ceiling_window_s = 5
ceiling_overage = 1.1
[platform]
address = "{store}"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
"#
        );
        let settings = folder.join(format!("{name}.toml"));
        std::fs::write(&settings, text).expect("the settings file");
        let address = |port| SocketAddr::new(ip.parse().expect("an address"), port);
        let mut instance = Self {
            child: None,
            root: root.to_owned(),
            settings,
            log: folder.join(format!("{name}.log")),
            pid_file: folder.join(format!("{name}.pid")),
            callers: address(callers),
            ready: address(ready),
        };
        instance.spawn();
        instance
    }

    /// Starts the process, again after a kill.
    pub fn spawn(&mut self) {
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(&self.log);
        let log = log.expect("the log file");
        let errors = log.try_clone().expect("the log file");
        let child = Command::new(self.root.join(PROGRAM))
            .current_dir(&self.root)
            .env_clear()
            .env("PATH", "/usr/bin:/bin")
            .env("PASSWAY_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn();
        let child = child.expect("the program of the deploy file");
        std::fs::write(&self.pid_file, child.id().to_string()).expect("the pid file");
        self.child = Some(child);
    }

    /// Kills the process as SIGKILL does.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            let _ = std::fs::remove_file(&self.pid_file);
        }
    }

    pub fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.ready) else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
        http::write(
            &mut stream,
            b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n",
        );
        let answer = http::read_message(&mut stream, &mut Vec::new());
        answer.is_some_and(|answer| answer.target() == "200")
    }

    /// Waits until the instance says that it is ready.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// The lines of the log that hold `text`.
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let log = std::fs::read_to_string(&self.log).unwrap_or_default();
        let lines = log.lines().filter(|line| line.contains(text));
        lines.map(str::to_owned).collect()
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.kill();
    }
}
