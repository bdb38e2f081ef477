//! Questions to other instances by datagram: each is asked again once, and then not waited for.

use crossbeam::channel::{Sender, bounded};
use passway_types::prelude::*;
use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Time for an answer before the question is asked again: a round trip between halls takes
/// some 3 ms, and an instance with a part of a core may begin late.
const RESEND_AFTER: Duration = Duration::from_millis(25);
/// Time for an answer to the second question: 60 ms in all.
const SECOND_TIMEOUT: Duration = Duration::from_millis(35);

/// Questions of one kind that wait for answers, by number.
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

    /// Sends a question with a number of its own, again if that is needed; `None` without an
    /// answer.
    pub fn send_and_wait(&self, id: u64, send: impl Fn()) -> Option<A> {
        let (sender, answers) = bounded(2);
        self.waiting().insert(id, sender);
        send();
        let mut answer = answers.recv_timeout(RESEND_AFTER);
        if answer.is_err() {
            send();
            answer = answers.recv_timeout(SECOND_TIMEOUT);
        }
        self.waiting().remove(&id);
        answer.ok()
    }

    /// An answer has come. One that comes late, or twice, is of no use.
    pub fn deliver_answer(&self, id: u64, answer: A) {
        if let Some(sender) = self.waiting().get(&id) {
            let _ = sender.try_send(answer);
        }
    }
}
