//! All scenario tests, one module a feature.

mod bad_input;
mod burst_loads;
mod support;
