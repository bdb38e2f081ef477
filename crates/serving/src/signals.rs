//! Signals: what upstreams report about themselves in the heads of their answers.
//!
//! An adapter parses them in the same way in answers to callers' requests, to probes and to orders
//! of an instance. Each signal has one rule for values that cannot be parsed; these are counted
//! and change nothing.

use crate::limits::LimitSignal;
use passway_types::prelude::*;

/// All signals in the head of an answer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct UpstreamSignals {
    /// The rate limit that the upstream advertises.
    pub limit: LimitSignal,
    /// Whether the upstream is leaving.
    pub leaving: LeavingSignal,
    /// How long the upstream asks the instance that it answers to back off.
    pub backoff: BackoffSignal,
}

impl UpstreamSignals {
    /// No signals.
    pub const NONE: Self = Self {
        limit: LimitSignal::Absent,
        leaving: LeavingSignal::Absent,
        backoff: BackoffSignal::Absent,
    };

    /// The signals that are present but cannot be parsed, by the names under which they are
    /// counted.
    pub fn unusable_names(&self) -> impl Iterator<Item = &'static str> {
        let limit = (self.limit == LimitSignal::Unusable).then_some("limit");
        let leaving = (self.leaving == LeavingSignal::Unusable).then_some("leaving");
        let rest = (self.backoff == BackoffSignal::Unusable).then_some("rest");
        [limit, leaving, rest].into_iter().flatten()
    }
}

/// Whether an answer reports that its upstream is leaving. That is final for a start of an
/// upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeavingSignal {
    /// The answer does not report it. An earlier report stays valid.
    Absent,
    /// The upstream is leaving.
    Leaving,
    /// The value is not the expected one and is ignored: a wrong report would remove the upstream
    /// until its next start.
    Unusable,
}

/// How long an upstream asks the instance whose request it refused to back off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BackoffSignal {
    /// The answer names no time.
    Absent,
    /// The requested time, which may be zero. If an answer names several times, the longest.
    For(Duration),
    /// None of the values can be parsed: the upstream has refused one request, and no backoff
    /// applies.
    Unusable,
}
