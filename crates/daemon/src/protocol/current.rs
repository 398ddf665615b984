//! A shared value that a reload replaces while readers hold the previous one.
use std::cell::RefCell;
use std::rc::Rc;

/// Holds the value in force of something that a reload replaces. Readers keep the value that they loaded.
pub struct Current<T>(RefCell<Rc<T>>);

impl<T> Current<T> {
    /// Shares a first value.
    pub fn new(value: T) -> Rc<Self> {
        Rc::new(Current(RefCell::new(Rc::new(value))))
    }

    /// The value in force.
    pub fn load(&self) -> Rc<T> {
        self.0.borrow().clone()
    }

    /// Replaces the value in force.
    pub fn store(&self, value: T) {
        *self.0.borrow_mut() = Rc::new(value);
    }
}
