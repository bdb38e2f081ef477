//! Messages by which candidates carry a holder that the store does not answer.

use super::{INSTANCES, Mix, World};
use passway_serving::leadership::{Candidate, Holder};
use passway_types::prelude::*;
use rand::RngExt;

/// Pause between two rounds of a holder's questions.
const ASK_PAUSE_MS: u64 = 300;
/// Longest time for a message between instances that nothing holds up.
const TRAVEL_MS: u64 = 20;
/// The same for one that is held up.
const HELD_UP_MS: u64 = 250;

/// Longest time for a word of a holder where words are slow; less than the pause of those
/// that are no candidates.
const SLOW_WORD_MS: u64 = 2_500;

/// A message between instances.
#[derive(Debug, Clone)]
pub(super) enum Letter {
    /// A holder asks a candidate to promise.
    Asks {
        from: usize,
        fence: Fence,
        asked_ms: u64,
    },
    /// A candidate promises.
    Promises {
        from: usize,
        fence: Fence,
        asked_ms: u64,
    },
    /// A candidate's process ends.
    Leaves { from: usize, fence: Fence },
}

impl World {
    fn post(&mut self, to: usize, letter: Letter) {
        let is_faulty = self.mix != Mix::None;
        if is_faulty && self.rng.random_bool(0.02) {
            return;
        }
        let is_held_up = is_faulty && self.rng.random_bool(0.1);
        let most = if is_held_up { HELD_UP_MS } else { TRAVEL_MS };
        let at = self.now_ms + self.rng.random_range(1..most);
        self.instances[to].letters.push((at, letter));
    }

    /// Whoever has taken the key says so at once to those who may carry another holder.
    pub(super) fn tell_all(&mut self, from: usize, holder: &Holder) {
        let most = if self.mix == Mix::SlowWords {
            SLOW_WORD_MS
        } else {
            HELD_UP_MS
        };
        for number in (0..INSTANCES).filter(|number| *number != from) {
            let at = self.now_ms + self.rng.random_range(1..most);
            self.instances[number].words.push((at, holder.clone()));
        }
    }

    /// Holders that the store does not answer ask their candidates.
    pub(super) fn ask_promises(&mut self) {
        let now_ms = self.now_ms;
        if !now_ms.is_multiple_of(ASK_PAUSE_MS) {
            return;
        }
        let now = self.now();
        for from in 0..INSTANCES {
            let holder = &self.instances[from];
            let is_awake = now_ms >= holder.starts_at && now_ms >= holder.frozen_until;
            let Some(fence) = holder
                .leadership
                .promise_request_fence(now)
                .filter(|_| is_awake)
            else {
                continue;
            };
            for to in (0..INSTANCES).filter(|to| *to != from) {
                let asked_ms = now_ms;
                self.post(
                    to,
                    Letter::Asks {
                        from,
                        fence,
                        asked_ms,
                    },
                );
            }
        }
    }

    /// Takes in messages that have come.
    pub(super) fn take_letters(&mut self, number: usize) {
        let (now, now_ms) = (self.now(), self.now_ms);
        let letters = &mut self.instances[number].letters;
        let due: Vec<_> = letters.extract_if(.., |(at, _)| *at <= now_ms).collect();
        for (_, letter) in due {
            let asker = match &letter {
                Letter::Asks { from, .. } => self.instances[*from].name.clone(),
                _ => InstanceId::from(""),
            };
            let instance = &mut self.instances[number];
            match letter {
                Letter::Asks {
                    from,
                    fence,
                    asked_ms,
                } => {
                    // What a candidate believes of the store may be wrong either way.
                    let answers = if self.mix == Mix::None {
                        now_ms >= self.store.away_until
                    } else {
                        self.rng.random_bool(0.1)
                    };
                    let letter = if instance.is_released {
                        Letter::Leaves {
                            from: number,
                            fence,
                        }
                    } else if instance
                        .leadership
                        .try_promise(&asker, answers, now)
                        .is_ok()
                    {
                        Letter::Promises {
                            from: number,
                            fence,
                            asked_ms,
                        }
                    } else {
                        continue;
                    };
                    self.post(from, letter);
                }
                Letter::Promises {
                    from,
                    fence,
                    asked_ms,
                } => {
                    let asked_at = self.begun_at + Duration::from_millis(asked_ms);
                    let name = self.instances[from].name.clone();
                    let leadership = &mut self.instances[number].leadership;
                    leadership.record_promise(&name, fence, asked_at);
                }
                Letter::Leaves { from, fence } => {
                    let name = self.instances[from].name.clone();
                    self.instances[number]
                        .leadership
                        .record_departure(&name, fence);
                }
            }
        }
    }

    /// The candidates that a holder would have: all that run, itself among them.
    pub(super) fn want_candidates(&mut self, number: usize) {
        let now_ms = self.now_ms;
        let running = self.instances.iter().filter(|i| now_ms >= i.starts_at);
        let candidates = running.map(|instance| Candidate {
            instance: instance.name.clone(),
            address: ([127, 0, 0, 1], 9).into(),
        });
        let wanted = candidates.collect();
        self.instances[number]
            .leadership
            .set_desired_candidates(wanted);
    }
}
