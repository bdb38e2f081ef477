//! Measures the slopes that `docs/CAPACITY.md` is worked out from.

use anyhow::{Context, Result};
use clap::Parser;
use passway_config::revision::StoredRevision;
use passway_config::settings::{ControllerSettings, RouterSettings};
use passway_config::{Catalog, Document, revision};
use passway_controller::Controller;
use passway_decide::cell::{Action, CellController, CellLimits, Event};
use passway_decide::messages::{Demand, OrderAnswer, UpstreamStatus};
use passway_decide::plan::{Holder, Plan};
use passway_platform::instance_list::ListedInstance;
use passway_platform::key_value::KeyValue;
use passway_router::Router;
use passway_standins::instance_list::LaggingList;
use passway_standins::key_value::MemoryKeyValue;
use passway_standins::load::{Call, Outcome, Sample, call};
use passway_standins::sizes::{SIZES, Size, WarmRouter, document};
use passway_standins::world::{Fleet, World, WorldPlan};
use passway_types::prelude::*;
use std::hint::black_box;
use std::net::SocketAddr;

/// Prints state, time, messages and calls against size.
#[derive(Debug, Parser)]
#[command(version)]
struct Arguments {
    /// Time for which each fleet and role is watched, in seconds.
    #[arg(long, default_value_t = 10)]
    watch_s: u64,
    /// What to measure, with commas between.
    #[arg(long, value_delimiter = ',', default_values_t = PARTS.map(str::to_owned))]
    parts: Vec<String>,
}

/// Everything that can be measured.
const PARTS: [&str; 6] = [
    "configuration",
    "router",
    "cell",
    "roles",
    "fleets",
    "latency",
];
/// Placements of a cell.
const PLACEMENTS: [usize; 4] = [16, 64, 256, 1_024];
/// Instances of a fleet.
const FLEETS: [usize; 5] = [3, 6, 12, 24, 48];
/// Times that a decision is made for one figure.
const ROUNDS: u32 = 2_000;

fn main() -> Result<()> {
    let arguments = Arguments::parse();
    let watch = Duration::from_secs(arguments.watch_s);
    for part in &arguments.parts {
        match part.as_str() {
            "configuration" => configuration()?,
            "router" => router_decisions(),
            "cell" => cell_decisions()?,
            "roles" => roles(watch)?,
            "fleets" => fleets(watch)?,
            "latency" => latency()?,
            other => anyhow::bail!("{other} is none of {}", PARTS.join(", ")),
        }
    }
    Ok(())
}

fn stored(document: Document) -> StoredRevision {
    StoredRevision {
        revision: 1,
        change_id: 1,
        author: "somebody".into(),
        applied_at_unix_s: 0,
        comment: String::new(),
        changes: Vec::new(),
        document,
    }
}

/// Resident memory of this process.
fn resident_bytes() -> Result<u64> {
    let text = std::fs::read_to_string("/proc/self/status").context("reading the status")?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.trim().split(' ').next()?.parse::<u64>().ok());
    kilobytes.map(|kb| kb << 10).context("no VmRSS")
}

fn configuration() -> Result<()> {
    println!(
        "configuration: models adapters stored_bytes encode_ms decode_ms build_ms resident_mb"
    );
    for size in SIZES {
        let stored = stored(document(&size));
        let began_at = Instant::now();
        let bytes = revision::encode(&stored)?;
        let encode = began_at.elapsed();
        let began_at = Instant::now();
        let read = revision::decode(&bytes)?;
        let decode = began_at.elapsed();
        let before_bytes = resident_bytes()?;
        let began_at = Instant::now();
        let catalog = read.catalog()?;
        let build = began_at.elapsed();
        let grown_bytes = resident_bytes()?.saturating_sub(before_bytes);
        println!(
            "  {:5} {:5} {:8} {:6.2} {:6.2} {:6.2} {:5.1}",
            size.models,
            size.adapters,
            bytes.len(),
            encode.as_secs_f64() * 1e3,
            decode.as_secs_f64() * 1e3,
            build.as_secs_f64() * 1e3,
            mb(grown_bytes)
        );
        black_box(catalog);
    }
    Ok(())
}

#[expect(clippy::cast_precision_loss, reason = "for print only")]
fn mb(bytes: u64) -> f64 {
    bytes as f64 / 1_048_576.0
}

fn micros(total: Duration, rounds: u32) -> f64 {
    total.as_secs_f64() * 1e6 / f64::from(rounds)
}

/// One warm request: admission, choice of a replica, end.
fn router_decisions() {
    println!("router: models adapters rules arrive_and_end_us tick_us");
    for size in SIZES {
        let mut router = WarmRouter::new(size);
        let served = time(ROUNDS, || router.serve_one());
        let tick = time(ROUNDS, || {
            router.now += Duration::from_millis(1);
            drop(black_box(router.core.tick(router.now)));
        });
        println!(
            "  {:5} {:5} {:4} {served:8.2} {tick:8.2}",
            size.models, size.adapters, size.rules
        );
    }
}

