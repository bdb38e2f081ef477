//! The settings of each program, read once at startup.

mod checks;

use crate::check::{Fault, Faults, Source};
use anyhow::Context;
use checks::Checks;
pub use checks::FieldFault;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use std::path::Path;

/// The settings of a program that runs on an instance.
pub trait Settings: DeserializeOwned + Default {
    /// Checks the rules that the types do not express; returns every field that breaks a rule.
    fn check(&self) -> Vec<FieldFault>;

    /// Reads and checks a file.
    ///
    /// # Errors
    /// If the file cannot be read; otherwise all faults in it.
    fn read(path: &Path) -> anyhow::Result<Self> {
        let file_name = || path.display().to_string();
        let text = std::fs::read_to_string(path).with_context(file_name)?;
        Self::parse(&text).with_context(file_name)
    }

    /// Parses JSON with comments and checks all fields.
    ///
    /// # Errors
    /// All faults, each with its line and reason.
    fn parse(text: &str) -> Result<Self, Faults> {
        let source = Source::parse(text)?;
        let mut faults: Vec<Fault> = Vec::new();
        let settings: Self = source.read(&mut faults);
        for broken in settings.check() {
            if !faults.iter().any(|fault| fault.path == broken.path) {
                faults.push(source.fault_at(broken.path, broken.reason));
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
    /// Address where callers connect, as `ip:port`.
    pub listen: String,
    /// Controllers, the one on this instance first, each as `ip:port`.
    pub controllers: Vec<String>,
    /// The key-value service, as `ip:port`; used only for claims.
    pub key_value: String,
    /// Maximum number of concurrent connections.
    pub max_connections: usize,
    /// Maximum size of a request body, in bytes.
    pub body_limit_bytes: usize,
    /// Maximum time until a deadline that a caller may request, in milliseconds.
    pub max_deadline_ms: u64,
    /// Maximum time without a confirmation that the configuration is current, in milliseconds.
    /// After this time, the router refuses new requests.
    pub stale_limit_ms: u64,
    /// Timeout for a call to the key-value service, in milliseconds.
    pub key_value_timeout_ms: u64,
    /// The least severe level that is logged.
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
    /// Address where routers, other controllers and `passwayctl` connect, as `ip:port`.
    pub listen: String,
    /// Other controllers, each as `ip:port`.
    pub peers: Vec<String>,
    /// The key-value service, as `ip:port`.
    pub key_value: String,
    /// The instance list, as `ip:port`.
    pub instance_list: String,
    /// Duration of a cell's lease, in milliseconds.
    pub lease_ms: u64,
    /// Time after which an unanswered order can no longer reach its engine, in milliseconds.
    pub order_settle_ms: u64,
    /// Timeout for a call to the key-value service or the instance list, in milliseconds.
    pub key_value_timeout_ms: u64,
    /// Time without an answer to a write of a plan after which requests for models that are not
    /// loaded are refused, in milliseconds.
    pub write_patience_ms: u64,
    /// The least severe level that is logged.
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

/// About a hundred times the usual latency of the key-value service.
const DEFAULT_KEY_VALUE_TIMEOUT_MS: u64 = 1_000;
