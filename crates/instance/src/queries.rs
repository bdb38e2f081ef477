//! Datagram queries to other instances. Each is sent at most twice.

use crossbeam::channel::{Sender, bounded};
use passway_types::clock;
use passway_types::prelude::*;
use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Time to wait before a query is sent again: a round trip between halls takes about 3 ms, and an
/// instance with a fraction of a core may start late.
const RESEND_AFTER: Duration = Duration::from_millis(25);
/// Time to wait for an answer after that: 60 ms in total.
const SECOND_TIMEOUT: Duration = Duration::from_millis(35);

/// Queries of one kind that wait for answers, by id.
#[derive(Debug)]
pub struct PendingQueries<A> {
    waiting: Mutex<HashMap<u64, Sender<A>>>,
}

impl<A> Default for PendingQueries<A> {
    fn default() -> Self {
        Self {
            waiting: Mutex::default(),
        }
    }
}

impl<A> PendingQueries<A> {
    fn waiting(&self) -> MutexGuard<'_, HashMap<u64, Sender<A>>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends a query with a unique id, and once more if there is no answer in time; `None` without
    /// an answer.
    pub fn send_and_wait(&self, id: u64, send: impl Fn()) -> Option<A> {
        self.send_and_wait_for(id, RESEND_AFTER + SECOND_TIMEOUT, send)
    }

    /// The same with another time to wait in total, of which the second query has all but the first
    /// part.
    pub fn send_and_wait_for(&self, id: u64, timeout: Duration, send: impl Fn()) -> Option<A> {
        let (sender, answers) = bounded(2);
        self.waiting().insert(id, sender);
        send();
        let mut answer = answers.recv_timeout(RESEND_AFTER.min(timeout));
        if answer.is_err() {
            send();
            answer = answers.recv_timeout(timeout.saturating_sub(RESEND_AFTER));
        }
        self.waiting().remove(&id);
        answer.ok()
    }

    /// Sends a query with a unique id to several instances. Returns the answers that arrive within
    /// `timeout`, at most `count`.
    pub fn send_and_collect(
        &self,
        id: u64,
        count: usize,
        timeout: Duration,
        send: impl FnOnce(),
    ) -> Vec<A> {
        let (sender, received) = bounded(count);
        self.waiting().insert(id, sender);
        send();
        let until = clock::now() + timeout;
        let mut answers = Vec::new();
        while answers.len() < count {
            let remaining = until.saturating_duration_since(clock::now());
            let Ok(answer) = received.recv_timeout(remaining) else {
                break;
            };
            answers.push(answer);
        }
        self.waiting().remove(&id);
        answers
    }

    /// Delivers an answer to the waiting query. A late or duplicate answer is dropped.
    pub fn deliver_answer(&self, id: u64, answer: A) {
        if let Some(sender) = self.waiting().get(&id) {
            let _ = sender.try_send(answer);
        }
    }
}
