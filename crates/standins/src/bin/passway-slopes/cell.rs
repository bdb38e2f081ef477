//! Times of a cell's decisions, without processes and connections.

use crate::measure::time;
use anyhow::{Context, Result};
use passway_config::Catalog;
use passway_decide::cell::{Action, CellController, CellLimits, Event};
use passway_decide::messages::{Demand, OrderAnswer, UpstreamStatus};
use passway_decide::plan::{Holder, Plan};
use passway_standins::sizes::{Size, document};
use passway_types::prelude::*;
use std::hint::black_box;

/// Numbers of placements in the measured cells.
const PLACEMENTS: [usize; 4] = [16, 64, 256, 1_024];
/// Number of decisions for each figure.
const ROUNDS: u32 = 200;

/// Prints the size of a plan and the times of a holder's decisions for each number of placements.
pub fn measure() -> Result<()> {
    println!("cell: placements plan_bytes encode_us decode_us tick_us status_us");
    for count in PLACEMENTS {
        let (mut cell, now, plan) = placed_cell(count)?;
        let json = serde_json::to_vec(&plan)?;
        let encode_us = time(ROUNDS, || drop(black_box(serde_json::to_vec(&plan))));
        let decode_us = time(ROUNDS, || {
            drop(black_box(serde_json::from_slice::<Plan>(&json)));
        });
        let tick_us = time(ROUNDS, || drop(black_box(cell.handle(now, Event::Tick))));
        let status_us = time(ROUNDS, || {
            let upstream: UpstreamId = "upstream-0".into();
            let event = Event::StatusPolled {
                upstream,
                polled_at: now,
                status: None,
            };
            drop(black_box(cell.handle(now, event)));
        });
        println!(
            "  {:5} {:7} {encode_us:8.1} {decode_us:8.1} {tick_us:8.1} {status_us:8.1}",
            plan.placements().count(),
            json.len()
        );
    }
    Ok(())
}

/// Returns a cell after it has written the given number of placements, and its plan.
fn placed_cell(placements: usize) -> Result<(CellController, Instant, Plan)> {
    let catalog = catalog_of(placements)?;
    let now = Instant::now();
    let mut cell = new_cell(&catalog, now)?;
    let mut plan = None;
    let mut pending = vec![Event::Tick];
    for upstream in catalog.upstreams.keys() {
        let status = Some(UpstreamStatus::default());
        pending.push(Event::StatusPolled {
            upstream: upstream.clone(),
            polled_at: now,
            status,
        });
    }
    let valid_until = now + Duration::from_hours(1);
    let demands = catalog.models.keys();
    let mut demands: Vec<Event> = demands.map(|model| demand(model, 1, valid_until)).collect();
    let mut version = 0;
    while let Some(event) = pending.pop().or_else(|| demands.pop()) {
        for action in cell.handle(now, event) {
            if let Action::WritePlan {
                plan: written_plan, ..
            } = &action
            {
                version += 1;
                plan = Some(Plan::clone(written_plan));
            }
            pending.extend(answer(action, valid_until, version));
        }
    }
    for model in catalog.models.keys() {
        cell.handle(now, demand(model, 0, now));
    }
    Ok((cell, now, plan.context("the cell wrote no placement")?))
}

/// Returns a catalog with the given number of models, sixteen per upstream.
fn catalog_of(models: usize) -> Result<Arc<Catalog>> {
    let size = Size {
        models,
        adapters: 0,
        upstreams: models.div_ceil(16),
        workspaces: 4,
        rules: 3,
        instances: 6,
    };
    Ok(Arc::new(Catalog::build(&document(&size), 1)?))
}

/// Returns a controller that has made no decision yet.
fn new_cell(catalog: &Arc<Catalog>, now: Instant) -> Result<CellController> {
    let holder = Holder {
        instance: "entry0".into(),
        incarnation: 1,
        address: "10.0.0.1:7000".parse().context("parsing the address")?,
    };
    let limits = CellLimits {
        standby_poll_interval: Duration::from_millis(300),
        order_settle_time: Duration::from_secs(10),
        write_outage_after: Duration::from_millis(500),
    };
    let cell = CellController::new("main".into(), holder, limits, catalog.clone(), now);
    Ok(cell)
}

/// Returns a router's demand for a model.
fn demand(model: &ModelName, waiting: u32, earliest_deadline_at: Instant) -> Event {
    Event::Demand(Demand {
        router: 1,
        model: model.clone(),
        workspace: "workspace0".into(),
        waiting,
        earliest_deadline_at,
        priority: 1,
    })
}

/// Returns the event that follows a successful action. `version` is that of the last write.
fn answer(action: Action, valid_until: Instant, version: Version) -> Option<Event> {
    match action {
        Action::AcquireLease => Some(Event::LeaseGranted { valid_until }),
        Action::ReadPlan => Some(Event::PlanRead {
            version: 0,
            plan: None,
        }),
        Action::WritePlan { plan, .. } => Some(Event::WriteDone {
            change: plan.last_change,
            version,
        }),
        Action::SendOrder(order) => Some(Event::OrderAnswered {
            upstream: order.upstream,
            fence: order.fence,
            answer: OrderAnswer::Loaded,
        }),
        _ => None,
    }
}
