//! The buffer that a body is copied into.
//!
//! Parts of a body are slices of hyper's read buffer and keep all of it in memory, so that a body in
//! chunks of one byte would take many times its size. Copied together, it takes what is charged.

use acaciabank_core::body_memory::ReserveOutcome;
use bytes::Bytes;

use super::MemoryReservation;

/// Smallest capacity of a buffer whose size is not announced.
const MIN_CAPACITY_BYTES: usize = 1 << 10;
/// Unused capacity above which a complete body is moved to an allocation of its size.
const MAX_UNUSED_BYTES: usize = 16 << 10;

/// Why a part of a body was not added.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BufferError {
    /// The body is larger than allowed.
    #[error("the body is larger than {0} bytes")]
    TooLarge(usize),
    /// Other bodies take the memory.
    #[error("the memory for bodies is exhausted")]
    NoRoom,
    /// The body has given way to another one.
    #[error("the body has made no progress, and others need its memory")]
    Evicted,
}

/// A body that is being read. Its capacity is charged to its reservation.
#[derive(Debug)]
pub struct BodyBuffer {
    bytes: Vec<u8>,
    max_bytes: usize,
    /// Capacity that is charged.
    charged_bytes: usize,
    /// `None` for documents, of which few are read at a time.
    reservation: Option<MemoryReservation>,
}

impl BodyBuffer {
    /// Creates an empty buffer for at most `max_bytes`.
    pub fn new(max_bytes: usize, reservation: Option<MemoryReservation>) -> Self {
        Self {
            bytes: Vec::new(),
            max_bytes,
            charged_bytes: 0,
            reservation,
        }
    }

    /// Allocates the memory for a body whose size is known.
    ///
    /// # Errors
    ///
    /// Returns why the body is not to be read.
    pub fn allocate(&mut self, bytes: usize) -> Result<(), BufferError> {
        if bytes > self.max_bytes {
            return Err(BufferError::TooLarge(self.max_bytes));
        }
        self.set_capacity(bytes)
    }

    /// Adds a part.
    ///
    /// # Errors
    ///
    /// Returns why the body is not to be read any further.
    pub fn push(&mut self, part: &[u8]) -> Result<(), BufferError> {
        let needed = self.bytes.len() + part.len();
        if needed > self.max_bytes {
            return Err(BufferError::TooLarge(self.max_bytes));
        }
        if needed > self.bytes.capacity() {
            let doubled = (2 * self.bytes.capacity()).max(MIN_CAPACITY_BYTES);
            self.set_capacity(needed.max(doubled.min(self.max_bytes)))?;
        }
        self.bytes.extend_from_slice(part);
        if let Some(reservation) = &self.reservation {
            reservation.record_progress();
        }
        Ok(())
    }

    /// Number of bytes that have been added.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Whether no bytes have been added.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Checks that the body has not given way to another one.
    ///
    /// # Errors
    ///
    /// [`BufferError::Evicted`] if it has; its memory is to be freed at once.
    pub fn check_evicted(&self) -> Result<(), BufferError> {
        let reservation = self.reservation.as_ref();
        match reservation.is_some_and(MemoryReservation::is_evicted) {
            true => Err(BufferError::Evicted),
            false => Ok(()),
        }
    }

    /// Waits until bodies have been evicted since the call, perhaps this one.
    pub fn wait_eviction(&self) -> impl Future<Output = ()> {
        let evictions = self.reservation.as_ref().map(MemoryReservation::evictions);
        async {
            match evictions {
                Some(evictions) => evictions.await,
                None => std::future::pending().await,
            }
        }
    }

    /// Returns the complete body. Its reservation ends when the last copy is dropped.
    ///
    /// # Errors
    ///
    /// [`BufferError::Evicted`] if the body has given way to another one.
    pub fn into_bytes(mut self) -> Result<Bytes, BufferError> {
        if self.bytes.capacity() - self.bytes.len() > MAX_UNUSED_BYTES {
            self.bytes.shrink_to_fit();
        }
        let Some(reservation) = self.reservation else {
            return Ok(Bytes::from(self.bytes));
        };
        if !reservation.complete() {
            return Err(BufferError::Evicted);
        }
        if self.bytes.is_empty() {
            return Ok(Bytes::new());
        }
        if self.bytes.capacity() < self.charged_bytes {
            reservation.resize(self.bytes.capacity());
        }
        Ok(Bytes::from_owner(ReservedBytes {
            bytes: self.bytes,
            _reservation: reservation,
        }))
    }

    /// Grows the allocation. The old one, which exists beside the new one while the content is
    /// copied, is not charged: one thread copies one body at a time.
    fn set_capacity(&mut self, capacity: usize) -> Result<(), BufferError> {
        let outcome = self.reservation.as_ref().map(|own| own.resize(capacity));
        match outcome {
            None | Some(ReserveOutcome::Granted) => {
                self.bytes.reserve_exact(capacity - self.bytes.len());
                self.charged_bytes = capacity;
                Ok(())
            }
            Some(ReserveOutcome::NoRoom) => Err(BufferError::NoRoom),
            Some(ReserveOutcome::Evicted) => Err(BufferError::Evicted),
        }
    }
}

/// A complete body with its reservation.
struct ReservedBytes {
    bytes: Vec<u8>,
    _reservation: MemoryReservation,
}

impl AsRef<[u8]> for ReservedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
