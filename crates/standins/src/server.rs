//! Starts HTTP stand-ins on a socket; helpers to read requests and to build responses.

use passway_http::connection::Limits;
use passway_http::{Body, Request, Response, Server};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;

/// Maximum number of concurrent connections of a stand-in.
const MAX_CONNECTIONS: usize = 1_024;

/// Serves `handle` on `address` in a new thread and returns the bound address. With port 0 the
/// kernel chooses the port.
///
/// # Panics
/// If the address cannot be bound.
pub fn serve(
    address: SocketAddr,
    handle: impl Fn(Request) -> Response + Send + Sync + 'static,
) -> SocketAddr {
    let limits = Limits {
        max_connections: MAX_CONNECTIONS,
        ..Limits::default()
    };
    let server = Server::bind(address)
        .expect("binding a stand-in")
        .limits(limits);
    let bound = server.local_addr().expect("reading the stand-in's address");
    std::thread::spawn(move || server.serve(handle));
    bound
}

/// Builds a response with a status and a body.
pub fn response(status: u16, body: impl Into<Body>) -> Response {
    let built = http::Response::builder().status(status).body(body.into());
    built.unwrap_or_default()
}

/// Builds a response with status 200 and a JSON body.
pub fn json_response(value: &impl Serialize) -> Response {
    response(200, serde_json::to_vec(value).unwrap_or_default())
}

/// Returns the numeric query parameter `name`; `None` if it is missing or not a number.
pub fn query_number(request: &Request, name: &str) -> Option<u64> {
    let pairs = request.head.uri.query()?.split('&');
    let mut found = pairs.filter_map(|pair| pair.split_once('='));
    found.find(|(key, _)| *key == name)?.1.parse().ok()
}

/// Parses the body as JSON; `None` if it is missing or invalid.
pub fn json_body<T: DeserializeOwned>(request: &Request) -> Option<T> {
    serde_json::from_slice(request.body.as_ref().ok()?).ok()
}