/// A cell with as many placements as asked for, driven until all are written.
fn cell_with(placements: usize) -> Result<(CellController, Instant, Plan)> {
    let size = Size {
        models: placements,
        adapters: 0,
        upstreams: placements.div_ceil(16),
        workspaces: 4,
        rules: 3,
        instances: 6,
    };
    let catalog = Arc::new(Catalog::build(&document(&size), 1)?);
    let now = Instant::now();
    let me = Holder {
        instance: "entry0".into(),
        incarnation: 1,
        address: "10.0.0.1:7000".parse().context("address")?,
    };
    let limits = CellLimits {
        standby_poll: Duration::from_millis(300),
        order_settle: Duration::from_secs(10),
        write_patience: Duration::from_millis(500),
    };
    let mut cell = CellController::new("main".into(), me, limits, catalog.clone(), now);
    let mut plan = None;
    let mut pending = vec![Event::Tick];
    for upstream in catalog.upstreams.keys() {
        let status = Some(UpstreamStatus::default());
        pending.push(Event::Status {
            upstream: upstream.clone(),
            asked_at: now,
            status,
        });
    }
    let demands = catalog.models.keys().map(|model| {
        Event::Demand(Demand {
            router: 1,
            model: model.clone(),
            workspace: "workspace0".into(),
            waiting: 1,
            earliest_deadline_at: now + Duration::from_hours(1),
            priority: 1,
        })
    });
    let mut demands: Vec<Event> = demands.collect();
    let mut version = 0;
    while let Some(event) = pending.pop().or_else(|| demands.pop()) {
        for action in cell.handle(now, event) {
            match action {
                Action::AcquireLease => pending.push(Event::LeaseGranted {
                    until_at: now + Duration::from_hours(1),
                }),
                Action::ReadPlan => pending.push(Event::PlanRead {
                    version: 0,
                    plan: None,
                }),
                Action::WritePlan { plan: written, .. } => {
                    version += 1;
                    let change = written.last_change;
                    plan = Some(*written);
                    pending.push(Event::WriteDone { change, version });
                }
                Action::SendOrder(order) => pending.push(Event::Order {
                    upstream: order.upstream,
                    fence: order.fence,
                    answer: OrderAnswer::Loaded,
                }),
                _ => {}
            }
        }
    }
    for model in catalog.models.keys() {
        let served = Demand {
            router: 1,
            model: model.clone(),
            workspace: "workspace0".into(),
            waiting: 0,
            earliest_deadline_at: now,
            priority: 1,
        };
        cell.handle(now, Event::Demand(served));
    }
    Ok((cell, now, plan.context("nothing was placed")?))
}

fn cell_decisions() -> Result<()> {
    println!("cell: placements plan_bytes encode_us decode_us tick_us status_us");
    for count in PLACEMENTS {
        let (mut cell, now, plan) = cell_with(count)?;
        let json = serde_json::to_vec(&plan)?;
        let rounds = 200;
        let encode = time(rounds, || drop(black_box(serde_json::to_vec(&plan))));
        let decode = time(rounds, || {
            drop(black_box(serde_json::from_slice::<Plan>(&json)));
        });
        let tick = time(rounds, || drop(black_box(cell.handle(now, Event::Tick))));
        let status = time(rounds, || {
            let upstream: UpstreamId = "upstream-0".into();
            let event = Event::Status {
                upstream,
                asked_at: now,
                status: None,
            };
            drop(black_box(cell.handle(now, event)));
        });
        println!(
            "  {:5} {:7} {encode:8.1} {decode:8.1} {tick:8.1} {status:8.1}",
            plan.placements().count(),
            json.len()
        );
    }
    Ok(())
}

/// Time of one round, in microseconds.
fn time(rounds: u32, mut round: impl FnMut()) -> f64 {
    let began_at = Instant::now();
    for _ in 0..rounds {
        round();
    }
    micros(began_at.elapsed(), rounds)
}

/// Clock ticks of processor time a second, as Linux reports it.
const TICKS_PER_S: u64 = 100;
/// Cells at the target: 15 upstreams each.
const CELLS: usize = 40;

/// Processor time of this process.
fn processor_time() -> Result<Duration> {
    let text = std::fs::read_to_string("/proc/self/stat").context("reading the times")?;
    let fields: Vec<&str> = text
        .rsplit(')')
        .next()
        .unwrap_or_default()
        .split(' ')
        .collect();
    let field = |index: usize| fields.get(index).and_then(|text| text.parse::<u64>().ok());
    let ticks = field(12).zip(field(13)).map(|(user, system)| user + system);
    let ticks = ticks.context("no processor time")?;
    Ok(Duration::from_millis(ticks * 1_000 / TICKS_PER_S))
}

/// The list of a fleet, so that a controller knows how many come before it.
fn instance_list(instances: usize) -> LaggingList {
    let ids = (0..instances).map(|number| format!("entry{number}").into());
    let listed = ids.map(|id| ListedInstance { id, leaving: false });
    LaggingList::new(Duration::ZERO, listed.collect())
}

