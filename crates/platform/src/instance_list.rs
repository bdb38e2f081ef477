//! The platform's list of live and leaving instances, which lags behind their actual state.

use crate::http::Client;
use passway_types::prelude::*;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// One entry of the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedInstance {
    /// The id of the instance or upstream.
    pub id: InstanceId,
    /// Whether the instance or upstream is about to stop.
    pub leaving: bool,
}

/// Access to the platform's list of instances.
pub trait InstanceList: Send + Sync {
    /// Returns the current entries; `None` without a readable answer of the platform.
    fn list(&self) -> Option<Vec<ListedInstance>>;
}

/// An [`InstanceList`] that is read over HTTP.
#[derive(Debug)]
pub struct HttpInstanceList {
    client: Client,
    url: String,
}

impl HttpInstanceList {
    /// Creates a client of the list at `address`; each call takes at most `timeout`.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self {
            client: Client::new(timeout),
            url: format!("http://{address}/v1/instances"),
        }
    }
}

impl InstanceList for HttpInstanceList {
    fn list(&self) -> Option<Vec<ListedInstance>> {
        let response = self.client.call("GET", &self.url, b"").ok()?;
        serde_json::from_slice(&response.body).ok()
    }
}
