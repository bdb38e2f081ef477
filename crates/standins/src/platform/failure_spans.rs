//! Times in which servers fail most requests, so that all callers need retries at once.

use super::raw::Received;
use passway_types::prelude::*;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Of [`NUMBER_CYCLE`] consecutive requests, the first two are refused, and the next six get no answer.
const REFUSED_BELOW: usize = 2;
const CLOSED_BELOW: usize = 8;
const NUMBER_CYCLE: usize = 10;

/// How a server fails a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// The server answers that it has not run the request.
    Refused,
    /// The server runs the request and closes the connection without an answer.
    Closed,
}

/// A time in which requests fail.
#[derive(Debug, Clone, Copy)]
struct Span {
    began_at: Instant,
    /// `None` while it goes on.
    ended_at: Option<Instant>,
}

/// The times in which several servers fail most requests. Whether a request fails depends only on when it
/// arrived and on its number, so a check can determine it afterwards.
#[derive(Debug, Default)]
pub struct FailureSpans {
    spans: Mutex<Vec<Span>>,
}

impl FailureSpans {
    fn lock(&self) -> MutexGuard<'_, Vec<Span>> {
        self.spans.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Begins a span unless one goes on.
    pub fn begin(&self) {
        let mut spans = self.lock();
        if spans.last().is_none_or(|span| span.ended_at.is_some()) {
            spans.push(Span {
                began_at: Instant::now(),
                ended_at: None,
            });
        }
    }

    /// Ends the span that goes on, if any.
    pub fn end(&self) {
        if let Some(span) = self.lock().last_mut() {
            span.ended_at.get_or_insert_with(Instant::now);
        }
    }

    /// Returns how a server fails the request; `None` if it serves it.
    pub fn failure(&self, received: &Received) -> Option<Failure> {
        let arrived_at = received.arrived_at;
        let spans = self.lock();
        let is_in_span = spans.iter().any(|span| {
            arrived_at >= span.began_at
                && span.ended_at.is_none_or(|ended_at| arrived_at < ended_at)
        });
        match received.number % NUMBER_CYCLE {
            _ if !is_in_span => None,
            number if number < REFUSED_BELOW => Some(Failure::Refused),
            number if number < CLOSED_BELOW => Some(Failure::Closed),
            _ => None,
        }
    }
}
