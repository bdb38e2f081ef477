//! The platform's lagging list of live and leaving instances.

use crate::http::Client;
use passway_types::prelude::*;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// One entry of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedInstance {
    /// The instance's or upstream's id.
    pub id: InstanceId,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// The list.
pub trait InstanceList: Send + Sync {
    /// What the platform lists now; `None` if it does not answer.
    fn list(&self) -> Option<Vec<ListedInstance>>;
}

/// The list over HTTP.
#[derive(Debug)]
pub struct HttpInstanceList {
    client: Client,
    url: String,
}

impl HttpInstanceList {
    /// A client of the list at `address`.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self {
            client: Client::new(timeout),
            url: format!("http://{address}/v1/instances"),
        }
    }
}

impl InstanceList for HttpInstanceList {
    fn list(&self) -> Option<Vec<ListedInstance>> {
        let answer = self.client.call("GET", &self.url, b"").ok()?;
        serde_json::from_slice(&answer.body).ok()
    }
}
