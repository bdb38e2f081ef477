//! Requests that crash the upstreams that run them.

mod digest;

pub use digest::RequestDigest;
