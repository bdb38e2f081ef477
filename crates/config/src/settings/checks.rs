//! What the fields of settings are checked for, whichever program they belong to.

use std::net::SocketAddr;

/// Names of the levels that can be logged, most severe first.
const LEVELS: [&str; 5] = ["error", "warn", "info", "debug", "trace"];

/// A field that breaks a rule beyond its type.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FieldFault {
    /// Name of the field in the file.
    pub path: &'static str,
    /// The rule that it breaks, for a person.
    pub reason: &'static str,
}

/// Checks fields one after the other and keeps the faults in that order.
#[derive(Debug, Default)]
pub(super) struct Checks {
    faults: Vec<FieldFault>,
}

impl Checks {
    /// Begins with the fields that say where a program runs and listens.
    pub(super) fn for_instance(instance: &str, data_hall: &str, listen: &str) -> Self {
        let mut checks = Self::default();
        checks.require_text("instance", instance);
        checks.require_text("data_hall", data_hall);
        checks.require_address("listen", listen);
        checks
    }

    /// Records a fault unless the rule holds.
    pub(super) fn require(&mut self, path: &'static str, holds: bool, reason: &'static str) {
        if !holds {
            self.faults.push(FieldFault { path, reason });
        }
    }

    /// A text may not be empty.
    fn require_text(&mut self, path: &'static str, text: &str) {
        self.require(path, !text.is_empty(), "is required");
    }

    /// A text must be one `ip:port`.
    pub(super) fn require_address(&mut self, path: &'static str, text: &str) {
        let reason = "must be an IP number and a port, as 10.0.0.1:8000";
        self.require(path, is_address(text), reason);
    }

    /// Each text must be an `ip:port`.
    pub(super) fn require_addresses(&mut self, path: &'static str, texts: &[String]) {
        let all = texts.iter().all(|text| is_address(text));
        self.require(path, all, "must be addresses as 10.0.0.1:7000");
    }

    /// A time may not be zero.
    pub(super) fn require_nonzero(&mut self, path: &'static str, time_ms: u64) {
        self.require(path, time_ms > 0, "must be at least 1");
    }

    /// A text must name a level that can be logged.
    pub(super) fn require_log_level(&mut self, path: &'static str, text: &str) {
        let reason = "must be one of error, warn, info, debug, trace";
        self.require(path, LEVELS.contains(&text), reason);
    }

    /// All faults, in the order of the checks.
    pub(super) fn into_faults(self) -> Vec<FieldFault> {
        self.faults
    }
}

fn is_address(text: &str) -> bool {
    text.parse::<SocketAddr>().is_ok()
}
