//! Runs the stand-ins for a configuration file in one process.

use anyhow::{Context, Result};
use clap::Parser;
use passway_config::catalog;
use passway_config::document::Fencing;
use passway_platform::instance_list::ListedInstance;
use passway_standins::engine::{Engine, EngineConfig};
use passway_standins::instance_list::LaggingList;
use passway_standins::key_value::MemoryKeyValue;
use passway_standins::service::PlainService;
use passway_standins::weight_store::{WeightStore, WeightStoreLimits};
use passway_types::prelude::*;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Starts a key-value service, an instance list, and every upstream and plain
/// service in the configuration, on the configured addresses.
#[derive(Debug, Parser)]
#[command(version)]
struct Arguments {
    /// The configuration file.
    #[arg(long)]
    config: PathBuf,
    /// Address on which the key-value service listens.
    #[arg(long, default_value = "127.0.0.1:9000")]
    key_value: SocketAddr,
    /// Address on which the instance list listens.
    #[arg(long, default_value = "127.0.0.1:9001")]
    instance_list: SocketAddr,
    /// Number of instances in the instance list, named `entry0`, `entry1` and so on.
    #[arg(long, default_value_t = 6)]
    instances: usize,
    /// Time between two tokens, in milliseconds.
    #[arg(long, default_value_t = 5)]
    token_ms: u64,
    /// Delay until the instance list shows a change, in milliseconds.
    #[arg(long, default_value_t = 2_000)]
    list_lag_ms: u64,
}

fn main() -> Result<()> {
    let arguments = Arguments::parse();
    passway_process::logging::start("passway-standins", "warn")?;
    let path = &arguments.config;
    let text = std::fs::read_to_string(path).with_context(|| path.display().to_string())?;
    let (_, catalog) = catalog::parse(&text, 0).with_context(|| path.display().to_string())?;
    let signals = passway_process::signals::termination_signals()?;
    let store = WeightStore::new(WeightStoreLimits::default());
    for upstream in catalog.upstreams.values() {
        let traits = EngineConfig {
            memory_bytes: upstream.memory_bytes,
            slots: upstream.slots,
            checks_fencing: upstream.fencing != Fencing::Ignores,
            token_interval: Duration::from_millis(arguments.token_ms),
        };
        Engine::new(traits, store.clone()).serve(upstream.address);
    }
    for service in catalog.services.values() {
        let stand_in = PlainService::new();
        for address in &service.addresses {
            stand_in.serve(*address);
        }
    }
    MemoryKeyValue::new().serve(arguments.key_value);
    let instances = (0..arguments.instances).map(|number| format!("entry{number}").into());
    let ids = catalog.upstreams.keys().cloned().chain(instances);
    let listed = ids
        .map(|id| ListedInstance { id, leaving: false })
        .collect();
    LaggingList::new(Duration::from_millis(arguments.list_lag_ms), listed)
        .serve(arguments.instance_list);
    println!(
        "{} engines and {} plain services",
        catalog.upstreams.len(),
        catalog.services.len()
    );
    signals.recv().context("waiting for a signal")
}
