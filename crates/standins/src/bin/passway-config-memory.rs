//! Measures the memory that one instance uses for its configuration and its fleet, with a counting
//! allocator.
//!
//! The cases are the decoded table, the servers in the store and the planner's view of them, the
//! log of changes that the holder of the leadership retains for instances that connect, and the
//! queues to instances that do not read.

use anyhow::{Context, Result};
use clap::Parser;
use passway_instance::feed_log::FeedLog;
use passway_instance::relay::CONFIGURATION_FEED;
use passway_instance::updates::FeedUpdate;
use passway_process::outbox::Outbox;
use passway_serving::placement::policy::PolicyName;
use passway_serving::placement::{DEFAULT_LOAD_WINDOW, Planner};
use passway_serving::ports::{Directory, StoreChange, StoreRevision, StoredValue};
use passway_serving::routes::{CallerLimits, EnginePool, ModelSpec, RouteTable, Service};
use passway_serving::upstreams::{ModelRef, UpstreamEntry, UpstreamTable};
use passway_types::clock;
use passway_users_platform::PlatformDirectory;
use passway_wire::{Body, Frame, Link};
use peak_alloc::PeakAlloc;
use rustix::net::sockopt::{set_socket_recv_buffer_size, set_socket_send_buffer_size};
use serde_json::json;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

#[global_allocator]
static ALLOCATOR: PeakAlloc = PeakAlloc;

/// Service that all servers belong to.
const ENGINES: &str = "engines";
/// Number of models in the target fleet.
const MODELS: usize = 730;
/// Number of models on a server's accelerators. This number and the next two are on the high side:
/// the largest servers of the users hold 150 GB of checkpoints in memory and 1.3 TB on disk, and
/// this program assumes 10 GB per checkpoint.
const RESIDENT: usize = 6;
/// Number of models in a server's host memory.
const IN_MEMORY: usize = 15;
/// Number of models on a server's disk.
const ON_DISK: usize = 130;
/// Key of the configuration in the platform's store.
const KEY: &str = "op/config";
/// Routes of the configuration that is sent to peers. Its size is about the maximum size of a value
/// in the store.
const SENT_ROUTES: usize = 5_000;
/// Socket buffers of a connection. The platform's links have small windows; the kernel's default
/// buffers (4 MB) would hold bytes that otherwise stay in the queues to be measured.
const SOCKET_BUFFER_BYTES: usize = 16 << 10;
/// Delay between sending and measuring the queues, below the 2 s after which an instance
/// disconnects a peer that does not read.
const QUEUE_FILL_DELAY: Duration = Duration::from_millis(500);

/// Prints the retained bytes and the peak of the bytes in use for each case.
#[derive(Debug, Parser)]
struct Arguments {
    /// Numbers of routes in a configuration, separated by commas.
    #[arg(long, value_delimiter = ',', default_value = "500,5000,20000")]
    routes: Vec<usize>,
    /// Numbers of changes of the configuration, separated by commas.
    #[arg(long, value_delimiter = ',', default_value = "1,30,400")]
    changes: Vec<u64>,
    /// Numbers of peers that do not read, separated by commas.
    #[arg(long, value_delimiter = ',', default_value = "6,79,300")]
    peers: Vec<usize>,
    /// Numbers of workspace keys, ten per workspace, separated by commas.
    #[arg(long, value_delimiter = ',', default_value = "1000,20000")]
    keys: Vec<usize>,
    /// Numbers of servers in the store, separated by commas.
    #[arg(long, value_delimiter = ',', default_value = "90,600")]
    servers: Vec<usize>,
    /// Number of adapters that are requested.
    #[arg(long, default_value_t = 8_600)]
    adapters: usize,
    /// Number of configurations sent to each peer.
    #[arg(long, default_value_t = 4)]
    sent: u64,
}

fn main() -> Result<()> {
    let arguments = Arguments::parse();
    println!("{:<44} {:>14} {:>14}", "case", "kept bytes", "peak bytes");
    for &routes in &arguments.routes {
        decoded_table(routes)?;
    }
    for &keys in &arguments.keys {
        workspace_keys(keys)?;
    }
    for &servers in &arguments.servers {
        known_servers(servers, arguments.adapters)?;
    }
    for &routes in &arguments.routes {
        for &changes in &arguments.changes {
            change_log(routes, changes)?;
        }
    }
    for &peers in &arguments.peers {
        queues(peers, arguments.sent)?;
    }
    Ok(())
}

/// Number of keys per workspace.
const KEYS_PER_WORKSPACE: usize = 10;

/// Bytes in use at the start of a case.
struct Case {
    before_bytes: usize,
}

impl Case {
    /// Resets the peak and starts a case.
    fn start() -> Self {
        ALLOCATOR.reset_peak_usage();
        Self {
            before_bytes: ALLOCATOR.current_usage(),
        }
    }

