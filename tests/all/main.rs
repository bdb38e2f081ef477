//! All scenario tests, one module a feature.

mod bad_input;
mod burst_loads;
mod cell_faults;
mod cell_scenarios;
mod cell_world;
mod config_checks;
mod policy_rules;
mod process_kills;
mod processes;
mod router_faults;
mod slow_store;
mod support;
