//! Commonly used types, for `use passway_types::prelude::*`.

pub use crate::ids::*;
pub use crate::outcome::{Ran, Refusal, ResultCode};
pub use std::sync::Arc;
pub use std::time::{Duration, Instant};
