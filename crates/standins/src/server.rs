//! Starting an HTTP stand-in on a socket, and small helpers for its answers.

use passway_http::connection::Limits;
use passway_http::{Body, Request, Response, Server};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;

/// Connections that a stand-in serves at one time.
const MAX_CONNECTIONS: usize = 1_024;

/// Serves `handle` on `address`; port 0 lets the kernel choose.
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
    let bound = server.local_addr().expect("a stand-in's address");
    std::thread::spawn(move || server.serve(handle));
    bound
}

/// An answer with a status and a body.
pub fn response(status: u16, body: impl Into<Body>) -> Response {
    let built = http::Response::builder().status(status).body(body.into());
    built.unwrap_or_default()
}

/// An answer with a JSON body.
pub fn json_response(value: &impl Serialize) -> Response {
    response(200, serde_json::to_vec(value).unwrap_or_default())
}

/// A number in the query of a request.
pub fn query_number(request: &Request, name: &str) -> Option<u64> {
    let pairs = request.head.uri.query()?.split('&');
    let mut found = pairs.filter_map(|pair| pair.split_once('='));
    found.find(|(key, _)| *key == name)?.1.parse().ok()
}

/// The body as JSON.
pub fn json_body<T: DeserializeOwned>(request: &Request) -> Option<T> {
    serde_json::from_slice(request.body.as_ref().ok()?).ok()
}
