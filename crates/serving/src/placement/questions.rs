//! How many engines the holder asks for their state.
//!
//! A term begins with a question to each engine. A thousand of them at one moment take two seconds of a
//! quarter of a core, in which the holder's lease runs out; its successor would do the same. So they are spread.

use passway_types::prelude::*;

/// Questions a second: each takes half a millisecond of a core.
const PER_S: f64 = 100.0;
/// Questions at once, so that a small fleet is known at once.
const BURST: f64 = 32.0;
/// Pause after which there is room for another question.
const PAUSE: Duration = Duration::from_millis(10);

/// Room for questions that nothing but a new term asks for.
#[derive(Debug)]
pub(super) struct Questions {
    room: f64,
    at: Option<Instant>,
    /// Whether there was none for an engine when it was looked for last.
    has_lacked: bool,
}

impl Default for Questions {
    fn default() -> Self {
        Self {
            room: BURST,
            at: None,
            has_lacked: false,
        }
    }
}

impl Questions {
    /// A pass begins.
    pub(super) fn begin_pass(&mut self, now: Instant) {
        let since = self.at.replace(now).unwrap_or(now);
        let passed = now.saturating_duration_since(since).as_secs_f64();
        self.room = (self.room + PER_S * passed).min(BURST);
        self.has_lacked = false;
    }

    /// Whether an engine may be asked now.
    pub(super) fn take(&mut self) -> bool {
        let has_room = self.room >= 1.0;
        if has_room {
            self.room -= 1.0;
        }
        self.has_lacked |= !has_room;
        has_room
    }

    /// When an engine can be asked that could not be.
    pub(super) fn room_at(&self) -> Option<Instant> {
        let at = self.at.filter(|_| self.has_lacked)?;
        Some(at + PAUSE)
    }
}
