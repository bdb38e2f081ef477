//! Measures what one instance keeps in memory for its configuration and its fleet, by a counting
//! allocator: the decoded table, the servers in the store and the planner's view of them, the
//! log of changes that a holder of the right to order keeps for instances that connect, and the
//! queues to instances that do not read.

use anyhow::{Context, Result};
use clap::Parser;
use passway_instance::feed_log::FeedLog;
use passway_instance::relay::CONFIGURATION_FEED;
use passway_instance::updates::FeedUpdate;
use passway_process::outbox::Outbox;
use passway_serving::placement::policy::PolicyName;
use passway_serving::placement::{DEFAULT_LOAD_WINDOW, Planner};
use passway_serving::ports::{Directory, StoreChange, StoredValue};
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

/// The service of all servers.
const ENGINES: &str = "engines";
/// Models of the fleet that is aimed at.
const MODELS: usize = 730;
/// Models on a server's accelerators, in its memory and on its disk, on the high side: the
/// largest servers of the users' sites keep 150 GB and 1.3 TB of copies, here of 10 GB each.
const RESIDENT: usize = 6;
const IN_MEMORY: usize = 15;
const ON_DISK: usize = 130;
/// The key of the configuration in the platform's store.
const KEY: &str = "op/config";
/// Routes of the configuration that is sent to peers: about the largest value of the store.
const SENT_ROUTES: usize = 5_000;
/// Socket buffers of a connection, in bytes: the platform's links have small windows, and what
/// the kernel of this machine would take by itself (4 MB) would not stand in the queues.
const SOCKET_BUFFER_BYTES: usize = 16 << 10;
/// Time after sending at which queues are measured: a peer that reads nothing is cut off
/// after 2 s.
const QUEUE_TIME: Duration = Duration::from_millis(500);

/// Prints the bytes that are kept, and the most that were in use, for each case.
#[derive(Debug, Parser)]
struct Arguments {
    /// Routes of a configuration, divided by commas.
    #[arg(long, value_delimiter = ',', default_value = "500,5000,20000")]
    routes: Vec<usize>,
    /// Changes of the configuration, divided by commas.
    #[arg(long, value_delimiter = ',', default_value = "1,30,400")]
    changes: Vec<u64>,
    /// Peers that do not read, divided by commas.
    #[arg(long, value_delimiter = ',', default_value = "6,79,300")]
    peers: Vec<usize>,
    /// Keys of workspaces, ten to each, divided by commas.
    #[arg(long, value_delimiter = ',', default_value = "1000,20000")]
    keys: Vec<usize>,
    /// Servers in the store, divided by commas.
    #[arg(long, value_delimiter = ',', default_value = "90,600")]
    servers: Vec<usize>,
    /// Adapters that requests ask for.
    #[arg(long, default_value_t = 8_600)]
    adapters: usize,
    /// Configurations that are sent to each peer.
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

/// Keys of a workspace.
const KEYS_OF_WORKSPACE: usize = 10;

/// Bytes in use at the start of a case.
struct Case {
    before_bytes: usize,
}

impl Case {
    fn begin() -> Self {
        ALLOCATOR.reset_peak_usage();
        Self {
            before_bytes: ALLOCATOR.current_usage(),
        }
    }

    /// Prints what the case keeps now and the most that it had in use.
    fn print(&self, name: &str) {
        let kept = ALLOCATOR.current_usage().saturating_sub(self.before_bytes);
        let peak = ALLOCATOR.peak_usage().saturating_sub(self.before_bytes);
        println!("{name:<44} {kept:>14} {peak:>14}");
    }
}

/// One version of a configuration, as it lies in the store; each route differs from the version
/// before.
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
        revision: version,
    })
}

fn decode(value: &StoredValue) -> Result<RouteTable> {
    let table = PlatformDirectory.decode_configuration(value)?;
    table.context("the key holds no configuration")
}

fn decoded_table(routes: usize) -> Result<()> {
    let value = configuration(1, routes)?;
    let case = Case::begin();
    let table = decode(&value)?;
    let bytes = value.value.len();
    case.print(&format!("table, {routes} routes ({bytes} bytes)"));
    let newer = decode(&value)?;
    case.print(&format!("table and its successor, {routes} routes"));
    drop((table, newer));
    Ok(())
}

/// Keys of a configuration with few routes, and the time to decode them.
fn workspace_keys(keys: usize) -> Result<()> {
    let mut value = configuration(1, 10)?;
    let mut file: serde_json::Value = serde_json::from_slice(&value.value)?;
    let workspace = |number: usize| {
        let keys = (0..KEYS_OF_WORKSPACE).map(|key| format!("{number:010}{key:010}"));
        json!({"name": format!("workspace-{number}"), "api_keys": keys.collect::<Vec<_>>(),
            "unit": "token_count", "plain_tokens": 200, "rate_per_s": 1_000, "burst": 1_000})
    };
    let workspaces = (0..keys / KEYS_OF_WORKSPACE).map(workspace);
    file["tenants"] = workspaces.collect();
    value.value = serde_json::to_vec(&file)?.into();
    drop(file);
    let case = Case::begin();
    let begun_at = clock::now();
    let table = decode(&value)?;
    let took = clock::since(begun_at);
    let bytes = value.value.len();
    case.print(&format!("table, {keys} keys ({bytes} bytes)"));
    println!("decoded in {} us", took.as_micros());
    drop(table);
    Ok(())
}

