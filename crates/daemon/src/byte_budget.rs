//! A budget of bytes that many share. Without I/O.
use std::cell::Cell;
use std::rc::Rc;

/// How many bytes are reserved, against the most that may be, here and in a sibling process together.
pub struct ByteBudget {
    used: Cell<usize>,
    used_by_sibling: Cell<usize>,
    limit: usize,
}

impl ByteBudget {
    /// A budget of so many bytes.
    pub fn new(limit: usize) -> Rc<Self> {
        Rc::new(ByteBudget { used: Cell::new(0), used_by_sibling: Cell::new(0), limit })
    }

    /// Whether so many more fit.
    pub fn fits(&self, bytes: usize) -> bool {
        self.used.get() + self.used_by_sibling.get() + bytes <= self.limit
    }

    /// How many bytes this process has reserved.
    pub fn used(&self) -> usize {
        self.used.get()
    }

    /// Notes what the sibling process has reserved.
    pub fn set_used_by_sibling(&self, bytes: usize) {
        self.used_by_sibling.set(bytes);
    }

    /// Reserves so many bytes; false where they do not fit, and nothing is reserved then.
    pub fn try_reserve(&self, bytes: usize) -> bool {
        let fits = self.fits(bytes);
        if fits {
            self.used.set(self.used.get() + bytes);
        }
        fits
    }

    /// Gives back bytes that were reserved.
    pub fn release(&self, bytes: usize) {
        self.used.set(self.used.get() - bytes);
    }

    /// Reserves so many bytes until what is returned is dropped; none where they do not fit.
    pub fn reserve(self: &Rc<Self>, bytes: usize) -> Option<Reservation> {
        self.try_reserve(bytes).then(|| Reservation { budget: self.clone(), bytes })
    }
}

/// Bytes of a budget, given back when this is dropped.
pub struct Reservation {
    budget: Rc<ByteBudget>,
    bytes: usize,
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.release(self.bytes);
    }
}
