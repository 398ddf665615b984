//! The buffer between a socket and the parser; each direction of a connection has one.
use crate::byte_budget::ByteBudget;
use std::io::{self, IoSlice, IoSliceMut};
use std::rc::Rc;

/// Initial size in bytes, which does not count against the shared budget.
pub const INITIAL_BYTES: usize = 2048;

/// A FIFO of bytes with a maximum size. Its capacity doubles when it is full; an empty buffer can release its memory.
pub struct RingBuffer {
    storage: Vec<u8>,
    start: usize,
    len: usize,
    max_bytes: usize,
    /// The budget of memory beyond the initial size, shared by many buffers.
    budget: Rc<ByteBudget>,
}

impl Drop for RingBuffer {
    fn drop(&mut self) {
        self.budget.release(self.budgeted_bytes());
    }
}

impl RingBuffer {
    /// Creates an empty buffer without allocating memory.
    pub fn new(max_bytes: usize, budget: &Rc<ByteBudget>) -> Self {
        RingBuffer { storage: Vec::new(), start: 0, len: 0, max_bytes, budget: budget.clone() }
    }

    /// Number of allocated bytes that count against the budget.
    fn budgeted_bytes(&self) -> usize {
        self.storage.len().saturating_sub(INITIAL_BYTES)
    }

    fn next_size(&self) -> usize {
        (2 * self.storage.len()).clamp(INITIAL_BYTES.min(self.max_bytes), self.max_bytes)
    }

    /// Number of bytes to reserve from the budget before growing.
    fn next_reservation(&self) -> usize {
        self.next_size().saturating_sub(INITIAL_BYTES) - self.budgeted_bytes()
    }

    /// Number of bytes in the buffer.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether there are no bytes in the buffer.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Whether no byte can be added, because the buffer has its maximum size or the budget does not allow it to grow.
    pub fn is_full(&self) -> bool {
        let cannot_grow = self.len == self.storage.len() && !self.budget.can_reserve(self.next_reservation());
        self.len == self.max_bytes || cannot_grow
    }

    /// Whether the buffer has its maximum size, and not only as much as the budget allows.
    pub fn has_max_size(&self) -> bool {
        self.storage.len() == self.max_bytes
    }

    /// Releases the memory of an empty buffer. Called when the connection becomes idle.
    pub fn release(&mut self) {
        if self.len == 0 {
            self.budget.release(self.budgeted_bytes());
            self.storage = Vec::new();
            self.start = 0;
        }
    }

    /// All bytes as one slice.
    pub fn bytes(&mut self) -> &[u8] {
        if self.start + self.len > self.storage.len() {
            self.storage.rotate_left(self.start);
            self.start = 0;
        }
        &self.storage[self.start..self.start + self.len]
    }

    /// Removes bytes from the front.
    ///
    /// # Panics
    /// If the buffer contains fewer bytes.
    pub fn consume(&mut self, count: usize) {
        assert!(count <= self.len, "{count} bytes consumed of {}", self.len);
        self.len -= count;
        self.start = if self.len == 0 { 0 } else { (self.start + count) % self.storage.len() };
    }

    /// Appends as many of the bytes as fit, and returns their number.
    pub fn push(&mut self, bytes: &[u8]) -> usize {
        let mut pushed = 0;
        // Each iteration fills the current capacity and then grows, so that a small message never allocates the
        // maximum.
        while pushed < bytes.len() && !self.is_full() {
            let added = self.read_from(|parts| Ok(copy_into(parts, &bytes[pushed..])));
            match added {
                Ok(added) if added > 0 => pushed += added,
                _ => break,
            }
        }
        pushed
    }

    /// Passes the free space to `read`, and appends as many bytes as it returns.
    ///
    /// # Errors
    /// The error of `read`, or [`io::ErrorKind::OutOfMemory`] if the budget does not allow the buffer to grow.
    pub fn read_from(
        &mut self,
        read: impl FnOnce(&mut [IoSliceMut]) -> io::Result<usize>,
    ) -> io::Result<usize> {
        if self.len == self.storage.len() && self.len < self.max_bytes {
            self.grow()?;
        }
        let (size, end) = (self.storage.len(), self.start + self.len);
        let added = if self.len == size {
            0
        } else if end < size {
            let (front, back) = self.storage.split_at_mut(end);
            read(&mut [IoSliceMut::new(back), IoSliceMut::new(&mut front[..self.start])])?
        } else {
            read(&mut [IoSliceMut::new(&mut self.storage[end - size..self.start])])?
        };
        self.len += added;
        Ok(added)
    }

    fn grow(&mut self) -> io::Result<()> {
        if !self.budget.try_reserve(self.next_reservation()) {
            return Err(io::ErrorKind::OutOfMemory.into());
        }
        let size = self.next_size();
        self.storage.rotate_left(self.start);
        self.start = 0;
        self.storage.resize(size, 0);
        Ok(())
    }

    /// Passes the contents to `write`, and removes as many bytes from the front as it returns.
    ///
    /// # Errors
    /// The error of `write`.
    pub fn write_to(&mut self, write: impl FnOnce(&[IoSlice]) -> io::Result<usize>) -> io::Result<usize> {
        let (size, end) = (self.storage.len(), self.start + self.len);
        let taken = if end <= size {
            write(&[IoSlice::new(&self.storage[self.start..end])])?
        } else {
            write(&[IoSlice::new(&self.storage[self.start..]), IoSlice::new(&self.storage[..end - size])])?
        };
        self.consume(taken);
        Ok(taken)
    }
}

/// Copies as many bytes as fit into the parts, and returns their number.
fn copy_into(parts: &mut [IoSliceMut], bytes: &[u8]) -> usize {
    let mut copied = 0;
    for part in parts {
        let count = part.len().min(bytes.len() - copied);
        part[..count].copy_from_slice(&bytes[copied..copied + count]);
        copied += count;
    }
    copied
}

#[cfg(test)]
#[path = "../tests/unit/ring_buffer.rs"]
mod tests;
