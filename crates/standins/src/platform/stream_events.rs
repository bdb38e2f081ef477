//! The events of streams whose every event names the stream, the run that sent it and the software version
//! of the server, so that a caller can tell each event from all others.

use passway_types::hash::stable_hash;

/// The lengths of a server's streams and of their events.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StreamShape {
    /// Minimum number of events in a stream, at least one.
    pub min_events: u64,
    /// Maximum number of events in a stream.
    pub max_events: u64,
    /// Maximum length of the padding of an event, in bytes.
    pub max_padding_bytes: u64,
}

/// One run of a stream at a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BegunRun {
    /// Name of the run, unique within the process.
    pub name: String,
    /// Id of the request.
    pub request_id: String,
    /// Body of the request: the id of the first request for the stream, which later ones send again.
    pub stream: String,
    /// Number of the event after which the request resumes the stream; 0 for a new one.
    pub resumed_after: u64,
    /// Whether the run continues another one with a copy of its memory, and counts as the same run.
    pub is_continuation: bool,
    /// Version of the server's software.
    pub software: String,
    /// Lengths of the stream and its events.
    pub shape: StreamShape,
}

impl StreamShape {
    /// Returns the number of events of a stream, near the minimum in most streams.
    pub fn event_count(&self, stream: &str) -> u64 {
        let hash = stable_hash(&[stream.as_bytes()]);
        let (first, second) = (hash >> 32, hash & u64::from(u32::MAX));
        let range = self.max_events - self.min_events + 1;
        self.min_events + first % range * (second % range) / range
    }
}

impl BegunRun {
    /// Returns the bytes of an event of this run.
    pub fn event(&self, number: u64) -> String {
        let Self {
            stream,
            name,
            software,
            shape,
            ..
        } = self;
        let padding_bytes = stable_hash(&[&number.to_le_bytes()]) % (shape.max_padding_bytes + 1);
        let padding = "x".repeat(usize::try_from(padding_bytes).unwrap_or(0));
        format!("id: {number}\ndata: token{number} {name} {stream} .{padding} {software}\n\n")
    }

    /// Returns the number of the stream's last event.
    pub fn last_event(&self) -> u64 {
        self.shape.event_count(&self.stream)
    }
}

/// Returns the name of the run that sent an event, as the event names it.
pub fn run_of_event(event: &str) -> Option<&str> {
    let data = event.lines().find_map(|line| line.strip_prefix("data: "))?;
    data.split(' ').nth(1)
}
