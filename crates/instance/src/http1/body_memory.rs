//! Memory for bodies that are read whole, and for parts of streams.

use super::HttpError;
use super::socket::{Connection, pause};
use passway_serving::memory::{MemoryReservation, NoMemory};
use passway_types::clock;
use std::time::{Duration, Instant};

/// Interval between two attempts to reserve memory.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// How long bytes that would take more than an equal share of the memory wait for it. Sound answers end, and leave
/// their memory, within it.
const OVER_SHARE_TIMEOUT: Duration = Duration::from_secs(1);

/// Bytes of an answer, or of an event, that need no reservation: two reads.
pub const FREE_BYTES: usize = 32 << 10;

/// Memory for a body.
#[derive(Debug)]
pub struct BodyMemory {
    reservation: MemoryReservation,
    /// Bytes that need no reservation.
    free_bytes: usize,
    /// Whether to wait for memory, while the connection waits too.
    waits: bool,
}

impl BodyMemory {
    /// Memory for a body whose length is known and reserved, or for a request's body, which is refused if
    /// there is too little.
    pub fn of_known_length(reservation: MemoryReservation) -> Self {
        Self {
            reservation,
            free_bytes: 0,
            waits: false,
        }
    }

    /// Memory for an answer of unknown length, which waits for it.
    pub fn of_open_ended_answer(reservation: MemoryReservation) -> Self {
        Self {
            reservation,
            free_bytes: FREE_BYTES,
            waits: true,
        }
    }

    /// Makes room in `bytes` for `additional` more.
    ///
    /// # Errors
    /// [`HttpError::NoMemory`], or what ends the wait for memory.
    pub(super) fn make_room(
        &mut self,
        bytes: &mut Vec<u8>,
        additional: usize,
        watched: Option<&mut Connection>,
        until: Instant,
    ) -> Result<(), HttpError> {
        let needed = bytes.len() + additional;
        if needed <= bytes.capacity() {
            return Ok(());
        }
        // Twice as much each time, so that long bodies are not copied often.
        let doubled = needed.max(2 * bytes.capacity());
        let capacity = if doubled <= self.free_bytes || self.reservation.grow(doubled).is_ok() {
            doubled
        } else {
            match watched {
                Some(watched) if self.waits => {
                    wait_for_memory(&mut self.reservation, needed, watched, until)?;
                }
                _ => {
                    let grown = self.reservation.grow(needed);
                    grown.map_err(|_| HttpError::NoMemory)?;
                }
            }
            needed
        };
        bytes.reserve_exact(capacity - bytes.len());
        Ok(())
    }

    /// The reservation of a body that has been read whole.
    pub(super) fn end(mut self, bytes: &mut Vec<u8>) -> MemoryReservation {
        bytes.shrink_to_fit();
        if bytes.capacity() > self.free_bytes {
            self.reservation.resize(bytes.capacity());
        }
        self.reservation
    }
}

/// Calls `reserve` until it returns a reservation. Waits between calls on behalf of `caller`.
///
/// # Errors
/// What ends the wait.
pub fn wait_for_room(
    reserve: impl Fn() -> Option<MemoryReservation>,
    caller: &mut Connection,
    until: Instant,
) -> Result<MemoryReservation, HttpError> {
    loop {
        if let Some(reservation) = reserve() {
            return Ok(reservation);
        }
        pause(caller, POLL_INTERVAL, until)?;
    }
}

/// Grows a reservation to `bytes`. Waits for memory on behalf of `caller`.
///
/// # Errors
/// [`HttpError::NoMemory`] if the reservation would be larger than an equal share of the memory for over
/// [`OVER_SHARE_TIMEOUT`], or what ends the wait.
pub fn wait_for_memory(
    reservation: &mut MemoryReservation,
    bytes: usize,
    caller: &mut Connection,
    until: Instant,
) -> Result<(), HttpError> {
    let gives_up_at = clock::now() + OVER_SHARE_TIMEOUT;
    loop {
        match reservation.grow(bytes) {
            Ok(()) => return Ok(()),
            Err(NoMemory::OverShare) if clock::now() >= gives_up_at => {
                return Err(HttpError::NoMemory);
            }
            Err(NoMemory::OverShare | NoMemory::Busy) => pause(caller, POLL_INTERVAL, until)?,
        }
    }
}