    /// Prints the bytes that the case uses now and its peak.
    fn print(&self, name: &str) {
        let retained = ALLOCATOR.current_usage().saturating_sub(self.before_bytes);
        let peak = ALLOCATOR.peak_usage().saturating_sub(self.before_bytes);
        println!("{name:<44} {retained:>14} {peak:>14}");
    }
}

/// Returns one version of a configuration as stored. Each route differs from that of the previous
/// version.
fn configuration(version: u64, routes: usize) -> Result<StoredValue> {
    let route = |number: usize| {
        json!({"name": format!("route-{number}"), "host": format!("host-{}.example", number % 97),
            "prefix": format!("/{version}/{number}/"), "kind": "idempotent", "timeout_ms": 10_000,
            "goal_ms": 1_000, "priority": 1, "service": format!("service-{}", number % 50),
            "attempts": 2})
    };
    let service = |number: usize| json!({"name": format!("service-{number}"), "max_conns": 96});
    let file = json!({"version": version,
        "routes": (0..routes).map(route).collect::<Vec<_>>(),
        "services": (0..50).map(service).collect::<Vec<_>>(),
        "limits": {"max_header_bytes": 16_384, "max_body_bytes": 65_536,
            "header_timeout_ms": 3_000, "idle_timeout_ms": 15_000}});
    Ok(StoredValue {
        key: KEY.to_owned(),
        value: serde_json::to_vec(&file)
            .context("encoding a configuration")?
            .into(),
        revision: StoreRevision::new(0, version),
        lease: None,
    })
}

/// Decodes a stored configuration.
fn decode(value: &StoredValue) -> Result<RouteTable> {
    let table = PlatformDirectory.decode_configuration(value)?;
    table.context("the key holds no configuration")
}

/// Measures one decoded configuration, and then two as during a change.
fn decoded_table(routes: usize) -> Result<()> {
    let value = configuration(1, routes)?;
    let case = Case::start();
    let table = decode(&value)?;
    let bytes = value.value.len();
    case.print(&format!("table, {routes} routes ({bytes} bytes)"));
    let newer = decode(&value)?;
    case.print(&format!("table and its successor, {routes} routes"));
    drop((table, newer));
    Ok(())
}

/// Measures the keys in a configuration with few routes and the time to decode them.
fn workspace_keys(keys: usize) -> Result<()> {
    let mut value = configuration(1, 10)?;
    let mut file: serde_json::Value = serde_json::from_slice(&value.value)?;
    let workspace = |number: usize| {
        let keys = (0..KEYS_PER_WORKSPACE).map(|key| format!("{number:010}{key:010}"));
        json!({"name": format!("workspace-{number}"), "api_keys": keys.collect::<Vec<_>>(),
            "unit": "token_count", "plain_tokens": 200, "rate_per_s": 1_000, "burst": 1_000})
    };
    let workspaces = (0..keys / KEYS_PER_WORKSPACE).map(workspace);
    file["tenants"] = workspaces.collect();
    value.value = serde_json::to_vec(&file)?.into();
    drop(file);
    let case = Case::start();
    let started_at = clock::now();
    let table = decode(&value)?;
    let decode_time = clock::since(started_at);
    let bytes = value.value.len();
    case.print(&format!("table, {keys} keys ({bytes} bytes)"));
    println!("decoded in {} us", decode_time.as_micros());
    drop(table);
    Ok(())
}

/// Returns `count` names of models, starting at the number `from`.
fn model_names(from: usize, count: usize) -> Vec<String> {
    let numbers = from..from + count;
    numbers.map(|n| format!("model-{}", n % MODELS)).collect()
}

/// Returns the entry that a server publishes.
fn server(number: usize) -> Result<UpstreamEntry> {
    let resident = |name: &String| json!({"name": name, "adapters": ["a1", "a2"]});
    let models: Vec<_> = model_names(number, RESIDENT).iter().map(resident).collect();
    let row = json!({"service": ENGINES, "address": "10.1.2.3:8000", "zone": "hall", "version": "v1", "cold_left_ms": 0, "slots": 16,
        "state": "ready", "models": models, "sequence": 1,
        "at_hand": {"in_memory": model_names(number, IN_MEMORY),
            "on_disk": model_names(number, ON_DISK)}});
    let value = StoredValue {
        key: format!("servers/i-{number}"),
        value: serde_json::to_vec(&row)
            .context("encoding a server's entry")?
            .into(),
        revision: StoreRevision::new(0, 1),
        lease: None,
    };
    PlatformDirectory.decode_upstream(&value, Instant::now())
}

/// Returns a configuration with all models.
fn models_table() -> RouteTable {
    let spec = |name: String| ModelSpec {
        name: name.into(),
        weights_mb: 70.0,
        adapter_mb: 1.0,
        load_ms: 6_000,
        disk_ms: 2_000,
        memory_ms: 500,
    };
    let pool = EnginePool {
        slots: 16,
        weights_mb: 500.0,
        adapter_slots: 8,
        loads_per_s: 1.0,
        tokens_per_event: None,
        memory_tokens: None,
        accepts_run_copies: false,
        models: model_names(0, MODELS).into_iter().map(spec).collect(),
    };
    let service = Service {
        name: ENGINES.into(),
        max_connections: 96,
        health_path: None,
        cold_limit: None,
        pool: Some(pool),
    };
    let limits = CallerLimits {
        max_header_bytes: 16_384,
        max_body_bytes: 65_536,
        header_timeout_ms: 3_000,
        idle_timeout_ms: 15_000,
    };
    RouteTable::new(1, Vec::new(), vec![service], limits)
}

