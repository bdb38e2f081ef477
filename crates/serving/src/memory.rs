//! Memory for bytes that are held for others, bounded over all connections.
//!
//! A bound for each connection says nothing about their sum. So what may grow large is reserved from a [`MemoryPool`]
//! before it is buffered. Once the pool is used up, a reservation cannot grow beyond an equal share of the pool
//! ([`NoMemory::OverShare`]), so that connections whose peers send without end leave memory for all others.

use passway_types::prelude::*;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Why a reservation could not grow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoMemory {
    /// Others hold the memory, and some of them hold more than an equal share.
    Busy,
    /// The reservation would be larger than an equal share of the pool.
    OverShare,
}

/// Memory that several holders share.
#[derive(Debug)]
pub struct MemoryPool {
    max_bytes: usize,
    usage: Mutex<Usage>,
}

#[derive(Debug, Clone, Copy, Default)]
struct Usage {
    /// Bytes of all reservations.
    bytes: usize,
    /// Number of reservations that are not empty.
    holders: usize,
}

impl MemoryPool {
    /// Creates a pool of this size, in bytes.
    pub fn new(max_bytes: usize) -> Arc<Self> {
        Arc::new(Self {
            max_bytes,
            usage: Mutex::default(),
        })
    }

    fn usage(&self) -> MutexGuard<'_, Usage> {
        self.usage.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Creates an empty reservation.
    pub fn reservation(self: &Arc<Self>) -> MemoryReservation {
        MemoryReservation {
            pool: self.clone(),
            bytes: 0,
        }
    }

    /// Reserves memory; `None` if other reservations leave too little. One above the size of the pool
    /// is accepted while there is no other.
    pub fn reserve(self: &Arc<Self>, bytes: usize) -> Option<MemoryReservation> {
        let mut reservation = self.reservation();
        reservation.resize(bytes).then_some(reservation)
    }
}

/// Memory of a pool, released on drop.
#[derive(Debug)]
pub struct MemoryReservation {
    pool: Arc<MemoryPool>,
    bytes: usize,
}

impl MemoryReservation {
    /// Changes the reservation to `bytes`. Returns false and keeps the old size if there is too
    /// little memory.
    pub fn resize(&mut self, bytes: usize) -> bool {
        self.set(bytes).is_ok()
    }

    /// Grows the reservation to `bytes` unless it is as large already.
    ///
    /// # Errors
    /// Why there is too little memory; the reservation keeps its size.
    pub fn grow(&mut self, bytes: usize) -> Result<(), NoMemory> {
        if bytes <= self.bytes {
            return Ok(());
        }
        self.set(bytes)
    }

    fn set(&mut self, bytes: usize) -> Result<(), NoMemory> {
        let mut usage = self.pool.usage();
        let other_bytes = usage.bytes - self.bytes;
        let other_holders = usage.holders - usize::from(self.bytes > 0);
        let fits = other_bytes == 0 || other_bytes + bytes <= self.pool.max_bytes;
        if !fits && bytes > self.bytes {
            return Err(if bytes > self.pool.max_bytes / (other_holders + 1) {
                NoMemory::OverShare
            } else {
                NoMemory::Busy
            });
        }
        usage.bytes = other_bytes + bytes;
        usage.holders = other_holders + usize::from(bytes > 0);
        drop(usage);
        self.bytes = bytes;
        Ok(())
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.resize(0);
    }
}
