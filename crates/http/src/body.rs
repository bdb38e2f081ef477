//! The body of an answer: bytes, or a reader from which each chunk is sent immediately.

use bytes::Bytes;
use hyper::body::{Body as HttpBody, Frame, SizeHint};
use std::fmt;
use std::io::{self, Read};
use std::pin::Pin;
use std::task::{Context, Poll};

/// Maximum number of bytes per read from a reader.
const CHUNK_BYTES: usize = 16 << 10;

/// The body of an answer.
pub struct Body {
    source: Source,
    /// Whether the last frame may still be in the connection's write buffer.
    needs_flush: bool,
    on_end: Option<Box<dyn FnOnce() + Send>>,
}

enum Source {
    Whole(Option<Bytes>),
    Reader(Box<dyn Read + Send>),
}

impl Body {
    /// Creates a body from bytes.
    pub fn new(bytes: impl Into<Bytes>) -> Self {
        let bytes = Some(bytes.into()).filter(|bytes| !bytes.is_empty());
        Self {
            source: Source::Whole(bytes),
            needs_flush: false,
            on_end: None,
        }
    }

    /// Creates a body that is read from `reader`, which may block.
    ///
    /// Each chunk is sent before the next one is read. A read error closes the connection, so that
    /// the caller recognizes that the answer is incomplete.
    pub fn from_reader(reader: impl Read + Send + 'static) -> Self {
        Self {
            source: Source::Reader(Box::new(reader)),
            needs_flush: false,
            on_end: None,
        }
    }

    /// Sets a function that is called after the body was sent or abandoned.
    pub(crate) fn set_on_end(&mut self, on_end: impl FnOnce() + Send + 'static) {
        self.on_end = Some(Box::new(on_end));
    }
}

impl Drop for Body {
    fn drop(&mut self) {
        if let Some(on_end) = self.on_end.take() {
            on_end();
        }
    }
}

impl fmt::Debug for Body {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Body").finish_non_exhaustive()
    }
}

impl<T: Into<Bytes>> From<T> for Body {
    fn from(bytes: T) -> Self {
        Self::new(bytes)
    }
}

impl HttpBody for Body {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        let this = &mut *self;
        match &mut this.source {
            Source::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Source::Reader(_) if this.needs_flush => {
                // `hyper` flushes its buffer when a body returns `Pending`. Without this, a token
                // would stay in the buffer until the next one arrives.
                this.needs_flush = false;
                context.waker().wake_by_ref();
                Poll::Pending
            }
            Source::Reader(reader) => {
                let mut chunk = vec![0; CHUNK_BYTES];
                match reader.read(&mut chunk) {
                    Ok(0) => Poll::Ready(None),
                    Ok(count) => {
                        chunk.truncate(count);
                        this.needs_flush = true;
                        Poll::Ready(Some(Ok(Frame::data(chunk.into()))))
                    }
                    Err(error) => Poll::Ready(Some(Err(error))),
                }
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self.source, Source::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match &self.source {
            Source::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64)
            }
            Source::Reader(_) => SizeHint::default(),
        }
    }
}
