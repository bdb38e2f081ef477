//! The times at which a part of the cluster was disturbed.

use passway_types::prelude::*;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// The disturbances of one part of the cluster.
#[derive(Debug, Default)]
pub struct DisturbanceLog {
    spans: Mutex<Vec<Span>>,
}

/// One disturbance.
#[derive(Debug, Clone, Copy)]
struct Span {
    began_at: Instant,
    /// `None` while the disturbance goes on.
    ended_at: Option<Instant>,
}

impl DisturbanceLog {
    fn spans(&self) -> MutexGuard<'_, Vec<Span>> {
        self.spans.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a disturbance that begins at this time, which may lie ahead. Returns its number.
    pub fn begin(&self, began_at: Instant) -> usize {
        let mut spans = self.spans();
        spans.push(Span {
            began_at,
            ended_at: None,
        });
        spans.len() - 1
    }

    /// Ends the disturbance with this number.
    pub fn end(&self, number: usize) {
        if let Some(span) = self.spans().get_mut(number) {
            span.ended_at.get_or_insert_with(Instant::now);
        }
    }

    /// Ends all disturbances.
    pub fn end_all(&self) {
        for span in &mut *self.spans() {
            span.ended_at.get_or_insert_with(Instant::now);
        }
    }

    /// Returns whether there was a disturbance at some time from `from` to `until`.
    pub fn overlaps(&self, from: Instant, until: Instant) -> bool {
        let is_within =
            |span: &Span| span.began_at <= until && span.ended_at.is_none_or(|ended| ended >= from);
        self.spans().iter().any(is_within)
    }
}
