//! Memory and processor time of idle controllers and routers, by the size of the configuration.

use crate::measure::{mb, processor_time, resident_bytes};
use crate::revisions::stored;
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

/// Cells at the target: 15 upstreams each.
const CELLS: usize = 40;

/// The list of a fleet, so that a controller knows how many come before it.
fn instance_list(instances: usize) -> LaggingList {
    let ids = (0..instances).map(|number| format!("entry{number}").into());
    let listed = ids.map(|id| ListedInstance { id, leaving: false });
    LaggingList::new(Duration::ZERO, listed.collect())
}

/// One controller that leads nothing, then one that leads one cell, then a
/// router beside it, with the configuration of each size; all idle.
pub fn measure(watch: Duration) -> Result<()> {
    println!("roles: models adapters role resident_mb processor_percent");
    for size in SIZES {
        let any: SocketAddr = "127.0.0.1:0".parse().context("address")?;
        let key_value = MemoryKeyValue::new();
        let mut document = document(&size);
        let cells = CELLS.min(size.upstreams / 9);
        for (number, upstream) in document.upstreams.iter_mut().enumerate() {
            upstream.cell = format!("cell{}", number % cells);
            // Nobody listens there: questions to upstreams are refused at once.
            upstream.address = "127.0.0.1:9".into();
        }
        let encoded = revision::encode(&stored(document))?;
        let put = |key: &str, value: &[u8]| key_value.put_if(key, 0, value, None);
        put(revision::CURRENT_KEY, &encoded).map_err(|_| anyhow::anyhow!("storing"))?;
        let holder = |cell: usize| format!("cells/cell{cell}/holder");
        for cell in 0..cells {
            put(&holder(cell), b"{}").map_err(|_| anyhow::anyhow!("storing"))?;
        }
        let settings = ControllerSettings {
            instance: "entry0".into(),
            data_hall: "hall0".into(),
            listen: any.to_string(),
            key_value: key_value.serve(any).to_string(),
            instance_list: instance_list(size.instances).serve(any).to_string(),
            ..ControllerSettings::default()
        };
        let line = |role: &str, before_bytes: u64| -> Result<()> {
            std::thread::sleep(Duration::from_secs(2));
            let (began, began_at) = (processor_time()?, Instant::now());
            std::thread::sleep(watch);
            let used = processor_time()?.saturating_sub(began);
            let percent = used.as_secs_f64() / began_at.elapsed().as_secs_f64() * 100.0;
            let grown = mb(resident_bytes()?.saturating_sub(before_bytes));
            println!(
                "  {:5} {:5} {role:18} {grown:6.1} {percent:6.2}",
                size.models, size.adapters
            );
            Ok(())
        };
        let before_bytes = resident_bytes()?;
        let controller = Controller::start(settings.clone())?;
        line("standby", before_bytes)?;
        key_value.remove(&holder(0));
        line("leads one cell", before_bytes)?;
        let router = Router::start(&RouterSettings {
            instance: "entry0".into(),
            data_hall: "hall0".into(),
            listen: any.to_string(),
            controllers: vec![controller.address().to_string()],
            key_value: settings.key_value.clone(),
            ..RouterSettings::default()
        })?;
        line("and a router", before_bytes)?;
        controller.stop();
        drop(router);
    }
    Ok(())
}
