//! Splitting a stream into events. Only complete events are delivered, so that another upstream can
//! resume the stream.

/// Largest incomplete event that is buffered, in bytes; the same as for an answer that is not a
/// stream.
const MAX_PARTIAL_BYTES: usize = 1 << 20;

/// Largest buffer that is kept for the next event, in bytes.
const MAX_KEPT_BYTES: usize = 16 << 10;

/// Why a stream cannot be split further.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InvalidEvent {
    /// An event is larger than the bound for incomplete events.
    TooLarge,
    /// An event of a continued run is not the one after the last delivered event.
    OutOfSequence,
    /// More events than were delivered have ids that were delivered before.
    Repeated,
}

/// Splits a stream into complete events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: Vec<u8>,
    /// The search for the end of the event in `partial`.
    scan: EventScan,
    last_id: Option<u64>,
    last_id_text: Option<String>,
    /// Number of delivered events.
    delivered: u64,
    /// Number of events of this attempt, since the last delivered one, whose ids were delivered before.
    repeated: u64,
    /// Whether the ids of delivered events are not consecutive numbers from 0 or 1.
    has_gap: bool,
    /// Whether the last delivered event had no id.
    ends_without_id: bool,
    /// Why the stream cannot be split further, once the events before that were moved.
    failure: Option<InvalidEvent>,
    /// Whether each further event must be the one after the last.
    must_be_consecutive: bool,
}

/// Finds the ends of events in bytes that arrive in parts. Each byte is searched once.
#[derive(Debug, Default)]
struct EventScan {
    /// Number of bytes that were searched.
    searched: usize,
    /// Where the line begins that has not ended.
    line_start: usize,
}

impl EventScan {
    /// Length of the first event in `bytes`, including the empty line at its end; `None` if it has not
    /// ended. The same bytes and further ones are given until it has.
    fn first_event_length(&mut self, bytes: &[u8]) -> Option<usize> {
        for (at, byte) in bytes.iter().enumerate().skip(self.searched) {
            if *byte != b'\n' {
                continue;
            }
            let line = &bytes[self.line_start..at];
            if line.is_empty() || line == b"\r" {
                *self = Self::default();
                return Some(at + 1);
            }
            self.line_start = at + 1;
        }
        self.searched = bytes.len();
        None
    }
}

fn event_id(event: &[u8]) -> Option<String> {
    event.split(|byte| *byte == b'\n').find_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        let text = std::str::from_utf8(value).ok()?;
        Some(text.trim().to_owned())
    })
}

impl EventSplitter {
    /// Appends `bytes` and moves complete events to `out`, except for events that were already
    /// delivered. Returns the number of events that were moved.
    ///
    /// # Errors
    /// If an incomplete event exceeds the bound; nothing more is buffered then. If an event of a
    /// continued run is missing. If the stream repeats more events than were delivered. Events before
    /// the failure are moved first, and the next call fails.
    pub fn push(&mut self, bytes: &[u8], out: &mut Vec<u8>) -> Result<u32, InvalidEvent> {
        if self.partial.len() > MAX_PARTIAL_BYTES {
            return Err(InvalidEvent::TooLarge);
        }
        if let Some(failure) = self.failure {
            return Err(failure);
        }
        self.partial.extend_from_slice(bytes);
        let mut consumed = 0;
        let mut moved = 0;
        while let Some(length) = self.scan.first_event_length(&self.partial[consumed..]) {
            let event = &self.partial[consumed..consumed + length];
            consumed += length;
            let id_text = event_id(event);
            let number = id_text.as_ref().and_then(|text| text.parse::<u64>().ok());
            if let (Some(number), Some(last)) = (number, self.last_id)
                && number <= last
            {
                self.repeated += 1;
                if self.repeated > self.delivered {
                    return self.fail(InvalidEvent::Repeated, moved);
                }
                continue;
            }
            if event.iter().all(|byte| matches!(byte, b'\r' | b'\n')) {
                // An empty line outside an event says nothing.
                out.extend_from_slice(event);
                continue;
            }
            if id_text.is_some() && !self.is_next(number) {
                if self.must_be_consecutive {
                    return self.fail(InvalidEvent::OutOfSequence, moved);
                }
                self.has_gap = true;
            }
            self.delivered += 1;
            self.repeated = 0;
            self.ends_without_id = id_text.is_none();
            if id_text.is_some() {
                self.last_id = number;
                self.last_id_text = id_text;
            }
            out.extend_from_slice(event);
            moved += 1;
        }
        self.partial.drain(..consumed);
        if self.partial.is_empty() && self.partial.capacity() > MAX_KEPT_BYTES {
            self.partial = Vec::new();
        }
        Ok(moved)
    }

    /// Fails at once, or with the next call if events were moved before.
    fn fail(&mut self, failure: InvalidEvent, moved: u32) -> Result<u32, InvalidEvent> {
        self.drop_partial();
        self.failure = Some(failure);
        if moved == 0 { Err(failure) } else { Ok(moved) }
    }

    /// Whether an event with this number follows the last delivered one. Streams number their events
    /// from 0 or 1.
    fn is_next(&self, number: Option<u64>) -> bool {
        match (self.last_id, number) {
            (Some(last), Some(number)) => last.checked_add(1) == Some(number),
            (None, Some(number)) => self.last_id_text.is_none() && number <= 1,
            (_, None) => false,
        }
    }

    /// Whether it can be checked that the events of a continued run follow the delivered ones: their
    /// ids are consecutive numbers, and the last event has one.
    pub fn can_continue(&self) -> bool {
        !self.has_gap && !self.ends_without_id
    }

    /// Requires from now on that no event is missing. Events without an id cannot be checked.
    pub fn begin_continuation(&mut self) {
        self.must_be_consecutive = true;
    }

    /// The number of delivered events.
    pub fn delivered(&self) -> u64 {
        self.delivered
    }

    /// The id of the last delivered event.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id_text.as_deref()
    }

    /// Bytes of an event that has begun and not ended.
    pub fn partial_bytes(&self) -> usize {
        self.partial.len()
    }

    /// Begins with the stream of another attempt.
    pub fn begin_attempt(&mut self) {
        self.drop_partial();
        self.failure = None;
        self.repeated = 0;
    }

    /// Drops an incomplete event of a stream that broke off.
    pub fn drop_partial(&mut self) {
        self.partial = Vec::new();
        self.scan = EventScan::default();
    }
}
