//! The ring buffer that stands between a socket and the codec, one a direction of each connection.
use crate::byte_budget::ByteBudget;
use std::io::{self, IoSlice, IoSliceMut};
use std::rc::Rc;

/// The first size that is taken, which every ring may have; it doubles up to the most as bytes pile up.
pub const FIRST: usize = 2048;

/// Bytes in the order they came, never more than a fixed number. An empty ring holds no memory for long.
pub struct RingBuffer {
    store: Vec<u8>,
    start: usize,
    len: usize,
    most: usize,
    /// What this ring and others hold beyond their first size, all together.
    held: Rc<ByteBudget>,
}

impl Drop for RingBuffer {
    fn drop(&mut self) {
        self.held.release(self.beyond_first());
    }
}

impl RingBuffer {
    pub fn new(most: usize, held: &Rc<ByteBudget>) -> Self {
        RingBuffer { store: Vec::new(), start: 0, len: 0, most, held: held.clone() }
    }

    fn beyond_first(&self) -> usize {
        self.store.len().saturating_sub(FIRST)
    }

    /// The size that it grows to next, and how much more of what is held together that takes.
    fn next_size(&self) -> (usize, usize) {
        let size = (2 * self.store.len()).clamp(FIRST.min(self.most), self.most);
        (size, size.saturating_sub(FIRST) - self.beyond_first())
    }

    pub fn len(&self) -> usize {
        self.len
    }

    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Whether no more fits: it has its most, or may not grow as others hold too much.
    pub fn is_full(&self) -> bool {
        self.len == self.most || (self.len == self.store.len() && !self.held.fits(self.next_size().1))
    }

    /// Gives the memory of an empty ring back, for connections that may stand idle for long.
    pub fn release(&mut self) {
        if self.len == 0 {
            self.held.release(self.beyond_first());
            (self.store, self.start) = (Vec::new(), 0);
        }
    }

    /// The bytes in one piece.
    pub fn bytes(&mut self) -> &[u8] {
        if self.start + self.len > self.store.len() {
            self.store.rotate_left(self.start);
            self.start = 0;
        }
        &self.store[self.start..self.start + self.len]
    }

    pub fn consume(&mut self, n: usize) {
        assert!(n <= self.len, "more is consumed than there is");
        self.len -= n;
        self.start = if self.len == 0 { 0 } else { (self.start + n) % self.store.len() };
    }

    /// Takes as many of these bytes as there is room for.
    pub fn push(&mut self, bytes: &[u8]) -> usize {
        if self.is_full() {
            return 0;
        }
        let taken = self.read_from(|parts| {
            let mut taken = 0;
            for part in parts {
                let n = part.len().min(bytes.len() - taken);
                part[..n].copy_from_slice(&bytes[taken..taken + n]);
                taken += n;
            }
            Ok(taken)
        });
        let taken = taken.unwrap_or(0);
        // The room grows step by step, so that a small message never takes the most.
        if taken < bytes.len() && taken > 0 { taken + self.push(&bytes[taken..]) } else { taken }
    }

    /// Lets a reader fill the free room; how many bytes it says to have written are in the ring then.
    pub fn read_from(
        &mut self,
        read: impl FnOnce(&mut [IoSliceMut]) -> io::Result<usize>,
    ) -> io::Result<usize> {
        if self.len == self.store.len() && self.len < self.most {
            let (size, more) = self.next_size();
            if !self.held.try_reserve(more) {
                return Err(io::ErrorKind::OutOfMemory.into());
            }
            self.bytes();
            self.store.rotate_left(self.start);
            self.start = 0;
            self.store.resize(size, 0);
        }
        let (size, end) = (self.store.len(), self.start + self.len);
        let n = if self.len == size {
            0
        } else if end < size {
            let (front, back) = self.store.split_at_mut(end);
            read(&mut [IoSliceMut::new(back), IoSliceMut::new(&mut front[..self.start])])?
        } else {
            read(&mut [IoSliceMut::new(&mut self.store[end - size..self.start])])?
        };
        self.len += n;
        Ok(n)
    }

    /// Lets a writer take bytes from the front; how many it says to have taken are gone then.
    pub fn write_to(&mut self, write: impl FnOnce(&[IoSlice]) -> io::Result<usize>) -> io::Result<usize> {
        let (size, end) = (self.store.len(), self.start + self.len);
        let n = if end <= size {
            write(&[IoSlice::new(&self.store[self.start..end])])?
        } else {
            write(&[IoSlice::new(&self.store[self.start..]), IoSlice::new(&self.store[..end - size])])?
        };
        self.consume(n);
        Ok(n)
    }
}

#[cfg(test)]
#[path = "../tests/unit/ring_buffer.rs"]
mod tests;