/// Measures the servers in the table of every instance and in the holder's planner. The planner is
/// measured before and after requests for adapters that no server has loaded.
fn known_servers(servers: usize, adapters: usize) -> Result<()> {
    let now = Instant::now();
    let case = Case::start();
    let mut upstreams = UpstreamTable::new("hall".into());
    for number in 0..servers {
        upstreams.update(server(number)?, now);
    }
    case.print(&format!("upstreams, {servers} servers"));
    drop(upstreams);
    let table = models_table();
    let case = Case::start();
    let mut planner = Planner::new(DEFAULT_LOAD_WINDOW, PolicyName::default().build());
    planner.set_table(&table);
    for number in 0..servers {
        planner.update_engine(server(number)?, now);
    }
    case.print(&format!("planner, {servers} servers"));
    for number in 0..adapters {
        let model_ref = ModelRef {
            model: format!("model-{}", number % MODELS).into(),
            adapter: Some(format!("adapter-{number}").into()),
        };
        planner.record_arrivals(&ENGINES.into(), &model_ref, 1, now);
    }
    case.print(&format!("planner, {servers} servers, {adapters} adapters"));
    Ok(())
}

/// Measures the log of configuration changes.
fn change_log(routes: usize, changes: u64) -> Result<()> {
    let first = configuration(1, routes)?;
    let case = Case::start();
    let mut log = FeedLog::default();
    for revision in 1..=changes {
        let value = StoredValue {
            // Each version owns its bytes, as when it is read from the store.
            value: first.value.to_vec().into(),
            revision: StoreRevision::new(0, revision),
            ..first.clone()
        };
        let update = FeedUpdate::Changes {
            from: StoreRevision::new(0, revision - 1),
            to: StoreRevision::new(0, revision),
            changes: vec![StoreChange::Written(value)],
        };
        // No update is queued for peers; the queues are measured separately.
        log.apply(&update);
    }
    case.print(&format!("log, {routes} routes, {changes} changes"));
    drop(log);
    Ok(())
}

/// Opens connections to peers that do not read, and returns both ends.
fn silent_peers(count: usize) -> Result<(Vec<Outbox>, Vec<TcpStream>)> {
    let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let listener = TcpListener::bind(any_port).context("binding a listener")?;
    // Accepted connections inherit the buffer size of the listening socket.
    set_socket_recv_buffer_size(&listener, SOCKET_BUFFER_BYTES)
        .context("setting the receive buffer of a peer")?;
    let address = listener.local_addr().context("reading the bound address")?;
    let mut outboxes = Vec::new();
    let mut silent_ends = Vec::new();
    for _ in 0..count {
        let stream = TcpStream::connect(address).context("connecting to the listener")?;
        set_socket_send_buffer_size(&stream, SOCKET_BUFFER_BYTES)
            .context("setting the send buffer")?;
        let (link, _reader) = Link::from_stream(stream).context("creating a link")?;
        outboxes.push(Outbox::new(link));
        silent_ends.push(listener.accept().context("accepting a connection")?.0);
    }
    Ok((outboxes, silent_ends))
}

/// Measures the queues to peers that do not read, empty and after `sent` configurations.
fn queues(peers: usize, sent: u64) -> Result<()> {
    let case = Case::start();
    let (outboxes, silent_ends) = silent_peers(peers)?;
    case.print(&format!("queues, {peers} peers, nothing sent"));
    let case = Case::start();
    let mut log = FeedLog::default();
    for revision in 1..=sent {
        let value = configuration(revision, SENT_ROUTES)?;
        let update = FeedUpdate::Changes {
            from: StoreRevision::new(0, revision - 1),
            to: StoreRevision::new(0, revision),
            changes: vec![StoreChange::Written(value)],
        };
        log.apply(&update);
        let update = log.update_after(CONFIGURATION_FEED, StoreRevision::new(0, revision - 1));
        let update = update.context("the log has no update for peers")?;
        let frame = Frame::new(Body::Updates(update)).context("encoding an update")?;
        for outbox in &outboxes {
            outbox.send_frame(frame.clone());
        }
    }
    drop(log);
    std::thread::sleep(QUEUE_FILL_DELAY);
    case.print(&format!("queues, {peers} silent peers, {sent} versions"));
    for outbox in &outboxes {
        outbox.close();
    }
    drop((outboxes, silent_ends));
    // The sending threads release their queued bytes.
    std::thread::sleep(QUEUE_FILL_DELAY);
    Ok(())
}
