//! A memory limit shared by many connections or requests. The module performs no I/O.
use std::cell::Cell;
use std::rc::Rc;

/// Counts reserved bytes against a limit that applies to this process and its sibling together.
pub struct ByteBudget {
    used: Cell<usize>,
    used_by_sibling: Cell<usize>,
    limit: usize,
}

impl ByteBudget {
    /// Creates a budget of `limit` bytes.
    pub fn new(limit: usize) -> Rc<Self> {
        Rc::new(ByteBudget { used: Cell::new(0), used_by_sibling: Cell::new(0), limit })
    }

    /// Whether `bytes` more can be reserved. None always can: two processes that reserve at once can exceed the limit
    /// together, and a connection that needs nothing of it is served all the same.
    pub fn can_reserve(&self, bytes: usize) -> bool {
        bytes == 0 || self.used.get() + self.used_by_sibling.get() + bytes <= self.limit
    }

    /// Number of bytes that this process has reserved.
    pub fn used(&self) -> usize {
        self.used.get()
    }

    /// Sets the number of bytes that the sibling process has reserved.
    pub fn set_used_by_sibling(&self, bytes: usize) {
        self.used_by_sibling.set(bytes);
    }

    /// Reserves bytes. Returns false and reserves nothing if the limit would be exceeded.
    pub fn try_reserve(&self, bytes: usize) -> bool {
        let is_reserved = self.can_reserve(bytes);
        if is_reserved {
            self.used.set(self.used.get() + bytes);
        }
        is_reserved
    }

    /// Releases bytes that were reserved with [`try_reserve`](Self::try_reserve).
    pub fn release(&self, bytes: usize) {
        self.used.set(self.used.get() - bytes);
    }

    /// Reserves bytes until the returned value is dropped. Returns `None` if the limit would be exceeded.
    pub fn reserve(self: &Rc<Self>, bytes: usize) -> Option<Reservation> {
        self.try_reserve(bytes).then(|| Reservation { budget: self.clone(), bytes })
    }
}

/// A reservation of bytes, released when it is dropped.
pub struct Reservation {
    budget: Rc<ByteBudget>,
    bytes: usize,
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.release(self.bytes);
    }
}