/// One controller that leads nothing, then one that leads one cell, then a
/// router beside it, with the configuration of each size; all idle.
fn roles(watch: Duration) -> Result<()> {
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

/// Idle fleets, all in this process: calls and bytes of control.
fn fleets(watch: Duration) -> Result<()> {
    println!(
        "fleet: instances kv_reads_per_s kv_writes_per_s control_bytes_per_s_per_instance spread_ms"
    );
    for instances in FLEETS {
        let world = World::start(WorldPlan {
            instances,
            ..WorldPlan::default()
        })?;
        let fleet = world.start_fleet()?;
        std::thread::sleep(Duration::from_secs(3));
        let calls = world.key_value.calls();
        let bytes = passway_wire::link::sent_bytes();
        std::thread::sleep(watch);
        let after = world.key_value.calls();
        let seconds = watch.as_secs();
        let sent = passway_wire::link::sent_bytes() - bytes;
        let spread = spread(&world, &fleet)?;
        println!(
            "  {instances:4} {:7.2} {:7.2} {:8} {:6}",
            rate(after.reads - calls.reads, seconds),
            rate(after.writes - calls.writes, seconds),
            sent / seconds / instances as u64,
            spread.as_millis()
        );
        for controller in fleet.controllers {
            controller.stop();
        }
        drop(fleet.routers);
    }
    Ok(())
}

/// Time from a change of configuration until it is in force at every router.
fn spread(world: &World, fleet: &Fleet) -> Result<Duration> {
    let found = world.key_value.get(revision::CURRENT_KEY);
    let found = found.ok().flatten().context("no configuration")?;
    let mut next = revision::decode(&found.value)?;
    next.revision += 1;
    let began_at = Instant::now();
    let encoded = revision::encode(&next)?;
    let written = world
        .key_value
        .put_if(revision::CURRENT_KEY, found.version, &encoded, None);
    written.map_err(|_| anyhow::anyhow!("storing"))?;
    fleet.wait_for_revision(next.revision)?;
    Ok(began_at.elapsed())
}

#[expect(clippy::cast_precision_loss, reason = "for print only")]
fn rate(count: u64, seconds: u64) -> f64 {
    count as f64 / seconds as f64
}

/// Streams at one time.
const STREAMS: [usize; 3] = [1, 50, 200];
/// Streams made for one figure.
const SAMPLES: usize = 1_000;

/// What a router adds in front of a warm engine, against the engine asked directly.
fn latency() -> Result<()> {
    println!("latency: streams to first_p50_ms first_p99_ms whole_p50_ms whole_p99_ms");
    let plan = WorldPlan {
        instances: 1,
        engines: 1,
        slots: 1_024,
        ..WorldPlan::default()
    };
    let world = World::start(plan)?;
    let fleet = world.start_fleet()?;
    let router = fleet.routers.first().context("a router")?.address();
    let engine = world
        .document
        .upstreams
        .first()
        .context("an engine")?
        .address
        .parse()?;
    ensure_whole(&stream_times(router, 1, 1)?)?;
    for streams in STREAMS {
        for (name, address) in [("engine", engine), ("router", router)] {
            let times = stream_times(address, streams, SAMPLES / streams)?;
            ensure_whole(&times)?;
            let quantile = |part: usize, of: fn(&Sample) -> Duration| {
                let mut all: Vec<Duration> = times.iter().map(of).collect();
                all.sort();
                all[(all.len() * part / 100).min(all.len() - 1)].as_secs_f64() * 1e3
            };
            println!(
                "  {streams:4} {name} {:7.2} {:7.2} {:7.2} {:7.2}",
                quantile(50, |s| s.first),
                quantile(99, |s| s.first),
                quantile(50, |s| s.total),
                quantile(99, |s| s.total)
            );
        }
    }
    Ok(())
}

fn ensure_whole(samples: &[Sample]) -> Result<()> {
    let broken = samples
        .iter()
        .find(|sample| sample.outcome != Outcome::Whole);
    broken.map_or(Ok(()), |sample| anyhow::bail!("{:?}", sample.outcome))
}

/// Makes `each` streams one after the other in each of `streams` threads.
fn stream_times(address: SocketAddr, streams: usize, each: usize) -> Result<Vec<Sample>> {
    let threads: Vec<_> = (0..streams)
        .map(|thread| {
            std::thread::spawn(move || {
                let samples = (0..each).map(|number| {
                    call(&Call {
                        router: address,
                        model: "model1@1".into(),
                        workspace: "default".into(),
                        prompt: format!("question {thread} {number}"),
                        tokens: 8,
                        stream: true,
                        deadline: Duration::from_secs(30),
                    })
                });
                samples.collect::<Vec<_>>()
            })
        })
        .collect();
    let mut samples = Vec::new();
    for thread in threads {
        samples.extend(
            thread
                .join()
                .map_err(|_| anyhow::anyhow!("a caller panicked"))?,
        );
    }
    Ok(samples)
}
