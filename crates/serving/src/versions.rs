//! Versions of upstreams' software.
//!
//! Upstreams of several software versions may serve one service side by side. What two versions write
//! does not fit together.

use std::fmt;
use std::sync::Arc;

/// A version of an upstream's software. Versions have no order.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SoftwareVersion(Arc<str>);

impl SoftwareVersion {
    /// The version's name.
    pub fn name(&self) -> &str {
        &self.0
    }
}

impl From<&str> for SoftwareVersion {
    fn from(name: &str) -> Self {
        Self(name.into())
    }
}

impl From<String> for SoftwareVersion {
    fn from(name: String) -> Self {
        Self(name.into())
    }
}

impl fmt::Display for SoftwareVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
