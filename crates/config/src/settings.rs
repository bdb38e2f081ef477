//! Settings of each program, read once at start.

mod checks;

use crate::check::{Fault, Faults, Source};
use anyhow::Context;
use checks::Checks;
pub use checks::FieldFault;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use std::path::Path;

/// What every instance-bound program needs to know of its place.
pub trait Settings: DeserializeOwned + Default {
    /// What must hold beyond the types; returns each field at fault.
    fn check(&self) -> Vec<FieldFault>;

    /// Reads and checks a file.
    ///
    /// # Errors
    /// If the file cannot be read, or every fault in it.
    fn read(path: &Path) -> anyhow::Result<Self> {
        let name = || path.display().to_string();
        let text = std::fs::read_to_string(path).with_context(name)?;
        Self::parse(&text).with_context(name)
    }

    /// Reads JSON with comments and checks it whole.
    ///
    /// # Errors
    /// Every fault, with line and reason.
    fn parse(text: &str) -> Result<Self, Faults> {
        let source = Source::parse(text)?;
        let mut faults: Vec<Fault> = Vec::new();
        let settings: Self = source.read(&mut faults);
        for found in settings.check() {
            if !faults.iter().any(|fault| fault.path == found.path) {
                faults.push(source.fault_at(found.path, found.reason));
            }
        }
        faults.sort_by_key(|fault| fault.line);
        if faults.is_empty() {
            Ok(settings)
        } else {
            Err(Faults(faults))
        }
    }
}

/// Settings of `passway-router`.
#[derive(Debug, Clone, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RouterSettings {
    /// Id of the instance.
    pub instance: String,
    /// Data hall of the instance.
    pub data_hall: String,
    /// Where callers connect, as `ip:port`.
    pub listen: String,
    /// Controllers, the one on this instance first, each as `ip:port`.
    pub controllers: Vec<String>,
    /// The key-value service, as `ip:port`; used only for claims.
    pub key_value: String,
    /// Connections served at one time.
    pub max_connections: usize,
    /// Largest body of a request, in bytes.
    pub body_limit_bytes: usize,
    /// Longest time until a deadline that a caller may ask for, in milliseconds.
    pub max_deadline_ms: u64,
    /// Time without word of the configuration after which new work is refused, in milliseconds.
    pub stale_limit_ms: u64,
    /// Longest time for a call to the key-value service, in milliseconds.
    pub key_value_timeout_ms: u64,
    /// Lowest level that is logged.
    pub log_level: String,
}

impl Default for RouterSettings {
    fn default() -> Self {
        Self {
            instance: String::new(),
            data_hall: String::new(),
            listen: String::new(),
            controllers: Vec::new(),
            key_value: String::new(),
            max_connections: 1_024,
            body_limit_bytes: 1 << 20,
            max_deadline_ms: 24 * 3_600 * 1_000,
            stale_limit_ms: 7_000,
            key_value_timeout_ms: DEFAULT_KEY_VALUE_TIMEOUT_MS,
            log_level: "info".into(),
        }
    }
}

impl Settings for RouterSettings {
    fn check(&self) -> Vec<FieldFault> {
        let mut checks = Checks::for_instance(&self.instance, &self.data_hall, &self.listen);
        checks.require(
            "controllers",
            !self.controllers.is_empty(),
            "may not be empty",
        );
        checks.require_addresses("controllers", &self.controllers);
        checks.require_address("key_value", &self.key_value);
        checks.require(
            "max_connections",
            self.max_connections > 0,
            "must be at least 1",
        );
        checks.require_nonzero("max_deadline_ms", self.max_deadline_ms);
        checks.require_nonzero("key_value_timeout_ms", self.key_value_timeout_ms);
        checks.require_log_level("log_level", &self.log_level);
        checks.into_faults()
    }
}

/// Settings of `passway-controller`.
#[derive(Debug, Clone, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ControllerSettings {
    /// Id of the instance.
    pub instance: String,
    /// Data hall of the instance.
    pub data_hall: String,
    /// Where routers, other controllers and `passwayctl` connect, as `ip:port`.
    pub listen: String,
    /// Other controllers, each as `ip:port`.
    pub peers: Vec<String>,
    /// The key-value service, as `ip:port`.
    pub key_value: String,
    /// The instance list, as `ip:port`.
    pub instance_list: String,
    /// Time that a cell's lease lasts, in milliseconds.
    pub lease_ms: u64,
    /// Time after which an unanswered order can no longer arrive, in milliseconds.
    pub order_settle_ms: u64,
    /// Longest time for a call to the key-value service or the instance list, in milliseconds.
    pub key_value_timeout_ms: u64,
    /// Time for which a write of a plan may be open before sleeping models are refused, in
    /// milliseconds.
    pub write_patience_ms: u64,
    /// Lowest level that is logged.
    pub log_level: String,
}

impl Default for ControllerSettings {
    fn default() -> Self {
        Self {
            instance: String::new(),
            data_hall: String::new(),
            listen: String::new(),
            peers: Vec::new(),
            key_value: String::new(),
            instance_list: String::new(),
            lease_ms: 3_000,
            order_settle_ms: 10_000,
            key_value_timeout_ms: DEFAULT_KEY_VALUE_TIMEOUT_MS,
            write_patience_ms: 500,
            log_level: "info".into(),
        }
    }
}

impl Settings for ControllerSettings {
    fn check(&self) -> Vec<FieldFault> {
        let mut checks = Checks::for_instance(&self.instance, &self.data_hall, &self.listen);
        checks.require_addresses("peers", &self.peers);
        checks.require_address("key_value", &self.key_value);
        checks.require_address("instance_list", &self.instance_list);
        checks.require("lease_ms", self.lease_ms >= 500, "must be at least 500");
        checks.require_nonzero("key_value_timeout_ms", self.key_value_timeout_ms);
        checks.require_nonzero("write_patience_ms", self.write_patience_ms);
        checks.require_log_level("log_level", &self.log_level);
        checks.into_faults()
    }
}

/// Some hundred times what the key-value service takes when nothing is wrong.
const DEFAULT_KEY_VALUE_TIMEOUT_MS: u64 = 1_000;
