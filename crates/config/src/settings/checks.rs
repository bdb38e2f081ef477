//! Checks of single fields that the settings of all programs share.

use std::net::SocketAddr;

/// Names of the log levels, most severe first.
const LOG_LEVELS: [&str; 5] = ["error", "warn", "info", "debug", "trace"];

/// A field whose value has the right type but breaks a rule.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FieldFault {
    /// Name of the field in the settings file.
    pub path: &'static str,
    /// Human-readable description of the broken rule.
    pub reason: &'static str,
}

/// Checks fields one by one and collects the faults in that order.
#[derive(Debug, Default)]
pub(super) struct Checks {
    faults: Vec<FieldFault>,
}

impl Checks {
    /// Creates the checks and checks the fields that all programs on an instance have.
    pub(super) fn for_instance(instance: &str, data_hall: &str, listen: &str) -> Self {
        let mut checks = Self::default();
        checks.require_text("instance", instance);
        checks.require_text("data_hall", data_hall);
        checks.require_address("listen", listen);
        checks
    }

    /// Records a fault if `is_valid` is false.
    pub(super) fn require(&mut self, path: &'static str, is_valid: bool, reason: &'static str) {
        if !is_valid {
            self.faults.push(FieldFault { path, reason });
        }
    }

    /// Requires a text that is not empty.
    fn require_text(&mut self, path: &'static str, text: &str) {
        self.require(path, !text.is_empty(), "is required");
    }

    /// Requires a text that is an `ip:port`.
    pub(super) fn require_address(&mut self, path: &'static str, text: &str) {
        let reason = "must be an IP number and a port, as 10.0.0.1:8000";
        self.require(path, is_address(text), reason);
    }

    /// Requires that every text is an `ip:port`.
    pub(super) fn require_addresses(&mut self, path: &'static str, texts: &[String]) {
        let is_valid = texts.iter().all(|text| is_address(text));
        self.require(path, is_valid, "must be addresses as 10.0.0.1:7000");
    }

    /// Requires a time that is not zero.
    pub(super) fn require_nonzero(&mut self, path: &'static str, time_ms: u64) {
        self.require(path, time_ms > 0, "must be at least 1");
    }

    /// Requires a text that names a log level.
    pub(super) fn require_log_level(&mut self, path: &'static str, text: &str) {
        let reason = "must be one of error, warn, info, debug, trace";
        self.require(path, LOG_LEVELS.contains(&text), reason);
    }

    /// Returns all faults, in the order of the checks.
    pub(super) fn into_faults(self) -> Vec<FieldFault> {
        self.faults
    }
}

fn is_address(text: &str) -> bool {
    text.parse::<SocketAddr>().is_ok()
}
