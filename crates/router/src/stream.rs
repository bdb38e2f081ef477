//! Streamed answers: only complete events are forwarded, and a stream that an engine breaks
//! off is resumed at another engine.

use crate::generate::GenerationRequest;
use crate::http::refusal_json;
use passway_types::prelude::*;
use std::io::{self, BufRead, BufReader, Read};

/// The event that ends a complete stream.
const DONE: &[u8] = b"data: [DONE]";
/// Maximum size of an event; a stream with a larger one counts as broken.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// An engine's stream of server-sent events.
pub struct EngineStream {
    reader: BufReader<Box<dyn Read + Send>>,
}

impl std::fmt::Debug for EngineStream {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("EngineStream").finish_non_exhaustive()
    }
}

/// The next event of a stream, or its failure.
#[derive(Debug, PartialEq, Eq)]
pub enum StreamEvent {
    /// A token, with the blank line that ends the event.
    Token(Vec<u8>),
    /// The event that ends a complete stream.
    Done(Vec<u8>),
    /// The stream broke off; an incomplete event is dropped.
    Broken,
}

impl EngineStream {
    /// Reads events from `reader`.
    pub fn new(reader: impl Read + Send + 'static) -> Self {
        Self {
            reader: BufReader::new(Box::new(reader)),
        }
    }

    /// Reads the next event.
    pub fn next_event(&mut self) -> StreamEvent {
        let mut event = Vec::new();
        loop {
            let line_start = event.len();
            match self.reader.read_until(b'\n', &mut event) {
                Ok(0) | Err(_) => return StreamEvent::Broken,
                Ok(_) if event.last() != Some(&b'\n') => return StreamEvent::Broken,
                Ok(_) if event.len() > MAX_EVENT_BYTES => return StreamEvent::Broken,
                Ok(_) => {}
            }
            let line = event[line_start..].trim_ascii();
            if !line.is_empty() {
                continue;
            }
            if line_start == 0 {
                // Skips a blank line before the first line of an event.
                event.clear();
                continue;
            }
            let is_done = event.starts_with(DONE);
            return if is_done {
                StreamEvent::Done(event)
            } else {
                StreamEvent::Token(event)
            };
        }
    }
}

/// The body of a streamed answer.
///
/// The reader forwards only complete events and counts them. If an engine breaks off, the
/// request continues at another engine, which omits as many tokens, so no token is repeated
/// or missing. A stream that cannot be resumed ends with an event that carries a refusal, so
/// the caller never takes it for complete.
#[derive(Debug)]
pub struct StreamReader {
    request: GenerationRequest,
    engine: EngineStream,
    delivered: u32,
    pending: io::Cursor<Vec<u8>>,
    has_ended: bool,
}

impl StreamReader {
    /// Creates a reader that forwards the events of `engine` for `request`.
    pub fn new(request: GenerationRequest, engine: EngineStream) -> Self {
        Self {
            request,
            engine,
            delivered: 0,
            pending: io::Cursor::default(),
            has_ended: false,
        }
    }

    fn fill_pending(&mut self) {
        let bytes = loop {
            match self.engine.next_event() {
                StreamEvent::Token(bytes) => {
                    self.delivered += 1;
                    break bytes;
                }
                StreamEvent::Done(bytes) => {
                    self.has_ended = true;
                    self.request.report_served(self.delivered);
                    break bytes;
                }
                StreamEvent::Broken => match self.request.resume(self.delivered) {
                    Ok(engine) => self.engine = engine,
                    Err(refusal) => {
                        self.has_ended = true;
                        break self.refusal_event(refusal);
                    }
                },
            }
        };
        self.pending = io::Cursor::new(bytes);
    }

    fn refusal_event(&self, mut refusal: Refusal) -> Vec<u8> {
        if self.delivered > 0 {
            // The caller has received tokens, so the request ran, even if the refusal's own
            // code means that it did not.
            refusal.code = ResultCode::AnswerBroken;
        }
        self.request.shared.metrics.count_refused(refusal.code);
        format!("event: error\ndata: {}\n\n", refusal_json(&refusal)).into_bytes()
    }
}

impl Read for StreamReader {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let count = self.pending.read(buffer)?;
        if count > 0 || self.has_ended {
            return Ok(count);
        }
        self.fill_pending();
        self.pending.read(buffer)
    }
}