/// Names of models, from one on.
fn model_names(from: usize, count: usize) -> Vec<String> {
    let numbers = from..from + count;
    numbers.map(|n| format!("model-{}", n % MODELS)).collect()
}

/// What a server says of itself.
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
            .context("encoding a server")?
            .into(),
        revision: 1,
    };
    PlatformDirectory.decode_upstream(&value, Instant::now())
}

/// A configuration with all models.
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
        models: model_names(0, MODELS).into_iter().map(spec).collect(),
    };
    let service = Service {
        name: ENGINES.into(),
        max_connections: 96,
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

/// What every instance keeps of the servers, and what the holder's planner does, before and
/// after requests for adapters that stand nowhere.
fn known_servers(servers: usize, adapters: usize) -> Result<()> {
    let now = Instant::now();
    let case = Case::begin();
    let mut upstreams = UpstreamTable::new("hall".into());
    for number in 0..servers {
        upstreams.update(server(number)?, now);
    }
    case.print(&format!("upstreams, {servers} servers"));
    drop(upstreams);
    let table = models_table();
    let case = Case::begin();
    let mut planner = Planner::new(DEFAULT_LOAD_WINDOW, PolicyName::default().build());
    planner.set_table(&table);
    for number in 0..servers {
        planner.update_engine(server(number)?, now);
    }
    case.print(&format!("planner, {servers} servers"));
    for number in 0..adapters {
        let wish = ModelRef {
            model: format!("model-{}", number % MODELS).into(),
            adapter: Some(format!("adapter-{number}").into()),
        };
        planner.record_arrivals(&ENGINES.into(), &wish, 1, now);
    }
    case.print(&format!("planner, {servers} servers, {adapters} adapters"));
    Ok(())
}

fn change_log(routes: usize, changes: u64) -> Result<()> {
    let first = configuration(1, routes)?;
    let case = Case::begin();
    let mut log = FeedLog::default();
    for revision in 1..=changes {
        let value = StoredValue {
            // As from the store: bytes of its own, and not those of the version before.
            value: first.value.to_vec().into(),
            revision,
            ..first.clone()
        };
        let told = FeedUpdate::Changes {
            from: revision - 1,
            to: revision,
            changes: vec![StoreChange::Written(value)],
        };
        // What is to be passed on is not made here: the queues are measured apart.
        log.apply(&told);
    }
    case.print(&format!("log, {routes} routes, {changes} changes"));
    drop(log);
    Ok(())
}

/// Connections whose other ends are open and read nothing.
fn silent_peers(count: usize) -> Result<(Vec<Outbox>, Vec<TcpStream>)> {
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let listener = TcpListener::bind(any).context("binding")?;
    // Connections take the size from the socket that accepts them.
    set_socket_recv_buffer_size(&listener, SOCKET_BUFFER_BYTES).context("a peer's buffer")?;
    let address = listener.local_addr().context("the bound address")?;
    let mut outboxes = Vec::new();
    let mut silent = Vec::new();
    for _ in 0..count {
        let stream = TcpStream::connect(address).context("connecting")?;
        set_socket_send_buffer_size(&stream, SOCKET_BUFFER_BYTES).context("our buffer")?;
        let (link, _reader) = Link::from_stream(stream).context("a link")?;
        outboxes.push(Outbox::start(link));
        silent.push(listener.accept().context("accepting")?.0);
    }
    Ok((outboxes, silent))
}

fn queues(peers: usize, sent: u64) -> Result<()> {
    let case = Case::begin();
    let (outboxes, silent) = silent_peers(peers)?;
    case.print(&format!("queues, {peers} peers, nothing sent"));
    let case = Case::begin();
    let mut log = FeedLog::default();
    for revision in 1..=sent {
        let value = configuration(revision, SENT_ROUTES)?;
        let told = FeedUpdate::Changes {
            from: revision - 1,
            to: revision,
            changes: vec![StoreChange::Written(value)],
        };
        log.apply(&told);
        let news = log.update_after(CONFIGURATION_FEED, revision - 1);
        let news = news.context("nothing to pass on")?;
        let frame = Frame::new(Body::News(news)).context("encoding news")?;
        for outbox in &outboxes {
            outbox.send_frame(frame.clone());
        }
    }
    drop(log);
    std::thread::sleep(QUEUE_TIME);
    case.print(&format!("queues, {peers} silent peers, {sent} versions"));
    for outbox in &outboxes {
        outbox.close();
    }
    drop((outboxes, silent));
    // The sending threads give back what they hold.
    std::thread::sleep(QUEUE_TIME);
    Ok(())
}
