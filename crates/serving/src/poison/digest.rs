//! A digest of a request's content that does not depend on its id.

use passway_types::hash::{DIGEST_BYTES, stable_digest};
use std::fmt;

/// Identifies a request that is sent again, under another id or at another instance.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestDigest(pub [u8; DIGEST_BYTES]);

impl RequestDigest {
    /// The digest of the parts that stay the same when a caller sends a request again. Ids,
    /// deadlines and the event after which a stream resumes do not stay the same. The caller's
    /// address is left out too: callers behind a gateway share addresses, and one caller's
    /// requests leave from several.
    pub fn of(method: &str, host: &str, target: &str, body: &[u8]) -> Self {
        let [method, host, target] = [method, host, target].map(str::as_bytes);
        Self(stable_digest(&[method, host, target, body]))
    }
}

impl fmt::Display for RequestDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for RequestDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}
