//! All scenario tests, one module a feature.

mod bad_input;
mod burst_loads;
mod cell_faults;
mod cell_scenarios;
mod cell_world;
mod claims_once;
mod config_checks;
mod config_freshness;
mod config_spread;
mod docs_match;
mod fair_share;
mod model_orders;
mod pass_through;
mod platform_soak;
mod platform_words;
mod policy_rules;
mod process_kills;
mod processes;
mod retry_budget;
mod retry_share;
mod router_faults;
mod site;
mod slow_store;
mod store_feeds;
mod stream_resume;
mod support;
