//! Memory and processor time of idle controllers and routers, by the size of the configuration.

use crate::measure::{mb, processor_time, resident_bytes};
use crate::revisions::first_revision;
use anyhow::{Context, Result};
use passway_config::revision;
use passway_config::settings::{ControllerSettings, RouterSettings};
use passway_controller::Controller;
use passway_platform::instance_list::ListedInstance;
use passway_platform::key_value::KeyValue;
use passway_router::Router;
use passway_standins::instance_list::LaggingList;
use passway_standins::key_value::MemoryKeyValue;
use passway_standins::sizes::{SIZES, document};
use passway_types::prelude::*;
use std::net::SocketAddr;

/// Number of cells at the target, each with 15 upstreams.
const CELLS: usize = 40;

/// Returns the instance list of a fleet, from which a controller computes its rank among the
/// instances.
fn instance_list(instances: usize) -> LaggingList {
    let ids = (0..instances).map(|number| format!("entry{number}").into());
    let listed = ids.map(|id| ListedInstance { id, leaving: false });
    LaggingList::new(Duration::ZERO, listed.collect())
}

/// Prints memory and processor time of idle roles for the configuration of each size: a controller
/// that leads no cell, the same controller when it leads one cell, and that controller with a router.
pub fn measure(observation_time: Duration) -> Result<()> {
    println!("roles: models adapters role resident_mb processor_percent");
    for size in SIZES {
        let any_port: SocketAddr = "127.0.0.1:0".parse().context("parsing the address")?;
        let key_value = MemoryKeyValue::new();
        let mut document = document(&size);
        let cells = CELLS.min(size.upstreams / 9);
        for (number, upstream) in document.upstreams.iter_mut().enumerate() {
            upstream.cell = format!("cell{}", number % cells);
            // No process listens on this port, so status queries to upstreams are refused at once.
            upstream.address = "127.0.0.1:9".into();
        }
        let encoded = revision::encode(&first_revision(document))?;
        let put = |key: &str, value: &[u8]| key_value.put_if(key, 0, value, None);
        put(revision::CURRENT_KEY, &encoded)
            .map_err(|_| anyhow::anyhow!("storing a value failed"))?;
        let holder_key = |cell: usize| format!("cells/cell{cell}/holder");
        for cell in 0..cells {
            put(&holder_key(cell), b"{}").map_err(|_| anyhow::anyhow!("storing a value failed"))?;
        }
        let settings = ControllerSettings {
            instance: "entry0".into(),
            data_hall: "hall0".into(),
            listen: any_port.to_string(),
            key_value: key_value.serve(any_port).to_string(),
            instance_list: instance_list(size.instances).serve(any_port).to_string(),
            ..ControllerSettings::default()
        };
        let print_line = |role: &str, before_bytes: u64| -> Result<()> {
            std::thread::sleep(Duration::from_secs(2));
            let (used_before, started_at) = (processor_time()?, Instant::now());
            std::thread::sleep(observation_time);
            let used = processor_time()?.saturating_sub(used_before);
            let percent = used.as_secs_f64() / started_at.elapsed().as_secs_f64() * 100.0;
            let grown_mb = mb(resident_bytes()?.saturating_sub(before_bytes));
            println!(
                "  {:5} {:5} {role:18} {grown_mb:6.1} {percent:6.2}",
                size.models, size.adapters
            );
            Ok(())
        };
        let before_bytes = resident_bytes()?;
        let controller = Controller::start(settings.clone())?;
        print_line("standby", before_bytes)?;
        key_value.remove(&holder_key(0));
        print_line("leads one cell", before_bytes)?;
        let router = Router::start(&RouterSettings {
            instance: "entry0".into(),
            data_hall: "hall0".into(),
            listen: any_port.to_string(),
            controllers: vec![controller.address().to_string()],
            key_value: settings.key_value.clone(),
            ..RouterSettings::default()
        })?;
        print_line("and a router", before_bytes)?;
        controller.stop();
        drop(router);
    }
    Ok(())
}
