//! A blocking connection that sends and receives envelopes.

use crate::message::{Body, Envelope};
use bytes::{Bytes, BytesMut};
use prost::Message;
use rustix::io::Errno;
use rustix::net::SendFlags;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::os::fd::{AsFd, BorrowedFd};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

/// Maximum size of a frame: a whole configuration (1 MB in the users' store) plus reserve.
pub const MAX_FRAME_BYTES: usize = 4 << 20;
/// Maximum number of bytes per read.
const READ_BYTES: usize = 16 << 10;
/// The connection is closed if the peer takes nothing for this time.
pub const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// The connection is closed if sent bytes are not acknowledged within this time.
///
/// Without this limit, writes to an unresponsive peer succeed until the socket's buffers are full,
/// and an instance's reports are lost meanwhile. The time allows for three lost segments in a row.
const UNACKNOWLEDGED_TIMEOUT_MS: u32 = 1_500;

/// Size of a socket's send buffer. It is small compared with what the kernel would allow, 4 MB, so
/// that a heartbeat waits behind little on the link of a holder with a thousand peers, and an
/// outbox knows what its peer has not taken.
const SEND_BUFFER_BYTES: usize = 128 << 10;

/// Total bytes sent over all links of this process.
static SENT_BYTES: AtomicU64 = AtomicU64::new(0);

/// Total bytes sent over all links since the start of this process, including frame headers.
pub fn sent_bytes() -> u64 {
    SENT_BYTES.load(Ordering::Relaxed)
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec()
}

/// An encoded message. Clones share the bytes, so a message to many peers is encoded and stored
/// once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Frame(Bytes);

impl Frame {
    /// Encodes a message.
    ///
    /// # Errors
    /// If the encoded message is larger than [`MAX_FRAME_BYTES`].
    pub fn new(body: Body) -> io::Result<Self> {
        let envelope = Envelope { body: Some(body) };
        let mut frame = BytesMut::new();
        codec().encode(Bytes::from(envelope.encode_to_vec()), &mut frame)?;
        Ok(Self(frame.freeze()))
    }

    /// The encoded bytes.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }

    /// Length of the frame in bytes.
    pub fn byte_len(&self) -> usize {
        self.0.len()
    }
}

/// The sending half of a connection; clones share the connection.
#[derive(Debug, Clone)]
pub struct Link {
    stream: Arc<TcpStream>,
    /// Locked only while a frame is written. A peer that accepts no bytes blocks the writer, but
    /// must not block a thread that closes the connection.
    write_lock: Arc<Mutex<()>>,
}

/// The receiving half of a connection.
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
    /// If the connection cannot be established.
    pub fn connect(address: SocketAddr, timeout: Duration) -> io::Result<(Self, LinkReader)> {
        Self::from_stream(TcpStream::connect_timeout(&address, timeout)?)
    }

    /// Time after which unacknowledged bytes close the connection, in milliseconds; 0 if the
    /// system's default applies.
    ///
    /// # Errors
    /// The socket's error.
    pub fn unacknowledged_timeout_ms(&self) -> io::Result<u32> {
        Ok(rustix::net::sockopt::tcp_user_timeout(&*self.stream)?)
    }

    /// Creates a link from an established connection.
    ///
    /// # Errors
    /// The socket's error.
    pub fn from_stream(stream: TcpStream) -> io::Result<(Self, LinkReader)> {
        stream.set_nodelay(true)?;
        rustix::net::sockopt::set_tcp_user_timeout(&stream, UNACKNOWLEDGED_TIMEOUT_MS)?;
        rustix::net::sockopt::set_socket_send_buffer_size(&stream, SEND_BUFFER_BYTES)?;
        stream.set_write_timeout(Some(WRITE_TIMEOUT))?;
        let read_half = stream.try_clone()?;
        let reader = LinkReader {
            stream: read_half,
            codec: codec(),
            buffer: BytesMut::new(),
        };
        Ok((
            Self {
                stream: Arc::new(stream),
                write_lock: Arc::default(),
            },
            reader,
        ))
    }

    /// Sends one message.
    ///
    /// # Errors
    /// The socket's error. The connection is then closed, since the frame may have been sent only
    /// in part.
    pub fn send(&self, body: Body) -> io::Result<()> {
        self.send_frame(&Frame::new(body)?)
    }

    /// Sends one encoded message.
    ///
    /// # Errors
    /// The same as for [`Link::send`].
    pub fn send_frame(&self, frame: &Frame) -> io::Result<()> {
        let guard = self
            .write_lock
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let result = (&*self.stream).write_all(&frame.0);
        drop(guard);
        SENT_BYTES.fetch_add(frame.byte_len() as u64, Ordering::Relaxed);
        if result.is_err() {
            self.close();
        }
        result
    }

    /// Sends as much of an encoded message as the socket takes without waiting, after the first
    /// `sent_bytes`, which are sent already. Returns the number of bytes sent now; the rest must be
    /// sent before any other message.
    ///
    /// # Errors
    /// The same as for [`Link::send`].
    pub fn send_without_waiting(&self, frame: &Frame, sent_bytes: usize) -> io::Result<usize> {
        let Ok(guard) = self.write_lock.try_lock() else {
            return Ok(0);
        };
        let flags = SendFlags::DONTWAIT | SendFlags::NOSIGNAL;
        let sent = rustix::net::send(&*self.stream, &frame.0[sent_bytes..], flags);
        drop(guard);
        match sent {
            Ok(bytes) => {
                SENT_BYTES.fetch_add(bytes as u64, Ordering::Relaxed);
                Ok(bytes)
            }
            Err(Errno::AGAIN | Errno::INTR) => Ok(0),
            Err(error) => {
                self.close();
                Err(error.into())
            }
        }
    }

    /// Closes both directions, which also ends the reader and a write in progress.
    pub fn close(&self) {
        // Fails only if the peer has already closed the connection.
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

impl AsFd for Link {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.stream.as_fd()
    }
}

impl LinkReader {
    /// The connection, and the bytes that were received after the last message.
    pub fn into_parts(self) -> (TcpStream, BytesMut) {
        (self.stream, self.buffer)
    }

    /// Sets the time after which [`LinkReader::receive`] fails if no bytes arrive.
    ///
    /// # Errors
    /// The socket's error.
    pub fn set_timeout(&self, timeout: Duration) -> io::Result<()> {
        self.stream.set_read_timeout(Some(timeout))
    }

    /// Receives one message; `None` if the peer has closed the connection.
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
                // The process was stopped and continued; the connection may still be intact.
                Err(error) if error.kind() == ErrorKind::Interrupted => continue,
                Err(error) => return Err(error),
            };
            self.buffer.extend_from_slice(&chunk[..count]);
        }
    }
}
