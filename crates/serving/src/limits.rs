//! What upstreams say that they take a second.
//!
//! An upstream in need names in its answers how many requests a second it takes from all instances
//! together, for as long as it says so. Answers overtake each other, and many instances hear them, so
//! words have an order of their own ([`LimitWord::replaces`]). They live and die with the start of
//! the upstream that said them.
//!
//! There is no I/O and no clock here.

use passway_types::prelude::*;

/// What the head of an answer says about how much its upstream takes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum NamedLimit {
    /// Nothing: the upstream is in no need.
    Absent,
    /// So many requests a second, from all instances together; finite and not below 0.
    PerSecond(f64),
    /// It says something that cannot be read, so that what was known before stays.
    Unusable,
}

/// A limit that an upstream named, or that it names none, and when.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitWord {
    /// Requests a second; `None` if the upstream is in no need.
    pub per_s: Option<f64>,
    /// When the request was sent whose answer says so: the upstream said it after that.
    pub sent_at: Instant,
    /// When the answer's head was there: the upstream said it before that.
    pub heard_at: Instant,
}

impl LimitWord {
    /// Whether this is what holds now, with another word known.
    ///
    /// A word whose request was sent after the other was heard is the newer one for certain. Of two
    /// that may have overtaken each other the one that allows less counts, until the next.
    pub fn replaces(&self, known: &Self) -> bool {
        if self.sent_at >= known.heard_at {
            return true;
        }
        if known.sent_at >= self.heard_at {
            return false;
        }
        let allowed = |word: &Self| word.per_s.unwrap_or(f64::INFINITY);
        allowed(self) < allowed(known)
    }
}
