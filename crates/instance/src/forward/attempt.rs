//! One attempt at an upstream: its target, its outcome, and what was delivered of its answer.

use super::ConnectionReuse;
use super::backup::BackupEngine;
use crate::denials::Denial;
use crate::events::EventSplitter;
use crate::http1::{AnswerHead, CompletenessProof};
use passway_serving::dispatch::RunId;
use passway_serving::memory::MemoryReservation;
use passway_serving::poison::UpstreamStart;
use passway_serving::ports::ContinuedRun;
use passway_serving::upstreams::{ListedStart, Outcome};
use passway_types::prelude::*;
use std::net::SocketAddr;

/// How one attempt ended.
#[derive(Debug)]
pub(super) enum Attempt {
    /// The answer was delivered to the caller.
    Answered(ConnectionReuse),
    /// The caller closed its connection, or the connection broke.
    CallerGone,
    /// The upstream has not run the request and never will.
    NotRun(Outcome),
    /// No connection could be made, so nothing was sent.
    NotSent,
    /// The upstream no longer admits the request; nothing was sent.
    NotPermitted,
    /// The upstream may have run the request; its answer broke off or was invalid.
    Broken,
    /// The upstream was silent, and another one has begun to answer in its place.
    Replaced,
    /// The upstream answered with a failure that it vouches for.
    Failed(Box<FailedAnswer>),
    /// The request is not admitted, or no longer; nothing was sent.
    Denied(Denial),
    /// The deadline has passed.
    TimedOut,
    /// The process is about to exit; the upstream may have run the request.
    Stopping,
}

/// A failure that an upstream vouches for, kept in case no other upstream answers better.
#[derive(Debug)]
pub(super) struct FailedAnswer {
    pub(super) head: AnswerHead,
    pub(super) body: Vec<u8>,
    pub(super) proof: CompletenessProof,
    /// The memory of the body.
    #[expect(dead_code, reason = "released on drop")]
    pub(super) memory: MemoryReservation,
}

/// What has been delivered to the caller, over all attempts.
#[derive(Debug, Default)]
pub(super) struct Delivery {
    pub(super) head_sent: bool,
    pub(super) chunked: bool,
    pub(super) splitter: EventSplitter,
    /// The last event that the caller had received when another instance passed the request on.
    pub(super) resume_after: Option<String>,
}

impl Delivery {
    /// The last event that the caller has received, as far as this attempt must know it.
    pub(super) fn last_event_id(&self) -> Option<String> {
        let own = self.splitter.last_id().map(str::to_owned);
        own.or_else(|| self.resume_after.clone())
    }
}

/// An upstream chosen for an attempt.
#[derive(Debug, Clone)]
pub(super) struct Target {
    pub(super) id: UpstreamId,
    pub(super) address: SocketAddr,
    /// The start of the upstream that was listed at the time of the choice.
    pub(super) start: ListedStart,
    /// Whether the coordinator, or the local share, has granted the request at this limited
    /// upstream.
    pub(super) has_limit_grant: bool,
    /// The id of the run, where engines have dispatchers.
    pub(super) run_id: Option<RunId>,
    /// The engine that keeps a copy of the run.
    pub(super) backup: Option<BackupEngine>,
    /// The run that the attempt continues.
    pub(super) continues: Option<ContinuedRun>,
}

impl Target {
    /// The start of the upstream at the time of the choice.
    pub(super) fn upstream_start(&self) -> UpstreamStart {
        UpstreamStart {
            upstream: self.id.clone(),
            started_at_ms: self.start.started_at_ms,
        }
    }
}

impl Attempt {
    /// Whether the upstream may have run the request.
    pub(super) fn may_have_run(&self) -> bool {
        !matches!(
            self,
            Self::NotRun(_) | Self::NotSent | Self::NotPermitted | Self::Denied(_)
        )
    }

    /// Whether nothing of the request was sent.
    pub(super) fn is_unsent(&self) -> bool {
        matches!(self, Self::NotSent | Self::NotPermitted | Self::Denied(_))
    }

    /// The outcome that is recorded in the upstream's state.
    pub(super) fn outcome(&self) -> Outcome {
        match self {
            Self::Answered(_) => Outcome::Answered,
            Self::CallerGone | Self::Stopping | Self::Denied(_) | Self::NotPermitted => {
                Outcome::Unknown
            }
            Self::NotRun(outcome) => *outcome,
            Self::NotSent => Outcome::Unreachable,
            Self::Broken | Self::Replaced | Self::Failed(_) | Self::TimedOut => Outcome::Failed,
        }
    }

    /// The name for logs and metrics.
    pub(super) fn name(&self) -> &'static str {
        match self {
            Self::Answered(_) => "answered",
            Self::CallerGone => "caller gone",
            Self::NotRun(_) => "not run",
            Self::NotSent => "not sent",
            Self::NotPermitted => "unwanted",
            Self::Denied(_) => "denied",
            Self::Broken => "broken",
            Self::Replaced => "replaced",
            Self::Failed(_) => "failed",
            Self::TimedOut => "timed out",
            Self::Stopping => "ended by the stop",
        }
    }
}
