//! Events of a stream: only whole ones are passed on, so that a stream can go on elsewhere.

/// Largest part of an event that is kept until the event is whole, in bytes: as much as of an
/// answer that is no stream.
const MAX_PARTIAL_BYTES: usize = 1 << 20;

/// An event is larger than any that is kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EventTooLarge;

/// Cuts a stream into whole events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: Vec<u8>,
    last_id: Option<u64>,
    last_id_text: Option<String>,
}

/// The end of the event that begins at `from`, behind its empty line.
fn event_end(bytes: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    for (at, byte) in bytes.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let line = &bytes[line_start..at];
        if line.is_empty() || line == b"\r" {
            return Some(at + 1);
        }
        line_start = at + 1;
    }
    None
}

fn event_id(event: &[u8]) -> Option<String> {
    event.split(|byte| *byte == b'\n').find_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        let text = std::str::from_utf8(value).ok()?;
        Some(text.trim().to_owned())
    })
}

impl EventSplitter {
    /// Adds bytes and moves whole events to `out`, leaving out those that went before.
    ///
    /// # Errors
    /// If an event is too large to be kept until it is whole; nothing more is kept then.
    pub fn push(&mut self, bytes: &[u8], out: &mut Vec<u8>) -> Result<(), EventTooLarge> {
        if self.partial.len() > MAX_PARTIAL_BYTES {
            return Err(EventTooLarge);
        }
        self.partial.extend_from_slice(bytes);
        let mut used = 0;
        while let Some(length) = event_end(&self.partial[used..]) {
            let event = &self.partial[used..used + length];
            used += length;
            let text = event_id(event);
            let number = text.as_ref().and_then(|text| text.parse::<u64>().ok());
            if let (Some(number), Some(last)) = (number, self.last_id)
                && number <= last
            {
                continue;
            }
            if text.is_some() {
                self.last_id = number;
                self.last_id_text = text;
            }
            out.extend_from_slice(event);
        }
        self.partial.drain(..used);
        Ok(())
    }

    /// The id of the last event passed on.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id_text.as_deref()
    }

    /// Bytes behind the last whole event, at a clean end of the stream.
    pub fn take_remainder(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.partial)
    }

    /// Forgets a part of an event whose stream broke.
    pub fn drop_partial(&mut self) {
        self.partial.clear();
    }
}
