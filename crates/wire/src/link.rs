//! A blocking connection that sends and receives envelopes.

use crate::message::{Body, Envelope};
use bytes::{Bytes, BytesMut};
use prost::Message;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

/// Largest frame: a whole configuration (1 MB in the users' store) and some room.
pub const MAX_FRAME_BYTES: usize = 4 << 20;
/// Bytes read at one time.
const READ_BYTES: usize = 16 << 10;
/// A peer that takes no bytes for this long is given up.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// Unacknowledged bytes end a connection after this time, in milliseconds: one that has
/// fallen silent takes what is written for as long as its buffers do, and an instance's
/// needs would reach nobody. Enough for three lost segments in a row.
const UNACKNOWLEDGED_TIMEOUT_MS: u32 = 1_500;

/// Bytes sent over all links of this process.
static SENT_BYTES: AtomicU64 = AtomicU64::new(0);

/// Bytes sent over all links of this process since its start, frames included.
pub fn sent_bytes() -> u64 {
    SENT_BYTES.load(Ordering::Relaxed)
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec()
}

/// A message as it goes over a link. Clones share the bytes, so one that goes to many peers
/// is encoded and kept once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Frame(Bytes);

impl Frame {
    /// Encodes a message.
    ///
    /// # Errors
    /// If it is larger than [`MAX_FRAME_BYTES`].
    pub fn new(body: Body) -> io::Result<Self> {
        let envelope = Envelope { body: Some(body) };
        let mut frame = BytesMut::new();
        codec().encode(Bytes::from(envelope.encode_to_vec()), &mut frame)?;
        Ok(Self(frame.freeze()))
    }

    /// Its length in bytes.
    pub fn byte_len(&self) -> usize {
        self.0.len()
    }
}

/// The sending half; clones share one connection.
#[derive(Debug, Clone)]
pub struct Link {
    stream: Arc<TcpStream>,
    /// Held while a frame is written, and by nothing else: a peer that takes no bytes holds
    /// the writer up, and must not hold up those who close the connection.
    writing: Arc<Mutex<()>>,
}

/// The receiving half.
#[derive(Debug)]
pub struct LinkReader {
    stream: TcpStream,
    codec: LengthDelimitedCodec,
    buffer: BytesMut,
}

impl Link {
    /// Connects to a peer.
    ///
    /// # Errors
    /// The connection's error.
    pub fn connect(address: SocketAddr, timeout: Duration) -> io::Result<(Self, LinkReader)> {
        Self::from_stream(TcpStream::connect_timeout(&address, timeout)?)
    }

    /// How long bytes that are not acknowledged may be on their way before the connection
    /// ends, in milliseconds; 0 if that is left to the system.
    ///
    /// # Errors
    /// The socket's error.
    pub fn unacknowledged_timeout_ms(&self) -> io::Result<u32> {
        Ok(rustix::net::sockopt::tcp_user_timeout(&*self.stream)?)
    }

    /// Uses an accepted connection.
    ///
    /// # Errors
    /// The socket's error.
    pub fn from_stream(stream: TcpStream) -> io::Result<(Self, LinkReader)> {
        stream.set_nodelay(true)?;
        rustix::net::sockopt::set_tcp_user_timeout(&stream, UNACKNOWLEDGED_TIMEOUT_MS)?;
        stream.set_write_timeout(Some(WRITE_TIMEOUT))?;
        let reading = stream.try_clone()?;
        let reader = LinkReader {
            stream: reading,
            codec: codec(),
            buffer: BytesMut::new(),
        };
        Ok((
            Self {
                stream: Arc::new(stream),
                writing: Arc::default(),
            },
            reader,
        ))
    }

    /// Sends one message.
    ///
    /// # Errors
    /// The socket's error; the connection is closed then, since a frame may have
    /// been cut.
    pub fn send(&self, body: Body) -> io::Result<()> {
        self.send_frame(&Frame::new(body)?)
    }

    /// Sends one encoded message.
    ///
    /// # Errors
    /// As [`Link::send`].
    pub fn send_frame(&self, frame: &Frame) -> io::Result<()> {
        let writing = self.writing.lock().unwrap_or_else(PoisonError::into_inner);
        let sent = (&*self.stream).write_all(&frame.0);
        drop(writing);
        SENT_BYTES.fetch_add(frame.byte_len() as u64, Ordering::Relaxed);
        if sent.is_err() {
            self.close();
        }
        sent
    }

    /// Closes both directions, which also ends the reader and a write under way.
    pub fn close(&self) {
        // Closing may fail only because the peer closed first.
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

impl LinkReader {
    /// Ends a receive that hears nothing for this long with an error.
    ///
    /// # Errors
    /// The socket's error.
    pub fn set_timeout(&self, timeout: Duration) -> io::Result<()> {
        self.stream.set_read_timeout(Some(timeout))
    }

    /// Receives one message; `None` when the peer closed.
    ///
    /// # Errors
    /// The socket's error, or a frame that cannot be decoded.
    pub fn receive(&mut self) -> io::Result<Option<Body>> {
        loop {
            if let Some(frame) = self.codec.decode(&mut self.buffer)? {
                let envelope = Envelope::decode(frame).map_err(io::Error::other)?;
                match envelope.body {
                    Some(body) => return Ok(Some(body)),
                    None => continue,
                }
            }
            let mut chunk = [0; READ_BYTES];
            let count = match self.stream.read(&mut chunk) {
                Ok(0) => return Ok(None),
                Ok(count) => count,
                // The process was stopped and goes on: the peer may stand as before.
                Err(error) if error.kind() == ErrorKind::Interrupted => continue,
                Err(error) => return Err(error),
            };
            self.buffer.extend_from_slice(&chunk[..count]);
        }
    }
}
