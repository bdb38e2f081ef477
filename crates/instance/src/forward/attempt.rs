//! One attempt at an upstream: where it goes, how it ended, what of its answer went out.

use super::ConnectionReuse;
use super::access::Denial;
use crate::events::EventSplitter;
use crate::http1::AnswerHead;
use passway_serving::dispatch::RunId;
use passway_serving::poison::UpstreamStart;
use passway_serving::upstreams::Outcome;
use passway_types::prelude::*;
use std::net::SocketAddr;

/// How one attempt ended.
#[derive(Debug)]
pub(super) enum Attempt {
    /// The caller has the answer.
    Answered(ConnectionReuse),
    /// The caller left, or its connection broke.
    CallerGone,
    /// The upstream has not run it and never will.
    NotRun(Outcome),
    /// No connection could be made, so nothing of it was sent.
    NotSent,
    /// The upstream has said meanwhile that it does not want it; nothing of it was sent.
    NotPermitted,
    /// It may have run; the answer broke off or was no answer.
    Broken,
    /// The upstream failed and says so.
    Failed(Box<FailedAnswer>),
    /// It may not go, or not any more; nothing of it was sent.
    Denied(Denial),
    /// The time is over.
    TimedOut,
    /// The process is about to end; the request may have run.
    Stopping,
}

/// A failure that an upstream vouches for, kept in case nobody does better.
#[derive(Debug)]
pub(super) struct FailedAnswer {
    pub(super) head: AnswerHead,
    pub(super) body: Vec<u8>,
}

/// What has gone to the caller, over all attempts.
#[derive(Debug, Default)]
pub(super) struct Delivery {
    pub(super) head_sent: bool,
    pub(super) chunked: bool,
    pub(super) splitter: EventSplitter,
}

/// An upstream chosen for an attempt.
#[derive(Debug, Clone)]
pub(super) struct Target {
    pub(super) id: UpstreamId,
    pub(super) address: SocketAddr,
    /// When it had started when it was chosen, in Unix milliseconds by its own clock; 0 if it does not tell.
    pub(super) started_at_ms: u64,
    /// Whether the count of all instances has given it a turn there.
    pub(super) has_limit_grant: bool,
    /// The run's number, where engines have dispatchers.
    pub(super) run_id: Option<RunId>,
}

impl Target {
    /// The start of the upstream that was chosen.
    pub(super) fn start(&self) -> UpstreamStart {
        UpstreamStart {
            upstream: self.id.clone(),
            started_at_ms: self.started_at_ms,
        }
    }
}

impl Attempt {
    /// Whether an upstream may have run the request.
    pub(super) fn may_have_run(&self) -> bool {
        !matches!(
            self,
            Self::NotRun(_) | Self::NotSent | Self::NotPermitted | Self::Denied(_)
        )
    }

    pub(super) fn name(&self) -> &'static str {
        match self {
            Self::Answered(_) => "answered",
            Self::CallerGone => "caller gone",
            Self::NotRun(_) => "not run",
            Self::NotSent => "not sent",
            Self::NotPermitted => "unwanted",
            Self::Denied(_) => "denied",
            Self::Broken => "broken",
            Self::Failed(_) => "failed",
            Self::TimedOut => "timed out",
            Self::Stopping => "ended by the stop",
        }
    }
}
