//! Messages by which candidates extend the leadership of a holder that the store does not answer.

use super::{INSTANCES, Mix, World};
use passway_serving::leadership::{Candidate, Holder};
use passway_types::prelude::*;
use rand::RngExt;

/// Interval between two rounds of a holder's requests.
const REQUEST_INTERVAL_MS: u64 = 300;
/// Maximum delay of a message between instances without a fault.
const MAX_DELAY_MS: u64 = 20;
/// Maximum delay of a message that is late.
const MAX_LATE_DELAY_MS: u64 = 250;

/// Maximum delay of a holder's announcement where announcements are slow; shorter than the gap
/// for which an instance that is not a candidate waits after it takes the key.
const MAX_SLOW_ANNOUNCEMENT_MS: u64 = 2_500;

/// A message between instances.
#[derive(Debug, Clone)]
pub(super) enum PromiseMessage {
    /// A holder asks a candidate to promise.
    Request {
        from: usize,
        fence: Fence,
        sent_ms: u64,
    },
    /// A candidate promises.
    Promise {
        from: usize,
        fence: Fence,
        sent_ms: u64,
    },
    /// A candidate's process terminates.
    Departure { from: usize, fence: Fence },
}

impl World {
    fn send_message(&mut self, to: usize, message: PromiseMessage) {
        let is_faulty = self.mix != Mix::None;
        if is_faulty && self.rng.random_bool(0.02) {
            return;
        }
        let is_late = is_faulty && self.rng.random_bool(0.1);
        let max_ms = if is_late {
            MAX_LATE_DELAY_MS
        } else {
            MAX_DELAY_MS
        };
        let at = self.now_ms + self.rng.random_range(1..max_ms);
        self.instances[to].promise_messages.push((at, message));
    }

    /// Announces an instance that has taken the key to all others, which may be extending another
    /// leadership.
    pub(super) fn announce_to_all(&mut self, from: usize, holder: &Holder) {
        let max_ms = if self.mix == Mix::SlowAnnouncements {
            MAX_SLOW_ANNOUNCEMENT_MS
        } else {
            MAX_LATE_DELAY_MS
        };
        for number in (0..INSTANCES).filter(|number| *number != from) {
            let at = self.now_ms + self.rng.random_range(1..max_ms);
            self.instances[number]
                .announcements
                .push((at, holder.clone()));
        }
    }

    /// Sends requests of holders that the store does not answer to their candidates.
    pub(super) fn request_promises(&mut self) {
        let now_ms = self.now_ms;
        if !now_ms.is_multiple_of(REQUEST_INTERVAL_MS) {
            return;
        }
        let now = self.now();
        for from in 0..INSTANCES {
            let holder = &self.instances[from];
            let is_active = now_ms >= holder.starts_at && now_ms >= holder.paused_until;
            let Some(fence) = holder
                .leadership
                .promise_request_fence(now)
                .filter(|_| is_active)
            else {
                continue;
            };
            for to in (0..INSTANCES).filter(|to| *to != from) {
                let sent_ms = now_ms;
                self.send_message(
                    to,
                    PromiseMessage::Request {
                        from,
                        fence,
                        sent_ms,
                    },
                );
            }
        }
    }

    /// Handles the messages that have arrived.
    pub(super) fn receive_promise_messages(&mut self, number: usize) {
        let (now, now_ms) = (self.now(), self.now_ms);
        let promise_messages = &mut self.instances[number].promise_messages;
        let due: Vec<_> = promise_messages
            .extract_if(.., |(at, _)| *at <= now_ms)
            .collect();
        for (_, message) in due {
            let asker = match &message {
                PromiseMessage::Request { from, .. } => self.instances[*from].name.clone(),
                _ => InstanceId::from(""),
            };
            let instance = &mut self.instances[number];
            match message {
                PromiseMessage::Request {
                    from,
                    fence,
                    sent_ms,
                } => {
                    // A candidate's view of the store may be wrong in both directions.
                    let answers = if self.mix == Mix::None {
                        now_ms >= self.store.unavailable_until
                    } else {
                        self.rng.random_bool(0.1)
                    };
                    let message = if instance.is_released {
                        PromiseMessage::Departure {
                            from: number,
                            fence,
                        }
                    } else if instance
                        .leadership
                        .try_promise(&asker, answers, now)
                        .is_ok()
                    {
                        PromiseMessage::Promise {
                            from: number,
                            fence,
                            sent_ms,
                        }
                    } else {
                        continue;
                    };
                    self.send_message(from, message);
                }
                PromiseMessage::Promise {
                    from,
                    fence,
                    sent_ms,
                } => {
                    let sent_at = self.started_at + Duration::from_millis(sent_ms);
                    let name = self.instances[from].name.clone();
                    let leadership = &mut self.instances[number].leadership;
                    leadership.record_promise(&name, fence, sent_at);
                }
                PromiseMessage::Departure { from, fence } => {
                    let name = self.instances[from].name.clone();
                    self.instances[number]
                        .leadership
                        .record_departure(&name, fence);
                }
            }
        }
    }

    /// Sets the desired candidates of an instance: all running ones, including itself.
    pub(super) fn update_candidates(&mut self, number: usize) {
        let now_ms = self.now_ms;
        let running = self
            .instances
            .iter()
            .filter(|instance| now_ms >= instance.starts_at);
        let candidates = running.map(|instance| Candidate {
            instance: instance.name.clone(),
            address: ([127, 0, 0, 1], 9).into(),
        });
        let candidates = candidates.collect();
        self.instances[number]
            .leadership
            .set_desired_candidates(candidates);
    }
}
