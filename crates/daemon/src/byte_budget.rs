//! Bytes that many hold together, against the most that they may.
use std::cell::Cell;
use std::rc::Rc;

pub struct HeldBytes {
    held: Cell<usize>,
    /// Held by another process that shares the most.
    elsewhere: Cell<usize>,
    most: usize,
}

impl HeldBytes {
    pub fn new(most: usize) -> Rc<Self> {
        Rc::new(HeldBytes { held: Cell::new(0), elsewhere: Cell::new(0), most })
    }

    pub fn fits(&self, n: usize) -> bool {
        self.held.get() + self.elsewhere.get() + n <= self.most
    }

    pub fn held(&self) -> usize {
        self.held.get()
    }

    pub fn set_elsewhere(&self, held: usize) {
        self.elsewhere.set(held);
    }

    pub fn take(&self, n: usize) -> bool {
        let fits = self.fits(n);
        if fits {
            self.held.set(self.held.get() + n);
        }
        fits
    }

    pub fn give_back(&self, n: usize) {
        self.held.set(self.held.get() - n);
    }

    /// Holds so many until what is returned is dropped; none where they do not fit.
    pub fn hold(self: &Rc<Self>, n: usize) -> Option<Hold> {
        self.take(n).then(|| Hold { of: self.clone(), n })
    }
}

pub struct Hold {
    of: Rc<HeldBytes>,
    n: usize,
}

impl Drop for Hold {
    fn drop(&mut self) {
        self.of.give_back(self.n);
    }
}
