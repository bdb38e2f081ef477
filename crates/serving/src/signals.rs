//! What upstreams say of themselves in the heads of their answers, whatever these answer.
//!
//! An adapter reads them once, for answers to callers' requests as for those to questions and orders of
//! an instance. Each word has one rule for what cannot be read; such words are counted and change nothing.

use crate::limits::LimitSignal;
use passway_types::prelude::*;

/// All that the head of an answer says of its upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct UpstreamSignals {
    /// How many requests it takes.
    pub limit: LimitSignal,
    /// Whether it leaves.
    pub leaving: LeavingSignal,
    /// For how long it wants nothing from the instance that it answers.
    pub backoff: BackoffSignal,
}

impl UpstreamSignals {
    /// An answer that says nothing.
    pub const NONE: Self = Self {
        limit: LimitSignal::Absent,
        leaving: LeavingSignal::Absent,
        backoff: BackoffSignal::Absent,
    };

    /// The words that are there and cannot be read, by the names under which they are counted.
    pub fn unusable_names(&self) -> impl Iterator<Item = &'static str> {
        let limit = (self.limit == LimitSignal::Unusable).then_some("limit");
        let leaving = (self.leaving == LeavingSignal::Unusable).then_some("leaving");
        let rest = (self.backoff == BackoffSignal::Unusable).then_some("rest");
        [limit, leaving, rest].into_iter().flatten()
    }
}

/// Whether an answer says that its upstream leaves. That is final for a start of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeavingSignal {
    /// It does not say so. What was said before stands.
    Absent,
    /// It leaves.
    Leaving,
    /// It says something else than that it leaves, and goes on being used: a word that is false would
    /// take the upstream away for the rest of its start.
    Unusable,
}

/// For how long an upstream wants nothing from the instance that it has turned away.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BackoffSignal {
    /// It does not say.
    Absent,
    /// For this time, which may be zero. Of several times that an answer names, the longest.
    For(Duration),
    /// None of what it says can be read: it has turned one request away and asks for nothing more.
    Unusable,
}
