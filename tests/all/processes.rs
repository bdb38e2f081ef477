//! Runs the shipped programs as processes; the stand-ins that they use run in the test's
//! process.

use passway_standins::cluster::{ClusterPlan, TestCluster, data_hall, instance_id};
use passway_standins::load::{Call, Sample, call};
use passway_standins::platform::process::free_address;
use passway_types::prelude::*;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::json;
use std::collections::HashSet;
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::thread::JoinHandle;

/// Maximum wait for programs to serve, to lead or to report a revision.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
const READY_POLL_INTERVAL: Duration = Duration::from_millis(30);
/// Number of lines of each program's log that a failing test prints.
const PRINTED_LOG_LINES: usize = 40;

/// A running program; dropping it kills the process.
pub struct Program {
    child: Child,
    pub address: SocketAddr,
}

impl Program {
    pub fn signal(&self, signal: Signal) {
        let pid = Pid::from_child(&self.child);
        kill_process(pid, signal).expect("signal");
    }

    /// Waits until the program exits and returns its exit code.
    pub fn exit_code(&mut self) -> Option<i32> {
        self.child.wait().expect("wait").code()
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The router and controller processes of all instances of a world.
pub struct Processes {
    pub controllers: Vec<Program>,
    pub routers: Vec<Program>,
    controller_addresses: Vec<SocketAddr>,
    folder: PathBuf,
    key_value: SocketAddr,
    instance_list: SocketAddr,
    plan: ClusterPlan,
}

impl Processes {
    /// Starts all instances of the world and waits until the routers serve.
    pub fn start(world: &TestCluster) -> Self {
        static FOLDERS: AtomicU8 = AtomicU8::new(0);
        let number = FOLDERS.fetch_add(1, Ordering::Relaxed);
        let folder = std::env::temp_dir().join(format!("passway-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("folder");
        let count = world.plan.instances;
        let mut processes = Self {
            controllers: Vec::new(),
            routers: Vec::new(),
            controller_addresses: (0..count).map(|_| free_address()).collect(),
            folder,
            key_value: world.key_value_address,
            instance_list: world.instance_list_address,
            plan: world.plan.clone(),
        };
        for number in 0..count {
            let controller = processes.start_controller(number);
            processes.controllers.push(controller);
        }
        for number in 0..count {
            let router = processes.start_router(number);
            processes.routers.push(router);
        }
        for router in &processes.routers {
            wait_until_serving(router.address);
        }
        processes
    }

    fn start_controller(&self, number: usize) -> Program {
        let address = self.controller_addresses[number];
        let peers = self
            .controller_addresses
            .iter()
            .filter(|peer| **peer != address);
        let settings = json!({
            "instance": instance_id(number),
            "data_hall": data_hall(number),
            "listen": address,
            "peers": peers.collect::<Vec<_>>(),
            "key_value": self.key_value,
            "instance_list": self.instance_list,
            "lease_ms": self.plan.lease_ms,
            "order_settle_ms": 3_000,
            "key_value_timeout_ms": self.plan.key_value_timeout_ms(1_000),
            "write_patience_ms": self.plan.key_value_timeout_ms(500),
            "log_level": log_level(),
        });
        let program = env!("CARGO_BIN_EXE_passway-controller");
        self.spawn(program, &format!("controller{number}"), &settings, address)
    }

    /// Starts the router of an instance at a new address.
    pub fn start_router(&self, number: usize) -> Program {
        let address = free_address();
        let own_first = self.controller_addresses.iter().cycle().skip(number);
        let controllers = own_first.take(self.controller_addresses.len());
        let settings = json!({
            "instance": instance_id(number),
            "data_hall": data_hall(number),
            "listen": address,
            "controllers": controllers.collect::<Vec<_>>(),
            "key_value": self.key_value,
            "key_value_timeout_ms": self.plan.key_value_timeout_ms(1_000),
            "log_level": log_level(),
        });
        let program = env!("CARGO_BIN_EXE_passway-router");
        self.spawn(program, &format!("router{number}"), &settings, address)
    }

    /// Kills a controller and restarts it at the same address.
    pub fn restart_controller(&mut self, number: usize) {
        self.controllers[number].signal(Signal::KILL);
        self.controllers[number].exit_code();
        self.controllers[number] = self.start_controller(number);
    }

    /// Kills a router, restarts it at a new address and waits until it serves.
    pub fn restart_router(&mut self, number: usize) {
        self.routers[number].signal(Signal::KILL);
        self.routers[number].exit_code();
        self.routers[number] = self.start_router(number);
        wait_until_serving(self.routers[number].address);
    }

    /// Waits until all controllers and at least `routers` routers report `revision` or a newer
    /// one.
    pub fn wait_for_revision(&self, revision: Revision, routers: usize) {
        let deadline_at = Instant::now() + READY_TIMEOUT;
        loop {
            let responses = passway_ctl::queries::statuses(&self.controller_addresses);
            let statuses: Vec<_> = responses
                .iter()
                .filter_map(|(_, status)| status.as_ref())
                .collect();
            let all_controllers_ready = statuses.len() == self.controller_addresses.len()
                && statuses
                    .iter()
                    .all(|status| status.config_revision >= revision);
            let at_revision: HashSet<&str> = statuses
                .iter()
                .flat_map(|status| &status.routers)
                .filter(|router| router.config_revision >= revision)
                .map(|router| router.instance.as_str())
                .collect();
            if all_controllers_ready && at_revision.len() >= routers {
                return;
            }
            assert!(
                Instant::now() < deadline_at,
                "not in force on all instances: {statuses:?}"
            );
            std::thread::sleep(READY_POLL_INTERVAL);
        }
    }

    fn spawn(
        &self,
        program: &str,
        name: &str,
        settings: &serde_json::Value,
        address: SocketAddr,
    ) -> Program {
        let path = self.folder.join(format!("{name}.jsonc"));
        std::fs::write(&path, settings.to_string()).expect("settings");
        let log = std::fs::File::create(self.folder.join(format!("{name}.log"))).expect("log");
        let child = Command::new(program)
            .arg("--settings")
            .arg(&path)
            .stderr(log)
            .stdout(Stdio::null())
            .spawn()
            .expect("spawn");
        Program { child, address }
    }

    /// Prints the last lines of each program's log and whether the program still runs.
    fn print_logs(&mut self) {
        let controllers = self.controllers.iter_mut().enumerate();
        let controllers = controllers.map(|(number, it)| (format!("controller{number}"), it));
        let routers = self.routers.iter_mut().enumerate();
        let routers = routers.map(|(number, it)| (format!("router{number}"), it));
        for (name, program) in controllers.chain(routers) {
            let exit = program.child.try_wait();
            let path = self.folder.join(format!("{name}.log"));
            let log = std::fs::read_to_string(path).unwrap_or_default();
            let lines: Vec<&str> = log.lines().collect();
            let last_lines = &lines[lines.len().saturating_sub(PRINTED_LOG_LINES)..];
            println!("{name} at {}, exit {exit:?}:", program.address);
            for line in last_lines {
                println!("  {line}");
            }
        }
    }

    /// Returns the number of the instance whose controller leads, according to the logs.
    pub fn leader(&self) -> usize {
        let deadline_at = Instant::now() + READY_TIMEOUT;
        loop {
            let epochs = (0..self.controllers.len()).map(|number| {
                let path = self.folder.join(format!("controller{number}.log"));
                let log = std::fs::read_to_string(path).unwrap_or_default();
                let takeovers = log.lines().filter(|line| line.contains("event=took_over"));
                let epochs = takeovers.filter_map(|line| {
                    line.split("number=")
                        .nth(1)?
                        .split(' ')
                        .next()?
                        .parse::<u64>()
                        .ok()
                });
                (epochs.max(), number)
            });
            if let Some((Some(_), number)) = epochs.max() {
                return number;
            }
            assert!(Instant::now() < deadline_at, "no controller leads");
            std::thread::sleep(READY_POLL_INTERVAL);
        }
    }
}

impl Drop for Processes {
    fn drop(&mut self) {
        if std::thread::panicking() {
            self.print_logs();
        }
        // If the removal fails, the folder only occupies disk space.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Returns the level at which the programs log: the variable `PASSWAY_LOG`, or else `info`, which
/// [`Processes::leader`] needs.
fn log_level() -> String {
    std::env::var("PASSWAY_LOG").unwrap_or_else(|_| "info".into())
}

/// Waits until a router's health check reports that it serves.
pub fn wait_until_serving(address: SocketAddr) {
    let deadline_at = Instant::now() + READY_TIMEOUT;
    while health(address) != Some(200) {
        assert!(Instant::now() < deadline_at, "{address} does not serve");
        std::thread::sleep(READY_POLL_INTERVAL);
    }
}

/// Returns the HTTP status of a router's health check; `None` without a connection or an
/// answer.
pub fn health(address: SocketAddr) -> Option<u16> {
    TcpStream::connect(address).ok()?;
    let answer = ureq::get(format!("http://{address}/health"))
        .config()
        .http_status_as_error(false)
        .build()
        .call();
    answer.ok().map(|answer| answer.status().as_u16())
}

/// Sends a request in a new thread, which returns the sample.
pub fn send_request(
    router: SocketAddr,
    model: &str,
    number: usize,
    tokens: u32,
) -> JoinHandle<Sample> {
    let request = Call {
        router,
        model: model.into(),
        workspace: "default".into(),
        prompt: format!("question {number}"),
        tokens,
        stream: number.is_multiple_of(2),
        deadline: Duration::from_secs(20),
    };
    std::thread::spawn(move || call(&request))
}
